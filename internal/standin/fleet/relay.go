package fleet

import (
	"errors"
	"io"
	"net"
	"sync"
)

// Relay passes TCP connections on to a target. It can make the open ones go
// silent, as a network path does that was lost without a reset, while new ones
// work.
type Relay struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	connections int
	// silent is closed to silence the connections that hold it.
	silent chan struct{}
	// open holds the ends of all connections, to be closed at the end.
	open []net.Conn
}

// NewRelay listens on a free port of the loopback address. The clean-up
// function closes all connections.
func NewRelay(target string) (*Relay, func(), error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	r := &Relay{listener: listener, target: target, silent: make(chan struct{})}
	go r.accept()
	return r, r.close, nil
}

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Connections returns how many connections were accepted.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.connections
}

// Silence stops passing bytes on the open connections, for ever, without
// closing them.
func (r *Relay) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.silent)
	r.silent = make(chan struct{})
}

func (r *Relay) close() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.open {
		_ = c.Close()
	}
}

func (r *Relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		r.mu.Lock()
		r.connections++
		r.open = append(r.open, near, far)
		silent := r.silent
		r.mu.Unlock()
		go pass(near, far, silent)
		go pass(far, near, silent)
	}
}

// pass copies until either end closes. A silenced connection stays open and
// bytes are no longer read, so that neither end learns of it.
func pass(from, to net.Conn, silent <-chan struct{}) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		select {
		case <-silent:
			return
		default:
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.Close()
			}
			_ = from.Close()
			return
		}
	}
}
