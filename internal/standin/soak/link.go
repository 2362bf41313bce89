package soak

import (
	"context"
	"net"
	"sync"
	"time"

	"tamarackrun/internal/standin/partition"
)

// mode is what a link does to the bytes of its connections.
type mode int

const (
	// open passes bytes on.
	open mode = iota
	// stalled holds back the bytes of both directions until the mode ends.
	stalled
	// answersStalled holds back the bytes of answers only.
	answersStalled
	// refusing resets new connections.
	refusing
)

// link is a TCP proxy in front of one listener that can delay, stall, reset and
// refuse connections. It connects to the target from the address of the client, so that the target
// knows which instance has sent a request.
type link struct {
	listener *partition.Listener

	mu     sync.Mutex
	target string
	mode   mode
	delay  time.Duration
	// changed is closed when the mode changes or the link is closed.
	changed chan struct{}
	conns   map[*net.TCPConn]struct{}
	closed  bool
}

func newLink(target string) (*link, error) {
	listener, err := partition.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, target: target, changed: make(chan struct{}), conns: map[*net.TCPConn]struct{}{}}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

// set changes the mode and the delay of each chunk of bytes.
func (l *link) set(m mode, delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode, l.delay = m, delay
	close(l.changed)
	l.changed = make(chan struct{})
}

// setFor sets the mode and the delay for a time. The mode refusing also resets
// open connections.
func (l *link) setFor(ctx context.Context, m mode, delay, duration time.Duration) {
	l.set(m, delay)
	if m == refusing {
		l.reset()
	}
	sleep(ctx, duration)
	l.set(open, 0)
}

// retarget forwards new connections to another address; an empty one refuses
// them.
func (l *link) retarget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = address
}

// reset resets all connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		abort(c)
	}
	clear(l.conns)
}

func (l *link) close() {
	_ = l.listener.Close()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.set(open, 0)
	l.reset()
}

// abort closes a connection so that the peer sees a reset.
func abort(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (l *link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(c.(*net.TCPConn))
	}
}

// connect relays a connection to the target until it ends.
func (l *link) connect(downstream *net.TCPConn) {
	l.mu.Lock()
	target, refused := l.target, l.mode == refusing
	l.mu.Unlock()
	if refused || target == "" {
		abort(downstream)
		return
	}
	from := net.TCPAddr{IP: downstream.RemoteAddr().(*net.TCPAddr).IP}
	c, err := (&net.Dialer{LocalAddr: &from}).Dial("tcp", target)
	if err != nil {
		abort(downstream)
		return
	}
	upstream := c.(*net.TCPConn)
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		abort(downstream)
		abort(upstream)
		return
	}
	l.conns[downstream], l.conns[upstream] = struct{}{}, struct{}{}
	l.mu.Unlock()
	go l.copyBytes(downstream, upstream, false)
	l.copyBytes(upstream, downstream, true)
}

// copyBytes forwards one direction until its end and closes the connection then.
func (l *link) copyBytes(from, to *net.TCPConn, answers bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.awaitPassing(answers)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	l.mu.Lock()
	delete(l.conns, from)
	delete(l.conns, to)
	l.mu.Unlock()
}

// awaitPassing waits until the mode lets bytes of the direction pass, and then for
// the delay.
func (l *link) awaitPassing(answers bool) {
	for {
		l.mu.Lock()
		held, delay, changed := !l.closed && (l.mode == stalled || answers && l.mode == answersStalled), l.delay, l.changed
		l.mu.Unlock()
		if !held {
			time.Sleep(delay)
			return
		}
		<-changed
	}
}
