// Package slot limits the requests that run on one backend server at a time
// and queues the others.
package slot

import (
	"context"
	"sync"
	"time"

	"tamarackrun"
)

// maxQueue bounds the requests that wait for one server, as a multiple of its
// slots.
const maxQueue = 8

// Gate admits requests to one backend server. It is safe for concurrent use.
type Gate struct {
	Clock tamarackrun.Clock

	mu       sync.Mutex
	slots    int
	inFlight int
	waiting  []*waiter
}

type waiter struct {
	ready    chan struct{}
	admitted bool
}

// New returns a gate with a number of slots.
func New(slots int, clock tamarackrun.Clock) *Gate { return &Gate{Clock: clock, slots: slots} }

// Load returns the requests that run and wait.
func (g *Gate) Load() (inFlight, queued, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight, len(g.waiting), g.slots
}

// SetSlots changes the number of slots; running requests go on.
func (g *Gate) SetSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = slots
	g.admitWaiting()
}

// Enter waits for a slot until the deadline. The release function must be
// called once if the outcome is Done.
func (g *Gate) Enter(ctx context.Context, request tamarackrun.Request) (release func(), outcome tamarackrun.Outcome) {
	g.mu.Lock()
	if g.inFlight < g.slots && len(g.waiting) == 0 {
		g.inFlight++
		g.mu.Unlock()
		return g.leave, tamarackrun.Done
	}
	if len(g.waiting) >= maxQueue*g.slots {
		g.mu.Unlock()
		return nil, tamarackrun.Refused(tamarackrun.QueueFull)
	}
	w := &waiter{ready: make(chan struct{})}
	g.waiting = append(g.waiting, w)
	g.mu.Unlock()
	return g.wait(ctx, w, request.Deadline)
}

func (g *Gate) wait(ctx context.Context, w *waiter, deadline time.Duration) (func(), tamarackrun.Outcome) {
	timer := time.NewTimer(deadline - g.Clock.Now())
	defer timer.Stop()
	reason := tamarackrun.QueueTimeout
	select {
	case <-w.ready:
		return g.leave, tamarackrun.Done
	case <-timer.C:
	case <-ctx.Done():
		reason = tamarackrun.CallerCancelled
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.admitted {
		g.inFlight--
		g.admitWaiting()
		return nil, tamarackrun.Refused(reason)
	}
	for i, other := range g.waiting {
		if other == w {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			break
		}
	}
	return nil, tamarackrun.Refused(reason)
}

func (g *Gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
	g.admitWaiting()
}

// admitWaiting is called with the lock held.
func (g *Gate) admitWaiting() {
	for g.inFlight < g.slots && len(g.waiting) > 0 {
		w := g.waiting[0]
		g.waiting = g.waiting[1:]
		w.admitted = true
		g.inFlight++
		close(w.ready)
	}
}
