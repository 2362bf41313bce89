package ledger

import (
	"time"

	"tamarackrun"
)

// refusal is the refusal of a ticket that has no record.
type refusal struct {
	// try is the highest Try that was answered with NotRun.
	try uint32
	// reason is that of the answer to this try.
	reason       tamarackrun.Reason
	organisation string
	// expiry is the time at which the ticket expires.
	expiry time.Duration
}

// Refuse returns the outcome of a request that is refused before Begin. It is
// NotRun only if no earlier request with the ticket may have run; copies of the
// request then never run. The hash is not used, since the body of a refused
// request may not have been read to its end.
func (l *Ledger) Refuse(now time.Duration, request Request, reason tamarackrun.Reason) tamarackrun.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	now = l.advance(now)
	r := l.records[request.Sequence]
	switch {
	case now >= request.Expiry+KeepAfterExpiry:
		return tamarackrun.Uncertain(reason)
	case r != nil && (r.running() || r.run.outcome.Kind != tamarackrun.NotRun):
		return tamarackrun.Uncertain(reason)
	case r != nil:
		r.request.Try = max(r.request.Try, request.Try)
		return tamarackrun.Refused(reason)
	case now >= request.Expiry || l.closed:
		return tamarackrun.Refused(reason)
	}
	return l.keepRefusal(request, reason)
}

// keepRefusal keeps the refusal of a request without a record and returns the
// outcome NotRun. If the limits are reached, it returns Unknown, since a copy of
// the request may run later.
func (l *Ledger) keepRefusal(request Request, reason tamarackrun.Reason) tamarackrun.Outcome {
	refused, known := l.refusals[request.Sequence]
	if !known {
		if len(l.refusals) >= l.MaxRefusals || l.refusalsPerOrganisation[request.Organisation] >= max(1, l.MaxRefusals/organisationDivisor) {
			return tamarackrun.Uncertain(reason)
		}
		l.refusalsPerOrganisation[request.Organisation]++
		refused = refusal{organisation: request.Organisation, expiry: request.Expiry}
	}
	if request.Try >= refused.try {
		refused.try, refused.reason = request.Try, reason
	}
	l.refusals[request.Sequence] = refused
	return tamarackrun.Refused(reason)
}

// dropRefusal removes the refusal of a ticket, if there is one.
func (l *Ledger) dropRefusal(sequence uint64) {
	refused, ok := l.refusals[sequence]
	if !ok {
		return
	}
	delete(l.refusals, sequence)
	if l.refusalsPerOrganisation[refused.organisation]--; l.refusalsPerOrganisation[refused.organisation] == 0 {
		delete(l.refusalsPerOrganisation, refused.organisation)
	}
}
