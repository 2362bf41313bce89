// Package slot limits the requests that run on one backend server at a time
// and queues the others: weighted fair queueing over organisations, interactive
// requests before batch requests.
package slot

import (
	"context"
	"sync"
	"time"

	"tamarackrun"
)

// Gate admits requests to one backend server. It is safe for concurrent use.
type Gate struct {
	Clock tamarackrun.Clock

	mu    sync.Mutex
	queue *queue
}

// New returns a gate with a number of slots.
func New(slots int, clock tamarackrun.Clock) *Gate {
	return &Gate{Clock: clock, queue: newQueue(slots)}
}

// Load returns the requests that run and wait.
func (g *Gate) Load() (inFlight, queued, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.queue.running), g.queue.waiting(), g.queue.slots
}

// ShiftedRunning returns the running requests of other regions.
func (g *Gate) ShiftedRunning() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.shifted
}

// SetSlots changes the number of slots; running requests go on.
func (g *Gate) SetSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.slots == slots {
		return
	}
	g.queue.slots = slots
	g.queue.promote(g.Clock.Now())
}

// Close refuses all waiting and later requests; running requests go on.
func (g *Gate) Close(reason tamarackrun.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.close(reason)
}

// Acquire waits for a slot until the deadline. The release function must be
// called once if the outcome is Done.
func (g *Gate) Acquire(ctx context.Context, e Request) (release func(), outcome tamarackrun.Outcome) {
	g.mu.Lock()
	w := g.queue.enter(g.Clock.Now(), e)
	g.mu.Unlock()
	select {
	case outcome = <-w.ready:
	default:
		outcome = g.wait(ctx, w)
	}
	if outcome != tamarackrun.Done {
		return nil, outcome
	}
	return func() { g.leave(w) }, outcome
}

func (g *Gate) wait(ctx context.Context, w *waiter) tamarackrun.Outcome {
	timer := time.NewTimer(w.Deadline - g.Clock.Now())
	defer timer.Stop()
	reason := tamarackrun.QueueTimeout
	select {
	case outcome := <-w.ready:
		return outcome
	case <-timer.C:
	case <-ctx.Done():
		reason = tamarackrun.CallerCancelled
	}
	g.mu.Lock()
	g.queue.cancel(w, reason)
	g.mu.Unlock()
	outcome := <-w.ready
	if outcome != tamarackrun.Done {
		return outcome
	}
	// The slot was given at the same moment.
	g.leave(w)
	return tamarackrun.Refused(reason)
}

func (g *Gate) leave(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.leave(g.Clock.Now(), w)
}
