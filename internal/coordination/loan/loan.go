// Package loan lends single tokens of the rate limits of package quota between
// instances. Each instance has a share of an organisation's limit, and its share of a
// small organisation's burst is only a few tokens. The lender removes a token from its bucket before it
// sends it, so that a loan never raises the fleet-wide total. A token whose message
// is lost is not used at all.
package loan

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"tamarackrun/internal/protocol/wire"
)

const (
	// borrowTimeout is how long a request waits for a token, over all lenders that
	// it asks. A round trip within a region takes 3 ms.
	borrowTimeout = 30 * time.Millisecond
	// maxLenders is the number of instances that a request asks. One may not be
	// enough, because others may have borrowed its tokens since its last report.
	maxLenders = 2
	// lateGrantWindow is how long after the timeout a granted token is still accepted.
	lateGrantWindow = 2 * time.Second
)

// Outcome is the result of an attempt to borrow a token.
type Outcome string

// Outcomes of Borrow.
const (
	Granted  Outcome = "granted"
	Declined Outcome = "declined"
	// NoLender means that no instance has reported a spare token.
	NoLender Outcome = "noLender"
	// Unanswered means that no answer arrived in time.
	Unanswered Outcome = "unanswered"
)

// Broker borrows tokens from other instances and lends tokens to them. Its exported
// fields are set before use. It is safe for concurrent use.
type Broker struct {
	// FindLender returns the address of an instance to ask for a token, if any.
	FindLender func(organisation string) (netip.AddrPort, bool)
	// TakeToken takes a token from this instance's bucket and reports whether there
	// was one.
	TakeToken func(organisation string) bool
	// ReturnToken adds to this instance's bucket a borrowed token that arrived too
	// late for its request.
	ReturnToken func(organisation string)
	// Send sends a message to the addresses and returns the number of addresses to
	// which it could not be sent.
	Send func(message *wire.InstanceMessage, addresses ...netip.AddrPort) int

	mu sync.Mutex
	// lastNumber is the number of the latest token request. It starts at a random
	// value, so that answers to an earlier process match no request of this one.
	lastNumber uint64
	// waiting holds the token requests without an answer, by number.
	waiting map[uint64]chan Outcome
	// abandoned holds the organisations of token requests that timed out less than
	// lateGrantWindow ago, by number.
	abandoned map[uint64]string
}

// New returns a broker without open requests.
func New() *Broker {
	return &Broker{lastNumber: rand.Uint64(), waiting: map[uint64]chan Outcome{}, abandoned: map[uint64]string{}}
}

// Borrow asks up to maxLenders other instances for a token, one after the other. It
// waits for their answers.
func (b *Broker) Borrow(ctx context.Context, organisation string) Outcome {
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	outcome := NoLender
	for range maxLenders {
		lender, ok := b.FindLender(organisation)
		if !ok {
			break
		}
		if outcome = b.request(ctx, lender, organisation); outcome != Declined {
			break
		}
	}
	return outcome
}

// Ask asks the instance at an address for a token and waits for the answer as long as the
// timeout.
func (b *Broker) Ask(ctx context.Context, lender netip.AddrPort, organisation string, timeout time.Duration) Outcome {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return b.request(ctx, lender, organisation)
}

// GiveBack returns a token to the instance that granted it.
func (b *Broker) GiveBack(lender netip.AddrPort, organisation string) {
	// A lost token only leads to a refusal.
	_ = b.Send(&wire.InstanceMessage{Content: &wire.InstanceMessage_TokenReturn{TokenReturn: &wire.TokenReturn{Organisation: organisation}}}, lender)
}

// request asks one instance for a token and waits for its answer.
func (b *Broker) request(ctx context.Context, lender netip.AddrPort, organisation string) Outcome {
	outcomes := make(chan Outcome, 1)
	b.mu.Lock()
	b.lastNumber++
	number := b.lastNumber
	b.waiting[number] = outcomes
	b.mu.Unlock()
	// A failed send has the same effect as a lost message: no answer arrives.
	_ = b.Send(&wire.InstanceMessage{Content: &wire.InstanceMessage_TokenRequest{
		TokenRequest: &wire.TokenRequest{Number: number, Organisation: organisation}}}, lender)
	select {
	case outcome := <-outcomes:
		return outcome
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.waiting[number]; !ok {
		// The answer arrived after ctx ended and before the lock was taken.
		return <-outcomes
	}
	delete(b.waiting, number)
	b.abandoned[number] = organisation
	time.AfterFunc(lateGrantWindow, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		delete(b.abandoned, number)
	})
	return Unanswered
}

// HandleRequest answers another instance's request for a token.
func (b *Broker) HandleRequest(request *wire.TokenRequest, from netip.AddrPort) {
	_ = b.Send(&wire.InstanceMessage{Content: &wire.InstanceMessage_TokenGrant{
		TokenGrant: &wire.TokenGrant{Number: request.Number, Granted: b.TakeToken(request.Organisation)}}}, from)
}

// HandleGrant handles the answer to a request of this instance. A repeated answer is
// ignored.
func (b *Broker) HandleGrant(grant *wire.TokenGrant) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if outcomes, ok := b.waiting[grant.Number]; ok {
		delete(b.waiting, grant.Number)
		if grant.Granted {
			outcomes <- Granted
		} else {
			outcomes <- Declined
		}
		return
	}
	if organisation, ok := b.abandoned[grant.Number]; ok {
		delete(b.abandoned, grant.Number)
		if grant.Granted {
			b.ReturnToken(organisation)
		}
	}
}
