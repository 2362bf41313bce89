// Package httpclient sends HTTP requests as http.Transport does, and accepts only answers that are valid by package
// answer. It sends a request again by itself only if it is told to.
package httpclient

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"tamarackrun/internal/protocol/answer"
	"tamarackrun/internal/transport/bounded"
	"tamarackrun/internal/transport/socket"
)

const (
	// maxHeadBytes and maxHeadLines bound the head of an answer.
	maxHeadBytes = 64 << 10
	maxHeadLines = 512
	// shortRequest is a size, in bytes, that fits in the socket's send buffer, so that the write does
	// not wait for the server.
	shortRequest = 8 << 10
	defaultPort  = "80"
)

// Transport is an http.RoundTripper. Its fields are set before the first request.
type Transport struct {
	// DialContext opens connections.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxIdle bounds the unused connections that are kept for each address.
	MaxIdle int
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// RepeatsReads reports whether a GET request whose connection has carried others and ends without an answer
	// is sent once more, on a new connection.
	RepeatsReads bool

	mu sync.Mutex
	// idle holds the unused connections to each address, the most recently used one last.
	idle map[string][]*connection
	// nextSweep is when the connections that were unused for too long are closed next.
	nextSweep time.Time
}

// connection is an open connection.
type connection struct {
	net.Conn
	address string
	reader  *bufio.Reader
	head    *bounded.HeadReader
	// isReused reports whether the connection has carried a request before.
	isReused bool
	// usableUntil is until when the connection is kept while it is unused.
	usableUntil time.Time
}

// CloseIdle closes the unused connections.
func (t *Transport) CloseIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, list := range t.idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
	clear(t.idle)
}

// RoundTrip implements http.RoundTripper. The error is a *net.OpError with the operation "dial" if nothing was sent, and an
// *answer.InvalidError if the answer is not valid.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	c, err := t.connect(r)
	if err != nil {
		return nil, err
	}
	response, err := t.send(c, r)
	if err == nil || !t.RepeatsReads || !c.isReused || r.Method != http.MethodGet || r.Context().Err() != nil || !hasEnded(err) {
		return response, err
	}
	fresh, failed := t.dial(r)
	if failed != nil {
		// The error of the dial would say that nothing was sent.
		return nil, err
	}
	return t.send(fresh, r)
}

// hasEnded reports whether the connection ended without an answer.
func hasEnded(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// connect returns an unused connection, or opens one.
func (t *Transport) connect(r *http.Request) (*connection, error) {
	if !r.Close {
		if c := t.takeIdle(addressOf(r)); c != nil {
			return c, nil
		}
	}
	return t.dial(r)
}

// addressOf returns the address of the request's server.
func addressOf(r *http.Request) string {
	if r.URL.Port() == "" {
		return net.JoinHostPort(r.URL.Hostname(), defaultPort)
	}
	return r.URL.Host
}

func (t *Transport) dial(r *http.Request) (*connection, error) {
	address := addressOf(r)
	conn, err := t.DialContext(r.Context(), "tcp", address)
	if err != nil {
		return nil, err
	}
	head := &bounded.HeadReader{Reader: conn, MaxBytes: maxHeadBytes, MaxLines: maxHeadLines}
	return &connection{Conn: conn, address: address, reader: bufio.NewReader(head), head: head}, nil
}

// takeIdle removes and returns the most recently used connection to the address that is still open, or nil if there
// is none.
func (t *Transport) takeIdle(address string) *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	for list := t.idle[address]; len(list) > 0; {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		t.idle[address] = list
		s, ok := socket.Of(c.Conn)
		if time.Now().Before(c.usableUntil) && (!ok || s.IsIdle()) {
			return c
		}
		_ = c.Close()
	}
	return nil
}

// putIdle keeps a connection for later requests.
func (t *Transport) putIdle(c *connection) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.idle == nil {
		t.idle = map[string][]*connection{}
	}
	c.isReused, c.usableUntil = true, now.Add(t.IdleTimeout)
	t.idle[c.address] = append(t.idle[c.address], c)
	for list := t.idle[c.address]; len(list) > t.MaxIdle; {
		_ = list[0].Close()
		list = slices.Delete(list, 0, 1)
		t.idle[c.address] = list
	}
	if now.After(t.nextSweep) {
		t.nextSweep = now.Add(t.IdleTimeout)
		t.sweep(now)
	}
}

// sweep closes the connections that were unused for too long. t.mu is held.
func (t *Transport) sweep(now time.Time) {
	for address, list := range t.idle {
		list = slices.DeleteFunc(list, func(c *connection) bool {
			isOld := now.After(c.usableUntil)
			if isOld {
				_ = c.Close()
			}
			return isOld
		})
		if t.idle[address] = list; len(list) == 0 {
			delete(t.idle, address)
		}
	}
}

// send writes the request and reads the head of its answer. The body of the answer gives the connection back.
func (t *Transport) send(c *connection, r *http.Request) (*http.Response, error) {
	stop := context.AfterFunc(r.Context(), func() { _ = c.Close() })
	written, err := c.write(r)
	var response *http.Response
	if err == nil {
		c.head.Begin(c.reader)
		response, err = answer.Read(c.reader, r.Method)
		c.head.End()
	}
	if err != nil {
		stop()
		_ = c.Close()
		if failed := <-written; failed != nil && !errors.Is(err, failed) {
			err = errors.Join(err, failed)
		}
		if r.Context().Err() != nil {
			err = r.Context().Err()
		}
		return nil, err
	}
	b := &body{ReadCloser: response.Body, ctx: r.Context(), abort: func() { stop(); _ = c.Close() }}
	b.finish = func() {
		// Bytes after an answer belong to no request.
		keeps := stop() && !response.Close && !r.Close && c.reader.Buffered() == 0
		select {
		case err := <-written:
			keeps = keeps && err == nil
		default:
			// The server may still be reading the request and must not get another one in its place.
			keeps = false
		}
		if keeps {
			t.putIdle(c)
		} else {
			_ = c.Close()
		}
	}
	if response.Body == http.NoBody {
		b.end()
	}
	response.Request, response.Body = r, b
	return response, nil
}

// write writes the request, in the background if it is long, since the server may answer before it has read the whole
// body. written gets the error of the writing when that has ended.
func (c *connection) write(r *http.Request) (written chan error, err error) {
	written = make(chan error, 1)
	write := func() error {
		w := bufio.NewWriter(c)
		err := r.Write(w)
		if err == nil {
			err = w.Flush()
		}
		written <- err
		return err
	}
	if r.ContentLength >= 0 && r.ContentLength <= shortRequest {
		return written, write()
	}
	go func() { _ = write() }()
	return written, nil
}

// body is the body of an answer.
type body struct {
	io.ReadCloser
	// finish gives the connection back after the whole body, and abort closes it.
	finish, abort func()
	ctx           context.Context
	ended         bool
}

// Read returns the context's error if it has ended the connection.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
		b.end()
	case err != nil && b.ctx.Err() != nil:
		err = b.ctx.Err()
	}
	return n, err
}

// end calls finish once.
func (b *body) end() {
	if !b.ended {
		b.ended = true
		b.finish()
	}
}

// Close closes the connection unless the whole body was read.
func (b *body) Close() error {
	if !b.ended {
		b.abort()
	}
	return nil
}
