package front

import (
	"cmp"
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/crash"
	"tamarackrun/internal/coordination/loan"
	"tamarackrun/internal/coordination/steer"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/transport/exchange"
	"tamarackrun/internal/transport/pipeline"
)

const (
	// Bounds and default of the time after which refused callers are told to try
	// again.
	minRetryAfter     = 50 * time.Millisecond
	maxRetryAfter     = time.Second
	defaultRetryAfter = 300 * time.Millisecond
)

// defaultLimits apply before a configuration is known, and for limits that it does
// not set.
var defaultLimits = configuration.Limits{HeaderBytes: 16 << 10, BodyBytes: 64 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// Limits returns the limits of requests.
func (f *Front) Limits() configuration.Limits {
	c := f.snapshot.Load()
	if c == nil {
		return defaultLimits
	}
	return configuration.Limits{
		HeaderBytes:   cmp.Or(c.Limits.HeaderBytes, defaultLimits.HeaderBytes),
		BodyBytes:     cmp.Or(c.Limits.BodyBytes, defaultLimits.BodyBytes),
		HeaderTimeout: cmp.Or(c.Limits.HeaderTimeout, defaultLimits.HeaderTimeout),
		IdleTimeout:   cmp.Or(c.Limits.IdleTimeout, defaultLimits.IdleTimeout),
	}
}

// Idempotent reports whether the request may run more than once. Serve looks up
// the route again, since the configuration may change while the request waits
// behind others on its connection.
func (f *Front) Idempotent(r *http.Request) bool {
	c := f.snapshot.Load()
	if c == nil {
		return true
	}
	route, ok := c.RouteForHost(r.Host, pathOf(r))
	return !ok || route.Idempotent
}

// pathOf returns the path as the caller sent it.
func pathOf(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// Refuse answers a request that could not be read.
func (f *Front) Refuse(reason tamarackrun.Reason) pipeline.Answer {
	return f.outcomeAnswer(&request{}, tamarackrun.Refused(reason), 0)
}

// request holds the state of one request.
type request struct {
	call   pipeline.Call
	caller tamarackrun.CallerFields
	// configuration is the snapshot that the whole request is handled with.
	configuration *configuration.Snapshot
	route         configuration.Route
	organisation  configuration.Organisation
	service       string
	deadline      time.Time
	// late reports whether the caller has probably waited for the route's target latency already.
	late bool
	// loan is the outcome of asking other instances for a rate limit token; empty if that
	// was not necessary. lender is the instance that granted the token of a concentrated
	// limit, or not valid.
	loan   loan.Outcome
	lender netip.AddrPort
	// entry is the instance that has delegated the request to this one; empty if the caller has sent
	// it here.
	entry string
	// counted is true if the entry instance has counted the request in its retry budget.
	counted bool
	// grant is the token of the entry instance's share of a server's limits that came with the request;
	// nil if none did, or once it is used.
	grant *steer.Grant
	// identity is set if the request is refused because servers have ended under it.
	identity crash.Request
	// overloaded holds the server whose load is the reason for the refusal, if
	// any.
	overloaded steer.Choice
}

// Serve answers a caller's request.
func (f *Front) Serve(ctx context.Context, call pipeline.Call) (answer pipeline.Answer) {
	f.requestRate.add(call.Arrived)
	req := &request{call: call, configuration: f.snapshot.Load()}
	defer f.recoverPanic("request", func() {
		answer = f.outcomeAnswer(req, tamarackrun.Uncertain(tamarackrun.InternalError), 0)
	})
	req.caller = f.HeaderCodec.DecodeRequest(call.Request.Header)
	if reason, retryAfter := f.admit(ctx, req); reason != "" {
		return f.outcomeAnswer(req, tamarackrun.Refused(reason), retryAfter)
	}
	req.service = pickService(req.route)
	answer = f.dispatch(ctx, req)
	f.scope.Tagged(map[string]string{"route": req.route.Name}).Timer("request_latency").Record(time.Since(call.Arrived))
	return answer
}

// admit sets the route, the deadline and the organisation of a request and applies the
// organisation's rate limit. It returns the reason of a refusal, or none, and how
// long the caller should wait before it tries again.
func (f *Front) admit(ctx context.Context, req *request) (tamarackrun.Reason, time.Duration) {
	c, r := req.configuration, req.call.Request
	switch {
	case f.refusingRequests.Load():
		return tamarackrun.Leaving, minRetryAfter
	case c == nil || !f.members.IsReady():
		return tamarackrun.NotReady, defaultRetryAfter
	case !strings.HasPrefix(r.RequestURI, "/"):
		return tamarackrun.Malformed, 0
	}
	var ok bool
	if req.route, ok = c.RouteForHost(r.Host, pathOf(r)); !ok {
		return tamarackrun.RouteUnknown, 0
	}
	timeout := req.route.Timeout
	if req.caller.Timeout > 0 {
		timeout = min(timeout, req.caller.Timeout)
	}
	req.deadline = req.call.Arrived.Add(timeout)
	if !req.route.Idempotent && f.mayBeCancelled(req.deadline) {
		return tamarackrun.Leaving, minRetryAfter
	}
	if req.route.Open || len(c.Organisations) == 0 {
		return "", 0
	}
	if req.caller.Key == "" {
		return tamarackrun.KeyMissing, 0
	}
	key, ok := c.Keys[sha256.Sum256([]byte(req.caller.Key))]
	if !ok {
		return tamarackrun.KeyUnknown, 0
	}
	req.organisation = c.Organisations[key.Organisation]
	req.late = f.lateness.Late(req.call.Arrived, req.organisation.Name, req.route.Name, req.caller.Timeout, req.route.TargetLatency)
	return f.takeToken(ctx, req)
}

// pickService returns the service for a request. For a route that is split, it is
// drawn at random by weight; a service with too few servers passes none of its
// requests on to the others.
func pickService(route configuration.Route) string {
	total := 0.0
	for _, p := range route.Split {
		total += p.Weight
	}
	x := rand.Float64() * total
	for _, p := range route.Split {
		if x -= p.Weight; x < 0 {
			return p.Service
		}
	}
	return route.Service
}

// serverAnswer returns the server's answer unchanged.
func (f *Front) serverAnswer(result exchange.Result) pipeline.Answer {
	f.history.CountOutcome("request", tamarackrun.Done)
	return pipeline.Answer{Status: result.Status, Header: result.Header, Body: result.Body,
		Release: func() { f.backendClient.Release(result) }}
}

// outcomeAnswer returns the answer to a request for which there is no answer of a
// server.
func (f *Front) outcomeAnswer(req *request, outcome tamarackrun.Outcome, retryAfter time.Duration) pipeline.Answer {
	number := event.RequestRefused
	if outcome.Kind == tamarackrun.Unknown {
		number = event.RequestUncertain
	}
	status, header := f.HeaderCodec.EncodeOutcome(outcome, retryAfter)
	fields := []string{"outcome", outcome.String(), "status", strconv.Itoa(status), "returnAfter", retryAfter.String(),
		"timeLeft", req.caller.Timeout.String(), "late", strconv.FormatBool(req.late),
		"route", req.route.Name, "service", req.service, "organisation", req.organisation.Name,
		"configuration", strconv.FormatInt(f.configurationVersion(), 10), "configurationAge", f.configurationAge().String()}
	if outcome.Reason == tamarackrun.RateExceeded {
		fields = append(fields, "limit", formatRate(req.organisation.Rate), "part", formatRate(f.limiter.Share(req.organisation.Name)),
			"fleetDemand", formatRate(f.limiter.FleetDemand(req.organisation.Name)),
			"loan", string(req.loan))
	}
	if req.identity != 0 {
		fields = append(fields, "identity", req.identity.String())
	}
	if b := req.overloaded.Overload; b != nil {
		fields = append(fields, "server", req.overloaded.Server.Name, "serverWaiting", strconv.Itoa(b.Waiting), "serverSlots", strconv.Itoa(b.Slots),
			"reportAge", b.Age.Round(time.Millisecond).String(), "serverTook", b.ResponseTime.Round(time.Millisecond).String())
	}
	if s := req.overloaded.Skipped; s != (steer.Skipped{}) {
		fields = append(fields, "skipped", s.String())
	}
	if c := req.overloaded; c.Overload == nil && c.Server != nil {
		fields = append(fields, "server", c.Server.Name)
		if c.HeardAge > 0 {
			fields = append(fields, "heardAge", c.HeardAge.Round(time.Millisecond).String(), "restFor", c.RetryAfter.Round(time.Millisecond).String())
		}
	}
	f.history.Record(number, req.caller.ID, fields...)
	f.history.CountOutcome("request", outcome)
	return pipeline.Answer{Status: status, Header: header}
}

func formatRate(x float64) string { return strconv.FormatFloat(x, 'g', 4, 64) }

// configurationAge returns how long the configuration has been in force at this
// instance.
func (f *Front) configurationAge() time.Duration {
	if at := f.configurationSince.Load(); at != 0 {
		return time.Since(time.UnixMilli(at)).Round(time.Millisecond)
	}
	return 0
}

// retryAfter returns how long a refused caller should wait: until a server with a rate limit
// takes a request again, or else half of the route's target latency, after which some of the
// running requests have probably ended.
func (f *Front) retryAfter(req *request) time.Duration {
	switch at := req.overloaded.RetryAfter; {
	case at > 0 && req.overloaded.HeardAge > 0:
		// No server takes the request before.
		return max(minRetryAfter, at)
	case at > 0:
		return min(maxRetryAfter, max(minRetryAfter, at))
	}
	return min(maxRetryAfter, max(minRetryAfter, cmp.Or(req.route.TargetLatency/2, defaultRetryAfter)))
}
