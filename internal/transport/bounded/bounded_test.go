package bounded

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	"tamarackrun/internal/state/memory"
)

// FuzzReadMessage checks that no bytes of a peer make the reader of heads and bodies panic,
// exceed its limits or keep reserved memory.
func FuzzReadMessage(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\n\r\nrest"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nA: b\r\nA: b\r\nA: b\r\nA: b\r\n\r\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		const limit = 64
		budget := &memory.Budget{Limit: 16 << 10}
		head := &HeadReader{Reader: bytes.NewReader(text), MaxBytes: 256, MaxLines: 4}
		reader := bufio.NewReaderSize(head, 16)
		head.Begin(reader)
		response, err := http.ReadResponse(reader, nil)
		head.End()
		if err != nil {
			return
		}
		body, reserved, err := ReadBody(response.Body, response.ContentLength, limit, budget)
		_ = response.Body.Close()
		var tooLong *LimitError
		switch {
		case err == nil && int64(len(body)) > limit:
			t.Errorf("a body of %d bytes was accepted", len(body))
		case err == nil && int64(cap(body)) > reserved:
			t.Errorf("the buffer has %d bytes, and %d are reserved", cap(body), reserved)
		case err != nil && budget.Reserved() != 0:
			t.Errorf("%d bytes are reserved after the error %v", budget.Reserved(), err)
		case errors.As(err, &tooLong) && tooLong.Limit != limit:
			t.Errorf("error %v, want one with the limit %d", err, limit)
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			t.Error("the end of the body is an error")
		}
	})
}
