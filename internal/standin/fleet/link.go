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
	linkBufferSize  = 32 << 10
)

// LinkState is how a link treats connections.
type LinkState int

// States of a link.
const (
	// Open passes everything on.
	Open LinkState = iota
	// Cut closes all connections and refuses new ones.
	Cut
	// Silent accepts connections and passes nothing on.
	Silent
)

// Link passes TCP connections on to a target. It can be cut or made silent, as a
// network path is that was lost without a reset.
type Link struct {
	target   string
	listener net.Listener

	mu          sync.Mutex
	state       LinkState
	connections int
	// pairs holds the relayed connections; a silent one stays silent for ever.
	pairs map[*pair]bool
}

// pair is one relayed connection.
type pair struct {
	near, far net.Conn
	// silent and closed are closed to silence and to end the pair.
	silent, closed chan struct{}
	silence, close func()
}

func newPair(near, far net.Conn) *pair {
	p := &pair{near: near, far: far, silent: make(chan struct{}), closed: make(chan struct{})}
	p.silence = sync.OnceFunc(func() { close(p.silent) })
	p.close = sync.OnceFunc(func() {
		close(p.closed)
		_ = near.Close()
		_ = far.Close()
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
	go l.run()
	return l, l.close, nil
}

// Address is where the link listens.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Connections returns how many connections were passed on.
func (l *Link) Connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connections
}

func (l *Link) run() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.relay(conn)
	}
}

func (l *Link) relay(near net.Conn) {
	far, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	if err != nil {
		_ = near.Close()
		return
	}
	p := newPair(near, far)
	defer p.close()
	if !l.add(p) {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { p.copy(near, far) })
	group.Go(func() { p.copy(far, near) })
	group.Wait()
	l.mu.Lock()
	delete(l.pairs, p)
	l.mu.Unlock()
}

// add returns false if the link is cut.
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

// copy passes bytes on until either end closes. A silent connection is neither
// read nor closed, so that neither end learns of the other.
func (p *pair) copy(from, to net.Conn) {
	buffer := make([]byte, linkBufferSize)
	for {
		n, err := from.Read(buffer)
		select {
		case <-p.silent:
			<-p.closed
			return
		default:
		}
		if _, failed := to.Write(buffer[:n]); failed != nil || err != nil {
			p.close()
			return
		}
	}
}

// Set changes the state. Connections that were silent stay silent.
func (l *Link) Set(state LinkState) {
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

// Silence makes the open connections silent for ever, while new ones work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.silence()
	}
}

func (l *Link) close() {
	_ = l.listener.Close()
	l.Set(Cut)
}

// route names a link; the platform has the empty name.
type route struct{ from, to string }

// openLinks opens a link from each instance to each other and to the platform.
func (f *Fleet) openLinks() error {
	open := func(from, to, target string) error {
		l, cleanup, err := NewLink(f.ip, target)
		if err == nil {
			f.links[route{from, to}] = l
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
		s := &http.Server{Handler: f.platformFor(from), ReadHeaderTimeout: requestTimeout}
		go func() { _ = s.Serve(listener) }()
		f.cleanups = append(f.cleanups, func() { _ = s.Close() })
		if err := open(from.Listing.Name, "", listener.Addr().String()); err != nil {
			return err
		}
	}
	return nil
}

// platformOf returns the address at which an instance reaches the platform.
func (f *Fleet) platformOf(i *Instance) string {
	if l := f.links[route{i.Listing.Name, ""}]; l != nil {
		return l.Address()
	}
	return f.PlatformAddress()
}

// platformFor serves the platform to one instance: its list names the links to
// the other instances instead of their addresses.
func (f *Fleet) platformFor(i *Instance) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/instances" {
			f.Platform.ServeHTTP(w, r)
			return
		}
		b := &bufferedWriter{ResponseWriter: w}
		f.Platform.ServeHTTP(b, r)
		var list []tamarackrun.Listing
		_ = json.Unmarshal(b.content.Bytes(), &list)
		for n := range list {
			if l := f.links[route{i.Listing.Name, list[n].Name}]; l != nil {
				list[n].PeerAddress = l.Address()
			}
		}
		_ = json.NewEncoder(w).Encode(list)
	})
}

// bufferedWriter keeps the body back.
type bufferedWriter struct {
	http.ResponseWriter
	content bytes.Buffer
}

func (b *bufferedWriter) Write(p []byte) (int, error) { return b.content.Write(p) }

// Link returns the link between two instances in one direction.
func (f *Fleet) Link(from, to *Instance) *Link {
	return f.links[route{from.Listing.Name, to.Listing.Name}]
}

// StoreLink returns the link from an instance to the platform.
func (f *Fleet) StoreLink(i *Instance) *Link { return f.links[route{i.Listing.Name, ""}] }

// SilenceAll makes the open connections of all links silent for ever.
func (f *Fleet) SilenceAll() {
	for _, l := range f.links {
		l.Silence()
	}
}

// Isolate sets the links between the instances and all others, and from the
// instances to the platform. Links among the instances stay.
func (f *Fleet) Isolate(state LinkState, instances ...*Instance) {
	inside := map[string]bool{"": false}
	for _, i := range instances {
		inside[i.Listing.Name] = true
	}
	for r, l := range f.links {
		if inside[r.from] != inside[r.to] {
			l.Set(state)
		}
	}
}
