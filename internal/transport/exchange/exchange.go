// Package exchange sends requests to backend servers, one at a time on a
// connection, and takes an answer only if it is complete and belongs to the
// request. Nothing is ever sent twice by itself, unlike in net/http.
package exchange

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"tamarackrun"
)

const (
	// dialTimeout bounds a new connection. A lost opening packet is sent again
	// after seconds, and a round trip between regions takes 0.11 s.
	dialTimeout = 500 * time.Millisecond
	// maxAnswer bounds a buffered answer, in bytes.
	maxAnswer = 16 << 20
	// maxForeign bounds the answers of earlier requests that are passed over.
	maxForeign = 4
	// idleLimit is how long a connection is kept when the server announces no
	// time; idleMargin is kept from an announced one, which has whole seconds.
	idleLimit  = 4 * time.Second
	idleMargin = 1500 * time.Millisecond
	// provenFor is how long after its latest answer a connection may carry a
	// request that must not run twice. If it is reset, the outcome is unknown.
	provenFor = 2 * time.Second
	// maxIdle bounds the idle connections to one server.
	maxIdle = 32
	// Probes find a connection that went silent.
	probeIdle, probeInterval, probeCount = time.Second, time.Second, 2
)

// Request is one request to one server.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header is written as it is, besides the fields of the connection.
	Header http.Header
	Body   []byte
	// Idempotent requests may be sent on any idle connection.
	Idempotent bool
}

// Result is what became of a request. Status, Header and Body are set if and
// only if the outcome is Done or the server refused the request itself.
type Result struct {
	Outcome tamarackrun.Outcome
	Status  int
	Header  http.Header
	Body    []byte
	Fields  tamarackrun.AnswerFields
	// Reused says that the connection had carried other requests.
	Reused bool
	// Sent says that the server got at least a part of the request.
	Sent bool
	// Err is the error that led to the outcome, for logs.
	Err error
}

// Client sends requests to servers.
type Client struct {
	// HeaderCodec is set before the first request.
	HeaderCodec tamarackrun.HeaderCodec
	// OnDial is called for each new connection; set before the first request.
	OnDial func()

	dialer net.Dialer
	mu     sync.Mutex
	// idle has the idle connections of each address, the latest used last.
	idle map[string][]*connection
}

// New returns a client. The clean-up function closes idle connections.
func New() (*Client, func()) {
	c := &Client{idle: map[string][]*connection{}, dialer: net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}}}
	return c, func() { c.RetainOnly(nil) }
}

// RetainOnly closes the idle connections to addresses that are not kept.
func (c *Client) RetainOnly(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, list := range c.idle {
		if addresses[address] {
			continue
		}
		for _, conn := range list {
			conn.close()
		}
		delete(c.idle, address)
	}
}

// Do sends the request once. The end of the context ends the request at the
// server by closing the connection.
func (c *Client) Do(ctx context.Context, address string, r Request) Result {
	conn := c.take(address, r.Idempotent)
	reused := conn != nil
	if conn == nil {
		var err error
		if conn, err = c.dial(ctx, address); err != nil {
			reason := tamarackrun.ConnectFailed
			if ctx.Err() != nil {
				reason = tamarackrun.DeadlinePassed
			}
			return Result{Outcome: tamarackrun.Refused(reason), Err: err}
		}
	}
	stop := context.AfterFunc(ctx, conn.close)
	reply := conn.exchange(c.HeaderCodec, r)
	reply.Reused = reused
	if !stop() {
		// The connection was closed in the middle or is about to be.
		conn.broken = true
	}
	if reply.Outcome.Kind == tamarackrun.Unknown && ctx.Err() != nil {
		reply.Outcome = tamarackrun.Uncertain(tamarackrun.AnswerTimeout)
		if eris.Is(context.Cause(ctx), context.Canceled) {
			reply.Outcome = tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
		}
	}
	c.put(address, conn)
	return reply
}

func (c *Client) dial(ctx context.Context, address string) (*connection, error) {
	conn, err := c.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.OnDial != nil {
		c.OnDial()
	}
	return newConnection(conn), nil
}

// take returns the idle connection that was used last, or nil.
func (c *Client) take(address string, repeatable bool) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for list := c.idle[address]; len(list) > 0; list = c.idle[address] {
		conn := list[len(list)-1]
		if !repeatable && now.Sub(conn.used) > provenFor {
			return nil
		}
		c.idle[address] = list[:len(list)-1]
		if now.Before(conn.until) && conn.quiet() {
			return conn
		}
		conn.close()
	}
	return nil
}

func (c *Client) put(address string, conn *connection) {
	if conn.broken {
		conn.close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	list = append(list, conn)
	if len(list) > maxIdle || time.Now().After(list[0].until) {
		list[0].close()
		list = list[1:]
	}
	c.idle[address] = list
}

// quiet says that the server has neither closed the connection nor sent bytes
// that belong to no request.
func (c *connection) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
