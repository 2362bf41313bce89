package backend

import (
	"bytes"
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

// recordedAnswer keeps the body of an answer.
type recordedAnswer struct{ bytes.Buffer }

func (*recordedAnswer) Head(int, http.Header) error { return nil }
func (a *recordedAnswer) Body(piece []byte) error   { _, err := a.Write(piece); return err }
func (*recordedAnswer) End() error                  { return nil }

// Guards against an answer of another request: a server sends a second copy of an answer on a
// connection that carries the next request by then. Servers that name the request in their
// answers are checked; connections to the others are not used again.
func TestSecondCopyOfAnswerReachesNoOtherCaller(t *testing.T) {
	for _, echoes := range []bool{true, false} {
		t.Run(fmt.Sprintf("the server names the request %v", echoes), func(t *testing.T) {
			// earlier holds the latest answer on each connection.
			var mu sync.Mutex
			earlier := map[net.Conn]string{}
			address, _ := listenRequests(t, func(conn net.Conn, request *http.Request, n int64) {
				id := fmt.Sprint("id-", n)
				header := ""
				if echoes {
					header = "Tamarackrun-Request-Id: " + request.Header.Get("Tamarackrun-Request-Id") + "\r\n"
				}
				text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(id), id)
				mu.Lock()
				defer mu.Unlock()
				_, _ = io.WriteString(conn, earlier[conn]+text)
				earlier[conn] = text
			})
			c := newClient(t, address)
			for n := 1; n <= 4; n++ {
				id := fmt.Sprint("id-", n)
				answer := &recordedAnswer{}
				outcome := c.Dispatch(t.Context(), tamarackrun.Request{ID: id, Method: "GET", Target: "/x", Idempotent: true,
					Deadline: c.Clock.Now() + time.Second}, answer)
				if outcome == tamarackrun.Done && answer.String() != id {
					t.Errorf("request %s got the answer %q", id, answer.String())
				}
				// The bytes after an answer arrive while the connection is idle or in use.
				if n%2 == 0 {
					time.Sleep(10 * time.Millisecond)
				}
			}
		})
	}
}

// Guards against heads without end, which would take the memory of the process.
func TestEndlessHeadIsGivenUp(t *testing.T) {
	address, _ := listenRaw(t, func(conn net.Conn, _ int64) {
		_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for err == nil {
			_, err = io.WriteString(conn, strings.Repeat("A: b\r\n", 1000))
		}
	})
	c := newClient(t, address)
	for _, idempotent := range []bool{true, false} {
		began := time.Now()
		outcome := c.Dispatch(t.Context(), tamarackrun.Request{ID: "a", Method: "GET", Target: "/x", Idempotent: idempotent,
			Deadline: c.Clock.Now() + 5*time.Second}, &recordedAnswer{})
		if diff := cmp.Diff(tamarackrun.Uncertain(tamarackrun.AnswerLost), outcome); diff != "" || time.Since(began) > 4*time.Second {
			t.Errorf("outcome after %s (-want +got):\n%s", time.Since(began), diff)
		}
	}
}
