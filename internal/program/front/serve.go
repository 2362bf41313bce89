package front

import (
	"cmp"
	"context"
	"crypto/sha256"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/loan"
	"tamarackrun/internal/coordination/steer"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/transport/exchange"
	"tamarackrun/internal/transport/pipeline"
)

const (
	// Bounds of the time after which a refused caller may come back.
	minReturn     = 50 * time.Millisecond
	maxReturn     = time.Second
	defaultReturn = 300 * time.Millisecond
)

// defaultLimits hold before a configuration is known.
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

// Repeatable says whether the request may run more than once. Serve looks up the
// route again, as the configuration may change while the request waits behind
// others.
func (f *Front) Repeatable(r *http.Request) bool {
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
	return f.finish(&order{}, tamarackrun.Refused(reason), 0)
}

// order is one request on its way.
type order struct {
	call          pipeline.Call
	fields        tamarackrun.CallerFields
	configuration *configuration.Snapshot
	route         configuration.Route
	organisation  configuration.Organisation
	service       string
	deadline      time.Time
	// loan is how a token was asked for; empty if the own part had one.
	loan loan.Outcome
	// refusedBy has the server that was too busy, if that is why the request is
	// refused.
	refusedBy steer.Choice
}

// Serve answers a request.
func (f *Front) Serve(ctx context.Context, call pipeline.Call) pipeline.Answer {
	o := &order{call: call, fields: f.HeaderCodec.DecodeRequest(call.Request.Header), configuration: f.snapshot.Load()}
	if reason, after := f.admit(ctx, o); reason != "" {
		return f.finish(o, tamarackrun.Refused(reason), after)
	}
	o.service = pickPart(o.route)
	patience := o.route.Timeout
	if o.fields.Timeout > 0 {
		patience = min(patience, o.fields.Timeout)
	}
	o.deadline = call.Arrived.Add(patience)
	answer := f.dispatch(ctx, o)
	f.scope.Tagged(map[string]string{"route": o.route.Name}).Timer("request_latency").Record(time.Since(call.Arrived))
	return answer
}

// admit settles the route, the organisation and its limit.
func (f *Front) admit(ctx context.Context, o *order) (tamarackrun.Reason, time.Duration) {
	c, r := o.configuration, o.call.Request
	switch {
	case f.refusing.Load():
		return tamarackrun.Leaving, minReturn
	case c == nil || !f.members.IsReady():
		return tamarackrun.NotReady, defaultReturn
	case !strings.HasPrefix(r.RequestURI, "/"):
		return tamarackrun.Malformed, 0
	}
	var ok bool
	if o.route, ok = c.RouteForHost(r.Host, pathOf(r)); !ok {
		return tamarackrun.RouteUnknown, 0
	}
	if o.route.Open || len(c.Organisations) == 0 {
		return "", 0
	}
	if o.fields.Key == "" {
		return tamarackrun.KeyMissing, 0
	}
	key, ok := c.Keys[sha256.Sum256([]byte(o.fields.Key))]
	if !ok {
		return tamarackrun.KeyUnknown, 0
	}
	o.organisation = c.Organisations[key.Organisation]
	admitted, after := f.limiter.Admit(time.Now(), o.organisation)
	if admitted {
		return "", 0
	}
	o.loan = f.loans.Borrow(ctx, o.organisation.Name)
	if o.loan != loan.Granted {
		return tamarackrun.RateExceeded, min(maxReturn, max(minReturn, after))
	}
	return "", 0
}

// pickPart draws the service of a request by the weights of a split route. A
// part that is short of servers passes nothing on to the others.
func pickPart(route configuration.Route) string {
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

// pass hands the server's answer to the caller as it is.
func (f *Front) pass(reply exchange.Reply) pipeline.Answer {
	f.history.CountOutcome("request", tamarackrun.Done)
	return pipeline.Answer{Status: reply.Status, Header: reply.Header, Body: reply.Body}
}

// finish answers a request that has no answer of a server.
func (f *Front) finish(o *order, outcome tamarackrun.Outcome, after time.Duration) pipeline.Answer {
	number := event.RequestRefused
	if outcome.Kind == tamarackrun.Unknown {
		number = event.RequestUncertain
	}
	status, header := f.HeaderCodec.EncodeOutcome(outcome, after)
	fields := []string{"outcome", outcome.String(), "status", strconv.Itoa(status), "returnAfter", after.String(),
		"route", o.route.Name, "service", o.service, "organisation", o.organisation.Name,
		"configuration", strconv.FormatInt(f.version(), 10), "configurationAge", f.configurationAge().String()}
	if outcome.Reason == tamarackrun.RateExceeded {
		fields = append(fields, "limit", formatRate(o.organisation.Rate), "part", formatRate(f.limiter.Share(o.organisation.Name)),
			"loan", string(o.loan))
	}
	if b := o.refusedBy.Overload; b != nil {
		fields = append(fields, "server", o.refusedBy.Server.Name, "serverWaiting", strconv.Itoa(b.Waiting), "serverSlots", strconv.Itoa(b.Slots),
			"reportAge", b.Age.Round(time.Millisecond).String(), "serverTook", b.ResponseTime.Round(time.Millisecond).String())
	}
	f.history.Record(number, o.fields.ID, fields...)
	f.history.CountOutcome("request", outcome)
	return pipeline.Answer{Status: status, Header: header}
}

func formatRate(x float64) string { return strconv.FormatFloat(x, 'g', 4, 64) }

// configurationAge is how long the configuration has been in force here.
func (f *Front) configurationAge() time.Duration {
	if at := f.applied.Load(); at != 0 {
		return time.Since(time.UnixMilli(at)).Round(time.Millisecond)
	}
	return 0
}

// returnTime is when a refused caller may find room: after about half of the
// time that a request of the route takes.
func (f *Front) returnTime(o *order) time.Duration {
	return min(maxReturn, max(minReturn, cmp.Or(o.route.TargetLatency/2, defaultReturn)))
}
