package shift_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackrun"
	"tamarackrun/internal/coordination/home"
	"tamarackrun/internal/coordination/shift"
	"tamarackrun/internal/coordination/slot"
)

type clock struct{ now time.Duration }

func (c *clock) Now() time.Duration { return c.now }

// timeout is the longest time that a request runs.
const timeout = 5 * time.Second

// runningRequest is a request that holds a slot.
type runningRequest struct {
	release func()
	end     time.Duration
	shifted bool
	home    *fakeHome
	began   time.Duration
}

// fakeHome is the home of one server on one instance. It acts as home until end,
// which is less than home.MaxListLag after another instance became the home.
type fakeHome struct {
	gate      *slot.Gate
	ownership home.Ownership
	slowStart shift.SlowStart
	end       time.Duration
}

// Guards against more shifted requests than the cap of a region, whatever entry
// instances send and to whichever home. Homes move at any time, and the old home
// continues for up to home.MaxListLag. Load reports are not an input.
func TestShiftedRequestsStayWithinCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, domains = 9, 2
		n := rapid.IntRange(1, 3).Draw(t, "servers")
		regionCap := shift.RegionCap(rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "fraction"), n*slots)
		c := &clock{now: time.Hour}
		homes := make([][]*fakeHome, n)
		for i := range homes {
			homes[i] = []*fakeHome{{gate: slot.New(slots, c), ownership: home.Ownership{FirstHome: true}, end: 1 << 62}}
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		var running []runningRequest
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			c.now += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
			running = slices.DeleteFunc(running, func(r runningRequest) bool {
				if r.end > c.now {
					return false
				}
				r.release()
				r.home.slowStart.Observe(c.now, r.end-r.began, r.shifted, r.shifted)
				return true
			})
			i := rapid.IntRange(0, n-1).Draw(t, "server")
			if rapid.IntRange(0, 40).Draw(t, "moves") == 0 {
				last := homes[i][len(homes[i])-1]
				last.end = c.now + time.Duration(rapid.SampledFrom([]int{0, int(home.MaxListLag) / 2, int(home.MaxListLag) - 1}).Draw(t, "lag"))
				homes[i] = append(homes[i], &fakeHome{
					gate:      slot.New(slots, c),
					ownership: home.Ownership{Gained: c.now, LongestRequest: timeout},
					end:       1 << 62,
				})
			}
			for range rapid.IntRange(0, 12).Draw(t, "requests") {
				h := homes[i][rapid.IntRange(0, len(homes[i])-1).Draw(t, "home")]
				if c.now >= h.end {
					continue
				}
				shifted := rapid.IntRange(0, 9).Draw(t, "shifted") > 0
				request := slot.Request{Organisation: "o", Weight: 1, Deadline: c.now + timeout, Shifted: shifted}
				if shifted && h.ownership.AllowsShifted(c.now) {
					request.ShiftLimit, request.Reserve = h.slowStart.Limit(c.now, shift.ServerCap(regionCap, i, n)), shift.Reserve(slots, domains)
				}
				h.gate.SetSlots(h.ownership.Slots(slots, c.now))
				if release, outcome := h.gate.Acquire(ctx, request); outcome == tamarackrun.Done {
					length := rapid.SampledFrom([]time.Duration{timeout, timeout, time.Second, time.Millisecond}).Draw(t, "length")
					running = append(running, runningRequest{release, c.now + length, shifted, h, c.now})
				}
			}
			sum := 0
			for _, r := range running {
				if r.shifted {
					sum++
				}
			}
			if sum > regionCap {
				t.Fatalf("%d shifted requests run, cap is %d of %d slots", sum, regionCap, n*slots)
			}
		}
	})
}

// destination simulates, in virtual time, a region with 4 servers of 9 slots in 2
// failure domains. Its own load is 40% of its slots. From 5 s on it gets the same
// load again from a region that was lost.
type destination struct {
	random *rand.Rand
	// domainLost makes half of the servers fail at domainLostAt.
	domainLost bool
	servers    [4]fakeServer
	trigger    shift.Trigger
	inFlight   []simRequest
	// shiftedPeaks holds the highest number of shifted requests in flight in each
	// second, and maxInFlight the highest number of all requests in flight.
	shiftedPeaks     [40]int
	maxInFlight      int
	unshiftedRefused int
	shiftedRefused   int
	// unshiftedLatencies holds the latencies of unshifted requests that began after
	// the loss of the other region.
	unshiftedLatencies []time.Duration
}

// fakeServer is a server of the simulation.
type fakeServer struct {
	slowStart shift.SlowStart
	// unshifted and shifted are the numbers of requests in flight.
	unshifted, shifted int
	// shiftedTotal is the number of shifted requests that the server's cache has
	// seen.
	shiftedTotal int
}

// simRequest is a request in flight in the simulation.
type simRequest struct {
	server     *fakeServer
	end, began time.Duration
	shifted    bool
	// concurrent is true if a shifted request ran at the start.
	concurrent bool
}

const (
	simSlots       = 9
	simServiceTime = 50 * time.Millisecond
	// The first 100 shifted requests of each server find a cold cache and take
	// five times as long.
	coldFactor   = 5
	coldRequests = 100
	regionLostAt = 5 * time.Second
	simEnd       = 40 * time.Second
	// domainLostAt is when one failure domain of the destination is lost.
	domainLostAt = 20 * time.Second
)

// finish ends the requests that are over.
func (d *destination) finish(now time.Duration) {
	d.inFlight = slices.DeleteFunc(d.inFlight, func(r simRequest) bool {
		if r.end > now {
			return false
		}
		if r.shifted {
			r.server.shifted--
		} else {
			r.server.unshifted--
			if r.began >= regionLostAt {
				d.unshiftedLatencies = append(d.unshiftedLatencies, r.end-r.began)
			}
		}
		r.server.slowStart.Observe(r.end, r.end-r.began, r.shifted, r.concurrent)
		return true
	})
}

// arrive starts a request on a random server, or counts it as refused. Without
// limits, a shifted request takes any free slot.
func (d *destination) arrive(now time.Duration, shifted, withLimits bool) {
	usable := len(d.servers)
	if d.domainLost && now >= domainLostAt {
		usable /= 2
	}
	i := d.random.IntN(usable)
	s := &d.servers[i]
	free := s.unshifted+s.shifted < simSlots
	if shifted && withLimits {
		d.trigger.RecordRefusal(now)
		serverCap := shift.ServerCap(shift.RegionCap(0.5, simSlots*len(d.servers)), i, len(d.servers))
		free = free && d.trigger.Shifting(now) && s.shifted < s.slowStart.Limit(now, serverCap) &&
			s.unshifted <= simSlots-shift.Reserve(simSlots, 2)
	}
	switch {
	case !free && shifted:
		d.shiftedRefused++
		return
	case !free:
		d.unshiftedRefused++
		return
	}
	serviceTime := simServiceTime/2 + time.Duration(d.random.Int64N(int64(simServiceTime)))
	// A cold server is slow for all its requests, because they share its disk.
	if shifted {
		s.shifted++
		s.shiftedTotal++
	} else {
		s.unshifted++
	}
	if s.shifted > 0 && s.shiftedTotal < coldRequests {
		serviceTime *= time.Duration(1 + (coldFactor-1)*s.shifted/simSlots)
		if shifted {
			serviceTime *= coldFactor
		}
	}
	d.inFlight = append(d.inFlight, simRequest{s, now + serviceTime, now, shifted, s.shifted > 0})
}

// simulateRegionLoss returns the destination after the simulated time.
func simulateRegionLoss(withLimits, domainLost bool) *destination {
	d := &destination{random: rand.New(rand.NewPCG(11, 1)), domainLost: domainLost}
	rate := 0.4 * simSlots * float64(len(d.servers)) / simServiceTime.Seconds()
	step := time.Duration(float64(time.Second) / rate)
	for now := time.Duration(0); now < simEnd; now += step {
		d.finish(now)
		d.arrive(now, false, withLimits)
		if now >= regionLostAt {
			d.arrive(now, true, withLimits)
		}
		shifted := 0
		for i := range d.servers {
			shifted += d.servers[i].shifted
		}
		second := int(now / time.Second)
		d.shiftedPeaks[second] = max(d.shiftedPeaks[second], shifted)
		d.maxInFlight = max(d.maxInFlight, len(d.inFlight))
	}
	return d
}

// Guards against the loss of a region that overloads the region that takes over its
// requests, also if that one then loses a failure domain. The result is compared
// with the same arrivals without limits.
func TestRegionLoss(t *testing.T) {
	for name, domainLost := range map[string]bool{"region": false, "region, then a failure domain of the destination": true} {
		t.Run(name, func(t *testing.T) {
			withLimits, unlimited := simulateRegionLoss(true, domainLost), simulateRegionLoss(false, domainLost)
			for name, d := range map[string]*destination{"with limits": withLimits, "without limits": unlimited} {
				slices.Sort(d.unshiftedLatencies)
				t.Logf("%s: peak of shifted requests in flight in each second from 4 s on %v, peak of all requests in flight %d of 36, refused unshifted %d, refused shifted %d, p99 of unshifted %v",
					name, d.shiftedPeaks[4:30], d.maxInFlight, d.unshiftedRefused, d.shiftedRefused, d.unshiftedLatencies[len(d.unshiftedLatencies)*99/100])
			}
			regionCap := shift.RegionCap(0.5, simSlots*4)
			for second, peak := range withLimits.shiftedPeaks {
				if peak > regionCap || second < 7 && peak > len(withLimits.servers) {
					t.Errorf("%d shifted requests in second %d", peak, second)
				}
			}
			if withLimits.unshiftedRefused >= unlimited.unshiftedRefused {
				t.Errorf("%d unshifted requests refused, %d without limits", withLimits.unshiftedRefused, unlimited.unshiftedRefused)
			}
		})
	}
}
