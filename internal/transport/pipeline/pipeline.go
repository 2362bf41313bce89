// Package pipeline is an HTTP/1 server for callers that pipeline requests: they send
// further requests on a connection before the first one is answered. The server of
// net/http reads a request only after it has answered the previous one, so
// pipelined requests would run one after the other.
package pipeline

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"tamarackrun"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/memory"
)

const (
	// maxPending bounds the unanswered requests of one connection. At the bound no
	// further request is read.
	maxPending = 64
	// maxHeadLines bounds the number of lines of a request's head.
	maxHeadLines = 512
	// defaultMemory is the memory for request bodies if none is set, in bytes.
	defaultMemory = 64 << 20
	// writeTimeout bounds the write of an answer, since callers may not read.
	writeTimeout = 10 * time.Second
	// lingerTimeout bounds how long a closing connection waits for the caller to
	// close it.
	lingerTimeout = time.Second
	// Keep-alive probes detect callers that disappeared without closing their
	// connection.
	keepAliveIdle, keepAliveInterval, keepAliveCount = 5 * time.Second, 2 * time.Second, 3
	// acceptPause is the pause after an error of accept, such as a lack of file
	// descriptors.
	acceptPause = 20 * time.Millisecond
)

// Call is a request of a caller.
type Call struct {
	Request *http.Request
	Body    []byte
	// Arrived is when the last byte of the request was read.
	Arrived time.Time

	// reserved is the memory that Body holds, in bytes.
	reserved int64
}

// Answer is a complete answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// Release is called once the answer was written or can't be delivered. It may be
	// nil.
	Release func()
}

func (a Answer) release() {
	if a.Release != nil {
		a.Release()
	}
}

// Handler answers requests.
type Handler interface {
	// Idempotent reports whether the request may run more than once. Other
	// requests wait until all earlier ones on their connection are answered,
	// because callers repeat the requests that follow an answer which closes the
	// connection.
	Idempotent(r *http.Request) bool
	// Serve answers a request. The context ends when the caller has closed the
	// connection or the server cancels running requests.
	Serve(ctx context.Context, call Call) Answer
	// Refuse answers a request that could not be read.
	Refuse(reason tamarackrun.Reason) Answer
	// Limits returns the limits of requests.
	Limits() configuration.Limits
}

// Server serves the callers' port.
type Server struct {
	// Handler is set before Run.
	Handler Handler
	// Bodies is the memory for the bodies of requests; requests beyond it are refused.
	// Its limit is set before Run.
	Bodies memory.Budget
	// MaxConnections bounds the callers' connections; 0 means no bound. At the bound, those that have been idle the
	// longest are closed in favour of new ones, and if all have requests, a new one is closed unread. It is set
	// before Run.
	MaxConnections int
	// OnEvict is called with the number of connections that are closed to make room for others. It may be nil. It
	// is set before Run.
	OnEvict func(n int)

	listener net.Listener
	// closingIdle reports whether connections are closed as soon as they are
	// idle.
	closingIdle atomic.Bool
	// requestContext ends when running requests are cancelled.
	requestContext context.Context
	cancelRequests context.CancelFunc
	mu             sync.Mutex
	// connections holds all open connections, and ended is signalled when one has ended.
	connections map[*connection]struct{}
	ended       *sync.Cond
	// idle holds the connections without a request but for the evicted ones, and evicted is the number of
	// connections that are closed as soon as they have no request.
	idle    idleConnections
	evicted int
}

// New listens on the address. The clean-up function closes the listener and all
// connections.
func New(address string) (*Server, func(), error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	s := &Server{listener: listener, connections: map[*connection]struct{}{}}
	s.ended = sync.NewCond(&s.mu)
	s.Bodies.Limit = defaultMemory
	s.requestContext, s.cancelRequests = context.WithCancel(context.Background())
	return s, s.close, nil
}

// Run accepts connections until the server is closed.
func (s *Server) Run() error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// Descriptors may be used up below the bound.
			s.makeRoom(1)
			time.Sleep(acceptPause)
			continue
		}
		c := newConnection(s, conn)
		s.makeRoom(s.add(c))
		go func() {
			c.run()
			s.remove(c)
		}()
	}
}

// remove forgets a connection that has ended.
func (s *Server) remove(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
	s.idle.remove(c)
	if c.evicted {
		s.evicted--
	}
	s.ended.Broadcast()
}

// add adds a connection and returns by how many there are more than MaxConnections.
func (s *Server) add(c *connection) (excess int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[c] = struct{}{}
	if s.MaxConnections == 0 {
		return 0
	}
	s.idle.add(c)
	return len(s.connections) - s.evicted - s.MaxConnections
}

// makeRoom closes the connections that have been idle the longest, if there are too many. It closes some more than
// the excess, but at most half of the idle ones unless that is none.
func (s *Server) makeRoom(excess int) {
	if s.MaxConnections == 0 || excess <= 0 {
		return
	}
	n := excess + s.MaxConnections/evictionBatch
	s.mu.Lock()
	oldest := s.idle.takeOldest(max(1, min(n, s.idle.order.Len()/2)))
	for _, c := range oldest {
		c.evicted = true
	}
	s.evicted += len(oldest)
	s.mu.Unlock()
	for _, c := range oldest {
		c.closeWhenIdle()
	}
	if s.OnEvict != nil {
		s.OnEvict(len(oldest))
	}
}

// setIdle records whether a connection has no request.
func (s *Server) setIdle(c *connection, idle bool) {
	if s.MaxConnections == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if idle && !c.evicted {
		s.idle.add(c)
	} else {
		s.idle.remove(c)
	}
}

// CloseIdle closes the connections that have no request, and the others as soon as
// they have none. A request that arrives while its connection is being closed is not
// dispatched.
func (s *Server) CloseIdle() {
	s.closingIdle.Store(true)
	for _, c := range s.listConnections() {
		c.closeIfIdle()
	}
}

// CancelRequests cancels the running requests. Their handlers then return, so their
// answers are written, and with them the finished answers that wait behind them.
func (s *Server) CancelRequests() { s.cancelRequests() }

// Wait waits until all connections are closed or the context ends. Connections may be accepted
// meanwhile, so a sync.WaitGroup can't count them.
func (s *Server) Wait(ctx context.Context) {
	defer context.AfterFunc(ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ended.Broadcast()
	})()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.connections) > 0 && ctx.Err() == nil {
		s.ended.Wait()
	}
}

// ConnectionCount returns the number of open connections.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

func (s *Server) listConnections() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		list = append(list, c)
	}
	return list
}

func (s *Server) close() {
	s.cancelRequests()
	_ = s.listener.Close()
	for _, c := range s.listConnections() {
		c.abort()
	}
}
