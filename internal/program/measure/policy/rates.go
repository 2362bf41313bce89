package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tamarackrun/internal/coordination/rate"
	"tamarackrun/internal/coordination/share"
)

const (
	rateTime = 60 * time.Second
	// demandPart is the demand as a part of the organisation's rate.
	demandPart   = 0.8
	loanWait     = 300 * time.Millisecond
	borrowEvery  = 50 * time.Millisecond
	instanceKill = 20 * time.Second
	moveEvery    = 10 * time.Second
	outageTime   = 15 * time.Minute
	uplift       = 10 * time.Second
)

// holders are the instances' buckets of one organisation.
type holders struct {
	*loop
	buckets []*rate.Bucket
	waiting []int
	dead    int
	loans   bool
	ids     uint64
	delay   time.Duration
	refused int
	total   int
}

// pick chooses the instance of the next request.
type pick func(now time.Duration, random *rand.Rand) int

func newHolders(seed uint64, u user, loans bool, l rate.Limit) *holders {
	h := &holders{loop: newLoop(seed), loans: loans, waiting: make([]int, instances), dead: -1}
	for _, r := range u.Regions {
		h.delay = r.Delay
	}
	names := []share.Candidate{}
	for i := range instances {
		names = append(names, share.Candidate{Name: fmt.Sprint(i), Region: u.regions()[i%len(u.Regions)]})
	}
	list := share.Holders("o", names)
	for _, n := range names {
		b := rate.New(l, 0)
		part := share.Target(n.Name, list)
		b.SetShareExpiry(0, share.DefaultUpperTerm, share.DefaultFloorTerm)
		b.SetShare(0, part-part/2, part/2)
		h.buckets = append(h.buckets, b)
	}
	if loans {
		h.every(borrowEvery, func() {
			for i := range h.buckets {
				h.borrow(i)
			}
		})
	}
	return h
}

// borrow asks the other living instances as the product does.
func (h *holders) borrow(i int) {
	b := h.buckets[i]
	if i == h.dead {
		return
	}
	for _, c := range append(b.Extensions(h.now), b.ReturnUnused(h.now)...) {
		var lender int
		_, _ = fmt.Sscan(c.Lender, &lender)
		h.ask(i, lender, c.Request)
	}
	want := b.Shortfall(h.now, h.waiting[i]).PerLender(len(h.buckets) - 1)
	if want.Part == 0 && want.Tokens == 0 {
		return
	}
	for lender := range h.buckets {
		if lender != i {
			h.ask(i, lender, want)
		}
	}
}

func (h *holders) ask(i, lender int, ask rate.LoanRequest) {
	requested := h.now
	h.after(h.delay, func() {
		if lender == h.dead {
			return
		}
		h.ids++
		l := h.buckets[lender].Lend(h.now, ask, h.ids)
		h.after(h.delay, func() { h.buckets[i].Accept(h.now, requested, fmt.Sprint(lender), ask, l) })
	})
}

// admit takes a token now or, with loans, until the wait is over.
func (h *holders) admit(i int, inside bool) {
	h.total++
	if h.buckets[i].Admit(h.now) {
		return
	}
	if !h.loans {
		h.refuse(inside)
		return
	}
	h.waiting[i]++
	h.retry(i, h.now+loanWait, inside)
}

func (h *holders) retry(i int, until time.Duration, inside bool) {
	h.after(10*time.Millisecond, func() {
		switch {
		case h.buckets[i].Take(h.now):
			h.waiting[i]--
		case h.now >= until:
			h.waiting[i]--
			h.refuse(inside)
		default:
			h.retry(i, until, inside)
		}
	})
}

func (h *holders) refuse(inside bool) {
	if inside {
		h.refused++
	}
}

// run sends the demand; a request is inside the rate if one bucket for the
// whole fleet would admit it.
func (h *holders) run(seed uint64, l rate.Limit, length time.Duration, choose pick) {
	whole := rate.New(l, 0)
	whole.SetShareExpiry(0, 24*time.Hour, 24*time.Hour)
	whole.SetShare(0, rate.Whole, 0)
	h.after(uplift, func() {
		h.poisson(seed, 1, demandPart*l.Rate, func(r *rand.Rand) {
			i := choose(h.now, r)
			if i == h.dead {
				i = (i + 1) % instances
			}
			h.admit(i, whole.Admit(h.now))
		})
	})
	h.runUntil(uplift + length)
}

func rates(seed uint64, u user) []Row {
	even := func(_ time.Duration, r *rand.Rand) int { return r.IntN(instances) }
	o := u.largest()
	l := rate.Limit{Rate: o.Rate, Burst: o.Burst}
	var rows []Row
	for _, c := range []struct {
		name   string
		choose pick
		killed bool
		length time.Duration
	}{
		{"even demand", even, false, rateTime},
		{"all on one instance", func(time.Duration, *rand.Rand) int { return 0 }, false, rateTime},
		{"demand moves every 10 s", func(now time.Duration, _ *rand.Rand) int { return int(now/moveEvery) % instances }, false, rateTime},
		{"one instance killed", even, true, rateTime},
		{"store out for 15 min", even, false, outageTime},
	} {
		var figure [2]float64
		for n, loans := range []bool{true, false} {
			h := newHolders(seed, u, loans, l)
			if c.killed {
				h.after(uplift+instanceKill, func() { h.dead = 3 })
			}
			h.run(seed, l, c.length, c.choose)
			figure[n] = 100 * float64(h.refused) / float64(h.total)
		}
		rows = append(rows, Row{Case: c.name, Measure: "refused inside the rate", Unit: "%",
			Policy: figure[0], Baseline: figure[1], Target: target(figure[1] / 10)})
	}
	return label("rates", u, rows)
}
