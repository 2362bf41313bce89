// Package lateness estimates which requests have waited too long to be answered within their route's target
// latency. Callers that were refused come back, so that in an overload most requests are repeats, and each
// one that gets the last token of a limit takes it from a request that could still be answered in time.
package lateness

import (
	"math"
	"sync"
	"time"
)

const (
	// patienceSpread is the part of the longest time that callers of an organisation and route have left by
	// which the times of others may be shorter. Some callers are less patient from the start.
	patienceSpread = 0.2
	// halfLife is the time in which the longest time falls by half unless a caller has as much left.
	halfLife = 30 * time.Second
	// forgetAfter is how long after its latest renewal a longest time is dropped.
	forgetAfter = 5 * time.Minute
)

// source is where requests come from whose callers are about as patient. Organisations are kept apart, so that
// none changes what counts as late for another one.
type source struct{ organisation, route string }

// patience is the longest time that a caller had left, and when that was.
type patience struct {
	longest time.Duration
	at      time.Time
}

// Estimator estimates the lateness of requests. Its zero value is ready for use. It is safe for concurrent use.
type Estimator struct {
	mu      sync.Mutex
	sources map[source]patience
}

// Late reports whether the caller of a request has probably waited for the target latency already. left is how
// long the caller still waits, and target the target latency of the route; without either, the request is not late.
func (e *Estimator) Late(now time.Time, organisation, route string, left, target time.Duration) bool {
	if left <= 0 || target <= 0 {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	s := source{organisation, route}
	p := e.sources[s]
	longest := time.Duration(float64(p.longest) * math.Exp2(-float64(now.Sub(p.at))/float64(halfLife)))
	if left >= longest {
		if e.sources == nil {
			e.sources = map[source]patience{}
		}
		e.sources[s] = patience{left, now}
		return false
	}
	return longest-left >= max(target, time.Duration(patienceSpread*float64(longest)))
}

// Forget drops what is known of organisations and routes without requests for a while.
func (e *Estimator) Forget(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for s, p := range e.sources {
		if now.Sub(p.at) > forgetAfter {
			delete(e.sources, s)
		}
	}
}
