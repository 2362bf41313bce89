// Package socket asks the system for the state of TCP connections.
package socket

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Socket is the socket of a TCP connection.
type Socket struct {
	// raw is nil if the socket can't be accessed.
	raw syscall.RawConn
}

// Of returns the socket of a connection. It reports whether the connection has one.
func Of(conn net.Conn) (s Socket, ok bool) {
	c, ok := conn.(syscall.Conn)
	if !ok {
		return Socket{}, false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return Socket{}, true
	}
	return Socket{raw}, true
}

// HasUnacknowledged reports whether the peer has not acknowledged all bytes that were sent.
func (s Socket) HasUnacknowledged() bool {
	unacknowledged := 0
	// Without the value, the connection counts as working.
	s.control(func(fd int) { unacknowledged, _ = unix.IoctlGetInt(fd, unix.TIOCOUTQ) })
	return unacknowledged > 0
}

// IsEstablished reports whether neither end has closed the connection.
func (s Socket) IsEstablished() bool { return s.state() == unix.BPF_TCP_ESTABLISHED }

// HasFailed reports whether the connection has ended otherwise than by the ends of its two sides, such as by a reset, or
// can't be asked.
func (s Socket) HasFailed() bool { return s.state() == unix.BPF_TCP_CLOSE }

// state returns the state of the connection, which is closed if it can't be asked for.
func (s Socket) state() uint8 {
	state := uint8(unix.BPF_TCP_CLOSE)
	s.control(func(fd int) {
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			state = info.State
		}
	})
	return state
}

// control calls a function with the file descriptor, unless the connection is closed.
func (s Socket) control(f func(fd int)) {
	if s.raw != nil {
		// The error says that f was not called.
		_ = s.raw.Control(func(fd uintptr) { f(int(fd)) })
	}
}

// IsIdle reports whether the connection is open and there are no bytes to be read.
func (s Socket) IsIdle() bool {
	_, err := s.Peek()
	return errors.Is(err, syscall.EAGAIN)
}

// Peek returns the number of bytes that can be read, at most 1 and 0 at the end of the connection, or an error.
// The error is EAGAIN if the connection is open and there are no bytes.
func (s Socket) Peek() (n int, err error) {
	if s.raw == nil {
		return 0, syscall.EBADF
	}
	if failure := s.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	}); failure != nil {
		return 0, failure
	}
	return n, err
}
