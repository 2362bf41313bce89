package backend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
)

// Guards against a copy of an answer that is taken for the answer to a later attempt of the same
// request. Two servers of one address, or two entry instances of one request, lead attempts of a request to
// one pooled connection, and a server may write the answer to the earlier one again when the later
// one is under way. A copied refusal would say of an attempt that runs that it has not run.
func TestCopiedAnswerIsNotTakenForLaterAttempt(t *testing.T) {
	for name, earlier := range map[string]string{
		"a refusal":            "503 X\r\nX-Not-Run: 1\r\nContent-Length: 0",
		"a refusal, long name": "503 X\r\nTamarackrun-Not-Run: 1\r\nContent-Length: 0",
		"a success":            "200 X\r\nContent-Length: 0",
		"a failure":            "500 X\r\nContent-Length: 0",
	} {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			copied := map[net.Conn]string{}
			address, executions := listenRequests(t, func(conn net.Conn, request *http.Request, _ int64) {
				id := request.Header.Get("Tamarackrun-Request-Id")
				mu.Lock()
				defer mu.Unlock()
				if request.URL.Path == "/earlier" {
					copied[conn] = fmt.Sprintf("HTTP/1.1 %s\r\nTamarackrun-Request-Id: %s\r\n\r\n", earlier, id)
					_, _ = io.WriteString(conn, copied[conn])
					return
				}
				_, _ = fmt.Fprintf(conn, "%sHTTP/1.1 200 X\r\nTamarackrun-Request-Id: %s\r\nContent-Length: 3\r\n\r\nnew", copied[conn], id)
			})
			c := newClient(t, address)
			send := func(attempt, server, target string) (tamarackrun.Outcome, string) {
				answer := &recordedAnswer{}
				outcome := c.Dispatch(t.Context(), tamarackrun.Request{ID: "id", Attempt: attempt, Server: server, Method: "GET", Target: target,
					Idempotent: true, Deadline: c.Clock.Now() + 5*time.Second}, answer)
				return outcome, answer.String()
			}
			// The connections of a server are pooled once it has named a request.
			for _, server := range []string{"old", "new"} {
				if outcome, _ := send("id.0", server, "/first"); outcome != tamarackrun.Done {
					t.Fatalf("outcome %s of the first request to %s", outcome, server)
				}
			}
			send("id.1", "old", "/earlier")
			outcome, body := send("id.2", "new", "/later")
			want := []any{tamarackrun.Uncertain(tamarackrun.AnswerLost), ""}
			if diff := cmp.Diff(want, []any{outcome, body}); diff != "" || executions.Load() != 4 {
				t.Errorf("%d executions; outcome and body of the later attempt (-want +got):\n%s", executions.Load(), diff)
			}
		})
	}
}

// Guards against the outcome "not run" of a request that was sent. http.Transport, for one, sends an idempotent
// request again by itself if a reused connection fails, and returns the error of the second dial, although the
// server may have run the request that came on the first connection.
func TestFailedDialAfterSendingIsNoRefusal(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/last" {
			_ = listener.Close()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Tamarackrun-Request-Id", r.Header.Get("Tamarackrun-Request-Id"))
	})}
	defer func() { _ = server.Close() }()
	go func() { _ = server.Serve(listener) }()
	c := newClient(t, listener.Addr().String())
	var got []tamarackrun.Outcome
	for _, target := range []string{"/first", "/pooled", "/last", "/later"} {
		got = append(got, c.Dispatch(t.Context(), tamarackrun.Request{ID: "id", Attempt: "id.1", Method: "GET", Target: target, Idempotent: true,
			Deadline: c.Clock.Now() + 5*time.Second}, discardAnswer{}))
	}
	want := []tamarackrun.Outcome{tamarackrun.Done, tamarackrun.Done, tamarackrun.Uncertain(tamarackrun.AnswerLost),
		tamarackrun.Refused(tamarackrun.ConnectFailed)}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}
