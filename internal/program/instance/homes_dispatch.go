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

// serveDispatch runs a request that a peer sent. The request counts as in
// flight until the end of its answer was sent, so that a graceful shutdown does
// not cut it off.
func (in *Instance) serveDispatch(ctx context.Context, message *wire.Dispatch, stream tamarackrun.Stream) {
	in.homeServers.inFlight.Add(1)
	defer in.homeServers.inFlight.Add(-1)
	sender := frame.NewAnswerSender(stream)
	request, known := in.fromMessage(message)
	if !known && !request.Idempotent {
		_ = sender.Finish(tamarackrun.Refused(tamarackrun.HomeUnreachable))
		return
	}
	_ = sender.Finish(in.homeServers.Dispatch(ctx, request, sender))
}

// Dispatch runs a request on a server whose home is this instance.
func (h *homeServers) Dispatch(ctx context.Context, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	outcome := h.dispatch(ctx, request, answer)
	h.in.history.CountOutcome("home", outcome)
	return outcome
}

func (h *homeServers) dispatch(ctx context.Context, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	c := h.in.snapshot.Load()
	if c == nil {
		return tamarackrun.Refused(tamarackrun.NotReady)
	}
	s := h.get(request.Server)
	if s == nil {
		// The sender may have learnt before this instance did that this instance is
		// the home.
		h.reconcile(c)
		s = h.get(request.Server)
	}
	switch {
	case s == nil:
		return tamarackrun.Refused(tamarackrun.NotHome)
	case h.isLeaving(request.Server, s):
		return tamarackrun.Refused(tamarackrun.ServerDraining)
	}
	admitted, probe := s.admit(h.in.clock.Now(), request.Idempotent || !hasIdempotentRoute(c, request.Service))
	if !admitted {
		return tamarackrun.Refused(tamarackrun.ServerEjected)
	}
	outcome, result := h.dispatchQueued(ctx, c, s, request, answer, probe)
	h.recordResult(c, s, request, outcome, result, probe)
	return outcome
}

// admit reports whether a request may be sent, and whether it is a probe of an
// ejected server.
func (s *homeServer) admit(now time.Duration, mayProbe bool) (admitted, probe bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Admit(now, mayProbe)
}

// hasIdempotentRoute reports whether a service has idempotent routes. Then its
// non-idempotent requests are not used as probes, since losing one is not
// harmless.
func hasIdempotentRoute(c *configuration.Snapshot, service string) bool {
	for _, r := range c.Routes {
		if r.Service == service && r.Idempotent {
			return true
		}
	}
	return false
}

// dispatchQueued waits for a slot of the server and runs the request.
func (h *homeServers) dispatchQueued(ctx context.Context, c *configuration.Snapshot, s *homeServer, request tamarackrun.Request, answer tamarackrun.AnswerWriter, probe bool) (tamarackrun.Outcome, health.Result) {
	s.updateSlots(h.in.clock.Now())
	queued := h.queueRequest(c, s, request)
	release, outcome := s.gate.Acquire(ctx, queued)
	if outcome != tamarackrun.Done {
		return outcome, health.Inconclusive
	}
	defer release()
	// Whether the server is leaving or ejected may have changed while the request
	// waited.
	if h.isLeaving(request.Server, s) {
		return tamarackrun.Refused(tamarackrun.ServerDraining), health.Inconclusive
	}
	if ok, _ := s.admit(h.in.clock.Now(), false); !ok && !probe {
		return tamarackrun.Refused(tamarackrun.ServerEjected), health.Inconclusive
	}
	// A request that waited for longer than its token is valid keeps its slot if
	// it gets a new token.
	if !h.in.renewToken(ctx, &request) {
		return tamarackrun.Refused(tamarackrun.HeldTooLong), health.Inconclusive
	}
	if reason := h.in.recheckKey(request); reason != "" {
		return tamarackrun.Refused(reason), health.Inconclusive
	}
	return h.dispatchTimed(ctx, s, request, answer, queued.Shifted)
}

// dispatchTimed runs the request and evaluates its latency and its service
// time.
func (h *homeServers) dispatchTimed(ctx context.Context, s *homeServer, request tamarackrun.Request, answer tamarackrun.AnswerWriter, shifted bool) (tamarackrun.Outcome, health.Result) {
	started := h.in.clock.Now()
	timed := &timedAnswer{AnswerWriter: answer, clock: h.in.clock}
	concurrent := shifted || s.gate.ShiftedRunning() > 0
	outcome := h.sendToServer(ctx, request, timed)
	now := h.in.clock.Now()
	result := healthResult(outcome, timed.status, now-started, s.serviceTime(request.Route))
	if ctx.Err() != nil {
		// The caller disconnected, which may be the cause of the error.
		result = health.Inconclusive
	}
	if outcome.Kind == tamarackrun.Ran {
		s.addServiceTime(request.Route, now-started)
		h.observeLatency(s, request, now, timed.headAt-started, shifted, concurrent)
	}
	return outcome, result
}

// sendToServer sends the request to its server. The attempt of a ticketed
// request begins only if its issuer has not cancelled it.
func (h *homeServers) sendToServer(ctx context.Context, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	if !request.Idempotent {
		return h.in.ticketed.runAttempt(ctx, request, answer)
	}
	h.in.history.Record(event.RequestDispatched, request.ID, "server", request.Server, "attempt", request.Attempt,
		"organisation", request.Organisation)
	return h.in.backendClient.Dispatch(ctx, request, answer)
}

// observeLatency passes the latency of a request to the server's slow start, and
// records when that stops requests of other regions because the latency grew.
func (h *homeServers) observeLatency(s *homeServer, request tamarackrun.Request, now, latency time.Duration, shifted, concurrent bool) {
	s.mu.Lock()
	stopped := s.slowStart.Observe(now, latency, shifted, concurrent)
	s.mu.Unlock()
	if stopped {
		h.in.history.Record(event.ShiftClosed, request.ID, "server", request.Server, "latency", latency.String())
	}
}

// recordResult ejects or reinstates a server according to the result of a
// request.
func (h *homeServers) recordResult(c *configuration.Snapshot, s *homeServer, request tamarackrun.Request, outcome tamarackrun.Outcome, result health.Result, probe bool) {
	mayEject := result == health.Failure && h.mayEject(c, request.Service)
	now := h.in.clock.Now()
	s.mu.Lock()
	var ejected, reinstated bool
	if probe {
		reinstated = s.tracker.ObserveProbe(now, result)
	} else {
		ejected = s.tracker.Observe(now, result, mayEject)
	}
	s.mu.Unlock()
	if ejected {
		h.in.history.Record(event.ServerEjected, request.ID, "server", request.Server, "outcome", outcome.String())
	}
	if reinstated {
		h.in.history.Record(event.ServerReinstated, request.ID, "server", request.Server)
	}
}

// queueRequest describes a request for the server's queue.
func (h *homeServers) queueRequest(c *configuration.Snapshot, s *homeServer, request tamarackrun.Request) slot.Request {
	s.mu.Lock()
	v := s.server
	s.mu.Unlock()
	queued := slot.Request{Organisation: request.Organisation, Weight: c.Organisations[request.Organisation].Weight,
		Cost: s.serviceTime(request.Route), Deadline: request.Deadline, Shifted: request.OriginRegion != c.RegionOf(v.Domain)}
	if r, ok := c.RouteByName(request.Route); ok {
		queued.Batch = r.Class == configuration.Batch
	}
	queued.Rate = serverRate(c, request.Organisation, v)
	if queued.Shifted {
		queued.ShiftLimit, queued.Reserve = h.shiftLimit(c, v, s)
	}
	return queued
}

// serverRate returns the part of an organisation's rate that reaches one server
// if all its requests come from one region and go to one service.
func serverRate(c *configuration.Snapshot, organisation string, v configuration.Server) float64 {
	slots := 0
	for _, other := range c.ServersOf(v.Service) {
		if c.RegionOf(other.Domain) == c.RegionOf(v.Domain) {
			slots += other.Slots
		}
	}
	return c.Organisations[organisation].Rate * float64(v.Slots) / float64(max(1, slots))
}

// shiftLimit returns the number of slots of a server that requests of other
// regions may use now, and the number that its own region must leave free
// before the server takes such requests.
func (h *homeServers) shiftLimit(c *configuration.Snapshot, v configuration.Server, s *homeServer) (limit, reserve int) {
	group := c.GroupOf(v)
	serverCap := shift.ServerCap(shift.RegionCap(c.Services[v.Service].ShiftCap, group.Slots), group.Position, group.Size)
	reserve = shift.Reserve(v.Slots, c.DomainCount(c.RegionOf(v.Domain)))
	now := h.in.clock.Now()
	otherHome := h.currentTable(c).MayHaveOtherHome(v, h.in.roster.Member, h.in.Settings.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if otherHome || !s.ownership.AllowsShifted(now) {
		return 0, reserve
	}
	return s.slowStart.Limit(now, serverCap), reserve
}

// timedAnswer records the status of an answer and the time at which it began.
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
