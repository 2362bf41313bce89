package caller

import (
	"net"
	"sync"
)

// limitedListener bounds the number of open connections. Further ones wait in the
// kernel's backlog.
type limitedListener struct {
	net.Listener
	// tokens holds one element for each open connection.
	tokens chan struct{}
	// closed is closed by Close, to end an Accept that waits for a token.
	closed chan struct{}
	close  func()
}

// limitListener returns a listener that keeps at most limit connections open.
func limitListener(l net.Listener, limit int) net.Listener {
	closed := make(chan struct{})
	return &limitedListener{l, make(chan struct{}, limit), closed, sync.OnceFunc(func() { close(closed) })}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	select {
	case l.tokens <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.tokens
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.tokens })}, nil
}

func (l *limitedListener) Close() error {
	l.close()
	return l.Listener.Close()
}

// limitedConn returns its token when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
