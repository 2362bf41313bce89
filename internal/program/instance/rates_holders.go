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

// placement keeps the holders of all organisations. They are placed anew only
// when the candidates or the configuration change: at 810 instances and 2,000
// organisations one placement hashes 1.6 million names.
type placement struct {
	mu            sync.Mutex
	configuration *configuration.Snapshot
	candidates    []share.Candidate
	holders       map[string][]string
	// alive are the incarnations of the candidates.
	alive map[string]bool
}

// update places the holders and returns them. The map must not be changed.
func (p *placement) update(c *configuration.Snapshot, candidates []share.Candidate, alive map[string]bool) map[string][]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.alive = alive
	if p.configuration == c && slices.Equal(p.candidates, candidates) {
		return p.holders
	}
	holders := make(map[string][]string, len(c.Organisations))
	for name := range c.Organisations {
		holders[name] = share.Holders(name, candidates)
	}
	p.configuration, p.candidates, p.holders = c, candidates, holders
	return holders
}

func (p *placement) holdersOf(organisation string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.holders[organisation]
}

// isSilent says that no candidate has the incarnation or a later term of it.
func (p *placement) isSilent(term string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	incarnation, _, _ := strings.Cut(term, ".")
	return !p.alive[term] && !p.alive[incarnation]
}

// targets are the own parts of all organisations.
func (r *rates) targets(c *configuration.Snapshot) map[string]rate.Fraction {
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
	for name, holders := range r.placement.update(c, candidates, alive) {
		if r.pool.Bucket(name) != nil {
			targets[name] = share.Target(r.in.Settings.Name, holders)
		}
	}
	return targets
}

// lenders returns the reachable holders of an organisation, those of the own
// failure domain and region first. Only holders have parts to lend.
func (r *rates) lenders(organisation string) []roster.Member {
	var lenders []roster.Member
	for _, name := range r.placement.holdersOf(organisation) {
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
