package caller

import (
	"errors"
	"net"
	"testing"
	"time"
)

// testTimeout bounds the waits of a test.
const testTimeout = 20 * time.Second

// Guards against connections above the limit, and against a Close that does not end an
// Accept which waits for a connection to be closed.
func TestLimitedListener(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := limitListener(inner, 2)
	var accepted []net.Conn
	for range 2 {
		client, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = client.Close() }()
		conn, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		accepted = append(accepted, conn)
	}
	third, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = third.Close() }()
	results := make(chan error, 1)
	accept := func() { _, err := l.Accept(); results <- err }
	go accept()
	select {
	case err := <-results:
		t.Fatalf("Accept returned above the limit, error %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	_ = accepted[0].Close()
	_ = accepted[0].Close()
	if err := result(t, results); err != nil {
		t.Fatal(err)
	}
	// One connection was closed, twice, and the third took its place. A second close must not
	// free another place.
	fourth, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = fourth.Close() }()
	go accept()
	select {
	case err := <-results:
		t.Fatalf("Accept returned after a connection was closed twice, error %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	_ = l.Close()
	if err := result(t, results); !errors.Is(err, net.ErrClosed) {
		t.Errorf("error %v after Close, want net.ErrClosed", err)
	}
}

func result(t *testing.T, results chan error) error {
	t.Helper()
	select {
	case err := <-results:
		return err
	case <-time.After(testTimeout):
		t.Fatal("Accept did not return")
		return nil
	}
}
