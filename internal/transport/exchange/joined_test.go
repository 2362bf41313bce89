package exchange

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
)

// Guards against a head that is made of two answers: a server cuts one off and writes another one behind it, such as
// the copy of an earlier refusal. The fields of both would count, so that a request that ran would be reported as not run.
func TestJoinedHeadsAreNoAnswer(t *testing.T) {
	lost := tamarackrun.Uncertain(tamarackrun.AnswerLost)
	for name, joined := range map[string]string{
		"an answer, cut off in a field, and a copied refusal":       "HTTP/1.1 500 X\r\nId: b\r\nSignature: s" + refusalText("a"),
		"a copied refusal, cut off in a field, and the answer":      "HTTP/1.1 503 X\r\nNot-Run: 1\r\nSignature: s" + answerText("b", "1"),
		"a copied refusal, cut off in the reason, and the answer":   "HTTP/1.1 421 Mis" + answerText("b", "1"),
		"a copied refusal, cut off behind a status, and the answer": "HTTP/1.1 421 " + answerText("b", "1"),
		"an interim answer, cut off, and the answer":                "HTTP/1.1 100 Cont" + answerText("b", "1"),
		"an answer, cut off between two fields":                     "HTTP/1.1 500 X\r\nId: b\r\n" + refusalText("a"),
		"an answer, cut off in a name":                              "HTTP/1.1 500 X\r\nId: b\r\nSigna" + refusalText("a"),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, c := newScriptedServer(t, []string{refusalText("a"), joined}, []string{answerText("c", "2")}), newClient(t)
			var got []resultSummary
			for _, id := range []string{"a", "b", "c"} {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				result := c.Do(ctx, s.listener.Addr().String(), testRequest(id, false))
				cancel()
				got = append(got, resultSummary{result.Outcome, string(result.Body), result.Carried > 0})
			}
			want := []resultSummary{{tamarackrun.Refused(tamarackrun.ServerShed), "", false}, {lost, "", true}, {tamarackrun.Done, "2", false}}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("results (-want +got):\n%s", diff)
			}
		})
	}
}
