package instance

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/retry"
	"tamarackrun/internal/coordination/shift"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/frame"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/configuration"
)

// dispatchState is what an entry instance knows from its own dispatches: retry
// budget, running requests per server and recent failures. The zero value is
// ready for use.
type dispatchState struct {
	retryBudget retry.Budget

	mu sync.Mutex
	// outstanding holds the number of running dispatches by server.
	outstanding map[string]int
	// shiftTriggers detect when requests are to be shifted to other regions, by
	// service and region of origin.
	shiftTriggers map[[2]string]*shift.Trigger
	// linkBudgets are byte budgets by pair of regions.
	linkBudgets map[[2]string]*shift.LinkBudget
	// lastProbes holds when this instance last sent a probe to each ejected
	// server.
	lastProbes map[string]time.Duration
	// avoidUntil holds the homes to which no exchange could be opened and the time
	// until which requests avoid each of them.
	avoidUntil map[string]time.Duration
}

// dispatchWithRetries dispatches a request until it ran or no further attempt
// is allowed.
func (in *Instance) dispatchWithRetries(ctx context.Context, c *configuration.Snapshot, route configuration.Route, request tamarackrun.Request, answer tamarackrun.AnswerWriter) (outcome tamarackrun.Outcome) {
	tried := map[string]bool{}
	outcome = tamarackrun.Refused(tamarackrun.NoHealthyServer)
	var uncertain tamarackrun.Outcome
	defer func() {
		if outcome.Kind == tamarackrun.NotRun && uncertain.Kind == tamarackrun.Unknown {
			// A refusal says nothing about an earlier attempt, which may have run.
			outcome = uncertain
		}
	}()
	tracked := &answerStart{AnswerWriter: answer}
	in.dispatchState.retryBudget.CountRequest(in.clock.Now())
	for n := 1; n <= route.MaxAttempts; n++ {
		chosen, refusal := in.chooseServer(c, request, tried)
		if refusal != "" {
			if n == 1 {
				return tamarackrun.Refused(refusal)
			}
			return outcome
		}
		if n > 1 && !in.takeRetry(request, outcome, chosen.server) {
			return outcome
		}
		tried[chosen.server] = true
		if !in.renewToken(ctx, &request) {
			return tamarackrun.Refused(tamarackrun.HeldTooLong)
		}
		if reason := in.recheckKey(request); reason != "" {
			return tamarackrun.Refused(reason)
		}
		request.Server, request.Attempt = chosen.server, fmt.Sprintf("%s.%d", request.ID, n)
		outcome = in.dispatchOnce(ctx, c, chosen, request, tracked)
		if outcome.Kind == tamarackrun.Unknown {
			uncertain = outcome
		}
		in.recordCapacityRefusal(c, request, outcome)
		if outcome.Reason == tamarackrun.HomeUnreachable {
			in.dispatchState.avoid(chosen.home, in.clock.Now()+avoidDuration)
		}
		if outcome.Reason == tamarackrun.ShiftCapped {
			excludeOtherRegions(c, request, tried)
		}
		retriable := outcome.Kind == tamarackrun.NotRun || outcome.Kind == tamarackrun.Unknown && request.Idempotent
		// Another home may run the request because it has not yet received the
		// version that withdraws the key or forbids the route.
		retriable = retriable && outcome.Reason != tamarackrun.KeyWithdrawn && outcome.Reason != tamarackrun.RouteForbidden
		if !retriable || tracked.began || ctx.Err() != nil || in.clock.Now() >= request.Deadline {
			return outcome
		}
	}
	return outcome
}

// renewToken takes a new rate token of the organisation if the request's token
// is too old, because a request that was delayed would otherwise run in
// addition to requests that were admitted later. It reports whether the request
// has a valid token.
func (in *Instance) renewToken(ctx context.Context, request *tamarackrun.Request) bool {
	if !isTokenExpired(*request, in.clock.Now()) {
		return true
	}
	admitted, outcome := in.rateLimiter.takeToken(ctx, request.Organisation, request.Deadline)
	request.Admitted = admitted
	return outcome == tamarackrun.Done
}

// retryWithoutBudget holds the reasons of refusals that cost no home and no
// backend server anything. A retry after one of them adds no load and takes
// nothing from the retry budget.
var retryWithoutBudget = map[tamarackrun.Reason]bool{
	tamarackrun.HomeUnreachable: true, tamarackrun.NotHome: true, tamarackrun.ShiftCapped: true,
}

// excludeOtherRegions keeps the retries of a request in its region of origin
// after another region had no room for it. Without this, 254 of 34,622 requests
// were refused as shiftCapped in a graceful shutdown under load, while servers
// of their own region had room in their queues.
func excludeOtherRegions(c *configuration.Snapshot, request tamarackrun.Request, tried map[string]bool) {
	for _, v := range c.ServersOf(request.Service) {
		if c.RegionOf(v.Domain) != request.OriginRegion {
			tried[v.Name] = true
		}
	}
}

// takeRetry takes a retry from the budget, if the reason of the refusal
// requires it, and records the retry. It reports whether the request may be
// retried.
func (in *Instance) takeRetry(request tamarackrun.Request, outcome tamarackrun.Outcome, server string) bool {
	if !retryWithoutBudget[outcome.Reason] && !in.dispatchState.retryBudget.AllowRetry(in.clock.Now()) {
		in.history.Record(event.RetryDenied, request.ID, "reason", string(outcome.Reason))
		in.history.CountOutcome("retryDenied", outcome)
		return false
	}
	in.history.Record(event.RequestRetried, request.ID, "reason", string(outcome.Reason), "server", server)
	in.history.CountOutcome("retry", outcome)
	return true
}

// dispatchOnce dispatches a request, counts it as outstanding and charges its
// bytes to the link between regions.
func (in *Instance) dispatchOnce(ctx context.Context, c *configuration.Snapshot, chosen candidate, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	in.dispatchState.addOutstanding(chosen.server, 1)
	defer in.dispatchState.addOutstanding(chosen.server, -1)
	if ownRegion := c.RegionOf(in.Settings.FailureDomain); chosen.region != ownRegion {
		link := in.dispatchState.linkBudget(ownRegion, chosen.region)
		link.Spend(len(request.Body) + len(request.Target))
		answer = &meteredAnswer{answer, link}
	}
	return in.dispatchToHome(ctx, chosen.home, request, answer)
}

// avoidDuration is how long a home is avoided after no exchange with it could be
// opened. It equals the interval of heartbeats, which then show whether the
// home is reachable.
const avoidDuration = heartbeatInterval

// avoid makes requests avoid a home until the given time.
func (d *dispatchState) avoid(homeName string, until time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.avoidUntil == nil {
		d.avoidUntil = map[string]time.Duration{}
	}
	d.avoidUntil[homeName] = until
}

// avoids reports whether requests avoid the home at the given time.
func (d *dispatchState) avoids(homeName string, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now < d.avoidUntil[homeName]
}

// addOutstanding adds change, which may be negative, to the number of running
// dispatches to a server.
func (d *dispatchState) addOutstanding(server string, change int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.outstanding == nil {
		d.outstanding = map[string]int{}
	}
	d.outstanding[server] += change
}

// outstandingAt returns the number of running dispatches to a server.
func (d *dispatchState) outstandingAt(server string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outstanding[server]
}

// linkBudget returns the byte budget of the link between two regions.
func (d *dispatchState) linkBudget(from, to string) *shift.LinkBudget {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.linkBudgets == nil {
		d.linkBudgets = map[[2]string]*shift.LinkBudget{}
	}
	key := [2]string{from, to}
	if d.linkBudgets[key] == nil {
		d.linkBudgets[key] = &shift.LinkBudget{}
	}
	return d.linkBudgets[key]
}

// withShiftTrigger calls f with the shift trigger of a service and a region of
// origin while holding the lock.
func (d *dispatchState) withShiftTrigger(service, region string, f func(*shift.Trigger) bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.shiftTriggers == nil {
		d.shiftTriggers = map[[2]string]*shift.Trigger{}
	}
	key := [2]string{service, region}
	if d.shiftTriggers[key] == nil {
		d.shiftTriggers[key] = &shift.Trigger{}
	}
	return f(d.shiftTriggers[key])
}

// takeProbe reports whether this instance may send a probe to the server now,
// and if so records the probe. The limit of one probe a second keeps several
// requests between two load reports from reaching an ejected server.
func (d *dispatchState) takeProbe(server string, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if last, ok := d.lastProbes[server]; ok && now-last < time.Second {
		return false
	}
	if d.lastProbes == nil {
		d.lastProbes = map[string]time.Duration{}
	}
	d.lastProbes[server] = now
	return true
}

// capacityReasons holds the reasons of refusals that show that a region lacks
// capacity.
var capacityReasons = map[tamarackrun.Reason]bool{
	tamarackrun.QueueFull: true, tamarackrun.QueueTimeout: true, tamarackrun.ServerEjected: true,
	tamarackrun.ServerShed: true, tamarackrun.ConnectFailed: true, tamarackrun.HomeUnreachable: true,
}

// recordCapacityRefusal records a refusal that the region of origin gave for
// lack of capacity, and the start of a shift to other regions after several of
// them.
func (in *Instance) recordCapacityRefusal(c *configuration.Snapshot, request tamarackrun.Request, outcome tamarackrun.Outcome) {
	if outcome.Kind != tamarackrun.NotRun || !capacityReasons[outcome.Reason] ||
		c.RegionOf(c.Servers[request.Server].Domain) != request.OriginRegion {
		return
	}
	now := in.clock.Now()
	if in.dispatchState.withShiftTrigger(request.Service, request.OriginRegion, func(t *shift.Trigger) bool { return t.RecordRefusal(now) }) {
		in.history.Record(event.ShiftStarted, request.ID, "service", request.Service, "region", request.OriginRegion,
			"reason", string(outcome.Reason))
	}
}

// meteredAnswer charges the bytes of an answer to a link between regions.
type meteredAnswer struct {
	tamarackrun.AnswerWriter
	budget *shift.LinkBudget
}

func (a *meteredAnswer) Body(piece []byte) error {
	a.budget.Spend(len(piece))
	return a.AnswerWriter.Body(piece)
}

// answerStart records whether an answer began, after which no retry is
// possible.
type answerStart struct {
	tamarackrun.AnswerWriter
	began bool
}

func (s *answerStart) Head(status int, header http.Header) error {
	s.began = true
	return s.AnswerWriter.Head(status, header)
}

// dispatchToHome sends a request to the home of its server.
func (in *Instance) dispatchToHome(ctx context.Context, homeName string, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	if !request.Idempotent {
		return in.ticketed.dispatch(ctx, homeName, request, answer)
	}
	if homeName == in.Settings.Name {
		return in.homeServers.Dispatch(ctx, request, answer)
	}
	member, ok := in.roster.Member(homeName)
	if !ok || !member.Reachable {
		return tamarackrun.Refused(tamarackrun.HomeUnreachable)
	}
	ctx, cancel := context.WithTimeout(ctx, request.Deadline-in.clock.Now())
	defer cancel()
	stream, err := in.mesh.Open(ctx, member.Listing.PeerAddress)
	if err != nil {
		return tamarackrun.Refused(tamarackrun.HomeUnreachable)
	}
	defer func() { _ = stream.Close() }()
	message := &wire.Envelope{Kind: &wire.Envelope_Dispatch{Dispatch: in.toMessage(request)}}
	if stream.Send(message) != nil {
		return tamarackrun.Uncertain(tamarackrun.HomeLost)
	}
	outcome, _ := frame.ReceiveAnswer(stream, answer)
	return outcome
}
