package dialer

import (
	"io"
	"net/netip"
	"testing"
	"time"

	"tamarackrun/internal/standin/partition"
)

// Guards against connections that wait for minutes after their link went silent: without a limit for
// unacknowledged bytes, a request on a hung connection waits for its deadline.
func TestHungConnectionFails(t *testing.T) {
	const bound = 4 * time.Second
	for name, send := range map[string]bool{"bytes are not acknowledged": true, "nothing is sent": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := partition.Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = listener.Close() }()
			go func() {
				for {
					c, err := listener.Accept()
					if err != nil {
						return
					}
					go func() { _, _ = io.Copy(c, c) }()
				}
			}()
			c, err := New(time.Second).Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := c.Write([]byte("a")); err != nil {
				t.Fatal(err)
			}
			if _, err := c.Read(make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			if err := listener.LoseAll(netip.MustParseAddr("127.0.0.1")); err != nil {
				t.Fatal(err)
			}
			if send {
				if _, err := c.Write([]byte("b")); err != nil {
					t.Fatal(err)
				}
			}
			_ = c.SetReadDeadline(time.Now().Add(3 * bound))
			began := time.Now()
			if _, err = c.Read(make([]byte, 1)); err == nil || time.Since(began) > bound {
				t.Errorf("the read ended after %v with %v, want an error within %v", time.Since(began), err, bound)
			}
		})
	}
}
