package exchange

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
)

const (
	// maxTestHeap bounds the heap while an endless answer is read, in bytes.
	maxTestHeap = 64 << 20
	// testDeadline is the time limit of the requests to endless servers.
	testDeadline = 3 * time.Second
)

// endlessAnswer is a start that is sent once and a piece that is repeated until the
// client closes the connection.
type endlessAnswer struct{ start, piece string }

// serveEndless answers the first request of each connection with an endless answer. The
// returned channel is closed when a client has closed its connection.
func serveEndless(t *testing.T, answer endlessAnswer) (address string, closed chan struct{}) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	closed = make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer close(closed)
		sendEndless(conn, answer)
	}()
	return listener.Addr().String(), closed
}

// sendEndless reads a request and sends an endless answer until the client closes the connection.
func sendEndless(conn net.Conn, answer endlessAnswer) {
	defer func() { _ = conn.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	// The same bytes are sent each time, so that the server takes no memory of the test's process.
	text, block := []byte(answer.start), []byte(strings.Repeat(answer.piece, 1+(32<<10)/len(answer.piece)))
	for {
		if _, err := conn.Write(text); err != nil {
			return
		}
		text = block
	}
}

// peakHeap returns a function that ends the observation of the heap and returns its
// largest size in bytes.
func peakHeap() func() uint64 {
	runtime.GC()
	var peak atomic.Uint64
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak.Store(max(peak.Load(), m.HeapAlloc))
			select {
			case <-done:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	return func() uint64 {
		close(done)
		<-ended
		return peak.Load()
	}
}

// Guards against a server whose bytes never end, which would take the memory of the whole
// machine within seconds, and against a caller that waits for such an answer until its
// deadline.
func TestEndlessAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\n"
	tooLarge := tamarackrun.Uncertain(tamarackrun.AnswerTooLarge)
	tests := map[string]struct {
		answer endlessAnswer
		want   tamarackrun.Outcome
		// limit is a part of the error, which the log line shows.
		limit string
	}{
		"status line":     {endlessAnswer{"HTTP/1.1 200 ", "x"}, tooLarge, "head is longer than 65536 bytes"},
		"header value":    {endlessAnswer{head + "Long: ", "x"}, tooLarge, "head is longer than 65536 bytes"},
		"header lines":    {endlessAnswer{head, "A: b\r\n"}, tooLarge, "head is longer than 512 lines"},
		"interim answers": {endlessAnswer{"", "HTTP/1.1 103 X\r\n\r\n"}, tooLarge, "more than 8 interim answers"},
		"body without a length": {endlessAnswer{head + "\r\n", "x"}, tooLarge,
			"body is longer than 16777216 bytes"},
		"chunked body": {endlessAnswer{head + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("x", 4096) + "\r\n"}, tooLarge,
			"body is longer than 16777216 bytes"},
		"body with a large length": {endlessAnswer{head + "Content-Length: 9000000000\r\n\r\n", "x"}, tooLarge,
			"body is longer than 16777216 bytes"},
		"chunk header": {endlessAnswer{head + "Transfer-Encoding: chunked\r\n\r\n4;", "x"},
			tamarackrun.Uncertain(tamarackrun.AnswerTruncated), "line too long"},
		"trailer": {endlessAnswer{head + "Transfer-Encoding: chunked\r\n\r\n0\r\nA: ", "x"},
			tamarackrun.Uncertain(tamarackrun.AnswerTruncated), "long trailer"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := newClient(t)
			address, closed := serveEndless(t, test.answer)
			ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
			defer cancel()
			stop := peakHeap()
			result := c.Do(ctx, address, testRequest("a", true))
			peak := stop()
			if diff := cmp.Diff(test.want, result.Outcome); diff != "" {
				t.Errorf("outcome (-want +got):\n%s\n%v", diff, result.Err)
			}
			if result.Err == nil || !strings.Contains(result.Err.Error(), test.limit) {
				t.Errorf("error %v, want one with %q", result.Err, test.limit)
			}
			if peak > maxTestHeap {
				t.Errorf("the heap grew to %d MB, want at most %d MB", peak>>20, maxTestHeap>>20)
			}
			if ctx.Err() != nil {
				t.Error("the request waited until its deadline")
			}
			select {
			case <-closed:
			case <-time.After(testDeadline):
				t.Error("the connection stays open")
			}
			if got := c.Bodies.Reserved(); got != 0 {
				t.Errorf("%d bytes are still reserved", got)
			}
		})
	}
}

// Guards against several servers at a time whose bytes never end, or whose bodies are just below the
// bound of an answer, under load: each answer is within its limit for some time, and together they must
// leave the process its memory (LOST, as the process is killed with all its connections).
func TestManyLargeAnswers(t *testing.T) {
	const (
		bodies, servers, perServer = 16 << 20, 6, 8
		// machine is the memory, in bytes, for which the limit on bodies is set, and maxHeap the part
		// of it at which the product's process collects garbage at any cost.
		machine = 8 * bodies
		maxHeap = machine / 10 * 7
		head    = "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\n"
		largest = bodies / maxAnswerFraction
	)
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(maxHeap))
	tests := map[string][]endlessAnswer{
		"endless":              {{head + "\r\n", "x"}, {head, "A: b\r\n"}, {head + "Content-Length: 9000000000\r\n\r\n", "x"}},
		"just below the bound": {{head + fmt.Sprintf("Content-Length: %d\r\n\r\n", largest-1), "x"}},
	}
	for name, answers := range tests {
		t.Run(name, func(t *testing.T) {
			c := newClient(t)
			c.Bodies.Limit = bodies
			var addresses []string
			for i := range servers {
				addresses = append(addresses, serveManyEndless(t, answers[i%len(answers)]))
			}
			ctx, cancel := context.WithTimeout(t.Context(), testDeadline)
			defer cancel()
			stop := peakHeap()
			var group sync.WaitGroup
			for _, address := range addresses {
				for range perServer {
					group.Go(func() {
						for ctx.Err() == nil {
							result := c.Do(ctx, address, testRequest("a", true))
							if result.Outcome.Kind == tamarackrun.Ran && len(result.Body) != largest-1 {
								t.Errorf("%d bytes count as a whole body", len(result.Body))
							}
							c.Release(result)
						}
					})
				}
			}
			group.Wait()
			if peak := stop(); peak > maxHeap {
				t.Errorf("the heap grew to %d MB, want at most %d MB", peak>>20, maxHeap>>20)
			}
			if got := c.Bodies.Reserved(); got != 0 {
				t.Errorf("%d bytes are still reserved", got)
			}
		})
	}
}

// serveManyEndless answers the first request of each connection with an endless answer.
func serveManyEndless(t *testing.T, answer endlessAnswer) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go sendEndless(conn, answer)
		}
	}()
	return listener.Addr().String()
}

// Guards against many large answers at a time, each within its own limit, that together
// exceed the memory of the process.
func TestAnswersShareMemory(t *testing.T) {
	s, c := newScriptedServer(t, []string{answerText("a", strings.Repeat("x", 1000)), answerText("b", strings.Repeat("x", 1000))}), newClient(t)
	c.Bodies.Limit = 5000
	first := c.Do(t.Context(), s.listener.Addr().String(), testRequest("a", true))
	if diff := cmp.Diff(tamarackrun.Done, first.Outcome); diff != "" {
		t.Fatalf("outcome (-want +got):\n%s", diff)
	}
	const other = 3500
	c.Bodies.Reserve(other)
	second := c.Do(t.Context(), s.listener.Addr().String(), testRequest("b", true))
	if diff := cmp.Diff(tamarackrun.Uncertain(tamarackrun.AnswersFull), second.Outcome); diff != "" {
		t.Errorf("outcome without memory (-want +got):\n%s", diff)
	}
	c.Bodies.Release(other)
	c.Release(first)
	if got := c.Bodies.Reserved(); got != 0 {
		t.Errorf("%d bytes are reserved after the release", got)
	}
}

// Guards against a connection that carries another request after a second copy of an
// answer arrived on it: more copies may follow.
func TestLateCopyEndsConnection(t *testing.T) {
	s, c := newScriptedServer(t, []string{answerText("a", "1"), answerText("a", "1") + answerText("b", "2")}, []string{answerText("c", "3")}), newClient(t)
	var got []resultSummary
	for _, id := range []string{"a", "b", "c"} {
		result := c.Do(t.Context(), s.listener.Addr().String(), testRequest(id, true))
		got = append(got, resultSummary{result.Outcome, string(result.Body), result.Carried > 0})
	}
	want := []resultSummary{{tamarackrun.Done, "1", false}, {tamarackrun.Done, "2", true}, {tamarackrun.Done, "3", false}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("results (-want +got):\n%s", diff)
	}
}
