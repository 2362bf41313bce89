package rate

// Overlend makes a lender keep its part while it is lent, which breaks the
// bound.
func Overlend(b *Bucket) { b.overlend = true }
