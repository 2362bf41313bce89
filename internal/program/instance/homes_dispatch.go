package instance

import (
	"context"
	"net/http"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/health"
	"tamarackrun/internal/coordination/shift"
	"tamarackrun/internal/coordination/slot"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/frame"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/configuration"
)

// serveDispatch runs a request that a peer sent. It counts as running until the
// end was sent, so that a planned stop does not cut it.
func (in *Instance) serveDispatch(ctx context.Context, message *wire.Dispatch, stream tamarackrun.Stream) {
	in.homes.running.Add(1)
	defer in.homes.running.Add(-1)
	sender := frame.NewAnswerSender(stream)
	request, known := in.fromMessage(message)
	if !known && !request.Idempotent {
		_ = sender.Finish(tamarackrun.Refused(tamarackrun.HomeUnreachable))
		return
	}
	_ = sender.Finish(in.homes.Dispatch(ctx, request, sender))
}

// Dispatch runs a request on a server whose home this instance is.
func (h *homes) Dispatch(ctx context.Context, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	h.running.Add(1)
	defer h.running.Add(-1)
	outcome := h.dispatch(ctx, request, answer)
	h.in.history.CountOutcome("home", outcome)
	return outcome
}

func (h *homes) dispatch(ctx context.Context, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	c := h.in.snapshot.Load()
	if c == nil {
		return tamarackrun.Refused(tamarackrun.NotReady)
	}
	o := h.get(request.Server)
	if o == nil {
		// The sender may have learnt earlier that this instance is the home.
		h.place(c)
		o = h.get(request.Server)
	}
	switch {
	case o == nil:
		return tamarackrun.Refused(tamarackrun.NotHome)
	case h.isLeaving(request.Server, o):
		return tamarackrun.Refused(tamarackrun.ServerDraining)
	}
	admitted, probe := o.admit(h.in.clock.Now(), request.Idempotent || !hasIdempotentRoute(c, request.Service))
	if !admitted {
		return tamarackrun.Refused(tamarackrun.ServerEjected)
	}
	outcome, result := h.queue(ctx, c, o, request, answer, probe)
	h.judge(c, o, request, outcome, result, probe)
	return outcome
}

// admit says whether a request may be sent, and whether it is a probe of an
// ejected server.
func (o *owned) admit(now time.Duration, mayProbe bool) (admitted, probe bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.Admit(now, mayProbe)
}

// hasIdempotentRoute says whether a service gets requests that are harmless to
// lose, so that orders need not serve as probes.
func hasIdempotentRoute(c *configuration.Snapshot, service string) bool {
	for _, r := range c.Routes {
		if r.Service == service && r.Idempotent {
			return true
		}
	}
	return false
}

// queue waits for a slot and runs the request.
func (h *homes) queue(ctx context.Context, c *configuration.Snapshot, o *owned, request tamarackrun.Request, answer tamarackrun.AnswerWriter, probe bool) (tamarackrun.Outcome, health.Result) {
	o.limitSlots(h.in.clock.Now())
	entry := h.entry(c, o, request)
	release, outcome := o.gate.Acquire(ctx, entry)
	if outcome != tamarackrun.Done {
		return outcome, health.Inconclusive
	}
	defer release()
	// Both may have changed while the request waited.
	if h.isLeaving(request.Server, o) {
		return tamarackrun.Refused(tamarackrun.ServerDraining), health.Inconclusive
	}
	if ok, _ := o.admit(h.in.clock.Now(), false); !ok && !probe {
		return tamarackrun.Refused(tamarackrun.ServerEjected), health.Inconclusive
	}
	// A request that waited longer than its token lasts keeps its slot if there
	// is a new token.
	if !h.in.renewToken(ctx, &request) {
		return tamarackrun.Refused(tamarackrun.HeldTooLong), health.Inconclusive
	}
	if reason := h.in.recheckKey(request); reason != "" {
		return tamarackrun.Refused(reason), health.Inconclusive
	}
	return h.send(ctx, o, request, answer, entry.Shifted)
}

// send runs the request and takes its times.
func (h *homes) send(ctx context.Context, o *owned, request tamarackrun.Request, answer tamarackrun.AnswerWriter, shifted bool) (tamarackrun.Outcome, health.Result) {
	began := h.in.clock.Now()
	timed := &timedAnswer{AnswerWriter: answer, clock: h.in.clock}
	together := shifted || o.gate.ShiftedRunning() > 0
	outcome := h.sendOnce(ctx, request, timed)
	now := h.in.clock.Now()
	result := resultOf(outcome, timed.status, now-began, o.cost(request.Route))
	if ctx.Err() != nil {
		// The caller left; the error may be a consequence of that.
		result = health.Inconclusive
	}
	if outcome.Kind == tamarackrun.Ran {
		o.addCost(request.Route, now-began)
		h.grow(o, request, now, timed.headAt-began, shifted, together)
	}
	return outcome, result
}

// sendOnce sends the request to its server. The attempt of an order begins only if
// its issuing instance has not barred it.
func (h *homes) sendOnce(ctx context.Context, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	if !request.Idempotent {
		return h.in.ticketed.runAttempt(ctx, request, answer)
	}
	h.in.history.Record(event.RequestDispatched, request.ID, "server", request.Server, "attempt", request.Attempt,
		"organisation", request.Organisation)
	return h.in.backends.Dispatch(ctx, request, answer)
}

func (h *homes) grow(o *owned, request tamarackrun.Request, now, latency time.Duration, shifted, together bool) {
	o.mu.Lock()
	closes := o.opening.Observe(now, latency, shifted, together)
	o.mu.Unlock()
	if closes {
		h.in.history.Record(event.ShiftClosed, request.ID, "server", request.Server, "latency", latency.String())
	}
}

// judge ejects and reinstates a server by the result of a request.
func (h *homes) judge(c *configuration.Snapshot, o *owned, request tamarackrun.Request, outcome tamarackrun.Outcome, result health.Result, probe bool) {
	mayEject := result == health.Failure && h.mayEject(c, request.Service)
	now := h.in.clock.Now()
	o.mu.Lock()
	var ejected, reinstated bool
	if probe {
		reinstated = o.tracker.ObserveProbe(now, result)
	} else {
		ejected = o.tracker.Observe(now, result, mayEject)
	}
	o.mu.Unlock()
	if ejected {
		h.in.history.Record(event.ServerEjected, request.ID, "server", request.Server, "outcome", outcome.String())
	}
	if reinstated {
		h.in.history.Record(event.ServerReinstated, request.ID, "server", request.Server)
	}
}

// entry describes a request for the queue.
func (h *homes) entry(c *configuration.Snapshot, o *owned, request tamarackrun.Request) slot.Request {
	o.mu.Lock()
	v := o.server
	o.mu.Unlock()
	e := slot.Request{Organisation: request.Organisation, Weight: c.Organisations[request.Organisation].Weight,
		Cost: o.cost(request.Route), Deadline: request.Deadline, Shifted: request.OriginRegion != c.RegionOf(v.Domain)}
	if r, ok := c.RouteByName(request.Route); ok {
		e.Batch = r.Class == configuration.Batch
	}
	e.Rate = rateAt(c, request.Organisation, v)
	if e.Shifted {
		e.ShiftLimit, e.Reserve = h.shiftLimit(c, v, o)
	}
	return e
}

// rateAt is the part of an organisation's rate that one server gets if all its
// requests come from one region to one service.
func rateAt(c *configuration.Snapshot, organisation string, v configuration.Server) float64 {
	slots := 0
	for _, other := range c.ServersOf(v.Service) {
		if c.RegionOf(other.Domain) == c.RegionOf(v.Domain) {
			slots += other.Slots
		}
	}
	return c.Organisations[organisation].Rate * float64(v.Slots) / float64(max(1, slots))
}

// shiftLimit returns the slots of a server that requests of other regions may
// use now, and those that its own region must leave free for that.
func (h *homes) shiftLimit(c *configuration.Snapshot, v configuration.Server, o *owned) (limit, reserve int) {
	g := c.GroupOf(v)
	part := shift.ServerCap(shift.RegionCap(c.Services[v.Service].ShiftCap, g.Slots), g.Position, g.Size)
	reserve = shift.Reserve(v.Slots, c.DomainCount(c.RegionOf(v.Domain)))
	now := h.in.clock.Now()
	disputable := h.placement(c).MayHaveOtherHome(v, h.in.roster.Member, h.in.Settings.Name)
	o.mu.Lock()
	defer o.mu.Unlock()
	if disputable || !o.tenure.AllowsShifted(now) {
		return 0, reserve
	}
	return o.opening.Limit(now, part), reserve
}

// timedAnswer notes the status and the time at which an answer began.
type timedAnswer struct {
	tamarackrun.AnswerWriter
	clock  tamarackrun.Clock
	status int
	headAt time.Duration
}

func (t *timedAnswer) Head(status int, header http.Header) error {
	t.status, t.headAt = status, t.clock.Now()
	return t.AnswerWriter.Head(status, header)
}
