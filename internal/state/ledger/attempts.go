package ledger

import (
	"sync"
	"time"

	"tamarackrun"
)

// Limits of the attempts that a home instance remembers.
const (
	// AttemptRetention is how long a home remembers an attempt that ended. It is
	// longer than ResolveLimit, so that a home never says NotRun for an attempt
	// that it ran and forgot.
	AttemptRetention = 10 * time.Minute
	// ResolveLimit is the time after the dispatch in which an issuer believes
	// that an attempt did not run.
	ResolveLimit = 5 * time.Minute
	// maxAttempts takes about 17 MiB; it allows 109 orders/s at one home.
	maxAttempts = 1 << 16
	// maxBarred bounds the marks, which are kept as long as the process runs: a
	// lost connection may deliver its last message after many minutes. They take
	// about 4 MiB.
	maxBarred = 1 << 15
)

// Attempts is what a home knows of the attempts that it was sent. It is safe
// for concurrent use.
type Attempts struct {
	mu sync.Mutex
	// barred are attempts that must never be dispatched.
	barred map[string]struct{}
	// begun are attempts whose dispatch began.
	begun map[string]*attempt
	swept time.Duration
}

type attempt struct {
	done    chan struct{}
	ended   time.Duration
	outcome tamarackrun.Outcome
	status  int
}

// NewAttempts returns an empty value.
func NewAttempts() *Attempts {
	return &Attempts{barred: map[string]struct{}{}, begun: map[string]*attempt{}}
}

// Begin starts the dispatch of an attempt, unless it was barred. The check and
// the start are one atomic step. The dispatch may begin only after Done.
func (a *Attempts) Begin(id string, now time.Duration) tamarackrun.Outcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sweep(now)
	if _, ok := a.barred[id]; ok {
		return tamarackrun.Refused(tamarackrun.AttemptCancelled)
	}
	if a.begun[id] != nil {
		return tamarackrun.Uncertain(tamarackrun.StillRunning)
	}
	if len(a.begun) >= maxAttempts {
		return tamarackrun.Refused(tamarackrun.LedgerFull)
	}
	a.begun[id] = &attempt{done: make(chan struct{})}
	return tamarackrun.Done
}

// End records the outcome of an attempt that Begin started. The status is that
// of the answer if the outcome is Ran.
func (a *Attempts) End(id string, now time.Duration, outcome tamarackrun.Outcome, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.begun[id]
	t.ended, t.outcome, t.status = now, outcome, status
	close(t.done)
}

// Resolve settles an attempt. An attempt that did not begin is barred. One that
// runs is Unknown with a channel that is closed at its end.
func (a *Attempts) Resolve(id string) (outcome tamarackrun.Outcome, status int, running <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if t := a.begun[id]; t != nil {
		select {
		case <-t.done:
			return t.outcome, t.status, nil
		default:
			return tamarackrun.Uncertain(tamarackrun.StillRunning), 0, t.done
		}
	}
	if _, ok := a.barred[id]; !ok && len(a.barred) >= maxBarred {
		return tamarackrun.Uncertain(tamarackrun.HomeLost), 0, nil
	}
	a.barred[id] = struct{}{}
	return tamarackrun.Refused(tamarackrun.AttemptCancelled), 0, nil
}

func (a *Attempts) sweep(now time.Duration) {
	if now-a.swept < sweepInterval {
		return
	}
	a.swept = now
	for id, t := range a.begun {
		select {
		case <-t.done:
			if now-t.ended >= AttemptRetention {
				delete(a.begun, id)
			}
		default:
		}
	}
}
