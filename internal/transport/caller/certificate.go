package caller

import (
	"crypto/tls"
	"os"
	"sync"
	"time"
)

// certificateCheck is the least time between two looks at the files.
const certificateCheck = time.Second

// certificate is read again when one of its files changes. While the new files do
// not fit together, as between the writes of both, the former pair stays in use.
type certificate struct {
	certificateFile, keyFile string

	mu      sync.Mutex
	pair    *tls.Certificate
	changed [2]time.Time
	checked time.Time
}

// NewTLS returns a configuration for the pair of files.
func NewTLS(certificateFile, keyFile string) (*tls.Config, error) {
	c := &certificate{certificateFile: certificateFile, keyFile: keyFile}
	if err := c.read(); err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.get(time.Now()), nil }}, nil
}

func (c *certificate) get(now time.Time) *tls.Certificate {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.checked) >= certificateCheck {
		c.checked = now
		_ = c.read()
	}
	return c.pair
}

// read loads the pair if it is not the one in use.
func (c *certificate) read() error {
	var changed [2]time.Time
	for n, file := range []string{c.certificateFile, c.keyFile} {
		info, err := os.Stat(file)
		if err != nil {
			return err
		}
		changed[n] = info.ModTime()
	}
	if c.pair != nil && changed == c.changed {
		return nil
	}
	pair, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return err
	}
	c.pair, c.changed = &pair, changed
	return nil
}
