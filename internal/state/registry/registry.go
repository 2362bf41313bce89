// Package registry holds the backend servers that an instance knows from their
// records in the platform's store, and decides which of them may get requests.
package registry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackrun"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/state/sla"
)

// Server is one backend server as an instance knows it. It is immutable.
type Server struct {
	Name string
	tamarackrun.ServerRecord
	Region string
	// Hash is the xxHash of the name, for rendezvous hashing.
	Hash uint64
	// Position is the store's position of the record.
	Position tamarackrun.Position
	// ColdUntil is the time until which the server gets fewer requests because
	// it started recently or its failure domain was evacuated.
	ColdUntil time.Time
	// ReceivedAt is the time at which the record was received.
	ReceivedAt time.Time
}

// Cold reports whether the server is cold at the given time. A cold server gets fewer
// requests.
func (s *Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }

// view is the immutable set of usable servers, which requests read without a lock.
type view struct {
	// services holds the usable servers of each service, sorted by name.
	services map[string][]*Server
	// names and addresses hold the names and addresses of all usable servers.
	names, addresses map[string]bool
}

// goneMemory is how long a dropped server is remembered. A store that comes back from a copy is
// seconds behind, and the record of a dead server lapses within three heartbeats.
const goneMemory = time.Minute

// goneServer identifies the last record of a server that was dropped.
type goneServer struct {
	startMillis, sequence int64
	era                   int64
	draining              bool
	until                 time.Time
}

// Registry collects the records of servers and of evacuated failure domains.
type Registry struct {
	// The exported fields are set before the first call of ApplyServers or
	// ApplyEvacuations.
	Recorder tamarackrun.Recorder
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// ColdTime returns how long the servers of a service are cold.
	ColdTime func(service string) time.Duration
	// StoreStable reports whether the store is reachable and has been for long
	// enough that a removed record means that the server is gone.
	StoreStable func(now time.Time) bool

	mu      sync.Mutex
	servers map[string]*Server
	// restoredAt is the position of the first page of the latest era of the store. Earlier
	// records of that era may be from the copy.
	restoredAt tamarackrun.Position
	// missing holds the servers whose records were removed while a removal was not
	// final.
	missing map[string]bool
	// problems holds the latest problem of each unusable record.
	problems map[string]string
	// gone holds the servers that were dropped, for goneMemory.
	gone map[string]goneServer
	// evacuated holds the evacuated failure domains, and recorded those that have a record. They
	// differ until evacuationsFinalFrom after the store has come back from a copy, in which the
	// record of an evacuation may be missing. evacuationsAt is the position of the latest page.
	evacuated, recorded  map[string]bool
	evacuationsAt        tamarackrun.Position
	evacuationsFinalFrom time.Time
	// removalsFinalFrom is the time from which removals of records are final
	// again after contact with the store was lost.
	removalsFinalFrom time.Time
	// coldDomainsUntil maps each failure domain whose evacuation ended recently to
	// the time until which its servers may be cold.
	coldDomainsUntil map[string]time.Time
	view             atomic.Pointer[view]
}

// New returns an empty registry.
func New() *Registry {
	r := &Registry{servers: map[string]*Server{}, missing: map[string]bool{}, problems: map[string]string{},
		gone: map[string]goneServer{}, evacuated: map[string]bool{}, recorded: map[string]bool{}, coldDomainsUntil: map[string]time.Time{}}
	r.view.Store(&view{})
	return r
}

// ServersOf returns the usable servers of a service, sorted by name. The slice
// is shared and must not be changed.
func (r *Registry) ServersOf(service string) []*Server { return r.view.Load().services[service] }

// Services returns the names of the services that have usable servers.
func (r *Registry) Services() []string { return slices.Collect(maps.Keys(r.view.Load().services)) }

// Servers returns the usable servers of all services, in any order.
func (r *Registry) Servers() []*Server {
	var all []*Server
	for _, servers := range r.view.Load().services {
		all = append(all, servers...)
	}
	return all
}

// Usable reports whether the server may get requests.
func (r *Registry) Usable(name string) bool { return r.view.Load().names[name] }

// Replaced reports whether the process of a server, as it was known before, has ended: another one has its
// name or its address, or its record has lapsed. It is false for a server that was to leave, which ends
// without a fault.
func (r *Registry) Replaced(server *Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g, ok := r.gone[server.Name]; ok && r.servers[server.Name] == nil {
		return !g.draining
	}
	for _, s := range r.servers {
		if s.Name == server.Name && s.StartMillis > server.StartMillis ||
			s.Name != server.Name && s.Address == server.Address && s.ReceivedAt.After(server.ReceivedAt) {
			return true
		}
	}
	return false
}

// Addresses returns the addresses of all usable servers. The map is shared and must
// not be changed.
func (r *Registry) Addresses() map[string]bool { return r.view.Load().addresses }

// ApplyServers applies a page of server records. reconnected is true for the first
// page after contact with the store was lost.
func (r *Registry) ApplyServers(now time.Time, page tamarackrun.Page, reconnected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reconnected {
		r.removalsFinalFrom = now.Add(sla.LapsedRecordGrace)
	}
	if page.Position.Era > r.restoredAt.Era {
		r.restoredAt = page.Position
	}
	listed := map[string]bool{}
	for _, record := range page.Records {
		listed[record.Name] = true
		r.apply(now, record)
	}
	if page.Full {
		for name := range r.servers {
			if !listed[name] {
				r.handleRemoval(now, name)
			}
		}
	}
	r.publish(now)
}

// apply applies the record of one server.
func (r *Registry) apply(now time.Time, record tamarackrun.Record) {
	old := r.servers[record.Name]
	if old != nil && record.Position.Revision != 0 && record.Position.Before(old.Position) {
		// The store's list and watch overlap, so an older position may follow.
		return
	}
	if old != nil && record.Position.Revision != 0 && record.Position == old.Position && !record.Removed {
		// A list that is read again has unchanged records, whose time to warm up goes on.
		delete(r.missing, record.Name)
		return
	}
	if r.isFromCopy(record, old) {
		return
	}
	if record.Problem != "" {
		if r.problems[record.Name] != record.Problem {
			r.problems[record.Name] = record.Problem
			r.Recorder.Record(event.RecordUnusable, "", "server", record.Name, "problem", record.Problem)
		}
		r.drop(now, record.Name, "unusable record")
		return
	}
	delete(r.problems, record.Name)
	if record.Removed {
		r.handleRemoval(now, record.Name)
		return
	}
	if record.Server == nil {
		return
	}
	delete(r.missing, record.Name)
	s := &Server{Name: record.Name, ServerRecord: *record.Server, Region: r.Regions[record.Server.FailureDomain],
		Hash: xxhash.Sum64String(record.Name), Position: record.Position, ReceivedAt: now, ColdUntil: now.Add(record.Server.ColdFor)}
	if until := r.coldDomainsUntil[s.FailureDomain]; until.After(s.ColdUntil) {
		s.ColdUntil = until
	}
	r.servers[record.Name] = s
	turnedCold := old != nil && !old.Cold(now) && s.Cold(now)
	if old == nil || turnedCold || old.Draining != s.Draining || old.StartMillis != s.StartMillis || old.Address != s.Address || old.Service != s.Service {
		r.Recorder.Record(event.ServerKnown, "", "server", s.Name, "service", s.Service, "address", s.Address,
			"failureDomain", s.FailureDomain, "draining", yesNo(s.Draining), "coldFor", s.ColdFor.String())
	}
}

// isFromCopy reports whether the record is an earlier one of a server's process, or one of an earlier
// process, than one that was seen in an earlier era of the store. The store has come back from a copy
// that is older. A record that was written since is none, whatever the server's clock says.
func (r *Registry) isFromCopy(record tamarackrun.Record, old *Server) bool {
	if record.Server == nil || record.Server.StartMillis == 0 {
		return false
	}
	start := record.Server.StartMillis
	copied := !r.restoredAt.Before(record.Position)
	if old != nil {
		return old.Position.Era < record.Position.Era &&
			(start == old.StartMillis && record.Server.Sequence < old.Sequence || start < old.StartMillis && copied)
	}
	g, ok := r.gone[record.Name]
	return ok && g.era < record.Position.Era &&
		(start == g.startMillis && record.Server.Sequence <= g.sequence || start < g.startMillis && copied)
}

// handleRemoval drops a server whose record was removed. If the removal is not
// final, it only marks the server as missing, since records lapse during an outage
// of the store and a live server writes its record again afterwards.
func (r *Registry) handleRemoval(now time.Time, name string) {
	if r.servers[name] == nil {
		return
	}
	if r.removalsFinal(now) {
		r.drop(now, name, "record removed")
		return
	}
	if !r.missing[name] {
		r.missing[name] = true
		r.Recorder.Record(event.ServerMissing, "", "server", name)
	}
}

// removalsFinal reports whether a server with a missing record must be dropped.
func (r *Registry) removalsFinal(now time.Time) bool {
	return !now.Before(r.removalsFinalFrom) && r.StoreStable(now)
}

// drop removes a server and records the reason.
func (r *Registry) drop(now time.Time, name, reason string) {
	delete(r.missing, name)
	s := r.servers[name]
	if s == nil {
		return
	}
	delete(r.servers, name)
	r.gone[name] = goneServer{startMillis: s.StartMillis, sequence: s.Sequence, era: s.Position.Era, draining: s.Draining, until: now.Add(goneMemory)}
	r.Recorder.Record(event.ServerGone, "", "server", name, "reason", reason)
}

// ApplyEvacuations applies a page of evacuation records. The servers of an
// evacuated failure domain get no requests. It ignores a page that is older than the latest one.
func (r *Registry) ApplyEvacuations(now time.Time, page tamarackrun.Page) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if page.Position.Before(r.evacuationsAt) {
		return
	}
	if r.evacuationsAt != (tamarackrun.Position{}) && page.Position.Era > r.evacuationsAt.Era {
		r.evacuationsFinalFrom = now.Add(sla.LapsedRecordGrace)
	}
	r.evacuationsAt = page.Position
	if page.Full {
		r.recorded = map[string]bool{}
	}
	for _, record := range page.Records {
		if record.Removed {
			delete(r.recorded, record.Name)
			r.endEvacuation(now, record.Name)
		} else {
			r.recorded[record.Name] = true
		}
	}
	r.updateEvacuated(now)
	r.publish(now)
}

// updateEvacuated begins and ends evacuations according to the records.
func (r *Registry) updateEvacuated(now time.Time) {
	for domain := range r.recorded {
		if !r.evacuated[domain] {
			r.evacuated[domain] = true
			r.Recorder.Record(event.DomainEvacuated, "", "failureDomain", domain)
		}
	}
	if now.Before(r.evacuationsFinalFrom) {
		return
	}
	for domain := range r.evacuated {
		if !r.recorded[domain] {
			r.endEvacuation(now, domain)
		}
	}
}

// endEvacuation ends the evacuation of a failure domain, if it is evacuated.
func (r *Registry) endEvacuation(now time.Time, domain string) {
	if !r.evacuated[domain] {
		return
	}
	delete(r.evacuated, domain)
	r.Recorder.Record(event.DomainReturned, "", "failureDomain", domain)
	r.markDomainCold(now, domain)
}

// markDomainCold marks the servers of a failure domain as cold after its
// evacuation, during which they may have restarted or lost their caches.
func (r *Registry) markDomainCold(now time.Time, domain string) {
	var longest time.Duration
	for name, s := range r.servers {
		if s.FailureDomain != domain {
			continue
		}
		cold := r.ColdTime(s.Service)
		longest = max(longest, cold)
		if until := now.Add(cold); until.After(s.ColdUntil) {
			changed := *s
			changed.ColdUntil = until
			r.servers[name] = &changed
		}
	}
	r.coldDomainsUntil[domain] = now.Add(longest)
}

// Sweep drops the servers whose records are still missing when removals become final, and ends the
// evacuations whose records a restored store does not have.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, g := range r.gone {
		if now.After(g.until) {
			delete(r.gone, name)
		}
	}
	evacuations := len(r.evacuated)
	r.updateEvacuated(now)
	dropMissing := len(r.missing) > 0 && r.removalsFinal(now)
	if dropMissing {
		for name := range r.missing {
			r.drop(now, name, "record missing after the store's return")
		}
	}
	if dropMissing || len(r.evacuated) != evacuations {
		r.publish(now)
	}
}

// publish replaces the view that requests read.
func (r *Registry) publish(now time.Time) {
	for domain, until := range r.coldDomainsUntil {
		if now.After(until) {
			delete(r.coldDomainsUntil, domain)
		}
	}
	v := &view{services: map[string][]*Server{}, names: map[string]bool{}, addresses: map[string]bool{}}
	for _, s := range r.servers {
		if s.Draining || r.evacuated[s.FailureDomain] {
			continue
		}
		v.services[s.Service] = append(v.services[s.Service], s)
		v.names[s.Name] = true
		v.addresses[s.Address] = true
	}
	for _, list := range v.services {
		slices.SortFunc(list, func(a, b *Server) int { return cmp.Compare(a.Name, b.Name) })
	}
	r.view.Store(v)
}

// yesNo returns the form of a flag in event fields.
func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
