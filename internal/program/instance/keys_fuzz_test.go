package instance

import (
	"bufio"
	"encoding/base64"
	"net/http"
	"net/url"
	"regexp"
	"strings"
	"testing"

	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/state/configuration"
)

const fuzzKey = "QWERTYUIOPASDFGHJKLZXCVBNM234567QWERTYUIOPASDFGHJKLZ"

// spellings encode the key in the ways that a server may decode.
var spellings = []func(string) string{
	func(k string) string { return k },
	url.QueryEscape,
	func(k string) string { return strings.ReplaceAll(k, "E", "%45") },
	func(k string) string { return strings.ReplaceAll(k, "E", "%2545") },
	func(k string) string { return base64.StdEncoding.EncodeToString([]byte("user:" + k)) },
	func(k string) string { return base64.RawURLEncoding.EncodeToString([]byte("a?:" + k)) },
	func(k string) string { return url.QueryEscape(base64.StdEncoding.EncodeToString([]byte(k + ":"))) },
}

var base64Runs = regexp.MustCompile(`[A-Za-z0-9+/_-]{16,}`)

// readsKey reports whether a server may decode the key from a text. It decodes
// by other means than the code under test.
func readsKey(text string) bool {
	for range 3 {
		if strings.Contains(text, fuzzKey) {
			return true
		}
		for _, run := range base64Runs.FindAllString(text, -1) {
			for _, e := range []*base64.Encoding{base64.RawStdEncoding, base64.RawURLEncoding} {
				if decoded, err := e.DecodeString(run); err == nil && strings.Contains(string(decoded), fuzzKey) {
					return true
				}
			}
		}
		decoded, err := url.QueryUnescape(text)
		if err != nil {
			return false
		}
		text = decoded
	}
	return false
}

// No spelling of the presented key that a backend server may decode may pass
// the checks. KEY in the target, a header and a cookie stands for the key in
// the spelling.
func FuzzForwardedRequestHoldsNoKey(f *testing.F) {
	for n := range spellings {
		f.Add("/a/KEY?b=c", "x", "y", uint8(n))
		f.Add("/a?b=KEY&c", "Basic KEY", "k=KEY; l=m", uint8(n))
		f.Add("/a", "Basic KEY", "y", uint8(n))
		f.Add("/a%2FKEY", "x", "k=KEY", uint8(n))
	}
	route := configuration.Route{Name: "browse", Headers: []string{"X-Note", "Cookie", "Authorization", "Tamarackrun-Key"}}
	c := &configuration.Snapshot{Keys: map[[32]byte]configuration.Key{document.HashKey(fuzzKey): {Organisation: "tea"}}}
	f.Fuzz(func(t *testing.T, target, note, cookie string, spelling uint8) {
		key := spellings[int(spelling)%len(spellings)](fuzzKey)
		text := "GET " + target + " HTTP/1.1\r\nHost: a\r\nTamarackrun-Key: PRESENTED\r\nX-Note: " + note + "\r\nCookie: " + cookie + "\r\n\r\n"
		text = strings.ReplaceAll(strings.ReplaceAll(text, "KEY", key), "PRESENTED", fuzzKey)
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil || presentedKey(r.Header) != fuzzKey || misplacedKey(c, route, r, fuzzKey) != "" {
			return
		}
		forwarded := []string{r.URL.RequestURI()}
		for name, values := range forwardedHeader(r.Header, route) {
			forwarded = append(append(forwarded, name), values...)
		}
		for _, part := range forwarded {
			if readsKey(part) {
				t.Fatalf("%q is forwarded, from which a server may decode the key", part)
			}
		}
	})
}
