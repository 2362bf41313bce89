package instance

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/ticket"
	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/frame"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/ledger"
	"tamarackrun/internal/transport/caller"
)

const (
	ticketKeySize = 32
	// resolveLimit is how long an order waits for its home to settle it after
	// the link was lost. It covers the time until heartbeats replace a silent
	// connection. A later repeat of the ticket asks again.
	resolveLimit = 3 * time.Second
	// issuerGrace is the time beyond the deadline in which the issuer answers.
	issuerGrace = resolveLimit + time.Second
	sweepPause  = 5 * time.Second
	// resolveTimeout bounds one question to the home. The home answers after
	// resolveWait at the latest.
	resolveTimeout = time.Second
	resolveWait    = 700 * time.Millisecond
	resolvePause   = 100 * time.Millisecond
	// maxPiece is the largest body piece of a repeated answer, in bytes.
	maxPiece = 32 << 10
)

// orders runs non-idempotent requests at most once: it is the issuer of this
// incarnation's tickets, and at a home the gate of all attempts.
type orders struct {
	in       *Instance
	issuer   *ticket.Issuer
	ledger   *ledger.Ledger
	attempts *ledger.Attempts
	sealed   *sealedLedgers

	mu sync.Mutex
	// sent has the latest attempt of each running request, by request id.
	sent map[string]sentAttempt
	// doubtful has the attempt of each ticket whose outcome is unknown, by
	// sequence number, until the home may no longer be asked.
	doubtful map[uint64]sentAttempt
}

// sentAttempt is an attempt that went to a home over a link.
type sentAttempt struct {
	id string
	// home and incarnation say who may have begun it.
	home, incarnation string
	// at is when it was sent.
	at time.Duration
	// status is that of the answer if the home reported that the attempt ran.
	status int
}

func newOrders(in *Instance) *orders {
	key := make([]byte, ticketKeySize)
	// The function ends the process if the system has no randomness.
	_, _ = rand.Read(key)
	return &orders{in: in, issuer: ticket.NewIssuer(in.incarnation, key), ledger: ledger.New(), attempts: ledger.NewAttempts(),
		sealed: newSealedLedgers(in), sent: map[string]sentAttempt{}, doubtful: map[uint64]sentAttempt{}}
}

// serveTickets answers POST /v1/tickets?route=NAME&count=N.
func (o *orders) serveTickets(w http.ResponseWriter, r *http.Request) {
	texts, outcome := o.issue(r)
	if outcome != tamarackrun.Done {
		o.in.history.CountOutcome("tickets", outcome)
		caller.WriteOutcome(w, "", outcome)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Tickets        []string `json:"tickets"`
		LifetimeMillis int64    `json:"lifetimeMillis"`
	}{texts, ticket.Lifetime.Milliseconds()})
}

func (o *orders) issue(r *http.Request) ([]string, tamarackrun.Outcome) {
	c := o.in.snapshot.Load()
	if c == nil {
		return nil, tamarackrun.Refused(tamarackrun.NotReady)
	}
	if o.in.leaving.Load() {
		return nil, tamarackrun.Refused(tamarackrun.Leaving)
	}
	query := r.URL.Query()
	count := 1
	if text := query.Get("count"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > ticket.MaxCount {
			return nil, tamarackrun.Refused(tamarackrun.Malformed)
		}
		count = n
	}
	route, ok := routeNamed(c, query.Get("route"))
	if !ok || route.Idempotent {
		return nil, tamarackrun.Refused(tamarackrun.RouteUnknown)
	}
	organisation, outcome := o.in.authenticate(c, route, r)
	if outcome != tamarackrun.Done {
		return nil, outcome
	}
	texts, err := o.issuer.Issue(o.in.clock.Now(), organisation, route.Name, count)
	if err != nil {
		return nil, tamarackrun.Refused(tamarackrun.Malformed)
	}
	o.in.history.Record(event.TicketsIssued, "", "organisation", organisation, "route", route.Name, "count", strconv.Itoa(count))
	return texts, tamarackrun.Done
}

func routeNamed(c *configuration.Snapshot, name string) (configuration.Route, bool) {
	for _, r := range c.Routes {
		if r.Name == name {
			return r, true
		}
	}
	return configuration.Route{}, false
}

// accept takes a non-idempotent request of a caller.
func (o *orders) accept(r *http.Request, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	text := r.Header.Get(caller.TicketHeader)
	if text == "" {
		return tamarackrun.Refused(tamarackrun.TicketRequired)
	}
	t, ok := ticket.Parse(text)
	if !ok || t.Organisation != request.Organisation {
		// Nothing of this organisation ran under the ticket.
		return tamarackrun.Refused(tamarackrun.TicketInvalid)
	}
	if t.Route != request.Route {
		// The path may have been the ticket's route when the order ran.
		return o.refused(r, request.ID, tamarackrun.Refused(tamarackrun.TicketInvalid))
	}
	try, ok := tryOf(r)
	if !ok {
		return o.refused(r, request.ID, tamarackrun.Refused(tamarackrun.Malformed))
	}
	if t.Incarnation == o.in.incarnation {
		return o.execute(r.Context(), text, try, request, answer)
	}
	return o.forward(r.Context(), t, text, try, request, answer)
}

func matches(t ticket.Ticket, request tamarackrun.Request) bool {
	return t.Organisation == request.Organisation && t.Route == request.Route
}

// forward sends the request to the issuer of its ticket. Only the issuer or its
// sealed ledger knows whether an earlier request ran under the ticket, so that
// without them the outcome is unknown even if this request got nowhere.
func (o *orders) forward(ctx context.Context, t ticket.Ticket, text string, try uint32, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	if s, ok := o.sealed.get(t.Incarnation); ok {
		return s.answer(text, request, answer)
	}
	member, listed := o.in.roster.Member(nameOf(t.Incarnation))
	gone := !listed || member.Reachable && member.State.GetIncarnation() != t.Incarnation
	if !gone && member.Reachable {
		return o.forwardTo(ctx, member.Listing.PeerAddress, text, try, request, answer)
	}
	ctx, cancel := context.WithTimeout(ctx, request.Deadline-o.in.clock.Now())
	defer cancel()
	if s, ok := o.sealed.load(ctx, t.Incarnation); ok {
		return s.answer(text, request, answer)
	}
	if gone {
		return tamarackrun.Uncertain(tamarackrun.IssuerGone)
	}
	return tamarackrun.Uncertain(tamarackrun.IssuerLost)
}

// nameOf returns the name of the instance that an incarnation is a run of.
func nameOf(incarnation string) string {
	return incarnation[:max(0, strings.LastIndexByte(incarnation, '-'))]
}

func (o *orders) forwardTo(ctx context.Context, address, text string, try uint32, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	ctx, cancel := context.WithTimeout(ctx, request.Deadline-o.in.clock.Now()+issuerGrace)
	defer cancel()
	stream, err := o.in.mesh.Open(ctx, address)
	if err != nil {
		return tamarackrun.Uncertain(tamarackrun.IssuerLost)
	}
	defer func() { _ = stream.Close() }()
	o.in.history.Record(event.OrderForwarded, request.ID, "address", address)
	message := &wire.Envelope{Kind: &wire.Envelope_Execute{Execute: &wire.Execute{
		Ticket: text, Try: try, Request: o.in.toMessage(request)}}}
	if stream.Send(message) != nil {
		return tamarackrun.Uncertain(tamarackrun.IssuerLost)
	}
	outcome, began := frame.ReceiveAnswer(stream, answer)
	if !began {
		return tamarackrun.Uncertain(tamarackrun.IssuerLost)
	}
	return outcome
}

// servePeer serves the exchanges that concern orders.
func (o *orders) servePeer(ctx context.Context, first *wire.Envelope, stream tamarackrun.Stream) {
	switch kind := first.Kind.(type) {
	case *wire.Envelope_Execute:
		sender := frame.NewAnswerSender(stream)
		outcome := o.executeForPeer(ctx, kind.Execute, sender)
		_ = sender.Finish(outcome)
	case *wire.Envelope_Resolve:
		outcome, status := o.resolveHere(ctx, kind.Resolve.Attempt)
		_ = stream.Send(&wire.Envelope{Kind: &wire.Envelope_Resolved{Resolved: &wire.Resolved{
			Outcome: uint32(outcome.Kind), Reason: string(outcome.Reason), Status: uint32(status)}}})
	case *wire.Envelope_SealLedger:
		o.sealed.add(kind.SealLedger)
		_ = stream.Send(&wire.Envelope{Kind: &wire.Envelope_Ack{Ack: &wire.Ack{}}})
	}
}

func (o *orders) executeForPeer(ctx context.Context, e *wire.Execute, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	if e.Request == nil {
		return tamarackrun.Uncertain(tamarackrun.Malformed)
	}
	request, known := o.in.fromMessage(e.Request)
	if !known {
		return tamarackrun.Uncertain(tamarackrun.IssuerLost)
	}
	request.Idempotent = false
	t, ok := ticket.Parse(e.Ticket)
	switch {
	case !ok:
		return tamarackrun.Refused(tamarackrun.TicketInvalid)
	case t.Incarnation != o.in.incarnation:
		// The ticket is of a predecessor with the same address.
		return tamarackrun.Uncertain(tamarackrun.IssuerGone)
	}
	return o.execute(ctx, e.Ticket, e.Try, request, answer)
}

// orderHash covers what makes two requests the same order.
func orderHash(request tamarackrun.Request) (sum [sha256.Size]byte) {
	h := sha256.New()
	for _, part := range []string{request.Method, request.Target} {
		_, _ = h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	_, _ = h.Write(request.Body)
	copy(sum[:], h.Sum(nil))
	return sum
}

// execute runs a request under a ticket of this incarnation, or answers it from
// the ledger.
func (o *orders) execute(ctx context.Context, text string, try uint32, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	t, ok := ticket.Verify(o.issuer.Key(), text)
	if !ok || !matches(t, request) {
		return tamarackrun.Refused(tamarackrun.TicketInvalid)
	}
	run, fresh := o.ledger.Begin(o.in.clock.Now(), ledger.Request{Sequence: t.Sequence, Organisation: t.Organisation,
		Hash: orderHash(request), Expiry: t.Expiry(), Try: try})
	if fresh {
		// The order goes on when its caller disconnects: it may already have
		// run, and a repeat of the ticket then gets its answer.
		return o.start(context.WithoutCancel(ctx), t, run, request, answer)
	}
	return o.repeat(ctx, t, run, request, answer)
}

// start runs a request and records its outcome before the caller gets it.
func (o *orders) start(ctx context.Context, t ticket.Ticket, run *ledger.Run, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	rec := &recorder{live: answer}
	outcome := tamarackrun.Uncertain(tamarackrun.AnswerLost)
	// A panic must not leave the ticket without an outcome.
	defer func() { o.ledger.Finish(t.Sequence, run, outcome, rec.stored(0)) }()
	outcome = o.run(ctx, request, rec)
	o.mu.Lock()
	sent := o.sent[request.ID]
	delete(o.sent, request.ID)
	if outcome.Kind == tamarackrun.Unknown && sent.id != "" {
		o.doubtful[t.Sequence] = sent
	}
	o.mu.Unlock()
	stored := rec.stored(sent.status)
	o.ledger.Finish(t.Sequence, run, outcome, stored)
	if outcome.Kind != tamarackrun.Ran {
		return outcome
	}
	return rec.conclude(stored)
}

func (o *orders) run(ctx context.Context, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	c := o.in.snapshot.Load()
	if c == nil {
		return tamarackrun.Refused(tamarackrun.NotReady)
	}
	route, ok := routeNamed(c, request.Route)
	if !ok {
		return tamarackrun.Refused(tamarackrun.RouteUnknown)
	}
	if o.in.clock.Now() >= request.Deadline {
		return tamarackrun.Refused(tamarackrun.DeadlinePassed)
	}
	if allWithdrawn(c, request.Organisation) {
		return tamarackrun.Refused(tamarackrun.KeyWithdrawn)
	}
	if request.Organisation != "" {
		var outcome tamarackrun.Outcome
		if request.Admitted, outcome = o.in.rates.admit(ctx, request.Organisation, request.Deadline); outcome != tamarackrun.Done {
			return outcome
		}
	}
	o.in.history.Record(event.RequestAccepted, request.ID, "organisation", request.Organisation, "route", route.Name)
	return o.in.attempt(ctx, c, route, request, answer)
}

// repeat answers a request whose ticket was used before.
func (o *orders) repeat(ctx context.Context, t ticket.Ticket, run *ledger.Run, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	timer := time.NewTimer(request.Deadline - o.in.clock.Now())
	defer timer.Stop()
	select {
	case <-run.Done():
	case <-timer.C:
		return tamarackrun.Uncertain(tamarackrun.StillRunning)
	case <-ctx.Done():
		return tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
	}
	outcome, kept := run.Outcome()
	if outcome.Kind == tamarackrun.Unknown {
		outcome, kept = o.settle(ctx, t.Sequence, outcome)
	}
	o.in.history.Record(event.OrderRepeated, request.ID, "sequence", strconv.FormatUint(t.Sequence, 10), "outcome", outcome.String())
	if outcome.Kind != tamarackrun.Ran {
		return outcome
	}
	return replay(answer, kept)
}

// settle asks the home of a doubtful attempt once more, since a home that was
// paused or unreachable may be back.
func (o *orders) settle(ctx context.Context, sequence uint64, before tamarackrun.Outcome) (tamarackrun.Outcome, *ledger.Answer) {
	o.mu.Lock()
	sent, ok := o.doubtful[sequence]
	o.mu.Unlock()
	if !ok {
		return before, nil
	}
	outcome, status := o.ask(ctx, sent)
	if outcome.Kind == tamarackrun.Unknown {
		return before, nil
	}
	o.in.history.Record(event.OrderAmended, sent.id, "outcome", outcome.String())
	run := o.ledger.Amend(sequence, outcome, &ledger.Answer{Status: status, StatusOnly: true})
	o.mu.Lock()
	delete(o.doubtful, sequence)
	o.mu.Unlock()
	return run.Outcome()
}

// sweep forgets doubtful attempts whose homes may have forgotten them.
func (o *orders) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		now := o.in.clock.Now()
		o.mu.Lock()
		for sequence, s := range o.doubtful {
			if now-s.at >= ledger.ResolveLimit {
				delete(o.doubtful, sequence)
			}
		}
		o.mu.Unlock()
		waiting.Pause(ctx, sweepPause)
	}
}

// dispatchOrder sends one attempt to the home of its server and settles it when
// the link is lost.
func (o *orders) dispatchOrder(ctx context.Context, homeName string, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	// An earlier attempt, which was refused, must not answer for this one.
	o.mu.Lock()
	delete(o.sent, request.ID)
	o.mu.Unlock()
	if homeName == o.in.Settings.Name {
		request.Attempt += "@" + o.in.incarnation
		return o.in.homes.Dispatch(ctx, request, answer)
	}
	member, ok := o.in.roster.Member(homeName)
	if !ok || !member.Reachable || member.State.GetIncarnation() == "" {
		return tamarackrun.Refused(tamarackrun.HomeUnreachable)
	}
	// The home's incarnation is a part of the attempt's id, so that another
	// incarnation neither dispatches the attempt nor answers for it.
	sent := sentAttempt{id: request.Attempt + "@" + member.State.Incarnation, home: homeName,
		incarnation: member.State.Incarnation, at: o.in.clock.Now()}
	request.Attempt = sent.id
	outcome, lost := o.send(ctx, member.Listing.PeerAddress, request, answer)
	if lost {
		outcome, sent.status = o.resolve(ctx, sent, o.in.clock.Now()+resolveLimit)
		o.in.history.Record(event.AttemptResolved, request.ID, "attempt", sent.id, "outcome", outcome.String())
	}
	o.mu.Lock()
	o.sent[request.ID] = sent
	o.mu.Unlock()
	return outcome
}

// send returns whether the link was lost so that the outcome is not settled.
func (o *orders) send(ctx context.Context, address string, request tamarackrun.Request, answer tamarackrun.AnswerWriter) (outcome tamarackrun.Outcome, lost bool) {
	ctx, cancel := context.WithTimeout(ctx, request.Deadline-o.in.clock.Now())
	defer cancel()
	stream, err := o.in.mesh.Open(ctx, address)
	if err != nil {
		return tamarackrun.Refused(tamarackrun.HomeUnreachable), false
	}
	defer func() { _ = stream.Close() }()
	message := &wire.Envelope{Kind: &wire.Envelope_Dispatch{Dispatch: o.in.toMessage(request)}}
	if stream.Send(message) != nil {
		// A part of the message may have been sent, or all of it.
		return tamarackrun.Uncertain(tamarackrun.HomeLost), true
	}
	outcome, began := frame.ReceiveAnswer(stream, answer)
	return outcome, !began || outcome.Reason == tamarackrun.HomeLost || outcome.Reason == tamarackrun.AnswerTruncated
}

// resolve asks the home until it settles the attempt or the limit passes.
func (o *orders) resolve(ctx context.Context, sent sentAttempt, limit time.Duration) (tamarackrun.Outcome, int) {
	for {
		outcome, status := o.ask(ctx, sent)
		gone := outcome.Reason == tamarackrun.HomeLost && o.homeGone(sent)
		asked := outcome.Kind == tamarackrun.Unknown && outcome.Reason != tamarackrun.HomeLost && outcome.Reason != tamarackrun.StillRunning
		if outcome.Kind != tamarackrun.Unknown || asked || gone || o.in.clock.Now() >= limit {
			return outcome, status
		}
		waiting.Pause(ctx, resolvePause)
	}
}

// homeGone says that another incarnation took the place of the home.
func (o *orders) homeGone(sent sentAttempt) bool {
	m, ok := o.in.roster.Member(sent.home)
	return !ok || m.Reachable && m.State.GetIncarnation() != sent.incarnation
}

// ask sends one Resolve. The outcome is NotRun only if the home barred the
// attempt and cannot have forgotten that it ran.
func (o *orders) ask(ctx context.Context, sent sentAttempt) (tamarackrun.Outcome, int) {
	lost := tamarackrun.Uncertain(tamarackrun.HomeLost)
	member, ok := o.in.roster.Member(sent.home)
	if !ok {
		return lost, 0
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	reply, err := o.in.mesh.Call(ctx, member.Listing.PeerAddress, &wire.Envelope{Kind: &wire.Envelope_Resolve{
		Resolve: &wire.Resolve{Attempt: sent.id}}})
	resolved := reply.GetResolved()
	outcome, ok := frame.ParseOutcome(resolved.GetOutcome(), resolved.GetReason())
	if err != nil || !ok {
		return lost, 0
	}
	if outcome.Kind == tamarackrun.NotRun && o.in.clock.Now()-sent.at >= ledger.ResolveLimit {
		return lost, 0
	}
	return outcome, int(resolved.GetStatus())
}

// mine says whether an attempt was sent to this incarnation.
func (o *orders) mine(attempt string) bool {
	return strings.HasSuffix(attempt, "@"+o.in.incarnation)
}

// resolveHere settles an attempt that was sent to this instance as a home.
func (o *orders) resolveHere(ctx context.Context, attempt string) (tamarackrun.Outcome, int) {
	if !o.mine(attempt) {
		return tamarackrun.Uncertain(tamarackrun.HomeLost), 0
	}
	outcome, status, running := o.attempts.Resolve(attempt)
	if running == nil {
		if outcome.Reason == tamarackrun.AttemptCancelled {
			o.in.history.Record(event.AttemptBarred, "", "attempt", attempt)
		}
		return outcome, status
	}
	timer := time.NewTimer(resolveWait)
	defer timer.Stop()
	select {
	case <-running:
		outcome, status, _ = o.attempts.Resolve(attempt)
	case <-timer.C:
	case <-ctx.Done():
	}
	return outcome, status
}

// runAttempt sends an order to a backend server, unless the attempt was barred
// or was meant for another incarnation. The request holds a slot.
func (o *orders) runAttempt(ctx context.Context, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	switch {
	case !o.mine(request.Attempt):
		return tamarackrun.Refused(tamarackrun.NotHome)
	case ctx.Err() != nil:
		return tamarackrun.Refused(tamarackrun.CallerCancelled)
	case o.in.clock.Now() >= request.Deadline:
		return tamarackrun.Refused(tamarackrun.DeadlinePassed)
	case allWithdrawn(o.in.snapshot.Load(), request.Organisation):
		// The key may have been withdrawn while the order waited for its slot.
		return tamarackrun.Refused(tamarackrun.KeyWithdrawn)
	}
	if outcome := o.attempts.Begin(request.Attempt, o.in.clock.Now()); outcome != tamarackrun.Done {
		return outcome
	}
	outcome := tamarackrun.Uncertain(tamarackrun.AnswerLost)
	tolerant := &tolerantWriter{AnswerWriter: answer}
	defer func() { o.attempts.End(request.Attempt, o.in.clock.Now(), outcome, tolerant.status) }()
	o.in.history.Record(event.RequestDispatched, request.ID, "server", request.Server, "attempt", request.Attempt,
		"organisation", request.Organisation)
	// Cancelling a dispatched order would only make its outcome unknown.
	outcome = o.in.backends.Dispatch(context.WithoutCancel(ctx), request, tolerant)
	return outcome
}
