// Package pipeline serves callers that send further requests on a connection
// before the first one is answered. net/http reads the next request only after
// the answer to the one before, which would run them one after the other.
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
)

const (
	// maxOpen bounds the requests of one connection that are not answered. The
	// connection is not read beyond it.
	maxOpen = 64
	// maxHeldBodies bounds the memory of request bodies of all connections, in
	// bytes. A request beyond it is refused.
	maxHeldBodies = 64 << 20
	// writeTimeout ends connections of callers that do not read.
	writeTimeout = 10 * time.Second
	// lingerTime is how long a closing connection waits for the caller's end.
	lingerTime = time.Second
	// Probes find a caller whose connection went silent.
	probeIdle, probeInterval, probeCount = 5 * time.Second, 2 * time.Second, 3
	// acceptPause follows an error of accept, such as a lack of descriptors.
	acceptPause = 20 * time.Millisecond
)

// Call is one request of a caller.
type Call struct {
	Request *http.Request
	Body    []byte
	// Arrived is when the last byte was read.
	Arrived time.Time
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Handler answers requests.
type Handler interface {
	// Idempotent says whether the request may run more than once. Requests that
	// may not are held until all earlier ones of their connection are answered,
	// because callers repeat requests behind an answer that closes the
	// connection.
	Idempotent(r *http.Request) bool
	// Serve answers a request. The context ends when the caller has left.
	Serve(ctx context.Context, call Call) Answer
	// Refuse answers a request that could not be read.
	Refuse(reason tamarackrun.Reason) Answer
	// Limits returns the limits of requests.
	Limits() configuration.Limits
}

// Server is the callers' port.
type Server struct {
	// Handler is set before Run.
	Handler Handler

	listener net.Listener
	// leaving says that answers close their connections, and that connections
	// end as soon as they are idle.
	leaving atomic.Bool
	// work ends when running requests are to be broken off.
	work    context.Context
	endWork context.CancelFunc
	held    atomic.Int64
	mu      sync.Mutex
	// open has all connections.
	open  map[*connection]struct{}
	group sync.WaitGroup
}

// New listens on the address. The clean-up function closes the listener and all
// connections.
func New(address string) (*Server, func(), error) {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, nil, err
	}
	s := &Server{listener: listener, open: map[*connection]struct{}{}}
	s.work, s.endWork = context.WithCancel(context.Background())
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
			time.Sleep(acceptPause)
			continue
		}
		c := newConnection(s, conn)
		s.mu.Lock()
		s.open[c] = struct{}{}
		s.mu.Unlock()
		s.group.Go(func() {
			c.run()
			s.mu.Lock()
			delete(s.open, c)
			s.mu.Unlock()
		})
	}
}

// CloseIdle closes the connections on which no request is open, and later ones
// as soon as they have none. Requests that cross the close were not dispatched.
func (s *Server) CloseIdle() {
	s.leaving.Store(true)
	for _, c := range s.connections() {
		c.closeIdle()
	}
}

// CancelRequests ends the running requests, so that their answers and the ready ones
// behind them are written.
func (s *Server) CancelRequests() { s.endWork() }

// Wait waits until all connections have ended or the context ends.
func (s *Server) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// ConnectionCount returns the number of connections.
func (s *Server) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

func (s *Server) connections() []*connection {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]*connection, 0, len(s.open))
	for c := range s.open {
		list = append(list, c)
	}
	return list
}

func (s *Server) close() {
	s.endWork()
	_ = s.listener.Close()
	for _, c := range s.connections() {
		c.abort()
	}
}
