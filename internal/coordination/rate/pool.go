package rate

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// Pool holds the buckets of all organisations of one instance. Look-ups take no lock. It
// is safe for concurrent use.
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

// Bucket returns the bucket of an organisation, or nil if there is none.
func (p *Pool) Bucket(organisation string) *Bucket { return (*p.buckets.Load())[organisation] }

// Buckets returns all buckets by organisation. The map must not be changed.
func (p *Pool) Buckets() map[string]*Bucket { return *p.buckets.Load() }

// SetLimits applies the limits of a configuration. The bucket of an organisation that is
// no longer configured stays: a new bucket, if the organisation is added again later,
// would not know the loans that have not ended.
func (p *Pool) SetLimits(now time.Duration, limits map[string]Limit) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old, buckets := *p.buckets.Load(), make(map[string]*Bucket, len(limits))
	maps.Copy(buckets, old)
	for name, limit := range limits {
		b := old[name]
		if b == nil {
			b = New(limit, now)
		} else {
			b.SetLimit(now, limit)
		}
		buckets[name] = b
	}
	p.buckets.Store(&buckets)
}
