// Package coldstart limits the requests that cold servers get from all
// instances together, without any message between them.
package coldstart

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"tamarackrun/internal/coordination/rendezvous"
)

const (
	// usedPart is the part of the limit that is used. The rest is for instances
	// that have not learnt that a server is cold, as they are cut off from the
	// store.
	usedPart = 0.6
	// span is the time over which requests count. It is a little more than the
	// second of the limit, as requests take unequal time to arrive.
	span = 1100 * time.Millisecond
)

// Limiter counts the requests to cold servers. It is safe for concurrent use.
type Limiter struct {
	// Name is the instance's own name; set before the first Admit.
	Name string

	mu sync.Mutex
	// sent has the times of the requests of the latest span, by server.
	sent map[string][]time.Time
}

// Admit says whether a request may be sent to a cold server now. Limit is the
// number of requests that it may get in a second from all instances. It is
// divided over the instances that rank highest for the server, so that all
// instances agree on the division.
func (g *Limiter) Admit(now time.Time, server string, limit float64, instances []string) bool {
	allowed := g.allowed(server, int(limit*usedPart), instances)
	if allowed == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.sent == nil {
		g.sent = map[string][]time.Time{}
	}
	recent := g.sent[server]
	for len(recent) > 0 && now.Sub(recent[0]) >= span {
		recent = recent[1:]
	}
	if len(recent) >= allowed {
		g.sent[server] = recent
		return false
	}
	g.sent[server] = append(recent, now)
	return true
}

// allowed is the instance's part of whole requests.
func (g *Limiter) allowed(server string, total int, instances []string) int {
	if len(instances) == 0 {
		return 0
	}
	each, rest := total/len(instances), total%len(instances)
	if rest == 0 {
		return each
	}
	ranked := slices.Clone(instances)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(rendezvous.Score(server, a), rendezvous.Score(server, b)) })
	if position := slices.Index(ranked, g.Name); position >= 0 && position < rest {
		each++
	}
	return each
}

// DropIdle drops the counts of servers that have got nothing lately.
func (g *Limiter) DropIdle(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for server, recent := range g.sent {
		if len(recent) == 0 || now.Sub(recent[len(recent)-1]) >= span {
			delete(g.sent, server)
		}
	}
}
