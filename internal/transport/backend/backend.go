// Package backend sends requests to backend servers over HTTP.
package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"tamarackrun"
)

const (
	dialTimeout = 500 * time.Millisecond
	// pieceSize is the largest body piece, in bytes. A larger one would delay
	// other answers on the same link.
	pieceSize   = 32 << 10
	idleTimeout = 30 * time.Second
)

// Headers by which a backend server says that it did not run a request.
var notRunHeaders = []string{"Tamarackrun-Not-Run", "X-Not-Run"}

// DrainingHeader is how a backend server announces that it is leaving.
const DrainingHeader = "X-Draining"

// Client is a Dispatcher that sends requests to the address that Address gives
// for the request's server.
type Client struct {
	Clock   tamarackrun.Clock
	Address func(server string) (string, bool)
	// OnAnswer is called with the headers of each answer.
	OnAnswer func(server string, header http.Header)

	dialer *net.Dialer
	pooled *http.Transport
}

// New returns a client. The clean-up function closes idle connections.
func New(connections int) (*Client, func(), error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	pooled := &http.Transport{
		DialContext: dialer.DialContext, MaxConnsPerHost: connections, MaxIdleConnsPerHost: connections,
		IdleConnTimeout: idleTimeout, DisableCompression: true,
	}
	c := &Client{dialer: dialer, pooled: pooled}
	return c, pooled.CloseIdleConnections, nil
}

// Dispatch sends the request once.
func (c *Client) Dispatch(ctx context.Context, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	remaining := request.Deadline - c.Clock.Now()
	if remaining <= 0 {
		return tamarackrun.Refused(tamarackrun.DeadlinePassed)
	}
	address, ok := c.Address(request.Server)
	if !ok {
		return tamarackrun.Refused(tamarackrun.NoHealthyServer)
	}
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	outgoing, err := newRequest(ctx, address, request)
	if err != nil {
		return tamarackrun.Refused(tamarackrun.Malformed)
	}
	transport := c.pooled
	if !request.Idempotent {
		conn, err := c.dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			// Whatever ended the dial, no byte of the request was sent.
			return tamarackrun.Refused(tamarackrun.ConnectFailed)
		}
		defer func() { _ = conn.Close() }()
		transport = overConnection(conn)
	}
	response, err := transport.RoundTrip(outgoing)
	if err != nil {
		return failure(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	if c.OnAnswer != nil {
		c.OnAnswer(request.Server, response.Header)
	}
	if response.StatusCode == http.StatusServiceUnavailable && saysNotRun(response.Header) {
		return tamarackrun.Refused(tamarackrun.ServerShed)
	}
	return copyAnswer(ctx, response, answer)
}

// errOneConnection ends an attempt of http.Transport to use a second connection.
var errOneConnection = errors.New("the request has one connection only")

// overConnection returns a transport for one request on one connection that is
// already established. http.Transport sends a request again by itself when a
// reused connection fails; here it has no other connection to send it on.
func overConnection(conn net.Conn) *http.Transport {
	var used atomic.Bool
	return &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			if used.Swap(true) {
				return nil, errOneConnection
			}
			return conn, nil
		}}
}

// onlyReader hides other methods of a reader, so that http.NewRequest cannot
// make the body rewindable.
type onlyReader struct{ io.Reader }

func newRequest(ctx context.Context, address string, request tamarackrun.Request) (*http.Request, error) {
	var body io.Reader
	if len(request.Body) > 0 {
		body = onlyReader{bytes.NewReader(request.Body)}
	}
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.Target, body)
	if err != nil {
		return nil, err
	}
	outgoing.ContentLength = int64(len(request.Body))
	outgoing.Header = request.Header.Clone()
	if outgoing.Header == nil {
		outgoing.Header = http.Header{}
	}
	if !request.Idempotent {
		// These headers make http.Transport treat a request as safe to repeat.
		outgoing.Header.Del("Idempotency-Key")
		outgoing.Header.Del("X-Idempotency-Key")
	}
	outgoing.Header.Set("Tamarackrun-Organisation", request.Organisation)
	outgoing.Header.Set("Tamarackrun-Request-Id", request.ID)
	return outgoing, nil
}

func saysNotRun(header http.Header) bool {
	for _, name := range notRunHeaders {
		if header.Get(name) == "1" {
			return true
		}
	}
	return false
}

// failure classifies an error without an answer. Only a failed dial proves that
// the request did not run; an error of an established connection proves
// nothing, even while the request is being written.
func failure(ctx context.Context, err error) tamarackrun.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return tamarackrun.Refused(tamarackrun.ConnectFailed)
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return tamarackrun.Uncertain(tamarackrun.AnswerTimeout)
	case ctx.Err() != nil:
		return tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
	}
	return tamarackrun.Uncertain(tamarackrun.AnswerLost)
}

func copyAnswer(ctx context.Context, response *http.Response, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	for name := range response.Header {
		// Headers of the system's own come from no backend server.
		if strings.HasPrefix(name, "Tamarackrun-") {
			delete(response.Header, name)
		}
	}
	if err := answer.Head(response.StatusCode, response.Header); err != nil {
		return tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
	}
	buffer := make([]byte, pieceSize)
	for {
		n, err := response.Body.Read(buffer)
		if n > 0 {
			if err := answer.Body(buffer[:n]); err != nil {
				return tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			if ctx.Err() != nil {
				return failure(ctx, err)
			}
			return tamarackrun.Uncertain(tamarackrun.AnswerTruncated)
		}
	}
	if err := answer.End(); err != nil {
		return tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
	}
	return tamarackrun.Done
}
