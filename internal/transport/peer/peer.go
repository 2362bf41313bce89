// Package peer links instances by yamux sessions over TCP.
package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"tamarackrun"
	"tamarackrun/internal/protocol/frame"
	"tamarackrun/internal/protocol/wire"
)

// Limits of a link. The library's defaults of 30 s, 10 s and 75 s would let a
// silent connection hold requests for longer than their deadlines.
const (
	keepAliveInterval = 2 * time.Second
	writeTimeout      = 2 * time.Second
	streamOpenTimeout = 2 * time.Second
	// dialTimeout includes the TLS handshake.
	dialTimeout        = time.Second
	firstMessageLimit  = 5 * time.Second
	handshakeLimit     = 5 * time.Second
	streamWindow       = 1 << 20
	acceptBacklog      = 1024
	defaultCallTimeout = 2 * time.Second
)

// Mesh is a PeerLink to any number of instances and serves their exchanges.
type Mesh struct {
	// Handler serves exchanges that peers open. Set before Run.
	Handler tamarackrun.PeerHandler
	// Identity is nil for links on loopback without TLS. Set before Run.
	Identity *Identity
	// NameAt returns the name of the instance that is listed at an address. It
	// is used only with an Identity. Set before Run.
	NameAt func(address string) (string, bool)
	// OnRefused is told of links that did not prove to be an instance of the
	// fleet. It may be nil. Set before Run.
	OnRefused func(remote string, err error)

	listener net.Listener
	mu       sync.Mutex
	// sessions holds at most one outgoing session for each address.
	sessions map[string]*yamux.Session
	// accepted holds the incoming sessions until they close.
	accepted map[*yamux.Session]struct{}
	closed   bool
}

// New listens on the address. The clean-up function closes all links.
func New(address string) (*Mesh, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	m := &Mesh{listener: listener, sessions: map[string]*yamux.Session{}, accepted: map[*yamux.Session]struct{}{}}
	return m, m.close, nil
}

// Address returns the address that the mesh listens on.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

func (m *Mesh) close() {
	_ = m.listener.Close()
	m.mu.Lock()
	m.closed = true
	var sessions []*yamux.Session
	for _, s := range m.sessions {
		sessions = append(sessions, s)
	}
	for s := range m.accepted {
		sessions = append(sessions, s)
	}
	m.mu.Unlock()
	for _, s := range sessions {
		_ = s.Close()
	}
}

func sessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.KeepAliveInterval = keepAliveInterval
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = streamOpenTimeout
	c.MaxStreamWindowSize = streamWindow
	// The library logs to standard error by default.
	c.LogOutput = io.Discard
	return c
}

// Run accepts links until the clean-up function is called.
func (m *Mesh) Run() error {
	for {
		conn, err := m.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go m.serveConnection(conn)
	}
}

// serveConnection verifies who opened a connection and serves it.
func (m *Mesh) serveConnection(conn net.Conn) {
	if m.Identity == nil {
		m.serveSession(conn, nil)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeLimit)
	defer cancel()
	secured, names, err := m.Identity.accept(ctx, conn)
	if err != nil {
		_ = conn.Close()
		m.refuse(conn, err)
		return
	}
	m.serveSession(secured, names)
}

func (m *Mesh) refuse(conn net.Conn, err error) {
	if m.OnRefused != nil {
		m.OnRefused(conn.RemoteAddr().String(), err)
	}
}

// serveSession serves a link. names are the verified names of the opener; nil
// means that the link is not secured.
func (m *Mesh) serveSession(conn net.Conn, names []string) {
	session, err := yamux.Server(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		_ = session.Close()
		return
	}
	m.accepted[session] = struct{}{}
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.accepted, session)
		m.mu.Unlock()
		_ = session.Close()
	}()
	for {
		s, err := session.AcceptStream()
		if err != nil {
			return
		}
		go m.serveStream(session, s, conn, names)
	}
}

func (m *Mesh) serveStream(session *yamux.Session, raw *yamux.Stream, conn net.Conn, names []string) {
	s := &stream{raw: raw}
	defer func() { _ = s.Close() }()
	_ = raw.SetReadDeadline(time.Now().Add(firstMessageLimit))
	first, err := s.Receive()
	if err != nil {
		return
	}
	if claimed := first.GetHeartbeat().GetState().GetName(); claimed != "" && names != nil && !slices.Contains(names, claimed) {
		m.refuse(conn, &CertificateNameError{Claimed: claimed, Certified: names})
		_ = session.Close()
		return
	}
	_ = raw.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		// The opener sends nothing more, so a read ends only when it closes
		// the stream or the link breaks: both cancel the exchange.
		_, _ = raw.Read(make([]byte, 1))
		cancel()
	}()
	m.Handler.ServePeer(ctx, first, s)
}

// Open starts an exchange. The stream closes when ctx ends.
func (m *Mesh) Open(ctx context.Context, address string) (tamarackrun.Stream, error) {
	s, _, err := m.open(ctx, address)
	if err != nil {
		return nil, err
	}
	return s, nil
}

func (m *Mesh) open(ctx context.Context, address string) (*stream, *yamux.Session, error) {
	session, err := m.session(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	raw, err := session.OpenStream()
	if err != nil {
		m.drop(address, session)
		return nil, session, err
	}
	s := &stream{raw: raw}
	s.stop = context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	return s, session, nil
}

// Call sends a message and waits for one reply.
func (m *Mesh) Call(ctx context.Context, address string, message *wire.Envelope) (*wire.Envelope, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	reply, _, err := m.call(ctx, address, message)
	return reply, err
}

// Probe is a Call that closes the link which it used if no reply comes, so that
// the next exchange uses a new connection. A link that another exchange has
// opened meanwhile stays open.
func (m *Mesh) Probe(ctx context.Context, address string, message *wire.Envelope) (*wire.Envelope, error) {
	reply, session, err := m.call(ctx, address, message)
	if err != nil && session != nil {
		m.drop(address, session)
	}
	return reply, err
}

func (m *Mesh) call(ctx context.Context, address string, message *wire.Envelope) (*wire.Envelope, *yamux.Session, error) {
	s, session, err := m.open(ctx, address)
	if err != nil {
		return nil, session, err
	}
	defer func() { _ = s.Close() }()
	if err := s.Send(message); err != nil {
		return nil, session, err
	}
	reply, err := s.Receive()
	return reply, session, err
}

func (m *Mesh) drop(address string, session *yamux.Session) {
	m.mu.Lock()
	if m.sessions[address] == session {
		delete(m.sessions, address)
	}
	m.mu.Unlock()
	_ = session.Close()
}

func (m *Mesh) session(ctx context.Context, address string) (*yamux.Session, error) {
	m.mu.Lock()
	session := m.sessions[address]
	m.mu.Unlock()
	if session != nil && !session.IsClosed() {
		return session, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := m.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	fresh, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return m.keep(address, fresh)
}

func (m *Mesh) dial(ctx context.Context, address string) (net.Conn, error) {
	name := ""
	if m.Identity != nil {
		listed, ok := m.NameAt(address)
		if !ok {
			return nil, &UnlistedError{address}
		}
		name = listed
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil || m.Identity == nil {
		return conn, err
	}
	secured, err := m.Identity.connect(ctx, conn, name)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return secured, nil
}

// keep stores a new session unless another dial was faster.
func (m *Mesh) keep(address string, fresh *yamux.Session) (*yamux.Session, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		_ = fresh.Close()
		return nil, net.ErrClosed
	}
	if current := m.sessions[address]; current != nil && !current.IsClosed() {
		_ = fresh.Close()
		return current, nil
	}
	m.sessions[address] = fresh
	return fresh, nil
}

// stream is one exchange.
type stream struct {
	raw  *yamux.Stream
	stop func() bool
}

func (s *stream) Send(message *wire.Envelope) error { return frame.Write(s.raw, message) }
func (s *stream) Receive() (*wire.Envelope, error)  { return frame.Read(s.raw) }
func (s *stream) Close() error {
	if s.stop != nil {
		s.stop()
	}
	return s.raw.Close()
}
