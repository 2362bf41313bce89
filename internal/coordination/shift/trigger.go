package shift

import "time"

const (
	// triggerCount refusals within triggerWindow start a shift; the shift stops
	// after calmTime without a refusal. Single refusals are common at high load
	// and must not make traffic oscillate between regions.
	triggerCount  = 3
	triggerWindow = time.Second
	calmTime      = 5 * time.Second
)

// Trigger decides whether an entry instance shifts requests of one service to other
// regions. Callers pass the current time. It is not safe for concurrent use.
type Trigger struct {
	// recentRefusals holds the times of the latest refusals by the instance's own
	// region, at most triggerCount.
	recentRefusals []time.Duration
	shifting       bool
}

// RecordRefusal records a refusal by the instance's own region. It reports whether
// this refusal starts a shift.
func (t *Trigger) RecordRefusal(now time.Duration) bool {
	before := t.Shifting(now)
	t.recentRefusals = append(t.recentRefusals, now)
	if len(t.recentRefusals) > triggerCount {
		t.recentRefusals = t.recentRefusals[1:]
	}
	if len(t.recentRefusals) == triggerCount && now-t.recentRefusals[0] <= triggerWindow {
		t.shifting = true
	}
	return t.shifting && !before
}

// Shifting reports whether requests may go to other regions.
func (t *Trigger) Shifting(now time.Duration) bool {
	if t.shifting && now-t.recentRefusals[len(t.recentRefusals)-1] >= calmTime {
		t.shifting = false
	}
	return t.shifting
}
