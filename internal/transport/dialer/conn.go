package dialer

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"tamarackrun/internal/transport/socket"
)

// conn is a TCP connection whose Read returns io.EOF only if the peer has closed its side. The system reports a
// reset or a timeout only once: if a write has got the error, the next read would otherwise return io.EOF, and a
// message that ends with its connection would look whole.
type conn struct{ *net.TCPConn }

// Read reads from the connection. It returns ECONNRESET at the end of a connection that has failed.
func (c conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if errors.Is(err, io.EOF) && hasFailed(c.TCPConn) {
		return n, &net.OpError{Op: "read", Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(),
			Err: os.NewSyscallError("read", syscall.ECONNRESET)}
	}
	return n, err
}

// WriteTo hides that of net.TCPConn, which would not call Read.
func (c conn) WriteTo(w io.Writer) (int64, error) { return io.Copy(w, reader{c}) }

// reader hides all methods but Read.
type reader struct{ io.Reader }

// hasFailed reports whether the connection has ended otherwise than by the ends of its two sides.
func hasFailed(c *net.TCPConn) bool {
	s, _ := socket.Of(c)
	return s.HasFailed()
}
