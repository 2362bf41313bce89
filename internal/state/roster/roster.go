// Package roster holds the instances of the fleet as one instance knows them, from
// the platform's list, which lags behind, and from the results of heartbeats.
package roster

import (
	"sort"
	"sync"
	"time"

	"tamarackrun"
	"tamarackrun/internal/protocol/wire"
)

// Phases of an instance, as sent in the field phase of heartbeats.
const (
	Starting uint32 = 1
	Ready    uint32 = 2
	Leaving  uint32 = 3
)

// UnreachableAfter is how long ago the last answered heartbeat may have been sent
// before a peer counts as unreachable.
const UnreachableAfter = 2 * time.Second

// Member holds what this instance knows of one instance, which may be itself.
type Member struct {
	// Listing holds the instance's name, failure domain and addresses, from the
	// platform's list or from a heartbeat.
	Listing tamarackrun.Listing
	// State is nil until the first heartbeat reply.
	State *wire.PeerState
	// LastHeartbeat is the time, on the local clock, at which the latest answered
	// heartbeat was sent.
	LastHeartbeat time.Duration
	// added is when a heartbeat added the member; 0 if the platform's list did.
	added time.Duration
	// Reachable is true if LastHeartbeat is at most UnreachableAfter ago. It is
	// always true for this instance itself.
	Reachable bool
}

// Serving reports whether the member may get new callers and become the home of
// backend servers.
func (m Member) Serving() bool {
	return m.Reachable && !m.Listing.Leaving && m.State != nil && m.State.Phase == Ready
}

// Roster is the set of known instances. It is safe for concurrent use.
type Roster struct {
	// Self is the name of this instance.
	Self  string
	Clock tamarackrun.Clock

	mu      sync.RWMutex
	members map[string]Member
}

// New returns a roster with only this instance.
func New(self tamarackrun.Listing, clock tamarackrun.Clock) *Roster {
	r := &Roster{Self: self.Name, Clock: clock, members: map[string]Member{}}
	r.members[self.Name] = Member{Listing: self}
	return r
}

// Update applies a new list from the platform. Entries without a peer address are
// backend servers and are skipped. A reachable member that is missing from the list
// is kept, since the list lags behind, and so is one that a heartbeat has added so recently that
// it may not have answered this instance yet.
func (r *Roster) Update(list []tamarackrun.Listing) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := map[string]bool{r.Self: true}
	for _, l := range list {
		if l.PeerAddress == "" {
			continue
		}
		listed[l.Name] = true
		m := r.members[l.Name]
		m.Listing = l
		r.members[l.Name] = m
	}
	for name, m := range r.members {
		isNew := m.added != 0 && r.Clock.Now()-m.added <= UnreachableAfter
		if !listed[name] && !isNew && !r.reachable(m) {
			delete(r.members, name)
		}
	}
}

// AddFromHeartbeat adds the sender of a heartbeat if it is not known from the
// platform's list yet. An instance that starts during an outage of the platform
// cannot read the list and has no other way to find its peers.
func (r *Roster) AddFromHeartbeat(state *wire.PeerState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.members[state.GetName()]; known || state.GetName() == "" || state.GetPeerAddress() == "" {
		return
	}
	r.members[state.Name] = Member{added: r.Clock.Now(), Listing: tamarackrun.Listing{Name: state.Name, FailureDomain: state.FailureDomain,
		CallerAddress: state.CallerAddress, PeerAddress: state.PeerAddress, ControlAddress: state.ControlAddress}}
}

// SetSelf sets the state of this instance.
func (r *Roster) SetSelf(state *wire.PeerState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[r.Self]
	m.State = state
	r.members[r.Self] = m
}

// RecordHeartbeat records the reply to a heartbeat that was sent at the given time.
// It reports whether a known member was unreachable before.
func (r *Roster) RecordHeartbeat(name string, state *wire.PeerState, sent time.Duration) (wasUnreachable bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[name]
	if !ok {
		return false
	}
	wasUnreachable = !r.reachable(m)
	m.State, m.LastHeartbeat = state, sent
	r.members[name] = m
	return wasUnreachable
}

// reachable reports whether a member counts as reachable now.
func (r *Roster) reachable(m Member) bool {
	return m.Listing.Name == r.Self || m.State != nil && r.Clock.Now()-m.LastHeartbeat <= UnreachableAfter
}

// Members returns all members sorted by name.
func (r *Roster) Members() []Member {
	r.mu.RLock()
	members := make([]Member, 0, len(r.members))
	for _, m := range r.members {
		m.Reachable = r.reachable(m)
		members = append(members, m)
	}
	r.mu.RUnlock()
	sort.Slice(members, func(i, j int) bool { return members[i].Listing.Name < members[j].Listing.Name })
	return members
}

// Member returns the member with the name, if there is one.
func (r *Roster) Member(name string) (Member, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	m, ok := r.members[name]
	m.Reachable = ok && r.reachable(m)
	return m, ok
}

// ServerLoad returns the load of a backend server from the latest heartbeat reply of
// its home, and the age of the reply.
func (r *Roster) ServerLoad(home, server string) (*wire.ServerLoad, time.Duration, bool) {
	m, ok := r.Member(home)
	if !ok || m.State == nil {
		return nil, 0, false
	}
	for _, load := range m.State.Servers {
		if load.Name == server {
			return load, r.Clock.Now() - m.LastHeartbeat, true
		}
	}
	return nil, 0, false
}
