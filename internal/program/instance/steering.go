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

// Steer authenticates, admits and dispatches one request of a caller.
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

// steer handles one request of a caller for Steer.
func (in *Instance) steer(r *http.Request, id string, body []byte, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	c := in.snapshot.Load()
	route, organisation, outcome := in.checkRequest(c, r, body)
	// The proof of freshness that the check used may belong to a newer version,
	// for example after a pause of the process.
	for latest := in.snapshot.Load(); latest != c; latest = in.snapshot.Load() {
		c = latest
		route, organisation, outcome = in.checkRequest(c, r, body)
	}
	if outcome != tamarackrun.Done {
		return in.ticketed.refusalOutcome(r, id, outcome)
	}
	// A ticket guarantees that its request runs at most once, even if the route
	// has become idempotent since the ticket was issued.
	ticketed := !route.Idempotent || r.Header.Get(caller.TicketHeader) != ""
	request := tamarackrun.Request{
		ID: id, Organisation: organisation, Route: route.Name, Service: route.Service,
		OriginRegion: in.originRegion(c, r), Method: r.Method, Target: r.URL.RequestURI(),
		Header: forwardedHeader(r.Header, route), Body: body, Idempotent: !ticketed,
		Deadline: in.clock.Now() + in.requestTimeout(r, route),
	}
	if organisation != "" {
		request.KeyHash, request.KeyVersion = document.HashKey(presentedKey(r.Header)), c.Version
	}
	if ticketed {
		return in.ticketed.accept(r, request, answer)
	}
	if organisation != "" {
		if request.Admitted, outcome = in.rateLimiter.takeToken(r.Context(), organisation, request.Deadline); outcome != tamarackrun.Done {
			return outcome
		}
	}
	in.history.Record(event.RequestAccepted, id, "organisation", organisation, "route", route.Name)
	return in.dispatchWithRetries(r.Context(), c, route, request, answer)
}

// checkRequest decides whether a request may be dispatched. Its refusals say
// nothing about earlier requests with the same ticket; refusalOutcome takes
// those into account.
func (in *Instance) checkRequest(c *configuration.Snapshot, r *http.Request, body []byte) (configuration.Route, string, tamarackrun.Outcome) {
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

// requestTimeout returns the route's timeout, or the caller's if that is
// shorter.
func (in *Instance) requestTimeout(r *http.Request, route configuration.Route) time.Duration {
	millis, err := strconv.Atoi(r.Header.Get("Tamarackrun-Timeout-Ms"))
	if err != nil || millis < 0 {
		return route.Timeout
	}
	return min(route.Timeout, time.Duration(millis)*time.Millisecond)
}
