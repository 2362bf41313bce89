// Package coldstart limits the requests that all instances together send to a cold
// server, for example one that has just started. Each instance computes its own
// share of the limit, so that no messages between instances are needed.
package coldstart

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"tamarackrun/internal/coordination/rendezvous"
)

const (
	// usedFraction is the fraction of the limit that is divided between the
	// instances. The rest is for instances that do not know that the server is
	// cold, because they are cut off from the store.
	usedFraction = 0.6
	// window is the time over which requests are counted. It is a little longer
	// than the one second of the limit, because requests take different times to
	// arrive.
	window = 1100 * time.Millisecond
)

// Limiter limits the requests that one instance sends to cold servers. It is safe
// for concurrent use.
type Limiter struct {
	// Name is the instance's own name. It is set before the first Admit.
	Name string

	mu sync.Mutex
	// sent holds, by server, the times of the requests sent in the latest window.
	sent map[string][]time.Time
}

// Count counts a request to a server that is not known to be cold. An instance learns some
// time after a server has turned cold that it has, and the requests of that time are part of
// the limit.
func (l *Limiter) Count(now time.Time, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[server] = append(l.recent(now, server), now)
}

// SentSince returns the number of requests that this instance sent to a server after the given
// time, and in the window before now.
func (l *Limiter) SentSince(now time.Time, server string, since time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, at := range l.sent[server] {
		if at.After(since) && now.Sub(at) < window {
			count++
		}
	}
	return count
}

// recent returns the times of the requests sent in the window before now. The caller holds
// l.mu.
func (l *Limiter) recent(now time.Time, server string) []time.Time {
	if l.sent == nil {
		l.sent = map[string][]time.Time{}
	}
	recent := l.sent[server]
	expired := 0
	for expired < len(recent) && now.Sub(recent[expired]) >= window {
		expired++
	}
	// Moving the others to the front keeps the memory of the slice.
	return recent[:copy(recent, recent[expired:])]
}

// Admit reports whether a request may be sent to a cold server now, and counts it
// if so. limit is the number of requests that the server may get in a second from
// all instances, and instances holds the names of all of them.
func (l *Limiter) Admit(now time.Time, server string, limit float64, instances []string) bool {
	share := l.share(server, int(limit*usedFraction), instances)
	if share == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	recent := l.recent(now, server)
	if len(recent) >= share {
		l.sent[server] = recent
		return false
	}
	l.sent[server] = append(recent, now)
	return true
}

// Return takes back a request that Admit has counted at the given time, because it is not sent.
func (l *Limiter) Return(admitted time.Time, server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sent := l.sent[server]
	if i := slices.IndexFunc(sent, admitted.Equal); i >= 0 {
		l.sent[server] = slices.Delete(sent, i, i+1)
	}
}

// share returns how many of total requests in a window this instance may send. The
// remainder of the division goes to the first instances in an order by rendezvous
// score, on which all instances agree.
func (l *Limiter) share(server string, total int, instances []string) int {
	if len(instances) == 0 {
		return 0
	}
	share, rest := total/len(instances), total%len(instances)
	if rest == 0 {
		return share
	}
	ranked := slices.Clone(instances)
	slices.SortFunc(ranked, func(a, b string) int { return cmp.Compare(rendezvous.Score(server, a), rendezvous.Score(server, b)) })
	if position := slices.Index(ranked, l.Name); position >= 0 && position < rest {
		share++
	}
	return share
}

// DropIdle drops the counts of servers to which no request was sent in the latest
// window.
func (l *Limiter) DropIdle(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for server, recent := range l.sent {
		if len(recent) == 0 || now.Sub(recent[len(recent)-1]) >= window {
			delete(l.sent, server)
		}
	}
}
