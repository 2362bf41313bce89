package instance

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/health"
	"tamarackrun/internal/coordination/home"
	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/protocol/drain"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/roster"
)

const (
	homeInterval   = time.Second
	healthTimeout  = 800 * time.Millisecond
	drainPollDelay = 20 * time.Millisecond
	// handoverTime is two heartbeats: the other instances hear of the new home
	// before the old one refuses. Without it 381 of 13154 requests were refused
	// with notHome in a planned stop, because retries ran out.
	handoverTime = time.Second
)

// homes holds the backend servers whose home this instance is, and is the
// Dispatcher for them.
type homes struct {
	in     *Instance
	health *http.Client
	// began is when the instance started.
	began time.Duration
	// running counts the exchanges in flight, also those on servers that were
	// given up since.
	running atomic.Int64
	orders  atomic.Pointer[drain.Targets]

	mu sync.Mutex
	// owned has an entry for each server whose home this instance is.
	owned map[string]*owned
	// reporters holds the latest other instance that reported each server.
	reporters map[string]string
	// listedLeaving are the backend servers that the platform lists as
	// leaving.
	listedLeaving map[string]bool
	// announced are the servers whose leaving was recorded.
	announced map[string]bool
	// noted is the table whose reporters were taken.
	noted *home.Table

	// woken has a value when a peer's state changed the placement.
	woken chan struct{}
	// table is replaced under building.
	table    atomic.Pointer[home.Table]
	building sync.Mutex
}

func newHomes(in *Instance) *homes {
	h := &homes{in: in, health: &http.Client{Timeout: healthTimeout}, began: in.clock.Now(), owned: map[string]*owned{},
		reporters: map[string]string{}, listedLeaving: map[string]bool{}, announced: map[string]bool{}, woken: make(chan struct{}, 1)}
	h.orders.Store(&drain.Targets{})
	return h
}

func (h *homes) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c := h.in.snapshot.Load(); c != nil {
			h.place(c)
			h.pollHealth(ctx)
		}
		waiting.Pause(ctx, homeInterval)
	}
}

// place takes and gives up homes after changes of the roster or the
// configuration. A home is given up only when another instance reports the
// server, so that there is one at every moment.
func (h *homes) place(c *configuration.Snapshot) {
	t, now, self := h.refresh(c), h.in.clock.Now(), h.in.Settings.Name
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.noted != t {
		t.ForEachReported(self, func(server, by string) { h.reporters[server] = by })
		h.noted = t
	}
	for _, name := range t.PlacedOn(self) {
		if h.owned[name] == nil {
			h.gain(t.Configuration, name, now)
		}
	}
	for name, o := range h.owned {
		v, ok := t.Configuration.Servers[name]
		placed := ok && t.Place(v, h.in.roster.Member) == self
		if !ok || o.taken(now, !placed && t.Reporter(name, h.in.roster.Member, self) != "") {
			h.release(name)
			continue
		}
		h.keep(t, o, v, now)
	}
}

func (h *homes) gain(c *configuration.Snapshot, name string, now time.Duration) {
	v := c.Servers[name]
	h.owned[name] = newOwned(v, home.Ownership{Gained: now, LongestRequest: longestTimeout(c, v.Service)}, h.in.clock)
	h.in.history.Record(event.HomeGained, "", "server", name, "before", h.reporters[name])
}

// keep applies the configuration and the limits of the tenure.
func (h *homes) keep(t *home.Table, o *owned, v configuration.Server, now time.Duration) {
	o.mu.Lock()
	o.server = v
	gained := o.tenure.Gained
	o.mu.Unlock()
	name := h.reporters[v.Name]
	older, _ := h.in.roster.Member(name)
	o.setTenure(t.AllHeard && name == "" && gained-h.began < home.MaxListLag, home.HandedOver(older, v.Name, gained))
	o.limitSlots(now)
}

// release gives a home up. Waiting requests are refused, so that their entry
// instances try the new home; running ones finish.
func (h *homes) release(name string) {
	h.owned[name].gate.Close(tamarackrun.NotHome)
	delete(h.owned, name)
	h.in.history.Record(event.HomeLost, "", "server", name)
}

func longestTimeout(c *configuration.Snapshot, service string) time.Duration {
	var longest time.Duration
	for _, r := range c.Routes {
		if service == "" || r.Service == service {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

func (h *homes) get(name string) *owned {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.owned[name]
}

func (h *homes) all() map[string]*owned {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make(map[string]*owned, len(h.owned))
	for name, o := range h.owned {
		all[name] = o
	}
	return all
}

// loads reports the owned servers for heartbeats.
func (h *homes) loads() []*wire.ServerLoad {
	var loads []*wire.ServerLoad
	for name, o := range h.all() {
		loads = append(loads, h.load(name, o))
	}
	// Peers compare the names in order to see whether the homes changed.
	slices.SortFunc(loads, func(a, b *wire.ServerLoad) int { return cmp.Compare(a.Name, b.Name) })
	return loads
}

func (h *homes) load(name string, o *owned) *wire.ServerLoad {
	inFlight, queued, slots := o.gate.Load()
	l := &wire.ServerLoad{Name: name, InFlight: uint32(inFlight), Queued: uint32(queued), Slots: uint32(slots),
		Leaving: h.isLeaving(name, o)}
	now := h.in.clock.Now()
	o.mu.Lock()
	l.Ejected, l.Probe = o.tracker.Ejected(), o.tracker.ProbeDue(now)
	server := o.server
	o.mu.Unlock()
	if c := h.in.snapshot.Load(); c != nil {
		limit, _ := h.shiftLimit(c, server, o)
		l.ShiftRoom = uint32(max(0, limit-o.gate.ShiftedRunning()))
	}
	return l
}

// mayEject says whether one more server of the service may be ejected. It
// counts the own servers and those that other homes report.
func (h *homes) mayEject(c *configuration.Snapshot, service string) bool {
	ejected := map[string]bool{}
	for name, o := range h.all() {
		o.mu.Lock()
		ejected[name] = o.tracker.Ejected()
		o.mu.Unlock()
	}
	for _, m := range h.in.roster.Members() {
		if m.Listing.Name == h.in.Settings.Name || !m.Reachable || m.State.GetPhase() == roster.Starting {
			continue
		}
		for _, l := range m.State.GetServers() {
			ejected[l.Name] = ejected[l.Name] || l.Ejected
		}
	}
	servers, n := c.ServersOf(service), 0
	for _, v := range servers {
		if ejected[v.Name] {
			n++
		}
	}
	return n < health.MaxEjected(len(servers))
}

// drain waits until no exchange is in flight at this home.
func (h *homes) drain(ctx context.Context) {
	for ctx.Err() == nil && h.running.Load() > 0 {
		waiting.Pause(ctx, drainPollDelay)
	}
}
