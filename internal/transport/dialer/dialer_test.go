package dialer

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"tamarackrun/internal/standin/partition"
)

// connect returns a connection to an echo server behind a listener that can lose its packets.
func connect(t *testing.T) (net.Conn, *partition.Listener) {
	t.Helper()
	listener, err := partition.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
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
	t.Cleanup(func() { _ = c.Close() })
	if err := echo(c); err != nil {
		t.Fatal(err)
	}
	return c, listener
}

// echo writes a byte and reads it back.
func echo(c net.Conn) error {
	if _, err := c.Write([]byte("a")); err != nil {
		return err
	}
	_, err := c.Read(make([]byte, 1))
	return err
}

var loopback = netip.MustParseAddr("127.0.0.1")

// Guards against connections that wait for minutes after their link went silent: without a limit for
// unacknowledged bytes, a request on a hung connection waits for its deadline.
func TestHungConnectionFails(t *testing.T) {
	const bound = 4 * time.Second
	for name, send := range map[string]bool{"bytes are not acknowledged": true, "nothing is sent": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c, listener := connect(t)
			if err := listener.LoseAll(loopback); err != nil {
				t.Fatal(err)
			}
			if send {
				if _, err := c.Write([]byte("b")); err != nil {
					t.Fatal(err)
				}
			}
			_ = c.SetReadDeadline(time.Now().Add(3 * bound))
			began := time.Now()
			if _, err := c.Read(make([]byte, 1)); err == nil || time.Since(began) > bound {
				t.Errorf("the read ended after %v with %v, want an error within %v", time.Since(began), err, bound)
			}
		})
	}
}

// Guards against connections that a single lost keep-alive probe ends: the limit for unacknowledged
// bytes decides when probes give up, whatever their count.
func TestConnectionSurvivesALostProbe(t *testing.T) {
	c, listener := connect(t)
	if err := listener.LoseAll(loopback); err != nil {
		t.Fatal(err)
	}
	time.Sleep(keepAliveIdle + keepAliveInterval/2)
	if err := listener.Restore(loopback); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	if err := echo(c); err != nil {
		t.Errorf("the connection ended after one lost probe: %v", err)
	}
}
