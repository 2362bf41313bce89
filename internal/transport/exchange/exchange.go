// Package exchange is an HTTP/1 client for backend servers. It sends one request at a
// time on a connection, and accepts an answer only if it is complete and belongs to
// the request. A connection carries each request id at most once, so that the id in an
// answer names one attempt. Unlike net/http, it never sends a request again by itself.
package exchange

import (
	"context"
	"errors"
	"hash/maphash"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"tamarackrun"
	"tamarackrun/internal/state/memory"
	"tamarackrun/internal/transport/dialer"
)

const (
	// dialTimeout bounds the time to connect. A round trip between regions takes
	// 0.11 s, and a lost SYN packet is sent again only after seconds.
	dialTimeout = 500 * time.Millisecond
	// maxHeadBytes and maxHeadLines bound the head of an answer, together with the
	// interim answers before it.
	maxHeadBytes = 64 << 10
	maxHeadLines = 512
	// maxAnswerFraction is the number of answers of the largest size that fit in the
	// memory for answers.
	maxAnswerFraction = 4
	// defaultMemory is the memory for answers if none is set, in bytes.
	defaultMemory = 64 << 20
	// maxLateAnswers bounds the number of late answers to earlier requests that
	// are skipped.
	maxLateAnswers = 4
	// idleTimeout is how long an idle connection is kept if the server announces
	// no time. An announced time is reduced by idleMargin, because it is in whole
	// seconds.
	idleTimeout = 4 * time.Second
	idleMargin  = 1500 * time.Millisecond
	// provenTime is how long after its latest answer a connection may carry a
	// request that is not idempotent. On an older one the risk of a reset, after
	// which the outcome is unknown, is too high.
	provenTime = 2 * time.Second
	// maxIdle bounds the number of idle connections to one address.
	maxIdle = 32
	// maxCarried bounds the number of requests of one connection, whose ids it remembers in 8 bytes
	// each.
	maxCarried = 1000
)

// Request is a request to one server.
type Request struct {
	ID     string
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	// Header is written unchanged, except for the fields that concern only one
	// connection.
	Header http.Header
	Body   []byte
	// Idempotent reports whether the request may run more than once. Such a request
	// may be sent on any idle connection.
	Idempotent bool
	// OpenOnly reports whether no connection may be opened for the request. Without an open one the
	// outcome is a refusal with ErrNoConnection.
	OpenOnly bool
	// Probe marks a health probe, whose answer has neither a signature nor an id.
	Probe bool
}

// Result is the result of sending a request. Status, Header and Body are set if and
// only if the outcome is Done or the server refused the request itself.
type Result struct {
	Outcome tamarackrun.Outcome
	Status  int
	Header  http.Header
	Body    []byte
	Fields  tamarackrun.AnswerFields
	// Use says on which connection the request was sent. Its zero value means none.
	Use
	// UntilEnd reports whether the answer has no length and ended with its connection, as it also does if the server has
	// ended within it.
	UntilEnd bool
	// Sent reports whether the server may have got at least a part of the request.
	Sent bool
	// Err is the error that led to the outcome, for logs.
	Err error

	// reserved is the memory that Body holds, in bytes, until Release.
	reserved int64
}

// Use identifies the connection on which a request was sent.
type Use struct {
	// Connection is the number of the connection, which is unique in the process.
	Connection uint64
	// Carried is the number of requests that the connection had carried before.
	Carried int
	// Age is how long the connection had been open.
	Age time.Duration
}

// ErrNoConnection is the error of a request with OpenOnly for which no connection is open.
var ErrNoConnection = errors.New("no connection to the server is open")

// Client sends requests to servers.
type Client struct {
	// HeaderCodec reads the headers of answers. It is set before the first
	// request.
	HeaderCodec tamarackrun.HeaderCodec
	// OnDial is called for each new connection. It may be nil. It is set before
	// the first request.
	OnDial func()
	// OnDrop is called for bytes of a server that are dropped. It may be nil. It is set before the first
	// request.
	OnDrop func(Dropped)
	// Source is the address from which connections are opened. If it is not valid, the
	// operating system chooses. It is set before the first request.
	Source netip.Addr
	// Bodies is the memory for the bodies of answers. Its limit is set before the first
	// request. An answer may take a quarter of it.
	Bodies memory.Budget

	dialer dialer.Dialer
	// seed is that of the hashes of request ids, which callers choose.
	seed maphash.Seed
	// opened is the number of connections that were opened.
	opened atomic.Uint64
	mu     sync.Mutex
	// idle holds the idle connections to each address, the most recently used one
	// last.
	idle map[string][]*connection
	// running holds the connections that carry a request.
	running map[*connection]runningRequest
}

// runningRequest is a request under way.
type runningRequest struct {
	sentAt     time.Time
	idempotent bool
}

// New returns a client. The clean-up function closes idle connections.
func New() (*Client, func()) {
	c := &Client{idle: map[string][]*connection{}, running: map[*connection]runningRequest{}, seed: maphash.MakeSeed(), dialer: *dialer.New(dialTimeout)}
	c.Bodies.Limit = defaultMemory
	return c, func() { c.RetainOnly(nil) }
}

// Release gives back the memory of a result's body, which must not be used any more.
func (c *Client) Release(r Result) { c.Bodies.Release(r.reserved) }

// Hold reserves the memory of a result's body that did not come from this client, until Release. It
// reports whether there is enough.
func (c *Client) Hold(r *Result, bytes int64) bool {
	if !c.Bodies.Reserve(bytes) {
		return false
	}
	r.reserved += bytes
	return true
}

// Connect opens a connection to the address and closes it. If this machine has no socket left for it, which
// shows nothing about the server, Connect returns nil.
func (c *Client) Connect(ctx context.Context, address string) error {
	conn, err := c.dial(ctx, address, "")
	if err != nil && !isExhausted(err) {
		return err
	}
	if conn != nil {
		conn.close()
	}
	return nil
}

// RetainOnly closes the idle connections to all other addresses.
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

// Do sends the request once. When the context ends, Do closes the connection, so that
// the server can stop working on the request.
func (c *Client) Do(ctx context.Context, address string, r Request) Result {
	id := maphash.String(c.seed, r.ID)
	conn, met := c.takeIdle(address, r, id)
	if conn == nil && r.OpenOnly {
		return Result{Outcome: tamarackrun.Refused(tamarackrun.ConnectFailed), Err: ErrNoConnection}
	}
	if conn == nil {
		var err error
		if conn, err = c.dial(ctx, address, r.Method); err != nil {
			reason := tamarackrun.ConnectFailed
			switch {
			case isExhausted(err):
				reason = tamarackrun.SocketsExhausted
			case ctx.Err() != nil:
				reason = tamarackrun.DeadlinePassed
			}
			return Result{Outcome: tamarackrun.Refused(reason), Err: err}
		}
		// The idle ones are enough for other requests. Those with an id that comes often, such as health
		// probes, would push them out.
		conn.broken = met
	}
	stop := context.AfterFunc(ctx, conn.close)
	c.beginRunning(conn, r.Idempotent)
	use := conn.beginUse(id)
	result := conn.roundTrip(c.HeaderCodec, r)
	c.endRunning(conn)
	result.Use = use
	if !stop() {
		// The context has ended, so the connection is closed or is about to be.
		conn.broken = true
	}
	if result.Outcome.Kind == tamarackrun.Unknown && ctx.Err() != nil {
		result.Outcome = tamarackrun.Uncertain(tamarackrun.AnswerTimeout)
		if eris.Is(context.Cause(ctx), context.Canceled) {
			result.Outcome = tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
		}
	}
	c.putIdle(address, conn)
	return result
}

// beginRunning records that the connection carries a request that is sent now.
func (c *Client) beginRunning(conn *connection, idempotent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[conn] = runningRequest{time.Now(), idempotent}
}

func (c *Client) endRunning(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running, conn)
}

// HasOpen reports whether a connection to the address that was opened before the given time is open at both ends. The
// process that took it has not ended then.
func (c *Client) HasOpen(address string, openedBefore time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isOpen := func(conn *connection) bool {
		return conn.address == address && conn.openedAt.Before(openedBefore) && conn.isEstablished()
	}
	for conn := range c.running {
		if isOpen(conn) {
			return true
		}
	}
	return slices.ContainsFunc(c.idle[address], isOpen)
}

// EndHung closes the connections of idempotent requests that were sent before the given time and that
// the server has not acknowledged, so that they may be sent on another way. It returns the number
// of these connections.
func (c *Client) EndHung(sentBefore time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for conn, r := range c.running {
		if r.idempotent && r.sentAt.Before(sentBefore) && conn.hasUnacknowledged() {
			conn.close()
			n++
		}
	}
	return n
}

// dial opens a connection to the address for requests with the method and calls OnDial.
func (c *Client) dial(ctx context.Context, address, method string) (*connection, error) {
	d := c.dialer
	if c.Source.IsValid() {
		d.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(c.Source, 0))
	}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if c.OnDial != nil {
		c.OnDial()
	}
	fresh := newConnection(conn, &c.Bodies)
	fresh.number, fresh.address, fresh.onDrop, fresh.headOnly = c.opened.Add(1), address, c.OnDrop, method == http.MethodHead
	return fresh, nil
}

// takeIdle removes and returns the most recently used idle connection that can carry the request, whose
// id has the given hash, or nil if there is none. met reports whether others have carried the id before.
func (c *Client) takeIdle(address string, r Request, id uint64) (conn *connection, met bool) {
	conn, unusable, met := c.searchIdle(address, r, id)
	for _, u := range unusable {
		u.reportIdleBytes()
		u.close()
	}
	return conn, met
}

// searchIdle removes the connection that takeIdle returns, and those that can't carry a request any more.
func (c *Client) searchIdle(address string, r Request, id uint64) (found *connection, unusable []*connection, met bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	list := c.idle[address]
	defer func() { c.idle[address] = list }()
	for i := len(list) - 1; i >= 0; i-- {
		conn := list[i]
		if !r.Idempotent && now.Sub(conn.lastAnswer) > provenTime {
			return nil, unusable, met
		}
		if conn.headOnly != (r.Method == http.MethodHead) {
			continue
		}
		if slices.Contains(conn.carried, id) {
			met = true
			continue
		}
		list = slices.Delete(list, i, i+1)
		if now.Before(conn.usableUntil) && conn.isUsable() {
			return conn, unusable, met
		}
		unusable = append(unusable, conn)
	}
	return nil, unusable, met
}

// putIdle keeps the connection for later requests, or closes it if it is broken.
func (c *Client) putIdle(address string, conn *connection) {
	if conn.broken || len(conn.carried) >= maxCarried {
		conn.close()
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	list = append(list, conn)
	if len(list) > maxIdle || time.Now().After(list[0].usableUntil) {
		list[0].close()
		list = list[1:]
	}
	c.idle[address] = list
}
