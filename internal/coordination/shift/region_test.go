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

const timeout = 5 * time.Second

type running struct {
	release func()
	end     time.Duration
	shifted bool
	home    *fakeHome
	began   time.Duration
}

// fakeHome is one instance's view of one server: it stops at until, which is up
// to the lag after another instance became home.
type fakeHome struct {
	gate    *slot.Gate
	tenure  home.Ownership
	opening shift.SlowStart
	until   time.Duration
}

// Guards against shifted load above the cap of a region, whatever entry
// instances send to whichever home they believe in. Homes move at any time, and
// the old one goes on for up to the list's lag. Load reports are no input.
func TestShiftedNeverAboveCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots, domains = 9, 2
		n := rapid.IntRange(1, 3).Draw(t, "servers")
		limit := shift.RegionCap(rapid.SampledFrom([]float64{0, 0.1, 0.5, 1}).Draw(t, "fraction"), n*slots)
		c := &clock{now: time.Hour}
		homes := make([][]*fakeHome, n)
		for i := range homes {
			homes[i] = []*fakeHome{{gate: slot.New(slots, c), tenure: home.Ownership{FirstHome: true}, until: 1 << 62}}
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		var all []running
		for range rapid.IntRange(100, 400).Draw(t, "steps") {
			c.now += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
			all = slices.DeleteFunc(all, func(r running) bool {
				if r.end > c.now {
					return false
				}
				r.release()
				r.home.opening.Observe(c.now, r.end-r.began, r.shifted, r.shifted)
				return true
			})
			i := rapid.IntRange(0, n-1).Draw(t, "server")
			if rapid.IntRange(0, 40).Draw(t, "moves") == 0 {
				last := homes[i][len(homes[i])-1]
				last.until = c.now + time.Duration(rapid.SampledFrom([]int{0, int(home.MaxListLag) / 2, int(home.MaxListLag) - 1}).Draw(t, "lag"))
				homes[i] = append(homes[i], &fakeHome{gate: slot.New(slots, c), tenure: home.Ownership{Gained: c.now, LongestRequest: timeout}, until: 1 << 62})
			}
			for range rapid.IntRange(0, 12).Draw(t, "requests") {
				h := homes[i][rapid.IntRange(0, len(homes[i])-1).Draw(t, "home")]
				if c.now >= h.until {
					continue
				}
				shifted := rapid.IntRange(0, 9).Draw(t, "shifted") > 0
				e := slot.Request{Organisation: "o", Weight: 1, Deadline: c.now + timeout, Shifted: shifted}
				if shifted && h.tenure.AllowsShifted(c.now) {
					e.ShiftLimit, e.Reserve = h.opening.Limit(c.now, shift.ServerCap(limit, i, n)), shift.Reserve(slots, domains)
				}
				h.gate.SetSlots(h.tenure.Slots(slots, c.now))
				if release, outcome := h.gate.Acquire(ctx, e); outcome == tamarackrun.Done {
					length := rapid.SampledFrom([]time.Duration{timeout, timeout, time.Second, time.Millisecond}).Draw(t, "length")
					all = append(all, running{release, c.now + length, shifted, h, c.now})
				}
			}
			sum := 0
			for _, r := range all {
				if r.shifted {
					sum++
				}
			}
			if sum > limit {
				t.Fatalf("%d shifted requests run, cap is %d of %d slots", sum, limit, n*slots)
			}
		}
	})
}

// region is a destination region with 4 servers of 9 slots in 2 failure
// domains, in virtual time. Its own load is 40% of its slots; at 5 s it gets the
// same again from a region that was lost.
type region struct {
	random *rand.Rand
	// domainLost takes half of the servers away at domainLostAt.
	domainLost bool
	servers    [4]fakeServer
	trigger    shift.Trigger
	inFlight   []job
	// peaks hold the most shifted requests in flight per second, most all.
	peaks        [40]int
	most         int
	ownRefused   int
	shiftRefused int
	latencies    []time.Duration
}

type fakeServer struct {
	opening     shift.SlowStart
	own, others int
	// warmth is the number of shifted requests that its cache has seen.
	warmth int
}

type job struct {
	server     *fakeServer
	end, began time.Duration
	shifted    bool
	crowded    bool
}

const (
	simSlots   = 9
	simService = 50 * time.Millisecond
	// Cold requests take five times as long, for the first 100 per server.
	coldFactor = 5
	coldCount  = 100
	lostAt     = 5 * time.Second
	lostUntil  = 40 * time.Second
	// domainLostAt is when one failure domain of the destination is lost.
	domainLostAt = 20 * time.Second
)

func (g *region) finish(now time.Duration) {
	g.inFlight = slices.DeleteFunc(g.inFlight, func(j job) bool {
		if j.end > now {
			return false
		}
		if j.shifted {
			j.server.others--
		} else {
			j.server.own--
			if j.began >= lostAt {
				g.latencies = append(g.latencies, j.end-j.began)
			}
		}
		j.server.opening.Observe(j.end, j.end-j.began, j.shifted, j.crowded)
		return true
	})
}

// arrive takes a request on a random server. limited follows the rules; else
// shifted load takes any free slot at once.
func (g *region) arrive(now time.Duration, shifted, limited bool) {
	usable := len(g.servers)
	if g.domainLost && now >= domainLostAt {
		usable /= 2
	}
	i := g.random.IntN(usable)
	s := &g.servers[i]
	room := s.own+s.others < simSlots
	if shifted && limited {
		g.trigger.RecordRefusal(now)
		part := shift.ServerCap(shift.RegionCap(0.5, simSlots*len(g.servers)), i, len(g.servers))
		room = room && g.trigger.Shifting(now) && s.others < s.opening.Limit(now, part) && s.own <= simSlots-shift.Reserve(simSlots, 2)
	}
	switch {
	case !room && shifted:
		g.shiftRefused++
		return
	case !room:
		g.ownRefused++
		return
	}
	service := simService/2 + time.Duration(g.random.Int64N(int64(simService)))
	// A cold server is slow for all its requests, because they share its disk.
	if shifted {
		s.others++
		s.warmth++
	} else {
		s.own++
	}
	if s.others > 0 && s.warmth < coldCount {
		service *= time.Duration(1 + (coldFactor-1)*s.others/simSlots)
		if shifted {
			service *= coldFactor
		}
	}
	g.inFlight = append(g.inFlight, job{s, now + service, now, shifted, s.others > 0})
}

func simulateLoss(limited, domainLost bool) *region {
	g := &region{random: rand.New(rand.NewPCG(11, 1)), domainLost: domainLost}
	rate := 0.4 * simSlots * float64(len(g.servers)) / simService.Seconds()
	step := time.Duration(float64(time.Second) / rate)
	for now := time.Duration(0); now < lostUntil; now += step {
		g.finish(now)
		g.arrive(now, false, limited)
		if now >= lostAt {
			g.arrive(now, true, limited)
		}
		shifted := 0
		for i := range g.servers {
			shifted += g.servers[i].others
		}
		second := int(now / time.Second)
		g.peaks[second] = max(g.peaks[second], shifted)
		g.most = max(g.most, len(g.inFlight))
	}
	return g
}

// Guards against a loss of a region that overloads the one that takes its load,
// alone and when the destination then loses a failure domain. The version that
// shifts at once gets the same arrivals.
func TestRegionLoss(t *testing.T) {
	for name, domainLost := range map[string]bool{"region": false, "region, then a failure domain of the destination": true} {
		t.Run(name, func(t *testing.T) {
			limited, atOnce := simulateLoss(true, domainLost), simulateLoss(false, domainLost)
			for name, g := range map[string]*region{"limited": limited, "at once": atOnce} {
				slices.Sort(g.latencies)
				t.Logf("%s: most shifted in flight per second from 4 s on %v, most in flight %d of 36, own refused %d, shifted refused %d, own p99 %v",
					name, g.peaks[4:30], g.most, g.ownRefused, g.shiftRefused, g.latencies[len(g.latencies)*99/100])
			}
			capacity := shift.RegionCap(0.5, simSlots*4)
			for second, peak := range limited.peaks {
				if peak > capacity || second < 7 && peak > len(limited.servers) {
					t.Errorf("%d shifted requests in second %d", peak, second)
				}
			}
			if limited.ownRefused >= atOnce.ownRefused {
				t.Errorf("%d own requests refused, %d when shifting at once", limited.ownRefused, atOnce.ownRefused)
			}
		})
	}
}
