// Package hopheader removes hop-by-hop headers, which apply to a single connection.
package hopheader

import (
	"net/http"
	"strings"
)

// names holds the hop-by-hop headers of RFC 9110, section 7.6.1.
var names = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade"}

// Remove removes the hop-by-hop headers, including those that the header Connection names.
func Remove(header http.Header) {
	for _, line := range header["Connection"] {
		for _, name := range strings.Split(line, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range names {
		delete(header, name)
	}
}
