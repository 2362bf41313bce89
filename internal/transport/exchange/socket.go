package exchange

import (
	"errors"
	"syscall"

	"tamarackrun/internal/transport/socket"
)

// hasUnacknowledged reports whether the server has not acknowledged all bytes that were sent.
func (c *connection) hasUnacknowledged() bool {
	s, ok := socket.Of(c.Conn)
	return ok && s.HasUnacknowledged()
}

// isEstablished reports whether neither end has closed the connection. Unlike isUsable, it may be called while
// the connection carries a request.
func (c *connection) isEstablished() bool {
	s, ok := socket.Of(c.Conn)
	return ok && s.IsEstablished()
}

// isUsable reports whether the server has neither closed the connection nor sent
// bytes that belong to no request.
func (c *connection) isUsable() bool {
	s, ok := socket.Of(c.Conn)
	return c.reader.Buffered() == 0 && (!ok || s.IsIdle())
}

// reportIdleBytes reports the bytes that the server has sent while no request was under way, if there are any.
func (c *connection) reportIdleBytes() {
	s, _ := socket.Of(c.Conn)
	if n, err := s.Peek(); err == nil && n > 0 {
		c.reportDrop(Dropped{Kind: Idle})
	}
}

// isExhausted reports whether a connection could not be opened because this process or machine has no file
// descriptors, ports or buffers left.
func isExhausted(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
