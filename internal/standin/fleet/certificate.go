package fleet

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

const (
	certificateLifetime = 24 * time.Hour
	// serialBits is the length of serial numbers in bits.
	serialBits = 120
)

// Authority is a certificate authority that signs the certificates of instances.
type Authority struct {
	// File holds the authority's certificate.
	File string

	directory   string
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority generates an authority that keeps its files in the directory.
func NewAuthority(directory string) (*Authority, error) {
	a := &Authority{File: filepath.Join(directory, "authority.pem"), directory: directory}
	template := newTemplate("fleet")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	var err error
	if a.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader); err != nil {
		return nil, err
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		return nil, err
	}
	if a.certificate, err = x509.ParseCertificate(raw); err != nil {
		return nil, err
	}
	return a, writePEM(a.File, "CERTIFICATE", raw)
}

// newTemplate returns the fields that all certificates have in common.
func newTemplate(name string) *x509.Certificate {
	// Serial numbers only have to differ, so random ones suffice.
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		panic(err)
	}
	now := time.Now()
	return &x509.Certificate{SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: now.Add(-time.Hour), NotAfter: now.Add(certificateLifetime)}
}

// ClientConfig returns the TLS configuration of a client that connects to the named
// instance.
func (a *Authority) ClientConfig(name string) *tls.Config {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return &tls.Config{RootCAs: pool, ServerName: name}
}

func (a *Authority) files(name string) (certificate, key string) {
	return filepath.Join(a.directory, name+".pem"), filepath.Join(a.directory, name+".key")
}

// Issue writes a certificate for the name to NAME.pem and its key to NAME.key.
func (a *Authority) Issue(name string) error {
	certificateFile, keyFile := a.files(name)
	template := newTemplate(name)
	template.DNSNames = []string{name}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	rawKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return err
	}
	if err := writePEM(certificateFile, "CERTIFICATE", raw); err != nil {
		return err
	}
	return writePEM(keyFile, "PRIVATE KEY", rawKey)
}

// writePEM writes one PEM block of the kind to a file.
func writePEM(file, kind string, raw []byte) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600)
}
