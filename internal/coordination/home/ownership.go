package home

import "time"

// MaxListLag is the longest time by which the platform's list of instances lags.
// Two instances may both act as the home of a server for that long.
const MaxListLag = 10 * time.Second

// overlapDivisor divides the slots of a server for a new home while an older one
// may still send requests.
const overlapDivisor = 3

// Ownership limits how an instance uses a server after it became the server's home,
// as long as an older home may still use it too.
type Ownership struct {
	// Gained is when the instance became the home.
	Gained time.Duration
	// FirstHome is true if no other instance can have been the home before: the
	// fleet is just starting, all listed instances have answered a heartbeat and none reported
	// the server.
	FirstHome bool
	// HandedOver is true if the older home is leaving and no longer reports the
	// server. Requests that it started may still run.
	HandedOver bool
	// LongestRequest is the longest time for which a request that an older home
	// started can run.
	LongestRequest time.Duration
}

// Slots returns how many of a server's slots the home may use.
func (o Ownership) Slots(slots int, now time.Duration) int {
	if o.FirstHome || o.HandedOver || now-o.Gained >= MaxListLag {
		return slots
	}
	return min(slots, max(1, slots/overlapDivisor))
}

// AllowsShifted reports whether the home may serve requests of other regions. An
// older home may start such requests until MaxListLag has passed, and they may run
// for LongestRequest. Waiting for both keeps the sum over both homes within the cap.
func (o Ownership) AllowsShifted(now time.Duration) bool {
	return o.FirstHome || now-o.Gained >= MaxListLag+o.LongestRequest
}
