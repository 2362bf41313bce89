// Package shift limits the requests that one region serves for another that is
// overloaded or lost (shifted requests). The homes of the servers in the destination
// region enforce the limits, so that no entry instance, and no outdated load report,
// can cause more load.
package shift

import "time"

// RegionCap returns the highest number of shifted requests that may run in a region:
// a fraction of its slots.
func RegionCap(fraction float64, slots int) int { return int(fraction * float64(slots)) }

// ServerCap returns the share of a region's cap for server i of n, where the servers
// are ordered by name and counted from 0. The shares sum to the cap, so the homes of
// different servers need no coordination.
func ServerCap(regionCap, i, n int) int { return (i+1)*regionCap/n - i*regionCap/n }

// Reserve returns how many slots of a server must be free of requests of its own
// region before it takes shifted requests. They are the capacity for the loss of
// one of the region's failure domains.
func Reserve(slots, domains int) int { return (slots + domains - 1) / max(1, domains) }

const (
	// growthInterval is the time after which shifted requests may use one more
	// slot. Growth is slow because caches are cold for the requests of another
	// region.
	growthInterval = 2 * time.Second
	// resetAfter is the time without shifted requests after which growth starts
	// again from one slot.
	resetAfter = 30 * time.Second
	// slowFactor is the ratio of the latencies with and without shifted requests
	// from which on no more shifted requests are admitted.
	slowFactor = 2
	// latencyNoise is a difference of these latencies that never stops shifted
	// requests, because scheduling alone varies short service times that much.
	latencyNoise = 2 * time.Millisecond
	// smoothing is the weight of a new latency in the moving average.
	smoothing = 0.2
	// minSamples is the lowest number of latencies that can stop shifted requests.
	minSamples = 3
)

// SlowStart raises the number of slots of one server that shifted requests may use
// step by step, and sets it to 0 if they slow the requests of the server's own
// region down. Callers pass the current time. It is not safe for concurrent use.
type SlowStart struct {
	// slots is the number of slots that shifted requests may use, subject to the
	// server's cap.
	slots int
	// slotsChanged is when slots was last changed, and lastUsed when a shifted
	// request last ran.
	slotsChanged, lastUsed time.Duration
	// started is true after the first call of Limit.
	started bool
	// baseLatency and sharedLatency are moving averages, in seconds, of the
	// latencies of requests from the server's region without and with concurrent
	// shifted requests.
	baseLatency, sharedLatency float64
	// sharedSamples is the number of latencies in sharedLatency.
	sharedSamples int
}

// Limit returns how many slots shifted requests may use now.
func (s *SlowStart) Limit(now time.Duration, serverCap int) int {
	switch {
	case !s.started || now-s.lastUsed >= resetAfter && now-s.slotsChanged >= resetAfter:
		s.slots, s.slotsChanged, s.started = 1, now, true
	case now-s.slotsChanged >= growthInterval && (s.slots == 0 || s.lastUsed > s.slotsChanged):
		s.slots, s.slotsChanged = min(s.slots+1, max(1, serverCap)), now
	}
	return min(s.slots, serverCap)
}

// Observe records the latency of a request. shifted is true for a shifted request,
// and concurrent if shifted requests ran on the server at the same time. Observe
// reports whether it stopped shifted requests by setting their slots to 0. It
// compares only latencies of requests from the server's region: the first shifted
// requests are slow because caches are cold, and stopping them would keep the caches
// cold.
func (s *SlowStart) Observe(now, latency time.Duration, shifted, concurrent bool) bool {
	if shifted || concurrent {
		s.lastUsed = now
	}
	switch {
	case shifted:
		return false
	case !concurrent:
		s.baseLatency = average(s.baseLatency, latency)
		return false
	case s.baseLatency == 0:
		return false
	}
	s.sharedLatency = average(s.sharedLatency, latency)
	s.sharedSamples++
	slow := s.sharedLatency >= slowFactor*s.baseLatency && s.sharedLatency-s.baseLatency > latencyNoise.Seconds()
	if !slow || s.sharedSamples < minSamples {
		return false
	}
	stopped := s.slots > 0
	s.slots, s.slotsChanged, s.sharedLatency, s.sharedSamples = 0, now, 0, 0
	return stopped
}

// average adds a latency to a moving average in seconds; 0 is an empty average.
func average(old float64, latency time.Duration) float64 {
	if old == 0 {
		return latency.Seconds()
	}
	return old + smoothing*(latency.Seconds()-old)
}
