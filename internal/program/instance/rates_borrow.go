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
	// borrowTimeout is the limit after which a receiver drops a loan anyway.
	borrowTimeout = 500 * time.Millisecond
	// roundSpacing is the least pause between two rounds of borrowing. It
	// doubles up to mostSpacing while no lender has anything to lend, which
	// is the case when an organisation is over its rate everywhere.
	roundSpacing = 20 * time.Millisecond
	mostSpacing  = 200 * time.Millisecond
	// borrowInterval is the pause between two looks at all organisations for
	// a demand above the own part and for loans that end soon.
	borrowInterval = 100 * time.Millisecond
	// recallInterval is the pause between two looks for parts to return while
	// others ask. Demand that moved away shows only as a gap between requests.
	recallInterval = 20 * time.Millisecond
)

// exchange is an open request for a loan.
type exchange struct {
	organisation, lender string
	// loan is not 0 for an extension or a return.
	loan      uint64
	returning bool
}

// keepBorrowing borrows ahead of demand and extends loans.
func (r *rates) keepBorrowing(ctx context.Context) {
	for ctx.Err() == nil {
		for organisation, b := range r.pool.Buckets() {
			if r.in.leaving.Load() {
				break
			}
			r.extend(organisation, b)
			r.borrow(organisation, r.queue(organisation), b, int(r.queue(organisation).length.Load()))
		}
		waiting.Pause(ctx, borrowInterval)
	}
}

// borrow asks all reachable holders for parts of what is missing.
func (r *rates) borrow(organisation string, q *queue, b *rate.Bucket, waiting int) {
	now := r.in.clock.Now()
	want := b.Shortfall(now, waiting)
	if want.Part == 0 && want.Tokens == 0 || !q.beginRound(now) {
		return
	}
	lenders := r.lenders(organisation)
	for _, m := range lenders {
		r.ask(organisation, m, b, want.PerLender(len(lenders)))
	}
}

// beginRound says whether it is time for a round of borrowing.
func (q *queue) beginRound(now time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if now < q.nextRound {
		return false
	}
	q.backoff = min(max(2*q.backoff, roundSpacing), mostSpacing)
	q.nextRound = now + q.backoff
	return true
}

// received notes that a lender had something to lend.
func (q *queue) received() {
	q.mu.Lock()
	q.nextRound -= q.backoff
	q.backoff = roundSpacing
	q.nextRound += q.backoff
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// extend extends the loans that the demand needs and returns the others.
func (r *rates) extend(organisation string, b *rate.Bucket) {
	now := r.in.clock.Now()
	r.change(organisation, b, append(b.Extensions(now), b.ReturnUnused(now)...))
}

func (r *rates) change(organisation string, b *rate.Bucket, list []rate.LoanChange) {
	for _, e := range list {
		if m, ok := r.in.roster.Member(e.Lender); ok && m.Reachable {
			r.ask(organisation, m, b, e.Request)
		}
	}
}

// ask requests one loan in the background, unless the same request is open.
func (r *rates) ask(organisation string, m roster.Member, b *rate.Bucket, ask rate.LoanRequest) {
	open := exchange{organisation, m.Listing.Name, ask.ID, ask.Term == 0}
	r.queuesMu.Lock()
	defer r.queuesMu.Unlock()
	if r.asking[open] {
		return
	}
	r.asking[open] = true
	go func() {
		r.request(organisation, m, b, ask)
		r.queuesMu.Lock()
		delete(r.asking, open)
		r.queuesMu.Unlock()
	}()
}

func (r *rates) request(organisation string, m roster.Member, b *rate.Bucket, ask rate.LoanRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	requested := r.in.clock.Now()
	reply, err := r.in.mesh.Call(ctx, m.Listing.PeerAddress, &wire.Envelope{Kind: &wire.Envelope_Borrow{
		Borrow: &wire.Borrow{Organisation: organisation, Tokens: ask.Tokens, Part: int64(ask.Part), Loan: ask.ID,
			Borrower: r.in.Settings.Name, TermMillis: uint64(ask.Term.Milliseconds())}}})
	if err != nil {
		return
	}
	l := reply.GetLoan()
	loan := rate.LoanReply{ID: l.GetLoan(), Part: rate.Fraction(l.GetPart()), Tokens: l.GetTokens()}
	if b.Accept(r.in.clock.Now(), requested, m.Listing.Name, ask, loan) {
		r.queue(organisation).received()
	}
}

// lend serves a request of another instance.
func (r *rates) lend(request *wire.Borrow) *wire.Loan {
	b := r.pool.Bucket(request.Organisation)
	if b == nil {
		return &wire.Loan{}
	}
	now := r.in.clock.Now()
	if request.Recall {
		r.recalled(request.Organisation, b)
		return &wire.Loan{}
	}
	ask := rate.LoanRequest{Borrower: request.Borrower, ID: request.Loan, Part: rate.Fraction(request.Part), Tokens: request.Tokens,
		Term: time.Duration(request.TermMillis) * time.Millisecond}
	l := b.Lend(now, ask, rand.Uint64())
	for _, peer := range b.BorrowersToRecall(now, ask, l) {
		go r.recall(request.Organisation, peer)
	}
	return &wire.Loan{Loan: l.ID, Part: int64(l.Part), Tokens: l.Tokens}
}

// recall tells a borrower that another instance asks for parts.
func (r *rates) recall(organisation, borrower string) {
	m, ok := r.in.roster.Member(borrower)
	if !ok || !m.Reachable {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	_, _ = r.in.mesh.Call(ctx, m.Listing.PeerAddress, &wire.Envelope{Kind: &wire.Envelope_Borrow{
		Borrow: &wire.Borrow{Organisation: organisation, Recall: true}}})
}

// recalled returns unused parts at short intervals until the recall ends.
func (r *rates) recalled(organisation string, b *rate.Bucket) {
	b.NoteRecall(r.in.clock.Now())
	r.queuesMu.Lock()
	defer r.queuesMu.Unlock()
	if r.returning[organisation] {
		return
	}
	r.returning[organisation] = true
	go func() {
		for end := r.in.clock.Now() + rate.RecallDuration; r.in.clock.Now() < end; time.Sleep(recallInterval) {
			r.change(organisation, b, b.ReturnUnused(r.in.clock.Now()))
		}
		r.queuesMu.Lock()
		delete(r.returning, organisation)
		r.queuesMu.Unlock()
	}()
}
