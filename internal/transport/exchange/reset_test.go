package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"tamarackrun"
)

// longBody does not fit in the buffers of a connection.
const longBody = 32 << 20

// Guards against a part of an answer that counts as the whole one: an answer without a length ends with its connection,
// and a reset that the sending of the request has met first looks like that end to the reading of the answer.
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
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(conn))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\n\r\nhalf")
				// The answer arrives before the reset, which drops what is under way.
				time.Sleep(20 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	c := newClient(t)
	for range 20 {
		r := testRequest("a", false)
		r.Method, r.Body = http.MethodPost, make([]byte, longBody)
		if result := c.Do(t.Context(), listener.Addr().String(), r); result.Outcome.Kind != tamarackrun.Unknown {
			t.Errorf("outcome %s with body %q, want an unknown one", result.Outcome, result.Body)
		}
	}
}

// Guards against an answer that is lost though it is whole: a server may answer a long request without a length before
// it has read all of it, close its side and read on.
func TestEndBeforeUploadIsReadEndsAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\nSignature: s\r\n\r\nwhole")
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, reader)
	}()
	r := testRequest("a", false)
	r.Method, r.Body = http.MethodPost, make([]byte, longBody)
	if result := newClient(t).Do(t.Context(), listener.Addr().String(), r); result.Outcome != tamarackrun.Done || string(result.Body) != "whole" {
		t.Errorf("outcome %s with body %q, want the whole answer", result.Outcome, result.Body)
	}
}
