// Package backend sends requests to backend servers over HTTP and ensures that one
// that is not idempotent is sent at most once.
package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tamarackrun"
	"tamarackrun/internal/transport/dialer"
	"tamarackrun/internal/transport/httpclient"
)

const (
	dialTimeout = 500 * time.Millisecond
	// maxPiece is the largest piece of a body that is passed on at once, in bytes.
	// Larger pieces would delay other answers on the same connection to an
	// instance.
	maxPiece    = 32 << 10
	idleTimeout = 30 * time.Second
)

// notRunHeaders are the headers by which a backend server says that it did not run a
// request.
var notRunHeaders = []string{"Tamarackrun-Not-Run", "X-Not-Run"}

// requestIDHeader names one dispatch of a request, in the request and in the answers of servers that say
// to which request an answer belongs. A server may write an answer again at any later time, and an id that all
// attempts of a request share would not tell the copy from the answer to a later attempt.
const requestIDHeader = "Tamarackrun-Request-Id"

// DrainingHeader is the header by which a backend server announces that it is
// draining.
const DrainingHeader = "X-Draining"

// Client is a tamarackrun.Dispatcher that sends each request to its server. The fields
// are set before the first request.
type Client struct {
	Clock tamarackrun.Clock
	// Address returns the address of a server.
	Address func(server string) (string, bool)
	// OnAnswer is called with the headers of each answer. It may be nil.
	OnAnswer func(server string, header http.Header)

	dialer *dialer.Dialer
	// transport reuses connections only for idempotent requests, and only for servers that name the request in their
	// answers.
	transport *httpclient.Transport
	// naming holds the servers whose latest answer named its request.
	naming sync.Map
	// dispatched is the number of dispatches, from which each gets an id that no other one has on the
	// client's connections.
	dispatched atomic.Uint64
}

// New returns a client with at most the given number of pooled connections to each
// server. The clean-up function closes idle connections.
func New(connections int) (*Client, func(), error) {
	d := dialer.New(dialTimeout)
	transport := &httpclient.Transport{DialContext: d.DialContext, MaxIdle: connections, IdleTimeout: idleTimeout}
	return &Client{dialer: d, transport: transport}, transport.CloseIdle, nil
}

// Dispatch sends the request and passes the answer on.
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
	id := fmt.Sprintf("%s-%d", request.Attempt, c.dispatched.Add(1))
	outgoing, err := newRequest(ctx, address, id, request)
	if err != nil {
		return tamarackrun.Refused(tamarackrun.Malformed)
	}
	// A second copy of an answer may arrive when its connection is in use again, and a server may end a kept connection
	// while a request is on its way.
	_, names := c.naming.Load(request.Server)
	outgoing.Close = !request.Idempotent || !names
	response, err := c.transport.RoundTrip(outgoing)
	if err != nil {
		return outcomeOfError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	switch response.Header.Get(requestIDHeader) {
	case id:
		c.naming.Store(request.Server, true)
	case "":
		c.naming.Delete(request.Server)
		if !outgoing.Close {
			// The answer can't be told from a second copy of an earlier one.
			return c.refuseAnswer()
		}
	default:
		return c.refuseAnswer()
	}
	if c.OnAnswer != nil {
		c.OnAnswer(request.Server, response.Header)
	}
	if response.StatusCode == http.StatusServiceUnavailable && saysNotRun(response.Header) {
		return tamarackrun.Refused(tamarackrun.ServerShed)
	}
	return copyAnswer(ctx, response, answer)
}

// refuseAnswer returns the outcome after an answer that may belong to another request. It
// closes all idle connections, because the answer's own one may be among them.
func (c *Client) refuseAnswer() tamarackrun.Outcome {
	c.transport.CloseIdle()
	return tamarackrun.Uncertain(tamarackrun.AnswerLost)
}

// newRequest returns the request to send to a backend server, with the id of the dispatch.
func newRequest(ctx context.Context, address, id string, request tamarackrun.Request) (*http.Request, error) {
	var body io.Reader
	if len(request.Body) > 0 {
		body = bytes.NewReader(request.Body)
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
	outgoing.Header.Set("Tamarackrun-Organisation", request.Organisation)
	outgoing.Header.Set(requestIDHeader, id)
	return outgoing, nil
}

// saysNotRun reports whether the server says that it did not run the request.
func saysNotRun(header http.Header) bool {
	for _, name := range notRunHeaders {
		if header.Get(name) == "1" {
			return true
		}
	}
	return false
}

// outcomeOfError returns the outcome after an error without an answer. Only a failed dial, which may have failed
// by the end of the context, proves that the request did not run. An error on an open connection does not, even while the
// request is being written.
func outcomeOfError(ctx context.Context, err error) tamarackrun.Outcome {
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

// copyAnswer passes the server's answer on and returns the outcome.
func copyAnswer(ctx context.Context, response *http.Response, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	for name := range response.Header {
		// Backend servers must not set the system's own headers.
		if strings.HasPrefix(name, "Tamarackrun-") {
			delete(response.Header, name)
		}
	}
	if err := answer.Head(response.StatusCode, response.Header); err != nil {
		return tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
	}
	buffer := make([]byte, maxPiece)
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
				return outcomeOfError(ctx, err)
			}
			return tamarackrun.Uncertain(tamarackrun.AnswerTruncated)
		}
	}
	if err := answer.End(); err != nil {
		return tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
	}
	return tamarackrun.Done
}
