package rate

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Pool holds the buckets of all organisations of one instance. Look-ups take no
// lock.
type Pool struct {
	mu      sync.Mutex
	buckets atomic.Pointer[map[string]*Bucket]
}

// NewPool returns a pool without buckets.
func NewPool() *Pool {
	p := &Pool{}
	p.buckets.Store(&map[string]*Bucket{})
	return p
}

// Bucket returns the bucket of an organisation, or nil.
func (p *Pool) Bucket(organisation string) *Bucket { return (*p.buckets.Load())[organisation] }

// Buckets returns all buckets. The map must not be changed.
func (p *Pool) Buckets() map[string]*Bucket { return *p.buckets.Load() }

// SetLimits puts the limits of a configuration in force. The bucket of an
// organisation that it no longer names stays: if it were created anew when the
// organisation returns, its loans would be forgotten before they end.
func (p *Pool) SetLimits(now time.Duration, limits map[string]Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, fresh := *p.buckets.Load(), make(map[string]*Bucket, len(limits))
	maps.Copy(fresh, old)
	for name, limit := range limits {
		b := old[name]
		if b == nil {
			b = New(limit, now)
		} else {
			b.SetLimit(now, limit)
		}
		fresh[name] = b
	}
	p.buckets.Store(&fresh)
}
