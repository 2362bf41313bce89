package rate

import (
	"slices"
	"time"
)

// Overlend makes a lender keep its part while it is lent, which breaks the
// bound.
func Overlend(b *Bucket) { b.overlend = true }

// PartAt returns the part that a bucket would apply at a time, without a
// change of the bucket.
func PartAt(b *Bucket, now time.Duration) Fraction {
	later := &Bucket{limit: b.limit, upper: b.upper, floor: b.floor, upperUntil: b.upperUntil, floorUntil: b.floorUntil,
		lent: slices.Clone(b.lent), borrowed: slices.Clone(b.borrowed), lentPart: b.lentPart, borrowedPart: b.borrowedPart,
		last: b.last, next: b.next, overlend: b.overlend}
	return later.Part(now)
}
