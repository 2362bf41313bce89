package front

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/health"
	"tamarackrun/internal/coordination/retry"
	"tamarackrun/internal/coordination/steer"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/hopheader"
	"tamarackrun/internal/state/registry"
	"tamarackrun/internal/transport/exchange"
	"tamarackrun/internal/transport/pipeline"
)

const (
	// answerMargin is how long after the request's deadline a server's answer
	// still counts. The users allow a quarter of a second.
	answerMargin = 150 * time.Millisecond
	// maxConnectFailures bounds the number of servers that are tried for one
	// request without getting it.
	maxConnectFailures = 3
)

// attempts holds the results of the dispatches of one request so far.
type attempts struct {
	request *request
	// tried are the names of the servers that were chosen.
	tried []string
	// delivered counts the servers that got the request; undelivered counts those
	// that did not, or whose address belongs to another server now.
	delivered, undelivered int
	// sent counts the servers that may have got a part of the request.
	sent int
	// counted is true if the request counts in the retry budget.
	counted bool
	// delegates are the names of the instances that were asked to send the request, and delegable is
	// true while more of them may be asked.
	delegates []string
	delegable bool
	// granted are the names of the servers for which tokens were given to delegates.
	granted []string
	// answer is the latest answer of a server; nil if there is none. An answer
	// with a 5xx status to an idempotent request is sent to the caller only if no
	// later attempt gives another answer.
	answer *exchange.Result
	// outcome is the outcome of the request if answer is nil.
	outcome tamarackrun.Outcome
	// retryAfter is how long a delegate has told the caller to wait; 0 if none has.
	retryAfter time.Duration
}

// mayContinue reports whether another dispatch is allowed.
func (a *attempts) mayContinue(now time.Time) bool {
	return a.delivered < a.request.route.MaxAttempts && a.undelivered < maxConnectFailures && now.Before(a.request.deadline)
}

// add records the result of a dispatch to a server. It reports whether the result
// is final, so that no other server may get the request.
func (a *attempts) add(server string, result exchange.Result) bool {
	a.tried = append(a.tried, server)
	if result.Sent {
		a.sent++
	}
	if result.Sent && !result.Fields.Misdirected {
		a.delivered++
	} else {
		a.undelivered++
	}
	idempotent := a.request.route.Idempotent
	if result.Outcome == tamarackrun.Done {
		a.answer = &result
		return result.Status < http.StatusInternalServerError || !idempotent
	}
	a.outcome = outcomeAfter(a.outcome, result.Outcome)
	return result.Outcome.Kind == tamarackrun.Unknown && !idempotent
}

// outcomeAfter returns the outcome of a request after a further dispatch. Once a server may have run the
// request, a refusal by another server does not prove that the request did not run.
func outcomeAfter(earlier, latest tamarackrun.Outcome) tamarackrun.Outcome {
	if earlier.Kind == tamarackrun.Unknown {
		return earlier
	}
	return latest
}

// dispatch sends the request to servers and returns the answer.
func (f *Front) dispatch(ctx context.Context, req *request) pipeline.Answer {
	a := f.attempt(ctx, req, nil)
	if a.answer != nil {
		return f.serverAnswer(*a.answer)
	}
	if a.outcome.Kind == tamarackrun.NotRun {
		f.returnToken(req)
	}
	return f.outcomeAnswer(req, a.outcome, cmp.Or(a.retryAfter, f.retryAfter(req)))
}

// attempt sends the request to one server after the other, without the tried ones, until a result is
// final or no further attempt is allowed.
func (f *Front) attempt(ctx context.Context, req *request, tried []string) *attempts {
	ctx, cancel := context.WithDeadlineCause(ctx, req.deadline.Add(answerMargin), context.DeadlineExceeded)
	defer cancel()
	a := &attempts{request: req, tried: tried, counted: req.counted, delegable: req.entry == "" && len(req.call.Body) <= maxDelegatedBody,
		outcome: tamarackrun.Refused(tamarackrun.NoHealthyServer)}
	for a.mayContinue(time.Now()) && ctx.Err() == nil {
		left, trial := f.refusedFor(ctx, req)
		if left > 0 {
			if a.delivered+a.undelivered == 0 {
				a.outcome, a.retryAfter = tamarackrun.Refused(tamarackrun.EndsServers), left
			}
			break
		}
		if trial {
			f.attemptTrial(ctx, a)
			break
		}
		if a.delegable && (f.links.ServersUnreachable() || a.undelivered == maxConnectFailures-1) {
			if f.attemptByDelegate(ctx, a) {
				break
			}
		} else if f.attemptDirectly(ctx, a) {
			break
		}
	}
	if a.answer == nil && a.outcome.Kind == tamarackrun.NotRun && req.overloaded.Server == nil {
		req.overloaded = f.balancer.Resting(time.Now(), f.registry.ServersOf(req.service), f.query(req))
	}
	return a
}

// attemptTrial sends a refused request to one server and no other. If no server gets it, the trial is kept
// for the next time that the request comes.
func (f *Front) attemptTrial(ctx context.Context, a *attempts) {
	sent := a.sent
	a.delegable = false
	f.attemptDirectly(ctx, a)
	if a.sent == sent {
		f.crashes.Permit(identify(a.request))
	}
}

// attemptDirectly sends the request to one server, or to a delegate if the servers do not take
// connections. It reports whether no other server may get it.
func (f *Front) attemptDirectly(ctx context.Context, a *attempts) bool {
	req := a.request
	budget := f.countOnce(a)
	choice, reason := f.choose(req, a.tried)
	if reason == tamarackrun.ServerPaused && a.delegable && f.links.Suspected() {
		return f.attemptByDelegate(ctx, a)
	}
	if reason != "" {
		if a.delivered+a.undelivered == 0 {
			a.outcome, req.overloaded = tamarackrun.Refused(reason), choice
		}
		return true
	}
	if a.delivered > 0 && !budget.AllowRetry(time.Since(f.started)) {
		f.balancer.Cancel(time.Now(), choice)
		f.recordRetryDenied(a)
		return true
	}
	return f.addResult(a, choice.Server.Name, f.send(ctx, req, choice))
}

// countOnce counts the request in the retry budget of its service, unless it is counted.
func (f *Front) countOnce(a *attempts) *retry.Budget {
	budget := f.retryBudgets.forService(a.request.service, f.terms.Load())
	if !a.counted {
		budget.CountRequest(time.Since(f.started))
	}
	a.counted = true
	return budget
}

func (f *Front) recordRetryDenied(a *attempts) {
	f.history.Record(event.RetryDenied, a.request.caller.ID, "reason", string(a.outcome.Reason), "service", a.request.service)
}

// addResult adds the result of a dispatch and releases the answer that is no longer needed. It
// reports whether the result is final.
func (f *Front) addResult(a *attempts, server string, result exchange.Result) bool {
	previous := a.answer
	final := a.add(server, result)
	switch {
	case result.Outcome != tamarackrun.Done:
		f.backendClient.Release(result)
	case previous != nil:
		f.backendClient.Release(*previous)
	}
	return final
}

// choose selects the server for the next attempt, or returns the reason why there
// is none.
func (f *Front) choose(req *request, tried []string) (steer.Choice, tamarackrun.Reason) {
	q := f.query(req)
	q.Tried, q.Grant = tried, req.grant
	choice, reason := f.balancer.Choose(time.Now(), f.registry.ServersOf(req.service), q)
	if choice.Granted {
		req.grant = nil
	}
	return choice, reason
}

// query returns the properties of a request that determine the choice of its server.
func (f *Front) query(req *request) steer.Query {
	q := steer.Query{Region: f.Identity.Region, AllowedRegions: [][]string{req.route.Regions, req.organisation.Regions},
		TargetLatency: req.route.TargetLatency}
	if req.route.Sticky {
		q.Object = req.caller.Object
	}
	return q
}

// send sends the request to the chosen server and records the result.
func (f *Front) send(ctx context.Context, req *request, choice steer.Choice) exchange.Result {
	r, now := req.call.Request, time.Now()
	header := r.Header.Clone()
	// A caller's header Connection may name the fields that are set now.
	hopheader.Remove(header)
	f.HeaderCodec.RewriteRequest(header, tamarackrun.ForwardFields{ID: req.caller.ID, Organisation: req.organisation.Name, Server: choice.Server.Name,
		Remaining: req.deadline.Sub(now)})
	result := f.backendClient.Do(ctx, choice.Server.Address, exchange.Request{
		ID:         req.caller.ID,
		Method:     r.Method,
		Target:     r.RequestURI,
		Host:       r.Host,
		Header:     header,
		Body:       req.call.Body,
		Idempotent: req.route.Idempotent,
		OpenOnly:   f.links.ServersUnreachable(),
	})
	f.countContact(choice.Server, result)
	if errors.Is(result.Err, exchange.ErrNoConnection) {
		result.Outcome = tamarackrun.Refused(tamarackrun.ServersUnreachable)
	}
	ejected, reinstated := f.judge(choice, result, now)
	if l := result.Fields.Load; l != nil {
		responseTime := time.Since(now)
		if result.Outcome != tamarackrun.Done {
			responseTime = 0
		}
		f.balancer.ReportLoad(time.Now(), choice.Server, l.Waiting, l.Slots, responseTime)
		queues := f.scope.Tagged(map[string]string{"service": req.service, "region": choice.Server.Region})
		queues.Counter("server_load_reports").Inc(1)
		queues.Counter("server_waiting_requests").Inc(int64(l.Waiting))
	}
	if result.Outcome == tamarackrun.Done || result.Fields.NotRun && !result.Fields.Misdirected {
		f.balancer.ReportLimit(time.Now(), choice.Server, result.Fields.RateLimit, now)
		f.noteNotice(choice.Server, result.Fields)
	}
	if ejected {
		f.history.Record(event.ServerEjected, req.caller.ID, "server", choice.Server.Name)
	}
	if reinstated {
		f.history.Record(event.ServerReinstated, req.caller.ID, "server", choice.Server.Name)
	}
	f.logAttempt(req, choice, result, now)
	f.noteResult(req, choice.Server, result)
	return result
}

// judge records what the result of a dispatch, which was sent at the given time, shows about its
// server and about the links to all servers.
func (f *Front) judge(choice steer.Choice, result exchange.Result, sent time.Time) (ejected, reinstated bool) {
	if result.Outcome.Reason == tamarackrun.SocketsExhausted {
		f.balancer.Cancel(time.Now(), choice)
		return false, false
	}
	unanswered := unansweredReasons[result.Outcome.Reason]
	if unanswered && f.links.Inconclusive(sent) {
		if result.Sent {
			return f.balancer.Done(time.Now(), choice, health.Inconclusive, false, 0)
		}
		f.balancer.Cancel(time.Now(), choice)
		return false, false
	}
	if unanswered {
		f.links.ReportFailure(sent)
	}
	connectFailed := result.Outcome.Reason == tamarackrun.ConnectFailed || result.Fields.Misdirected
	return f.balancer.Done(time.Now(), choice, healthResult(result), connectFailed, len(f.registry.ServersOf(choice.Server.Service)))
}

// unansweredReasons are the reasons of dispatches that a lost link may have caused.
var unansweredReasons = map[tamarackrun.Reason]bool{tamarackrun.ConnectFailed: true, tamarackrun.DeadlinePassed: true,
	tamarackrun.AnswerLost: true, tamarackrun.AnswerTimeout: true, tamarackrun.ServersUnreachable: true}

// countContact counts the result of a dispatch by the failure domain of its server.
func (f *Front) countContact(server *registry.Server, result exchange.Result) {
	contact := "answered"
	if result.Outcome != tamarackrun.Done && !result.Fields.NotRun {
		contact = string(result.Outcome.Reason)
	}
	f.scope.Tagged(map[string]string{"failureDomain": server.FailureDomain, "result": contact,
		"reused": strconv.FormatBool(result.Carried > 0)}).Counter("server_contacts").Inc(1)
}

// noteNotice records what a server has said in an answer about further requests.
func (f *Front) noteNotice(server *registry.Server, fields tamarackrun.AnswerFields) {
	if f.balancer.ReportNotice(time.Now(), server, fields.Leaving, fields.RetryAfter) {
		f.history.Record(event.ServerNotice, "", "server", server.Name, "leaving", strconv.FormatBool(fields.Leaving),
			"restFor", fields.RetryAfter.String())
	}
}

// healthResult returns what the result of a dispatch shows about the health of
// its server.
func healthResult(result exchange.Result) health.Result {
	switch {
	case result.Outcome == tamarackrun.Done && result.Status < http.StatusInternalServerError:
		return health.Success
	case result.Outcome.Reason == tamarackrun.AnswerCancelled, result.Outcome.Reason == tamarackrun.AnswersFull:
		return health.Inconclusive
	case result.Outcome == tamarackrun.Done, result.Outcome.Kind == tamarackrun.Unknown,
		result.Outcome.Reason == tamarackrun.ConnectFailed:
		return health.Failure
	}
	return health.Inconclusive
}

// logAttempt records the event for one dispatch of a request to a server.
func (f *Front) logAttempt(req *request, choice steer.Choice, result exchange.Result, sent time.Time) {
	fields := []string{"route", req.route.Name, "service", req.service, "organisation", req.organisation.Name, "server", choice.Server.Name,
		"serverDomain", choice.Server.FailureDomain, "serverRegion", choice.Server.Region, "rank", strconv.Itoa(choice.Rank), "outstanding", strconv.Itoa(choice.Outstanding),
		"recordAge", time.Since(choice.Server.ReceivedAt).Round(time.Millisecond).String(),
		"configuration", strconv.FormatInt(req.configuration.Version, 10),
		"timeLeft", req.caller.Timeout.String(), "waited", sent.Sub(req.call.Arrived).Round(time.Millisecond).String(), "took", time.Since(sent).Round(time.Millisecond).String(),
		"outcome", result.Outcome.String(), "status", strconv.Itoa(result.Status), "reused", strconv.FormatBool(result.Carried > 0)}
	if result.Connection != 0 {
		fields = append(fields, "address", choice.Server.Address, "connection", strconv.FormatUint(result.Connection, 10),
			"carried", strconv.Itoa(result.Carried), "connectionAge", result.Age.Round(time.Millisecond).String())
	}
	if result.Err != nil {
		fields = append(fields, "error", result.Err.Error())
	}
	if choice.Skipped != (steer.Skipped{}) {
		fields = append(fields, "skipped", choice.Skipped.String())
	}
	if choice.ColdFor > 0 {
		fields = append(fields, "coldFor", choice.ColdFor.Round(time.Millisecond).String())
	}
	if req.entry != "" {
		fields = append(fields, "entry", req.entry)
	}
	if choice.Granted {
		fields = append(fields, "grant", "used")
	}
	if req.loan != "" {
		fields = append(fields, "loan", string(req.loan))
	}
	if l := result.Fields.Load; l != nil {
		fields = append(fields, "serverLoad", strconv.Itoa(l.Running)+","+strconv.Itoa(l.Waiting)+","+strconv.Itoa(l.Slots))
	}
	if limit := result.Fields.RateLimit; limit != nil {
		fields = append(fields, "serverLimit", formatRate(*limit))
	}
	f.history.Record(event.AttemptEnded, req.caller.ID, fields...)
	f.history.CountOutcome("attempt", result.Outcome)
}

// noteDropped records bytes of a server that are the answer to no request.
func (f *Front) noteDropped(d exchange.Dropped) {
	f.scope.Tagged(map[string]string{"kind": string(d.Kind), "notRun": strconv.FormatBool(d.NotRun)}).Counter("dropped_answers").Inc(1)
	fields := []string{"kind", string(d.Kind), "address", d.Address, "connection", strconv.FormatUint(d.Connection, 10),
		"carried", strconv.Itoa(d.Carried), "connectionAge", d.Age.Round(time.Millisecond).String()}
	if d.Status != 0 {
		fields = append(fields, "answerRequest", d.AnswerID, "status", strconv.Itoa(d.Status), "notRun", strconv.FormatBool(d.NotRun))
	}
	f.history.Record(event.AnswerDropped, d.Request, fields...)
}
