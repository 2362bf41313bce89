package slot

import "tamarackrun"

// Pending is a submitted request. Its outcome is polled, so that simulations in virtual
// time need no goroutine per request.
type Pending struct {
	gate   *Gate
	waiter *waiter
}

// Submit asks for a slot without waiting for the outcome.
func (g *Gate) Submit(r Request) *Pending {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &Pending{g, g.queue.submit(g.Clock.Now(), r)}
}

// Poll returns the outcome if there is one. ok is false while the request waits and
// after the outcome was returned.
func (p *Pending) Poll() (outcome tamarackrun.Outcome, ok bool) {
	select {
	case outcome = <-p.waiter.outcomes:
		return outcome, true
	default:
		return outcome, false
	}
}

// Release frees the slot of a request whose outcome was Done. It must be called exactly
// once.
func (p *Pending) Release() { p.gate.release(p.waiter) }
