// Package dialer opens TCP connections that fail soon after their link has gone silent, and whose readers
// see the end of the connection only if the peer has ended it.
package dialer

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Keep-alive probes find a silent link within 3 s while nothing is sent.
	keepAliveIdle, keepAliveInterval, keepAliveCount = time.Second, time.Second, 2
	// userTimeout is how long sent bytes may stay unacknowledged. No keep-alive probes are sent
	// meanwhile, and the default allows a quarter of an hour. Linux also ends a connection at the
	// first probe after this time, whatever keepAliveCount is, so with 2 s a single lost probe would.
	userTimeout = 2500 * time.Millisecond
)

// Dialer opens connections. Its fields are those of net.Dialer.
type Dialer struct{ net.Dialer }

// New returns a dialer that gives up a connection after the timeout.
func New(timeout time.Duration) *Dialer {
	return &Dialer{net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: setUserTimeout,
	}}
}

// Dial opens a connection.
func (d *Dialer) Dial(network, address string) (net.Conn, error) {
	return d.DialContext(context.Background(), network, address)
}

// DialContext opens a connection until the context ends.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		return conn{tcp}, nil
	}
	return c, nil
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
