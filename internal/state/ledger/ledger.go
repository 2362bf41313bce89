// Package ledger records outcomes, so that no request runs twice. An instance
// issues tickets for requests that are not idempotent, which are called orders; its
// Ledger holds the outcome of each ticket of one incarnation, that is of one run of
// the process.
// At the home instance of a backend server, which dispatches the requests to it,
// Attempts holds the outcome of each dispatch.
package ledger

import (
	"net/http"
	"sync"
	"time"

	"tamarackrun"
)

// Limits of a ledger.
const (
	// KeepAfterExpiry is how long records are kept after the ticket's expiry.
	KeepAfterExpiry = time.Hour
	// MaxStoredAnswer is the largest size, in bytes, of an answer that is kept to
	// answer repeated requests.
	MaxStoredAnswer = 16 << 10
	// DefaultRecords bounds the records. They take about 21 MiB without answers
	// for 8 organisations, which allows 15 orders/s at one issuer.
	DefaultRecords = 1 << 16
	// DefaultAnswerBytes bounds the sum of the sizes of the kept answers. The
	// oldest ones are dropped first.
	DefaultAnswerBytes = 16 << 20
	// organisationDivisor gives the largest part of the records, and of the
	// refusals, that one organisation may have: a quarter, so that one organisation
	// cannot fill the ledger.
	organisationDivisor = 4
	// DefaultRefusals bounds the refusals that are kept for tickets without a
	// record. They take about 9 MiB.
	DefaultRefusals = 1 << 16
	// sweepInterval is the time between two removals of old entries.
	sweepInterval = 10 * time.Second
)

// Answer is the answer of a backend server to one request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// StatusOnly is true if the header and the body were not kept.
	StatusOnly bool
}

// size returns the bytes of the header and the body.
func (a *Answer) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// Request describes one request that came with a ticket.
type Request struct {
	// Sequence is the number of the ticket.
	Sequence     uint64
	Organisation string
	// Hash covers all fields that must be equal in two requests with the same
	// ticket.
	Hash [32]byte
	// Expiry is the time at which the ticket expires.
	Expiry time.Duration
	// Try numbers the caller's deliberate tries. After the outcome NotRun a
	// request starts a run only if its number is higher than all earlier ones: a
	// delayed copy of an earlier request must not run after its caller was told
	// that the order did not run.
	Try uint32
}

// Run is one execution of a ticket's request. Later requests with the ticket
// wait for its outcome.
type Run struct {
	done    chan struct{}
	outcome tamarackrun.Outcome
	answer  *Answer
}

// Done returns a channel that is closed when the run has an outcome.
func (r *Run) Done() <-chan struct{} { return r.done }

// Outcome returns the outcome and the answer, which is nil unless the outcome is
// Ran. It must be called only after Done is closed.
func (r *Run) Outcome() (tamarackrun.Outcome, *Answer) { return r.outcome, r.answer }

// settledRun returns a run that already has its outcome.
func settledRun(outcome tamarackrun.Outcome, answer *Answer) *Run {
	done := make(chan struct{})
	close(done)
	return &Run{done: done, outcome: outcome, answer: answer}
}

// record holds the state of one ticket.
type record struct {
	// request is the first request of the ticket, with the highest Try so far.
	request Request
	// run is replaced when the ticket is tried again after NotRun.
	run *Run
}

// running reports whether the run has no outcome yet.
func (r *record) running() bool {
	select {
	case <-r.run.done:
		return false
	default:
		return true
	}
}

// Ledger holds one record for each used ticket. It is safe for concurrent use.
type Ledger struct {
	// MaxRecords, MaxAnswerBytes and MaxRefusals are limits, with the defaults of
	// New. They may be changed only before the first Begin.
	MaxRecords     int
	MaxAnswerBytes int
	MaxRefusals    int

	mu      sync.Mutex
	records map[uint64]*record
	// perOrganisation counts the records of each organisation.
	perOrganisation map[string]int
	// refusals holds the refusals of tickets without a record, until the tickets
	// expire; refusalsPerOrganisation counts those of each organisation.
	refusals                map[uint64]refusal
	refusalsPerOrganisation map[string]int
	// storedAnswers holds the sequences of the records with a kept answer, the
	// oldest first; storedBytes is the sum of the answers' sizes.
	storedAnswers []uint64
	storedBytes   int
	// now is the latest time that was passed to Begin or Refuse.
	now       time.Duration
	lastSweep time.Duration
	// floor is above the sequence of every dropped record whose request ran or
	// may have run.
	floor uint64
	// closed is true if no further run may start.
	closed bool
}

// New returns an empty ledger with the default limits.
func New() *Ledger {
	return &Ledger{
		MaxRecords:              DefaultRecords,
		MaxAnswerBytes:          DefaultAnswerBytes,
		MaxRefusals:             DefaultRefusals,
		records:                 map[uint64]*record{},
		perOrganisation:         map[string]int{},
		refusals:                map[uint64]refusal{},
		refusalsPerOrganisation: map[string]int{},
	}
}

// Begin returns the run that a request belongs to. If started is true, the caller
// must execute the request and call Finish; otherwise it must not execute the
// request and takes the outcome from the run.
func (l *Ledger) Begin(now time.Duration, request Request) (run *Run, started bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now = l.advance(now)
	refuse := func(reason tamarackrun.Reason) (*Run, bool) {
		return settledRun(tamarackrun.Refused(reason), nil), false
	}
	if now >= request.Expiry+KeepAfterExpiry {
		return settledRun(tamarackrun.Uncertain(tamarackrun.RecordDropped), nil), false
	}
	r := l.records[request.Sequence]
	if r != nil {
		if r.request.Hash != request.Hash {
			return refuse(tamarackrun.TicketReused)
		}
		repeated := request.Try <= r.request.Try
		r.request.Try = max(r.request.Try, request.Try)
		if repeated || r.running() || r.run.outcome.Kind != tamarackrun.NotRun {
			return r.run, false
		}
	}
	switch {
	case now >= request.Expiry:
		return refuse(tamarackrun.TicketExpired)
	case l.closed:
		return refuse(tamarackrun.TicketSealed)
	case r == nil && request.Try <= l.refusals[request.Sequence].try:
		return refuse(l.refusals[request.Sequence].reason)
	case r == nil && (len(l.records) >= l.MaxRecords || l.perOrganisation[request.Organisation] >= max(1, l.MaxRecords/organisationDivisor)):
		return settledRun(l.keepRefusal(request, tamarackrun.LedgerFull), nil), false
	}
	if r == nil {
		l.dropRefusal(request.Sequence)
		r = &record{request: request}
		l.records[request.Sequence] = r
		l.perOrganisation[request.Organisation]++
	}
	r.run = &Run{done: make(chan struct{})}
	return r.run, true
}

// Finish records the outcome of a run that Begin started, unless the run already
// has one. The answer is used only if the outcome is Ran.
func (l *Ledger) Finish(sequence uint64, run *Run, outcome tamarackrun.Outcome, answer *Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[sequence]
	if r == nil || r.run != run || !r.running() {
		return
	}
	run.outcome = outcome
	if outcome.Kind == tamarackrun.Ran {
		run.answer = answer
	}
	close(run.done)
	if outcome.Kind == tamarackrun.Ran {
		l.storeAnswer(sequence, answer)
	}
}

// storeAnswer keeps an answer and drops the oldest ones while all of them exceed
// MaxAnswerBytes.
func (l *Ledger) storeAnswer(sequence uint64, answer *Answer) {
	if answer.StatusOnly {
		return
	}
	l.storedAnswers = append(l.storedAnswers, sequence)
	l.storedBytes += answer.size()
	for l.storedBytes > l.MaxAnswerBytes {
		oldest := l.storedAnswers[0]
		l.storedAnswers = l.storedAnswers[1:]
		if r := l.records[oldest]; r != nil {
			l.storedBytes -= r.run.answer.size()
			// The run is replaced, not changed, since requests that hold the
			// old one may still read the whole answer.
			r.run = settledRun(r.run.outcome, &Answer{Status: r.run.answer.Status, StatusOnly: true})
		}
	}
}

// Amend replaces the outcome Unknown of a run by the result of a later query to
// the home instance, and returns the ticket's outcome. If the ticket has another run
// by now, Amend changes nothing: the query says nothing of that one, which may have run.
func (l *Ledger) Amend(sequence uint64, run *Run, outcome tamarackrun.Outcome, answer *Answer) (tamarackrun.Outcome, *Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[sequence]
	switch {
	case r == nil:
		return tamarackrun.Uncertain(tamarackrun.RecordDropped), nil
	case r.running():
		return tamarackrun.Uncertain(tamarackrun.StillRunning), nil
	case r.run == run && run.outcome.Kind == tamarackrun.Unknown:
		r.run = settledRun(outcome, answer)
	}
	return r.run.Outcome()
}

// advance returns the later of now and the latest time that was passed before. A
// caller that is delayed after it read the clock must not start a ticket that the
// ledger has already treated as expired.
func (l *Ledger) advance(now time.Duration) time.Duration {
	l.now = max(l.now, now)
	l.sweep(l.now)
	return l.now
}

// sweep drops refusals and records that are no longer needed. A record with the
// outcome NotRun is not needed after the ticket's expiry, since requests then get
// TicketExpired.
func (l *Ledger) sweep(now time.Duration) {
	if now-l.lastSweep < sweepInterval {
		return
	}
	l.lastSweep = now
	for sequence, refused := range l.refusals {
		if now >= refused.expiry {
			l.dropRefusal(sequence)
		}
	}
	for sequence, r := range l.records {
		running := r.running()
		notRun := !running && r.run.outcome.Kind == tamarackrun.NotRun
		if running || now < r.request.Expiry || !notRun && now < r.request.Expiry+KeepAfterExpiry {
			continue
		}
		l.drop(sequence, r, notRun)
	}
}

// drop removes a record and its kept answer.
func (l *Ledger) drop(sequence uint64, r *record, notRun bool) {
	delete(l.records, sequence)
	if l.perOrganisation[r.request.Organisation]--; l.perOrganisation[r.request.Organisation] == 0 {
		delete(l.perOrganisation, r.request.Organisation)
	}
	if !notRun {
		l.floor = max(l.floor, sequence+1)
	}
	if a := r.run.answer; a != nil && !a.StatusOnly {
		l.storedBytes -= a.size()
		for i, s := range l.storedAnswers {
			if s == sequence {
				l.storedAnswers = append(l.storedAnswers[:i], l.storedAnswers[i+1:]...)
				break
			}
		}
	}
}

// Close prevents Begin from starting further runs.
func (l *Ledger) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// Running returns the number of runs that have no outcome yet.
func (l *Ledger) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, r := range l.records {
		if r.running() {
			n++
		}
	}
	return n
}

// SealedRecord is the outcome of one ticket in a closed ledger, as it is sent to
// peers and stored in the platform.
type SealedRecord struct {
	Sequence uint64
	Outcome  tamarackrun.Outcome
	// Status is the HTTP status of the answer, or 0 if there is none.
	Status int
	// Hash is that of the ticket's request.
	Hash [32]byte
}

// Seal closes the ledger and returns the tickets whose request ran or may have
// run, in no order. Tickets from floor upwards that are not among them did not
// run and never will. Runs without an outcome are reported as Unknown.
func (l *Ledger) Seal() (sealed []SealedRecord, floor uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for sequence, r := range l.records {
		s := SealedRecord{Sequence: sequence, Outcome: tamarackrun.Uncertain(tamarackrun.StillRunning), Hash: r.request.Hash}
		if !r.running() {
			s.Outcome = r.run.outcome
			if r.run.answer != nil {
				s.Status = r.run.answer.Status
			}
		}
		if s.Outcome.Kind != tamarackrun.NotRun {
			sealed = append(sealed, s)
		}
	}
	return sealed, l.floor
}
