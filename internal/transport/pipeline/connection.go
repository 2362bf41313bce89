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
	"tamarackrun/internal/transport/bounded"
)

// maxCopiedBody is the size of a body, in bytes, up to which an answer is written with one call.
const maxCopiedBody = 64 << 10

// pendingAnswer is the answer to a request that was read. Answers are written in
// the order of the requests.
type pendingAnswer struct {
	// answer receives the answer once.
	answer chan Answer
	// closeAfter reports whether the connection is closed after the answer.
	closeAfter bool
	// isHead reports whether the method is HEAD.
	isHead bool
	// isHTTP10 reports whether the request has a version before HTTP/1.1.
	isHTTP10 bool
}

// connection is a connection of a caller. One goroutine reads the requests, one
// writes the answers in order, and each request is served by a goroutine of its
// own.
type connection struct {
	server *Server
	conn   net.Conn
	reader *bufio.Reader
	head   *bounded.HeadReader
	// ctx ends when the connection is lost.
	ctx    context.Context
	cancel context.CancelFunc
	// pendingAnswers holds the unanswered requests in the order of arrival.
	pendingAnswers chan *pendingAnswer
	// evicted is true once the server has chosen the connection to make room for others. The server's mutex
	// protects it.
	evicted bool

	mu sync.Mutex
	// unanswered is the number of requests that were read but not answered.
	unanswered int
	// closingIdle reports whether the connection is closed as soon as it has no request.
	closingIdle bool
	// closing reports whether it was decided to close the connection. Requests
	// that are read later must not be dispatched.
	closing bool
	// reading reports whether a request was read in part.
	reading bool
	// closeWritten reports whether the last answer, after which the connection is
	// closed, was written. Only the writing goroutine changes it.
	closeWritten bool
	// allAnswered is signalled each time unanswered falls; waiters wait for 0.
	allAnswered *sync.Cond
}

func newConnection(s *Server, conn net.Conn) *connection {
	c := &connection{
		server:         s,
		conn:           conn,
		head:           &bounded.HeadReader{Reader: conn, MaxLines: maxHeadLines},
		pendingAnswers: make(chan *pendingAnswer, maxPending),
	}
	c.reader = bufio.NewReader(c.head)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.allAnswered = sync.NewCond(&c.mu)
	return c
}

// run serves the connection until it is closed.
func (c *connection) run() {
	written := make(chan struct{})
	go func() {
		defer close(written)
		c.writeAnswers()
	}()
	c.readRequests()
	close(c.pendingAnswers)
	<-written
	if c.closeWritten && c.ctx.Err() == nil {
		c.linger()
	}
	c.cancel()
	_ = c.conn.Close()
}

// linger reads and discards what the caller sends after the last answer. Closing a
// connection with unread bytes resets it, and the caller may lose the answer. An
// idle connection is closed without linger: a request that arrives at the same time
// must stay unread, so that the caller can safely send it again at once.
func (c *connection) linger() {
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok || tcp.CloseWrite() != nil {
		return
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.conn)
}

// abort closes the connection at once.
func (c *connection) abort() {
	c.cancel()
	_ = c.conn.Close()
}

// readRequests reads requests and starts to serve them until the caller closes the
// connection or the server has decided to close it.
func (c *connection) readRequests() {
	for {
		call, refusal, err := c.readRequest()
		if err != nil {
			if !c.isClosing() {
				// The caller has gone, so the running requests are cancelled.
				c.cancel()
			}
			return
		}
		pending := &pendingAnswer{answer: make(chan Answer, 1)}
		if refusal != "" {
			pending.closeAfter = true
			pending.answer <- c.server.Handler.Refuse(refusal)
			if c.beginRequest() {
				c.pendingAnswers <- pending
			}
			return
		}
		pending.closeAfter, pending.isHead = call.Request.Close, call.Request.Method == http.MethodHead
		pending.isHTTP10 = !call.Request.ProtoAtLeast(1, 1)
		if !c.server.Handler.Idempotent(call.Request) {
			c.awaitAnswers()
		}
		if !c.beginRequest() {
			c.server.Bodies.Release(call.reserved)
			return
		}
		c.pendingAnswers <- pending
		go func() {
			defer c.server.Bodies.Release(call.reserved)
			ctx, cancel := context.WithCancel(c.ctx)
			defer cancel()
			defer context.AfterFunc(c.server.requestContext, cancel)()
			pending.answer <- c.server.Handler.Serve(ctx, call)
		}()
		if pending.closeAfter {
			// Further requests are not read, but the end of the connection is.
			c.awaitClose()
			return
		}
	}
}

// beginRequest counts a request that was read. It reports whether the request may be
// served; on a closing connection the request is dropped.
func (c *connection) beginRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = false
	if c.closing {
		return false
	}
	c.unanswered++
	if c.unanswered == 1 {
		c.server.setIdle(c, false)
	}
	return true
}

// closesIdle reports whether the connection is closed as soon as it has no request. The caller holds c.mu.
func (c *connection) closesIdle() bool { return c.closingIdle || c.server.closingIdle.Load() }

// isClosing reports whether it was decided to close the connection.
func (c *connection) isClosing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing
}

// mayStopReading reports whether no further request has to be read. A request whose bytes
// are in the buffer was read by the process and must be answered, unless an answer has told
// the caller that the connection closes.
func (c *connection) mayStopReading() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing || c.closesIdle() && c.unanswered == 0 && c.reader.Buffered() == 0
}

// awaitAnswers waits until all requests that were read are answered, or the
// connection is closing or lost.
func (c *connection) awaitAnswers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.unanswered > 0 && !c.closing && c.ctx.Err() == nil {
		c.allAnswered.Wait()
	}
}

// awaitClose waits until the caller closes the connection, while the last request is
// served, and then cancels the request. What the caller sends is discarded.
func (c *connection) awaitClose() {
	c.head.End()
	c.mu.Lock()
	if !c.closing {
		// The mutex keeps this from following the stopReading after the last answer.
		_ = c.conn.SetReadDeadline(time.Time{})
	}
	c.mu.Unlock()
	_, _ = io.Copy(io.Discard, c.reader)
	if !c.isClosing() {
		c.cancel()
	}
}

// readRequest reads one request. If it returns a reason, the request is refused for
// the reason and the connection is closed. If it returns an error, the connection is
// closed without an answer.
func (c *connection) readRequest() (Call, tamarackrun.Reason, error) {
	limits := c.server.Handler.Limits()
	c.head.End()
	_ = c.conn.SetReadDeadline(c.idleDeadline(limits.IdleTimeout))
	for {
		if c.mayStopReading() {
			// The end of the reading may have been requested before the deadline was set.
			return Call{}, "", net.ErrClosed
		}
		_, err := c.reader.Peek(1)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && c.hasUnanswered() {
			// The connection is not idle while a request is unanswered.
			_ = c.conn.SetReadDeadline(c.idleDeadline(limits.IdleTimeout))
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
	c.head.MaxBytes = int64(limits.HeaderBytes)
	c.head.Begin(c.reader)
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout))
	r, err := readHead(c.reader)
	c.head.End()
	var timeout net.Error
	switch {
	case c.head.Exceeded() != nil:
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

// idleDeadline returns when an idle connection is closed. It is a tenth later than
// the limit, up to which the caller may use the connection.
func (c *connection) idleDeadline(limit time.Duration) time.Time {
	return time.Now().Add(limit + limit/10)
}

// hasUnanswered reports whether a request is unanswered.
func (c *connection) hasUnanswered() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unanswered > 0
}

// readBody reads the body of a request. Its results are those of readRequest.
func (c *connection) readBody(r *http.Request, maxBytes int64, timeout time.Duration) (Call, tamarackrun.Reason, error) {
	if len(r.TransferEncoding) > 0 && c.head.LengthSeen() {
		// A body with both a length and chunks is read in chunks, and its connection closes after the
		// answer (RFC 9112, section 6.1): a sender that went by the length would mean what follows
		// the last chunk as a part of the body, not as a request.
		r.Close = true
	}
	if r.Header.Get("Upgrade") != "" {
		return Call{}, tamarackrun.Malformed, nil
	}
	if r.ContentLength > maxBytes {
		return Call{}, tamarackrun.BodyTooLarge, nil
	}
	call := Call{Request: r, Arrived: time.Now()}
	if r.ContentLength == 0 {
		return call, "", nil
	}
	if r.Header.Get("Expect") != "" && !c.hasUnanswered() {
		if _, err := io.WriteString(c.conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return Call{}, "", err
		}
	}
	// Each read of the body may take as long as a whole header.
	body, reserved, err := bounded.ReadBody(&timedReader{r.Body, c.conn, timeout}, r.ContentLength, maxBytes, &c.server.Bodies)
	var netErr net.Error
	var limit *bounded.LimitError
	switch {
	case errors.As(err, &limit):
		return Call{}, tamarackrun.BodyTooLarge, nil
	case errors.Is(err, bounded.ErrNoMemory):
		return Call{}, tamarackrun.BodiesFull, nil
	case errors.As(err, &netErr) && netErr.Timeout():
		return Call{}, tamarackrun.BodyTimeout, nil
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return Call{}, "", err
	case err != nil:
		return Call{}, tamarackrun.Malformed, nil
	}
	call.Body, call.reserved, call.Arrived = body, reserved, time.Now()
	return call, "", nil
}

// timedReader sets a new deadline for each read.
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

// writeAnswers writes the answers in the order of their requests, up to the first one that can't be written. The
// caller would take the next one, or its first bytes, for that.
func (c *connection) writeAnswers() {
	lost := false
	for pending := range c.pendingAnswers {
		if lost {
			c.dropAnswer(pending)
		} else {
			lost = !c.writeNext(pending)
		}
	}
}

// writeNext writes the answer to the earliest unanswered request and reports whether that succeeded.
func (c *connection) writeNext(pending *pendingAnswer) bool {
	var answer Answer
	select {
	case answer = <-pending.answer:
	case <-c.ctx.Done():
		c.dropAnswer(pending)
		return false
	}
	closes := c.decideClose(pending)
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	err := c.write(answer, pending, closes)
	answer.release()
	if err != nil {
		c.cancel()
		c.markLost()
		return false
	}
	c.answerWritten(closes)
	return true
}

// dropAnswer counts an answer that can't be written because the connection is lost.
func (c *connection) dropAnswer(pending *pendingAnswer) {
	c.markLost()
	// The handler returns soon, because its context has ended.
	(<-pending.answer).release()
}

// write writes an answer. A large body is not copied behind its head: copies are not in the memory
// that the body has reserved.
func (c *connection) write(answer Answer, pending *pendingAnswer, closes bool) error {
	head, body := encodeHead(answer, pending, closes), answer.Body
	if pending.isHead {
		body = nil
	}
	if len(body) <= maxCopiedBody {
		head, body = append(head, body...), nil
	}
	_, err := c.conn.Write(head)
	if err == nil && len(body) > 0 {
		_, err = c.conn.Write(body)
	}
	return err
}

// decideClose reports whether the connection is closed after the answer. While the
// server closes idle connections, that is the answer to the last request that was
// read; closing earlier would lose the answers to running requests.
func (c *connection) decideClose(pending *pendingAnswer) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if pending.closeAfter || c.closesIdle() && c.unanswered == 1 {
		c.closing = true
	}
	return c.closing
}

// answerWritten counts a written answer. It ends the connection if the answer closes
// it, or if the server closes idle connections and this one has become idle.
func (c *connection) answerWritten(closes bool) {
	c.mu.Lock()
	c.unanswered--
	idle := c.unanswered == 0
	if c.closesIdle() {
		c.stopReadingIfIdle()
	}
	c.allAnswered.Broadcast()
	c.mu.Unlock()
	if idle && !closes {
		c.server.setIdle(c, true)
	}
	if closes {
		c.closeWritten = true
		c.stopReading()
	}
}

// markLost counts an answer that could not be written and ends the connection.
func (c *connection) markLost() {
	c.mu.Lock()
	c.closing = true
	c.unanswered--
	c.allAnswered.Broadcast()
	c.mu.Unlock()
	c.stopReading()
}

// stopReading ends the current read and all later ones.
func (c *connection) stopReading() { _ = c.conn.SetReadDeadline(time.Unix(1, 0)) }

// closeIfIdle closes the connection if it has no request, not even one that was read
// in part.
func (c *connection) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopReadingIfIdle()
}

// closeWhenIdle closes the connection as soon as it has no request.
func (c *connection) closeWhenIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closingIdle = true
	c.stopReadingIfIdle()
}

// stopReadingIfIdle ends the current read if the connection has no request. The reading
// goroutine then closes the connection, unless a request has arrived at the same time:
// closing it here would drop a request that the process has read. The caller holds c.mu,
// which keeps the deadline from replacing that of a request.
func (c *connection) stopReadingIfIdle() {
	if c.unanswered == 0 && !c.reading && !c.closing {
		c.stopReading()
	}
}

// encodeHead returns the bytes of an answer up to its body.
func encodeHead(answer Answer, pending *pendingAnswer, closes bool) []byte {
	var b bytes.Buffer
	b.Grow(min(len(answer.Body), maxCopiedBody) + 512)
	b.WriteString("HTTP/1.1 " + strconv.Itoa(answer.Status) + " " + http.StatusText(answer.Status) + "\r\n")
	hopheader.Remove(answer.Header)
	if !pending.isHead {
		delete(answer.Header, "Content-Length")
	}
	for name, values := range answer.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if !pending.isHead && answer.Status != http.StatusNoContent && answer.Status != http.StatusNotModified {
		b.WriteString("Content-Length: " + strconv.Itoa(len(answer.Body)) + "\r\n")
	}
	switch {
	case closes:
		b.WriteString("Connection: close\r\n")
	case pending.isHTTP10:
		b.WriteString("Connection: keep-alive\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
