// Package ledger records what became of the tickets of one incarnation, and at
// a home instance what became of the attempts that it was sent.
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
	// MaxStoredAnswer is the largest answer, in bytes, that is kept for repeats.
	MaxStoredAnswer = 16 << 10
	// DefaultRecords takes about 21 MiB without answers, measured with 8
	// organisations. It allows 15 orders/s at one issuer.
	DefaultRecords = 1 << 16
	// DefaultAnswerBytes bounds the kept answers. Older ones are dropped first.
	DefaultAnswerBytes = 16 << 20
	// organisationPart is the divisor that gives the most records of one
	// organisation, so that one organisation cannot fill the ledger.
	organisationPart = 4
	// DefaultBars bounds the refusals that are kept for tickets without a
	// record. They take about 9 MiB.
	DefaultBars   = 1 << 16
	sweepInterval = 10 * time.Second
)

// Answer is an answer of a backend server.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// StatusOnly says that only the status was kept.
	StatusOnly bool
}

func (a *Answer) size() int {
	n := len(a.Body)
	for name, values := range a.Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// Request identifies one request under a ticket.
type Request struct {
	Sequence     uint64
	Organisation string
	// Hash covers everything that makes two requests the same order.
	Hash [32]byte
	// Expiry is the ticket's.
	Expiry time.Duration
	// Try is the caller's count of its deliberate tries. A request starts a
	// run after an outcome NotRun only if its number is higher than all before,
	// since a delayed copy of an earlier request must not run after its caller
	// was told that the order did not run.
	Try uint32
}

// Run is one run of the requests with a ticket.
type Run struct {
	done    chan struct{}
	outcome tamarackrun.Outcome
	answer  *Answer
}

// Done is closed when the run has an outcome.
func (r *Run) Done() <-chan struct{} { return r.done }

// Outcome returns the outcome after Done was closed. The answer is nil unless
// the outcome is Ran.
func (r *Run) Outcome() (tamarackrun.Outcome, *Answer) { return r.outcome, r.answer }

func settled(outcome tamarackrun.Outcome, answer *Answer) *Run {
	done := make(chan struct{})
	close(done)
	return &Run{done: done, outcome: outcome, answer: answer}
}

// record is what became of one ticket.
type record struct {
	entry Request
	// run is replaced when the ticket is tried again after NotRun.
	run *Run
}

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
	// MaxRecords, MaxAnswerBytes and MaxBars are set before the first Begin.
	MaxRecords     int
	MaxAnswerBytes int
	MaxBars        int

	mu      sync.Mutex
	records map[uint64]*record
	// perOrganisation counts the records of each organisation.
	perOrganisation map[string]int
	// bars has the refusals of tickets without a record, until they expire;
	// barsOf counts those of each organisation.
	bars   map[uint64]bar
	barsOf map[string]int
	// stored has the records with a kept answer, the oldest first; storedBytes
	// is the sum of their sizes.
	stored      []uint64
	storedBytes int
	// now is the latest time that the ledger has seen.
	now   time.Duration
	swept time.Duration
	// floor is above the sequence of every dropped record that had run or may
	// have run.
	floor  uint64
	closed bool
}

// New returns an empty ledger.
func New() *Ledger {
	return &Ledger{MaxRecords: DefaultRecords, MaxAnswerBytes: DefaultAnswerBytes, MaxBars: DefaultBars,
		records: map[uint64]*record{}, perOrganisation: map[string]int{}, bars: map[uint64]bar{}, barsOf: map[string]int{}}
}

// Begin returns the run of a request. If fresh is true, the caller must start
// the request and call Finish; else it must not start it.
func (l *Ledger) Begin(now time.Duration, e Request) (run *Run, fresh bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now = l.advance(now)
	refuse := func(reason tamarackrun.Reason) (*Run, bool) { return settled(tamarackrun.Refused(reason), nil), false }
	if now >= e.Expiry+KeepAfterExpiry {
		return settled(tamarackrun.Uncertain(tamarackrun.RecordDropped), nil), false
	}
	r := l.records[e.Sequence]
	if r != nil {
		if r.entry.Hash != e.Hash {
			return refuse(tamarackrun.TicketReused)
		}
		repeated := e.Try <= r.entry.Try
		r.entry.Try = max(r.entry.Try, e.Try)
		if repeated || r.running() || r.run.outcome.Kind != tamarackrun.NotRun {
			return r.run, false
		}
	}
	switch {
	case now >= e.Expiry:
		return refuse(tamarackrun.TicketExpired)
	case l.closed:
		return refuse(tamarackrun.TicketSealed)
	case r == nil && e.Try <= l.bars[e.Sequence].try:
		return refuse(l.bars[e.Sequence].reason)
	case r == nil && (len(l.records) >= l.MaxRecords || l.perOrganisation[e.Organisation] >= max(1, l.MaxRecords/organisationPart)):
		return settled(l.bar(e, tamarackrun.LedgerFull), nil), false
	}
	if r == nil {
		l.dropBar(e.Sequence)
		r = &record{entry: e}
		l.records[e.Sequence] = r
		l.perOrganisation[e.Organisation]++
	}
	r.run = &Run{done: make(chan struct{})}
	return r.run, true
}

// Finish records the outcome of a run that Begin returned as fresh, unless it
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
		l.store(sequence, answer)
	}
}

// store bounds the kept answers.
func (l *Ledger) store(sequence uint64, answer *Answer) {
	if answer.StatusOnly {
		return
	}
	l.stored = append(l.stored, sequence)
	l.storedBytes += answer.size()
	for l.storedBytes > l.MaxAnswerBytes {
		oldest := l.stored[0]
		l.stored = l.stored[1:]
		if r := l.records[oldest]; r != nil {
			l.storedBytes -= r.run.answer.size()
			// Requests that hold the old run still read the whole answer.
			r.run = settled(r.run.outcome, &Answer{Status: r.run.answer.Status, StatusOnly: true})
		}
	}
}

// Amend replaces the outcome Unknown of a ticket after its home instance was
// asked again. It returns the run in force.
func (l *Ledger) Amend(sequence uint64, outcome tamarackrun.Outcome, answer *Answer) *Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.records[sequence]
	if r == nil {
		return settled(tamarackrun.Uncertain(tamarackrun.RecordDropped), nil)
	}
	if !r.running() && r.run.outcome.Kind == tamarackrun.Unknown {
		r.run = settled(outcome, answer)
	}
	return r.run
}

// advance returns the time at which a request is judged. A caller that was
// held up after it read the clock must not start a ticket that the ledger has
// called expired.
func (l *Ledger) advance(now time.Duration) time.Duration {
	l.now = max(l.now, now)
	l.sweep(l.now)
	return l.now
}

// sweep drops records that are no longer needed. A record NotRun is not needed
// after the expiry, since the ticket then answers TicketExpired.
func (l *Ledger) sweep(now time.Duration) {
	if now-l.swept < sweepInterval {
		return
	}
	l.swept = now
	for sequence, b := range l.bars {
		if now >= b.expiry {
			l.dropBar(sequence)
		}
	}
	for sequence, r := range l.records {
		running := r.running()
		notRun := !running && r.run.outcome.Kind == tamarackrun.NotRun
		if running || now < r.entry.Expiry || !notRun && now < r.entry.Expiry+KeepAfterExpiry {
			continue
		}
		l.drop(sequence, r, notRun)
	}
}

func (l *Ledger) drop(sequence uint64, r *record, notRun bool) {
	delete(l.records, sequence)
	if l.perOrganisation[r.entry.Organisation]--; l.perOrganisation[r.entry.Organisation] == 0 {
		delete(l.perOrganisation, r.entry.Organisation)
	}
	if !notRun {
		l.floor = max(l.floor, sequence+1)
	}
	if a := r.run.answer; a != nil && !a.StatusOnly {
		l.storedBytes -= a.size()
		for i, s := range l.stored {
			if s == sequence {
				l.stored = append(l.stored[:i], l.stored[i+1:]...)
				break
			}
		}
	}
}

// Close makes Begin start no further run.
func (l *Ledger) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// Running returns the number of runs without an outcome.
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

// SealedRecord is the sealed form of one record.
type SealedRecord struct {
	Sequence uint64
	Outcome  tamarackrun.Outcome
	Status   int
	Hash     [32]byte
}

// Seal closes the ledger and returns the tickets that ran or may have run, in
// no order. Tickets from floor upwards that are not among them did not run and
// never will. Runs without an outcome are Unknown.
func (l *Ledger) Seal() (lines []SealedRecord, floor uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for sequence, r := range l.records {
		line := SealedRecord{Sequence: sequence, Outcome: tamarackrun.Uncertain(tamarackrun.StillRunning), Hash: r.entry.Hash}
		if !r.running() {
			line.Outcome = r.run.outcome
			if r.run.answer != nil {
				line.Status = r.run.answer.Status
			}
		}
		if line.Outcome.Kind != tamarackrun.NotRun {
			lines = append(lines, line)
		}
	}
	return lines, l.floor
}
