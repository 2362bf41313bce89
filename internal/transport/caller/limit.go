package caller

import (
	"net"
	"sync"
)

// limitedListener accepts at most a number of connections at a time; further
// ones wait in the kernel's backlog.
type limitedListener struct {
	net.Listener
	tokens chan struct{}
}

func limitListener(l net.Listener, limit int) net.Listener {
	return &limitedListener{l, make(chan struct{}, limit)}
}

func (l *limitedListener) Accept() (net.Conn, error) {
	l.tokens <- struct{}{}
	conn, err := l.Listener.Accept()
	if err != nil {
		<-l.tokens
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { <-l.tokens })}, nil
}

type limitedConn struct {
	net.Conn
	release func()
}

func (c *limitedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
