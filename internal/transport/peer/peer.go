// Package peer connects instances by yamux sessions over TCP or TLS.
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
	"tamarackrun/internal/transport/dialer"
)

// Limits of a session. With the library's defaults of 30 s, 10 s and 75 s for the
// first three, a connection that was lost without a reset would hold requests
// beyond their deadlines.
const (
	keepAliveInterval = 2 * time.Second
	writeTimeout      = 2 * time.Second
	streamOpenTimeout = 2 * time.Second
	// dialTimeout bounds the time to connect, including the TLS handshake.
	dialTimeout         = time.Second
	firstMessageTimeout = 5 * time.Second
	handshakeTimeout    = 5 * time.Second
	// streamWindow is the receive window of a stream, in bytes.
	streamWindow = 1 << 20
	// acceptBacklog is the number of streams of a session that may wait to be accepted.
	acceptBacklog      = 1024
	defaultCallTimeout = 2 * time.Second
)

// Mesh is a tamarackrun.PeerClient for any number of instances. It also serves the
// streams that they open.
type Mesh struct {
	// Handler serves the streams that peers open. It is set before Run.
	Handler tamarackrun.PeerHandler
	// Identity secures the connections. It is nil for connections without TLS on
	// loopback. It is set before Run.
	Identity *Identity
	// NameAt returns the name of the instance that is listed at an address. It is
	// used only with an Identity. It is set before Run.
	NameAt func(address string) (string, bool)
	// OnRefused is called for each incoming connection whose other end could not
	// be verified as an instance of the fleet. It may be nil. It is set before
	// Run.
	OnRefused func(remote string, err error)

	listener net.Listener
	mu       sync.Mutex
	// outgoing holds the session of this instance to each address.
	outgoing map[string]*yamux.Session
	// incoming holds the sessions that other instances opened, until they close.
	incoming map[*yamux.Session]struct{}
	closed   bool
}

// New listens on the address. The clean-up function closes all connections.
func New(address string) (*Mesh, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	m := &Mesh{listener: listener, outgoing: map[string]*yamux.Session{}, incoming: map[*yamux.Session]struct{}{}}
	return m, m.close, nil
}

// Address returns the address that the mesh listens on.
func (m *Mesh) Address() string { return m.listener.Addr().String() }

func (m *Mesh) close() {
	_ = m.listener.Close()
	m.mu.Lock()
	m.closed = true
	var sessions []*yamux.Session
	for _, s := range m.outgoing {
		sessions = append(sessions, s)
	}
	for s := range m.incoming {
		sessions = append(sessions, s)
	}
	m.mu.Unlock()
	for _, s := range sessions {
		_ = s.Close()
	}
}

// sessionConfig returns the configuration of a yamux session.
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

// Run accepts connections until the clean-up function is called.
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

// serveConnection verifies the other end of an incoming connection and serves it.
func (m *Mesh) serveConnection(conn net.Conn) {
	if m.Identity == nil {
		m.serveSession(conn, nil)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	secured, verifiedNames, err := m.Identity.accept(ctx, conn)
	if err != nil {
		_ = conn.Close()
		m.reportRefusal(conn, err)
		return
	}
	m.serveSession(secured, verifiedNames)
}

// reportRefusal passes the reason why a connection is refused to OnRefused.
func (m *Mesh) reportRefusal(conn net.Conn, err error) {
	if m.OnRefused != nil {
		m.OnRefused(conn.RemoteAddr().String(), err)
	}
}

// serveSession serves an incoming connection. The verified names are those of the
// other end's certificate; they are nil if the connection is not secured.
func (m *Mesh) serveSession(conn net.Conn, verifiedNames []string) {
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
	m.incoming[session] = struct{}{}
	m.mu.Unlock()
	defer func() {
		m.mu.Lock()
		delete(m.incoming, session)
		m.mu.Unlock()
		_ = session.Close()
	}()
	for {
		s, err := session.AcceptStream()
		if err != nil {
			return
		}
		go m.serveStream(session, s, conn, verifiedNames)
	}
}

// serveStream serves one stream of an incoming session.
func (m *Mesh) serveStream(session *yamux.Session, raw *yamux.Stream, conn net.Conn, verifiedNames []string) {
	s := &stream{raw: raw}
	defer func() { _ = s.Close() }()
	_ = raw.SetReadDeadline(time.Now().Add(firstMessageTimeout))
	first, err := s.Receive()
	if err != nil {
		return
	}
	if claimed := first.GetHeartbeat().GetState().GetName(); claimed != "" && verifiedNames != nil && !slices.Contains(verifiedNames, claimed) {
		m.reportRefusal(conn, &CertificateNameError{Claimed: claimed, Certified: verifiedNames})
		_ = session.Close()
		return
	}
	_ = raw.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		// The other end sends nothing after the first message. A read returns
		// only if it closes the stream or the connection is lost, and both cancel
		// the context.
		_, _ = raw.Read(make([]byte, 1))
		cancel()
	}()
	m.Handler.ServePeer(ctx, first, s)
}

// Open opens a stream. Reads and writes on it fail after ctx has ended.
func (m *Mesh) Open(ctx context.Context, address string) (tamarackrun.Stream, error) {
	s, _, err := m.open(ctx, address)
	if err != nil {
		return nil, err
	}
	return s, nil
}

// open opens a stream and returns it with its session. After an error, the session
// is the one on which the stream could not be opened, or nil.
func (m *Mesh) open(ctx context.Context, address string) (*stream, *yamux.Session, error) {
	session, err := m.session(ctx, address)
	if err != nil {
		return nil, nil, err
	}
	raw, err := session.OpenStream()
	if err != nil {
		m.closeSession(address, session)
		return nil, session, err
	}
	s := &stream{raw: raw}
	s.detachContext = context.AfterFunc(ctx, func() { _ = raw.SetDeadline(time.Unix(1, 0)) })
	return s, session, nil
}

// Call sends a message on a new stream and waits for one reply.
func (m *Mesh) Call(ctx context.Context, address string, message *wire.Envelope) (*wire.Envelope, error) {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultCallTimeout)
		defer cancel()
	}
	reply, _, err := m.call(ctx, address, message)
	return reply, err
}

// Probe is a Call that closes its session if no reply comes, so that the next stream
// is opened on a new connection. A session that was opened meanwhile stays open.
func (m *Mesh) Probe(ctx context.Context, address string, message *wire.Envelope) (*wire.Envelope, error) {
	reply, session, err := m.call(ctx, address, message)
	if err != nil && session != nil {
		m.closeSession(address, session)
	}
	return reply, err
}

// call is Call that also returns the session of the stream, or nil if there was none.
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

// closeSession closes a session, so that the next stream to the address is opened on
// another one.
func (m *Mesh) closeSession(address string, session *yamux.Session) {
	m.mu.Lock()
	if m.outgoing[address] == session {
		delete(m.outgoing, address)
	}
	m.mu.Unlock()
	_ = session.Close()
}

// session returns the session to an address, and opens one if there is none.
func (m *Mesh) session(ctx context.Context, address string) (*yamux.Session, error) {
	m.mu.Lock()
	session := m.outgoing[address]
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
	return m.storeSession(address, fresh)
}

// dial connects to an address, and verifies the other end if there is an Identity.
func (m *Mesh) dial(ctx context.Context, address string) (net.Conn, error) {
	name := ""
	if m.Identity != nil {
		listed, ok := m.NameAt(address)
		if !ok {
			return nil, &UnlistedError{address}
		}
		name = listed
	}
	conn, err := dialer.New(dialTimeout).DialContext(ctx, "tcp", address)
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

// storeSession stores a new session to an address and returns it. If another one was
// opened meanwhile, it closes the new session and returns the other one.
func (m *Mesh) storeSession(address string, fresh *yamux.Session) (*yamux.Session, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		_ = fresh.Close()
		return nil, net.ErrClosed
	}
	if current := m.outgoing[address]; current != nil && !current.IsClosed() {
		_ = fresh.Close()
		return current, nil
	}
	m.outgoing[address] = fresh
	return fresh, nil
}

// stream is a tamarackrun.Stream.
type stream struct {
	raw *yamux.Stream
	// detachContext ends the effect of the context of Open on the stream; nil for
	// streams that peers opened.
	detachContext func() bool
}

func (s *stream) Send(message *wire.Envelope) error { return frame.Write(s.raw, message) }
func (s *stream) Receive() (*wire.Envelope, error)  { return frame.Read(s.raw) }
func (s *stream) Close() error {
	if s.detachContext != nil {
		s.detachContext()
	}
	return s.raw.Close()
}
