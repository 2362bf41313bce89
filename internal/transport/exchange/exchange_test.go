package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
)

// dialect reads the few headers that the scripts use.
type dialect struct{ tamarackrun.HeaderCodec }

func (dialect) DecodeAnswer(_ int, h http.Header) tamarackrun.AnswerFields {
	return tamarackrun.AnswerFields{ID: h.Get("Id"), Signed: h.Get("Signature") != "", NotRun: h.Get("Not-Run") != ""}
}

// server answers the requests of each connection by a script: what it writes for
// each request in turn. After the script it resets the connection.
type server struct {
	listener net.Listener
	scripts  [][]string

	mu       sync.Mutex
	requests []string
}

func newServer(t *testing.T, scripts ...[]string) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{listener: listener, scripts: scripts}
	t.Cleanup(func() { _ = listener.Close() })
	go s.run()
	return s
}

func (s *server) run() {
	for _, script := range s.scripts {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn.(*net.TCPConn), script)
	}
}

func (s *server) serve(conn *net.TCPConn, script []string) {
	reader := bufio.NewReader(conn)
	for i := 0; ; i++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			_ = conn.Close()
			return
		}
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.requests = append(s.requests, r.Method+" "+r.RequestURI+" "+string(body))
		s.mu.Unlock()
		if i >= len(script) || script[i] == reset {
			_ = conn.SetLinger(0)
			_ = conn.Close()
			return
		}
		text, broken := strings.CutSuffix(script[i], breakOff)
		_, _ = io.WriteString(conn, text)
		if broken {
			_ = conn.Close()
			return
		}
	}
}

func (s *server) got() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

const (
	reset = "reset"
	// breakOff ends a text behind which the server closes the connection.
	breakOff = "breakOff"
)

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newClient(t *testing.T) *Client {
	t.Helper()
	c, cleanup := New()
	c.HeaderCodec = dialect{}
	t.Cleanup(cleanup)
	return c
}

func request(id string, repeatable bool) Request {
	return Request{ID: id, Method: http.MethodPost, Target: "/" + id, Host: "h", Header: http.Header{}, Body: []byte("b"), Idempotent: repeatable}
}

// result is what the tests compare.
type result struct {
	Outcome tamarackrun.Outcome
	Body    string
	Reused  bool
}

func TestReplies(t *testing.T) {
	cut := "HTTP/1.1 200 OK\r\nId: b\r\nSignature: s\r\nContent-Length: 9\r\n\r\nhalf" + breakOff
	lost, truncated := tamarackrun.Uncertain(tamarackrun.AnswerLost), tamarackrun.Uncertain(tamarackrun.AnswerTruncated)
	tests := map[string]struct {
		scripts [][]string
		// want are the results of the requests a, b, ... one after the other.
		want []result
		// requests is how many requests reach the server.
		requests int
	}{
		"a connection is used again": {
			[][]string{{answer("a", "1"), answer("b", "2")}},
			[]result{{tamarackrun.Done, "1", false}, {tamarackrun.Done, "2", true}}, 2},
		"a late answer to an earlier request is passed over": {
			[][]string{{answer("a", "1"), answer("a", "1") + answer("b", "2")}},
			[]result{{tamarackrun.Done, "1", false}, {tamarackrun.Done, "2", true}}, 2},
		"a connection with bytes behind the answer is not used again": {
			[][]string{{answer("a", "1") + answer("a", "1")}, {answer("b", "2")}},
			[]result{{tamarackrun.Done, "1", false}, {tamarackrun.Done, "2", false}}, 2},
		"a request is not sent twice when its connection is reset": {
			[][]string{{answer("a", "1"), reset}, {answer("b", "2")}},
			[]result{{tamarackrun.Done, "1", false}, {lost, "", true}}, 2},
		"an answer that ends early is not complete": {
			[][]string{{answer("a", "1"), cut}},
			[]result{{tamarackrun.Done, "1", false}, {truncated, "", true}}, 2},
		"a success without a signature is no answer": {
			[][]string{{"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\nx"}},
			[]result{{truncated, "", false}}, 1},
		"a success without an id is no answer": {
			[][]string{{"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 1\r\n\r\nx"}},
			[]result{{truncated, "", false}}, 1},
		"bytes that are no answer": {
			[][]string{{"garbage\r\n\r\n"}},
			[]result{{lost, "", false}}, 1},
		"a server that did not run the request": {
			[][]string{{"HTTP/1.1 503 X\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}},
			[]result{{tamarackrun.Refused(tamarackrun.ServerShed), "", false}}, 1},
		"an interim answer is passed over": {
			[][]string{{"HTTP/1.1 103 X\r\n\r\n" + answer("a", "1")}},
			[]result{{tamarackrun.Done, "1", false}}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, c := newServer(t, test.scripts...), newClient(t)
			var got []result
			for i := range test.want {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				reply := c.Do(ctx, s.listener.Addr().String(), request(string(rune('a'+i)), true))
				cancel()
				got = append(got, result{reply.Outcome, string(reply.Body), reply.Reused})
				// A server that sends more does so within this time.
				time.Sleep(10 * time.Millisecond)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("results (-want +got):\n%s", diff)
			}
			if len(s.got()) != test.requests {
				t.Errorf("the server got %q", s.got())
			}
		})
	}
}

// Guards against "not run" for a request that reached a server, and against
// "unknown" for one that could not.
func TestFailedConnectionIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	reply := newClient(t).Do(t.Context(), address, request("a", false))
	if diff := cmp.Diff(tamarackrun.Refused(tamarackrun.ConnectFailed), reply.Outcome); diff != "" || reply.Sent {
		t.Errorf("outcome (-want +got):\n%s sent %v", diff, reply.Sent)
	}
}

// Guards against orders on connections that may have been closed silently.
func TestOrderNeedsProvenConnection(t *testing.T) {
	s, c := newServer(t, []string{answer("a", "1"), answer("b", "2")}, []string{answer("b", "3")}), newClient(t)
	address := s.listener.Addr().String()
	c.Do(t.Context(), address, request("a", true))
	c.mu.Lock()
	c.idle[address][0].used = time.Now().Add(-provenFor - time.Millisecond)
	c.mu.Unlock()
	if reply := c.Do(t.Context(), address, request("b", false)); string(reply.Body) != "3" || reply.Reused {
		t.Errorf("body %q, reused %v", reply.Body, reply.Reused)
	}
}

// Guards against servers that work on for callers that have left, and against
// waiting longer than the deadline.
func TestEndOfContextEndsRequest(t *testing.T) {
	for name, reason := range map[string]tamarackrun.Reason{"cancel": tamarackrun.AnswerCancelled, "deadline": tamarackrun.AnswerTimeout} {
		t.Run(name, func(t *testing.T) {
			s, c := newServer(t, []string{""}), newClient(t)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			if name == "cancel" {
				ctx, cancel = context.WithCancel(t.Context())
				time.AfterFunc(50*time.Millisecond, cancel)
			}
			reply := c.Do(ctx, s.listener.Addr().String(), request("a", true))
			if diff := cmp.Diff(tamarackrun.Uncertain(reason), reply.Outcome); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			if len(c.idle[s.listener.Addr().String()]) != 0 {
				t.Error("the connection is kept")
			}
		})
	}
}
