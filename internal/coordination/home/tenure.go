package home

import "time"

// MaxListLag is the most by which the platform's list of instances lags, so that
// two instances may believe for this long that they are the home of a server.
const MaxListLag = 10 * time.Second

// overlapPart is the part of the slots that a new home uses while an older one
// may still send requests.
const overlapPart = 3

// Ownership limits what an instance uses of a server whose home it became.
type Ownership struct {
	// Gained is when the instance became home.
	Gained time.Duration
	// FirstHome says that no other instance can have been home before: the
	// fleet is just starting, all listed instances were heard and none
	// reported the server.
	FirstHome bool
	// HandedOver says that the older home is leaving and reported that it gave the
	// server up. Requests that it started may still run.
	HandedOver bool
	// LongestRequest is the longest time that a request of an older home runs on.
	LongestRequest time.Duration
}

// Slots returns the number of slots that the home may use.
func (t Ownership) Slots(slots int, now time.Duration) int {
	if t.FirstHome || t.HandedOver || now-t.Gained >= MaxListLag {
		return slots
	}
	return min(slots, max(1, slots/overlapPart))
}

// AllowsShifted says whether the home may serve requests of other regions. An older
// home may start them until the lag has passed, and they end Drain later, so
// that the sum over both stays under the cap.
func (t Ownership) AllowsShifted(now time.Duration) bool {
	return t.FirstHome || now-t.Gained >= MaxListLag+t.LongestRequest
}
