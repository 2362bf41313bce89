package caller

import (
	"crypto/tls"
	"os"
	"sync"
	"time"
)

// certificateCheckInterval is the least time between two checks of the files.
const certificateCheckInterval = time.Second

// reloadingCertificate is a certificate that is loaded again when one of its files
// changes. If the new certificate and key do not match, as between the writes of the
// two files, the former pair stays in use.
type reloadingCertificate struct {
	certificateFile, keyFile string

	mu sync.Mutex
	// pair is the certificate in use.
	pair *tls.Certificate
	// modified holds the modification times of both files when pair was loaded.
	modified [2]time.Time
	// checked is when the files were last checked.
	checked time.Time
}

// NewTLS returns a TLS configuration for a certificate file and its key file. Changes
// of the files are used without a restart.
func NewTLS(certificateFile, keyFile string) (*tls.Config, error) {
	c := &reloadingCertificate{certificateFile: certificateFile, keyFile: keyFile}
	if err := c.read(); err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.get(time.Now()), nil }}, nil
}

// get returns the certificate in use, after a check of the files if one is due.
func (c *reloadingCertificate) get(now time.Time) *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.checked) >= certificateCheckInterval {
		c.checked = now
		_ = c.read()
	}
	return c.pair
}

// read loads the certificate and key if one of the files has changed.
func (c *reloadingCertificate) read() error {
	var modified [2]time.Time
	for n, file := range []string{c.certificateFile, c.keyFile} {
		info, err := os.Stat(file)
		if err != nil {
			return err
		}
		modified[n] = info.ModTime()
	}
	if c.pair != nil && modified == c.modified {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return err
	}
	c.pair, c.modified = &pair, modified
	return nil
}
