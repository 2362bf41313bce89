// Package health decides from observed outcomes whether a backend server gets
// work. Reports of health endpoints are not an input.
package health

import "time"

const (
	// consecutiveLimit and the rate over window eject a server.
	consecutiveLimit = 5
	window           = 20
	windowLimit      = window / 2

	firstEjection = 5 * time.Second
	maxEjection   = time.Minute
	// calm is how long a reinstated server must stay before its next ejection
	// is short again.
	calm = time.Minute
	// capPart bounds the ejected servers of a service to 1/3, because taking
	// out more overloads the others.
	capPart = 3
)

// MaxEjected returns the most servers of a service with n servers that may be
// ejected at a time.
func MaxEjected(n int) int { return n / capPart }

// Result is what a request showed about its server.
type Result uint8

// Results of requests.
const (
	// Inconclusive says that the request showed nothing, for instance because the
	// caller cancelled it.
	Inconclusive Result = iota
	Success
	Failure
)

// Tracker follows one server. It is pure and not safe for concurrent use.
type Tracker struct {
	// consecutive counts the failures since the last success.
	consecutive int
	// recent holds the latest results, true for a failure.
	recent []bool

	ejected bool
	// until is when an ejected server may be probed.
	until time.Duration
	// length is the length of the latest ejection.
	length     time.Duration
	reinstated time.Duration
	// probing says that a probe request runs; there is at most one.
	probing bool
}

// Ejected says that the server gets no work but probes.
func (t *Tracker) Ejected() bool { return t.ejected }

// ProbeDue says that the next request may be a probe.
func (t *Tracker) ProbeDue(now time.Duration) bool { return t.ejected && !t.probing && now >= t.until }

// Admit says whether a request may be sent, and whether it is a probe.
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

// Observe takes the result of a request that was not a probe. It returns true
// if the server is ejected by it, which needs mayEject. Results of requests
// that were sent before an ejection change nothing.
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
	if !mayEject || r == Success || t.consecutive < consecutiveLimit && !t.failsOften() {
		return false
	}
	if t.length == 0 || now-t.reinstated >= calm {
		t.length = firstEjection / 2
	}
	t.eject(now)
	return true
}

func (t *Tracker) failsOften() bool {
	failures := 0
	for _, failed := range t.recent {
		if failed {
			failures++
		}
	}
	return len(t.recent) == window && failures > windowLimit
}

func (t *Tracker) eject(now time.Duration) {
	t.length = min(2*t.length, maxEjection)
	t.ejected, t.until = true, now+t.length
}

// ObserveProbe takes the result of the probe. It returns true if the server is
// reinstated.
func (t *Tracker) ObserveProbe(now time.Duration, r Result) bool {
	t.probing = false
	switch r {
	case Failure:
		t.eject(now)
	case Success:
		t.ejected, t.reinstated = false, now
		t.consecutive, t.recent = 0, nil
		return true
	}
	return false
}
