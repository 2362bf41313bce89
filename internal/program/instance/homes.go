package instance

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/home"
	"tamarackrun/internal/coordination/slot"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/transport/backend"
)

const (
	homeInterval   = time.Second
	healthTimeout  = 800 * time.Millisecond
	drainPollDelay = 20 * time.Millisecond
)

// homes holds the backend servers whose home this instance is, and is the
// Dispatcher for them.
type homes struct {
	in     *Instance
	health *http.Client

	mu sync.Mutex
	// owned has an entry for each server whose home this instance is.
	owned map[string]*owned
	// listedLeaving are the backend servers that the platform lists as
	// leaving.
	listedLeaving map[string]bool
}

// owned is the state of one backend server at its home.
type owned struct {
	server configuration.Server
	gate   *slot.Gate
	// leaving says that the server gets no new work.
	leaving bool
}

func newHomes(in *Instance) *homes {
	return &homes{in: in, health: &http.Client{Timeout: healthTimeout},
		owned: map[string]*owned{}, listedLeaving: map[string]bool{}}
}

func (h *homes) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c := h.in.snapshot.Load(); c != nil {
			h.place(c)
			h.pollHealth(ctx)
		}
		pause(ctx, homeInterval)
	}
}

// place takes and gives up homes after changes of the roster or the
// configuration.
func (h *homes) place(c *configuration.Snapshot) {
	members := h.in.roster.Members()
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, v := range c.Servers {
		mine := home.Of(c, v, members) == h.in.Settings.Name
		o, have := h.owned[name]
		switch {
		case mine && !have:
			h.owned[name] = &owned{server: v, gate: slot.New(v.Slots, h.in.clock)}
			h.in.history.Record(event.HomeGained, "", "server", name)
		case !mine && have:
			h.release(name)
		case mine && o.server != v:
			o.server = v
			o.gate.SetSlots(v.Slots)
		}
	}
	for name := range h.owned {
		if _, ok := c.Servers[name]; !ok {
			h.release(name)
		}
	}
}

func (h *homes) release(name string) {
	delete(h.owned, name)
	h.in.history.Record(event.HomeLost, "", "server", name)
}

func (h *homes) get(name string) *owned {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.owned[name]
}

// loads reports the owned servers for heartbeats.
func (h *homes) loads() []*wire.ServerLoad {
	h.mu.Lock()
	defer h.mu.Unlock()
	var loads []*wire.ServerLoad
	for name, o := range h.owned {
		inFlight, queued, slots := o.gate.Load()
		loads = append(loads, &wire.ServerLoad{Name: name, InFlight: uint32(inFlight), Queued: uint32(queued),
			Slots: uint32(slots), Leaving: o.leaving})
	}
	return loads
}

// Dispatch runs a request on a server whose home this instance is.
func (h *homes) Dispatch(ctx context.Context, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	outcome := h.dispatch(ctx, request, answer)
	h.in.history.CountOutcome("home", outcome)
	return outcome
}

func (h *homes) dispatch(ctx context.Context, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	o := h.get(request.Server)
	if o == nil {
		// The sender may have learnt earlier that this instance is the home.
		if c := h.in.snapshot.Load(); c != nil {
			h.place(c)
		}
		o = h.get(request.Server)
	}
	if o == nil {
		return tamarackrun.Refused(tamarackrun.NotHome)
	}
	if h.isLeaving(o) {
		return tamarackrun.Refused(tamarackrun.ServerDraining)
	}
	release, outcome := o.gate.Enter(ctx, request)
	if outcome != tamarackrun.Done {
		return outcome
	}
	defer release()
	if h.isLeaving(o) {
		return tamarackrun.Refused(tamarackrun.ServerDraining)
	}
	if !request.Idempotent {
		return h.in.orders.runAttempt(ctx, request, answer)
	}
	h.in.history.Record(event.RequestDispatched, request.ID, "server", request.Server, "attempt", request.Attempt,
		"organisation", request.Organisation)
	return h.in.backends.Dispatch(ctx, request, answer)
}

func (h *homes) isLeaving(o *owned) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return o.leaving || h.listedLeaving[o.server.Name]
}

// listed takes the platform's list.
func (h *homes) listed(list []tamarackrun.Listing) {
	leaving := map[string]bool{}
	for _, l := range list {
		if l.Leaving {
			leaving[l.Name] = true
		}
	}
	h.mu.Lock()
	h.listedLeaving = leaving
	h.mu.Unlock()
}

// observe takes the headers of an answer.
func (h *homes) observe(server string, header http.Header) {
	if header.Get(backend.DrainingHeader) == "true" {
		h.setLeaving(server, true)
	}
}

func (h *homes) setLeaving(server string, leaving bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if o := h.owned[server]; o != nil && o.leaving != leaving {
		o.leaving = leaving
		if leaving {
			h.in.history.Record(event.ServerLeaving, "", "server", server)
		}
	}
}

// pollHealth asks the owned servers whether they are leaving.
func (h *homes) pollHealth(ctx context.Context) {
	h.mu.Lock()
	servers := make([]configuration.Server, 0, len(h.owned))
	for _, o := range h.owned {
		servers = append(servers, o.server)
	}
	h.mu.Unlock()
	var group sync.WaitGroup
	for _, v := range servers {
		group.Go(func() { h.pollServer(ctx, v) })
	}
	group.Wait()
}

func (h *homes) pollServer(ctx context.Context, v configuration.Server) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.Address+"/health", nil)
	if err != nil {
		return
	}
	response, err := h.health.Do(request)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	var report struct {
		State string `json:"state"`
	}
	if json.NewDecoder(response.Body).Decode(&report) == nil {
		h.setLeaving(v.Name, report.State == "draining")
	}
}

// drain waits until no request runs on the owned servers.
func (h *homes) drain(ctx context.Context) {
	for ctx.Err() == nil {
		busy := 0
		for _, l := range h.loads() {
			busy += int(l.InFlight + l.Queued)
		}
		if busy == 0 {
			return
		}
		pause(ctx, drainPollDelay)
	}
}
