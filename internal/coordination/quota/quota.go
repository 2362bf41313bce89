// Package quota limits the requests of organisations over the whole fleet.
// Instances report their demand to each other, and each takes the part of the
// limit that its demand needs. An instance that is cut off from the others has a
// fixed part, which the others leave to it.
package quota

import (
	"sync"
	"time"

	"tamarackrun/internal/state/configuration"
)

const (
	// cutOffPart is the part of an equal share that an instance has while it is
	// cut off. With a limit of 1.6 times the demand, 0.5 serves 80% of an even
	// demand.
	cutOffPart = 0.5
	// floorPart is divided equally in any case, so that an instance admits the
	// first requests of an organisation that is over its limit elsewhere.
	floorPart = 0.1
	// headroom is how much more than its measured demand an instance needs for
	// requests that come unevenly.
	headroom = 1.15
	// demandTime is the time constant of the measured demand.
	demandTime = 2 * time.Second
	// The users' bound over any span is (rate x span + burst) x (1 + overage) +
	// slack. capacityPart of what it leaves above the limit is added to the
	// capacities of the buckets, because requests of a small organisation come
	// unevenly to many instances. startPart of it is given to buckets of new
	// processes: when all were killed at once, callers are back before buckets
	// have filled. The rest is for demand that moves between two reports.
	capacityPart = 0.6
	startPart    = 0.25
	// minCapacity is the least burst of an instance's part in requests, as
	// less than one request could never be admitted.
	minCapacity = 1
	// forgetDemand is the rate below which an organisation is not reported, in
	// requests per second.
	forgetDemand = 0.05
)

// bucket is the instance's part of one organisation's token bucket.
type bucket struct {
	limit configuration.Organisation
	// part is the instance's part of the limit, from 0 to 1.
	part   float64
	tokens float64
	// demand is in requests per second, averaged at last.
	demand float64
	// reported is the demand of the latest report, and known the one that the
	// others have had an interval of reports to make room for.
	reported, known float64
	last            time.Time
	// extra is added to the capacity, in requests.
	extra float64
}

// Limiter holds the parts of all organisations. It is safe for concurrent use.
type Limiter struct {
	mu sync.Mutex
	// span, overage and slack are those of the users' bound.
	span           time.Duration
	overage, slack float64

	started  time.Time
	buckets  map[string]*bucket
	division FleetState
}

// FleetState says how the limits are divided at present.
type FleetState struct {
	// Members is the number of instances, and Silent the number of those that
	// may be cut off and use their fixed parts.
	Members, Silent int
	// CutOff says that the instance has lost most of the others.
	CutOff bool
	// TotalDemand are the demands of all instances by organisation, in requests per
	// second.
	TotalDemand map[string]float64
}

// New returns a limiter of an instance that has not heard of any other.
func New(now time.Time) *Limiter {
	return &Limiter{started: now, buckets: map[string]*bucket{}, division: FleetState{Members: 1, CutOff: true}}
}

// Return gives back the token of a request that was admitted and did not run.
func (l *Limiter) Return(now time.Time, organisation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[organisation]; b != nil {
		b.advance(now)
		b.tokens = min(b.capacity(), b.tokens+1)
	}
}

// Lend takes a token for another instance if there is one to spare.
func (l *Limiter) Lend(now time.Time, organisation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[organisation]
	if b == nil {
		return false
	}
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// SpareTokens returns how many tokens the instance would lend, by organisation.
func (l *Limiter) SpareTokens(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	spares := map[string]float64{}
	for name, b := range l.buckets {
		b.advance(now)
		if b.tokens >= 1 {
			spares[name] = b.tokens
		}
	}
	return spares
}

// SetBound takes the users' bound on the requests of any span: what an
// organisation's limit allows times (1 + overage), and slack, in requests.
func (l *Limiter) SetBound(span time.Duration, overage, slack float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.span, l.overage, l.slack = span, overage, slack
}

// Admit counts a request and takes a token for it. If there is none, after is
// when there will be one.
func (l *Limiter) Admit(now time.Time, organisation configuration.Organisation) (admitted bool, after time.Duration) {
	if organisation.Rate <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[organisation.Name]
	if b == nil {
		// A restarted process must not have the burst of the one before it, so
		// that the bucket fills from the start of the process.
		b = &bucket{limit: organisation, last: l.started}
		b.part = l.part(organisation.Name, b)
		b.tokens = startPart * l.above(organisation)
		l.buckets[organisation.Name] = b
	}
	b.advance(now)
	b.limit, b.extra = organisation, capacityPart*l.above(organisation)
	b.demand += 1 / demandTime.Seconds()
	b.tokens = min(b.tokens, b.capacity())
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	return false, time.Duration((1 - b.tokens) / max(b.part*b.limit.Rate, 0.1) * float64(time.Second))
}

// above is the instance's equal part of what the users' bound leaves above the
// limit, in requests.
func (l *Limiter) above(o configuration.Organisation) float64 {
	return ((o.Rate*l.span.Seconds()+o.Burst)*l.overage + l.slack) / float64(l.division.Members)
}

func (b *bucket) capacity() float64 { return max(minCapacity, b.part*b.limit.Burst+b.extra) }

func (b *bucket) advance(now time.Time) {
	passed := now.Sub(b.last)
	if passed <= 0 {
		return
	}
	b.last = now
	b.tokens = min(b.capacity(), b.tokens+b.part*b.limit.Rate*passed.Seconds())
	b.demand -= b.demand * min(1, passed.Seconds()/demandTime.Seconds())
}

// Share returns the instance's part of an organisation's limit, from 0 to 1.
func (l *Limiter) Share(organisation string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[organisation]; b != nil {
		return b.part
	}
	return 0
}

// ReportDemand returns the demand of each organisation in requests per second, for a
// report. A larger demand counts for the own part from the next report on, when
// the others have made their parts smaller; a smaller one counts at once.
func (l *Limiter) ReportDemand(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	demands := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		b.advance(now)
		b.known, b.reported = min(b.demand, b.reported), b.demand
		if b.demand >= forgetDemand {
			demands[name] = b.demand
		}
	}
	return demands
}

// SetFleetState puts a new division in force.
func (l *Limiter) SetFleetState(now time.Time, d FleetState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.division = d
	for name, b := range l.buckets {
		b.advance(now)
		b.part = l.part(name, b)
		b.tokens = min(b.tokens, b.capacity())
	}
}

// part is what the instance's demand needs and an equal part of what nobody
// needs, or a part in proportion to its demand if the limit is too low.
func (l *Limiter) part(organisation string, b *bucket) float64 {
	d := l.division
	equal := 1 / float64(d.Members)
	if d.CutOff {
		return cutOffPart * equal
	}
	free := 1 - floorPart - cutOffPart*equal*float64(d.Silent)
	need := headroom * b.known / b.limit.Rate
	needed := max(need, headroom*d.TotalDemand[organisation]/b.limit.Rate)
	if needed >= free {
		return floorPart*equal + free*need/needed
	}
	return floorPart*equal + need + (free-needed)*equal
}
