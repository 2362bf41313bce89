// Package health ejects backend servers whose requests fail, and probes and
// reinstates them (outlier detection). Reports of health endpoints are not an input.
package health

import "time"

const (
	// ejectAfterFailures consecutive failures eject a server, and so do more than
	// maxWindowFailures among the latest window results.
	ejectAfterFailures = 5
	window             = 20
	maxWindowFailures  = window / 2

	// firstEjection is the length of the first ejection. Each further one is twice
	// as long as the one before, up to maxEjection.
	firstEjection = 5 * time.Second
	maxEjection   = time.Minute
	// backoffResetTime is how long a reinstated server must work before its next
	// ejection has the length firstEjection again.
	backoffResetTime = time.Minute
	// maxEjectedDivisor limits the ejected servers of a service to 1/3, because
	// ejecting more would overload the others.
	maxEjectedDivisor = 3
)

// MaxEjected returns how many of a service's n servers may be ejected at the same
// time.
func MaxEjected(n int) int { return n / maxEjectedDivisor }

// Result is what a request showed about the health of its server.
type Result uint8

// Results of requests.
const (
	// Inconclusive means that the request showed nothing about the server, for
	// instance because the caller cancelled it.
	Inconclusive Result = iota
	Success
	Failure
)

// Tracker tracks the health of one server. Callers pass the current time. It is not
// safe for concurrent use.
type Tracker struct {
	// consecutive counts the failures since the last success.
	consecutive int
	// recent holds the latest results, true for a failure.
	recent []bool

	ejected bool
	// ejectedAt is when the server was ejected last.
	ejectedAt time.Duration
	// probeAt is the time from which on an ejected server may be probed.
	probeAt time.Duration
	// ejectionTime is the length of the latest ejection.
	ejectionTime time.Duration
	// reinstatedAt is when the server was last reinstated.
	reinstatedAt time.Duration
	// probing is true while a probe is running; there is at most one.
	probing bool
}

// Ejected reports whether the server is ejected, so that it gets only probes.
func (t *Tracker) Ejected() bool { return t.ejected }

// ProbeDue reports whether the next request may be a probe.
func (t *Tracker) ProbeDue(now time.Duration) bool {
	return t.ejected && !t.probing && now >= t.probeAt
}

// Admit reports whether a request may be sent to the server, and whether it is a
// probe.
func (t *Tracker) Admit(now time.Duration, mayProbe bool) (admitted, probe bool) {
	if !t.ejected {
		return true, false
	}
	if !mayProbe || !t.ProbeDue(now) {
		return false, false
	}
	t.probing = true
	return true, true
}

// Observe records the result of a request that was not a probe, and reports whether
// it ejects the server. It never does if mayEject is false. Results that arrive
// while the server is ejected are ignored.
func (t *Tracker) Observe(now time.Duration, r Result, mayEject bool) bool {
	if r == Inconclusive || t.ejected {
		return false
	}
	t.consecutive++
	if r == Success {
		t.consecutive = 0
	}
	t.recent = append(t.recent, r == Failure)
	if len(t.recent) > window {
		t.recent = t.recent[1:]
	}
	if !mayEject || r == Success || t.consecutive < ejectAfterFailures && !t.failureRateHigh() {
		return false
	}
	if t.ejectionTime == 0 || now-t.reinstatedAt >= backoffResetTime {
		t.ejectionTime = firstEjection / 2
	}
	t.eject(now)
	return true
}

// failureRateHigh reports whether the window is full and has too many failures.
func (t *Tracker) failureRateHigh() bool {
	failures := 0
	for _, failed := range t.recent {
		if failed {
			failures++
		}
	}
	return len(t.recent) == window && failures > maxWindowFailures
}

// eject ejects the server for twice the time of its latest ejection.
func (t *Tracker) eject(now time.Duration) {
	t.ejectionTime = min(2*t.ejectionTime, maxEjection)
	t.ejected, t.ejectedAt, t.probeAt = true, now, now+t.ejectionTime
}

// Forgive takes back what failures since the given time have done, because the server was not their
// cause.
func (t *Tracker) Forgive(since time.Duration) {
	t.consecutive, t.recent = 0, nil
	if t.ejected && t.ejectedAt >= since {
		t.ejected = false
		t.ejectionTime /= 2
	}
}

// ObserveProbe records the result of the probe, and reports whether the server is
// reinstated. After a failure the server stays ejected for longer.
func (t *Tracker) ObserveProbe(now time.Duration, r Result) bool {
	t.probing = false
	switch r {
	case Failure:
		t.eject(now)
	case Success:
		t.ejected, t.reinstatedAt = false, now
		t.consecutive, t.recent = 0, nil
		return true
	}
	return false
}
