package exchange

import (
	"testing"

	"tamarackrun"
)

// Guards against heads that HTTP doesn't allow and that reach a caller as an answer: with a status such as 000, with a
// field whose name holds a blank or a control byte, or with a body whose length an invalid line names.
func TestInvalidHeadsAreNoAnswer(t *testing.T) {
	const fields = "Id: a\r\nSignature: s\r\n"
	for name, text := range map[string]string{
		"status 000":                            "HTTP/1.1 000 X\r\n" + fields + "Content-Length: 0\r\n\r\n",
		"status 000 with chunks":                "HTTP/1.1 000 X\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"status 099":                            "HTTP/1.1 099 X\r\n" + fields + "Content-Length: 0\r\n\r\n",
		"status 600":                            "HTTP/1.1 600 X\r\n" + fields + "Content-Length: 0\r\n\r\n",
		"status +20":                            "HTTP/1.1 +20 X\r\n" + fields + "Content-Length: 0\r\n\r\n",
		"two blanks before the status":          "HTTP/1.1  200 X\r\n" + fields + "Content-Length: 0\r\n\r\n",
		"other protocol":                        "HTTP/9.9 200 X\r\n" + fields + "Content-Length: 0\r\n\r\n",
		"control byte in the reason":            "HTTP/1.1 200 \x00\r\n" + fields + "Content-Length: 0\r\n\r\n",
		"unasked change of protocol":            "HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n" + answerText("a", ""),
		"blank in a name":                       "HTTP/1.1 200 X\r\n" + fields + "Some Name: 1\r\nContent-Length: 0\r\n\r\n",
		"blank behind a name":                   "HTTP/1.1 200 X\r\n" + fields + "Content-Length : 4\r\n\r\nbody and more" + thenClose,
		"blank before a name":                   "HTTP/1.1 200 X\r\n" + fields + " Content-Length: 4\r\n\r\nbody and more" + thenClose,
		"tab before a name":                     "HTTP/1.1 200 X\r\n" + fields + "\tTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" + thenClose,
		"line that goes on":                     "HTTP/1.1 200 X\r\n" + fields + "Some: 1\r\n\tmore\r\nContent-Length: 0\r\n\r\n",
		"control byte in a name":                "HTTP/1.1 200 X\r\n" + fields + "Some\x01: 1\r\nContent-Length: 0\r\n\r\n",
		"carriage return in a name":             "HTTP/1.1 200 X\r\n" + fields + "Some\rContent-Length: 0\r\n\r\n" + thenClose,
		"no name":                               "HTTP/1.1 200 X\r\n" + fields + ": 1\r\nContent-Length: 0\r\n\r\n",
		"byte outside ASCII in a name":          "HTTP/1.1 200 X\r\n" + fields + "S\xf6me: 1\r\nContent-Length: 0\r\n\r\n",
		"control byte in a value":               "HTTP/1.1 200 X\r\n" + fields + "Some: \x01\r\nContent-Length: 0\r\n\r\n",
		"chunks of an older protocol":           "HTTP/1.0 200 X\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n" + thenClose,
		"two lengths":                           "HTTP/1.1 200 X\r\n" + fields + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!" + thenClose,
		"length with a sign":                    "HTTP/1.1 200 X\r\n" + fields + "Content-Length: +4\r\n\r\nbody" + thenClose,
		"blank in a name of a trailer":          "HTTP/1.1 200 X\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nSome Name: 1\r\n\r\n",
		"interim answer with a blank in a name": "HTTP/1.1 103 X\r\nSome Name: 1\r\n\r\n" + answerText("a", ""),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, c := newScriptedServer(t, []string{text}, []string{answerText("b", "whole")}), newClient(t)
			address := s.listener.Addr().String()
			if result := c.Do(t.Context(), address, testRequest("a", true)); result.Outcome.Kind != tamarackrun.Unknown || result.Status != 0 {
				t.Errorf("result %s with status %d, body %q and header %q, want an unknown outcome", result.Outcome, result.Status, result.Body, result.Header)
			}
			if result := c.Do(t.Context(), address, testRequest("b", true)); string(result.Body) != "whole" {
				t.Errorf("next request: %s with body %q, want the whole answer on another connection", result.Outcome, result.Body)
			}
		})
	}
}
