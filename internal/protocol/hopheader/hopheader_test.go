package hopheader

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against hop-by-hop headers that are passed on to the next connection.
func TestRemove(t *testing.T) {
	header := http.Header{"Connection": {"close, x-one", "X-Two"}, "X-One": {"1"}, "X-Two": {"2"}, "Keep-Alive": {"timeout=1"},
		"Transfer-Encoding": {"chunked"}, "X-Three": {"3"}, "Content-Length": {"4"}}
	Remove(header)
	if diff := cmp.Diff(http.Header{"X-Three": {"3"}, "Content-Length": {"4"}}, header); diff != "" {
		t.Errorf("header (-want +got):\n%s", diff)
	}
}
