package exchange

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
)

// refusalText returns a server's answer that it has not run the request.
func refusalText(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 X\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", id)
}

// Guards against an answer that the server writes once more and that is taken for the answer to a later attempt of the
// same request: the copy has the id of both. The later attempt must go on a connection that has not carried the
// request.
func TestCopiedAnswerIsNotTakenForLaterAttempt(t *testing.T) {
	failure := "HTTP/1.1 500 X\r\nId: a\r\nContent-Length: 0\r\n\r\n"
	refused := tamarackrun.Refused(tamarackrun.ServerShed)
	tests := map[string]struct {
		// ids are the ids of the requests in turn.
		ids     []string
		scripts [][]string
		want    []resultSummary
	}{
		"a refusal, then the answer": {[]string{"a", "a"}, [][]string{{refusalText("a"), refusalText("a") + answerText("a", "1")}, {answerText("a", "2")}},
			[]resultSummary{{refused, "", false}, {tamarackrun.Done, "2", false}}},
		"a refusal and nothing else": {[]string{"a", "a"}, [][]string{{refusalText("a"), refusalText("a") + thenClose}, {answerText("a", "2")}},
			[]resultSummary{{refused, "", false}, {tamarackrun.Done, "2", false}}},
		"a refusal, with a served request between": {[]string{"a", "b", "a"},
			[][]string{{refusalText("a"), answerText("b", "1"), refusalText("a") + answerText("a", "1")}, {answerText("a", "2")}},
			[]resultSummary{{refused, "", false}, {tamarackrun.Done, "1", true}, {tamarackrun.Done, "2", false}}},
		"a refusal, with a refused request between": {[]string{"a", "b", "a"},
			[][]string{{refusalText("a"), refusalText("b"), refusalText("a") + answerText("a", "1")}, {answerText("a", "2")}},
			[]resultSummary{{refused, "", false}, {refused, "", true}, {tamarackrun.Done, "2", false}}},
		"a success": {[]string{"a", "a"}, [][]string{{answerText("a", "1"), answerText("a", "1")}, {answerText("a", "2")}},
			[]resultSummary{{tamarackrun.Done, "1", false}, {tamarackrun.Done, "2", false}}},
		"a failure": {[]string{"a", "a"}, [][]string{{failure, failure + answerText("a", "1")}, {answerText("a", "2")}},
			[]resultSummary{{tamarackrun.Done, "", false}, {tamarackrun.Done, "2", false}}},
		"an answer to a health probe": {[]string{"", ""}, [][]string{{probeAnswer("1"), probeAnswer("1")}, {probeAnswer("2")}},
			[]resultSummary{{tamarackrun.Done, "1", false}, {tamarackrun.Done, "2", false}}},
		"an answer to a health probe, with a request between": {[]string{"", "a", ""},
			[][]string{{probeAnswer("1"), answerText("a", "1"), probeAnswer("1")}, {probeAnswer("2")}},
			[]resultSummary{{tamarackrun.Done, "1", false}, {tamarackrun.Done, "1", true}, {tamarackrun.Done, "2", false}}},
		"a refusal of a health probe, before a request": {[]string{"", "a"},
			[][]string{{"HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 503 X\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" + answerText("a", "1")}},
			[]resultSummary{{refused, "", false}, {tamarackrun.Done, "1", true}}},
		"an answer without an id, before a health probe": {[]string{"a", ""},
			[][]string{{"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n"}, {probeAnswer("2")}},
			[]resultSummary{{tamarackrun.Done, "", false}, {tamarackrun.Done, "2", false}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, c := newScriptedServer(t, test.scripts...), newClient(t)
			var got []resultSummary
			for _, id := range test.ids {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				r := testRequest(id, true)
				r.Probe = id == ""
				result := c.Do(ctx, s.listener.Addr().String(), r)
				cancel()
				got = append(got, resultSummary{result.Outcome, string(result.Body), result.Carried > 0})
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("results (-want +got):\n%s", diff)
			}
		})
	}
}

// probeAnswer returns a server's answer to a health probe, which has no id.
func probeAnswer(body string) string {
	return fmt.Sprintf("HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n%s", http.StatusOK, len(body), body)
}

// Guards against a new connection after each refusal, which overloaded servers send in masses, and against connections
// whose memory of request ids grows without bound.
func TestRefusalsKeepConnections(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	c, dials := newClient(t), 0
	c.OnDial = func() { dials++ }
	for i := range 2*maxCarried + 1 {
		id := strconv.Itoa(i)
		result := c.Do(t.Context(), server.Listener.Addr().String(), Request{ID: id, Method: http.MethodGet, Target: "/", Host: "h",
			Header: http.Header{"Id": {id}}})
		if diff := cmp.Diff(tamarackrun.Refused(tamarackrun.ServerShed), result.Outcome); diff != "" || result.Carried >= maxCarried {
			t.Fatalf("request %d on a connection that had carried %d (-want +got):\n%s", i, result.Carried, diff)
		}
	}
	if dials != 3 {
		t.Errorf("%d connections were opened, want 3", dials)
	}
}

// Guards against idle connections that are pushed out by those of requests whose ids come often, such as health
// probes.
func TestRepeatedIDsLeaveIdleConnections(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
	}))
	defer server.Close()
	c, address := newClient(t), server.Listener.Addr().String()
	send := func(id string) Result {
		return c.Do(t.Context(), address, Request{ID: id, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{"Id": {id}},
			Idempotent: true, Probe: id == ""})
	}
	connection := send("first").Connection
	for i := range 2 * maxIdle {
		send("")
		if got := send(strconv.Itoa(i)); got.Connection != connection {
			t.Fatalf("request %d went over connection %d, want %d", i, got.Connection, connection)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.idle[address]); n != 1 {
		t.Errorf("%d connections are idle, want 1", n)
	}
}

// Guards against a part of another request's answer that is read as an answer. The answer to a HEAD request has no body, so that
// a copy of another answer would leave its body behind, and the copy of an answer to HEAD would take bytes of the next one.
func TestCopiedAnswerIsReadAsAWhole(t *testing.T) {
	refusal := refusalText("b")
	headAnswer := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\nContent-Length: %d\r\n\r\n", len(answerText("b", refusal))-len(refusal))
	tests := map[string]struct {
		methods []string
		scripts [][]string
		want    []resultSummary
	}{
		"HEAD after GET": {[]string{http.MethodGet, http.MethodHead}, [][]string{{answerText("a", refusal), answerText("a", refusal)}, {answerText("b", "")}},
			[]resultSummary{{tamarackrun.Done, refusal, false}, {tamarackrun.Done, "", false}}},
		"GET after HEAD": {[]string{http.MethodHead, http.MethodGet}, [][]string{{headAnswer, headAnswer + answerText("b", refusal)}, {answerText("b", "2")}},
			[]resultSummary{{tamarackrun.Done, "", false}, {tamarackrun.Done, "2", false}}},
		"HEAD after HEAD": {[]string{http.MethodHead, http.MethodHead}, [][]string{{headAnswer, headAnswer + answerText("b", "")}},
			[]resultSummary{{tamarackrun.Done, "", false}, {tamarackrun.Done, "", true}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, c := newScriptedServer(t, test.scripts...), newClient(t)
			var got []resultSummary
			for i, method := range test.methods {
				r := testRequest(string(rune('a'+i)), true)
				r.Method, r.Body = method, nil
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				result := c.Do(ctx, s.listener.Addr().String(), r)
				cancel()
				got = append(got, resultSummary{result.Outcome, string(result.Body), result.Carried > 0})
			}
			if diff := cmp.Diff(test.want, got); diff != "" {
				t.Errorf("results (-want +got):\n%s", diff)
			}
		})
	}
}
