package rate

import (
	"slices"
	"time"
)

// KeepLentPart makes a lender use its part while the part is lent, which breaks the
// bound.
func KeepLentPart(b *Bucket) { b.keepsLentPart = true }

// PartAt returns the part that a bucket will enforce at a time. It does not change the
// bucket.
func PartAt(b *Bucket, now time.Duration) Fraction {
	later := &Bucket{limit: b.limit, upper: b.upper, floor: b.floor, upperUntil: b.upperUntil, floorUntil: b.floorUntil,
		lent: slices.Clone(b.lent), borrowed: slices.Clone(b.borrowed), lentPart: b.lentPart, borrowedPart: b.borrowedPart,
		updated: b.updated, nextChange: b.nextChange, keepsLentPart: b.keepsLentPart}
	return later.Part(now)
}
