package front

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"tamarackrun"
	"tamarackrun/internal/coordination/membership"
	"tamarackrun/internal/coordination/steer"
	"tamarackrun/internal/protocol/answer"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/frame"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/boottime"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/transport/exchange"
	"tamarackrun/internal/transport/pipeline"
)

const (
	// maxDelegates is the number of instances that may be asked to send a request. When many lose
	// their links at once, some are asked before their reports say so.
	maxDelegates = 4
	// maxDelegatedBody is the largest body, in bytes, of a request that other instances may send. It
	// fits in one message.
	maxDelegatedBody = 1 << 20
	// maxDelegated bounds the requests that an instance sends for others at a time.
	maxDelegated = 512
	// clockTimeout bounds the wait for a delegate's clock.
	clockTimeout = 500 * time.Millisecond
	// hungAge is how long the server of a request has not acknowledged it when it counts as hung. It
	// is longer than a round trip to another region.
	hungAge = 300 * time.Millisecond
	// answerPiece is the size of the pieces of an answer's body, in bytes.
	answerPiece = 256 << 10
)

// errAnswerLength is the error of an answer whose body has another length than was announced.
var errAnswerLength = errors.New("the delegate's answer does not have its announced length")

// linksChanged is called when this instance has lost its links to all servers, and when it has them
// again.
func (f *Front) linksChanged(unreachable bool, since time.Time) {
	f.balancer.Forgive(since)
	id, hung := event.ServersReachable, 0
	if unreachable {
		id = event.ServersUnreachable
		// Their retries go to delegates.
		hung = f.backendClient.EndHung(time.Now().Add(-hungAge))
	}
	f.history.Record(id, "", "firstFailureAge", time.Since(since).Round(time.Millisecond).String(),
		"servers", strconv.Itoa(len(f.registry.Addresses())), "hungRequests", strconv.Itoa(hung))
	f.members.ReportSoon()
}

// attemptByDelegate asks other instances, one after the other, to send the request. It reports whether
// no server may get the request after that. If no instance takes it, the request may still be sent
// directly.
func (f *Front) attemptByDelegate(ctx context.Context, a *attempts) bool {
	req, charged := a.request, a.delivered == 0
	var grant *steer.Grant
	defer func() { f.returnGrant(grant) }()
	for len(a.delegates) < maxDelegates && a.mayContinue(time.Now()) {
		m, ok := f.delegates.Choose([][]string{req.route.Regions, req.organisation.Regions}, a.delegates)
		if !ok {
			break
		}
		a.delegates = append(a.delegates, m.Name)
		if !charged && !f.countOnce(a).AllowRetry(time.Since(f.started)) {
			f.delegates.Done(m.Name)
			f.recordRetryDenied(a)
			return true
		}
		charged = true
		began := time.Now()
		if grant == nil {
			grant = f.takeGrant(a, len(a.delegates) > 1)
		}
		reply, result := f.askDelegate(ctx, a, m, grant)
		if !reply.Refused && mayNeedGrant(result) && a.mayContinue(time.Now()) {
			// The delegate may know that the servers which need no token have failed.
			if spare := f.takeGrant(a, true); spare != nil {
				grant, began = spare, time.Now()
				reply, result = f.askDelegate(ctx, a, m, grant)
			}
		}
		f.delegates.Done(m.Name)
		if reply.Refused {
			continue
		}
		grant = nil
		a.retryAfter = time.Duration(reply.RetryAfterMillis) * time.Millisecond
		switch reason := result.Outcome.Reason; {
		case reason == tamarackrun.ServersUnreachable:
			f.delegates.Avoid(m)
		case unreachedReasons[reason]:
			f.delegates.Doubt(m.Name)
		}
		if unreachedReasons[result.Outcome.Reason] || shareReasons[result.Outcome.Reason] {
			a.outcome = outcomeAfter(a.outcome, result.Outcome)
			continue
		}
		if result.Outcome == tamarackrun.Done {
			f.learnFromAnswer(req.service, reply.Server, result, began)
		}
		return f.addResult(a, reply.Server, result) || result.Outcome.Reason != tamarackrun.DelegateLost
	}
	a.delegable = false
	if a.delivered+a.undelivered == 0 && a.outcome.Reason == tamarackrun.NoHealthyServer {
		a.outcome = tamarackrun.Refused(tamarackrun.ServersUnreachable)
	}
	return false
}

// unreachedReasons are the reasons for which a delegate refuses that has lost its links to the servers. It also does for all
// but ServersUnreachable if the servers have failed, so that the other delegates would refuse as well.
var unreachedReasons = map[tamarackrun.Reason]bool{tamarackrun.ConnectFailed: true, tamarackrun.ServerPaused: true,
	tamarackrun.ServersUnreachable: true}

// shareReasons are the reasons for which a delegate refuses because its own share of the servers' limits, the requests that it
// may have at them, or its sockets are used up. Another one may have some left.
var shareReasons = map[tamarackrun.Reason]bool{tamarackrun.ServerCold: true, tamarackrun.ServerLimited: true, tamarackrun.QueueFull: true,
	tamarackrun.SocketsExhausted: true}

// mayNeedGrant reports whether a delegate has refused a request, which no server has got, for a reason for which a token of this
// instance's share of a server's limits may help.
func mayNeedGrant(result exchange.Result) bool {
	switch result.Outcome.Reason {
	case tamarackrun.ServerCold, tamarackrun.ServerLimited, tamarackrun.ServerPaused, tamarackrun.ConnectFailed:
		return true
	}
	return false
}

// takeGrant takes a token of this instance's share of a server's limits for the request, which a delegate sends; see
// Balancer.TakeGrant. It returns nil if there is none, or if the request needs none.
func (f *Front) takeGrant(a *attempts, spare bool) *steer.Grant {
	q := f.query(a.request)
	q.Tried = slices.Concat(a.tried, a.granted)
	grant := f.balancer.TakeGrant(time.Now(), f.registry.ServersOf(a.request.service), q, spare)
	if grant != nil {
		a.granted = append(a.granted, grant.Server)
	}
	return grant
}

// returnGrant gives back a token that was given to no delegate which took the request; it may be nil.
func (f *Front) returnGrant(grant *steer.Grant) {
	if grant == nil {
		return
	}
	if grant.Cold {
		f.coldLimiter.Return(grant.TakenAt, grant.Server)
	}
	if grant.Limited {
		f.serverLimiter.Return(time.Now(), grant.Server)
	}
}

// refusedDelegation returns the reply of an instance that has not taken a request.
func refusedDelegation(reason tamarackrun.Reason) *wire.Delegated {
	return &wire.Delegated{Outcome: uint32(tamarackrun.NotRun), Reason: string(reason), Refused: true}
}

// askDelegate asks an instance to send the request, once more if its process is new, and records that. It returns the reply with
// the result. grant may be nil.
func (f *Front) askDelegate(ctx context.Context, a *attempts, m membership.Member, grant *steer.Grant) (*wire.Delegated, exchange.Result) {
	began := time.Now()
	reply, result := f.sendToDelegate(ctx, a, m, grant)
	f.logDelegation(a.request, m, grant, reply, result, began)
	if reply.Refused && tamarackrun.Reason(reply.Reason) == tamarackrun.DelegateChanged {
		// The next message names the process that is running now.
		began = time.Now()
		reply, result = f.sendToDelegate(ctx, a, m, grant)
		f.logDelegation(a.request, m, grant, reply, result, began)
	}
	return reply, result
}

// sendToDelegate asks an instance to send the request and returns its reply with the result.
func (f *Front) sendToDelegate(ctx context.Context, a *attempts, m membership.Member, grant *steer.Grant) (*wire.Delegated, exchange.Result) {
	message, err := f.encodeDelegate(ctx, a, m)
	if err != nil {
		return refusedDelegation(tamarackrun.ConnectFailed), exchange.Result{Err: err}
	}
	if grant != nil {
		message.Grant = &wire.ServerGrant{Server: grant.Server, StartMillis: grant.StartMillis, Cold: grant.Cold, Limited: grant.Limited}
	}
	stream, err := f.mesh.Open(ctx, m.ReportAddress)
	if err != nil {
		return refusedDelegation(tamarackrun.ConnectFailed), exchange.Result{Err: err}
	}
	defer func() { _ = stream.Close() }()
	// After an error, the message may have been sent all the same.
	err = stream.Send(&wire.Envelope{Kind: &wire.Envelope_Delegate{Delegate: message}})
	var envelope *wire.Envelope
	if err == nil {
		envelope, err = stream.Receive()
	}
	reply := envelope.GetDelegated()
	if reply == nil {
		return &wire.Delegated{}, exchange.Result{Outcome: lostOutcome(ctx), Sent: true, Err: err}
	}
	f.delegates.NoteClock(m.Name, reply.GetClock().GetProcess(), time.Duration(reply.GetClock().GetMillis())*time.Millisecond)
	if reply.Refused {
		switch tamarackrun.Reason(reply.Reason) {
		case tamarackrun.DelegateChanged:
			f.delegates.Forget(m.Name)
		case tamarackrun.ServersUnreachable, tamarackrun.Leaving:
			f.delegates.Avoid(m)
		}
		return reply, exchange.Result{}
	}
	result, err := f.receiveDelegated(stream, reply)
	if err != nil {
		f.backendClient.Release(result)
		return reply, exchange.Result{Outcome: lostOutcome(ctx), Sent: true, Err: err}
	}
	return reply, result
}

// lostOutcome returns the outcome of a request whose delegate has not answered.
func lostOutcome(ctx context.Context) tamarackrun.Outcome {
	switch {
	case ctx.Err() == nil:
		return tamarackrun.Uncertain(tamarackrun.DelegateLost)
	case eris.Is(context.Cause(ctx), context.Canceled):
		return tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
	}
	return tamarackrun.Uncertain(tamarackrun.AnswerTimeout)
}

// encodeDelegate returns the message that asks an instance to send the request. It asks for the
// instance's clock if that is not known.
func (f *Front) encodeDelegate(ctx context.Context, a *attempts, m membership.Member) (*wire.Delegate, error) {
	req := a.request
	clock := boottime.Clock{}
	process, deadline, ok := f.delegates.Deadline(m.Name, clock.Now()+time.Until(req.deadline))
	if !ok {
		if err := f.askClock(ctx, m); err != nil {
			return nil, err
		}
		process, deadline, _ = f.delegates.Deadline(m.Name, clock.Now()+time.Until(req.deadline))
	}
	// A leaving server may not have told the delegate.
	excluded := append(slices.Clone(a.tried), f.balancer.Leaving(f.registry.ServersOf(req.service))...)
	r := req.call.Request
	header := r.Header.Clone()
	// The key is removed; the delegate sets the fields again.
	f.HeaderCodec.RewriteRequest(header, tamarackrun.ForwardFields{ID: req.caller.ID, Organisation: req.organisation.Name})
	return &wire.Delegate{
		Process: process, DeadlineMillis: uint64(max(0, deadline.Milliseconds())), Entry: f.Identity.Name, Id: []byte(req.caller.ID),
		Route: req.route.Name, Service: req.service, Organisation: req.organisation.Name, Method: r.Method, Target: []byte(r.RequestURI),
		Host: []byte(r.Host), Header: frame.HeaderFields(header), Body: req.call.Body, Idempotent: req.route.Idempotent,
		Attempts: uint32(req.route.MaxAttempts - a.delivered), Counted: a.counted, Excluded: excluded, Object: []byte(f.query(req).Object),
		TargetLatencyMillis: uint64(req.route.TargetLatency.Milliseconds()), RouteRegions: req.route.Regions,
		OrganisationRegions: req.organisation.Regions,
	}, nil
}

// askClock asks an instance for its clock.
func (f *Front) askClock(ctx context.Context, m membership.Member) error {
	ctx, cancel := context.WithTimeout(ctx, clockTimeout)
	defer cancel()
	reply, err := f.mesh.Call(ctx, m.ReportAddress, &wire.Envelope{Kind: &wire.Envelope_ClockQuery{ClockQuery: &wire.ClockQuery{}}})
	if err != nil {
		return err
	}
	clock := reply.GetProcessClock()
	if clock.GetProcess() == 0 {
		return errors.New("the reply of " + m.Name + " does not name its process")
	}
	f.delegates.NoteClock(m.Name, clock.Process, time.Duration(clock.Millis)*time.Millisecond)
	return nil
}

// receiveDelegated returns the result that a delegate has sent, with the body of the answer.
func (f *Front) receiveDelegated(stream tamarackrun.Stream, reply *wire.Delegated) (exchange.Result, error) {
	outcome, ok := frame.ParseOutcome(reply.Outcome, reply.Reason)
	if !ok {
		return exchange.Result{}, errors.New("the delegate's reply has no valid outcome")
	}
	result := exchange.Result{Outcome: outcome, Sent: outcome.Kind != tamarackrun.NotRun}
	if outcome.Kind != tamarackrun.Ran {
		return result, nil
	}
	result.Status, result.Header = int(reply.Status), frame.Header(reply.Header)
	if err := answer.Check(result.Status, result.Header); err != nil {
		return exchange.Result{}, err
	}
	result.Fields = f.HeaderCodec.DecodeAnswer(result.Status, result.Header)
	if reply.Length > uint64(f.backendClient.Bodies.Limit) || !f.backendClient.Hold(&result, int64(reply.Length)) {
		return exchange.Result{Outcome: tamarackrun.Uncertain(tamarackrun.AnswersFull), Sent: true}, nil
	}
	result.Body = make([]byte, 0, reply.Length)
	for uint64(len(result.Body)) < reply.Length {
		message, err := stream.Receive()
		if err != nil {
			return result, err
		}
		piece := message.GetAnswerBody().GetPiece()
		if len(piece) == 0 || uint64(len(result.Body)+len(piece)) > reply.Length {
			return result, errAnswerLength
		}
		result.Body = append(result.Body, piece...)
	}
	return result, nil
}

// learnFromAnswer records what a server has said in an answer that another instance has got. The
// users' rules count from the moment at which this instance passes it on. The request was sent at the
// given time or later.
func (f *Front) learnFromAnswer(service, name string, result exchange.Result, sent time.Time) {
	for _, server := range f.registry.ServersOf(service) {
		if server.Name == name {
			f.balancer.ReportLimit(time.Now(), server, result.Fields.RateLimit, sent)
			f.noteNotice(server, tamarackrun.AnswerFields{Leaving: result.Fields.Leaving})
		}
	}
}

// logDelegation records that an instance was asked to send the request.
func (f *Front) logDelegation(req *request, m membership.Member, grant *steer.Grant, reply *wire.Delegated, result exchange.Result, began time.Time) {
	outcome := result.Outcome
	if reply.Refused {
		outcome = tamarackrun.Refused(tamarackrun.Reason(reply.Reason))
	}
	fields := []string{"route", req.route.Name, "service", req.service, "organisation", req.organisation.Name, "delegate", m.Name,
		"delegateRegion", m.Region, "taken", strconv.FormatBool(!reply.Refused), "server", reply.Server,
		"serversUnreachable", strconv.FormatBool(f.links.ServersUnreachable()),
		"waited", began.Sub(req.call.Arrived).Round(time.Millisecond).String(), "took", time.Since(began).Round(time.Millisecond).String(),
		"outcome", outcome.String(), "status", strconv.Itoa(result.Status)}
	if grant != nil {
		fields = append(fields, "grant", grant.Server)
	}
	if result.Err != nil {
		fields = append(fields, "error", result.Err.Error())
	}
	f.history.Record(event.RequestDelegated, req.caller.ID, fields...)
	f.history.CountOutcome("delegation", outcome)
}

// processClock returns the time on this instance's clock.
func (f *Front) processClock() *wire.ProcessClock {
	return &wire.ProcessClock{Process: f.process, Millis: uint64(boottime.Clock{}.Now().Milliseconds())}
}

// serveDelegate sends a request for another instance and replies with the result.
func (f *Front) serveDelegate(ctx context.Context, m *wire.Delegate, stream tamarackrun.Stream) {
	defer f.delegated.Add(-1)
	var reply *wire.Delegated
	var result exchange.Result
	if reason := f.refuseDelegate(m, f.delegated.Add(1)); reason != "" {
		reply = refusedDelegation(reason)
	} else {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(f.delegatedContext, cancel)()
		reply, result = f.runDelegated(ctx, m)
	}
	defer f.backendClient.Release(result)
	reply.Clock = f.processClock()
	if err := sendReply(stream, reply, result.Body); err != nil {
		f.history.Record(event.ReplyNotSent, string(m.Id), "entry", m.Entry, "server", reply.Server, "status", strconv.Itoa(int(reply.Status)),
			"error", err.Error())
	}
}

// sendReply sends the reply to another instance, with the body of the answer.
func sendReply(stream tamarackrun.Stream, reply *wire.Delegated, body []byte) error {
	if err := stream.Send(&wire.Envelope{Kind: &wire.Envelope_Delegated{Delegated: reply}}); err != nil {
		return err
	}
	for piece := range slices.Chunk(body, answerPiece) {
		if err := stream.Send(&wire.Envelope{Kind: &wire.Envelope_AnswerBody{AnswerBody: &wire.AnswerBody{Piece: piece}}}); err != nil {
			return err
		}
	}
	return nil
}

// refuseDelegate returns why this instance does not take the request of another one, which is one of
// running requests of others, or "".
func (f *Front) refuseDelegate(m *wire.Delegate, running int64) tamarackrun.Reason {
	switch {
	case m.Process != f.process:
		return tamarackrun.DelegateChanged
	case f.refusingRequests.Load(), !m.Idempotent && f.mayBeCancelled(time.Now().Add(remainingTime(m))):
		return tamarackrun.Leaving
	case !f.members.IsReady():
		return tamarackrun.NotReady
	case f.links.ServersUnreachable():
		return tamarackrun.ServersUnreachable
	case running > maxDelegated:
		return tamarackrun.DelegateFull
	}
	return ""
}

// runDelegated sends a request for another instance to servers.
func (f *Front) runDelegated(ctx context.Context, m *wire.Delegate) (reply *wire.Delegated, result exchange.Result) {
	outcome := tamarackrun.Uncertain(tamarackrun.InternalError)
	reply = &wire.Delegated{}
	defer func() { reply.Outcome, reply.Reason = uint32(outcome.Kind), string(outcome.Reason) }()
	defer f.recoverPanic("delegated request", nil)
	if !f.callerServer.Bodies.Reserve(int64(len(m.Body))) {
		outcome = tamarackrun.Refused(tamarackrun.BodiesFull)
		return reply, result
	}
	defer f.callerServer.Bodies.Release(int64(len(m.Body)))
	req := f.decodeDelegate(m)
	a := f.attempt(ctx, req, m.Excluded)
	if n := len(a.tried); n > len(m.Excluded) {
		reply.Server = a.tried[n-1]
	}
	if a.answer != nil {
		outcome, result = tamarackrun.Done, *a.answer
		reply.Status, reply.Header, reply.Length = uint32(result.Status), frame.HeaderFields(result.Header), uint64(len(result.Body))
		return reply, result
	}
	outcome = a.outcome
	if outcome.Kind == tamarackrun.NotRun && a.delivered > 0 {
		// A later server may have taken no connection. By that reason the entry instance would take this one to have lost
		// its links, and would have the request sent again without counting it as a retry.
		outcome.Reason = tamarackrun.ServerShed
	}
	reply.RetryAfterMillis = uint64(cmp.Or(a.retryAfter, f.retryAfter(req)).Milliseconds())
	return reply, result
}

// remainingTime returns the time until the deadline of another instance's request.
func remainingTime(m *wire.Delegate) time.Duration {
	return time.Duration(m.DeadlineMillis)*time.Millisecond - boottime.Clock{}.Now()
}

// decodeDelegate returns the request that another instance asks this one to send.
func (f *Front) decodeDelegate(m *wire.Delegate) *request {
	now := time.Now()
	var grant *steer.Grant
	if g := m.Grant; g != nil {
		grant = &steer.Grant{Server: g.Server, StartMillis: g.StartMillis, Cold: g.Cold, Limited: g.Limited}
	}
	return &request{
		call: pipeline.Call{Arrived: now, Body: m.Body,
			Request: &http.Request{Method: m.Method, RequestURI: string(m.Target), Host: string(m.Host), Header: frame.Header(m.Header)}},
		caller:        tamarackrun.CallerFields{ID: string(m.Id), Object: string(m.Object)},
		configuration: f.snapshot.Load(),
		route: configuration.Route{Name: m.Route, Idempotent: m.Idempotent, MaxAttempts: int(m.Attempts), Sticky: len(m.Object) > 0,
			Regions: m.RouteRegions, TargetLatency: time.Duration(m.TargetLatencyMillis) * time.Millisecond},
		organisation: configuration.Organisation{Name: m.Organisation, Regions: m.OrganisationRegions},
		service:      m.Service,
		deadline:     now.Add(remainingTime(m)),
		entry:        m.Entry,
		counted:      m.Counted,
		grant:        grant,
	}
}
