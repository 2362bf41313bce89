package ledger

import (
	"sync"
	"time"

	"tamarackrun"
)

// Limits of the attempts that a home instance keeps.
const (
	// AttemptRetention is how long a home keeps an attempt after its end. It is
	// longer than ResolveLimit: a home that has dropped an attempt answers NotRun
	// for it, although it ran, and issuers must no longer accept that answer.
	AttemptRetention = 10 * time.Minute
	// ResolveLimit is the time after the dispatch within which an issuer accepts
	// a home's answer that the attempt did not run.
	ResolveLimit = 5 * time.Minute
	// maxAttempts bounds the started attempts. They take about 17 MiB, which
	// allows 109 orders/s at one home.
	maxAttempts = 1 << 16
	// maxCancelled bounds the cancelled attempts. They take about 4 MiB and are
	// kept as long as the process runs, since a broken connection may deliver its
	// last message after many minutes.
	maxCancelled = 1 << 15
)

// Attempts holds the state of the attempts that were sent to a home instance.
// It is safe for concurrent use.
type Attempts struct {
	mu sync.Mutex
	// cancelled holds the attempts that must never be dispatched.
	cancelled map[string]struct{}
	// started holds the attempts that Begin allowed.
	started   map[string]*attempt
	lastSweep time.Duration
}

// attempt is one attempt that Begin allowed.
type attempt struct {
	// done is closed when the attempt ends; the other fields are set before.
	done    chan struct{}
	endedAt time.Duration
	outcome tamarackrun.Outcome
	status  int
}

// NewAttempts returns an Attempts without entries.
func NewAttempts() *Attempts {
	return &Attempts{cancelled: map[string]struct{}{}, started: map[string]*attempt{}}
}

// Begin marks an attempt as started, unless it was cancelled. The check and the
// mark are one atomic step. The caller may dispatch the attempt only if the
// result is Done.
func (a *Attempts) Begin(id string, now time.Duration) tamarackrun.Outcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	if _, ok := a.cancelled[id]; ok {
		return tamarackrun.Refused(tamarackrun.AttemptCancelled)
	}
	if a.started[id] != nil {
		return tamarackrun.Uncertain(tamarackrun.StillRunning)
	}
	if len(a.started) >= maxAttempts {
		return tamarackrun.Refused(tamarackrun.LedgerFull)
	}
	a.started[id] = &attempt{done: make(chan struct{})}
	return tamarackrun.Done
}

// End records the outcome of an attempt that Begin allowed. status is the HTTP
// status of the answer if the outcome is Ran.
func (a *Attempts) End(id string, now time.Duration, outcome tamarackrun.Outcome, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.started[id]
	t.endedAt, t.outcome, t.status = now, outcome, status
	close(t.done)
}

// Resolve returns what became of an attempt. An attempt that was not started is
// cancelled. For an attempt that still runs the outcome is Unknown, and running
// is closed at its end.
func (a *Attempts) Resolve(id string) (outcome tamarackrun.Outcome, status int, running <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.started[id]; t != nil {
		select {
		case <-t.done:
			return t.outcome, t.status, nil
		default:
			return tamarackrun.Uncertain(tamarackrun.StillRunning), 0, t.done
		}
	}
	if _, ok := a.cancelled[id]; !ok && len(a.cancelled) >= maxCancelled {
		return tamarackrun.Uncertain(tamarackrun.HomeLost), 0, nil
	}
	a.cancelled[id] = struct{}{}
	return tamarackrun.Refused(tamarackrun.AttemptCancelled), 0, nil
}

// sweep drops attempts that ended more than AttemptRetention ago.
func (a *Attempts) sweep(now time.Duration) {
	if now-a.lastSweep < sweepInterval {
		return
	}
	a.lastSweep = now
	for id, t := range a.started {
		select {
		case <-t.done:
			if now-t.endedAt >= AttemptRetention {
				delete(a.started, id)
			}
		default:
		}
	}
}
