package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
	"tamarackrun/internal/standin/partition"
)

// testCodec reads the headers that the scripts use.
type testCodec struct{ tamarackrun.HeaderCodec }

func (testCodec) DecodeAnswer(_ int, h http.Header) tamarackrun.AnswerFields {
	return tamarackrun.AnswerFields{ID: h.Get("Id"), Signed: h.Get("Signature") != "", NotRun: h.Get("Not-Run") != ""}
}

// scriptedServer has a script for each connection: the texts that it writes for the
// requests in turn. After the last one it resets the connection.
type scriptedServer struct {
	listener net.Listener
	scripts  [][]string

	mu       sync.Mutex
	requests []string
}

func newScriptedServer(t *testing.T, scripts ...[]string) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{listener: listener, scripts: scripts}
	t.Cleanup(func() { _ = listener.Close() })
	go s.run()
	return s
}

func (s *scriptedServer) run() {
	for _, script := range s.scripts {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn.(*net.TCPConn), script)
	}
}

func (s *scriptedServer) serve(conn *net.TCPConn, script []string) {
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
		text, closes := strings.CutSuffix(script[i], thenClose)
		text, later, _ := strings.Cut(text, thenLater)
		_, _ = io.WriteString(conn, text)
		if later != "" {
			time.Sleep(laterDelay)
			_, _ = io.WriteString(conn, later)
		}
		if closes {
			_ = conn.Close()
			return
		}
	}
}

func (s *scriptedServer) receivedRequests() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests
}

const (
	// reset instead of a text makes the server reset the connection.
	reset = "reset"
	// thenClose at the end of a text makes the server close the connection after
	// it.
	thenClose = "thenClose"
	// thenLater within a text makes the server write what follows after laterDelay.
	thenLater  = "thenLater"
	laterDelay = 50 * time.Millisecond
)

func answerText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nSignature: s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newClient(t *testing.T) *Client {
	t.Helper()
	c, cleanup := New()
	c.HeaderCodec = testCodec{}
	t.Cleanup(cleanup)
	return c
}

func testRequest(id string, idempotent bool) Request {
	return Request{ID: id, Method: http.MethodPost, Target: "/" + id, Host: "h", Header: http.Header{}, Body: []byte("b"), Idempotent: idempotent}
}

// resultSummary holds the fields of a Result that the tests compare.
type resultSummary struct {
	Outcome tamarackrun.Outcome
	Body    string
	Reused  bool
}

// Guards against a wrong outcome or an answer of another request when a server answers
// late, twice, incompletely or not at all, and against a request that is sent twice
// because its reused connection was reset.
func TestRequestResults(t *testing.T) {
	truncatedAnswer := "HTTP/1.1 200 OK\r\nId: b\r\nSignature: s\r\nContent-Length: 9\r\n\r\nhalf" + thenClose
	refusal := "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	lost, truncated := tamarackrun.Uncertain(tamarackrun.AnswerLost), tamarackrun.Uncertain(tamarackrun.AnswerTruncated)
	tests := map[string]struct {
		scripts [][]string
		// want are the results of the requests a, b, ... in turn.
		want []resultSummary
		// requests is the number of requests that reach the server.
		requests int
	}{
		"an answer whose signature is a field of its connection": {
			[][]string{{"HTTP/1.1 200 OK\r\nConnection: Signature\r\nId: a\r\nSignature: s\r\nContent-Length: 1\r\n\r\n1"}},
			[]resultSummary{{truncated, "", false}}, 1},
		"a connection is used again": {
			[][]string{{answerText("a", "1"), answerText("b", "2")}},
			[]resultSummary{{tamarackrun.Done, "1", false}, {tamarackrun.Done, "2", true}}, 2},
		"a late answer to an earlier request is skipped": {
			[][]string{{answerText("a", "1"), answerText("a", "1") + answerText("b", "2")}},
			[]resultSummary{{tamarackrun.Done, "1", false}, {tamarackrun.Done, "2", true}}, 2},
		"a connection with bytes after the answer is not used again": {
			[][]string{{answerText("a", "1") + answerText("a", "1")}, {answerText("b", "2")}},
			[]resultSummary{{tamarackrun.Done, "1", false}, {tamarackrun.Done, "2", false}}, 2},
		"a request is not sent twice when its connection is reset": {
			[][]string{{answerText("a", "1"), reset}, {answerText("b", "2")}},
			[]resultSummary{{tamarackrun.Done, "1", false}, {lost, "", true}}, 2},
		"an answer that ends early is not complete": {
			[][]string{{answerText("a", "1"), truncatedAnswer}},
			[]resultSummary{{tamarackrun.Done, "1", false}, {truncated, "", true}}, 2},
		"a 2xx answer without a signature is not accepted": {
			[][]string{{"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 1\r\n\r\nx"}},
			[]resultSummary{{truncated, "", false}}, 1},
		"a 2xx answer without a request id is not accepted": {
			[][]string{{"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 1\r\n\r\nx"}},
			[]resultSummary{{truncated, "", false}}, 1},
		"bytes that are not HTTP": {
			[][]string{{"garbage\r\n\r\n"}},
			[]resultSummary{{lost, "", false}}, 1},
		"a server that did not run the request": {
			[][]string{{"HTTP/1.1 503 X\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"}},
			[]resultSummary{{tamarackrun.Refused(tamarackrun.ServerShed), "", false}}, 1},
		"a refusal without an id on a new connection": {
			[][]string{{refusal}},
			[]resultSummary{{tamarackrun.Refused(tamarackrun.ServerShed), "", false}}, 1},
		"a refusal without an id that may be an earlier one is skipped": {
			[][]string{{answerText("a", "1"), refusal + answerText("b", "2")}, {answerText("c", "3")}},
			[]resultSummary{{tamarackrun.Done, "1", false}, {tamarackrun.Done, "2", true}, {tamarackrun.Done, "3", false}}, 3},
		"a failure without an id that may be an earlier one is skipped": {
			[][]string{{answerText("a", "1"), "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n" + answerText("b", "2")}},
			[]resultSummary{{tamarackrun.Done, "1", false}, {tamarackrun.Done, "2", true}}, 2},
		"a request whose only answer has no id has an unknown outcome": {
			[][]string{{answerText("a", "1"), refusal + thenClose}},
			[]resultSummary{{tamarackrun.Done, "1", false}, {lost, "", true}}, 2},
		"an interim answer is skipped": {
			[][]string{{"HTTP/1.1 103 X\r\n\r\n" + answerText("a", "1")}},
			[]resultSummary{{tamarackrun.Done, "1", false}}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s, c := newScriptedServer(t, test.scripts...), newClient(t)
			var got []resultSummary
			for i := range test.want {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				result := c.Do(ctx, s.listener.Addr().String(), testRequest(string(rune('a'+i)), true))
				cancel()
				got = append(got, resultSummary{result.Outcome, string(result.Body), result.Carried > 0})
				// Gives the server time to send further bytes.
				time.Sleep(10 * time.Millisecond)
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("results (-want +got):\n%s", diff)
			}
			if len(s.receivedRequests()) != test.requests {
				t.Errorf("the server got %q", s.receivedRequests())
			}
		})
	}
}

// Guards against the outcome "unknown" for a request that could not reach a server.
func TestFailedConnectMeansNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	result := newClient(t).Do(t.Context(), address, testRequest("a", false))
	if diff := cmp.Diff(tamarackrun.Refused(tamarackrun.ConnectFailed), result.Outcome); diff != "" || result.Sent {
		t.Errorf("outcome (-want +got):\n%s sent %v", diff, result.Sent)
	}
}

// Guards against a server, or the links to all servers, that count as failed because this machine has no socket
// left for a connection. A source address that the machine does not have leads to an error of that kind.
func TestLackOfSocketsIsNoFailureOfServer(t *testing.T) {
	s, c := newScriptedServer(t), newClient(t)
	c.Source = netip.MustParseAddr("192.0.2.1")
	address := s.listener.Addr().String()
	result := c.Do(t.Context(), address, testRequest("a", false))
	if diff := cmp.Diff(tamarackrun.Refused(tamarackrun.SocketsExhausted), result.Outcome); diff != "" || result.Sent {
		t.Errorf("outcome (-want +got):\n%s sent %v", diff, result.Sent)
	}
	if err := c.Connect(t.Context(), address); err != nil {
		t.Errorf("Connect: %v", err)
	}
}

// Guards against non-idempotent requests on connections that the server may have
// closed without notice.
func TestNonIdempotentRequestNeedsProvenConnection(t *testing.T) {
	s, c := newScriptedServer(t, []string{answerText("a", "1"), answerText("b", "2")}, []string{answerText("b", "3")}), newClient(t)
	address := s.listener.Addr().String()
	c.Do(t.Context(), address, testRequest("a", true))
	c.mu.Lock()
	c.idle[address][0].lastAnswer = time.Now().Add(-provenTime - time.Millisecond)
	c.mu.Unlock()
	if result := c.Do(t.Context(), address, testRequest("b", false)); string(result.Body) != "3" || result.Carried > 0 {
		t.Errorf("body %q, reused %v; want body 3 over a new connection", result.Body, result.Carried > 0)
	}
}

// Guards against servers that go on working on a request whose caller has gone, and
// against waiting beyond the deadline.
func TestContextEndsRequest(t *testing.T) {
	for name, reason := range map[string]tamarackrun.Reason{"cancel": tamarackrun.AnswerCancelled, "deadline": tamarackrun.AnswerTimeout} {
		t.Run(name, func(t *testing.T) {
			s, c := newScriptedServer(t, []string{""}), newClient(t)
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			if name == "cancel" {
				ctx, cancel = context.WithCancel(t.Context())
				time.AfterFunc(50*time.Millisecond, cancel)
			}
			result := c.Do(ctx, s.listener.Addr().String(), testRequest("a", true))
			if diff := cmp.Diff(tamarackrun.Uncertain(reason), result.Outcome); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			if len(c.idle[s.listener.Addr().String()]) != 0 {
				t.Error("the connection is kept")
			}
		})
	}
}

// Guards against idempotent requests that wait on hung connections although there is another way, and
// against the end of requests at which a server works.
func TestHungRequestsEnd(t *testing.T) {
	for name, test := range map[string]struct{ cut, idempotent, ends bool }{
		"hung":                 {true, true, true},
		"hung, not idempotent": {true, false, false},
		"a slow server":        {false, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			listener, err := partition.Listen("127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			requests := make(chan struct{}, 2)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				requests <- struct{}{}
				if r.URL.Path == "/slow" {
					<-r.Context().Done()
				}
				w.Header().Set("Id", r.Header.Get("Id"))
				w.Header().Set("Signature", "s")
			})}
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
			client, cleanup := New()
			defer cleanup()
			client.HeaderCodec = testCodec{}
			send := func(ctx context.Context, target string) Result {
				return client.Do(ctx, listener.Addr().String(), Request{ID: target, Method: http.MethodGet, Target: target, Host: "h",
					Header: http.Header{"Id": {target}}, Idempotent: test.idempotent})
			}
			if r := send(t.Context(), "/"); r.Outcome != tamarackrun.Done {
				t.Fatalf("outcome %v of the first request: %v", r.Outcome, r.Err)
			}
			if test.cut {
				if err := listener.LoseAll(netip.MustParseAddr("127.0.0.1")); err != nil {
					t.Fatal(err)
				}
			}
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan Result, 1)
			go func() { ended <- send(ctx, "/slow") }()
			time.Sleep(100 * time.Millisecond)
			if n := client.EndHung(time.Now()); (n == 1) != test.ends {
				t.Errorf("%d requests end", n)
			}
			if !test.ends {
				cancel()
			}
			want := tamarackrun.Uncertain(tamarackrun.AnswerLost)
			if !test.ends {
				want = tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
			}
			if diff := cmp.Diff(want, (<-ended).Outcome); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
			cancel()
		})
	}
}
