package httpclient

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun/internal/protocol/answer"
	"tamarackrun/internal/transport/dialer"
)

// closes at the end of a text makes the server close the connection after it.
const closes = "closes"

// serve answers the n-th request with the n-th text, and counts connections.
func serve(t *testing.T, texts ...string) (url string, connections *atomic.Int64) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	connections = &atomic.Int64{}
	var answered atomic.Int64
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer func() { _ = conn.Close() }()
				for reader := bufio.NewReader(conn); ; {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					text, end := strings.CutSuffix(texts[answered.Add(1)-1], closes)
					if _, err := io.WriteString(conn, text); err != nil || end {
						return
					}
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String(), connections
}

func newTransport(t *testing.T) *Transport {
	t.Helper()
	transport := &Transport{DialContext: dialer.New(time.Second).DialContext, MaxIdle: 2, IdleTimeout: time.Minute, RepeatsReads: true}
	t.Cleanup(transport.CloseIdle)
	return transport
}

// send sends a request and returns the body of the answer.
func send(t *testing.T, transport *Transport, method, url, body string) (string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return string(content), err
}

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// Guards against clients of stores that believe bytes which are no answer: http.Transport lets them through.
func TestInvalidAnswersAreErrors(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok" + closes,
		"HTTP/1.1 200 OK\r\nSome: 1\r\n Store-Era: 5\r\nContent-Length: 2\r\n\r\nok"} {
		url, _ := serve(t, text, ok)
		transport := newTransport(t)
		var invalid *answer.InvalidError
		if body, err := send(t, transport, "GET", url, ""); !errors.As(err, &invalid) {
			t.Errorf("%q: body %q, error %v, want an invalid answer", text, body, err)
		}
		if body, err := send(t, transport, "GET", url, ""); body != "ok" || err != nil {
			t.Errorf("after %q: body %q, error %v, want a whole answer", text, body, err)
		}
	}
}

// Guards against connections that are not reused, or reused where bytes or the end of another answer wait.
func TestConnectionsAreReused(t *testing.T) {
	url, connections := serve(t, ok, "HTTP/1.1 204 X\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", ok,
		ok+ok, ok, "HTTP/1.1 200 OK\r\n\r\nok"+closes, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", ok)
	transport := newTransport(t)
	var got []int64
	for i := range 9 {
		if body, err := send(t, transport, "GET", url, ""); body != "ok" && i != 1 || err != nil {
			t.Errorf("request %d: body %q, error %v", i, body, err)
		}
		got = append(got, connections.Load())
	}
	if diff := cmp.Diff([]int64{1, 1, 1, 1, 1, 2, 2, 3, 4}, got); diff != "" {
		t.Errorf("connections after each request (-want +got):\n%s", diff)
	}
}

// Guards against reads that fail because the server has ended a kept connection, and against writes that are sent twice.
func TestOnlyReadsAreRepeated(t *testing.T) {
	for method, repeats := range map[string]bool{"GET": true, "POST": false} {
		url, connections := serve(t, ok, closes, ok)
		transport := newTransport(t)
		if _, err := send(t, transport, method, url, ""); err != nil {
			t.Fatal(err)
		}
		body, err := send(t, transport, method, url, "")
		if (err == nil) != repeats || (body == "ok") != repeats || (connections.Load() == 2) != repeats {
			t.Errorf("%s: body %q, error %v, %d connections, want a repetition: %v", method, body, err, connections.Load(), repeats)
		}
	}
}
