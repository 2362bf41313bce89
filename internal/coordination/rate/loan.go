package rate

import (
	"slices"
	"time"
)

const (
	// LoanTerm is the duration of a loan for the borrower, from its request. The parts
	// of a killed borrower return to their lenders only at the end of the term. Nothing
	// can shorten it, because a borrower that does not answer may be paused or cut off
	// and still use the parts. Loans begin, and so end, at different times, so that
	// some parts return soon after a borrower was killed.
	LoanTerm = time.Second
	// maxLoanTerm is the longest term that a lender grants. Instances of the previous
	// version ask for 5 s.
	maxLoanTerm = 5 * time.Second
	// acceptWindow is how long after its request a borrower accepts a loan.
	acceptWindow = 500 * time.Millisecond
	// driftPercent and lenderMargin lengthen the term for the lender, so that the part
	// returns to the lender only after it ended for the borrower, even if the clocks
	// drift.
	driftPercent = 1
	lenderMargin = 100 * time.Millisecond
	// demandHeadroom is the factor by which the rate that an instance keeps or borrows
	// exceeds its demand.
	demandHeadroom = 1.15
	// returnHeadroom is the factor above its demand from which an instance returns
	// loans. The gap to demandHeadroom keeps it from borrowing them again.
	returnHeadroom = 1.6
	// minDemand is the demand, in requests per second, below which an instance keeps no
	// part for itself and borrows only for requests that wait.
	minDemand = 0.05
	// minLoanPart is the least part that is lent, and minRequestPart the least part
	// that is requested. They limit the number of loans and of their extensions. With
	// 1/64 as the least request, a borrower of most of a limit needs twice as many
	// messages.
	minLoanPart    = Whole / 4096
	minRequestPart = Whole / 16
	// maxBorrowedLoans is the maximum number of loans that a borrower has at a time.
	maxBorrowedLoans = 128
	// lookahead is the time for which a borrower requests tokens in advance, about the
	// round trip between two regions.
	lookahead = 150 * time.Millisecond
	// RecallDuration is how long after a recall a borrower returns everything that its
	// present demand does not need. minRecallInterval is the least time between two
	// recalls by a lender.
	RecallDuration    = 500 * time.Millisecond
	minRecallInterval = RecallDuration / 2
	// extendBefore is the remaining time of a loan at which the borrower asks for an
	// extension. It covers acceptWindow and a check every 100 ms.
	extendBefore = 600 * time.Millisecond
)

// LoanRequest is a borrower's request to a lender: for a new loan, or to extend or
// return a loan.
type LoanRequest struct {
	// Borrower is the name of the borrowing instance.
	Borrower string
	// ID is 0 for a new loan. Otherwise it is the loan to extend, or to return if Term
	// is 0.
	ID   uint64
	Part Fraction
	// Tokens is the number of tokens to borrow or to return, and need not be whole.
	Tokens float64
	Term   time.Duration
}

// LoanReply is a lender's reply to a request. The zero value means that nothing is lent.
type LoanReply struct {
	ID     uint64
	Part   Fraction
	Tokens float64
}

// lenderTerm returns the duration of a loan for the lender, from its duration for the
// borrower.
func lenderTerm(term time.Duration) time.Duration { return term + term*driftPercent/100 + lenderMargin }

// Lend answers a request of another instance. For a new loan, it lends a part of the
// instance's own share together with tokens, and lowers its own part before the reply is
// sent. id is the ID of a new loan. It must be unique over all lenders, so that no other
// loan is ever extended by mistake.
func (b *Bucket) Lend(now time.Duration, request LoanRequest, id uint64) LoanReply {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if request.ID != 0 && request.Term == 0 {
		b.takeBack(request)
		return LoanReply{}
	}
	if request.ID != 0 {
		return b.extend(request)
	}
	part := min(b.requestedPart(request), b.lendablePart(lenderTerm(request.Term))-b.reservedPart())
	if b.lendingStopped || part < minLoanPart || request.Term <= 0 || request.Term > maxLoanTerm {
		return LoanReply{}
	}
	tokens := min(b.tokens, b.limit.Burst*float64(part)/float64(Whole))
	b.tokens -= tokens
	b.lent = append(b.lent, loan{id: id, part: part, until: b.updated + lenderTerm(request.Term), peer: request.Borrower})
	b.lentPart += part
	b.recompute()
	return LoanReply{ID: id, Part: part, Tokens: tokens}
}

// requestedPart returns the part that a request needs for its tokens or for its rate.
func (b *Bucket) requestedPart(request LoanRequest) Fraction {
	byTokens := Fraction(min(1, request.Tokens/b.limit.Burst) * float64(Whole))
	return max(byTokens, request.Part, minLoanPart)
}

// lendablePart returns the part of the instance's own share that is not lent and is valid
// until the end of a new loan of the given term. A loan never outlasts the share that it
// is a part of, and borrowed parts are not lent on.
func (b *Bucket) lendablePart(term time.Duration) Fraction {
	return b.ownShareAt(b.updated+term) - b.lentPart
}

// reservedPart returns the part of its own share that the instance's demand needs.
func (b *Bucket) reservedPart() Fraction {
	d := b.demand.current(b.updated)
	if d < minDemand {
		return 0
	}
	need := Fraction(min(1, demandHeadroom*d/b.limit.Rate) * float64(Whole))
	return max(0, need-b.borrowedPart)
}

// extend lengthens a loan that has not ended. The lender's part stays lowered without a
// gap, so that the borrower's part may stay raised.
func (b *Bucket) extend(request LoanRequest) LoanReply {
	lendable := b.lendablePart(lenderTerm(request.Term))
	for i := range b.lent {
		if l := &b.lent[i]; l.id == request.ID {
			if b.lendingStopped || lendable < b.reservedPart() || lendable < 0 || request.Term > maxLoanTerm {
				return LoanReply{}
			}
			l.until = max(l.until, b.updated+lenderTerm(request.Term))
			b.recompute()
			return LoanReply{ID: l.id, Part: l.part}
		}
	}
	return LoanReply{}
}

// takeBack ends a loan that its borrower returned. Returned tokens are dropped if the
// loan has ended already, because the lender's bucket has been refilling since.
func (b *Bucket) takeBack(request LoanRequest) {
	for i, l := range b.lent {
		if l.id == request.ID {
			tokens := min(request.Tokens, b.limit.Burst*float64(l.part)/float64(Whole))
			b.lent = append(b.lent[:i], b.lent[i+1:]...)
			b.lentPart -= l.part
			b.recompute()
			b.tokens = min(b.capacity, b.tokens+tokens)
			return
		}
	}
}

// Accept applies a lender's reply to a request that was sent at the time requested. It
// reports whether the reply granted the request and arrived in time.
func (b *Bucket) Accept(now, requested time.Duration, lender string, request LoanRequest, reply LoanReply) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	until := requested + request.Term
	if reply.ID == 0 || b.updated-requested > acceptWindow || until <= b.updated {
		return false
	}
	if request.ID != 0 {
		return b.extendBorrowed(reply, until)
	}
	b.borrowed = append(b.borrowed, loan{id: reply.ID, part: reply.Part, until: until, peer: lender})
	b.borrowedPart += reply.Part
	b.recompute()
	// The lender may still apply a higher burst than this instance.
	tokens := min(reply.Tokens, b.limit.Burst*float64(reply.Part)/float64(Whole))
	b.tokens = min(b.capacity, b.tokens+tokens)
	return true
}

// extendBorrowed lengthens a borrowed loan and reports whether the loan still exists.
func (b *Bucket) extendBorrowed(reply LoanReply, until time.Duration) bool {
	for i := range b.borrowed {
		if borrowed := &b.borrowed[i]; borrowed.id == reply.ID {
			borrowed.until = max(borrowed.until, until)
			b.recompute()
			return true
		}
	}
	return false
}

// StopLending makes the bucket refuse new loans and extensions, so that its share can be
// handed back once the loans have ended.
func (b *Bucket) StopLending() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lendingStopped = true
}

// Shortfall returns what the instance needs to borrow, from all lenders together, for the
// waiting requests and for its demand.
func (b *Bucket) Shortfall(now time.Duration, waiting int) LoanRequest {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	d := b.demand.current(b.updated)
	request := LoanRequest{Term: LoanTerm}
	if d < minDemand && waiting == 0 || len(b.borrowed) >= maxBorrowedLoans {
		return request
	}
	need := Fraction(min(1, demandHeadroom*d/b.limit.Rate) * float64(Whole))
	request.Part = max(0, need-b.currentPart())
	request.Tokens = max(0, float64(waiting)+d*lookahead.Seconds()-b.tokens)
	if waiting == 0 && request.Part == 0 {
		// The instance's own part covers the demand, and no request waits.
		request.Tokens = 0
	}
	return request
}

// PerLender returns the request to send to each of n lenders. Each is asked for more than
// an equal part, because some may have nothing to lend.
func (r LoanRequest) PerLender(n int) LoanRequest {
	if n == 0 || r.Part == 0 && r.Tokens == 0 {
		return LoanRequest{}
	}
	const surplusFactor = 1.5
	factor := min(1, surplusFactor/float64(n))
	return LoanRequest{Part: max(minRequestPart, Fraction(float64(r.Part)*factor)), Tokens: r.Tokens * factor, Term: r.Term}
}

// ReturnUnused gives up loans that the demand no longer needs. It returns the requests to
// send to their lenders. Without these, a caller that moves to another instance would find
// all parts lent to its former instance until the end of their terms.
func (b *Bucket) ReturnUnused(now time.Duration) []LoanChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	d := returnHeadroom * b.demand.at(b.updated)
	if b.updated < b.recallUntil {
		d = demandHeadroom * b.demand.current(b.updated)
	}
	need := Fraction(min(1, d/b.limit.Rate) * float64(Whole))
	var list []LoanChange
	kept := b.borrowed[:0]
	for _, l := range b.borrowed {
		if b.currentPart()-l.part < need {
			kept = append(kept, l)
			continue
		}
		b.borrowedPart -= l.part
		before := b.tokens
		b.recompute()
		list = append(list, LoanChange{l.peer, LoanRequest{ID: l.id, Tokens: before - b.tokens}})
	}
	b.borrowed = kept
	b.recompute()
	return list
}

// BorrowersToRecall returns the instances to send a recall to after a request was granted
// less than it asked for: they should return the parts that they do not need. A part is
// lent again only after its borrower returned it or its loan ended, so that a lost or
// ignored recall costs time but never breaks the bound.
func (b *Bucket) BorrowersToRecall(now time.Duration, request LoanRequest, granted LoanReply) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if request.ID != 0 || granted.Part >= request.Part || b.updated-b.lastRecall < minRecallInterval && b.lastRecall > 0 {
		return nil
	}
	var peers []string
	for _, l := range b.lent {
		if l.peer != "" && l.peer != request.Borrower && !slices.Contains(peers, l.peer) {
			peers = append(peers, l.peer)
		}
	}
	if len(peers) > 0 {
		b.lastRecall = b.updated
	}
	return peers
}

// NoteRecall handles a recall by a lender: for RecallDuration, ReturnUnused gives up all
// loans that the present demand does not need.
func (b *Bucket) NoteRecall(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.recallUntil = b.updated + RecallDuration
}

// LoanChange is a request to extend or return a loan, with the lender to send it to.
type LoanChange struct {
	Lender  string
	Request LoanRequest
}

// Extensions returns requests to extend the loans that end soon and that the demand still
// needs.
func (b *Bucket) Extensions(now time.Duration) []LoanChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	need := Fraction(min(1, demandHeadroom*b.demand.current(b.updated)/b.limit.Rate) * float64(Whole))
	spare := b.currentPart() - need
	var list []LoanChange
	for _, l := range b.borrowed {
		if l.until-b.updated > extendBefore {
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
