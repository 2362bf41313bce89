// Package roster holds what an instance knows of the other instances: the
// platform's list, which lags, and the results of heartbeats.
package roster

import (
	"sort"
	"sync"
	"time"

	"tamarackrun"
	"tamarackrun/internal/protocol/wire"
)

// Phases of an instance, as sent in heartbeats.
const (
	Starting uint32 = 1
	Ready    uint32 = 2
	Leaving  uint32 = 3
)

// UnreachableAfter is how long a peer may leave heartbeats unanswered before it
// counts as unreachable.
const UnreachableAfter = 2 * time.Second

// Member is one instance as seen from here.
type Member struct {
	Listing tamarackrun.Listing
	// State is nil until the first heartbeat reply.
	State *wire.PeerState
	// LastHeartbeat is the time at which the latest answered heartbeat was sent.
	LastHeartbeat time.Duration
	// Reachable says that a heartbeat was answered within SilenceLimit. It is
	// always true for the own instance.
	Reachable bool
}

// Serving says that the member may get new callers and new homes.
func (m Member) Serving() bool {
	return m.Reachable && !m.Listing.Leaving && m.State != nil && m.State.Phase == Ready
}

// Roster is safe for concurrent use.
type Roster struct {
	// Self is the name of the own instance.
	Self  string
	Clock tamarackrun.Clock

	mu      sync.RWMutex
	members map[string]Member
}

// New returns a roster that knows only the own instance.
func New(self tamarackrun.Listing, clock tamarackrun.Clock) *Roster {
	r := &Roster{Self: self.Name, Clock: clock, members: map[string]Member{}}
	r.members[self.Name] = Member{Listing: self}
	return r
}

// Update takes a new list from the platform. Rows without a peer address are
// backend servers and are left out. A reachable member that the list lacks is
// kept, since the list lags.
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
		if !listed[name] && !r.reachable(m) {
			delete(r.members, name)
		}
	}
}

// AddFromHeartbeat adds an instance that sent a heartbeat and that the platform's list did
// not show yet. During an outage of the platform an instance that starts has no
// other way to find its peers.
func (r *Roster) AddFromHeartbeat(state *wire.PeerState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.members[state.GetName()]; known || state.GetName() == "" || state.GetPeerAddress() == "" {
		return
	}
	r.members[state.Name] = Member{Listing: tamarackrun.Listing{Name: state.Name, FailureDomain: state.FailureDomain,
		CallerAddress: state.CallerAddress, PeerAddress: state.PeerAddress, ControlAddress: state.ControlAddress}}
}

// SetSelf publishes the own state.
func (r *Roster) SetSelf(state *wire.PeerState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m := r.members[r.Self]
	m.State = state
	r.members[r.Self] = m
}

// RecordHeartbeat records the reply to a heartbeat that was sent at the time. It says
// whether the member was unreachable before.
func (r *Roster) RecordHeartbeat(name string, state *wire.PeerState, sent time.Duration) (returned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[name]
	if !ok {
		return false
	}
	returned = !r.reachable(m)
	m.State, m.LastHeartbeat = state, sent
	r.members[name] = m
	return returned
}

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

// Member returns one member.
func (r *Roster) Member(name string) (Member, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	m, ok := r.members[name]
	m.Reachable = ok && r.reachable(m)
	return m, ok
}

// ServerLoad returns the newest load report of a backend server by its home, and the
// report's age.
func (r *Roster) ServerLoad(home, server string) (*wire.ServerLoad, time.Duration, bool) {
	m, ok := r.Member(home)
	if !ok || m.State == nil {
		return nil, 0, false
	}
	for _, l := range m.State.Servers {
		if l.Name == server {
			return l, r.Clock.Now() - m.LastHeartbeat, true
		}
	}
	return nil, 0, false
}
