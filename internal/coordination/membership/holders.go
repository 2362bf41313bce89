package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackrun/internal/coordination/rendezvous"
)

// mayHold reports whether a member may hold limits: it is alive and has a configuration.
func mayHold(member *Member) bool { return member.Alive && member.Ready && !member.Leaving }

// Holder returns the instance that holds the limits of an organisation, or what else the key names, in the
// region, or in the whole fleet if the region is empty: the one with the highest rendezvous score. self is
// true if that is this instance. ok is false if the region has no instance that may hold limits.
func (m *Membership) Holder(key, region string) (address netip.AddrPort, self, ok bool) {
	members := m.Members()
	var holder *Member
	best := uint64(0)
	for i := range members {
		member := &members[i]
		if region != "" && member.Region != region || !mayHold(member) {
			continue
		}
		if score := rendezvous.Score(key, member.Name); holder == nil || score > best {
			holder, best = member, score
		}
	}
	if holder == nil {
		return netip.AddrPort{}, false, false
	}
	address, err := netip.ParseAddrPort(holder.ReportAddress)
	return address, holder.Name == m.Name, err == nil
}

// OtherRegion returns the name of a random other region with live instances, or "".
func (m *Membership) OtherRegion() string {
	var others []string
	seen := map[string]bool{m.OwnRecord.Region: true}
	for _, member := range m.Members() {
		if !seen[member.Region] && member.Alive {
			seen[member.Region] = true
			others = append(others, member.Region)
		}
	}
	if len(others) == 0 {
		return ""
	}
	return others[rand.IntN(len(others))]
}

// HoldersChanged returns when the region's instances that may hold limits changed last.
func (m *Membership) HoldersChanged() time.Time { return *m.holdersChanged.Load() }

// noteHolders records a change of the region's instances that may hold limits. The caller
// holds m.mu.
func (m *Membership) noteHolders(members []Member) {
	candidates := uint64(0)
	for i := range members {
		if members[i].Region == m.OwnRecord.Region && mayHold(&members[i]) {
			candidates ^= xxhash.Sum64String(members[i].Name)
		}
	}
	if candidates != m.holderCandidates {
		m.holderCandidates = candidates
		now := time.Now()
		m.holdersChanged.Store(&now)
	}
}
