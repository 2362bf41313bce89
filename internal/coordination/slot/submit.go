package slot

import "tamarackrun"

// Pending is a submitted request. Its answer is polled, so that measurements in
// virtual time need no goroutine per request.
type Pending struct {
	gate *Gate
	w    *waiter
}

// Submit asks for a slot without waiting for the answer.
func (g *Gate) Submit(e Request) *Pending {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &Pending{g, g.queue.enter(g.Clock.Now(), e)}
}

// Poll returns the outcome once; ok is false while the request waits.
func (p *Pending) Poll() (outcome tamarackrun.Outcome, ok bool) {
	select {
	case outcome = <-p.w.ready:
		return outcome, true
	default:
		return outcome, false
	}
}

// Release ends a request whose outcome was Done. It must be called once.
func (p *Pending) Release() { p.gate.leave(p.w) }
