package instance

import (
	"net/http"
	"strconv"
	"time"

	"tamarackrun"
	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/transport/caller"
)

// Steer runs one request of a caller.
func (in *Instance) Steer(r *http.Request, id string, body []byte, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	guard := in.guardKey(r, answer)
	outcome := guard.finish(id, in.steer(r.WithContext(guard.ctx), id, body, guard))
	in.history.CountOutcome("entry", outcome)
	switch outcome.Kind {
	case tamarackrun.Ran:
		in.history.Record(event.RequestFinished, id)
	case tamarackrun.NotRun:
		in.history.Record(event.RequestRefused, id, "reason", string(outcome.Reason))
	default:
		in.history.Record(event.RequestUncertain, id, "reason", string(outcome.Reason))
	}
	return outcome
}

func (in *Instance) steer(r *http.Request, id string, body []byte, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	c := in.snapshot.Load()
	route, organisation, outcome := in.check(c, r, body)
	// The proof of freshness that the check used may be of a newer version, as
	// after a pause of the process.
	for now := in.snapshot.Load(); now != c; now = in.snapshot.Load() {
		c = now
		route, organisation, outcome = in.check(c, r, body)
	}
	if outcome != tamarackrun.Done {
		return in.ticketed.refused(r, id, outcome)
	}
	// A ticket promises that the order runs at most once, also if its route has
	// become idempotent since.
	ordered := !route.Idempotent || r.Header.Get(caller.TicketHeader) != ""
	request := tamarackrun.Request{
		ID: id, Organisation: organisation, Route: route.Name, Service: route.Service,
		OriginRegion: in.originRegion(c, r), Method: r.Method, Target: r.URL.RequestURI(),
		Header: forwardedHeader(r.Header, route), Body: body, Idempotent: !ordered,
		Deadline: in.clock.Now() + in.timeout(r, route),
	}
	if organisation != "" {
		request.KeyHash, request.KeyVersion = document.HashKey(presentedKey(r.Header)), c.Version
	}
	if ordered {
		return in.ticketed.accept(r, request, answer)
	}
	if organisation != "" {
		if request.Admitted, outcome = in.rates.admit(r.Context(), organisation, request.Deadline); outcome != tamarackrun.Done {
			return outcome
		}
	}
	in.history.Record(event.RequestAccepted, id, "organisation", organisation, "route", route.Name)
	return in.dispatchWithRetries(r.Context(), c, route, request, answer)
}

// check decides whether the request may be steered. Its refusals concern this
// request only; orders.refused makes them true of the ticket.
func (in *Instance) check(c *configuration.Snapshot, r *http.Request, body []byte) (configuration.Route, string, tamarackrun.Outcome) {
	refuse := func(reason tamarackrun.Reason) (configuration.Route, string, tamarackrun.Outcome) {
		return configuration.Route{}, "", tamarackrun.Refused(reason)
	}
	if c == nil {
		return refuse(tamarackrun.NotReady)
	}
	route, found, known := c.RouteForMethod(r.Method, r.URL.Path)
	switch {
	case !found && known:
		return refuse(tamarackrun.MethodForbidden)
	case !found:
		return refuse(tamarackrun.RouteUnknown)
	}
	organisation, outcome := in.authenticate(c, route, r)
	if outcome == tamarackrun.Done && keyInBody(r, body) {
		return refuse(tamarackrun.KeyInBody)
	}
	return route, organisation, outcome
}

// timeout is the route's, or the caller's if that is shorter.
func (in *Instance) timeout(r *http.Request, route configuration.Route) time.Duration {
	millis, err := strconv.Atoi(r.Header.Get("Tamarackrun-Timeout-Ms"))
	if err != nil || millis < 0 {
		return route.Timeout
	}
	return min(route.Timeout, time.Duration(millis)*time.Millisecond)
}
