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
	"tamarackrun/internal/coordination/health"
	"tamarackrun/internal/coordination/steer"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/transport/exchange"
	"tamarackrun/internal/transport/pipeline"
)

const (
	// answerMargin is how long after a request's deadline a server's own answer
	// is still waited for.
	answerMargin = 150 * time.Millisecond
	// maxConnectFailures bounds the servers that are tried without having got
	// the request.
	maxConnectFailures = 3
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

// Repeatable says whether the request may run more than once.
func (f *Front) Repeatable(r *http.Request) bool {
	c := f.snapshot.Load()
	if c == nil {
		return true
	}
	route, ok := c.RouteFor(r.Host, pathOf(r))
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
}

// Serve answers a request.
func (f *Front) Serve(ctx context.Context, call pipeline.Call) pipeline.Answer {
	o := &order{call: call, fields: f.Dialect.ReadCaller(call.Request.Header), configuration: f.snapshot.Load()}
	if reason, after := f.admit(o); reason != "" {
		return f.finish(o, tamarackrun.Refused(reason), after)
	}
	o.service = pickPart(o.route)
	patience := o.route.Timeout
	if o.fields.Patience > 0 {
		patience = min(patience, o.fields.Patience)
	}
	o.deadline = call.Arrived.Add(patience)
	answer := f.dispatch(ctx, o)
	f.scope.Tagged(map[string]string{"route": o.route.Name}).Timer("request_latency").Record(time.Since(call.Arrived))
	return answer
}

// admit settles the route, the organisation and its limit.
func (f *Front) admit(o *order) (tamarackrun.Reason, time.Duration) {
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
	if o.route, ok = c.RouteFor(r.Host, pathOf(r)); !ok {
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
	if admitted, after := f.limiter.Admit(time.Now(), o.organisation); !admitted {
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

// dispatch sends the request to servers until one has answered it or no further
// attempt is allowed.
func (f *Front) dispatch(ctx context.Context, o *order) pipeline.Answer {
	ctx, cancel := context.WithDeadlineCause(ctx, o.deadline.Add(answerMargin), context.DeadlineExceeded)
	defer cancel()
	budget := f.retries.of(o.service, f.terms.Load())
	budget.Request(time.Since(f.started))
	var tried []string
	var failed *exchange.Reply
	outcome := tamarackrun.Refused(tamarackrun.NoHealthyServer)
	// Arrivals count the servers of the service that got the request, and misses
	// those that did not get it or no longer are at their address.
	arrivals, misses := 0, 0
	for arrivals < o.route.Attempts && misses < maxConnectFailures && time.Now().Before(o.deadline) && ctx.Err() == nil {
		choice, reason := f.choose(o, tried)
		if reason != "" {
			if len(tried) == 0 {
				outcome = tamarackrun.Refused(reason)
			}
			break
		}
		if arrivals > 0 && !budget.Retry(time.Since(f.started)) {
			f.steering.Done(time.Now(), choice, health.Nothing, false, 0)
			f.history.Record(event.RetryDenied, o.fields.ID, "reason", string(outcome.Reason), "service", o.service)
			break
		}
		reply := f.send(ctx, o, choice)
		tried = append(tried, choice.Server.Name)
		if reply.Sent && !reply.Fields.Misdirected {
			arrivals++
		} else {
			misses++
		}
		if reply.Outcome == tamarackrun.Done {
			if reply.Status < http.StatusInternalServerError || !o.route.Idempotent {
				return f.pass(reply)
			}
			failed = &reply
			continue
		}
		if outcome.Kind != tamarackrun.Unknown {
			// Once a server may have run the request, a later refusal does not
			// make it a request that did not run.
			outcome = reply.Outcome
		}
		if reply.Outcome.Kind == tamarackrun.Unknown && !o.route.Idempotent {
			break
		}
	}
	if failed != nil {
		return f.pass(*failed)
	}
	return f.finish(o, outcome, f.returnTime(o))
}

func (f *Front) choose(o *order, tried []string) (steer.Choice, tamarackrun.Reason) {
	q := steer.Query{Region: f.Identity.Region, Allowed: [][]string{o.route.Regions, o.organisation.Regions}, Tried: tried}
	if o.route.Sticky {
		q.Object = o.fields.Object
	}
	return f.steering.Choose(time.Now(), f.registry.ServersOf(o.service), q)
}

// send sends the request to the chosen server and records what became of it.
func (f *Front) send(ctx context.Context, o *order, choice steer.Choice) exchange.Reply {
	r, now := o.call.Request, time.Now()
	header := r.Header.Clone()
	f.Dialect.MarkForward(header, tamarackrun.ForwardFields{Organisation: o.organisation.Name, Server: choice.Server.Name, Remaining: o.deadline.Sub(now)})
	reply := f.servers.Do(ctx, choice.Server.Address, exchange.Request{ID: o.fields.ID, Method: r.Method, Target: r.RequestURI, Host: r.Host,
		Header: header, Body: o.call.Body, Repeatable: o.route.Idempotent})
	connectFailed := reply.Outcome.Reason == tamarackrun.ConnectFailed || reply.Fields.Misdirected
	ejected, reinstated := f.steering.Done(time.Now(), choice, judge(reply), connectFailed, len(f.registry.ServersOf(o.service)))
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
	return health.Nothing
}

func (f *Front) logAttempt(o *order, choice steer.Choice, reply exchange.Reply, sent time.Time) {
	fields := []string{"route", o.route.Name, "service", o.service, "organisation", o.organisation.Name, "server", choice.Server.Name,
		"rank", strconv.Itoa(choice.Rank), "outstanding", strconv.Itoa(choice.Outstanding),
		"recordAge", time.Since(choice.Server.Seen).Round(time.Millisecond).String(),
		"configuration", strconv.FormatInt(o.configuration.Version, 10),
		"waited", sent.Sub(o.call.Arrived).Round(time.Millisecond).String(), "took", time.Since(sent).Round(time.Millisecond).String(),
		"outcome", reply.Outcome.String(), "status", strconv.Itoa(reply.Status), "reused", strconv.FormatBool(reply.Reused)}
	if reply.Err != nil {
		fields = append(fields, "error", reply.Err.Error())
	}
	if l := reply.Fields.Load; l != nil {
		fields = append(fields, "serverLoad", strconv.Itoa(l.Running)+","+strconv.Itoa(l.Waiting)+","+strconv.Itoa(l.Slots))
	}
	f.history.Record(event.AttemptEnded, o.fields.ID, fields...)
	f.history.CountOutcome("attempt", reply.Outcome)
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
	status, header := f.Dialect.Refusal(outcome, after)
	fields := []string{"outcome", outcome.String(), "status", strconv.Itoa(status), "returnAfter", after.String(),
		"route", o.route.Name, "service", o.service, "organisation", o.organisation.Name,
		"configuration", strconv.FormatInt(f.version(), 10), "configurationAge", f.configurationAge().String()}
	if outcome.Reason == tamarackrun.RateExceeded {
		fields = append(fields, "limit", formatRate(o.organisation.Rate), "part", formatRate(f.limiter.Part(o.organisation.Name)))
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
	return min(maxReturn, max(minReturn, cmp.Or(o.route.Target/2, defaultReturn)))
}
