// Package quota limits the requests of organisations over the whole fleet.
// Each instance has an equal part of half of each limit, and a part by its
// reported demand of the other half. The equal part keeps an instance serving
// that is cut off from the others.
package quota

import (
	"sync"
	"time"

	"tamarackrun/internal/state/configuration"
)

const (
	// equalPart is the part of a limit that is divided equally. With a limit of
	// 1.6 times the demand, 0.5 serves 80% of an even demand at an instance
	// that is cut off, and an instance with up to 57% of all demand in full.
	equalPart = 0.5
	// demandTime is the time constant of the measured demand.
	demandTime = 2 * time.Second
	// minCapacity is the least burst of an instance's part in requests, as
	// less than one request could never be admitted.
	minCapacity = 1
	// forgetDemand is the rate below which an organisation is not reported, in
	// requests per second.
	forgetDemand = 0.05
)

// bucket is the instance's part of one organisation's token bucket.
type bucket struct {
	limit configuration.Organisation
	// part is the instance's part of the limit, from 0 to 1.
	part   float64
	tokens float64
	// demand is in requests per second, averaged at last.
	demand float64
	last   time.Time
}

// Limiter holds the parts of all organisations. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	started time.Time
	buckets map[string]*bucket
	members int
	divided bool
	totals  map[string]float64
}

// New returns a limiter of an instance that is the only one it knows of.
func New(now time.Time) *Limiter {
	return &Limiter{started: now, buckets: map[string]*bucket{}, members: 1}
}

// Admit counts a request and takes a token for it. If there is none, after is
// when there will be one.
func (l *Limiter) Admit(now time.Time, organisation configuration.Organisation) (admitted bool, after time.Duration) {
	if organisation.Rate <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[organisation.Name]
	if b == nil {
		// A restarted process must not have the burst of the one before it, so
		// that the bucket fills from the start of the process.
		b = &bucket{limit: organisation, last: l.started}
		b.part = l.part(organisation.Name, b)
		l.buckets[organisation.Name] = b
	}
	b.advance(now)
	b.limit = organisation
	b.demand += 1 / demandTime.Seconds()
	b.tokens = min(b.tokens, b.capacity())
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	return false, time.Duration((1 - b.tokens) / max(b.part*b.limit.Rate, 0.1) * float64(time.Second))
}

func (b *bucket) capacity() float64 { return max(minCapacity, b.part*b.limit.Burst) }

func (b *bucket) advance(now time.Time) {
	passed := now.Sub(b.last)
	if passed <= 0 {
		return
	}
	b.last = now
	b.tokens = min(b.capacity(), b.tokens+b.part*b.limit.Rate*passed.Seconds())
	b.demand -= b.demand * min(1, passed.Seconds()/demandTime.Seconds())
}

// Demands returns the demand of each organisation in requests per second.
func (l *Limiter) Demands(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	demands := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		b.advance(now)
		if b.demand >= forgetDemand {
			demands[name] = b.demand
		}
	}
	return demands
}

// Divide takes the number of instances and the reported demand of all of them.
// Without divided, the instance has its equal part only.
func (l *Limiter) Divide(now time.Time, members int, divided bool, totals map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.members, l.divided, l.totals = members, divided, totals
	for name, b := range l.buckets {
		b.advance(now)
		b.part = l.part(name, b)
		b.tokens = min(b.tokens, b.capacity())
	}
}

func (l *Limiter) part(organisation string, b *bucket) float64 {
	equal := equalPart / float64(l.members)
	total := l.totals[organisation]
	if !l.divided {
		return equal
	}
	if total <= 0 {
		return 1 / float64(l.members)
	}
	return equal + (1-equalPart)*min(1, b.demand/total)
}
