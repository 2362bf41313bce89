package instance

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"tamarackrun/internal/coordination/freshness"
	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/configuration"
)

// judgeInterval is how often the state is judged for the events. Requests are
// judged by the clock each time.
const judgeInterval = 250 * time.Millisecond

// noProof is sent in heartbeats when there is no proof.
const noProof = ^uint64(0)

// proofs holds the proofs that the configuration is current.
type proofs struct {
	in *Instance

	mu sync.Mutex
	// latest is the time at which the configuration was last proved current;
	// it counts only if proved is true.
	latest time.Duration
	proved bool
	// failed is when the latest failed read of the store was sent; it counts
	// only if hasFailed is true.
	failed    time.Duration
	hasFailed bool
	// lost holds the regions that an operator declared lost at this instance.
	lost  map[string]bool
	state freshness.State
}

func newProofs(in *Instance) *proofs { return &proofs{in: in, lost: map[string]bool{}} }

// add takes a proof of the given time.
func (p *proofs) add(at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.proved || at > p.latest {
		p.latest, p.proved = at, true
	}
}

// storeFailed notes a failed read of the store that was sent at the time.
func (p *proofs) storeFailed(at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failed, p.hasFailed = at, true
}

func (p *proofs) failureAge() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.hasFailed {
		return freshness.Never
	}
	return p.in.clock.Now() - p.failed
}

// fromPeer takes the proof in a heartbeat reply. The age counts from before the
// heartbeat was sent, since the reply may have been under way for long. A proof
// of another version says nothing about the own one.
func (p *proofs) fromPeer(state *wire.PeerState, sent time.Duration) {
	c := p.in.snapshot.Load()
	if c == nil || state.ConfigurationVersion != uint64(c.Version) || state.ProofAgeMillis >= noProof/2 {
		return
	}
	p.add(sent - peerAge(state))
}

// age returns the age of the latest proof.
func (p *proofs) age() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.proved {
		return freshness.Never
	}
	return p.in.clock.Now() - p.latest
}

// ageMillis returns the age for heartbeats, rounded up.
func (p *proofs) ageMillis() uint64 {
	age := p.age()
	if age == freshness.Never {
		return noProof
	}
	return uint64(age.Milliseconds()) + 1
}

func peerAge(state *wire.PeerState) time.Duration {
	if state.GetProofAgeMillis() > uint64(freshness.Never/time.Millisecond) {
		return freshness.Never
	}
	return time.Duration(state.GetProofAgeMillis()) * time.Millisecond
}

// judge decides on the state anew.
func (p *proofs) judge() freshness.State {
	c := p.in.snapshot.Load()
	if c == nil {
		return freshness.CutOff
	}
	view := freshness.View{Region: c.RegionOf(p.in.Settings.FailureDomain), ProofAge: p.age(), FailureAge: p.failureAge()}
	for _, m := range p.in.roster.Members() {
		if m.Listing.Name != p.in.Settings.Name && m.State != nil {
			view.Peers = append(view.Peers, freshness.Peer{Region: c.RegionOf(m.Listing.FailureDomain),
				Reachable: m.Reachable, ProofAge: peerAge(m.State)})
		}
	}
	p.endLoss(view.Peers)
	p.mu.Lock()
	view.Regions = p.regions(c)
	p.mu.Unlock()
	state := freshness.Evaluate(view)
	p.mu.Lock()
	changed := p.state != state
	p.state = state
	p.mu.Unlock()
	if changed {
		p.in.history.Record(event.FreshnessChanged, "", "state", state.String(), "proofAge", ageText(view.ProofAge))
	}
	return state
}

// endLoss takes the declaration back for regions that can be reached again: the
// next silence of such a region may be a partition.
func (p *proofs) endLoss(peers []freshness.Peer) {
	for _, region := range p.lostRegions() {
		if slices.ContainsFunc(peers, func(q freshness.Peer) bool { return q.Reachable && q.Region == region }) {
			p.declareLost(region, false)
		}
	}
}

func ageText(age time.Duration) string {
	if age == freshness.Never {
		return "never"
	}
	return age.Round(time.Millisecond).String()
}

// regions returns the regions with failure domains that are not declared lost.
func (p *proofs) regions(c *configuration.Snapshot) []string {
	seen := map[string]bool{}
	var regions []string
	for _, d := range c.Domains {
		if !seen[d.Region] && !p.lost[d.Region] {
			seen[d.Region] = true
			regions = append(regions, d.Region)
		}
	}
	sort.Strings(regions)
	return regions
}

// refuses says whether keyed requests are refused by the routes' default rule.
// It judges anew, since a judgement made before a pause of the process says
// nothing afterwards. Callers load the snapshot after they asked: a proof of a
// newer version says nothing about a snapshot that was loaded before.
func (p *proofs) refuses() bool {
	age := p.age()
	return age > freshness.RefuseAfter && freshness.RefusesKeyedRequests(p.judge(), age)
}

// run judges the state, so that changes are recorded also without requests.
func (p *proofs) run(ctx context.Context) {
	for ctx.Err() == nil {
		p.judge()
		waiting.Pause(ctx, judgeInterval)
	}
}

// declareLost declares a region lost or takes that back.
func (p *proofs) declareLost(region string, lost bool) {
	p.mu.Lock()
	if lost {
		p.lost[region] = true
	} else {
		delete(p.lost, region)
	}
	p.mu.Unlock()
	word := "no"
	if lost {
		word = "yes"
	}
	p.in.history.Record(event.RegionLost, "", "region", region, "lost", word)
}

func (p *proofs) lostRegions() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var regions []string
	for r := range p.lost {
		regions = append(regions, r)
	}
	sort.Strings(regions)
	return regions
}
