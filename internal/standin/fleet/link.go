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

// Link is a TCP relay that can be cut or made silent.
type Link struct {
	address  string
	target   string
	listener net.Listener

	mu    sync.Mutex
	state LinkState
	// conns holds both ends of each connection; a silent one stays silent for
	// ever.
	conns map[net.Conn]*pair
}

// pair is one relayed connection.
type pair struct {
	near, far net.Conn
	silent    bool
}

// newLink listens on the host and relays to the target.
func newLink(host, target string) (*Link, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, err
	}
	l := &Link{address: listener.Addr().String(), target: target, listener: listener, conns: map[net.Conn]*pair{}}
	go l.run()
	return l, nil
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
	l.mu.Lock()
	state := l.state
	l.mu.Unlock()
	if state == Cut {
		_ = near.Close()
		return
	}
	far, err := net.DialTimeout("tcp", l.target, linkDialTimeout)
	if err != nil {
		_ = near.Close()
		return
	}
	p := &pair{near: near, far: far}
	l.mu.Lock()
	p.silent = l.state == Silent
	l.conns[near] = p
	l.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { l.copy(p, near, far) })
	group.Go(func() { l.copy(p, far, near) })
	group.Wait()
	l.mu.Lock()
	delete(l.conns, near)
	l.mu.Unlock()
}

func (l *Link) copy(p *pair, from, to net.Conn) {
	defer func() { _ = p.near.Close(); _ = p.far.Close() }()
	buffer := make([]byte, linkBufferSize)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		silent := p.silent
		l.mu.Unlock()
		if !silent && n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// Set changes the state. Connections that were silent stay silent.
func (l *Link) Set(state LinkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = state
	for _, p := range l.conns {
		switch state {
		case Cut:
			_ = p.near.Close()
			_ = p.far.Close()
		case Silent:
			p.silent = true
		}
	}
}

// Silence makes the open connections silent for ever, while new ones work.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.conns {
		p.silent = true
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
		l, err := newLink(f.ip, target)
		if err == nil {
			f.links[route{from, to}] = l
			f.cleanups = append(f.cleanups, l.close)
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
		return l.address
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
				list[n].PeerAddress = l.address
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
