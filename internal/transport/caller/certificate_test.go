package caller_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"tamarackrun/internal/standin/fleet"
	"tamarackrun/internal/transport/caller"
)

// Guards against a new certificate that is used only after a restart, and against a
// damaged file that makes the server lose the certificate in use.
func TestCertificateIsReloaded(t *testing.T) {
	directory := t.TempDir()
	authority, err := fleet.NewAuthority(directory)
	if err != nil {
		t.Fatal(err)
	}
	issue := func() {
		if err := authority.Issue("entry-1"); err != nil {
			t.Fatal(err)
		}
	}
	issue()
	certificateFile, keyFile := filepath.Join(directory, "entry-1.pem"), filepath.Join(directory, "entry-1.key")
	config, err := caller.NewTLS(certificateFile, keyFile)
	if err != nil {
		t.Fatal(err)
	}
	serial := func() []byte {
		c, err := config.GetCertificate(nil)
		if err != nil || c == nil {
			t.Fatal("no certificate", err)
		}
		return c.Leaf.SerialNumber.Bytes()
	}
	first := serial()
	if err := os.WriteFile(keyFile, []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := caller.NewTLS(certificateFile, keyFile); err == nil {
		t.Error("a damaged key file is accepted at the start")
	}
	// Waits long enough for a check of the damaged file.
	for began := time.Now(); time.Since(began) < 1500*time.Millisecond; time.Sleep(50 * time.Millisecond) {
		if !bytes.Equal(first, serial()) {
			t.Fatal("another certificate is in use")
		}
	}
	issue()
	for began := time.Now(); bytes.Equal(first, serial()); time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > 30*time.Second {
			t.Fatal("the new certificate is not used")
		}
	}
}
