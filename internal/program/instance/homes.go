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
	"tamarackrun/internal/transport/dialer"
	"tamarackrun/internal/transport/httpclient"
)

const (
	reconcileInterval    = time.Second
	healthTimeout        = 800 * time.Millisecond
	shutdownPollInterval = 20 * time.Millisecond
	// releaseDelay is two heartbeat intervals: the other instances hear of the new
	// home before the old one refuses requests. Without it, 381 of 13154 requests
	// were refused with notHome in a graceful shutdown, because retries ran out.
	releaseDelay = time.Second
)

// homeServers holds the backend servers whose home is this instance. The home
// of a server is the one instance that queues requests for it, limits them to
// its slots and sends them. homeServers implements tamarackrun.Dispatcher for
// its servers.
type homeServers struct {
	in           *Instance
	healthClient *http.Client
	// started is when the instance started.
	started time.Duration
	// inFlight counts the exchanges in flight, including those on servers whose
	// home has since moved to another instance.
	inFlight     atomic.Int64
	drainTargets atomic.Pointer[drain.Targets]

	mu sync.Mutex
	// servers holds the state of each server whose home is this instance.
	servers map[string]*homeServer
	// reporters holds, for each server, the other instance that last reported to
	// be its home.
	reporters map[string]string
	// listedLeaving holds the backend servers that the platform lists as leaving.
	listedLeaving map[string]bool
	// leavingRecorded holds the servers for which the event about a leaving server
	// was recorded.
	leavingRecorded map[string]bool
	// reportersTable is the table from which reporters was last updated.
	reportersTable *home.Table

	// wakeup holds a value when a peer's state or the platform's list may have
	// changed the placement.
	wakeup chan struct{}
	// table is replaced while tableMu is held.
	table   atomic.Pointer[home.Table]
	tableMu sync.Mutex
}

func newHomeServers(in *Instance) *homeServers {
	h := &homeServers{in: in, healthClient: newHealthClient(), started: in.clock.Now(),
		servers: map[string]*homeServer{}, reporters: map[string]string{}, listedLeaving: map[string]bool{},
		leavingRecorded: map[string]bool{}, wakeup: make(chan struct{}, 1)}
	h.drainTargets.Store(&drain.Targets{})
	return h
}

// newHealthClient returns a client that opens a connection for each health check. The
// answers name no request, so on a kept connection a second copy of an earlier one, which may
// come at any later time, would count as the next one.
func newHealthClient() *http.Client {
	return &http.Client{Timeout: healthTimeout, Transport: &httpclient.Transport{DialContext: dialer.New(healthTimeout).DialContext}}
}

// run updates the servers of this home and polls them until ctx ends.
func (h *homeServers) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c := h.in.snapshot.Load(); c != nil {
			h.reconcile(c)
			h.pollHealth(ctx)
		}
		waiting.Pause(ctx, reconcileInterval)
	}
}

// reconcile adds and releases servers after changes of the roster or the
// configuration. A server is released only after another instance reports to be
// its home, so that every server has a home at every moment.
func (h *homeServers) reconcile(c *configuration.Snapshot) {
	t, now, self := h.refreshTable(c), h.in.clock.Now(), h.in.Settings.Name
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.reportersTable != t {
		t.ForEachReported(self, func(server, by string) { h.reporters[server] = by })
		h.reportersTable = t
	}
	for _, name := range t.PlacedOn(self) {
		if h.servers[name] == nil {
			h.add(t.Configuration, name, now)
		}
	}
	for name, s := range h.servers {
		v, ok := t.Configuration.Servers[name]
		placedHere := ok && t.Place(v, h.in.roster.Member) == self
		if !ok || s.releaseDue(now, !placedHere && t.Reporter(name, h.in.roster.Member, self) != "") {
			h.release(name)
			continue
		}
		h.update(t, s, v, now)
	}
}

// add makes this instance the home of a server. The caller holds h.mu.
func (h *homeServers) add(c *configuration.Snapshot, name string, now time.Duration) {
	v := c.Servers[name]
	h.servers[name] = newHomeServer(v, home.Ownership{Gained: now, LongestRequest: longestTimeout(c, v.Service)}, h.in.clock)
	h.in.history.Record(event.HomeGained, "", "server", name, "before", h.reporters[name])
}

// update applies the configuration and the limits of the ownership to a server.
func (h *homeServers) update(t *home.Table, s *homeServer, v configuration.Server, now time.Duration) {
	s.mu.Lock()
	s.server = v
	gained := s.ownership.Gained
	s.mu.Unlock()
	reporter := h.reporters[v.Name]
	earlier, _ := h.in.roster.Member(reporter)
	s.setOwnership(t.AllHeard && reporter == "" && gained-h.started < home.MaxListLag, home.HandedOver(earlier, v.Name, gained))
	s.updateSlots(now)
}

// release stops being the home of a server. Waiting requests are refused, so
// that their entry instances try the new home; running ones finish.
func (h *homeServers) release(name string) {
	h.servers[name].gate.Close(tamarackrun.NotHome)
	delete(h.servers, name)
	h.in.history.Record(event.HomeLost, "", "server", name)
}

// longestTimeout returns the longest timeout of the routes of a service, or of all
// routes if service is "".
func longestTimeout(c *configuration.Snapshot, service string) time.Duration {
	var longest time.Duration
	for _, r := range c.Routes {
		if service == "" || r.Service == service {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}

// get returns the state of a server, or nil if this instance is not its home.
func (h *homeServers) get(name string) *homeServer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.servers[name]
}

func (h *homeServers) all() map[string]*homeServer {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make(map[string]*homeServer, len(h.servers))
	for name, s := range h.servers {
		all[name] = s
	}
	return all
}

// loads returns the load reports of all servers of this home, for heartbeats.
func (h *homeServers) loads() []*wire.ServerLoad {
	var loads []*wire.ServerLoad
	for name, s := range h.all() {
		loads = append(loads, h.load(name, s))
	}
	// Peers compare the names in order to detect changed homes.
	slices.SortFunc(loads, func(a, b *wire.ServerLoad) int { return cmp.Compare(a.Name, b.Name) })
	return loads
}

// load returns the load report of one server.
func (h *homeServers) load(name string, s *homeServer) *wire.ServerLoad {
	inFlight, queued, slots := s.gate.Load()
	l := &wire.ServerLoad{Name: name, InFlight: uint32(inFlight), Queued: uint32(queued), Slots: uint32(slots),
		Leaving: h.isLeaving(name, s)}
	now := h.in.clock.Now()
	s.mu.Lock()
	l.Ejected, l.Probe = s.tracker.Ejected(), s.tracker.ProbeDue(now)
	server := s.server
	s.mu.Unlock()
	if c := h.in.snapshot.Load(); c != nil {
		limit, _ := h.shiftLimit(c, server, s)
		l.ShiftRoom = uint32(max(0, limit-s.gate.ShiftedRunning()))
	}
	return l
}

// mayEject reports whether one more server of the service may be ejected. It
// counts ejected servers of this home and those that other homes report.
func (h *homeServers) mayEject(c *configuration.Snapshot, service string) bool {
	ejected := map[string]bool{}
	for name, s := range h.all() {
		s.mu.Lock()
		ejected[name] = s.tracker.Ejected()
		s.mu.Unlock()
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

// awaitInFlight waits until no exchange is in flight at this home.
func (h *homeServers) awaitInFlight(ctx context.Context) {
	for ctx.Err() == nil && h.inFlight.Load() > 0 {
		waiting.Pause(ctx, shutdownPollInterval)
	}
}
