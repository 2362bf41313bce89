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

// orderInterval is how often the operators' drain orders are read. A leaving
// server must get no new work after a few seconds.
const orderInterval = 2 * time.Second

// handOverLimit bounds the wait for the new homes in a planned stop.
const handOverLimit = 5 * time.Second

// isLeaving says whether any signal says that the server is leaving.
func (h *homes) isLeaving(name string, o *owned) bool {
	if o.isLeaving(h.in.clock.Now()) {
		return true
	}
	h.mu.Lock()
	listed := h.listedLeaving[name]
	h.mu.Unlock()
	return listed || h.ordered(o)
}

// ordered says whether an operator's order concerns the server.
func (h *homes) ordered(o *owned) bool {
	o.mu.Lock()
	v := o.server
	o.mu.Unlock()
	orders := h.orders.Load()
	return orders.Leaving(drain.Server, v.Name) || h.in.ordered(orders, v.Domain)
}

// ordered says whether an operator's order concerns the failure domain.
func (in *Instance) ordered(orders *drain.Targets, domain string) bool {
	region := ""
	if c := in.snapshot.Load(); c != nil {
		region = c.RegionOf(domain)
	}
	return orders.Leaving(drain.Domain, domain) || region != "" && orders.Leaving(drain.Region, region)
}

// pollOrders reads the operators' drain orders. During an outage of the store
// the latest ones stay in force. leave is called when this instance is to leave.
func (in *Instance) pollOrders(ctx context.Context, leave func()) {
	for ctx.Err() == nil {
		if objects, err := in.store.List(ctx, drain.Prefix); err == nil {
			orders := drain.Read(objects)
			in.homes.orders.Store(&orders)
			if orders.Leaving(drain.Instance, in.Settings.Name) || in.ordered(&orders, in.Settings.FailureDomain) {
				leave()
			}
		}
		waiting.Pause(ctx, orderInterval)
	}
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
	if o := h.get(server); o != nil && header.Get(backend.DrainingHeader) == "true" && o.setHeader(h.in.clock.Now()) {
		h.in.history.Record(event.ServerLeaving, "", "server", server, "signal", "header")
	}
}

// pollHealth asks the owned servers whether they are leaving, and records the
// servers that leave by a signal from outside.
func (h *homes) pollHealth(ctx context.Context) {
	var group sync.WaitGroup
	for name, o := range h.all() {
		group.Go(func() { h.pollServer(ctx, name, o) })
		leaving := h.isLeaving(name, o)
		h.mu.Lock()
		news := leaving && !h.announced[name]
		h.announced[name] = leaving
		h.mu.Unlock()
		if news && !o.isLeaving(h.in.clock.Now()) {
			h.in.history.Record(event.ServerLeaving, "", "server", name, "signal", "listOrOrder")
		}
	}
	group.Wait()
}

func (h *homes) pollServer(ctx context.Context, name string, o *owned) {
	o.mu.Lock()
	address := o.server.Address
	o.mu.Unlock()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/health", nil)
	if err != nil {
		return
	}
	response, err := h.health.Do(request)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			o.down()
		}
		return
	}
	defer func() { _ = response.Body.Close() }()
	var report struct {
		State string `json:"state"`
	}
	if json.NewDecoder(response.Body).Decode(&report) == nil && o.setHealth(report.State == "draining") {
		h.in.history.Record(event.ServerLeaving, "", "server", name, "signal", "health")
	}
}

// handOver waits until other instances took all homes over, if there are any.
func (h *homes) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverLimit)
	defer cancel()
	for c := h.in.snapshot.Load(); c != nil && ctx.Err() == nil && h.othersServe(); waiting.Pause(ctx, drainPollDelay) {
		h.place(c)
		if len(h.all()) == 0 {
			return
		}
	}
}

func (h *homes) othersServe() bool {
	for _, m := range h.in.roster.Members() {
		if m.Listing.Name != h.in.Settings.Name && m.Serving() {
			return true
		}
	}
	return false
}
