package front

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/health"
	"tamarackrun/internal/coordination/steer"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/transport/exchange"
	"tamarackrun/internal/transport/pipeline"
)

const (
	// answerMargin is how long after a request's deadline a server's own answer
	// is still waited for. The users allow a quarter of a second.
	answerMargin = 150 * time.Millisecond
	// maxConnectFailures bounds the servers that are tried without having got
	// the request.
	maxConnectFailures = 3
)

// attempts is what became of the dispatches of one request so far.
type attempts struct {
	order *order
	// tried are the servers that were chosen.
	tried []string
	// arrivals count the servers of the service that got the request, and misses
	// those that did not get it or no longer are at their address.
	arrivals, misses int
	// answer is the latest answer of a server. A server's own failure of an
	// idempotent request is passed on only if no other server answers better.
	answer *exchange.Reply
	// outcome is that of the request if no server's answer is passed on.
	outcome tamarackrun.Outcome
}

// left says whether another dispatch is allowed.
func (a *attempts) left(now time.Time) bool {
	return a.arrivals < a.order.route.MaxAttempts && a.misses < maxConnectFailures && now.Before(a.order.deadline)
}

// note takes the reply of a server and says whether the request is decided.
func (a *attempts) note(server string, reply exchange.Reply) bool {
	a.tried = append(a.tried, server)
	if reply.Sent && !reply.Fields.Misdirected {
		a.arrivals++
	} else {
		a.misses++
	}
	idempotent := a.order.route.Idempotent
	if reply.Outcome == tamarackrun.Done {
		a.answer = &reply
		return reply.Status < http.StatusInternalServerError || !idempotent
	}
	if a.outcome.Kind != tamarackrun.Unknown {
		// Once a server may have run the request, a later refusal does not make
		// it a request that did not run.
		a.outcome = reply.Outcome
	}
	return reply.Outcome.Kind == tamarackrun.Unknown && !idempotent
}

// dispatch sends the request to servers until one has answered it or no further
// attempt is allowed.
func (f *Front) dispatch(ctx context.Context, o *order) pipeline.Answer {
	ctx, cancel := context.WithDeadlineCause(ctx, o.deadline.Add(answerMargin), context.DeadlineExceeded)
	defer cancel()
	budget := f.retries.of(o.service, f.terms.Load())
	budget.CountRequest(time.Since(f.started))
	a := &attempts{order: o, outcome: tamarackrun.Refused(tamarackrun.NoHealthyServer)}
	for a.left(time.Now()) && ctx.Err() == nil {
		choice, reason := f.choose(o, a.tried)
		if reason != "" {
			if len(a.tried) == 0 {
				a.outcome, o.refusedBy = tamarackrun.Refused(reason), choice
			}
			break
		}
		if a.arrivals > 0 && !budget.AllowRetry(time.Since(f.started)) {
			f.steering.Done(time.Now(), choice, health.Inconclusive, false, 0)
			f.history.Record(event.RetryDenied, o.fields.ID, "reason", string(a.outcome.Reason), "service", o.service)
			break
		}
		if a.note(choice.Server.Name, f.send(ctx, o, choice)) {
			break
		}
	}
	if a.answer != nil {
		return f.pass(*a.answer)
	}
	if a.outcome.Kind == tamarackrun.NotRun {
		f.limiter.Return(time.Now(), o.organisation.Name)
	}
	return f.finish(o, a.outcome, f.returnTime(o))
}

func (f *Front) choose(o *order, tried []string) (steer.Choice, tamarackrun.Reason) {
	q := steer.Query{Region: f.Identity.Region, AllowedRegions: [][]string{o.route.Regions, o.organisation.Regions}, TargetLatency: o.route.TargetLatency, Tried: tried}
	if o.route.Sticky {
		q.Object = o.fields.Object
	}
	return f.steering.Choose(time.Now(), f.registry.ServersOf(o.service), q)
}

// send sends the request to the chosen server and records what became of it.
func (f *Front) send(ctx context.Context, o *order, choice steer.Choice) exchange.Reply {
	r, now := o.call.Request, time.Now()
	header := r.Header.Clone()
	f.HeaderCodec.RewriteRequest(header, tamarackrun.ForwardFields{Organisation: o.organisation.Name, Server: choice.Server.Name, Remaining: o.deadline.Sub(now)})
	reply := f.servers.Do(ctx, choice.Server.Address, exchange.Request{ID: o.fields.ID, Method: r.Method, Target: r.RequestURI, Host: r.Host,
		Header: header, Body: o.call.Body, Repeatable: o.route.Idempotent})
	connectFailed := reply.Outcome.Reason == tamarackrun.ConnectFailed || reply.Fields.Misdirected
	ejected, reinstated := f.steering.Done(time.Now(), choice, judge(reply), connectFailed, len(f.registry.ServersOf(o.service)))
	if l := reply.Fields.Load; l != nil {
		f.steering.ReportLoad(time.Now(), choice.Server.Name, l.Waiting, l.Slots, time.Since(now))
	}
	if ejected {
		f.history.Record(event.ServerEjected, o.fields.ID, "server", choice.Server.Name)
	}
	if reinstated {
		f.history.Record(event.ServerReinstated, o.fields.ID, "server", choice.Server.Name)
	}
	f.logAttempt(o, choice, reply, now)
	return reply
}

// judge says what a reply shows about its server.
func judge(reply exchange.Reply) health.Result {
	switch {
	case reply.Outcome == tamarackrun.Done && reply.Status < http.StatusInternalServerError:
		return health.Success
	case reply.Outcome == tamarackrun.Done, reply.Outcome.Kind == tamarackrun.Unknown && reply.Outcome.Reason != tamarackrun.AnswerCancelled,
		reply.Outcome.Reason == tamarackrun.ConnectFailed:
		return health.Failure
	}
	return health.Inconclusive
}

func (f *Front) logAttempt(o *order, choice steer.Choice, reply exchange.Reply, sent time.Time) {
	fields := []string{"route", o.route.Name, "service", o.service, "organisation", o.organisation.Name, "server", choice.Server.Name,
		"rank", strconv.Itoa(choice.Rank), "outstanding", strconv.Itoa(choice.Outstanding),
		"recordAge", time.Since(choice.Server.ReceivedAt).Round(time.Millisecond).String(),
		"configuration", strconv.FormatInt(o.configuration.Version, 10),
		"waited", sent.Sub(o.call.Arrived).Round(time.Millisecond).String(), "took", time.Since(sent).Round(time.Millisecond).String(),
		"outcome", reply.Outcome.String(), "status", strconv.Itoa(reply.Status), "reused", strconv.FormatBool(reply.Reused)}
	if reply.Err != nil {
		fields = append(fields, "error", reply.Err.Error())
	}
	if o.loan != "" {
		fields = append(fields, "loan", string(o.loan))
	}
	if l := reply.Fields.Load; l != nil {
		fields = append(fields, "serverLoad", strconv.Itoa(l.Running)+","+strconv.Itoa(l.Waiting)+","+strconv.Itoa(l.Slots))
	}
	f.history.Record(event.AttemptEnded, o.fields.ID, fields...)
	f.history.CountOutcome("attempt", reply.Outcome)
}
