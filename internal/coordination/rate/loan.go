package rate

import (
	"slices"
	"time"
)

const (
	// LoanTerm is the duration of a loan for its receiver, from its request. The
	// parts of a killed borrower return to their lenders only at its end: no
	// message can shorten it, because a silent borrower may be paused or cut
	// off and still use them. Extensions spread over time as the loans began at
	// different times, so that some parts return soon after a death.
	LoanTerm = time.Second
	// longestTerm is the longest that a lender grants. Instances of the
	// version before ask for 5 s.
	longestTerm = 5 * time.Second
	// acceptLimit is how long after its request a receiver accepts a loan.
	acceptLimit = 500 * time.Millisecond
	// driftPercent and holdMargin lengthen the term for the lender, so that
	// its part returns only after the receiver's ended, on whichever clock.
	driftPercent = 1
	holdMargin   = 100 * time.Millisecond
	// headroom is how much more than its demand an instance keeps or borrows.
	headroom = 1.15
	// returnHeadroom is how much more than its demand an instance holds before
	// it returns loans; the gap to headroom keeps it from borrowing them again.
	returnHeadroom = 1.6
	// quiet is the demand below which an instance keeps nothing for itself,
	// in requests per second.
	quiet = 0.05
	// smallest is the least part that is lent, and chunk is the least part
	// that is asked for. They bound the number of loans, and so of their
	// extensions: with 1/64 a borrower of most of a rate needs twice as many
	// messages.
	smallest = Whole / 4096
	chunk    = Whole / 16
	// maxLoans bounds the loans that an instance holds at a time.
	maxLoans = 128
	// lookahead is the demand that a borrower wants to have tokens for, about
	// the round trip between two regions.
	lookahead = 150 * time.Millisecond
	// RecallDuration is how long a borrower returns everything beyond its present
	// demand after it was told that others ask, and recallSpacing is the least
	// pause before a lender tells it again.
	RecallDuration = 500 * time.Millisecond
	recallSpacing  = RecallDuration / 2
	// extendBefore is the remaining time at which a borrower asks for an
	// extension. It covers acceptLimit and a look every 100 ms.
	extendBefore = 600 * time.Millisecond
)

// LoanRequest is what a borrower wants of one lender.
type LoanRequest struct {
	// Borrower is the instance that asks.
	Borrower string
	// ID is 0 for a new loan, else the loan to extend, or to return if Term is
	// 0. Tokens are then returned with it.
	ID   uint64
	Part Fraction
	// Tokens is in requests and may be a fraction of one.
	Tokens float64
	Term   time.Duration
}

// LoanReply is a lender's reply. The zero value says that it lends nothing.
type LoanReply struct {
	ID     uint64
	Part   Fraction
	Tokens float64
}

func hold(term time.Duration) time.Duration { return term + term*driftPercent/100 + holdMargin }

// Lend lends a part of the own share and tokens with it. The part is lowered
// before the loan is sent. id must be unique over all lenders, so that no other
// loan is ever extended by mistake.
func (b *Bucket) Lend(now time.Duration, ask LoanRequest, id uint64) LoanReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if ask.ID != 0 && ask.Term == 0 {
		b.restore(ask)
		return LoanReply{}
	}
	if ask.ID != 0 {
		return b.extend(ask)
	}
	part := min(b.partOf(ask), b.lendable(hold(ask.Term))-b.kept())
	if b.closed || part < smallest || ask.Term <= 0 || ask.Term > longestTerm {
		return LoanReply{}
	}
	tokens := min(b.tokens, b.limit.Burst*float64(part)/float64(Whole))
	b.tokens -= tokens
	b.lent = append(b.lent, loan{id: id, part: part, until: b.last + hold(ask.Term), peer: ask.Borrower})
	b.lentPart += part
	b.update()
	return LoanReply{ID: id, Part: part, Tokens: tokens}
}

// partOf is the part that an ask needs for its tokens or its rate.
func (b *Bucket) partOf(ask LoanRequest) Fraction {
	byTokens := Fraction(min(1, ask.Tokens/b.limit.Burst) * float64(Whole))
	return max(byTokens, ask.Part, smallest)
}

// lendable is the own part that is not lent and counts until the end of a new
// loan. A loan never outlasts the term of the share that it is a part of, and
// parts that were borrowed are not lent on.
func (b *Bucket) lendable(hold time.Duration) Fraction {
	return b.own(b.last+hold) - b.lentPart
}

// kept is the part that the own demand needs.
func (b *Bucket) kept() Fraction {
	d := b.demand.current(b.last)
	if d < quiet {
		return 0
	}
	need := Fraction(min(1, headroom*d/b.limit.Rate) * float64(Whole))
	return max(0, need-b.borrowedPart)
}

// extend lengthens a loan that has not ended. The lender's part stays lowered
// without a gap, so that the receiver's part may stay raised.
func (b *Bucket) extend(ask LoanRequest) LoanReply {
	free := b.lendable(hold(ask.Term))
	for i := range b.lent {
		if l := &b.lent[i]; l.id == ask.ID {
			if b.closed || free < b.kept() || free < 0 || ask.Term > longestTerm {
				return LoanReply{}
			}
			l.until = max(l.until, b.last+hold(ask.Term))
			b.update()
			return LoanReply{ID: l.id, Part: l.part}
		}
	}
	return LoanReply{}
}

// restore ends a loan that its receiver returned. Returned tokens are dropped if
// the loan has ended, because the part was refilled since.
func (b *Bucket) restore(ask LoanRequest) {
	for i, l := range b.lent {
		if l.id == ask.ID {
			tokens := min(ask.Tokens, b.limit.Burst*float64(l.part)/float64(Whole))
			b.lent = append(b.lent[:i], b.lent[i+1:]...)
			b.lentPart -= l.part
			b.update()
			b.tokens = min(b.capacity, b.tokens+tokens)
			return
		}
	}
}

// Accept takes a lender's reply to a request that was sent at the given time
// and says whether it was in time.
func (b *Bucket) Accept(now, requested time.Duration, lender string, ask LoanRequest, l LoanReply) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	until := requested + ask.Term
	if l.ID == 0 || b.last-requested > acceptLimit || until <= b.last {
		return false
	}
	if ask.ID != 0 {
		return b.prolong(l, until)
	}
	b.borrowed = append(b.borrowed, loan{id: l.ID, part: l.Part, until: until, peer: lender})
	b.borrowedPart += l.Part
	b.update()
	// The lender may still apply a higher burst than this instance.
	tokens := min(l.Tokens, b.limit.Burst*float64(l.Part)/float64(Whole))
	b.tokens = min(b.capacity, b.tokens+tokens)
	return true
}

func (b *Bucket) prolong(l LoanReply, until time.Duration) bool {
	for i := range b.borrowed {
		if held := &b.borrowed[i]; held.id == l.ID {
			held.until = max(held.until, until)
			b.update()
			return true
		}
	}
	return false
}

// StopLending refuses new loans, so that a share can be handed back once the loans
// have ended.
func (b *Bucket) StopLending() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}

// Shortfall returns what the instance wants to borrow from the other holders
// together for the requests that wait and for its demand.
func (b *Bucket) Shortfall(now time.Duration, waiting int) LoanRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	d := b.demand.current(b.last)
	ask := LoanRequest{Term: LoanTerm}
	if d < quiet && waiting == 0 || len(b.borrowed) >= maxLoans {
		return ask
	}
	need := Fraction(min(1, headroom*d/b.limit.Rate) * float64(Whole))
	ask.Part = max(0, need-b.part())
	ask.Tokens = max(0, float64(waiting)+d*lookahead.Seconds()-b.tokens)
	if waiting == 0 && ask.Part == 0 {
		// Refilling covers the demand, and nothing waits.
		ask.Tokens = 0
	}
	return ask
}

// PerLender returns the ask to one of n lenders. It asks each for more than an
// equal part, because some may have nothing to lend.
func (a LoanRequest) PerLender(n int) LoanRequest {
	if n == 0 || a.Part == 0 && a.Tokens == 0 {
		return LoanRequest{}
	}
	const surplus = 1.5
	factor := min(1, surplus/float64(n))
	return LoanRequest{Part: max(chunk, Fraction(float64(a.Part)*factor)), Tokens: a.Tokens * factor, Term: a.Term}
}

// ReturnUnused gives up loans that the demand no longer needs and returns the
// messages that tell their lenders. Without them a caller that moves to another
// instance would find all parts lent to its former one until the term ends.
func (b *Bucket) ReturnUnused(now time.Duration) []LoanChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	d := returnHeadroom * b.demand.at(b.last)
	if b.last < b.wantedUntil {
		d = headroom * b.demand.current(b.last)
	}
	need := Fraction(min(1, d/b.limit.Rate) * float64(Whole))
	var list []LoanChange
	kept := b.borrowed[:0]
	for _, l := range b.borrowed {
		if b.part()-l.part < need {
			kept = append(kept, l)
			continue
		}
		b.borrowedPart -= l.part
		before := b.tokens
		b.update()
		list = append(list, LoanChange{l.peer, LoanRequest{ID: l.id, Tokens: before - b.tokens}})
	}
	b.borrowed = kept
	b.update()
	return list
}

// BorrowersToRecall returns the instances to tell that another one asks for parts, after
// a reply that granted less than it asked for. Telling them frees nothing by
// itself: a part is lent again only after its borrower returned it or its loan
// ended, so that a lost or ignored recall costs time but never the bound.
func (b *Bucket) BorrowersToRecall(now time.Duration, ask LoanRequest, granted LoanReply) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if ask.ID != 0 || granted.Part >= ask.Part || b.last-b.recalled < recallSpacing && b.recalled > 0 {
		return nil
	}
	var peers []string
	for _, l := range b.lent {
		if l.peer != "" && l.peer != ask.Borrower && !slices.Contains(peers, l.peer) {
			peers = append(peers, l.peer)
		}
	}
	if len(peers) > 0 {
		b.recalled = b.last
	}
	return peers
}

// NoteRecall notes that others ask for parts, so that Returns gives up all that the
// present demand does not need.
func (b *Bucket) NoteRecall(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.wantedUntil = b.last + RecallDuration
}

// LoanChange is an extension or a return of a loan at its lender.
type LoanChange struct {
	Lender  string
	Request LoanRequest
}

// Extensions returns the loans that end soon and that the demand still needs.
func (b *Bucket) Extensions(now time.Duration) []LoanChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	need := Fraction(min(1, headroom*b.demand.current(b.last)/b.limit.Rate) * float64(Whole))
	spare := b.part() - need
	var list []LoanChange
	for _, l := range b.borrowed {
		if l.until-b.last > extendBefore {
			continue
		}
		if l.part <= spare {
			spare -= l.part
			continue
		}
		list = append(list, LoanChange{l.peer, LoanRequest{ID: l.id, Part: l.part, Term: LoanTerm}})
	}
	return list
}
