package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"tamarackrun/internal/coordination/rate"
	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/roster"
)

const (
	// borrowTimeout is the time after which the borrower rejects a loan anyway.
	borrowTimeout = 500 * time.Millisecond
	// minRoundInterval is the least pause between two rounds of borrowing. The
	// pause doubles up to maxRoundInterval while no lender has anything to lend,
	// which is the case when an organisation exceeds its rate on all instances.
	minRoundInterval = 20 * time.Millisecond
	maxRoundInterval = 200 * time.Millisecond
	// borrowInterval is the pause between two checks of all organisations for
	// demand above what this instance holds and for loans that end soon.
	borrowInterval = 100 * time.Millisecond
	// returnInterval is the pause between two checks for parts to return while
	// other instances ask for them. Demand that moved away shows only as a gap
	// between requests.
	returnInterval = 20 * time.Millisecond
)

// loanExchange identifies a request for a loan that waits for an answer.
type loanExchange struct {
	organisation, lender string
	// loan is the id of the loan to extend or to return; 0 for a new loan.
	loan      uint64
	returning bool
}

// runBorrowing borrows ahead of demand and extends loans until ctx ends.
func (r *rateLimiter) runBorrowing(ctx context.Context) {
	for ctx.Err() == nil {
		for organisation, b := range r.pool.Buckets() {
			if r.in.leaving.Load() {
				break
			}
			r.updateLoans(organisation, b)
			r.borrow(organisation, r.queueOf(organisation), b, int(r.queueOf(organisation).length.Load()))
		}
		waiting.Pause(ctx, borrowInterval)
	}
}

// borrow asks all reachable holders for parts of the rate that the demand
// lacks.
func (r *rateLimiter) borrow(organisation string, q *tokenQueue, b *rate.Bucket, waiting int) {
	now := r.in.clock.Now()
	want := b.Shortfall(now, waiting)
	if want.Part == 0 && want.Tokens == 0 || !q.beginRound(now) {
		return
	}
	lenders := r.lenders(organisation)
	for _, m := range lenders {
		r.requestLoan(organisation, m, b, want.PerLender(len(lenders)))
	}
}

// beginRound reports whether a round of borrowing is due, and sets the time of
// the next one.
func (q *tokenQueue) beginRound(now time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now < q.nextRound {
		return false
	}
	q.backoff = min(max(2*q.backoff, minRoundInterval), maxRoundInterval)
	q.nextRound = now + q.backoff
	return true
}

// resetBackoff makes the next round of borrowing due soon, because a lender had
// something to lend.
func (q *tokenQueue) resetBackoff() {
	q.mu.Lock()
	q.nextRound -= q.backoff
	q.backoff = minRoundInterval
	q.nextRound += q.backoff
	q.mu.Unlock()
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
}

// updateLoans extends the loans that the demand needs and returns the others.
func (r *rateLimiter) updateLoans(organisation string, b *rate.Bucket) {
	now := r.in.clock.Now()
	r.requestChanges(organisation, b, append(b.Extensions(now), b.ReturnUnused(now)...))
}

// requestChanges sends each change of a loan to its lender.
func (r *rateLimiter) requestChanges(organisation string, b *rate.Bucket, changes []rate.LoanChange) {
	for _, change := range changes {
		if m, ok := r.in.roster.Member(change.Lender); ok && m.Reachable {
			r.requestLoan(organisation, m, b, change.Request)
		}
	}
}

// requestLoan requests one loan in the background, unless the same request is
// waiting for an answer.
func (r *rateLimiter) requestLoan(organisation string, m roster.Member, b *rate.Bucket, request rate.LoanRequest) {
	exchange := loanExchange{organisation, m.Listing.Name, request.ID, request.Term == 0}
	r.queuesMu.Lock()
	defer r.queuesMu.Unlock()
	if r.openExchanges[exchange] {
		return
	}
	r.openExchanges[exchange] = true
	go func() {
		r.sendLoanRequest(organisation, m, b, request)
		r.queuesMu.Lock()
		delete(r.openExchanges, exchange)
		r.queuesMu.Unlock()
	}()
}

// sendLoanRequest sends one request for a loan and applies the reply.
func (r *rateLimiter) sendLoanRequest(organisation string, m roster.Member, b *rate.Bucket, request rate.LoanRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	requested := r.in.clock.Now()
	reply, err := r.in.mesh.Call(ctx, m.Listing.PeerAddress, &wire.Envelope{Kind: &wire.Envelope_Borrow{
		Borrow: &wire.Borrow{
			Organisation: organisation,
			Tokens:       request.Tokens,
			Part:         int64(request.Part),
			Loan:         request.ID,
			Borrower:     r.in.Settings.Name,
			TermMillis:   uint64(request.Term.Milliseconds()),
		}}})
	if err != nil {
		return
	}
	l := reply.GetLoan()
	loan := rate.LoanReply{ID: l.GetLoan(), Part: rate.Fraction(l.GetPart()), Tokens: l.GetTokens()}
	if b.Accept(r.in.clock.Now(), requested, m.Listing.Name, request, loan) {
		r.queueOf(organisation).resetBackoff()
	}
}

// lend answers another instance's request for a loan or its recall of parts.
func (r *rateLimiter) lend(request *wire.Borrow) *wire.Loan {
	b := r.pool.Bucket(request.Organisation)
	if b == nil {
		return &wire.Loan{}
	}
	now := r.in.clock.Now()
	if request.Recall {
		r.handleRecall(request.Organisation, b)
		return &wire.Loan{}
	}
	ask := rate.LoanRequest{
		Borrower: request.Borrower,
		ID:       request.Loan,
		Part:     rate.Fraction(request.Part),
		Tokens:   request.Tokens,
		Term:     time.Duration(request.TermMillis) * time.Millisecond,
	}
	l := b.Lend(now, ask, rand.Uint64())
	for _, peer := range b.BorrowersToRecall(now, ask, l) {
		go r.sendRecall(request.Organisation, peer)
	}
	return &wire.Loan{Loan: l.ID, Part: int64(l.Part), Tokens: l.Tokens}
}

// sendRecall tells a borrower that another instance asks for parts.
func (r *rateLimiter) sendRecall(organisation, borrower string) {
	m, ok := r.in.roster.Member(borrower)
	if !ok || !m.Reachable {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	_, _ = r.in.mesh.Call(ctx, m.Listing.PeerAddress, &wire.Envelope{Kind: &wire.Envelope_Borrow{
		Borrow: &wire.Borrow{Organisation: organisation, Recall: true}}})
}

// handleRecall returns unused parts at short intervals until the recall ends.
func (r *rateLimiter) handleRecall(organisation string, b *rate.Bucket) {
	b.NoteRecall(r.in.clock.Now())
	r.queuesMu.Lock()
	defer r.queuesMu.Unlock()
	if r.returning[organisation] {
		return
	}
	r.returning[organisation] = true
	go func() {
		for end := r.in.clock.Now() + rate.RecallDuration; r.in.clock.Now() < end; time.Sleep(returnInterval) {
			r.requestChanges(organisation, b, b.ReturnUnused(r.in.clock.Now()))
		}
		r.queuesMu.Lock()
		delete(r.returning, organisation)
		r.queuesMu.Unlock()
	}()
}
