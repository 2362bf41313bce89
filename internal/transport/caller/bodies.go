package caller

import (
	"net/http"
	"sync/atomic"
)

// budget bounds the bytes of all bodies together.
type budget struct {
	limit int64
	used  atomic.Int64
}

// take returns false if the bytes are not left.
func (b *budget) take(bytes int64) bool {
	if b.used.Add(bytes) > b.limit {
		b.used.Add(-bytes)
		return false
	}
	return true
}

func (b *budget) give(bytes int64) { b.used.Add(-bytes) }

// bodySize returns the bytes to set aside for a body: the announced length, or
// the largest allowed one if none is announced. A larger one is refused before
// more than that is read.
func bodySize(r *http.Request) int64 {
	if r.ContentLength < 0 || r.ContentLength > MaxBody {
		return MaxBody
	}
	return r.ContentLength
}
