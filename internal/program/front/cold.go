package front

import (
	"context"
	"net/http"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/probe"
	"tamarackrun/internal/state/registry"
	"tamarackrun/internal/transport/exchange"
)

// newProcessHeartbeats is the number of heartbeats of servers for which a process is new. One may
// pass until a server that has turned cold writes its record, and the record takes time to arrive.
const newProcessHeartbeats = 2

// coldLimit returns the number of requests that a server may get in a second from all
// instances while it is cold. limited is false if the service has no such limit.
func (f *Front) coldLimit(service string) (limit float64, limited bool) {
	c, t := f.snapshot.Load(), f.terms.Load()
	if c == nil || c.Services[service].ColdRate <= 0 {
		return 0, false
	}
	return c.Services[service].ColdRate*t.ColdOverage + t.ColdSlack, true
}

// admitCold reports whether a cold server may get another request.
func (f *Front) admitCold(now time.Time, server *registry.Server) bool {
	limit, limited := f.coldLimit(server.Service)
	if !limited {
		return f.snapshot.Load() != nil
	}
	var instances []string
	for _, m := range f.members.Members() {
		instances = append(instances, m.Name)
	}
	return f.coldLimiter.Admit(now, server.Name, limit, instances)
}

// newProber returns the prober of servers that may have turned cold unnoticed.
func (f *Front) newProber() *probe.Prober {
	return &probe.Prober{Stale: f.recordsMayBeStale, Servers: f.limitedServers, Exposed: f.exposed, Ask: f.askServer,
		MarkCold: f.balancer.MarkCold, Recorder: f.history}
}

// recordsMayBeStale reports whether servers may have turned cold without this instance's
// knowledge: the store can't be read, or the process is so new that the records that it has read
// may be from before. An older process has seen the evacuations and failed connections since.
func (f *Front) recordsMayBeStale(now time.Time) bool {
	return f.verifier.Stale(now) || now.Sub(f.started) < newProcessHeartbeats*f.terms.Load().ServerHeartbeat
}

// limitedServers returns the usable servers whose requests are limited while they are cold, without
// those that want no requests.
func (f *Front) limitedServers() []*registry.Server {
	var servers []*registry.Server
	now := time.Now()
	for _, service := range f.registry.Services() {
		if _, limited := f.coldLimit(service); !limited {
			continue
		}
		for _, server := range f.registry.ServersOf(service) {
			if !f.balancer.Barred(now, server) {
				servers = append(servers, server)
			}
		}
	}
	return servers
}

// exposed reports whether this instance has sent a server more requests after the given time
// than an even part of those that it may get in a second while it is cold.
func (f *Front) exposed(now time.Time, server *registry.Server, since time.Time) bool {
	limit, _ := f.coldLimit(server.Service)
	return float64(f.coldLimiter.SentSince(now, server.Name, since)) > limit/float64(max(1, len(f.members.Members())))
}

// healthPath returns the path of a service's health probes; empty if it has none.
func (f *Front) healthPath(service string) string {
	if c := f.snapshot.Load(); c != nil {
		return c.Services[service].HealthPath
	}
	return ""
}

// askServer asks a server by a health probe how long it stays cold.
func (f *Front) askServer(ctx context.Context, server *registry.Server) (coldFor time.Duration, ok bool) {
	defer f.recoverPanic("health probe", nil)
	path := f.healthPath(server.Service)
	if path == "" {
		return 0, false
	}
	result, fields := f.probe(ctx, server.Address, path)
	f.noteNotice(server, result.Fields)
	return fields.ColdFor, fields.OK && fields.Server == server.Name
}

// probe sends a health probe to an address. It returns the result, without a body, and what the answer
// says.
func (f *Front) probe(ctx context.Context, address, path string) (exchange.Result, tamarackrun.HealthFields) {
	result := f.backendClient.Do(ctx, address, exchange.Request{Method: http.MethodGet, Target: path, Host: address, Header: http.Header{},
		Idempotent: true, Probe: true})
	f.backendClient.Release(result)
	f.scope.Counter("health_probes").Inc(1)
	return result, f.HeaderCodec.DecodeHealth(result.Header)
}
