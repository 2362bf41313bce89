package pipeline

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
)

// Guards against a request that ends elsewhere for this reader than for servers and proxies: where net/http reads another request, another body or
// other bytes behind it, readHead must refuse the request.
func FuzzRequestsEndAsForOthers(f *testing.F) {
	for _, text := range []string{
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcrest",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\nrest",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nrest",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\nrest",
		"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "GET http://h/a?b HTTP/1.1\r\nHost: g\r\n\r\nrest",
		"GET /a HTTP/1.1\nHost: h\nA: \tb c \n\nrest", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabcrest",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		ours := bufio.NewReader(bytes.NewReader(text))
		r, err := readHead(ours)
		if err != nil {
			return
		}
		body, err := readAll(r)
		if err != nil {
			return
		}
		rest, _ := io.ReadAll(ours)
		theirs := bufio.NewReader(bytes.NewReader(text))
		other, err := http.ReadRequest(theirs)
		if err != nil {
			t.Fatalf("net/http refuses what counts as %s %s: %v", r.Method, r.RequestURI, err)
		}
		otherBody, err := readAll(other)
		otherRest, _ := io.ReadAll(theirs)
		if err != nil || r.Method != other.Method || r.RequestURI != other.RequestURI || r.Host != other.Host || !bytes.Equal(body, otherBody) || !bytes.Equal(rest, otherRest) {
			t.Fatalf("%s %s of %s, body %q, rest %q; for net/http %s %s of %s, %q, %q, %v", r.Method, r.RequestURI, r.Host, body, rest, other.Method, other.RequestURI, other.Host, otherBody, otherRest, err)
		}
	})
}

func readAll(r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	return io.ReadAll(r.Body)
}
