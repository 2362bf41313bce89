package ledger

import (
	"time"

	"tamarackrun"
)

// bar is the refusal of a ticket that has no record. Requests up to its try
// were told that the order did not run.
type bar struct {
	try          uint32
	reason       tamarackrun.Reason
	organisation string
	expiry       time.Duration
}

// Refuse settles a request that is refused before Begin. The outcome is NotRun
// only if no earlier request with the ticket may have run; copies of the request
// then never run. The entry's hash is not used, since a refused request may not
// have been read to its end.
func (l *Ledger) Refuse(now time.Duration, e Request, reason tamarackrun.Reason) tamarackrun.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	now = l.advance(now)
	r := l.records[e.Sequence]
	switch {
	case now >= e.Expiry+KeepAfterExpiry:
		return tamarackrun.Uncertain(reason)
	case r != nil && (r.running() || r.run.outcome.Kind != tamarackrun.NotRun):
		return tamarackrun.Uncertain(reason)
	case r != nil:
		r.entry.Try = max(r.entry.Try, e.Try)
		return tamarackrun.Refused(reason)
	case now >= e.Expiry || l.closed:
		return tamarackrun.Refused(reason)
	}
	return l.bar(e, reason)
}

// bar keeps a refusal. If there is no room for it, a copy of the request may run
// later, so that the outcome is Unknown.
func (l *Ledger) bar(e Request, reason tamarackrun.Reason) tamarackrun.Outcome {
	b, known := l.bars[e.Sequence]
	if !known {
		if len(l.bars) >= l.MaxBars || l.barsOf[e.Organisation] >= max(1, l.MaxBars/organisationPart) {
			return tamarackrun.Uncertain(reason)
		}
		l.barsOf[e.Organisation]++
		b = bar{organisation: e.Organisation, expiry: e.Expiry}
	}
	if e.Try >= b.try {
		b.try, b.reason = e.Try, reason
	}
	l.bars[e.Sequence] = b
	return tamarackrun.Refused(reason)
}

func (l *Ledger) dropBar(sequence uint64) {
	b, ok := l.bars[sequence]
	if !ok {
		return
	}
	delete(l.bars, sequence)
	if l.barsOf[b.organisation]--; l.barsOf[b.organisation] == 0 {
		delete(l.barsOf, b.organisation)
	}
}
