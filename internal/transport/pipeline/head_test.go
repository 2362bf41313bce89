package pipeline

import (
	"io"
	"strings"
	"testing"
)

// Guards against a request within the body of another one that runs as a request of its own (UNASKED): readers that allow invalid lines differ in where a
// body begins and ends.
func TestInvalidHeadsEndConnection(t *testing.T) {
	const inner = "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	for name, lines := range map[string]string{
		"blank behind a name":       "Content-Length : 55\r\n",
		"blank in a name":           "Some Name: 1\r\n",
		"blank before a name":       " Content-Length: 55\r\n",
		"tab before a name":         "A: b\r\n\tContent-Length: 55\r\n",
		"line that goes on":         "Content-Length: 5\r\n 5\r\n",
		"chunks, blank behind":      "Transfer-Encoding : chunked\r\n",
		"chunks, in a further line": "Transfer-Encoding:\r\n chunked\r\n",
		"no name":                   ": 55\r\n",
		"control byte in a name":    "Content-Length\x00: 55\r\n",
		"control byte in a value":   "A: \x01\r\n",
		"carriage return":           "A: b\rContent-Length: 55\r\n",
		"two equal lengths":         "Content-Length: 55\r\nContent-Length: 55\r\n",
		"signed length":             "Content-Length: +55\r\n",
		"chunks that are not last":  "Transfer-Encoding: chunked, identity\r\n",
		"chunks of HTTP/1.0":        "Connection: keep-alive\r\nTransfer-Encoding: chunked\r\n",
		"chunks twice":              "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, g, c := startServer(t)
			for _, path := range []string{"/before", "/outer", "/inner"} {
				g.release(path)
			}
			version := "1.1"
			if strings.HasSuffix(name, "HTTP/1.0") {
				version = "1.0"
			}
			c.send(t, "GET /before HTTP/1.1\r\nHost: h\r\n\r\nPOST /outer HTTP/"+version+"\r\nHost: h\r\n"+lines+"\r\n"+inner)
			answers, err := io.ReadAll(c.reader)
			text := string(answers)
			if err != nil || strings.Contains(text, "/inner") || strings.Contains(text, "/outer") || !strings.Contains(text, "/before") || !strings.Contains(text, "malformed") {
				t.Errorf("answers %q, %v, want one to /before, a refusal as malformed and the end", answers, err)
			}
		})
	}
}
