// Package dialer opens TCP connections that fail soon after their link has gone silent.
package dialer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// Keep-alive probes find a silent link while nothing is sent.
	keepAliveIdle, keepAliveInterval, keepAliveCount = time.Second, time.Second, 2
	// userTimeout is how long sent bytes may stay unacknowledged. No keep-alive probes are sent
	// meanwhile, and the default allows a quarter of an hour. It also ends connections whose
	// probes are not answered, so that both ways take 2 s, half of the users' bound for lost contact.
	userTimeout = 2 * time.Second
)

// New returns a dialer that gives up a connection after the timeout.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: setUserTimeout,
	}
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
