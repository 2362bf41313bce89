package instance

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/health"
	"tamarackrun/internal/coordination/home"
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
	orders  atomic.Pointer[drain.Orders]

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
}

func newHomes(in *Instance) *homes {
	h := &homes{in: in, health: &http.Client{Timeout: healthTimeout}, began: in.clock.Now(), owned: map[string]*owned{},
		reporters: map[string]string{}, listedLeaving: map[string]bool{}, announced: map[string]bool{}}
	h.orders.Store(&drain.Orders{})
	return h
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
// configuration. A home is given up only when another instance reports the
// server, so that there is one at every moment.
func (h *homes) place(c *configuration.Snapshot) {
	members, now, self := h.in.roster.Members(), h.in.clock.Now(), h.in.Settings.Name
	reported, allHeard := home.Reported(members, self)
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, by := range reported {
		h.reporters[name] = by
	}
	for name, v := range c.Servers {
		o, have := h.owned[name]
		placed := home.Of(c, v, members) == self
		switch {
		case !have && placed:
			o = newOwned(v, home.Tenure{Gained: now, Drain: longestTimeout(c, v.Service)}, h.in.clock)
			h.owned[name] = o
			h.in.history.Record(event.HomeGained, "", "server", name, "before", h.reporters[name])
		case !have:
			continue
		case o.taken(now, !placed && reported[name] != ""):
			h.release(name)
			continue
		}
		o.mu.Lock()
		o.server = v
		gained := o.tenure.Gained
		o.mu.Unlock()
		older := h.reporters[name]
		o.setTenure(allHeard && older == "" && gained-h.began < home.ListLag, home.GaveUp(members, older, name, gained))
		o.limitSlots(now)
	}
	for name := range h.owned {
		if _, ok := c.Servers[name]; !ok {
			h.release(name)
		}
	}
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
		l.ShiftRoom = uint32(max(0, limit-o.gate.Shifted()))
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
		pause(ctx, drainPollDelay)
	}
}
