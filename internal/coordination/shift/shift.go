// Package shift limits the load that regions take over from one another. Limits
// are enforced at the homes of the destination, so that no entry instance and no
// outdated load figure can exceed them.
package shift

import "time"

// RegionCap returns the most requests of other regions that may run in a region.
func RegionCap(fraction float64, slots int) int { return int(fraction * float64(slots)) }

// ServerCap returns the part of the cap of server i of n, ordered by name and
// counted from 0. The parts sum to the cap, so that homes need not agree.
func ServerCap(limit, i, n int) int { return (i+1)*limit/n - i*limit/n }

// Reserve returns the slots of a server that its own region must leave free
// before it takes shifted load, as room for the loss of a failure domain.
func Reserve(slots, domains int) int { return (slots + domains - 1) / max(1, domains) }

const (
	// growInterval is the time per slot that a part opens, because caches are
	// cold for the requests of another region.
	growInterval = 2 * time.Second
	// coldAfter is the pause in shifted load after which growth starts again.
	coldAfter = 30 * time.Second
	// slowFactor is the latency that closes a part, relative to the unshifted
	// one.
	slowFactor = 2
	// latencyNoise is a difference of latency that never closes a part, since
	// short service times vary by scheduling alone.
	latencyNoise = 2 * time.Millisecond
	// smoothing is the weight of one new latency.
	smoothing = 0.2
	// minSamples is the number of latencies that can close a part.
	minSamples = 3
)

// SlowStart follows how far a server's part is open. It is pure and not safe for
// concurrent use.
type SlowStart struct {
	// open is the number of slots that shifted load may use, below the part.
	open int
	// changed is when open was last changed, used when shifted load last ran.
	changed, used time.Duration
	began         bool
	// unshifted and recent are the smoothed latencies of the own region's
	// requests without and with shifted load at the same time.
	unshifted, recent float64
	samples           int
}

// Limit returns the slots that shifted load may use of the part.
func (o *SlowStart) Limit(now time.Duration, part int) int {
	switch {
	case !o.began || now-o.used >= coldAfter && now-o.changed >= coldAfter:
		o.open, o.changed, o.began = 1, now, true
	case now-o.changed >= growInterval && (o.open == 0 || o.used > o.changed):
		o.open, o.changed = min(o.open+1, max(1, part)), now
	}
	return min(o.open, part)
}

// Observe takes the latency of one request: whether it was shifted, and whether
// shifted load ran on the server at the same time. It returns true if the part
// closes. Only requests of the own region are compared: the first requests of
// another region are slow by themselves while caches are cold, and closing for
// that would keep the caches cold.
func (o *SlowStart) Observe(now, latency time.Duration, shifted, together bool) bool {
	if shifted || together {
		o.used = now
	}
	switch {
	case shifted:
		return false
	case !together:
		o.unshifted = smooth(o.unshifted, latency)
		return false
	case o.unshifted == 0:
		return false
	}
	o.recent = smooth(o.recent, latency)
	o.samples++
	slow := o.recent >= slowFactor*o.unshifted && o.recent-o.unshifted > latencyNoise.Seconds()
	if !slow || o.samples < minSamples {
		return false
	}
	closes := o.open > 0
	o.open, o.changed, o.recent, o.samples = 0, now, 0, 0
	return closes
}

func smooth(old float64, latency time.Duration) float64 {
	if old == 0 {
		return latency.Seconds()
	}
	return old + smoothing*(latency.Seconds()-old)
}
