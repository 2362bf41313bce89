package exchange

import (
	"bufio"
	"bytes"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tamarackrun"
	"tamarackrun/internal/protocol/answer"
	"tamarackrun/internal/protocol/hopheader"
	"tamarackrun/internal/state/memory"
	"tamarackrun/internal/transport/bounded"
)

// shortRequest is a size, in bytes, that always fits in the socket's send buffer, so
// that the write does not wait for the server.
const shortRequest = 8 << 10

// connection is a connection to a server. It carries one request at a time.
type connection struct {
	net.Conn
	// number is unique in the process.
	number   uint64
	address  string
	openedAt time.Time
	reader   *bufio.Reader
	head     *bounded.HeadReader
	// bodies is the memory that all connections share for the bodies of answers.
	bodies *memory.Budget
	// onDrop is called for bytes that are dropped. It may be nil.
	onDrop func(Dropped)
	// headOnly reports whether the connection carries only HEAD requests, and otherwise none. Their answers have
	// no bodies, so that an answer to another request could not be read as a whole.
	headOnly bool
	// carried holds the hashes of the ids of all requests that the connection has carried, with the one
	// under way. No id is in it twice: a server may write an answer again at any later time, and the id
	// does not tell the copy from the answer to another attempt of the request.
	carried []uint64
	// lastAnswer is when the latest answer was complete, and usableUntil until
	// when the connection may carry another request.
	lastAnswer, usableUntil time.Time
	// broken reports whether the connection must not carry another request.
	broken bool
}

func newConnection(conn net.Conn, bodies *memory.Budget) *connection {
	head := &bounded.HeadReader{Reader: conn, MaxBytes: maxHeadBytes, MaxLines: maxHeadLines}
	return &connection{Conn: conn, openedAt: time.Now(), reader: bufio.NewReader(head), head: head, bodies: bodies}
}

// beginUse adds the hash of a request's id and returns the connection's state before it.
func (c *connection) beginUse(id uint64) Use {
	use := c.use()
	c.carried = append(c.carried, id)
	return use
}

func (c *connection) use() Use {
	return Use{Connection: c.number, Carried: len(c.carried), Age: time.Since(c.openedAt)}
}

func (c *connection) close() { _ = c.Close() }

// Errors of invalid answers.
var (
	errOtherAnswers = errors.New("the server sent only answers to other requests")
	errUnproven     = errors.New("the status of the server's answer says that the request has not run, and its header doesn't")
	errUnsigned     = errors.New("the server's 2xx answer has no signature or no request id")
)

// roundTrip writes a request and reads its answer. A long request is written in the
// background, since the server may answer before it has read the whole body.
func (c *connection) roundTrip(codec tamarackrun.HeaderCodec, r Request) Result {
	written := make(chan error, 1)
	encoded := encodeHead(r)
	if len(encoded)+len(r.Body) <= shortRequest {
		encoded = append(encoded, r.Body...)
		n, err := c.Write(encoded)
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
			_, err := c.Write(encoded)
			if err == nil {
				_, err = c.Write(r.Body)
			}
			written <- err
		}()
	}
	result := c.readResult(codec, r)
	select {
	case err := <-written:
		c.broken = c.broken || err != nil
	default:
		// The answer came before the whole request was written. The server may
		// still be reading the body and must not get another request in its
		// place.
		c.broken = true
		c.close()
		if err := <-written; err == nil {
			// The rest of the request was written meanwhile.
			return result
		}
	}
	return result
}

// readResult reads answers until one belongs to the request.
func (c *connection) readResult(codec tamarackrun.HeaderCodec, r Request) Result {
	first := len(c.carried) == 1
	for range maxLateAnswers {
		response, body, reserved, err := c.readAnswer(r) //nolint:bodyclose // readAnswer reads and closes the body.
		if err != nil {
			c.broken = true
			return Result{Outcome: tamarackrun.Uncertain(reasonOf(response, err)), Sent: true, Err: err}
		}
		c.setUsableUntil(response)
		// What the server names in Connection does not reach the caller, and proves nothing.
		hopheader.Remove(response.Header)
		fields := codec.DecodeAnswer(response.StatusCode, response.Header)
		// On a connection that has carried other requests, an answer without an id may be an earlier one that
		// the server has written once more. A refusal would then say of a request that runs that it has not run.
		if fields.ID != r.ID && (fields.ID != "" || !first) {
			// The answer belongs to an earlier request, and more of them may follow.
			c.broken = true
			kind := OtherID
			if fields.ID == "" {
				kind = NoID
			}
			c.reportDrop(Dropped{Kind: kind, Request: r.ID, AnswerID: fields.ID, Status: response.StatusCode, NotRun: fields.NotRun})
			c.bodies.Release(reserved)
			continue
		}
		if fields.ID != r.ID {
			// A copy of the answer could not be told from one to a later request without an id.
			c.broken = true
		}
		if c.reader.Buffered() > 0 {
			// Bytes after an answer belong to no request.
			c.broken = true
			c.reportDrop(Dropped{Kind: Surplus, Request: r.ID})
		}
		result := c.resultOf(r, response, body, fields)
		result.reserved = reserved
		result.UntilEnd = response.ContentLength < 0 && len(response.TransferEncoding) == 0
		return result
	}
	c.broken = true
	return Result{Outcome: tamarackrun.Uncertain(tamarackrun.AnswerLost), Sent: true, Err: errOtherAnswers}
}

// resultOf checks a complete answer to the request and returns the result.
func (c *connection) resultOf(r Request, response *http.Response, body []byte, fields tamarackrun.AnswerFields) Result {
	result := Result{Outcome: tamarackrun.Done, Status: response.StatusCode, Header: response.Header, Body: body, Fields: fields, Sent: true}
	switch {
	case fields.NotRun && response.StatusCode/100 != 2:
		result.Outcome = tamarackrun.Refused(tamarackrun.ServerShed)
	case fields.StatusNotRun && !r.Idempotent && !r.Probe:
		// The caller would send the request again, although it may have run.
		result.Outcome, result.Err = tamarackrun.Uncertain(tamarackrun.AnswerUnproven), errUnproven
	case !r.Probe && response.StatusCode/100 == 2 && (!fields.Signed || fields.ID == ""):
		c.broken = true
		return Result{Outcome: tamarackrun.Uncertain(tamarackrun.AnswerTruncated), Sent: true, Err: errUnsigned}
	}
	return result
}

// reasonOf returns why the outcome is unknown after an answer could not be read.
// response is nil if its head is incomplete.
func reasonOf(response *http.Response, err error) tamarackrun.Reason {
	var limit *bounded.LimitError
	switch {
	case errors.As(err, &limit), errors.Is(err, answer.ErrInterim):
		return tamarackrun.AnswerTooLarge
	case errors.Is(err, bounded.ErrNoMemory):
		return tamarackrun.AnswersFull
	case response != nil:
		return tamarackrun.AnswerTruncated
	}
	return tamarackrun.AnswerLost
}

// readAnswer reads one answer. The response is nil if its head is incomplete or not valid. reserved is the memory that the body holds of c.bodies, in bytes.
func (c *connection) readAnswer(r Request) (response *http.Response, body []byte, reserved int64, err error) {
	c.head.Begin(c.reader)
	defer c.head.End()
	response, err = answer.Read(c.reader, r.Method)
	if err != nil {
		return nil, nil, 0, err
	}
	c.head.End()
	body, reserved, err = bounded.ReadBody(response.Body, response.ContentLength, c.bodies.Limit/maxAnswerFraction, c.bodies)
	if err != nil {
		return response, nil, 0, eris.Wrap(err, "incomplete answer")
	}
	c.broken = c.broken || response.Close
	return response, body, reserved, nil
}

// setUsableUntil sets how long the connection may be used again after an answer, or
// marks it as broken.
func (c *connection) setUsableUntil(response *http.Response) {
	now := time.Now()
	c.lastAnswer = now
	keep := idleTimeout
	if _, value, ok := strings.Cut(response.Header.Get("Keep-Alive"), "timeout="); ok {
		value, _, _ = strings.Cut(value, ",")
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			keep = time.Duration(n)*time.Second - idleMargin
		}
	}
	if keep <= 0 {
		c.broken = true
	}
	c.usableUntil = now.Add(keep)
}

// encodeHead returns the bytes of a request up to its body, which may be large and is not copied. It
// removes the header fields that it sets itself from the request.
func encodeHead(r Request) []byte {
	hopheader.Remove(r.Header)
	for _, name := range []string{"Content-Length", "Expect", "Host"} {
		delete(r.Header, name)
	}
	var b bytes.Buffer
	b.Grow(min(len(r.Body), shortRequest) + 512)
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
	return b.Bytes()
}
