package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
)

// testClock returns the time since the start of a test.
type testClock struct{ start time.Time }

func (c testClock) Now() time.Duration { return time.Since(c.start) }

type discardAnswer struct{}

func (discardAnswer) Head(int, http.Header) error { return nil }
func (discardAnswer) Body([]byte) error           { return nil }
func (discardAnswer) End() error                  { return nil }

// listenRaw serves raw connections. It calls serve after it has read a whole request,
// with the number of requests so far.
func listenRaw(t *testing.T, serve func(conn net.Conn, n int64)) (address string, executions *atomic.Int64) {
	t.Helper()
	return listenRequests(t, func(conn net.Conn, _ *http.Request, n int64) { serve(conn, n) })
}

// listenRequests is listenRaw with the request.
func listenRequests(t *testing.T, serve func(conn net.Conn, request *http.Request, n int64)) (address string, executions *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	executions = &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return
					}
					serve(conn, request, executions.Add(1))
				}
			}()
		}
	}()
	return listener.Addr().String(), executions
}

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func newClient(t *testing.T, address string) *Client {
	t.Helper()
	c, cleanup, err := New(10)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	c.Clock = testClock{time.Now()}
	c.Address = func(string) (string, bool) { return address, true }
	return c
}

func nonIdempotentRequest(c *Client, header http.Header, timeout time.Duration) tamarackrun.Request {
	return tamarackrun.Request{ID: "id", Method: "POST", Target: "/order", Header: header, Body: []byte("order"),
		Deadline: c.Clock.Now() + timeout}
}

// Guards against a non-idempotent request that is sent twice. A server that reads a
// request and closes the connection may have run it. http.Transport would send such a
// request again by itself if the connection was used before, and with an
// Idempotency-Key header even a POST.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	headers := map[string]http.Header{"plain": {}, "Idempotency-Key": {"Idempotency-Key": {"1"}}, "X-Idempotency-Key": {"X-Idempotency-Key": {"1"}}}
	for name, header := range headers {
		t.Run(name, func(t *testing.T) {
			testSentOnce(t, header, []byte("order"))
			// http.Transport can always send a request without a body again.
			testSentOnce(t, header, nil)
		})
	}
}

func testSentOnce(t *testing.T, header http.Header, body []byte) {
	t.Helper()
	address, executions := listenRaw(t, func(conn net.Conn, n int64) {
		if n%2 == 1 {
			_, _ = io.WriteString(conn, wholeAnswer)
		} else {
			_ = conn.Close()
		}
	})
	c := newClient(t, address)
	// The first request leaves a connection that a pool would use again.
	want := []tamarackrun.Outcome{tamarackrun.Done, tamarackrun.Uncertain(tamarackrun.AnswerLost), tamarackrun.Done}
	var got []tamarackrun.Outcome
	for range want {
		request := nonIdempotentRequest(c, header, 10*time.Second)
		request.Body = body
		got = append(got, c.Dispatch(t.Context(), request, discardAnswer{}))
	}
	if diff := cmp.Diff(want, got); diff != "" || executions.Load() != int64(len(want)) {
		t.Errorf("%d executions of %d requests, outcomes:\n%s", executions.Load(), len(want), diff)
	}
}

// Guards against a wrong outcome of a non-idempotent request without a complete answer:
// without a connection, or if the server says so, it did not run; otherwise it may have
// run.
func TestOutcomeOfNonIdempotentRequest(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	write := func(text string) func(net.Conn, int64) {
		return func(conn net.Conn, _ int64) { _, _ = io.WriteString(conn, text); _ = conn.Close() }
	}
	for name, v := range map[string]struct {
		serve   func(net.Conn, int64)
		address string
		// slowDial delays the connection until the deadline.
		slowDial bool
		timeout  time.Duration
		want     tamarackrun.Outcome
	}{
		"refused connection": {address: closed.Addr().String(), want: tamarackrun.Refused(tamarackrun.ConnectFailed)},
		"dial ended by the deadline": {serve: write(wholeAnswer), slowDial: true, timeout: 50 * time.Millisecond,
			want: tamarackrun.Refused(tamarackrun.ConnectFailed)},
		"closed after reading":     {serve: write(""), want: tamarackrun.Uncertain(tamarackrun.AnswerLost)},
		"shed":                     {serve: write("HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"), want: tamarackrun.Refused(tamarackrun.ServerShed)},
		"503 that does not say so": {serve: write("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"), want: tamarackrun.Done},
		"truncated answer":         {serve: write("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"), want: tamarackrun.Uncertain(tamarackrun.AnswerTruncated)},
		"no answer":                {serve: func(net.Conn, int64) { time.Sleep(time.Second) }, timeout: 50 * time.Millisecond, want: tamarackrun.Uncertain(tamarackrun.AnswerTimeout)},
		"passed deadline":          {serve: write(wholeAnswer), timeout: -1, want: tamarackrun.Refused(tamarackrun.DeadlinePassed)},
	} {
		t.Run(name, func(t *testing.T) {
			address := v.address
			if v.serve != nil {
				address, _ = listenRaw(t, v.serve)
			}
			if v.timeout == 0 {
				v.timeout = 10 * time.Second
			}
			c := newClient(t, address)
			if v.slowDial {
				c.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
					<-ctx.Done()
					return ctx.Err()
				}
			}
			if diff := cmp.Diff(v.want, c.Dispatch(t.Context(), nonIdempotentRequest(c, nil, v.timeout), discardAnswer{})); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Guards against the outcome "not run" after a connection that fails while the request
// is being written: the server may have read enough to run it.
func TestErrorWhileWriting(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, _ = conn.Read(make([]byte, 64))
			// Closes the connection with a reset, so that the client's write fails.
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	c := newClient(t, listener.Addr().String())
	request := nonIdempotentRequest(c, nil, 10*time.Second)
	request.Body = make([]byte, 64<<20)
	if got := c.Dispatch(context.Background(), request, discardAnswer{}); got.Kind != tamarackrun.Unknown {
		t.Errorf("outcome %s, want unknown", got)
	}
}
