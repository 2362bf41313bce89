package answer

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
)

// Guards against an answer that ends elsewhere for this reader than for others, whose rest would count as another one: where net/http
// reads another body, or other bytes behind it, Read must refuse the answer.
func FuzzAnswersEndAsForOthers(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcrest",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nA: b\r\n\r\nrest",
		"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nrest",
		"HTTP/1.0 200 OK\r\n\r\nrest", "HTTP/1.1 204 OK\r\n\r\nrest", "HTTP/1.1 304 OK\nContent-Length: 3\n\nrest",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\nrest", "HTTP/1.1 200 OK\r\nTransfer-Encoding:\r\n\r\n",
		"HTTP/1.1 200 OK\r\nA: b\r\n Content-Length: 3\r\n\r\nabcrest", "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nabcrest",
	} {
		f.Add([]byte(text), false)
		f.Add([]byte(text), true)
	}
	f.Fuzz(func(t *testing.T, text []byte, isHead bool) {
		method := http.MethodGet
		if isHead {
			method = http.MethodHead
		}
		ours := bufio.NewReader(bytes.NewReader(text))
		a, err := Read(ours, method)
		if err != nil {
			return
		}
		defer func() { _ = a.Body.Close() }()
		body, err := io.ReadAll(a.Body)
		if err != nil {
			return
		}
		rest, _ := io.ReadAll(ours)
		theirs := bufio.NewReader(bytes.NewReader(text))
		var other *http.Response
		for other == nil || other.StatusCode/100 == 1 {
			if other, err = http.ReadResponse(theirs, &http.Request{Method: method}); err != nil {
				t.Fatalf("net/http refuses what counts as an answer with status %d: %v", a.StatusCode, err)
			}
		}
		defer func() { _ = other.Body.Close() }()
		otherBody, err := io.ReadAll(other.Body)
		otherRest, _ := io.ReadAll(theirs)
		if err != nil || a.StatusCode != other.StatusCode || !bytes.Equal(body, otherBody) || !bytes.Equal(rest, otherRest) {
			t.Fatalf("status %d, body %q, rest %q; for net/http %d, %q, %q, %v", a.StatusCode, body, rest, other.StatusCode, otherBody, otherRest, err)
		}
	})
}
