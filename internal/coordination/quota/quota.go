// Package quota enforces fleet-wide rate limits of organisations. Instances report
// their demand to each other, and each instance takes the share of a limit that
// its demand needs. An instance that is cut off from the others uses a fixed
// share, which the others leave free for it. Package rate enforces limits strictly,
// with shares that are assigned through the store.
package quota

import (
	"maps"
	"sync"
	"time"

	"tamarackrun/internal/state/configuration"
)

const (
	// cutOffShare is the fraction of an equal share that an instance uses while it
	// is cut off. With a limit of 1.6 times the demand, 0.5 serves 80% of an evenly
	// distributed demand.
	cutOffShare = 0.5
	// reservedShare is the fraction of each limit that is divided equally whatever
	// the demand, so that an instance admits the first requests of an organisation
	// that is over its limit elsewhere.
	reservedShare = 0.1
	// demandHeadroom is the factor by which the needed rate exceeds the measured
	// demand, because requests arrive unevenly.
	demandHeadroom = 1.15
	// noiseAllowance is the factor by which the demand may exceed an earlier reported one and
	// still count at once. Without it, the random part of the demand takes 6% off the limit.
	noiseAllowance = 1.1
	// demandTimeConstant is the time constant of the measured demand.
	demandTimeConstant = 2 * time.Second
	// The fleet may admit at most (rate x window + burst) x (1 + overage) + slack
	// requests in any window. The tolerance is what this bound allows beyond the
	// limit itself, and is used in three ways. The fraction capacityTolerance is
	// added to the capacities of the buckets, because the requests of a small
	// organisation spread unevenly over many instances. The fraction startTolerance
	// is the initial fill of a new process's buckets: when all processes were killed
	// at once, callers return before the buckets have filled. The rest covers demand
	// that moves between instances from one report to the next.
	capacityTolerance = 0.6
	startTolerance    = 0.25
	// concentratedRate is the rate per instance, in requests per second, up to which an
	// organisation's limit is held by one instance of each region. Split over many
	// instances, it would be fractions of tokens, and requests inside it would be refused.
	concentratedRate = 0.5
	// spareFraction is the part of a bucket that late requests leave for others. If an organisation stays within
	// its limit, its buckets are nearly full.
	spareFraction = 0.25
	// minCapacity is the least capacity of a bucket, in requests. With a capacity
	// below 1 no request could ever be admitted.
	minCapacity = 1
)

// bucket is the instance's share of one organisation's token bucket.
type bucket struct {
	limit configuration.Organisation
	// share is the instance's share of the limit, from 0 to 1.
	share  float64
	tokens float64
	// demand is the average demand at the time updated, in requests per second.
	demand float64
	// reportedDemands holds the demands of the latest reports, the newest last.
	// effectiveDemand determines the share: it is the demand for which the other
	// instances have had time to make room.
	reportedDemands []float64
	effectiveDemand float64
	// updated is the time up to which tokens and demand are computed.
	updated time.Time
	// extraCapacity is added to the share of the burst, in requests.
	extraCapacity float64
}

// Limiter holds the instance's shares of all organisations' limits. It is safe for
// concurrent use.
type Limiter struct {
	mu sync.Mutex
	// window, overage and slack are the parameters of the bound; see SetBound.
	window         time.Duration
	overage, slack float64

	// started is the start time of the process.
	started time.Time
	// buckets holds the buckets by organisation.
	buckets map[string]*bucket
	fleet   FleetState
}

// FleetState is an instance's view of the fleet, from which it computes its shares.
type FleetState struct {
	// Members is the number of instances. Silent is the number of those that may be
	// cut off and use their fixed shares.
	Members, Silent int
	// CutOff is true if the instance has lost contact with most of the others.
	CutOff bool
	// TotalDemand returns the demand of an organisation on all instances that are not
	// silent, in requests per second. It may be nil if no demand is known.
	TotalDemand func(organisation string) float64
	// ReportHops is the number of reports after which all instances know a demand, at
	// least 1.
	ReportHops int
	// Regions is the number of regions with instances, and 0 if it is not known. Holds
	// reports whether this instance holds the concentrated limits of an organisation in
	// its region. The holders of all organisations may have changed at HeldSince, but not
	// later.
	Regions   int
	Holds     func(organisation string) bool
	HeldSince time.Time
}

// concentrated reports whether the limit is held by one instance of each region. Instances
// that are cut off can't reach the holders and use their fixed shares.
func (s *FleetState) concentrated(o configuration.Organisation) bool {
	return !s.CutOff && s.Regions > 0 && s.Members > s.Regions && o.Rate > 0 && o.Rate <= concentratedRate*float64(s.Members)
}

// New returns a limiter for an instance that knows no other instance yet.
func New(now time.Time) *Limiter {
	return &Limiter{started: now, buckets: map[string]*bucket{}, fleet: FleetState{Members: 1, CutOff: true}}
}

// Return puts back the token of a request that was admitted but did not run.
func (l *Limiter) Return(now time.Time, organisation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[organisation]; b != nil {
		b.advance(now)
		b.tokens = min(b.capacity(), b.tokens+1)
	}
}

// Lend takes a token for another instance. It reports whether there was one.
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

// SpareTokens returns the number of tokens that the instance can lend, by
// organisation.
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

// SetBound sets the bound on the requests that the fleet may admit in any window:
// what an organisation's limit allows times (1 + overage), plus slack, in requests.
func (l *Limiter) SetBound(window time.Duration, overage, slack float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.window, l.overage, l.slack = window, overage, slack
}

// Admit counts a request and takes a token for it. If there is none, retryAfter is
// the time until there will be one.
func (l *Limiter) Admit(now time.Time, organisation configuration.Organisation) (admitted bool, retryAfter time.Duration) {
	return l.admit(now, organisation, 0)
}

// AdmitSpare is like Admit, but leaves spareFraction of the bucket for requests that can still be answered in time.
func (l *Limiter) AdmitSpare(now time.Time, organisation configuration.Organisation) (admitted bool, retryAfter time.Duration) {
	return l.admit(now, organisation, spareFraction)
}

// admit counts a request and takes a token for it if the given part of the bucket stays filled.
func (l *Limiter) admit(now time.Time, organisation configuration.Organisation, left float64) (admitted bool, retryAfter time.Duration) {
	if organisation.Rate <= 0 {
		return true, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[organisation.Name]
	if b == nil {
		// The bucket fills from the start of the process: a restarted process must
		// not admit the burst of its predecessor a second time, and a new holder not that of
		// the one before.
		b = &bucket{limit: organisation, updated: l.started}
		if l.fleet.concentrated(organisation) && l.fleet.HeldSince.After(l.started) {
			b.updated = l.fleet.HeldSince
		}
		b.share = l.shareOf(organisation.Name, b)
		b.tokens = startTolerance * l.tolerance(organisation)
		l.buckets[organisation.Name] = b
	}
	b.advance(now)
	b.limit, b.extraCapacity = organisation, capacityTolerance*l.tolerance(organisation)
	b.demand += 1 / demandTimeConstant.Seconds()
	b.tokens = min(b.tokens, b.capacity())
	// A small bucket has no more than one token at any time.
	needed := min(b.capacity(), 1+left*b.capacity())
	if b.tokens >= needed {
		b.tokens--
		return true, 0
	}
	return false, time.Duration((needed - b.tokens) / max(b.share*b.limit.Rate, 0.1) * float64(time.Second))
}

// tolerance returns the instance's equal share of what the bound allows beyond the
// limit, in requests.
func (l *Limiter) tolerance(o configuration.Organisation) float64 {
	holders := l.fleet.Members
	if l.fleet.concentrated(o) {
		holders = l.fleet.Regions
	}
	return ((o.Rate*l.window.Seconds()+o.Burst)*l.overage + l.slack) / float64(holders)
}

// Concentrated reports whether the organisation's limit is held by one instance of each
// region.
func (l *Limiter) Concentrated(organisation configuration.Organisation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.concentrated(organisation)
}

// WithinLimit reports whether the demand of the whole fleet is below the organisation's rate,
// so that another holder may have a token.
func (l *Limiter) WithinLimit(organisation configuration.Organisation) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fleet.TotalDemand != nil && l.fleet.TotalDemand(organisation.Name) < organisation.Rate
}

// capacity returns the capacity of the bucket in requests.
func (b *bucket) capacity() float64 { return max(minCapacity, b.share*b.limit.Burst+b.extraCapacity) }

// advance brings the tokens and the demand up to date.
func (b *bucket) advance(now time.Time) {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.tokens = min(b.capacity(), b.tokens+b.share*b.limit.Rate*elapsed.Seconds())
	b.demand -= b.demand * min(1, elapsed.Seconds()/demandTimeConstant.Seconds())
}

// Forget drops the buckets for which keep returns false.
func (l *Limiter) Forget(keep func(organisation string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.buckets, func(name string, _ *bucket) bool { return !keep(name) })
}

// Share returns the instance's share of an organisation's limit, from 0 to 1.
func (l *Limiter) Share(organisation string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[organisation]; b != nil {
		return b.share
	}
	return 0
}

// FleetDemand returns the demand of an organisation on the whole fleet as far as this instance knows it, in requests per second.
func (l *Limiter) FleetDemand(organisation string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fleet.TotalDemand == nil {
		return 0
	}
	return l.fleet.TotalDemand(organisation)
}

// ReportDemand returns the demand of each organisation in requests per second, for a
// report to the other instances. An increase raises the instance's own share only
// ReportHops reports later, after the others have lowered theirs; a decrease takes
// effect at once.
func (l *Limiter) ReportDemand(now time.Time) map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	demands := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		b.advance(now)
		hops := max(1, l.fleet.ReportHops)
		b.effectiveDemand = b.demand
		if len(b.reportedDemands) < hops {
			b.effectiveDemand = 0
		}
		b.reportedDemands = b.reportedDemands[max(0, len(b.reportedDemands)-hops):]
		for _, reported := range b.reportedDemands {
			b.effectiveDemand = min(b.effectiveDemand, noiseAllowance*reported)
		}
		b.reportedDemands = append(b.reportedDemands, b.demand)
		demands[name] = b.demand
	}
	return demands
}

// SetFleetState recomputes all shares for a new state of the fleet.
func (l *Limiter) SetFleetState(now time.Time, fleet FleetState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet = fleet
	for name, b := range l.buckets {
		b.advance(now)
		b.share = l.shareOf(name, b)
		b.extraCapacity = capacityTolerance * l.tolerance(b.limit)
		b.tokens = min(b.tokens, b.capacity())
		if b.share == 0 {
			// The holder uses the whole share, and this instance none of it.
			b.tokens = 0
		}
	}
}

// shareOf returns the share that the instance's demand needs plus an equal part of
// what no instance needs. If the limit is lower than the total need, it is divided
// in proportion to the demands. An instance that is cut off gets its fixed share.
func (l *Limiter) shareOf(organisation string, b *bucket) float64 {
	fleet := l.fleet
	equalShare := 1 / float64(fleet.Members)
	if fleet.CutOff {
		return cutOffShare * equalShare
	}
	available := 1 - reservedShare - cutOffShare*equalShare*float64(fleet.Silent)
	if fleet.concentrated(b.limit) {
		if !fleet.Holds(organisation) {
			return 0
		}
		equalShare = 1 / float64(fleet.Regions)
	}
	ownNeed := demandHeadroom * b.effectiveDemand / b.limit.Rate
	totalNeed := ownNeed
	if fleet.TotalDemand != nil {
		totalNeed = max(totalNeed, demandHeadroom*fleet.TotalDemand(organisation)/b.limit.Rate)
	}
	if totalNeed >= available {
		return reservedShare*equalShare + available*ownNeed/totalNeed
	}
	return reservedShare*equalShare + ownNeed + (available-totalNeed)*equalShare
}
