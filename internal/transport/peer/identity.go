package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"os"
	"slices"
	"strings"
)

// Identity proves the names of both ends of a link: certificates of the
// fleet's authority, with the instance's name as DNS name.
type Identity struct {
	config *tls.Config
}

// FileError says that a file with a certificate or key is not usable.
type FileError struct {
	File   string
	Reason string
}

// Error names the file.
func (e *FileError) Error() string { return e.File + ": " + e.Reason }

// CertificateNameError says that a certificate does not hold the name that its owner
// claims.
type CertificateNameError struct {
	Claimed   string
	Certified []string
}

// Error names both.
func (e *CertificateNameError) Error() string {
	return fmt.Sprintf("the certificate is for %q and not for %q", strings.Join(e.Certified, ", "), e.Claimed)
}

// UnlistedError says that no instance is listed at an address, so that its
// certificate cannot be checked.
type UnlistedError struct{ Address string }

// Error names the address.
func (e *UnlistedError) Error() string { return "no instance is listed at " + e.Address }

// NewIdentity reads the certificate of the fleet's authority and the own
// certificate and key, which must be for the name.
func NewIdentity(name, authorityFile, certificateFile, keyFile string) (*Identity, error) {
	authority, err := os.ReadFile(authorityFile)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, &FileError{authorityFile, "holds no PEM certificate"}
	}
	own, err := tls.LoadX509KeyPair(certificateFile, keyFile)
	if err != nil {
		return nil, &FileError{certificateFile, err.Error()}
	}
	if !slices.Contains(own.Leaf.DNSNames, name) {
		return nil, &FileError{certificateFile, (&CertificateNameError{name, own.Leaf.DNSNames}).Error()}
	}
	return &Identity{&tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{own}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert,
		// A resumed session would skip the check of the certificate.
		SessionTicketsDisabled: true,
	}}, nil
}

// accept secures a connection that another process opened and returns the
// verified names of its certificate.
func (i *Identity) accept(ctx context.Context, conn net.Conn) (net.Conn, []string, error) {
	secured := tls.Server(conn, i.config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, nil, err
	}
	names := secured.ConnectionState().PeerCertificates[0].DNSNames
	if len(names) == 0 {
		return nil, nil, &CertificateNameError{}
	}
	return secured, names, nil
}

// connect secures a connection to the instance with the name.
func (i *Identity) connect(ctx context.Context, conn net.Conn, name string) (net.Conn, error) {
	config := i.config.Clone()
	// The names of instances have no dots, so that no wildcard matches them.
	config.ServerName = name
	secured := tls.Client(conn, config)
	return secured, secured.HandshakeContext(ctx)
}
