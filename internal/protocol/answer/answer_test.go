package answer

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// reading is what Read returns, with the body and what follows it on the connection.
type reading struct {
	Status     int
	Header     http.Header
	Body, Rest string
	Close      bool
}

// Guards against valid answers that are refused, or read otherwise than they were sent.
func TestValidAnswers(t *testing.T) {
	tests := map[string]struct {
		method, text string
		want         reading
	}{
		"with a length":           {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokrest", reading{200, http.Header{"Content-Length": {"2"}}, "ok", "rest", false}},
		"in chunks":               {"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nA: b\r\n\r\nrest", reading{200, http.Header{}, "ok", "rest", false}},
		"with a length in chunks": {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nrest", reading{200, http.Header{}, "ok", "rest", true}},
		"until the end":           {"GET", "HTTP/1.1 200 OK\r\n\r\nok", reading{200, http.Header{}, "ok", "", true}},
		"without a reason":        {"GET", "HTTP/1.1 404\r\nContent-Length: 0\r\n\r\n", reading{404, http.Header{"Content-Length": {"0"}}, "", "", false}},
		"with line feeds only":    {"GET", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", reading{200, http.Header{"Content-Length": {"2"}}, "ok", "", false}},
		"without a body":          {"GET", "HTTP/1.1 204 No Content\r\n\r\nrest", reading{204, http.Header{}, "", "rest", false}},
		"to HEAD":                 {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nrest", reading{200, http.Header{"Content-Length": {"2"}}, "", "rest", false}},
		"behind interim answers":  {"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: l\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", reading{200, http.Header{"Content-Length": {"0"}}, "", "", false}},
		"of an older protocol":    {"GET", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", reading{200, http.Header{"Content-Length": {"2"}}, "ok", "", true}},
		"with odd but valid fields": {"GET", "HTTP/1.1 200 \xd6K\r\nx!#$%&'*+-.^_`|~1:\t a\tb \r\nEmpty:\r\nPlace: M\xfcnchen\r\nContent-Length: 2\r\ncontent-length: 2\r\nConnection: x, Close\r\n\r\nok",
			reading{200, http.Header{"X!#$%&'*+-.^_`|~1": {"a\tb"}, "Empty": {""}, "Place": {"M\xfcnchen"}, "Content-Length": {"2", "2"}, "Connection": {"x, Close"}}, "ok", "", true}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			reader := bufio.NewReader(strings.NewReader(test.text))
			a, err := Read(reader, test.method)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = a.Body.Close() }()
			body, err := io.ReadAll(a.Body)
			if err != nil {
				t.Fatal(err)
			}
			rest, _ := io.ReadAll(reader)
			if diff := cmp.Diff(test.want, reading{a.StatusCode, a.Header, string(body), string(rest), a.Close}); diff != "" {
				t.Errorf("answer (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against bytes that are no answer and a cut answer that count as one, or for each other: the first are told from
// the second in logs.
func TestInvalidAnswers(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 099 X\r\n\r\n", "HTTP/1.1 600 X\r\n\r\n", "HTTP/1.1 +20 X\r\n\r\n", "HTTP/1.1 20 X\r\n\r\n", "HTTP/1.1  200 X\r\n\r\n",
		"HTTP/1.1\t200 X\r\n\r\n", " HTTP/1.1 200 X\r\n\r\n", "HTTP/2.0 200 X\r\n\r\n", "HTTP/1.1 200 a\rb\r\n\r\n", "\r\nHTTP/1.1 200 X\r\n\r\n", "\x00\x01\n\n",
		"HTTP/1.1 200 X\r\nno field\r\n\r\n", "HTTP/1.1 200 X\r\n: a\r\n\r\n", "HTTP/1.1 200 X\r\nA : a\r\n\r\n", "HTTP/1.1 200 X\r\nA\t: a\r\n\r\n",
		"HTTP/1.1 200 X\r\n A: a\r\n\r\n", "HTTP/1.1 200 X\r\nA: a\r\n b: c\r\n\r\n", "HTTP/1.1 200 X\r\nA\x7f: a\r\n\r\n", "HTTP/1.1 200 X\r\nA: \x00\r\n\r\n",
		"HTTP/1.1 200 X\r\nTransfer-Encoding: gzip, chunked\r\n\r\n", "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 X\r\nContent-Length: -1\r\n\r\n", "HTTP/1.1 200 X\r\nContent-Length: 1,1\r\n\r\n", "HTTP/1.1 200 X\r\nContent-Length: 99999999999999999999\r\n\r\n",
	} {
		var problem *InvalidError
		//nolint:bodyclose // The answer has no body, since it is not valid.
		if _, err := Read(bufio.NewReader(strings.NewReader(text)), "GET"); !errors.As(err, &problem) {
			t.Errorf("%q: error %v, want an invalid answer", text, err)
		}
	}
	const whole = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: b\r\n\r\n"
	for n := range whole {
		a, err := Read(bufio.NewReader(strings.NewReader(whole[:n])), "GET")
		if err == nil {
			_, err = io.ReadAll(a.Body)
			_ = a.Body.Close()
		}
		if !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("cut after %q: error %v, want an unexpected end", whole[:n], err)
		}
	}
}

// Guards against a panic or an answer that Check refuses after any bytes.
func FuzzRead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nA: b\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 103 X\r\n\r\nHTTP/1.0 200 OK\r\n A: b\r\n\r\nrest"))
	f.Fuzz(func(t *testing.T, text []byte) {
		a, err := Read(bufio.NewReader(strings.NewReader(string(text))), "GET")
		if err != nil {
			return
		}
		if err := Check(a.StatusCode, a.Header); err != nil {
			t.Error(err)
		}
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
	})
}
