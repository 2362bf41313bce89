package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tamarackrun"
	"tamarackrun/internal/protocol/hopheader"
)

// shortMessage is a length, in bytes, that a socket's buffer always takes, so
// that writing it does not wait for the server.
const shortMessage = 8 << 10

// connection is one connection to a server. It carries one request at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// used is when the latest answer was complete, and until when the
	// connection may carry another request.
	used, until time.Time
	// broken connections carry no further request.
	broken bool
}

func newConnection(conn net.Conn) *connection {
	return &connection{Conn: conn, reader: bufio.NewReader(conn)}
}

func (c *connection) close() { _ = c.Close() }

// Errors of answers.
var (
	errForeign  = errors.New("the server sent only answers to other requests")
	errTooLarge = errors.New("the answer is larger than the buffer allows")
	errUnsigned = errors.New("the server's success is not signed or has no request id")
)

// exchange writes a request and reads its answer.
func (c *connection) exchange(dialect tamarackrun.HeaderCodec, r Request) Result {
	written := make(chan error, 1)
	message := encode(r)
	if len(message) <= shortMessage {
		n, err := c.Write(message)
		if err != nil {
			c.broken = true
			if n == 0 {
				return Result{Outcome: tamarackrun.Refused(tamarackrun.ConnectFailed), Err: err}
			}
			return Result{Outcome: tamarackrun.Uncertain(tamarackrun.AnswerLost), Sent: true, Err: err}
		}
		written <- nil
	} else {
		go func() {
			_, err := c.Write(message)
			written <- err
		}()
	}
	reply := c.readReply(dialect, r)
	select {
	case err := <-written:
		c.broken = c.broken || err != nil
	default:
		// The answer came before the whole body was read. The server may read
		// on and must not get other bytes in its place.
		c.broken = true
		c.close()
		if err := <-written; err == nil {
			// The rest was written meanwhile.
			return reply
		}
	}
	return reply
}

func (c *connection) readReply(dialect tamarackrun.HeaderCodec, r Request) Result {
	for range maxForeign {
		response, body, err := c.readAnswer(r) //nolint:bodyclose // readAnswer reads and closes the body.
		if err != nil {
			c.broken = true
			reason := tamarackrun.AnswerLost
			if response != nil {
				reason = tamarackrun.AnswerTruncated
			}
			return Result{Outcome: tamarackrun.Uncertain(reason), Sent: true, Err: err}
		}
		fields := dialect.DecodeAnswer(response.StatusCode, response.Header)
		if fields.ID != "" && fields.ID != r.ID {
			// This is a late answer to an earlier request.
			c.until = time.Time{}
			continue
		}
		return c.accept(response, body, fields)
	}
	c.broken = true
	return Result{Outcome: tamarackrun.Uncertain(tamarackrun.AnswerLost), Sent: true, Err: errForeign}
}

// accept checks a complete answer to the request.
func (c *connection) accept(response *http.Response, body []byte, fields tamarackrun.AnswerFields) Result {
	c.keepFor(response)
	reply := Result{Outcome: tamarackrun.Done, Status: response.StatusCode, Header: response.Header, Body: body, Fields: fields, Sent: true}
	switch {
	case fields.NotRun && response.StatusCode/100 != 2:
		reply.Outcome = tamarackrun.Refused(tamarackrun.ServerShed)
	case response.StatusCode/100 == 2 && (!fields.Signed || fields.ID == ""):
		c.broken = true
		return Result{Outcome: tamarackrun.Uncertain(tamarackrun.AnswerTruncated), Sent: true, Err: errUnsigned}
	}
	return reply
}

// readAnswer reads one answer. The response is nil if its head is incomplete.
func (c *connection) readAnswer(r Request) (*http.Response, []byte, error) {
	for {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, nil, err
		}
		if response.StatusCode/100 == 1 {
			continue
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
		_ = response.Body.Close()
		if err == nil && len(body) > maxAnswer {
			err = errTooLarge
		}
		if response.Close || response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
			c.broken = true
		}
		return response, body, eris.Wrap(err, "incomplete answer")
	}
}

// keepFor decides how long the connection may be used again.
func (c *connection) keepFor(response *http.Response) {
	now := time.Now()
	c.used = now
	keep := idleLimit
	if _, value, ok := strings.Cut(response.Header.Get("Keep-Alive"), "timeout="); ok {
		value, _, _ = strings.Cut(value, ",")
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			keep = time.Duration(n)*time.Second - idleMargin
		}
	}
	if c.reader.Buffered() > 0 {
		// Bytes behind an answer belong to no request.
		c.broken = true
	}
	if keep <= 0 {
		c.broken = true
	}
	c.until = now.Add(keep)
}

// encode spells a request and removes the fields from its header that it sets
// itself.
func encode(r Request) []byte {
	hopheader.Remove(r.Header)
	for _, name := range []string{"Content-Length", "Expect", "Host"} {
		delete(r.Header, name)
	}
	var b bytes.Buffer
	b.Grow(len(r.Body) + 512)
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	return b.Bytes()
}
