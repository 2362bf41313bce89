// Package memory bounds the bytes that a process holds in buffers whose size its
// peers decide.
package memory

import "sync/atomic"

// Budget is a number of bytes that several buffers share. The zero value allows
// nothing. It is safe for concurrent use.
type Budget struct {
	// Limit is the largest number of bytes that may be reserved at a time. It is set
	// before the first call.
	Limit int64

	// reserved is between 0 and Limit.
	reserved atomic.Int64
}

// Reserve reserves n bytes. It reports whether they fit; if not, nothing is
// reserved.
func (b *Budget) Reserve(n int64) bool {
	for {
		old := b.reserved.Load()
		if old+n > b.Limit {
			return false
		}
		if b.reserved.CompareAndSwap(old, old+n) {
			return true
		}
	}
}

// Release gives back bytes that Reserve reserved.
func (b *Budget) Release(n int64) { b.reserved.Add(-n) }

// Reserved returns the number of bytes that are reserved now.
func (b *Budget) Reserved() int64 { return b.reserved.Load() }
