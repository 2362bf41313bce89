// Package crash finds the requests under which backend servers end. Such a request comes again, as its
// callers get no answer, and each time it ends one more server with all other requests there.
//
// An instance that loses an answer because the server has ended tells the holder of the request in each
// region, an instance that is chosen by hash. The holder counts the servers and tells the instances of
// its region which requests to refuse.
package crash

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxEnded is the number of servers that may end under a request before it is refused. Other
	// requests that were at a server when it ended count too, and two of their servers may end by
	// chance while servers are ending one after the other.
	maxEnded = 3
	// memoryTime is how long an end counts.
	memoryTime = 2 * time.Minute
	// maxRequests bounds the number of requests that are remembered.
	maxRequests = 4096
)

// RefusalTime is how long a request is refused after its latest server has ended; then it is tried once,
// and refused again if that ends one more.
const RefusalTime = 30 * time.Second

// Request identifies what a caller asks for, whatever the attempt: a hash.
type Request uint64

// String returns the identity as it is logged.
func (r Request) String() string { return strconv.FormatUint(uint64(r), 16) }

// Identify returns the identity of a request.
func Identify(organisation, method, host, target string, body []byte) Request {
	d := xxhash.New()
	for _, part := range []string{organisation, method, host, target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return Request(d.Sum64())
}

// suspect is a request under which servers have ended.
type suspect struct {
	// ended holds the processes of the servers that have ended under the request, as far as this
	// instance has been told.
	ended map[uint64]bool
	// latest is when the latest of them ended, and refusedUntil until when the request is refused.
	latest, refusedUntil time.Time
}

// Register remembers requests under which servers have ended. The zero value is empty. It is safe for
// concurrent use.
type Register struct {
	mu       sync.Mutex
	suspects map[Request]*suspect
}

// Note counts, as a holder, that a process of a server has ended under the request. It returns the
// number of servers that have, and reports whether the request must be refused by all instances from
// now on.
func (g *Register) Note(now time.Time, request Request, process uint64) (ended int, refuse bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.add(now, request)
	if s == nil {
		return 0, false
	}
	if s.ended[process] {
		return len(s.ended), false
	}
	s.ended[process], s.latest = true, now
	return len(s.ended), len(s.ended) >= maxEnded
}

// Remember keeps the request in mind, so that Answered shows if a server answers it later.
func (g *Register) Remember(now time.Time, request Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.add(now, request)
}

// Refuse makes the instance refuse the request for RefusalTime.
func (g *Register) Refuse(now time.Time, request Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.add(now, request); s != nil {
		s.latest, s.refusedUntil = now, now.Add(RefusalTime)
	}
}

// add returns the entry of the request, or nil if there is no room for another one. The caller holds
// g.mu.
func (g *Register) add(now time.Time, request Request) *suspect {
	if s := g.suspects[request]; s != nil {
		return s
	}
	if len(g.suspects) >= maxRequests {
		return nil
	}
	if g.suspects == nil {
		g.suspects = map[Request]*suspect{}
	}
	s := &suspect{ended: map[uint64]bool{}, latest: now}
	g.suspects[request] = s
	return s
}

// Forget removes the requests under which no server has ended for memoryTime.
func (g *Register) Forget(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for request, s := range g.suspects {
		if now.Sub(s.latest) > memoryTime {
			delete(g.suspects, request)
		}
	}
}

// Refused returns for how long the request is still refused, 0 if it is not. Once the time is over, it
// lets one request through at a time, for which try is true.
func (g *Register) Refused(now time.Time, request Request) (left time.Duration, try bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.suspects[request]
	if s == nil || s.refusedUntil.IsZero() {
		return 0, false
	}
	if left := s.refusedUntil.Sub(now); left > 0 {
		return left, false
	}
	s.refusedUntil = now.Add(RefusalTime)
	return 0, true
}

// Answered forgets a request that a server has answered: it did not end that one. It reports whether
// the request was remembered.
func (g *Register) Answered(request Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.suspects[request]
	delete(g.suspects, request)
	return ok
}

// Empty reports whether nothing is remembered, so that requests need not be identified.
func (g *Register) Empty() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.suspects) == 0
}
