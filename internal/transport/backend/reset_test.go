package backend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"tamarackrun"
)

// Guards against a part of an answer that counts as the whole one, as
// TestResetDuringUploadEndsNoAnswer of transport/exchange does.
func TestResetDuringUploadEndsNoAnswer(t *testing.T) {
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
			_, _ = http.ReadRequest(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf")
			time.Sleep(20 * time.Millisecond)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	c := newClient(t, listener.Addr().String())
	for range 20 {
		r, answer := nonIdempotentRequest(c, nil, 10*time.Second), &endedAnswer{}
		r.Body = make([]byte, 32<<20)
		if outcome := c.Dispatch(t.Context(), r, answer); answer.ended || outcome.Kind == tamarackrun.Done.Kind {
			t.Errorf("outcome %s, ended %v, want an unknown one", outcome, answer.ended)
		}
	}
}
