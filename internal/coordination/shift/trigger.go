package shift

import "time"

const (
	// triggerCount refusals within triggerWindow start a shift; it stops
	// after calmTime without one. Single refusals are common at high load and
	// must not move traffic to and fro.
	triggerCount  = 3
	triggerWindow = time.Second
	calmTime      = 5 * time.Second
)

// Trigger says whether an entry instance shifts the load of one service. It is
// pure and not safe for concurrent use.
type Trigger struct {
	// refusals holds the times of the latest refusals by the own region.
	refusals []time.Duration
	shifting bool
}

// RecordRefusal takes a refusal by the own region. It returns true if a shift starts.
func (t *Trigger) RecordRefusal(now time.Duration) bool {
	before := t.Shifting(now)
	t.refusals = append(t.refusals, now)
	if len(t.refusals) > triggerCount {
		t.refusals = t.refusals[1:]
	}
	if len(t.refusals) == triggerCount && now-t.refusals[0] <= triggerWindow {
		t.shifting = true
	}
	return t.shifting && !before
}

// Shifting says whether requests may go to other regions.
func (t *Trigger) Shifting(now time.Duration) bool {
	if t.shifting && now-t.refusals[len(t.refusals)-1] >= calmTime {
		t.shifting = false
	}
	return t.shifting
}
