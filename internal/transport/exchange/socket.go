package exchange

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// rawConnection returns access to the socket of a TCP connection. tcp is false for other connections, and raw
// is nil if the socket can't be accessed.
func (c *connection) rawConnection() (raw syscall.RawConn, tcp bool) {
	conn, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, true
	}
	return raw, true
}

// hasUnacknowledged reports whether the server has not acknowledged all bytes that were sent.
func (c *connection) hasUnacknowledged() bool {
	raw, _ := c.rawConnection()
	if raw == nil {
		return false
	}
	unacknowledged := 0
	err := raw.Control(func(fd uintptr) {
		// Without the value, the connection counts as working.
		unacknowledged, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
	})
	return err == nil && unacknowledged > 0
}

// isEstablished reports whether neither end has closed the connection. Unlike isUsable, it may be called while
// the connection carries a request.
func (c *connection) isEstablished() bool {
	raw, _ := c.rawConnection()
	if raw == nil {
		return false
	}
	established := false
	err := raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		established = err == nil && info.State == unix.BPF_TCP_ESTABLISHED
	})
	return err == nil && established
}

// isUsable reports whether the server has neither closed the connection nor sent
// bytes that belong to no request.
func (c *connection) isUsable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, tcp := c.rawConnection()
	if !tcp {
		return true
	}
	_, err := peek(raw)
	return errors.Is(err, syscall.EAGAIN)
}

// reportIdleBytes reports the bytes that the server has sent while no request was under way, if there are any.
func (c *connection) reportIdleBytes() {
	raw, _ := c.rawConnection()
	if n, err := peek(raw); err == nil && n > 0 {
		c.reportDrop(Dropped{Kind: Idle})
	}
}

// peek returns the number of bytes that can be read, at most 1 and 0 at the end of the connection, or an error.
// The error is EAGAIN if the connection is open and there are no bytes.
func peek(raw syscall.RawConn) (n int, err error) {
	if raw == nil {
		return 0, syscall.EBADF
	}
	if failure := raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}); failure != nil {
		return 0, failure
	}
	return n, err
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
