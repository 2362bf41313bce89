package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"tamarackrun/internal/coordination/rate"
	"tamarackrun/internal/coordination/share"
)

const (
	ratesDuration = 60 * time.Second
	// demandFraction is the demand as a fraction of the organisation's rate.
	demandFraction = 0.8
	maxLoanWait    = 300 * time.Millisecond
	borrowInterval = 50 * time.Millisecond
	// killTime is when an instance is killed, after warmUp.
	killTime       = 20 * time.Second
	moveInterval   = 10 * time.Second
	outageDuration = 15 * time.Minute
	warmUp         = 10 * time.Second
)

// bucketSim simulates the instances' buckets of one organisation.
type bucketSim struct {
	*simulation
	buckets []*rate.Bucket
	// waiting is the number of requests that wait for a token, by instance.
	waiting []int
	// killed is the index of the killed instance, or -1.
	killed     int
	withLoans  bool
	lastLoanID uint64
	// delay is the one-way delay between two instances.
	delay time.Duration
	// refusedWithinRate is the number of refused requests that were within the
	// organisation's rate.
	refusedWithinRate int
	total             int
}

// pickInstance chooses the instance of the next request.
type pickInstance func(now time.Duration, random *rand.Rand) int

// newBucketSim returns the buckets of one organisation, each with its share of the
// limit. Without loans the buckets keep to their shares, which is the baseline.
func newBucketSim(seed uint64, u user, withLoans bool, limit rate.Limit) *bucketSim {
	b := &bucketSim{simulation: newSimulation(seed), withLoans: withLoans, waiting: make([]int, instanceCount), killed: -1}
	for _, r := range u.Regions {
		// The bound must hold with the longest delay, whatever the order of the regions.
		b.delay = max(b.delay, r.Delay)
	}
	candidates := []share.Candidate{}
	for i := range instanceCount {
		candidates = append(candidates, share.Candidate{Name: fmt.Sprint(i), Region: u.regions()[i%len(u.Regions)]})
	}
	holders := share.Holders("o", candidates)
	for _, n := range candidates {
		bucket := rate.New(limit, 0)
		part := share.Target(n.Name, holders)
		bucket.SetShareExpiry(0, share.DefaultUpperTerm, share.DefaultFloorTerm)
		bucket.SetShare(0, part-part/2, part/2)
		b.buckets = append(b.buckets, bucket)
	}
	if withLoans {
		b.every(borrowInterval, func() {
			for i := range b.buckets {
				b.borrow(i)
			}
		})
	}
	return b
}

// borrow requests loans from the other instances as the product does.
func (b *bucketSim) borrow(i int) {
	bucket := b.buckets[i]
	if i == b.killed {
		return
	}
	for _, c := range append(bucket.Extensions(b.now), bucket.ReturnUnused(b.now)...) {
		var lender int
		_, _ = fmt.Sscan(c.Lender, &lender)
		b.requestLoan(i, lender, c.Request)
	}
	want := bucket.Shortfall(b.now, b.waiting[i]).PerLender(len(b.buckets) - 1)
	if want.Part == 0 && want.Tokens == 0 {
		return
	}
	for lender := range b.buckets {
		if lender != i {
			b.requestLoan(i, lender, want)
		}
	}
}

// requestLoan sends a request to a lender, whose answer arrives after twice the delay
// unless the lender is killed.
func (b *bucketSim) requestLoan(i, lender int, request rate.LoanRequest) {
	requested := b.now
	b.after(b.delay, func() {
		if lender == b.killed {
			return
		}
		b.lastLoanID++
		l := b.buckets[lender].Lend(b.now, request, b.lastLoanID)
		b.after(b.delay, func() { b.buckets[i].Accept(b.now, requested, fmt.Sprint(lender), request, l) })
	})
}

// admit takes a token for a request at once or, with loans, within maxLoanWait.
func (b *bucketSim) admit(i int, withinRate bool) {
	b.total++
	if b.buckets[i].Admit(b.now) {
		return
	}
	if !b.withLoans {
		b.refuse(withinRate)
		return
	}
	b.waiting[i]++
	b.retry(i, b.now+maxLoanWait, withinRate)
}

// retry takes a token for a waiting request in steps of 10 ms and refuses it at the
// time until.
func (b *bucketSim) retry(i int, until time.Duration, withinRate bool) {
	b.after(10*time.Millisecond, func() {
		switch {
		case b.buckets[i].Take(b.now):
			b.waiting[i]--
		case b.now >= until:
			b.waiting[i]--
			b.refuse(withinRate)
		default:
			b.retry(i, until, withinRate)
		}
	})
}

func (b *bucketSim) refuse(withinRate bool) {
	if withinRate {
		b.refusedWithinRate++
	}
}

// run sends the demand. A request is within the rate if one bucket for the whole
// fleet admits it.
func (b *bucketSim) run(seed uint64, limit rate.Limit, length time.Duration, choose pickInstance) {
	reference := rate.New(limit, 0)
	reference.SetShareExpiry(0, 24*time.Hour, 24*time.Hour)
	reference.SetShare(0, rate.Whole, 0)
	b.after(warmUp, func() {
		b.poisson(seed, 1, demandFraction*limit.Rate, func(r *rand.Rand) {
			i := choose(b.now, r)
			if i == b.killed {
				i = (i + 1) % instanceCount
			}
			b.admit(i, reference.Admit(b.now))
		})
	})
	b.runUntil(warmUp + length)
}

func rateRows(seed uint64, u user) []Row {
	even := func(_ time.Duration, r *rand.Rand) int { return r.IntN(instanceCount) }
	o := u.largestOrganisation()
	limit := rate.Limit{Rate: o.Rate, Burst: o.Burst}
	var rows []Row
	for _, c := range []struct {
		name   string
		choose pickInstance
		killed bool
		length time.Duration
	}{
		{"even demand", even, false, ratesDuration},
		{"all on one instance", func(time.Duration, *rand.Rand) int { return 0 }, false, ratesDuration},
		{"demand moves every 10 s", func(now time.Duration, _ *rand.Rand) int { return int(now/moveInterval) % instanceCount },
			false, ratesDuration},
		{"one instance killed", even, true, ratesDuration},
		{"store out for 15 min", even, false, outageDuration},
	} {
		var figure [2]float64
		for n, loans := range []bool{true, false} {
			sim := newBucketSim(seed, u, loans, limit)
			if c.killed {
				sim.after(warmUp+killTime, func() { sim.killed = 3 })
			}
			sim.run(seed, limit, c.length, c.choose)
			figure[n] = 100 * float64(sim.refusedWithinRate) / float64(sim.total)
		}
		rows = append(rows, Row{Case: c.name, Measure: "refused inside the rate", Unit: "%",
			Policy: figure[0], Baseline: figure[1], Target: ptr(figure[1] / 10)})
	}
	return labelRows("rates", u, rows)
}
