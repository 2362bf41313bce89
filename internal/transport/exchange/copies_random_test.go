package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"tamarackrun"
)

// copyingServer refuses or runs requests and writes each answer once more at random moments of its connection's life.
type copyingServer struct {
	listener net.Listener

	mu sync.Mutex
	// ran holds the targets of the requests that ran. Each attempt has a target of its own.
	ran map[string]bool
}

func newCopyingServer(t *testing.T) *copyingServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &copyingServer{listener: listener, ran: map[string]bool{}}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *copyingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	var writing sync.Mutex
	write := func(text string) {
		writing.Lock()
		defer writing.Unlock()
		// The client may have closed the connection.
		_, _ = io.WriteString(conn, text)
	}
	var earlier []string
	for reader := bufio.NewReader(conn); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		text := s.answer(r)
		for len(earlier) > 0 && rand.IntN(3) == 0 {
			write(earlier[rand.IntN(len(earlier))])
		}
		write(text)
		earlier = append(earlier, text)
		switch rand.IntN(12) {
		case 0:
			write(text)
		case 1:
			time.AfterFunc(rand.N(time.Millisecond), func() { write(text) })
		}
	}
}

// answer runs or refuses a request and returns the answer.
func (s *copyingServer) answer(r *http.Request) string {
	id := ""
	if v := r.Header.Get("Id"); v != "" {
		id = "Id: " + v + "\r\n"
	}
	if rand.IntN(2) == 0 {
		return "HTTP/1.1 503 X\r\nNot-Run: 1\r\n" + id + "Content-Length: 0\r\n\r\n"
	}
	s.mu.Lock()
	s.ran[r.RequestURI] = true
	s.mu.Unlock()
	body := r.RequestURI
	if r.Method == http.MethodHead {
		body = ""
	}
	return fmt.Sprintf("HTTP/1.1 200 X\r\n%sSignature: s\r\nTarget: %s\r\nContent-Length: %d\r\n\r\n%s", id, r.RequestURI, len(r.RequestURI), body)
}

// Guards against an answer that belongs to another attempt, whatever the order of copies, attempts of few ids, health
// probes and HEAD requests on the connections of several callers at a time.
func TestRandomCopiesBelongToNoOtherAttempt(t *testing.T) {
	s, c := newCopyingServer(t), newClient(t)
	var wg sync.WaitGroup
	for caller := range 6 {
		wg.Go(func() {
			for n := range 400 {
				id := strconv.Itoa(rand.IntN(8))
				r := testRequest(id, rand.IntN(2) == 0)
				r.Header = http.Header{"Id": {id}}
				r.Target = fmt.Sprintf("/%d/%d", caller, n)
				switch rand.IntN(8) {
				case 0:
					r.Method, r.Body = http.MethodHead, nil
				case 1:
					r.ID, r.Header, r.Probe, r.Idempotent = "", http.Header{}, true, true
				case 2:
					r.ID, r.Header = "", http.Header{}
				}
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				result := c.Do(ctx, s.listener.Addr().String(), r)
				cancel()
				s.mu.Lock()
				ran := s.ran[r.Target]
				s.mu.Unlock()
				if result.Outcome.Kind == tamarackrun.NotRun && ran {
					t.Errorf("%+v ran and its outcome is %s on a connection that had carried %d", r, result.Outcome, result.Carried)
				}
				if got := result.Header.Get("Target"); result.Outcome == tamarackrun.Done && got != r.Target {
					t.Errorf("%+v got the answer to %s", r, got)
				}
				c.Release(result)
			}
		})
	}
	wg.Wait()
}
