package exchange

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// Guards against bytes of a server that are dropped without a trace, so that nobody can tell afterwards to which attempt an
// answer belonged.
func TestDroppedBytesAreReported(t *testing.T) {
	refusal := "HTTP/1.1 503 X\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	second := Use{Connection: 1, Carried: 2}
	tests := map[string]struct {
		scripts [][]string
		want    []Dropped
	}{
		"the answer to another request": {[][]string{{refusal, refusal + answerText("b", "2")}},
			[]Dropped{{Kind: OtherID, Request: "b", AnswerID: "a", Status: 503, NotRun: true, Use: second}}},
		"an answer without an id": {[][]string{{answerText("a", "1"), "HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n" + answerText("b", "2")}},
			[]Dropped{{Kind: NoID, Request: "b", Status: 500, Use: second}}},
		"bytes behind an answer": {[][]string{{answerText("a", "1") + refusal}, {answerText("b", "2")}},
			[]Dropped{{Kind: Surplus, Request: "a", Use: Use{Connection: 1, Carried: 1}}}},
		"bytes on an idle connection": {[][]string{{answerText("a", "1") + thenLater + refusal}, {answerText("b", "2")}},
			[]Dropped{{Kind: Idle, Use: Use{Connection: 1, Carried: 1}}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, c := newScriptedServer(t, test.scripts...), newClient(t)
			var got []Dropped
			c.OnDrop = func(d Dropped) { got = append(got, d) }
			for _, id := range []string{"a", "b"} {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				c.Do(ctx, s.listener.Addr().String(), testRequest(id, true))
				cancel()
				// Gives the server time to send further bytes.
				time.Sleep(2 * laterDelay)
			}
			if diff := cmp.Diff(test.want, got, cmpopts.IgnoreFields(Use{}, "Age"), cmpopts.IgnoreFields(Dropped{}, "Address")); diff != "" {
				t.Errorf("dropped (-want +got):\n%s", diff)
			}
		})
	}
}
