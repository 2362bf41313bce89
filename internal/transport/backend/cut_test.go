package backend

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"tamarackrun"
)

// endedAnswer records whether the answer was passed on as whole.
type endedAnswer struct{ ended bool }

func (*endedAnswer) Head(int, http.Header) error { return nil }
func (*endedAnswer) Body([]byte) error           { return nil }
func (a *endedAnswer) End() error                { a.ended = true; return nil }

// Guards against an answer that a server cuts short and that the caller gets as whole.
func TestAnswersCutShort(t *testing.T) {
	for name, text := range map[string]string{
		"with a length": wholeAnswer,
		"in chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"a refusal":     "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 2\r\n\r\nno",
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := listenRaw(t, func(conn net.Conn, n int64) {
				_, _ = io.WriteString(conn, text[:min(int(n)-1, len(text))])
				_ = conn.Close()
			})
			c := newClient(t, address)
			for n := range text {
				answer := &endedAnswer{}
				outcome := c.Dispatch(t.Context(), nonIdempotentRequest(c, nil, 10*time.Second), answer)
				if answer.ended || outcome.Kind == tamarackrun.Done.Kind {
					t.Errorf("cut after %q: outcome %s, ended %v", text[:n], outcome, answer.ended)
				}
			}
		})
	}
}
