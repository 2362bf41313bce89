package pipeline

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"tamarackrun"
	"tamarackrun/internal/protocol/hopheader"
)

// errLimit says that a header is longer than allowed.
var errLimit = errors.New("the header is too long")

// slot is the place of one request in the order of answers.
type slot struct {
	answer chan Answer
	// last closes the connection behind the answer.
	last bool
	head bool
	old  bool
}

// connection is one connection of a caller. One goroutine reads requests, one
// writes answers in their order, and each request is served by its own.
type connection struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	limit  *limitedReader
	ctx    context.Context
	cancel context.CancelFunc
	slots  chan *slot

	mu sync.Mutex
	// pending counts the requests that were read and are not answered.
	pending int
	// closing says that an answer that closes the connection was decided, so
	// that no request read later may be dispatched.
	closing bool
	// reading says that the first byte of a request has arrived and its end has
	// not been read.
	reading bool
	// answeredLast says that an answer that closes the connection was written;
	// only the writing goroutine changes it.
	answeredLast bool
	// drained is signalled when pending falls to 0.
	drained *sync.Cond
}

func newConnection(s *Server, conn net.Conn) *connection {
	c := &connection{server: s, conn: conn, limit: &limitedReader{reader: conn}, slots: make(chan *slot, maxOpen)}
	c.reader = bufio.NewReader(c.limit)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.drained = sync.NewCond(&c.mu)
	return c
}

// limitedReader fails after a number of bytes; the limit applies to headers
// only.
type limitedReader struct {
	reader io.Reader
	left   int
	on     bool
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.on && l.left <= 0 {
		return 0, errLimit
	}
	n, err := l.reader.Read(p)
	l.left -= n
	return n, err
}

func (c *connection) run() {
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.write()
	}()
	c.read()
	close(c.slots)
	<-written
	if c.answeredLast && c.ctx.Err() == nil {
		c.linger()
	}
	c.cancel()
	_ = c.conn.Close()
}

// linger reads what the caller sent behind the last answer. Closing with unread
// bytes resets the connection, which may take the answer with it. An idle
// connection is closed without it: a request that crosses the close must stay
// unread, so that the caller may send it again at once.
func (c *connection) linger() {
	half, ok := c.conn.(*net.TCPConn)
	if !ok || half.CloseWrite() != nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.conn)
}

func (c *connection) abort() {
	c.cancel()
	_ = c.conn.Close()
}

// read reads requests until the caller leaves or the connection is to close.
func (c *connection) read() {
	for {
		call, refusal, err := c.next()
		if err != nil {
			if !c.isClosing() {
				// The caller left, so that no answer can reach it.
				c.cancel()
			}
			return
		}
		sl := &slot{answer: make(chan Answer, 1)}
		if refusal != "" {
			sl.last = true
			sl.answer <- c.server.Handler.Refuse(refusal)
			if c.begin() {
				c.slots <- sl
			}
			return
		}
		sl.last, sl.head = call.Request.Close, call.Request.Method == http.MethodHead
		sl.old = !call.Request.ProtoAtLeast(1, 1)
		if !c.server.Handler.Idempotent(call.Request) {
			c.awaitAnswers()
		}
		if !c.begin() {
			c.server.held.Add(-int64(len(call.Body)))
			return
		}
		c.slots <- sl
		go func() {
			defer c.server.held.Add(-int64(len(call.Body)))
			ctx, cancel := context.WithCancel(c.ctx)
			defer cancel()
			defer context.AfterFunc(c.server.work, cancel)()
			sl.answer <- c.server.Handler.Serve(ctx, call)
		}()
		if sl.last {
			// Whatever follows is not read; the end of the connection is.
			c.awaitEnd()
			return
		}
	}
}

// begin counts a request unless the connection is closing.
func (c *connection) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.closing {
		return false
	}
	c.pending++
	return true
}

func (c *connection) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// awaitAnswers waits until all requests that were read are answered.
func (c *connection) awaitAnswers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.pending > 0 && !c.closing && c.ctx.Err() == nil {
		c.drained.Wait()
	}
}

// awaitEnd reads until the caller leaves, while the last answer is made.
func (c *connection) awaitEnd() {
	c.limit.on = false
	_ = c.conn.SetReadDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, c.reader)
	if !c.isClosing() {
		c.cancel()
	}
}

// next reads one request. A refusal is a reason to answer and close; an error
// ends the connection without an answer.
func (c *connection) next() (Call, tamarackrun.Reason, error) {
	limits := c.server.Handler.Limits()
	c.limit.on = false
	_ = c.conn.SetReadDeadline(c.idleEnd(limits.IdleTimeout))
	for {
		if c.isClosing() {
			// endReading may have come before the deadline was set.
			return Call{}, "", net.ErrClosed
		}
		_, err := c.reader.Peek(1)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && c.busy() {
			// The connection is not idle while an answer is due.
			_ = c.conn.SetReadDeadline(c.idleEnd(limits.IdleTimeout))
			continue
		}
		if err != nil {
			return Call{}, "", err
		}
		break
	}
	c.mu.Lock()
	c.reading = true
	c.mu.Unlock()
	c.limit.on, c.limit.left = true, limits.HeaderBytes-c.reader.Buffered()
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	r, err := http.ReadRequest(c.reader)
	c.limit.on = false
	var timeout net.Error
	switch {
	case errors.Is(err, errLimit):
		return Call{}, tamarackrun.HeaderTooLarge, nil
	case errors.As(err, &timeout) && timeout.Timeout():
		return Call{}, tamarackrun.BodyTimeout, nil
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &timeout):
		return Call{}, "", err
	case err != nil:
		return Call{}, tamarackrun.Malformed, nil
	}
	return c.readBody(r, limits.BodyBytes, limits.HeaderTimeout)
}

// idleEnd is when an idle connection ends. The caller may use a connection up
// to the limit, so that the end is a little later.
func (c *connection) idleEnd(limit time.Duration) time.Time { return time.Now().Add(limit + limit/10) }

func (c *connection) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > 0
}

func (c *connection) readBody(r *http.Request, limit int64, timeout time.Duration) (Call, tamarackrun.Reason, error) {
	// A request with a length and chunks is read by its chunks, and servers get
	// bodies with a length only.
	if r.Header.Get("Upgrade") != "" {
		return Call{}, tamarackrun.Malformed, nil
	}
	if r.ContentLength > limit {
		return Call{}, tamarackrun.BodyTooLarge, nil
	}
	call := Call{Request: r, Arrived: time.Now()}
	if r.ContentLength == 0 {
		return call, "", nil
	}
	if r.Header.Get("Expect") != "" && !c.busy() {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return Call{}, "", err
		}
	}
	// Each piece of a long body has the time of a header.
	body, err := io.ReadAll(&timedReader{io.LimitReader(r.Body, limit+1), c.conn, timeout})
	var stopped net.Error
	switch {
	case errors.As(err, &stopped) && stopped.Timeout():
		return Call{}, tamarackrun.BodyTimeout, nil
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return Call{}, "", err
	case err != nil:
		return Call{}, tamarackrun.Malformed, nil
	case int64(len(body)) > limit:
		return Call{}, tamarackrun.BodyTooLarge, nil
	case c.server.held.Add(int64(len(body))) > maxHeldBodies:
		c.server.held.Add(-int64(len(body)))
		return Call{}, tamarackrun.BodiesFull, nil
	}
	call.Body, call.Arrived = body, time.Now()
	return call, "", nil
}

// timedReader sets a new deadline for each piece.
type timedReader struct {
	reader  io.Reader
	conn    net.Conn
	timeout time.Duration
}

func (t *timedReader) Read(p []byte) (int, error) {
	if err := t.conn.SetReadDeadline(time.Now().Add(t.timeout)); err != nil {
		return 0, err
	}
	return t.reader.Read(p)
}

// write writes the answers in the order of their requests.
func (c *connection) write() {
	for sl := range c.slots {
		var answer Answer
		select {
		case answer = <-sl.answer:
		case <-c.ctx.Done():
			c.stop()
			continue
		}
		last := c.decideLast(sl)
		_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := c.conn.Write(encode(answer, sl, last)); err != nil {
			c.cancel()
			c.stop()
			continue
		}
		c.finish(last)
	}
}

// decideLast says whether the answer closes the connection. While the server
// leaves, that is the answer to the last request that was read; closing earlier
// would lose answers to requests that are running.
func (c *connection) decideLast(sl *slot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sl.last || c.server.leaving.Load() && c.pending == 1 {
		c.closing = true
	}
	return c.closing
}

// finish counts a written answer. It ends the connection if the answer said so,
// or if idle connections are being closed and this one has become idle.
func (c *connection) finish(last bool) {
	c.mu.Lock()
	c.pending--
	if c.server.leaving.Load() && c.pending == 0 && !c.reading {
		c.closing, last = true, true
	}
	c.drained.Broadcast()
	c.mu.Unlock()
	if last {
		c.answeredLast = true
		c.endReading()
	}
}

// stop marks the connection as lost.
func (c *connection) stop() {
	c.mu.Lock()
	c.closing = true
	c.pending--
	c.drained.Broadcast()
	c.mu.Unlock()
	c.endReading()
}

func (c *connection) endReading() { _ = c.conn.SetReadDeadline(time.Unix(1, 0)) }

// closeIdle closes the connection if nothing is open on it.
func (c *connection) closeIdle() {
	c.mu.Lock()
	idle := c.pending == 0 && !c.reading && !c.closing
	if idle {
		c.closing = true
	}
	c.mu.Unlock()
	if idle {
		c.abort()
	}
}

// encode spells an answer.
func encode(a Answer, sl *slot, last bool) []byte {
	var b bytes.Buffer
	b.Grow(len(a.Body) + 512)
	b.WriteString("HTTP/1.1 " + strconv.Itoa(a.Status) + " " + http.StatusText(a.Status) + "\r\n")
	hopheader.Remove(a.Header)
	if !sl.head {
		delete(a.Header, "Content-Length")
	}
	for name, values := range a.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if !sl.head && a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		b.WriteString("Content-Length: " + strconv.Itoa(len(a.Body)) + "\r\n")
	}
	switch {
	case last:
		b.WriteString("Connection: close\r\n")
	case sl.old:
		b.WriteString("Connection: keep-alive\r\n")
	}
	b.WriteString("\r\n")
	if !sl.head {
		b.Write(a.Body)
	}
	return b.Bytes()
}
