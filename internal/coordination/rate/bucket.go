// Package rate enforces an organisation's fleet-wide rate limit without a central
// counter. Each holder owns a share of the limit's token bucket, and holders lend
// parts of their shares to instances with more demand. Package share assigns the
// shares through the store. Package quota enforces limits without the store, but under
// a bound that allows some requests beyond the limit.
package rate

import (
	"math"
	"sync"
	"time"
)

// Fraction is a part of a limit in billionths: the same fraction of its rate and of its
// burst. It is an integer so that sums of parts are exact.
type Fraction int64

// Whole is the entire limit. The parts of all instances never sum to more.
const Whole Fraction = 1_000_000_000

// never is the time of an event that is not scheduled.
const never = time.Duration(math.MaxInt64)

// Limit is the fleet-wide limit of an organisation.
type Limit struct {
	// Rate is the allowed rate in requests per second.
	Rate float64
	// Burst is the allowed burst in requests.
	Burst float64
}

// loan is a part that was lent or borrowed.
type loan struct {
	id   uint64
	part Fraction
	// until is the end of the loan on the local clock.
	until time.Duration
	// peer is the lender of a borrowed part, or the borrower of a lent part.
	peer string
}

// Bucket is one instance's part of an organisation's token bucket. The part is the
// instance's own share, less what it lent, plus what it borrowed. The bucket holds at
// most its part of the burst and refills at its part of the rate. The parts of all
// instances sum to at most Whole at every moment. Bucket is safe for concurrent use.
// All times are on the local clock.
type Bucket struct {
	mu    sync.Mutex
	limit Limit
	// upper and floor are the two halves of the instance's own share. They are valid
	// until upperUntil and floorUntil.
	upper, floor           Fraction
	upperUntil, floorUntil time.Duration
	lent, borrowed         []loan
	// lentPart and borrowedPart are the sums of lent and borrowed.
	lentPart, borrowedPart Fraction
	tokens                 float64
	// capacity and refillRate are the part of the burst and of the rate since updated.
	capacity, refillRate float64
	// updated is the time up to which tokens were added. nextChange is the first later
	// time at which a half of the share or a loan ends.
	updated, nextChange time.Duration
	demand              demand
	// recallUntil is the time until which the instance returns all parts that its
	// present demand does not need, because others need them. lastRecall is when
	// its own borrowers were last told to do so.
	recallUntil, lastRecall time.Duration
	// lendingStopped is true if new loans are refused.
	lendingStopped bool
	// keepsLentPart is a deliberate fault for tests, which must find that it breaks the
	// bound: a lent part still counts for the lender.
	keepsLentPart bool
}

// New returns an empty bucket without a share.
func New(limit Limit, now time.Duration) *Bucket {
	b := &Bucket{limit: limit, updated: now}
	b.recompute()
	return b
}

// SetLimit sets a new fleet-wide limit. Shares and loans are fractions of the limit and
// scale with it at once.
func (b *Bucket) SetLimit(now time.Duration, limit Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.limit = limit
	b.recompute()
}

// SetShare sets the halves of the instance's own share. A larger share adds no tokens.
func (b *Bucket) SetShare(now time.Duration, upper, floor Fraction) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.upper, b.floor = upper, floor
	b.recompute()
}

// SetShareExpiry sets the times until which the halves of the share are valid.
func (b *Bucket) SetShareExpiry(now, upperUntil, floorUntil time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.upperUntil, b.floorUntil = upperUntil, floorUntil
	b.recompute()
}

// Admit counts a request and takes a token for it. It reports whether there was one.
func (b *Bucket) Admit(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.demand.count(now)
	return b.take(now)
}

// CountRequest counts a request that has to wait behind others for a token.
func (b *Bucket) CountRequest(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.demand.count(now)
}

// Take takes a token for a request that was counted before. It reports whether there
// was one.
func (b *Bucket) Take(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(now)
}

// take takes a token and reports whether there was one. The caller holds b.mu.
func (b *Bucket) take(now time.Duration) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Part returns the part of the limit that the bucket enforces now.
func (b *Bucket) Part(now time.Duration) Fraction {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.currentPart()
}

// Lent returns the part that is lent to other instances now.
func (b *Bucket) Lent(now time.Duration) Fraction {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.lentPart
}

// Limit returns the fleet-wide limit in force.
func (b *Bucket) Limit() Limit {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

// ownShareAt returns the part of the instance's own share that is valid at a time.
func (b *Bucket) ownShareAt(at time.Duration) Fraction {
	var part Fraction
	if at < b.upperUntil {
		part += b.upper
	}
	if at < b.floorUntil {
		part += b.floor
	}
	return part
}

// currentPart returns the part at the time updated.
func (b *Bucket) currentPart() Fraction {
	if b.keepsLentPart {
		return b.ownShareAt(b.updated) + b.borrowedPart
	}
	return max(0, b.ownShareAt(b.updated)-b.lentPart) + b.borrowedPart
}

// advance adds the tokens since the last call. If the part changed in between, the tokens
// are limited to the new capacity at the time of the change: a process that was paused
// past the end of a loan must not refill as if the loan had not ended.
func (b *Bucket) advance(now time.Duration) {
	for b.nextChange <= now {
		b.refill(b.nextChange)
		b.lent, b.lentPart = dropExpired(b.lent, b.updated)
		b.borrowed, b.borrowedPart = dropExpired(b.borrowed, b.updated)
		b.recompute()
	}
	b.refill(now)
}

// refill adds tokens up to now at the present rate.
func (b *Bucket) refill(now time.Duration) {
	if now <= b.updated {
		return
	}
	b.tokens = min(b.capacity, b.tokens+b.refillRate*(now-b.updated).Seconds())
	b.updated = now
}

// recompute derives the rate, the capacity and nextChange after a change of the part.
func (b *Bucket) recompute() {
	part := float64(b.currentPart()) / float64(Whole)
	b.refillRate, b.capacity = part*b.limit.Rate, part*b.limit.Burst
	b.tokens = min(b.tokens, b.capacity)
	b.nextChange = never
	for _, at := range []time.Duration{b.upperUntil, b.floorUntil} {
		if at > b.updated {
			b.nextChange = min(b.nextChange, at)
		}
	}
	for _, list := range [][]loan{b.lent, b.borrowed} {
		for _, l := range list {
			b.nextChange = min(b.nextChange, l.until)
		}
	}
}

// dropExpired removes the loans that have ended and returns the sum of the others.
func dropExpired(list []loan, now time.Duration) ([]loan, Fraction) {
	kept, sum := list[:0], Fraction(0)
	for _, l := range list {
		if l.until > now {
			kept = append(kept, l)
			sum += l.part
		}
	}
	return kept, sum
}
