package instance

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/protocol/drain"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/transport/backend"
)

// drainPollInterval is how often the operators' drain requests are read. A
// leaving server must get no new work after a few seconds.
const drainPollInterval = 2 * time.Second

// handoverLimit bounds the wait for the new homes in a graceful shutdown.
const handoverLimit = 5 * time.Second

// isLeaving reports whether the server is leaving according to itself, the
// platform's list or an operator.
func (h *homeServers) isLeaving(name string, s *homeServer) bool {
	if s.isLeaving(h.in.clock.Now()) {
		return true
	}
	h.mu.Lock()
	listed := h.listedLeaving[name]
	h.mu.Unlock()
	return listed || h.drainRequested(s)
}

// drainRequested reports whether an operator asked to drain the server, its
// failure domain or its region.
func (h *homeServers) drainRequested(s *homeServer) bool {
	s.mu.Lock()
	v := s.server
	s.mu.Unlock()
	targets := h.drainTargets.Load()
	return targets.Leaving(drain.Server, v.Name) || h.in.drainRequested(targets, v.Domain)
}

// drainRequested reports whether an operator asked to drain the failure domain
// or its region.
func (in *Instance) drainRequested(targets *drain.Targets, domain string) bool {
	region := ""
	if c := in.snapshot.Load(); c != nil {
		region = c.RegionOf(domain)
	}
	return targets.Leaving(drain.Domain, domain) || region != "" && targets.Leaving(drain.Region, region)
}

// pollDrainRequests reads the operators' drain requests. While the store is
// unavailable, the latest ones stay in force. leave is called when this
// instance is to leave.
func (in *Instance) pollDrainRequests(ctx context.Context, leave func()) {
	for ctx.Err() == nil {
		if objects, err := in.store.List(ctx, drain.Prefix); err == nil {
			targets := drain.Read(objects)
			in.homeServers.drainTargets.Store(&targets)
			if targets.Leaving(drain.Instance, in.Settings.Name) || in.drainRequested(&targets, in.Settings.FailureDomain) {
				leave()
			}
		}
		waiting.Pause(ctx, drainPollInterval)
	}
}

// setPlatformList stores which servers the platform lists as leaving.
func (h *homeServers) setPlatformList(list []tamarackrun.Listing) {
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

// observeAnswer marks a server as leaving if the header of an answer says so.
func (h *homeServers) observeAnswer(server string, header http.Header) {
	if s := h.get(server); s != nil && header.Get(backend.DrainingHeader) == "true" && s.setLeavingByHeader(h.in.clock.Now()) {
		h.in.history.Record(event.ServerLeaving, "", "server", server, "signal", "header")
	}
}

// pollHealth asks the servers of this home whether they are leaving, and
// records the servers that are leaving according to the platform's list or an
// operator.
func (h *homeServers) pollHealth(ctx context.Context) {
	var group sync.WaitGroup
	for name, s := range h.all() {
		group.Go(func() { h.pollServer(ctx, name, s) })
		leaving := h.isLeaving(name, s)
		h.mu.Lock()
		newlyLeaving := leaving && !h.leavingRecorded[name]
		h.leavingRecorded[name] = leaving
		h.mu.Unlock()
		if newlyLeaving && !s.isLeaving(h.in.clock.Now()) {
			h.in.history.Record(event.ServerLeaving, "", "server", name, "signal", "listOrOrder")
		}
	}
	group.Wait()
}

// pollServer asks the health endpoint of one server whether it is leaving.
func (h *homeServers) pollServer(ctx context.Context, name string, s *homeServer) {
	s.mu.Lock()
	address := s.server.Address
	s.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", nil)
	if err != nil {
		return
	}
	response, err := h.healthClient.Do(request)
	if err != nil {
		// A dial that times out may have met a busy server that has not restarted.
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" && !op.Timeout() {
			s.resetLeavingHeader()
		}
		return
	}
	defer func() { _ = response.Body.Close() }()
	var report struct {
		State string `json:"state"`
	}
	if json.NewDecoder(response.Body).Decode(&report) == nil && s.setLeavingByHealth(report.State == "draining") {
		h.in.history.Record(event.ServerLeaving, "", "server", name, "signal", "health")
	}
}

// awaitHandover waits until other instances are the homes of all servers. It
// returns at once if no other instance serves.
func (h *homeServers) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverLimit)
	defer cancel()
	for c := h.in.snapshot.Load(); c != nil && ctx.Err() == nil && h.othersServe(); waiting.Pause(ctx, shutdownPollInterval) {
		h.reconcile(c)
		if len(h.all()) == 0 {
			return
		}
	}
}

// othersServe reports whether another instance of the fleet serves.
func (h *homeServers) othersServe() bool {
	for _, m := range h.in.roster.Members() {
		if m.Listing.Name != h.in.Settings.Name && m.Serving() {
			return true
		}
	}
	return false
}
