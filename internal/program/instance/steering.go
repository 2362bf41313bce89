package instance

import (
	"net/http"
	"strconv"
	"time"

	"tamarackrun"
	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/state/configuration"
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
	if c == nil {
		return withoutLedger(r, tamarackrun.NotReady)
	}
	route, found, known := c.RouteOf(r.Method, r.URL.Path)
	if !found {
		if known {
			return tamarackrun.Refused(tamarackrun.MethodForbidden)
		}
		return tamarackrun.Refused(tamarackrun.RouteUnknown)
	}
	organisation, outcome := in.authenticate(c, route, r)
	if outcome != tamarackrun.Done {
		return outcome
	}
	if keyInBody(r, body) {
		return tamarackrun.Refused(tamarackrun.KeyInBody)
	}
	request := tamarackrun.Request{
		ID: id, Organisation: organisation, Route: route.Name, Service: route.Service,
		OriginRegion: in.originRegion(c, r), Method: r.Method, Target: r.URL.RequestURI(),
		Header: forwardedHeader(r.Header, route), Body: body, Idempotent: route.Idempotent,
		Deadline: in.clock.Now() + in.timeout(r, route),
	}
	if organisation != "" {
		request.KeyHash, request.KeyVersion = document.HashKey(presentedKey(r.Header)), c.Version
	}
	if !route.Idempotent {
		return in.orders.accept(r, request, answer)
	}
	if organisation != "" {
		if request.Admitted, outcome = in.rates.admit(r.Context(), organisation, request.Deadline); outcome != tamarackrun.Done {
			return outcome
		}
	}
	in.history.Record(event.RequestAccepted, id, "organisation", organisation, "route", route.Name)
	return in.attempt(r.Context(), c, route, request, answer)
}

// timeout is the route's, or the caller's if that is shorter.
func (in *Instance) timeout(r *http.Request, route configuration.Route) time.Duration {
	millis, err := strconv.Atoi(r.Header.Get("Tamarackrun-Timeout-Ms"))
	if err != nil || millis < 0 {
		return route.Timeout
	}
	return min(route.Timeout, time.Duration(millis)*time.Millisecond)
}
