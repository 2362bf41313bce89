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

// dispatching is what an entry instance observes of its own dispatches. Its
// zero value is ready for use.
type dispatching struct {
	retries retry.Budget

	mu sync.Mutex
	// outstanding counts the running dispatches by server.
	outstanding map[string]int
	// triggers start shifts, by service and region of origin.
	triggers map[[2]string]*shift.Trigger
	// links are budgets of bytes by pair of regions.
	links map[[2]string]*shift.LinkBudget
	// probes are the times of the latest probes by server.
	probes map[string]time.Duration
	// suspects are the homes to which no exchange could be opened, with the
	// time until which they are avoided.
	suspects map[string]time.Duration
}

// attempt dispatches a request until it ran or no further attempt is allowed.
func (in *Instance) attempt(ctx context.Context, c *configuration.Snapshot, route configuration.Route, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	tried := map[string]bool{}
	outcome := tamarackrun.Refused(tamarackrun.NoHealthyServer)
	guarded := &firstAnswer{AnswerWriter: answer}
	in.dispatching.retries.CountRequest(in.clock.Now())
	for n := 1; n <= route.MaxAttempts; n++ {
		chosen, refusal := in.chooseServer(c, request, tried)
		if refusal != "" {
			if n == 1 {
				outcome = tamarackrun.Refused(refusal)
			}
			return outcome
		}
		if n > 1 && !in.mayRetry(request, outcome, chosen.server) {
			return outcome
		}
		tried[chosen.server] = true
		if !in.renewToken(ctx, &request) {
			if outcome.Kind != tamarackrun.Unknown {
				outcome = tamarackrun.Refused(tamarackrun.HeldTooLong)
			}
			return outcome
		}
		if reason := in.recheckKey(request); reason != "" {
			if outcome.Kind != tamarackrun.Unknown {
				outcome = tamarackrun.Refused(reason)
			}
			return outcome
		}
		request.Server, request.Attempt = chosen.server, fmt.Sprintf("%s.%d", request.ID, n)
		outcome = in.dispatchOnce(ctx, c, chosen, request, guarded)
		in.noteRefusal(c, request, outcome)
		if outcome.Reason == tamarackrun.HomeUnreachable {
			in.dispatching.suspect(chosen.home, in.clock.Now()+suspicion)
		}
		if outcome.Reason == tamarackrun.ShiftCapped {
			excludeOtherRegions(c, request, tried)
		}
		retriable := outcome.Kind == tamarackrun.NotRun || outcome.Kind == tamarackrun.Unknown && request.Idempotent
		// Another home may not have learnt of the withdrawal yet.
		retriable = retriable && outcome.Reason != tamarackrun.KeyWithdrawn && outcome.Reason != tamarackrun.RouteForbidden
		if !retriable || guarded.began || ctx.Err() != nil || in.clock.Now() >= request.Deadline {
			return outcome
		}
	}
	return outcome
}

// renewToken takes a new token of the organisation if the present one is too
// old, since a request that was held up would otherwise run on top of requests
// that were admitted later. It returns false if there is none.
func (in *Instance) renewToken(ctx context.Context, request *tamarackrun.Request) bool {
	if !isHeldTooLong(*request, in.clock.Now()) {
		return true
	}
	admitted, outcome := in.rates.admit(ctx, request.Organisation, request.Deadline)
	request.Admitted = admitted
	return outcome == tamarackrun.Done
}

// reachedNoQueue has the refusals that cost no home and no backend server
// anything, so that a retry does not add load and takes nothing from the budget.
var reachedNoQueue = map[tamarackrun.Reason]bool{
	tamarackrun.HomeUnreachable: true, tamarackrun.NotHome: true, tamarackrun.ShiftCapped: true,
}

// excludeOtherRegions keeps the retries of a request in its region of origin
// after another region had no room. In a planned stop under load 254 of 34,622
// requests were refused as shiftCapped while servers of their own region had
// room in their queues.
func excludeOtherRegions(c *configuration.Snapshot, request tamarackrun.Request, tried map[string]bool) {
	for _, v := range c.ServersOf(request.Service) {
		if c.RegionOf(v.Domain) != request.OriginRegion {
			tried[v.Name] = true
		}
	}
}

// mayRetry takes a retry from the budget and records the reason.
func (in *Instance) mayRetry(request tamarackrun.Request, outcome tamarackrun.Outcome, server string) bool {
	if !reachedNoQueue[outcome.Reason] && !in.dispatching.retries.AllowRetry(in.clock.Now()) {
		in.history.Record(event.RetryDenied, request.ID, "reason", string(outcome.Reason))
		in.history.CountOutcome("retryDenied", outcome)
		return false
	}
	in.history.Record(event.RequestRetried, request.ID, "reason", string(outcome.Reason), "server", server)
	in.history.CountOutcome("retry", outcome)
	return true
}

// dispatchOnce dispatches a request and counts it and its bytes.
func (in *Instance) dispatchOnce(ctx context.Context, c *configuration.Snapshot, chosen candidate, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	in.dispatching.count(chosen.server, 1)
	defer in.dispatching.count(chosen.server, -1)
	if own := c.RegionOf(in.Settings.FailureDomain); chosen.region != own {
		link := in.dispatching.link(own, chosen.region)
		link.Spend(len(request.Body) + len(request.Target))
		answer = &countedAnswer{answer, link}
	}
	return in.dispatchTo(ctx, chosen.home, request, answer)
}

// suspicion is how long a home is avoided after no exchange could be opened.
// It is the interval of heartbeats, which find out whether the home is dead.
const suspicion = heartbeatInterval

func (d *dispatching) suspect(homeName string, until time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.suspects == nil {
		d.suspects = map[string]time.Duration{}
	}
	d.suspects[homeName] = until
}

func (d *dispatching) suspected(homeName string, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now < d.suspects[homeName]
}

func (d *dispatching) count(server string, change int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.outstanding == nil {
		d.outstanding = map[string]int{}
	}
	d.outstanding[server] += change
}

func (d *dispatching) busy(server string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outstanding[server]
}

// link returns the budget of a pair of regions.
func (d *dispatching) link(from, to string) *shift.LinkBudget {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.links == nil {
		d.links = map[[2]string]*shift.LinkBudget{}
	}
	key := [2]string{from, to}
	if d.links[key] == nil {
		d.links[key] = &shift.LinkBudget{}
	}
	return d.links[key]
}

// trigger calls f with the trigger of a service and a region of origin.
func (d *dispatching) trigger(service, region string, f func(*shift.Trigger) bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.triggers == nil {
		d.triggers = map[[2]string]*shift.Trigger{}
	}
	key := [2]string{service, region}
	if d.triggers[key] == nil {
		d.triggers[key] = &shift.Trigger{}
	}
	return f(d.triggers[key])
}

// probe says whether this instance may send a probe to the server now. Only one
// of several requests between two load reports is to meet an ejected server.
func (d *dispatching) probe(server string, now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if last, ok := d.probes[server]; ok && now-last < time.Second {
		return false
	}
	if d.probes == nil {
		d.probes = map[string]time.Duration{}
	}
	d.probes[server] = now
	return true
}

// capacityReasons are refusals that show that a region is short of capacity.
var capacityReasons = map[tamarackrun.Reason]bool{
	tamarackrun.QueueFull: true, tamarackrun.QueueTimeout: true, tamarackrun.ServerEjected: true,
	tamarackrun.ServerShed: true, tamarackrun.ConnectFailed: true, tamarackrun.HomeUnreachable: true,
}

// noteRefusal starts a shift when the region of origin refuses repeatedly.
func (in *Instance) noteRefusal(c *configuration.Snapshot, request tamarackrun.Request, outcome tamarackrun.Outcome) {
	if outcome.Kind != tamarackrun.NotRun || !capacityReasons[outcome.Reason] ||
		c.RegionOf(c.Servers[request.Server].Domain) != request.OriginRegion {
		return
	}
	now := in.clock.Now()
	if in.dispatching.trigger(request.Service, request.OriginRegion, func(t *shift.Trigger) bool { return t.RecordRefusal(now) }) {
		in.history.Record(event.ShiftStarted, request.ID, "service", request.Service, "region", request.OriginRegion,
			"reason", string(outcome.Reason))
	}
}

// countedAnswer counts the bytes of an answer on a link between regions.
type countedAnswer struct {
	tamarackrun.AnswerWriter
	link *shift.LinkBudget
}

func (a *countedAnswer) Body(piece []byte) error {
	a.link.Spend(len(piece))
	return a.AnswerWriter.Body(piece)
}

// firstAnswer notes whether an answer began, after which no retry is possible.
type firstAnswer struct {
	tamarackrun.AnswerWriter
	began bool
}

func (f *firstAnswer) Head(status int, header http.Header) error {
	f.began = true
	return f.AnswerWriter.Head(status, header)
}

// dispatchTo sends a request to the home of its server.
func (in *Instance) dispatchTo(ctx context.Context, homeName string, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	if !request.Idempotent {
		return in.orders.dispatchOrder(ctx, homeName, request, answer)
	}
	if homeName == in.Settings.Name {
		return in.homes.Dispatch(ctx, request, answer)
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
