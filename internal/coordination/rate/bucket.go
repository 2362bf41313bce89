// Package rate limits the requests of an organisation by shares of one
// fleet-wide token bucket and by loans between the holders of shares.
package rate

import (
	"math"
	"sync"
	"time"
)

// Fraction is a part of an organisation's rate and, equally, of its burst, in
// billionths. Integers make sums of parts exact.
type Fraction int64

// Whole is the sum that the parts of all holders never exceed.
const Whole Fraction = 1_000_000_000

// never is the time of an event that is not planned.
const never = time.Duration(math.MaxInt64)

// Limit is the fleet-wide limit of an organisation.
type Limit struct {
	// Rate is in requests per second.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// loan is a part that was lent or borrowed until a time on the local clock.
type loan struct {
	id    uint64
	part  Fraction
	until time.Duration
	// peer is the lender of a borrowed part and the borrower of a lent one.
	peer string
}

// Bucket is one instance's part of an organisation's token bucket. Its part is
// what it owns, less what it lent, plus what it borrowed; the parts of all
// instances sum to at most Whole at every moment, and each bucket holds at most
// its part of the burst and refills with its part of the rate. It is safe for
// concurrent use. All times are on the local clock.
type Bucket struct {
	mu    sync.Mutex
	limit Limit
	// upper and floor are the halves of the own share, which count until
	// their times.
	upper, floor           Fraction
	upperUntil, floorUntil time.Duration
	lent, borrowed         []loan
	// lentPart and borrowedPart are the sums of lent and borrowed.
	lentPart, borrowedPart Fraction
	tokens                 float64
	// capacity and perSecond are the bucket's part of the limit at last.
	capacity, perSecond float64
	// last is the time up to which tokens were added; next is the first later
	// time at which the part changes.
	last, next time.Duration
	demand     demand
	// wantedUntil is how long others are known to ask for parts, and recalled
	// is when the borrowers of own parts were last told so.
	wantedUntil, recalled time.Duration
	// closed refuses new loans.
	closed bool
	// overlend leaves the lender's part as it is, so that tests can show that
	// their check finds a broken bound.
	overlend bool
}

// New returns an empty bucket without a share.
func New(limit Limit, now time.Duration) *Bucket {
	b := &Bucket{limit: limit, last: now}
	b.update()
	return b
}

// SetLimit puts a new fleet-wide limit in force. Shares and loans are
// fractions, so that they scale at once.
func (b *Bucket) SetLimit(now time.Duration, limit Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.limit = limit
	b.update()
}

// SetShare replaces the halves of the own share. A grown share adds no tokens.
func (b *Bucket) SetShare(now time.Duration, upper, floor Fraction) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.upper, b.floor = upper, floor
	b.update()
}

// SetShareExpiry replaces the times until which the halves of the share count.
func (b *Bucket) SetShareExpiry(now, upperUntil, floorUntil time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.upperUntil, b.floorUntil = upperUntil, floorUntil
	b.update()
}

// Admit counts a request and takes a token for it if there is one.
func (b *Bucket) Admit(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.demand.add(now)
	return b.take(now)
}

// CountRequest counts a request that waits behind others.
func (b *Bucket) CountRequest(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.demand.add(now)
}

// Take takes a token for a request that was counted before.
func (b *Bucket) Take(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.take(now)
}

func (b *Bucket) take(now time.Duration) bool {
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Part returns the part of the limit that the bucket applies now.
func (b *Bucket) Part(now time.Duration) Fraction {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return b.part()
}

// Lent returns the part that is lent out now.
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

// own is the own share that counts at a time.
func (b *Bucket) own(at time.Duration) Fraction {
	var part Fraction
	if at < b.upperUntil {
		part += b.upper
	}
	if at < b.floorUntil {
		part += b.floor
	}
	return part
}

func (b *Bucket) part() Fraction {
	if b.overlend {
		return b.own(b.last) + b.borrowedPart
	}
	return max(0, b.own(b.last)-b.lentPart) + b.borrowedPart
}

// advance adds the tokens since the last call. A change of the part in between
// clips the tokens at that moment: a process that was paused past the end of a
// loan must not refill as if the part had been the same all along.
func (b *Bucket) advance(now time.Duration) {
	for b.next <= now {
		b.refill(b.next)
		b.lent, b.lentPart = expire(b.lent, b.last)
		b.borrowed, b.borrowedPart = expire(b.borrowed, b.last)
		b.update()
	}
	b.refill(now)
}

func (b *Bucket) refill(now time.Duration) {
	if now <= b.last {
		return
	}
	b.tokens = min(b.capacity, b.tokens+b.perSecond*(now-b.last).Seconds())
	b.last = now
}

// update is called after a change of the part.
func (b *Bucket) update() {
	part := float64(b.part()) / float64(Whole)
	b.perSecond, b.capacity = part*b.limit.Rate, part*b.limit.Burst
	b.tokens = min(b.tokens, b.capacity)
	b.next = never
	for _, at := range []time.Duration{b.upperUntil, b.floorUntil} {
		if at > b.last {
			b.next = min(b.next, at)
		}
	}
	for _, list := range [][]loan{b.lent, b.borrowed} {
		for _, l := range list {
			b.next = min(b.next, l.until)
		}
	}
}

func expire(list []loan, now time.Duration) ([]loan, Fraction) {
	kept, sum := list[:0], Fraction(0)
	for _, l := range list {
		if l.until > now {
			kept = append(kept, l)
			sum += l.part
		}
	}
	return kept, sum
}
