package instance

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"tamarackrun"
	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/state/configuration"
)

// Steer runs one request of a caller.
func (in *Instance) Steer(r *http.Request, id string, body []byte, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	outcome := in.steer(r, id, body, answer)
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
		return tamarackrun.Refused(tamarackrun.NotReady)
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
	request := tamarackrun.Request{
		ID: id, Organisation: organisation, Route: route.Name, Service: route.Service,
		OriginRegion: in.originRegion(c, r), Method: r.Method, Target: r.URL.RequestURI(),
		Header: forwardedHeader(r.Header, route), Body: body, Idempotent: route.Idempotent,
		Deadline: in.clock.Now() + in.timeout(r, route),
	}
	if organisation != "" {
		if outcome := in.rates.admit(r.Context(), organisation, request.Deadline); outcome != tamarackrun.Done {
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

// presentedKey returns the key that the caller sent.
func presentedKey(header http.Header) string {
	if key := header.Get("Tamarackrun-Key"); key != "" {
		return key
	}
	key, _ := strings.CutPrefix(header.Get("Authorization"), "Bearer ")
	return key
}

// authenticate settles the organisation of a request from its key.
func (in *Instance) authenticate(c *configuration.Snapshot, route configuration.Route, r *http.Request) (string, tamarackrun.Outcome) {
	presented := presentedKey(r.Header)
	if presented == "" {
		if route.Open {
			return "", tamarackrun.Done
		}
		return "", tamarackrun.Refused(tamarackrun.KeyMissing)
	}
	key, ok := c.Keys[document.HashKey(presented)]
	switch {
	case !ok:
		return "", tamarackrun.Refused(tamarackrun.KeyUnknown)
	case key.Withdrawn:
		return "", tamarackrun.Refused(tamarackrun.KeyWithdrawn)
	}
	if len(route.Organisations) > 0 {
		allowed := false
		for _, o := range route.Organisations {
			allowed = allowed || o == key.Organisation
		}
		if !allowed {
			return "", tamarackrun.Refused(tamarackrun.RouteForbidden)
		}
	}
	return key.Organisation, tamarackrun.Done
}

// defaultHeaders are the request headers that backend servers get. All others
// need to be listed by the route, so that no header that may hold a key passes.
var defaultHeaders = []string{"Accept", "Accept-Language", "Content-Type", "Content-Language", "If-Match",
	"If-None-Match", "If-Modified-Since", "If-Unmodified-Since", "Range", "User-Agent"}

func forwardedHeader(header http.Header, route configuration.Route) http.Header {
	forwarded := http.Header{}
	for _, names := range [][]string{defaultHeaders, route.Headers} {
		for _, name := range names {
			name = http.CanonicalHeaderKey(name)
			if name == "Authorization" || strings.HasPrefix(name, "Tamarackrun-") {
				continue
			}
			if values := header.Values(name); len(values) > 0 {
				forwarded[name] = append([]string{}, values...)
			}
		}
	}
	return forwarded
}
