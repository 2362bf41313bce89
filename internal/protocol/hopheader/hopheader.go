// Package hopheader removes the headers that concern one connection.
package hopheader

import (
	"net/http"
	"strings"
)

// names are those of RFC 9110, section 7.6.1.
var names = []string{"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade"}

// Remove removes the headers that are not passed on, also those that the header
// Connection names.
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
