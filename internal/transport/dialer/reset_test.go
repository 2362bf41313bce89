package dialer

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// Guards against a reset that counts as the end of what the peer has sent: the system reports an error of a connection
// once, and the write that gets it leaves io.EOF to the next read.
func TestResetThatAWriteHasMetIsNoEnd(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	ended := make(chan struct{})
	go func() {
		for _, resets := range []bool{true, false} {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			// The dial has succeeded.
			_, _ = conn.Read(make([]byte, 1))
			if resets {
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			} else {
				_ = conn.(*net.TCPConn).CloseWrite()
			}
			ended <- struct{}{}
		}
	}()
	for _, want := range []error{syscall.ECONNRESET, io.EOF} {
		conn, err := New(time.Second).Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if _, err := conn.Write([]byte{0}); err != nil {
			t.Fatal(err)
		}
		<-ended
		// Without a write that fails, the read would get the reset itself.
		for deadline := time.Now().Add(time.Second); errors.Is(want, syscall.ECONNRESET) && time.Now().Before(deadline); {
			if _, err := conn.Write([]byte{0}); err != nil {
				break
			}
		}
		if _, err := conn.Read(make([]byte, 1)); !errors.Is(err, want) {
			t.Errorf("read: %v, want %v", err, want)
		}
	}
}
