// Package probe asks backend servers whether they are cold, while an instance can't learn it
// from their records: it has lost the platform's store and every instance that reaches it, or
// has just started.
package probe

import (
	"context"
	"sync"
	"time"

	"tamarackrun"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/state/registry"
)

const (
	// pollInterval is how often the prober looks for servers that are due.
	pollInterval = 50 * time.Millisecond
	// probeTimeout bounds a probe. A server with a queue answers it as late as a request.
	probeTimeout = 500 * time.Millisecond
)

// Prober probes servers. Its exported fields are set before Run.
type Prober struct {
	// Stale reports whether the records of servers may be out of date.
	Stale func(now time.Time) bool
	// Servers returns the servers that may be probed.
	Servers func() []*registry.Server
	// Exposed reports whether the requests that this instance has sent to a server after the
	// given time would be too many if it were cold.
	Exposed func(now time.Time, server *registry.Server, since time.Time) bool
	// Ask sends a health probe and returns how long the server stays cold. ok is false if
	// the server did not say.
	Ask func(ctx context.Context, server *registry.Server) (coldFor time.Duration, ok bool)
	// MarkCold is called with the time until which a server is cold.
	MarkCold func(server *registry.Server, until time.Time)
	Recorder tamarackrun.Recorder

	mu sync.Mutex
	// probedAt holds when the latest probe of each server began, while the records are stale,
	// and running is true for the servers whose probe has not ended.
	probedAt map[string]time.Time
	running  map[string]bool
}

// Run probes servers until the context ends.
func (p *Prober) Run(ctx context.Context) {
	p.running = map[string]bool{}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		for _, server := range p.due(now) {
			go p.probe(ctx, server)
		}
	}
}

// due returns the servers that must be probed now and notes that they are. A server is due
// again once it has got too many requests since its latest probe.
func (p *Prober) due(now time.Time) []*registry.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.Stale(now) {
		p.probedAt = nil
		return nil
	}
	if p.probedAt == nil {
		p.probedAt = map[string]time.Time{}
	}
	var due []*registry.Server
	for _, server := range p.Servers() {
		if p.running[server.Name] || !p.Exposed(now, server, p.probedAt[server.Name]) {
			continue
		}
		p.probedAt[server.Name], p.running[server.Name] = now, true
		due = append(due, server)
	}
	return due
}

// probe asks one server.
func (p *Prober) probe(ctx context.Context, server *registry.Server) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	coldFor, ok := p.Ask(ctx, server)
	p.mu.Lock()
	delete(p.running, server.Name)
	p.mu.Unlock()
	if !ok || coldFor <= 0 {
		// A server that does not answer shows in the outcomes of requests.
		return
	}
	p.Recorder.Record(event.ServerCold, "", "server", server.Name, "coldFor", coldFor.String())
	p.MarkCold(server, time.Now().Add(coldFor))
}
