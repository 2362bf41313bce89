package instance

import (
	"net/http"
	"strconv"

	"tamarackrun"
	"tamarackrun/internal/coordination/ticket"
	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/ledger"
	"tamarackrun/internal/transport/caller"
)

// Refused settles a request that the callers' port refuses before Steer.
func (in *Instance) Refused(r *http.Request, id string, reason tamarackrun.Reason) tamarackrun.Outcome {
	outcome := in.ticketed.refused(r, id, tamarackrun.Refused(reason))
	in.history.CountOutcome("entry", outcome)
	return outcome
}

// refused returns the outcome of a request that this instance refuses before it
// asked the ledger. An earlier request with the same ticket may have run or may
// be running, so that NotRun needs a ledger that excludes it.
func (tr *ticketedRequests) refused(r *http.Request, id string, outcome tamarackrun.Outcome) tamarackrun.Outcome {
	text := r.Header.Get(caller.TicketHeader)
	if text == "" || outcome.Kind != tamarackrun.NotRun {
		return outcome
	}
	t, ok := ticket.Parse(text)
	if !ok {
		// Nothing ran under a text that is no ticket.
		return outcome
	}
	settled := tr.settleRefusal(r, t, text, outcome.Reason)
	tr.in.history.Record(event.RefusalSettled, id, "reason", string(outcome.Reason), "outcome", settled.String())
	return settled
}

// settleRefusal asks the own ledger or a sealed one that is in memory. A request
// whose key is not of the ticket's organisation always gets Unknown, so that it
// neither learns the ticket's state nor bars it.
func (tr *ticketedRequests) settleRefusal(r *http.Request, t ticket.Ticket, text string, reason tamarackrun.Reason) tamarackrun.Outcome {
	organisation, known := organisationOf(tr.in.snapshot.Load(), r)
	try, ok := tryOf(r)
	if !known || !ok || organisation != t.Organisation {
		return tamarackrun.Uncertain(reason)
	}
	if t.Incarnation == tr.in.incarnation {
		if _, ok := ticket.Verify(tr.issuer.Key(), text); !ok {
			return tamarackrun.Refused(reason)
		}
		return tr.ledger.Refuse(tr.in.clock.Now(), ledger.Request{Sequence: t.Sequence, Organisation: t.Organisation,
			Expiry: t.Expiry(), Try: try}, reason)
	}
	if s, ok := tr.sealed.get(t.Incarnation); ok && s.excludes(text) {
		return tamarackrun.Refused(reason)
	}
	return tamarackrun.Uncertain(reason)
}

// organisationOf returns the organisation of the key that came with a request,
// which may be withdrawn. It is "" without a key, and unknown if there is not
// exactly one known key.
func organisationOf(c *configuration.Snapshot, r *http.Request) (organisation string, known bool) {
	keys := presentedKeys(r.Header)
	if c == nil || len(keys) > 1 {
		return "", false
	}
	if len(keys) == 0 {
		return "", true
	}
	key, ok := c.Keys[document.HashKey(keys[0])]
	return key.Organisation, ok
}

// tryOf returns the caller's count of its tries.
func tryOf(r *http.Request) (uint32, bool) {
	text := r.Header.Get(caller.TryHeader)
	if text == "" {
		return 1, true
	}
	n, err := strconv.ParseUint(text, 10, 32)
	return uint32(n), err == nil
}

// allWithdrawn says that an organisation has keys and that none of them is
// valid. An organisation without keys may be newer than the snapshot.
func allWithdrawn(c *configuration.Snapshot, organisation string) bool {
	withdrawn := false
	for _, k := range c.Keys {
		if k.Organisation != organisation {
			continue
		}
		if !k.Withdrawn {
			return false
		}
		withdrawn = true
	}
	return withdrawn
}

// excludes says that no request ran or will run under a ticket.
func (l sealedLedger) excludes(text string) bool {
	for _, p := range l.parts {
		t, ok := ticket.Verify(p.key, text)
		if !ok {
			// The ticket is forged; the parts have one key.
			return true
		}
		if t.Sequence >= p.from && t.Sequence < p.until {
			return p.lines[t.Sequence] == nil
		}
	}
	return false
}
