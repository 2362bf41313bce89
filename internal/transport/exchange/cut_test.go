package exchange

import (
	"strings"
	"testing"

	"tamarackrun"
)

// Guards against an answer that ends early and counts as whole: a caller would get an empty or short
// body as if it were all, or hear that a request which may have run has not run.
func TestAnswersCutShort(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\n"
	// end is the length of the part after which an answer may end with its connection, which is
	// the head if the answer has no length.
	tests := map[string]struct {
		text string
		end  int
	}{
		"with a length":           {text: head + "Content-Length: 4\r\n\r\nbody"},
		"in chunks":               {text: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		"without a length":        {text: head + "\r\nbody", end: len(head) + 2},
		"a refusal":               {text: "HTTP/1.1 503 X\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nbody"},
		"after an interim answer": {text: "HTTP/1.1 103 X\r\nLink: l\r\n\r\n" + answerText("a", "body")},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			end := test.end
			if end == 0 {
				end = len(test.text)
			}
			var scripts [][]string
			for n := range end {
				scripts = append(scripts, []string{test.text[:n] + thenClose})
			}
			s, c := newScriptedServer(t, append(scripts, []string{test.text + thenClose})...), newClient(t)
			for n := range end {
				result := c.Do(t.Context(), s.listener.Addr().String(), testRequest("a", false))
				if result.Outcome.Kind != tamarackrun.Unknown {
					t.Errorf("cut after %q: outcome %s, want unknown", test.text[:n], result.Outcome)
				}
			}
			if result := c.Do(t.Context(), s.listener.Addr().String(), testRequest("a", false)); result.Outcome.Kind == tamarackrun.Unknown || !strings.HasSuffix(string(result.Body), "body") {
				t.Errorf("whole answer: outcome %s, body %q", result.Outcome, result.Body)
			}
		})
	}
}
