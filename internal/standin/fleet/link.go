package fleet

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"tamarackrun"
)

const (
	linkDialTimeout = time.Second
	// linkBufferSize is the largest number of bytes that are forwarded at once.
	linkBufferSize = 32 << 10
)

// LinkState is how a link treats connections.
type LinkState int

// States of a link.
const (
	// Open forwards everything.
	Open LinkState = iota
	// Cut closes all connections and refuses new ones.
	Cut
	// Silent accepts connections and forwards nothing.
	Silent
)

// Link is a TCP proxy in front of a target. It can close its connections or make
// them silent, like a network path that drops packets without a reset.
type Link struct {
	target   string
	listener net.Listener

	mu          sync.Mutex
	state       LinkState
	connections int
	// pairs holds the relayed connections. A silent one never recovers.
	pairs map[*pair]bool
}

// pair is one relayed connection.
type pair struct {
	downstream, upstream net.Conn
	// silent is closed to make the pair silent, and closed to close it.
	silent, closed chan struct{}
	silence, close func()
}

func newPair(downstream, upstream net.Conn) *pair {
	p := &pair{downstream: downstream, upstream: upstream, silent: make(chan struct{}), closed: make(chan struct{})}
	p.silence = sync.OnceFunc(func() { close(p.silent) })
	p.close = sync.OnceFunc(func() {
		close(p.closed)
		_ = downstream.Close()
		_ = upstream.Close()
	})
	return p
}

// NewLink listens on a free port of the host. The clean-up function closes all
// connections.
func NewLink(host, target string) (*Link, func(), error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, nil, err
	}
	l := &Link{target: target, listener: listener, pairs: map[*pair]bool{}}
	go l.acceptAll()
	return l, l.close, nil
}

// Address returns the address at which the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Connections returns how many connections have been relayed so far.
func (l *Link) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connections
}

// acceptAll relays each incoming connection until the listener is closed.
func (l *Link) acceptAll() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.relay(conn)
	}
}

// relay connects to the target and forwards bytes until the connection ends.
func (l *Link) relay(downstream net.Conn) {
	upstream, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	if err != nil {
		_ = downstream.Close()
		return
	}
	p := newPair(downstream, upstream)
	defer p.close()
	if !l.add(p) {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { p.copyBytes(downstream, upstream) })
	group.Go(func() { p.copyBytes(upstream, downstream) })
	group.Wait()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// add registers a connection and reports whether it may be relayed, which it may
// not if the link is cut.
func (l *Link) add(p *pair) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state == Cut {
		return false
	}
	if l.state == Silent {
		p.silence()
	}
	l.connections++
	l.pairs[p] = true
	return true
}

// copyBytes forwards bytes until either end closes. A silent connection is neither
// read nor closed, so that neither end notices what the other does.
func (p *pair) copyBytes(from, to net.Conn) {
	buffer := make([]byte, linkBufferSize)
	for {
		n, err := from.Read(buffer)
		select {
		case <-p.silent:
			<-p.closed
			return
		default:
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil || err != nil {
			p.close()
			return
		}
	}
}

// SetState changes the state. Connections that are silent stay silent.
func (l *Link) SetState(state LinkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	for p := range l.pairs {
		switch state {
		case Cut:
			p.close()
		case Silent:
			p.silence()
		}
	}
}

// Silence makes the open connections silent for good, while new ones work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.silence()
	}
}

func (l *Link) close() {
	_ = l.listener.Close()
	l.SetState(Cut)
}

// linkEnds identifies a link by the instances at its ends. The platform has the
// empty name.
type linkEnds struct{ from, to string }

// openLinks opens a link from each instance to each other one and to the platform,
// which each instance reaches through a server of its own.
func (f *Fleet) openLinks() error {
	open := func(from, to, target string) error {
		l, cleanup, err := NewLink(f.ip, target)
		if err == nil {
			f.links[linkEnds{from, to}] = l
			f.cleanups = append(f.cleanups, cleanup)
		}
		return err
	}
	for _, from := range f.Instances {
		for _, to := range f.Instances {
			if from != to {
				if err := open(from.Listing.Name, to.Listing.Name, to.Listing.PeerAddress); err != nil {
					return err
				}
			}
		}
		listener, err := net.Listen("tcp", net.JoinHostPort(f.ip, "0"))
		if err != nil {
			return err
		}
		server := &http.Server{Handler: f.platformHandlerFor(from), ReadHeaderTimeout: requestTimeout}
		go func() { _ = server.Serve(listener) }()
		f.cleanups = append(f.cleanups, func() { _ = server.Close() })
		if err := open(from.Listing.Name, "", listener.Addr().String()); err != nil {
			return err
		}
	}
	return nil
}

// platformAddressFor returns the address at which an instance reaches the
// platform.
func (f *Fleet) platformAddressFor(i *Instance) string {
	if l := f.links[linkEnds{i.Listing.Name, ""}]; l != nil {
		return l.Address()
	}
	return f.PlatformAddress()
}

// platformHandlerFor returns the platform as one instance sees it: the list of
// instances holds the addresses of the links to the other instances.
func (f *Fleet) platformHandlerFor(i *Instance) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/instances" {
			f.Platform.ServeHTTP(w, r)
			return
		}
		b := &bufferedWriter{ResponseWriter: w}
		f.Platform.ServeHTTP(b, r)
		var list []tamarackrun.Listing
		_ = json.Unmarshal(b.body.Bytes(), &list)
		for n := range list {
			if l := f.links[linkEnds{i.Listing.Name, list[n].Name}]; l != nil {
				list[n].PeerAddress = l.Address()
			}
		}
		_ = json.NewEncoder(w).Encode(list)
	})
}

// bufferedWriter collects the body instead of sending it.
type bufferedWriter struct {
	http.ResponseWriter
	body bytes.Buffer
}

func (b *bufferedWriter) Write(p []byte) (int, error) { return b.body.Write(p) }

// Link returns the link between two instances in one direction.
func (f *Fleet) Link(from, to *Instance) *Link {
	return f.links[linkEnds{from.Listing.Name, to.Listing.Name}]
}

// PlatformLink returns the link from an instance to the platform.
func (f *Fleet) PlatformLink(i *Instance) *Link { return f.links[linkEnds{i.Listing.Name, ""}] }

// SilenceAll makes the open connections of all links silent for good.
func (f *Fleet) SilenceAll() {
	for _, l := range f.links {
		l.Silence()
	}
}

// Isolate sets the state of the links between the instances and the rest of the
// fleet, the platform included. Links among the instances stay.
func (f *Fleet) Isolate(state LinkState, instances ...*Instance) {
	inside := map[string]bool{"": false}
	for _, i := range instances {
		inside[i.Listing.Name] = true
	}
	for ends, l := range f.links {
		if inside[ends.from] != inside[ends.to] {
			l.SetState(state)
		}
	}
}
