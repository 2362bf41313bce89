package soak

import (
	"context"
	"net"
	"sync"
	"time"
)

// mode is what a link does to the bytes of its connections.
type mode int

const (
	// open passes bytes on.
	open mode = iota
	// silent holds the bytes of both directions until the mode ends.
	silent
	// oneWay holds the bytes of answers only.
	oneWay
	// refusing resets new connections.
	refusing
)

// link is a TCP proxy in front of one listener, whose connections can be harmed.
type link struct {
	listener net.Listener

	mu     sync.Mutex
	target string
	mode   mode
	delay  time.Duration
	// changed is closed when the mode changes or the link ends.
	changed chan struct{}
	conns   map[*net.TCPConn]struct{}
	ended   bool
}

func newLink(target string) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
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

// harm sets the mode and the delay for a time. Refusing ends open connections too.
func (l *link) harm(ctx context.Context, m mode, delay, lasts time.Duration) {
	l.set(m, delay)
	if m == refusing {
		l.reset()
	}
	sleep(ctx, lasts)
	l.set(open, 0)
}

// retarget sends new connections to another address; an empty one refuses them.
func (l *link) retarget(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = address
}

// reset ends all connections at once.
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
	l.ended = true
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

func (l *link) connect(near *net.TCPConn) {
	l.mu.Lock()
	target, refused := l.target, l.mode == refusing
	l.mu.Unlock()
	if refused || target == "" {
		abort(near)
		return
	}
	c, err := net.Dial("tcp", target)
	if err != nil {
		abort(near)
		return
	}
	far := c.(*net.TCPConn)
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		abort(near)
		abort(far)
		return
	}
	l.conns[near], l.conns[far] = struct{}{}, struct{}{}
	l.mu.Unlock()
	go l.pass(near, far, false)
	l.pass(far, near, true)
}

// pass copies one direction until its end.
func (l *link) pass(from, to *net.TCPConn, answers bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.wait(answers)
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

func (l *link) wait(answers bool) {
	for {
		l.mu.Lock()
		held, delay, changed := !l.ended && (l.mode == silent || answers && l.mode == oneWay), l.delay, l.changed
		l.mu.Unlock()
		if !held {
			time.Sleep(delay)
			return
		}
		<-changed
	}
}
