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
	// costSmoothing is the weight of one new service time.
	costSmoothing = 0.1
	// slowAnswer is the time that a server has at least before a timeout
	// counts against it. Callers choose their timeouts, and one with very
	// short ones must not get a server ejected.
	slowAnswer     = time.Second
	slowCostFactor = 4
	// headerHold is how long a server stays leaving after an answer announced
	// it, unless it was seen to restart.
	headerHold = 5 * time.Minute
)

// owned is the state of one backend server at its home.
type owned struct {
	gate *slot.Gate

	mu      sync.Mutex
	server  configuration.Server
	tenure  home.Ownership
	tracker health.Tracker
	opening shift.SlowStart
	// takenAt is since when another instance reports to be home; nil if none
	// does.
	takenAt *time.Duration
	// costs are the smoothed service times by route.
	costs map[string]time.Duration
	// leavingByHealth is what the health endpoint said last.
	leavingByHealth bool
	// leavingByHeader is the time of the latest answer that announced that
	// the server is leaving; nil if there is none. The health endpoint lags
	// and may mislead, so it does not clear it.
	leavingByHeader *time.Duration
}

func newOwned(v configuration.Server, tenure home.Ownership, clock tamarackrun.Clock) *owned {
	return &owned{server: v, tenure: tenure, costs: map[string]time.Duration{},
		gate: slot.New(tenure.Slots(v.Slots, clock.Now()), clock)}
}

// limitSlots applies the overlap rule.
func (o *owned) limitSlots(now time.Duration) {
	o.mu.Lock()
	slots := o.tenure.Slots(o.server.Slots, now)
	o.mu.Unlock()
	o.gate.SetSlots(slots)
}

func (o *owned) setTenure(undoubted, handed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tenure.FirstHome, o.tenure.HandedOver = undoubted, handed
}

// taken notes whether another instance took the home over, and says whether it
// did so long enough ago.
func (o *owned) taken(now time.Duration, byOther bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !byOther:
		o.takenAt = nil
	case o.takenAt == nil:
		o.takenAt = &now
	}
	return o.takenAt != nil && now-*o.takenAt >= handoverTime
}

// isLeaving says whether the server itself announced that it is leaving.
func (o *owned) isLeaving(now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leavingByHealth || o.leavingByHeader != nil && now-*o.leavingByHeader < headerHold
}

// setHealth takes an answer of the health endpoint. It returns true if the
// server is newly leaving.
func (o *owned) setHealth(draining bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	began := draining && !o.leavingByHealth
	o.leavingByHealth = draining
	return began
}

func (o *owned) setHeader(now time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	began := o.leavingByHeader == nil
	o.leavingByHeader = &now
	return began
}

// down notes that the server accepts no connections, so that it is a new run
// when it answers again.
func (o *owned) down() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leavingByHeader = nil
}

func (o *owned) cost(route string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.costs[route]
}

func (o *owned) addCost(route string, elapsed time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if old := o.costs[route]; old != 0 {
		elapsed = old + time.Duration(costSmoothing*float64(elapsed-old))
	}
	o.costs[route] = elapsed
}

// resultOf says what an outcome shows about the server.
func resultOf(outcome tamarackrun.Outcome, status int, elapsed, cost time.Duration) health.Result {
	switch outcome.Reason {
	case tamarackrun.ConnectFailed, tamarackrun.AnswerLost, tamarackrun.AnswerTruncated:
		return health.Failure
	case tamarackrun.AnswerTimeout:
		if elapsed >= max(slowAnswer, slowCostFactor*cost) {
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
