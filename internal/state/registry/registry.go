// Package registry holds what an instance believes of the backend servers.
package registry

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tamarackrun"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/state/sla"
)

// Server is one backend server as an instance knows it. It is immutable.
type Server struct {
	Name string
	tamarackrun.ServerRecord
	Region string
	// Revision is that of the record.
	Revision int64
	// ColdUntil is when the server stops being cold.
	ColdUntil time.Time
	// ReceivedAt is when the record arrived.
	ReceivedAt time.Time
}

// Cold says whether the server is cold.
func (s *Server) Cold(now time.Time) bool { return now.Before(s.ColdUntil) }

// view is what requests read.
type view struct {
	// services has the usable servers of each service, sorted by name.
	services map[string][]*Server
	// names and addresses are those of all usable servers.
	names, addresses map[string]bool
}

// Registry collects the records of servers and of evacuated failure domains.
type Registry struct {
	// These fields are set before the first Apply. ColdTime gives how long
	// servers of a service are cold.
	Recorder tamarackrun.Recorder
	Regions  map[string]string
	ColdTime func(service string) time.Duration
	// StoreStable says that the store is not away and was not until lately, so that
	// a record that vanishes is gone.
	StoreStable func(now time.Time) bool

	mu      sync.Mutex
	servers map[string]*Server
	// missing has the servers whose records vanished while the store was not
	// steady.
	missing   map[string]bool
	problems  map[string]string
	evacuated map[string]bool
	// trust is when a record that vanishes is gone at once again, after contact
	// with the store was lost.
	trust time.Time
	// coldDomains are failure domains that were evacuated; their servers may
	// be cold until the time.
	coldDomains map[string]time.Time
	view        atomic.Pointer[view]
}

// New returns an empty registry.
func New() *Registry {
	r := &Registry{servers: map[string]*Server{}, missing: map[string]bool{}, problems: map[string]string{},
		evacuated: map[string]bool{}, coldDomains: map[string]time.Time{}}
	r.view.Store(&view{})
	return r
}

// ServersOf returns the usable servers of a service, sorted by name. The slice
// is shared and must not be changed.
func (r *Registry) ServersOf(service string) []*Server { return r.view.Load().services[service] }

// Usable says whether the server may get requests.
func (r *Registry) Usable(name string) bool { return r.view.Load().names[name] }

// Addresses returns the addresses of all usable servers.
func (r *Registry) Addresses() map[string]bool { return r.view.Load().addresses }

// ApplyServers takes records of servers.
func (r *Registry) ApplyServers(now time.Time, page tamarackrun.Page, regained bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if regained {
		r.trust = now.Add(sla.LapsedRecordGrace)
	}
	listed := map[string]bool{}
	for _, record := range page.Records {
		listed[record.Name] = true
		r.apply(now, record)
	}
	if page.Full {
		for name := range r.servers {
			if !listed[name] {
				r.miss(now, name)
			}
		}
	}
	r.publish(now)
}

func (r *Registry) apply(now time.Time, record tamarackrun.Record) {
	old := r.servers[record.Name]
	if old != nil && record.Revision != 0 && record.Revision < old.Revision {
		// A list and a watch may overlap.
		return
	}
	if record.Problem != "" {
		if r.problems[record.Name] != record.Problem {
			r.problems[record.Name] = record.Problem
			r.Recorder.Record(event.RecordUnusable, "", "server", record.Name, "problem", record.Problem)
		}
		r.drop(record.Name, "unusable record")
		return
	}
	delete(r.problems, record.Name)
	if record.Removed {
		r.miss(now, record.Name)
		return
	}
	if record.Server == nil {
		return
	}
	delete(r.missing, record.Name)
	s := &Server{Name: record.Name, ServerRecord: *record.Server, Region: r.Regions[record.Server.FailureDomain],
		Revision: record.Revision, ReceivedAt: now, ColdUntil: now.Add(record.Server.ColdFor)}
	if until := r.coldDomains[s.FailureDomain]; until.After(s.ColdUntil) {
		s.ColdUntil = until
	}
	r.servers[record.Name] = s
	if old == nil || old.Draining != s.Draining || old.StartMillis != s.StartMillis || old.Address != s.Address || old.Service != s.Service {
		r.Recorder.Record(event.ServerKnown, "", "server", s.Name, "service", s.Service, "address", s.Address,
			"failureDomain", s.FailureDomain, "draining", yesNo(s.Draining), "coldFor", s.ColdFor.String())
	}
}

// miss notes that an entry vanished. After the store was away, a live server
// may still be about to write it again.
func (r *Registry) miss(now time.Time, name string) {
	if r.servers[name] == nil {
		return
	}
	if r.gone(now) {
		r.drop(name, "record removed")
		return
	}
	if !r.missing[name] {
		r.missing[name] = true
		r.Recorder.Record(event.ServerMissing, "", "server", name)
	}
}

// gone says whether a record that is missing now is gone for good.
func (r *Registry) gone(now time.Time) bool { return !now.Before(r.trust) && r.StoreStable(now) }

func (r *Registry) drop(name, reason string) {
	delete(r.missing, name)
	if r.servers[name] == nil {
		return
	}
	delete(r.servers, name)
	r.Recorder.Record(event.ServerGone, "", "server", name, "reason", reason)
}

// ApplyEvacuations takes records of failure domains that get nothing more.
func (r *Registry) ApplyEvacuations(now time.Time, page tamarackrun.Page) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := map[string]bool{}
	if !page.Full {
		for domain := range r.evacuated {
			next[domain] = true
		}
	}
	for _, record := range page.Records {
		if record.Removed {
			delete(next, record.Name)
		} else {
			next[record.Name] = true
		}
	}
	for domain := range next {
		if !r.evacuated[domain] {
			r.Recorder.Record(event.DomainEvacuated, "", "failureDomain", domain)
		}
	}
	for domain := range r.evacuated {
		if !next[domain] {
			r.Recorder.Record(event.DomainReturned, "", "failureDomain", domain)
			r.chill(now, domain)
		}
	}
	r.evacuated = next
	r.publish(now)
}

// chill treats the servers of a domain as cold, since they may have restarted
// or lost their caches during the evacuation.
func (r *Registry) chill(now time.Time, domain string) {
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
	r.coldDomains[domain] = now.Add(longest)
}

// Sweep drops servers whose entries stayed away.
func (r *Registry) Sweep(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.missing) == 0 || !r.gone(now) {
		return
	}
	for name := range r.missing {
		r.drop(name, "record missing after the store's return")
	}
	r.publish(now)
}

// publish replaces the view for requests.
func (r *Registry) publish(now time.Time) {
	for domain, until := range r.coldDomains {
		if now.After(until) {
			delete(r.coldDomains, domain)
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

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
