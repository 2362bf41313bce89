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
	"tamarackrun/internal/state/ledger"
	"tamarackrun/internal/transport/caller"
)

const (
	// ticketKeySize is the size of the key that signs tickets, in bytes.
	ticketKeySize = 32
	// resolveLimit is how long a ticketed request waits for its home to report the
	// outcome after the connection was lost. It covers the time until heartbeats
	// replace a silent connection. A later repeat of the ticket asks the home
	// again.
	resolveLimit = 3 * time.Second
	// issuerGrace is the time beyond the request's deadline in which the issuer
	// still answers.
	issuerGrace    = resolveLimit + time.Second
	expireInterval = 5 * time.Second
	// resolveTimeout bounds one Resolve call to the home. The home answers within
	// resolveWait.
	resolveTimeout  = time.Second
	resolveWait     = 700 * time.Millisecond
	resolveInterval = 100 * time.Millisecond
	// maxBodyPiece is the largest body piece of a replayed answer, in bytes.
	maxBodyPiece = 32 << 10
)

// ticketedRequests runs each ticketed request at most once. A ticketed request
// is a non-idempotent request, which its caller sends with a ticket: an
// idempotency key that an instance issued before. Events call such a request an
// order. As an issuer, this instance issues tickets and keeps the ledger of the
// requests that came with them. As a home, it decides for each dispatch attempt
// that it is sent whether the attempt may run.
type ticketedRequests struct {
	in       *Instance
	issuer   *ticket.Issuer
	ledger   *ledger.Ledger
	attempts *ledger.Attempts
	sealed   *sealedLedgers

	mu sync.Mutex
	// latest holds the latest attempt of each running request that went to another
	// instance, by request id.
	latest map[string]sentAttempt
	// unresolved holds the attempt of each run whose outcome is unknown, for as long as
	// the home can be asked about it. A ticket may have several runs, one after the other.
	unresolved map[*ledger.Run]sentAttempt
}

// sentAttempt is an attempt that was sent to a home in another instance.
type sentAttempt struct {
	id string
	// home and incarnation name the instance, and its run, that may have begun the
	// attempt.
	home, incarnation string
	// sentAt is when the attempt was sent.
	sentAt time.Duration
	// status is the status of the answer if the home reported that the attempt
	// ran, else 0.
	status int
}

func newTicketedRequests(in *Instance) *ticketedRequests {
	key := make([]byte, ticketKeySize)
	// rand.Read ends the process if the system has no randomness.
	_, _ = rand.Read(key)
	return &ticketedRequests{
		in:         in,
		issuer:     ticket.NewIssuer(in.incarnation, key),
		ledger:     ledger.New(),
		attempts:   ledger.NewAttempts(),
		sealed:     newSealedLedgers(in),
		latest:     map[string]sentAttempt{},
		unresolved: map[*ledger.Run]sentAttempt{},
	}
}

// serveTickets answers POST /v1/tickets?route=NAME&count=N.
func (tr *ticketedRequests) serveTickets(w http.ResponseWriter, r *http.Request) {
	texts, outcome := tr.issueTickets(r)
	if outcome != tamarackrun.Done {
		tr.in.history.CountOutcome("tickets", outcome)
		caller.WriteOutcome(w, "", outcome)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Tickets        []string `json:"tickets"`
		LifetimeMillis int64    `json:"lifetimeMillis"`
	}{texts, ticket.Lifetime.Milliseconds()})
}

// issueTickets returns the tickets that a caller requests, or a refusal.
func (tr *ticketedRequests) issueTickets(r *http.Request) ([]string, tamarackrun.Outcome) {
	c := tr.in.snapshot.Load()
	if c == nil {
		return nil, tamarackrun.Refused(tamarackrun.NotReady)
	}
	if tr.in.leaving.Load() {
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
	route, ok := c.RouteByName(query.Get("route"))
	if !ok || route.Idempotent {
		return nil, tamarackrun.Refused(tamarackrun.RouteUnknown)
	}
	organisation, outcome := tr.in.authenticate(c, route, r)
	if outcome != tamarackrun.Done {
		return nil, outcome
	}
	texts, err := tr.issuer.Issue(tr.in.clock.Now(), organisation, route.Name, count)
	if err != nil {
		return nil, tamarackrun.Refused(tamarackrun.Malformed)
	}
	tr.in.history.Record(event.TicketsIssued, "", "organisation", organisation, "route", route.Name, "count", strconv.Itoa(count))
	return texts, tamarackrun.Done
}

// accept handles a ticketed request of a caller.
func (tr *ticketedRequests) accept(r *http.Request, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	ticketText := r.Header.Get(caller.TicketHeader)
	if ticketText == "" {
		return tamarackrun.Refused(tamarackrun.TicketRequired)
	}
	t, ok := ticket.Parse(ticketText)
	if !ok || t.Organisation != request.Organisation {
		// Nothing of this organisation ran with the ticket.
		return tamarackrun.Refused(tamarackrun.TicketInvalid)
	}
	if t.Route != request.Route {
		// The path may have belonged to the ticket's route when an earlier request
		// ran.
		return tr.refusalOutcome(r, request.ID, tamarackrun.Refused(tamarackrun.TicketInvalid))
	}
	try, ok := tryNumber(r)
	if !ok {
		return tr.refusalOutcome(r, request.ID, tamarackrun.Refused(tamarackrun.Malformed))
	}
	if t.Incarnation == tr.in.incarnation {
		return tr.execute(r.Context(), ticketText, try, request, answer)
	}
	return tr.forwardToIssuer(r.Context(), t, ticketText, try, request, answer)
}

// ticketMatches reports whether a ticket was issued for the organisation and the
// route of the request.
func ticketMatches(t ticket.Ticket, request tamarackrun.Request) bool {
	return t.Organisation == request.Organisation && t.Route == request.Route
}

// forwardToIssuer sends the request to the issuer of its ticket, or answers it
// from the issuer's sealed ledger. Only those know whether an earlier request
// ran with the ticket. Without them the outcome is unknown, even if this
// request was sent nowhere.
func (tr *ticketedRequests) forwardToIssuer(ctx context.Context, t ticket.Ticket, ticketText string, try uint32, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	if s, ok := tr.sealed.get(t.Incarnation); ok {
		return s.answer(ticketText, request, answer)
	}
	member, listed := tr.in.roster.Member(instanceName(t.Incarnation))
	gone := !listed || member.Reachable && member.State.GetIncarnation() != t.Incarnation
	if !gone && member.Reachable {
		return tr.sendToIssuer(ctx, member.Listing.PeerAddress, ticketText, try, request, answer)
	}
	ctx, cancel := context.WithTimeout(ctx, request.Deadline-tr.in.clock.Now())
	defer cancel()
	if s, ok := tr.sealed.load(ctx, t.Incarnation); ok {
		return s.answer(ticketText, request, answer)
	}
	if gone {
		return tamarackrun.Uncertain(tamarackrun.IssuerGone)
	}
	return tamarackrun.Uncertain(tamarackrun.IssuerLost)
}

// instanceName returns the name of the instance that an incarnation is a run
// of.
func instanceName(incarnation string) string {
	return incarnation[:max(0, strings.LastIndexByte(incarnation, '-'))]
}

// sendToIssuer sends the request to the issuer at a peer address and passes the
// answer on.
func (tr *ticketedRequests) sendToIssuer(ctx context.Context, address, ticketText string, try uint32, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	ctx, cancel := context.WithTimeout(ctx, request.Deadline-tr.in.clock.Now()+issuerGrace)
	defer cancel()
	stream, err := tr.in.mesh.Open(ctx, address)
	if err != nil {
		return tamarackrun.Uncertain(tamarackrun.IssuerLost)
	}
	defer func() { _ = stream.Close() }()
	tr.in.history.Record(event.OrderForwarded, request.ID, "address", address)
	message := &wire.Envelope{Kind: &wire.Envelope_Execute{Execute: &wire.Execute{
		Ticket: ticketText, Try: try, Request: tr.in.toMessage(request)}}}
	if stream.Send(message) != nil {
		return tamarackrun.Uncertain(tamarackrun.IssuerLost)
	}
	outcome, began := frame.ReceiveAnswer(stream, answer)
	if !began {
		return tamarackrun.Uncertain(tamarackrun.IssuerLost)
	}
	return outcome
}

// servePeer serves the exchanges about ticketed requests that a peer opens.
func (tr *ticketedRequests) servePeer(ctx context.Context, first *wire.Envelope, stream tamarackrun.Stream) {
	switch kind := first.Kind.(type) {
	case *wire.Envelope_Execute:
		sender := frame.NewAnswerSender(stream)
		outcome := tr.executeForPeer(ctx, kind.Execute, sender)
		_ = sender.Finish(outcome)
	case *wire.Envelope_Resolve:
		outcome, status := tr.resolveAttempt(ctx, kind.Resolve.Attempt)
		_ = stream.Send(&wire.Envelope{Kind: &wire.Envelope_Resolved{Resolved: &wire.Resolved{
			Outcome: uint32(outcome.Kind), Reason: string(outcome.Reason), Status: uint32(status)}}})
	case *wire.Envelope_SealLedger:
		tr.sealed.add(kind.SealLedger)
		_ = stream.Send(&wire.Envelope{Kind: &wire.Envelope_Ack{Ack: &wire.Ack{}}})
	}
}

// executeForPeer executes a ticketed request that a peer forwarded to this instance
// as the issuer of the ticket.
func (tr *ticketedRequests) executeForPeer(ctx context.Context, e *wire.Execute, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	if e.Request == nil {
		return tamarackrun.Uncertain(tamarackrun.Malformed)
	}
	request, known := tr.in.fromMessage(e.Request)
	if !known {
		return tamarackrun.Uncertain(tamarackrun.IssuerLost)
	}
	request.Idempotent = false
	t, ok := ticket.Parse(e.Ticket)
	switch {
	case !ok:
		return tamarackrun.Refused(tamarackrun.TicketInvalid)
	case t.Incarnation != tr.in.incarnation:
		// The ticket was issued by an earlier instance at this address.
		return tamarackrun.Uncertain(tamarackrun.IssuerGone)
	}
	return tr.execute(ctx, e.Ticket, e.Try, request, answer)
}

// requestHash covers the parts that have to be equal in all requests with one
// ticket.
func requestHash(request tamarackrun.Request) (sum [sha256.Size]byte) {
	h := sha256.New()
	for _, part := range []string{request.Method, request.Target} {
		_, _ = h.Write([]byte(strconv.Itoa(len(part)) + ":" + part))
	}
	_, _ = h.Write(request.Body)
	copy(sum[:], h.Sum(nil))
	return sum
}

// execute runs a request with a ticket of this incarnation, or answers a repeat
// from the ledger.
func (tr *ticketedRequests) execute(ctx context.Context, ticketText string, try uint32, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	t, ok := ticket.Verify(tr.issuer.Key(), ticketText)
	if !ok || !ticketMatches(t, request) {
		return tamarackrun.Refused(tamarackrun.TicketInvalid)
	}
	run, first := tr.ledger.Begin(tr.in.clock.Now(), ledger.Request{Sequence: t.Sequence, Organisation: t.Organisation,
		Hash: requestHash(request), Expiry: t.Expiry(), Try: try})
	if first {
		// The request continues when its caller disconnects: it may already have
		// run, and a repeat of the ticket then gets its answer.
		return tr.runFirst(context.WithoutCancel(ctx), t, run, request, answer)
	}
	return tr.answerRepeat(ctx, t, run, request, answer)
}

// runFirst runs the first request with a ticket and records its outcome before
// the caller gets it.
func (tr *ticketedRequests) runFirst(ctx context.Context, t ticket.Ticket, run *ledger.Run, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	rec := &answerRecorder{live: answer}
	outcome := tamarackrun.Uncertain(tamarackrun.AnswerLost)
	// A panic must not leave the ticket without an outcome.
	defer func() { tr.ledger.Finish(t.Sequence, run, outcome, rec.ledgerAnswer(0)) }()
	outcome = tr.admitAndDispatch(ctx, request, rec)
	tr.mu.Lock()
	sent := tr.latest[request.ID]
	delete(tr.latest, request.ID)
	if outcome.Kind == tamarackrun.Unknown && sent.id != "" {
		tr.unresolved[run] = sent
	}
	tr.mu.Unlock()
	stored := rec.ledgerAnswer(sent.status)
	tr.ledger.Finish(t.Sequence, run, outcome, stored)
	if outcome.Kind != tamarackrun.Ran {
		return outcome
	}
	return rec.deliver(stored)
}

// admitAndDispatch checks the organisation's keys, takes a rate token and
// dispatches the request.
func (tr *ticketedRequests) admitAndDispatch(ctx context.Context, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	c := tr.in.snapshot.Load()
	if c == nil {
		return tamarackrun.Refused(tamarackrun.NotReady)
	}
	route, ok := c.RouteByName(request.Route)
	if !ok {
		return tamarackrun.Refused(tamarackrun.RouteUnknown)
	}
	if tr.in.clock.Now() >= request.Deadline {
		return tamarackrun.Refused(tamarackrun.DeadlinePassed)
	}
	if allKeysWithdrawn(c, request.Organisation) {
		return tamarackrun.Refused(tamarackrun.KeyWithdrawn)
	}
	if request.Organisation != "" {
		var outcome tamarackrun.Outcome
		if request.Admitted, outcome = tr.in.rateLimiter.takeToken(ctx, request.Organisation, request.Deadline); outcome != tamarackrun.Done {
			return outcome
		}
	}
	tr.in.history.Record(event.RequestAccepted, request.ID, "organisation", request.Organisation, "route", route.Name)
	return tr.in.dispatchWithRetries(ctx, c, route, request, answer)
}

// answerRepeat answers a request whose ticket was used before, after the
// earlier request ended.
func (tr *ticketedRequests) answerRepeat(ctx context.Context, t ticket.Ticket, run *ledger.Run, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	timer := time.NewTimer(request.Deadline - tr.in.clock.Now())
	defer timer.Stop()
	select {
	case <-run.Done():
	case <-timer.C:
		return tamarackrun.Uncertain(tamarackrun.StillRunning)
	case <-ctx.Done():
		return tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
	}
	outcome, stored := run.Outcome()
	if outcome.Kind == tamarackrun.Unknown {
		outcome, stored = tr.resolveLate(ctx, t.Sequence, run)
	}
	tr.in.history.Record(event.OrderRepeated, request.ID, "sequence", strconv.FormatUint(t.Sequence, 10), "outcome", outcome.String())
	if outcome.Kind != tamarackrun.Ran {
		return outcome
	}
	return replay(answer, stored)
}

// resolveLate asks the home of an unresolved attempt once more, because a home
// that was paused or unreachable may be back. It returns the outcome of the run if
// the home cannot tell.
func (tr *ticketedRequests) resolveLate(ctx context.Context, sequence uint64, run *ledger.Run) (tamarackrun.Outcome, *ledger.Answer) {
	tr.mu.Lock()
	sent, ok := tr.unresolved[run]
	tr.mu.Unlock()
	if !ok {
		return run.Outcome()
	}
	outcome, status := tr.askHome(ctx, sent)
	if outcome.Kind == tamarackrun.Unknown {
		return run.Outcome()
	}
	tr.in.history.Record(event.OrderAmended, sent.id, "outcome", outcome.String())
	amended, stored := tr.ledger.Amend(sequence, run, outcome, &ledger.Answer{Status: status, StatusOnly: true})
	tr.mu.Lock()
	delete(tr.unresolved, run)
	tr.mu.Unlock()
	return amended, stored
}

// expireUnresolved drops unresolved attempts that are so old that their homes
// may have forgotten them.
func (tr *ticketedRequests) expireUnresolved(ctx context.Context) {
	for ctx.Err() == nil {
		now := tr.in.clock.Now()
		tr.mu.Lock()
		for run, s := range tr.unresolved {
			if now-s.sentAt >= ledger.ResolveLimit {
				delete(tr.unresolved, run)
			}
		}
		tr.mu.Unlock()
		waiting.Pause(ctx, expireInterval)
	}
}

// dispatch sends one attempt to the home of its server. When the connection is
// lost, it asks the home for the outcome.
func (tr *ticketedRequests) dispatch(ctx context.Context, homeName string, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	// The home of an earlier attempt, which was refused, must not be asked about
	// this one.
	tr.mu.Lock()
	delete(tr.latest, request.ID)
	tr.mu.Unlock()
	if homeName == tr.in.Settings.Name {
		request.Attempt += "@" + tr.in.incarnation
		return tr.in.homeServers.Dispatch(ctx, request, answer)
	}
	member, ok := tr.in.roster.Member(homeName)
	if !ok || !member.Reachable || member.State.GetIncarnation() == "" {
		return tamarackrun.Refused(tamarackrun.HomeUnreachable)
	}
	// The home's incarnation is a part of the attempt's id, so that no other
	// incarnation dispatches the attempt or reports its outcome.
	sent := sentAttempt{id: request.Attempt + "@" + member.State.Incarnation, home: homeName,
		incarnation: member.State.Incarnation, sentAt: tr.in.clock.Now()}
	request.Attempt = sent.id
	outcome, lost := tr.sendAttempt(ctx, member.Listing.PeerAddress, request, answer)
	if lost {
		outcome, sent.status = tr.resolve(ctx, sent, tr.in.clock.Now()+resolveLimit)
		tr.in.history.Record(event.AttemptResolved, request.ID, "attempt", sent.id, "outcome", outcome.String())
	}
	tr.mu.Lock()
	tr.latest[request.ID] = sent
	tr.mu.Unlock()
	return outcome
}

// sendAttempt sends one attempt and receives its answer. It returns lost if the
// connection broke and the outcome has to be resolved.
func (tr *ticketedRequests) sendAttempt(ctx context.Context, address string, request tamarackrun.Request, answer tamarackrun.AnswerWriter) (outcome tamarackrun.Outcome, lost bool) {
	ctx, cancel := context.WithTimeout(ctx, request.Deadline-tr.in.clock.Now())
	defer cancel()
	stream, err := tr.in.mesh.Open(ctx, address)
	if err != nil {
		return tamarackrun.Refused(tamarackrun.HomeUnreachable), false
	}
	defer func() { _ = stream.Close() }()
	message := &wire.Envelope{Kind: &wire.Envelope_Dispatch{Dispatch: tr.in.toMessage(request)}}
	if stream.Send(message) != nil {
		// The home may have received the message partly or completely.
		return tamarackrun.Uncertain(tamarackrun.HomeLost), true
	}
	outcome, began := frame.ReceiveAnswer(stream, answer)
	return outcome, !began || outcome.Reason == tamarackrun.HomeLost || outcome.Reason == tamarackrun.AnswerTruncated
}

// resolve asks the home until it knows the outcome of the attempt, is gone, or
// the limit passes.
func (tr *ticketedRequests) resolve(ctx context.Context, sent sentAttempt, limit time.Duration) (tamarackrun.Outcome, int) {
	for {
		outcome, status := tr.askHome(ctx, sent)
		gone := outcome.Reason == tamarackrun.HomeLost && tr.homeGone(sent)
		answered := outcome.Kind == tamarackrun.Unknown && outcome.Reason != tamarackrun.HomeLost && outcome.Reason != tamarackrun.StillRunning
		if outcome.Kind != tamarackrun.Unknown || answered || gone || tr.in.clock.Now() >= limit {
			return outcome, status
		}
		waiting.Pause(ctx, resolveInterval)
	}
}

// homeGone reports whether the home left the fleet or runs as another
// incarnation.
func (tr *ticketedRequests) homeGone(sent sentAttempt) bool {
	m, ok := tr.in.roster.Member(sent.home)
	return !ok || m.Reachable && m.State.GetIncarnation() != sent.incarnation
}

// askHome sends one Resolve to the home. The outcome is NotRun only if the home
// cancelled the attempt and cannot have forgotten that it ran.
func (tr *ticketedRequests) askHome(ctx context.Context, sent sentAttempt) (tamarackrun.Outcome, int) {
	lost := tamarackrun.Uncertain(tamarackrun.HomeLost)
	member, ok := tr.in.roster.Member(sent.home)
	if !ok {
		return lost, 0
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	reply, err := tr.in.mesh.Call(ctx, member.Listing.PeerAddress, &wire.Envelope{Kind: &wire.Envelope_Resolve{
		Resolve: &wire.Resolve{Attempt: sent.id}}})
	resolved := reply.GetResolved()
	outcome, ok := frame.ParseOutcome(resolved.GetOutcome(), resolved.GetReason())
	if err != nil || !ok {
		return lost, 0
	}
	if outcome.Kind == tamarackrun.NotRun && tr.in.clock.Now()-sent.sentAt >= ledger.ResolveLimit {
		return lost, 0
	}
	return outcome, int(resolved.GetStatus())
}

// isForThisIncarnation reports whether an attempt was sent to this incarnation.
func (tr *ticketedRequests) isForThisIncarnation(attempt string) bool {
	return strings.HasSuffix(attempt, "@"+tr.in.incarnation)
}

// resolveAttempt returns the outcome of an attempt that was sent to this
// instance as a home. An attempt that has not begun is cancelled; a running one is
// waited for up to resolveWait.
func (tr *ticketedRequests) resolveAttempt(ctx context.Context, attempt string) (tamarackrun.Outcome, int) {
	if !tr.isForThisIncarnation(attempt) {
		return tamarackrun.Uncertain(tamarackrun.HomeLost), 0
	}
	outcome, status, running := tr.attempts.Resolve(attempt)
	if running == nil {
		if outcome.Reason == tamarackrun.AttemptCancelled {
			tr.in.history.Record(event.AttemptBarred, "", "attempt", attempt)
		}
		return outcome, status
	}
	timer := time.NewTimer(resolveWait)
	defer timer.Stop()
	select {
	case <-running:
		outcome, status, _ = tr.attempts.Resolve(attempt)
	case <-timer.C:
	case <-ctx.Done():
	}
	return outcome, status
}

// runAttempt sends a ticketed request to its backend server, unless the attempt
// was cancelled or was meant for another incarnation. The request holds a slot.
func (tr *ticketedRequests) runAttempt(ctx context.Context, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	switch {
	case !tr.isForThisIncarnation(request.Attempt):
		return tamarackrun.Refused(tamarackrun.NotHome)
	case ctx.Err() != nil:
		return tamarackrun.Refused(tamarackrun.CallerCancelled)
	case tr.in.clock.Now() >= request.Deadline:
		return tamarackrun.Refused(tamarackrun.DeadlinePassed)
	case allKeysWithdrawn(tr.in.snapshot.Load(), request.Organisation):
		// The key may have been withdrawn while the request waited for its slot.
		return tamarackrun.Refused(tamarackrun.KeyWithdrawn)
	}
	if outcome := tr.attempts.Begin(request.Attempt, tr.in.clock.Now()); outcome != tamarackrun.Done {
		return outcome
	}
	outcome := tamarackrun.Uncertain(tamarackrun.AnswerLost)
	tolerant := &tolerantWriter{AnswerWriter: answer}
	defer func() { tr.attempts.End(request.Attempt, tr.in.clock.Now(), outcome, tolerant.status) }()
	tr.in.history.Record(event.RequestDispatched, request.ID, "server", request.Server, "attempt", request.Attempt,
		"organisation", request.Organisation)
	// Cancelling a dispatched request would make its outcome unknown.
	outcome = tr.in.backendClient.Dispatch(context.WithoutCancel(ctx), request, tolerant)
	return outcome
}
