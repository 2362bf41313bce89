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

// Identity secures connections between instances by TLS. Both ends have a
// certificate of the fleet's certificate authority with the instance's name as DNS
// name.
type Identity struct {
	config *tls.Config
}

// FileError is returned if a file with a certificate or key is not usable.
type FileError struct {
	File   string
	Reason string
}

// Error returns a message with the file and the reason.
func (e *FileError) Error() string { return e.File + ": " + e.Reason }

// CertificateNameError is returned if a certificate is not valid for the name that
// its owner claims.
type CertificateNameError struct {
	Claimed   string
	Certified []string
}

// Error returns a message with the claimed name and the names of the certificate.
func (e *CertificateNameError) Error() string {
	return fmt.Sprintf("the certificate is for %q and not for %q", strings.Join(e.Certified, ", "), e.Claimed)
}

// UnlistedError is returned if no instance is listed at an address, so there is
// no name to verify a certificate with.
type UnlistedError struct{ Address string }

// Error returns a message with the address.
func (e *UnlistedError) Error() string { return "no instance is listed at " + e.Address }

// NewIdentity reads the certificate of the fleet's certificate authority, and the
// certificate and key of this instance, which must be valid for the name.
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
		// A resumed session would skip the verification of the certificate.
		SessionTicketsDisabled: true,
	}}, nil
}

// accept secures an incoming connection and returns the verified names of the
// client's certificate.
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

// connect secures an outgoing connection to the instance with the name.
func (i *Identity) connect(ctx context.Context, conn net.Conn, name string) (net.Conn, error) {
	config := i.config.Clone()
	// The names of instances have no dots, so no wildcard matches them.
	config.ServerName = name
	secured := tls.Client(conn, config)
	return secured, secured.HandshakeContext(ctx)
}
