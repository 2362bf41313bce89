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

// Refused returns the outcome of a request that the callers' port refuses
// before it calls Steer.
func (in *Instance) Refused(r *http.Request, id string, reason tamarackrun.Reason) tamarackrun.Outcome {
	outcome := in.ticketed.refusalOutcome(r, id, tamarackrun.Refused(reason))
	in.history.CountOutcome("entry", outcome)
	return outcome
}

// refusalOutcome returns the outcome of a request that this instance refuses
// before it asked the ledger. An earlier request with the same ticket may have
// run or may be running, so NotRun may only be returned if a ledger excludes
// that.
func (tr *ticketedRequests) refusalOutcome(r *http.Request, id string, outcome tamarackrun.Outcome) tamarackrun.Outcome {
	ticketText := r.Header.Get(caller.TicketHeader)
	if ticketText == "" || outcome.Kind != tamarackrun.NotRun {
		return outcome
	}
	t, ok := ticket.Parse(ticketText)
	if !ok {
		// Nothing can have run with a text that is not a ticket.
		return outcome
	}
	settled := tr.ledgerRefusal(r, t, ticketText, outcome.Reason)
	tr.in.history.Record(event.RefusalSettled, id, "reason", string(outcome.Reason), "outcome", settled.String())
	return settled
}

// ledgerRefusal looks the ticket of a refused request up in this instance's
// ledger or in a sealed one that is in memory. A request whose key does not
// belong to the ticket's organisation always gets Unknown, so that it neither
// learns the ticket's state nor has a refusal recorded for the ticket.
func (tr *ticketedRequests) ledgerRefusal(r *http.Request, t ticket.Ticket, ticketText string, reason tamarackrun.Reason) tamarackrun.Outcome {
	organisation, known := keyOrganisation(tr.in.snapshot.Load(), r)
	try, ok := tryNumber(r)
	if !known || !ok || organisation != t.Organisation {
		return tamarackrun.Uncertain(reason)
	}
	if t.Incarnation == tr.in.incarnation {
		if _, ok := ticket.Verify(tr.issuer.Key(), ticketText); !ok {
			return tamarackrun.Refused(reason)
		}
		return tr.ledger.Refuse(tr.in.clock.Now(), ledger.Request{Sequence: t.Sequence, Organisation: t.Organisation,
			Expiry: t.Expiry(), Try: try}, reason)
	}
	if s, ok := tr.sealed.get(t.Incarnation); ok && s.excludes(ticketText) {
		return tamarackrun.Refused(reason)
	}
	return tamarackrun.Uncertain(reason)
}

// keyOrganisation returns the organisation of the key that came with a request,
// also if the key is withdrawn. It returns "" without a key; known is false
// unless the request has no key or exactly one, and that one is in the
// configuration.
func keyOrganisation(c *configuration.Snapshot, r *http.Request) (organisation string, known bool) {
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

// tryNumber returns the caller's count of its tries of a ticketed request; 1 if
// the request has no count.
func tryNumber(r *http.Request) (uint32, bool) {
	text := r.Header.Get(caller.TryHeader)
	if text == "" {
		return 1, true
	}
	n, err := strconv.ParseUint(text, 10, 32)
	return uint32(n), err == nil
}

// allKeysWithdrawn reports whether an organisation has keys and none of them is
// valid. An organisation without keys may be newer than the snapshot.
func allKeysWithdrawn(c *configuration.Snapshot, organisation string) bool {
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

// excludes reports whether no request ran or will run with a ticket.
func (l sealedLedger) excludes(ticketText string) bool {
	for _, p := range l.parts {
		t, ok := ticket.Verify(p.key, ticketText)
		if !ok {
			// The ticket is forged: all parts have the same key.
			return true
		}
		if t.Sequence >= p.from && t.Sequence < p.until {
			return p.records[t.Sequence] == nil
		}
	}
	return false
}
