// Package slot limits the number of requests that run on one backend server at a time
// and queues the others. The queue is weighted fair over organisations, and interactive
// requests go before batch requests.
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

// New returns a gate that lets the given number of requests run at a time.
func New(slots int, clock tamarackrun.Clock) *Gate {
	return &Gate{Clock: clock, queue: newQueue(slots)}
}

// Load returns the numbers of running requests, of waiting requests and of slots.
func (g *Gate) Load() (inFlight, queued, slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.queue.running), g.queue.waiting(), g.queue.slots
}

// ShiftedRunning returns the number of running requests of other regions.
func (g *Gate) ShiftedRunning() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.queue.shifted
}

// SetSlots changes the number of slots. Running requests continue.
func (g *Gate) SetSlots(slots int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.queue.slots == slots {
		return
	}
	g.queue.slots = slots
	g.queue.startWaiting(g.Clock.Now())
}

// Close refuses all waiting and later requests. Running requests continue.
func (g *Gate) Close(reason tamarackrun.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.close(reason)
}

// Acquire waits for a slot until the request's deadline or the end of ctx. If the
// outcome is Done, the caller must call release exactly once.
func (g *Gate) Acquire(ctx context.Context, r Request) (release func(), outcome tamarackrun.Outcome) {
	g.mu.Lock()
	w := g.queue.submit(g.Clock.Now(), r)
	g.mu.Unlock()
	select {
	case outcome = <-w.outcomes:
	default:
		outcome = g.wait(ctx, w)
	}
	if outcome != tamarackrun.Done {
		return nil, outcome
	}
	return func() { g.release(w) }, outcome
}

// wait waits for the outcome of a queued request.
func (g *Gate) wait(ctx context.Context, w *waiter) tamarackrun.Outcome {
	timer := time.NewTimer(w.Deadline - g.Clock.Now())
	defer timer.Stop()
	reason := tamarackrun.QueueTimeout
	select {
	case outcome := <-w.outcomes:
		return outcome
	case <-timer.C:
	case <-ctx.Done():
		reason = tamarackrun.CallerCancelled
	}
	g.mu.Lock()
	g.queue.cancel(w, reason)
	g.mu.Unlock()
	outcome := <-w.outcomes
	if outcome != tamarackrun.Done {
		return outcome
	}
	// The request got its slot before it could be cancelled.
	g.release(w)
	return tamarackrun.Refused(reason)
}

// release frees the slot of a running request.
func (g *Gate) release(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue.release(g.Clock.Now(), w)
}
