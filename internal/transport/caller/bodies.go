package caller

import (
	"net/http"
	"sync/atomic"
)

// byteBudget bounds the total size of the request bodies that are held.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// take reserves bytes. It reports whether as many were available.
func (b *byteBudget) take(bytes int64) bool {
	if b.used.Add(bytes) > b.limit {
		b.used.Add(-bytes)
		return false
	}
	return true
}

func (b *byteBudget) release(bytes int64) { b.used.Add(-bytes) }

// reservedSize returns the number of bytes to reserve for a body: its Content-Length,
// or the largest allowed size if there is none. A body above that size is refused
// before more than that size is read.
func reservedSize(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > MaxBody {
		return MaxBody
	}
	return r.ContentLength
}
