package instance

import (
	"sync"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/health"
	"tamarackrun/internal/coordination/home"
	"tamarackrun/internal/coordination/shift"
	"tamarackrun/internal/coordination/slot"
	"tamarackrun/internal/state/configuration"
)

const (
	// serviceTimeSmoothing is the weight of one new service time in the average.
	serviceTimeSmoothing = 0.1
	// minFailureTimeout is the least time without an answer after which a timeout
	// counts against a server. Callers choose their timeouts, and a caller with
	// very short ones must not get a server ejected.
	minFailureTimeout = time.Second
	// failureTimeoutFactor times the smoothed service time is the least such time
	// if that is longer than minFailureTimeout.
	failureTimeoutFactor = 4
	// leavingHeaderHold is how long a server counts as leaving after an answer's
	// header said so, unless the server was seen to restart.
	leavingHeaderHold = 5 * time.Minute
)

// homeServer is the state of one backend server at its home.
type homeServer struct {
	gate *slot.Gate

	mu        sync.Mutex
	server    configuration.Server
	ownership home.Ownership
	tracker   health.Tracker
	slowStart shift.SlowStart
	// reportedElsewhereSince is when another instance began to report to be the
	// home; nil if none does.
	reportedElsewhereSince *time.Duration
	// serviceTimes are the smoothed service times by route.
	serviceTimes map[string]time.Duration
	// leavingByHealth is set if the latest answer of the health endpoint said that
	// the server is leaving.
	leavingByHealth bool
	// leavingByHeaderAt is the time of the latest answer whose header said that
	// the server is leaving; nil if there is none. The health endpoint does not
	// clear it, because it lags and may be wrong.
	leavingByHeaderAt *time.Duration
}

func newHomeServer(v configuration.Server, ownership home.Ownership, clock tamarackrun.Clock) *homeServer {
	return &homeServer{server: v, ownership: ownership, serviceTimes: map[string]time.Duration{},
		gate: slot.New(ownership.Slots(v.Slots, clock.Now()), clock)}
}

// updateSlots limits the slots while an earlier home may still send requests to
// the server.
func (s *homeServer) updateSlots(now time.Duration) {
	s.mu.Lock()
	slots := s.ownership.Slots(s.server.Slots, now)
	s.mu.Unlock()
	s.gate.SetSlots(slots)
}

func (s *homeServer) setOwnership(firstHome, handedOver bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownership.FirstHome, s.ownership.HandedOver = firstHome, handedOver
}

// releaseDue records whether another instance reports to be the home, and
// reports whether it has done so for releaseDelay.
func (s *homeServer) releaseDue(now time.Duration, reportedElsewhere bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !reportedElsewhere:
		s.reportedElsewhereSince = nil
	case s.reportedElsewhereSince == nil:
		s.reportedElsewhereSince = &now
	}
	return s.reportedElsewhereSince != nil && now-*s.reportedElsewhereSince >= releaseDelay
}

// isLeaving reports whether the server itself said that it is leaving.
func (s *homeServer) isLeaving(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leavingByHealth || s.leavingByHeaderAt != nil && now-*s.leavingByHeaderAt < leavingHeaderHold
}

// setLeavingByHealth stores what the health endpoint answered and reports
// whether the server has begun to leave.
func (s *homeServer) setLeavingByHealth(leaving bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	began := leaving && !s.leavingByHealth
	s.leavingByHealth = leaving
	return began
}

// setLeavingByHeader stores the time of an answer whose header said that the
// server is leaving, and reports whether it is the first one since a connection
// to the server last failed.
func (s *homeServer) setLeavingByHeader(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	began := s.leavingByHeaderAt == nil
	s.leavingByHeaderAt = &now
	return began
}

// resetLeavingHeader forgets the header of earlier answers, because the server
// accepts no connections: it has restarted when it answers again.
func (s *homeServer) resetLeavingHeader() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leavingByHeaderAt = nil
}

// serviceTime returns the smoothed service time of a route; 0 if none is known.
func (s *homeServer) serviceTime(route string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serviceTimes[route]
}

// addServiceTime adds a service time to the smoothed one of the route.
func (s *homeServer) addServiceTime(route string, elapsed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if old := s.serviceTimes[route]; old != 0 {
		elapsed = old + time.Duration(serviceTimeSmoothing*float64(elapsed-old))
	}
	s.serviceTimes[route] = elapsed
}

// healthResult returns what the outcome of a request shows about the health of
// its server.
func healthResult(outcome tamarackrun.Outcome, status int, elapsed, serviceTime time.Duration) health.Result {
	switch outcome.Reason {
	case tamarackrun.ConnectFailed, tamarackrun.AnswerLost, tamarackrun.AnswerTruncated:
		return health.Failure
	case tamarackrun.AnswerTimeout:
		if elapsed >= max(minFailureTimeout, failureTimeoutFactor*serviceTime) {
			return health.Failure
		}
		return health.Inconclusive
	}
	switch {
	case outcome.Kind != tamarackrun.Ran:
		return health.Inconclusive
	case status >= 500:
		return health.Failure
	}
	return health.Success
}
