// Package loan moves single tokens of organisations' limits between instances. The
// limit is divided over the instances by need, and a small organisation's burst
// comes to few tokens on each. A token that is lent leaves the lender's part, so
// that the sum stays the same; one that is lost on its way is not used.
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
	// patience is how long a request waits for a token in all. A round trip
	// inside a region takes 3 ms.
	patience = 30 * time.Millisecond
	// tries is the number of instances that are asked, as others may have
	// borrowed their tokens since their reports.
	tries = 2
	// lateTime is how long a token that comes late is taken.
	lateTime = 2 * time.Second
)

// Outcome says how a token was asked for.
type Outcome string

// Outcomes of Borrow.
const (
	Granted  Outcome = "granted"
	Declined Outcome = "declined"
	// NoLender says that no instance has reported a token to spare.
	NoLender Outcome = "noLender"
	// Unanswered says that no answer came in time.
	Unanswered Outcome = "unanswered"
)

// Broker borrows and lends tokens. It is safe for concurrent use.
type Broker struct {
	// These fields are set before use. Lender names the instance to ask, Take
	// takes a token out of the own part, and Send sends a message.
	FindLender func(organisation string) (netip.AddrPort, bool)
	TakeToken  func(organisation string) bool
	// ReturnToken puts a token that came too late for its request into the own part.
	ReturnToken func(organisation string)
	Send        func(message *wire.InstanceMessage, addresses ...netip.AddrPort) int

	mu sync.Mutex
	// number is that of the latest request. It starts at random, so that answers
	// to an earlier process fit none.
	number  uint64
	waiting map[uint64]chan Outcome
	// late has the organisations of requests that were given up lately.
	late map[uint64]string
}

// New returns a desk that waits for no answer.
func New() *Broker {
	return &Broker{number: rand.Uint64(), waiting: map[uint64]chan Outcome{}, late: map[uint64]string{}}
}

// Borrow asks other instances for a token, one after the other, and waits for it.
func (d *Broker) Borrow(ctx context.Context, organisation string) Outcome {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	outcome := NoLender
	for range tries {
		lender, ok := d.FindLender(organisation)
		if !ok {
			break
		}
		if outcome = d.ask(ctx, lender, organisation); outcome != Declined {
			break
		}
	}
	return outcome
}

// ask asks one instance.
func (d *Broker) ask(ctx context.Context, lender netip.AddrPort, organisation string) Outcome {
	answer := make(chan Outcome, 1)
	d.mu.Lock()
	d.number++
	number := d.number
	d.waiting[number] = answer
	d.mu.Unlock()
	// A failed send is like a lost one.
	_ = d.Send(&wire.InstanceMessage{Content: &wire.InstanceMessage_TokenRequest{
		TokenRequest: &wire.TokenRequest{Number: number, Organisation: organisation}}}, lender)
	select {
	case outcome := <-answer:
		return outcome
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.waiting[number]; !ok {
		// The answer came at the same moment.
		return <-answer
	}
	delete(d.waiting, number)
	d.late[number] = organisation
	time.AfterFunc(lateTime, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.late, number)
	})
	return Unanswered
}

// HandleRequest answers a request of another instance.
func (d *Broker) HandleRequest(r *wire.TokenRequest, from netip.AddrPort) {
	_ = d.Send(&wire.InstanceMessage{Content: &wire.InstanceMessage_TokenGrant{
		TokenGrant: &wire.TokenGrant{Number: r.Number, Granted: d.TakeToken(r.Organisation)}}}, from)
}

// HandleGrant takes the answer to an own request. One that comes twice is dropped.
func (d *Broker) HandleGrant(l *wire.TokenGrant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if answer, ok := d.waiting[l.Number]; ok {
		delete(d.waiting, l.Number)
		if l.Granted {
			answer <- Granted
		} else {
			answer <- Declined
		}
		return
	}
	if organisation, ok := d.late[l.Number]; ok {
		delete(d.late, l.Number)
		if l.Granted {
			d.ReturnToken(organisation)
		}
	}
}
