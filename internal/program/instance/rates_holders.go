package instance

import (
	"slices"
	"strings"
	"sync"

	"tamarackrun/internal/coordination/rate"
	"tamarackrun/internal/coordination/share"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/roster"
)

// holderTable holds the holders of the shares of each organisation. They are
// recomputed only when the candidates or the configuration change: at 810
// instances and 2,000 organisations, one computation hashes 1.6 million names.
type holderTable struct {
	mu            sync.Mutex
	configuration *configuration.Snapshot
	candidates    []share.Candidate
	holders       map[string][]string
	// alive holds the incarnations of the candidates.
	alive map[string]bool
}

// update returns the holders by organisation and recomputes them if necessary.
// The map must not be changed.
func (h *holderTable) update(c *configuration.Snapshot, candidates []share.Candidate, alive map[string]bool) map[string][]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.alive = alive
	if h.configuration == c && slices.Equal(h.candidates, candidates) {
		return h.holders
	}
	holders := make(map[string][]string, len(c.Organisations))
	for name := range c.Organisations {
		holders[name] = share.Holders(name, candidates)
	}
	h.configuration, h.candidates, h.holders = c, candidates, holders
	return holders
}

// holdersOf returns the holders of an organisation's shares.
func (h *holderTable) holdersOf(organisation string) []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holders[organisation]
}

// isSilent reports whether no candidate runs as the incarnation that a term
// belongs to. The name of a term is the incarnation or starts with it and a dot.
func (h *holderTable) isSilent(term string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	incarnation, _, _ := strings.Cut(term, ".")
	return !h.alive[term] && !h.alive[incarnation]
}

// targets returns the share of each organisation that this instance is to hold.
func (r *rateLimiter) targets(c *configuration.Snapshot) map[string]rate.Fraction {
	var candidates []share.Candidate
	alive := map[string]bool{}
	for _, m := range r.in.roster.Members() {
		if r.isCandidate(m) {
			candidates = append(candidates, share.Candidate{Name: m.Listing.Name, Region: c.RegionOf(m.Listing.FailureDomain)})
			alive[m.State.GetIncarnation()] = true
		}
	}
	slices.SortFunc(candidates, func(a, b share.Candidate) int { return strings.Compare(a.Name, b.Name) })
	targets := map[string]rate.Fraction{}
	for name, holders := range r.holders.update(c, candidates, alive) {
		if r.pool.Bucket(name) != nil {
			targets[name] = share.Target(r.in.Settings.Name, holders)
		}
	}
	return targets
}

// lenders returns the reachable holders of an organisation, those of this
// instance's failure domain and region first. Only holders have parts to lend.
func (r *rateLimiter) lenders(organisation string) []roster.Member {
	var lenders []roster.Member
	for _, name := range r.holders.holdersOf(organisation) {
		if m, ok := r.in.roster.Member(name); ok && m.Reachable && name != r.in.Settings.Name {
			lenders = append(lenders, m)
		}
	}
	c := r.in.snapshot.Load()
	distance := func(m roster.Member) int {
		switch domain := r.in.Settings.FailureDomain; {
		case m.Listing.FailureDomain == domain:
			return 0
		case c != nil && c.RegionOf(m.Listing.FailureDomain) == c.RegionOf(domain):
			return 1
		default:
			return 2
		}
	}
	slices.SortStableFunc(lenders, func(a, b roster.Member) int { return distance(a) - distance(b) })
	return lenders
}
