package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
)

// fakeSteerer counts the requests and answers each with the function steer.
type fakeSteerer struct {
	requests atomic.Int32
	steer    func(answer tamarackrun.AnswerWriter) tamarackrun.Outcome
}

func (f *fakeSteerer) Steer(_ *http.Request, _ string, _ []byte, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	f.requests.Add(1)
	return f.steer(answer)
}

// Refused returns an unknown outcome for a request with a ticket, like an instance that
// did not issue it.
func (f *fakeSteerer) Refused(r *http.Request, _ string, reason tamarackrun.Reason) tamarackrun.Outcome {
	if r.Header.Get(TicketHeader) != "" {
		return tamarackrun.Uncertain(reason)
	}
	return tamarackrun.Refused(reason)
}

func wholeAnswer(answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	_ = answer.Head(http.StatusOK, http.Header{"Content-Length": {"5"}})
	_ = answer.Body([]byte("whole"))
	_ = answer.End()
	return tamarackrun.Done
}

func startServer(t *testing.T, f *fakeSteerer) *Server {
	t.Helper()
	s, cleanup, err := New("127.0.0.1:0", nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	s.Steerer, s.Leaving = f, func() bool { return false }
	s.Lookup, s.Tickets = http.NotFoundHandler(), http.NotFoundHandler()
	s.WriteTimeout = 200 * time.Millisecond
	go func() { _ = s.Run() }()
	return s
}

// exchange sends raw bytes and returns the status and body of the answer, "no answer",
// or the status and "cut" if the answer is incomplete.
func exchange(t *testing.T, s *Server, raw string) string {
	t.Helper()
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	// The server may close its side before it has read all of a refused
	// request.
	_, _ = io.WriteString(conn, raw)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer"
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Sprintf("%d cut", response.StatusCode)
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s", response.StatusCode, body))
}

// Guards against malformed or oversized requests that reach the Steerer or get no
// clear refusal.
func TestBadRequests(t *testing.T) {
	const head = "Host: x\r\nConnection: close\r\n"
	// net/http answers some requests itself. The tests compare only the status of
	// these answers, since the text may be truncated when the connection closes.
	tests := []struct{ name, raw, want string }{
		{"not HTTP", "hello\r\n\r\n", "400"},
		{"no host", "GET /a HTTP/1.1\r\n\r\n", "400"},
		{"two hosts", "GET /a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", "400"},
		{"two lengths", "POST /a HTTP/1.1\r\n" + head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", "400"},
		{"unknown coding", "POST /a HTTP/1.1\r\n" + head + "Transfer-Encoding: gzip\r\n\r\n", "501"},
		{"bad chunk", "POST /a HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "400 notRun: malformed"},
		{"large header", "GET /a HTTP/1.1\r\n" + head + "X: " + strings.Repeat("a", 40<<10) + "\r\n\r\n", "431"},
		{"large body", fmt.Sprintf("POST /a HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", head, MaxBody+1, strings.Repeat("b", MaxBody+1)), "413 notRun: bodyTooLarge"},
		{"upgrade", "GET /a HTTP/1.1\r\nHost: x\r\nConnection: upgrade\r\nUpgrade: websocket\r\n\r\n", "400 notRun: malformed"},
		{"trailer", "POST /a HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\nTrailer: Tamarackrun-Key\r\n\r\n0\r\nTamarackrun-Key: k\r\n\r\n", "400 notRun: malformed"},
		{"double slash", "POST /a//b HTTP/1.1\r\n" + head + "Content-Length: 0\r\n\r\n", "400 notRun: malformed"},
		{"dot segments", "GET /a/%2e%2e/b HTTP/1.1\r\n" + head + "\r\n", "400 notRun: malformed"},
		{"absolute target", "GET http://y/a HTTP/1.1\r\n" + head + "\r\n", "400 notRun: malformed"},
		{"connect", "CONNECT y:80 HTTP/1.1\r\n" + head + "\r\n", "400 notRun: malformed"},
		{"own path", "GET /v1/unknown HTTP/1.1\r\n" + head + "\r\n", "404 notRun: routeUnknown"},
	}
	f := &fakeSteerer{steer: wholeAnswer}
	s := startServer(t, f)
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			got := exchange(t, s, v.raw)
			if !strings.Contains(v.want, " ") {
				got, _, _ = strings.Cut(got, " ")
			}
			if diff := cmp.Diff(v.want, got); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
	if n := f.requests.Load(); n != 0 {
		t.Errorf("%d refused requests reached the Steerer", n)
	}
}

// Guards against an incomplete answer that looks complete to the caller, with and
// without a Content-Length.
func TestIncompleteAnswersAreAborted(t *testing.T) {
	for _, header := range []http.Header{{}, {"Content-Length": {"100"}}} {
		f := &fakeSteerer{steer: func(answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
			_ = answer.Head(http.StatusOK, header)
			_ = answer.Body([]byte("part"))
			return tamarackrun.Uncertain(tamarackrun.AnswerTruncated)
		}}
		s := startServer(t, f)
		got := exchange(t, s, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
		if diff := cmp.Diff("200 cut", got); diff != "" {
			t.Errorf("header %v (-want +got):\n%s", header, diff)
		}
	}
}

// Guards against a caller that stops reading and so holds a slot of a backend server
// forever.
func TestSlowReaderIsDisconnected(t *testing.T) {
	ended := make(chan struct{})
	f := &fakeSteerer{steer: func(answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
		_ = answer.Head(http.StatusOK, http.Header{})
		piece := make([]byte, 32<<10)
		var err error
		for err == nil {
			err = answer.Body(piece)
		}
		close(ended)
		return tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
	}}
	s := startServer(t, f)
	conn, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
	select {
	case <-ended:
	case <-time.After(30 * time.Second):
		t.Error("the answer to a caller that does not read did not end within 30 s")
	}
}

// Guards against a status by which callers can't tell refusals from unknown outcomes.
func TestStatusOfOutcomes(t *testing.T) {
	tests := []struct {
		outcome tamarackrun.Outcome
		want    int
	}{
		{tamarackrun.Refused(tamarackrun.KeyUnknown), 401},
		{tamarackrun.Refused(tamarackrun.RateExceeded), 429},
		{tamarackrun.Refused(tamarackrun.QueueFull), 503},
		{tamarackrun.Uncertain(tamarackrun.HomeLost), 502},
		{tamarackrun.Uncertain(tamarackrun.AnswerTimeout), 502},
	}
	for _, v := range tests {
		if got := Status(v.outcome); got != v.want {
			t.Errorf("status of %v is %d, want %d", v.outcome, got, v.want)
		}
	}
}
