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

// evaluateInterval is how often the state is evaluated so that changes are
// recorded. In addition, requests are checked against the clock each time.
const evaluateInterval = 250 * time.Millisecond

// noProof is the proof age in heartbeats when there is no proof.
const noProof = ^uint64(0)

// freshnessTracker tracks whether the configuration in force is current. A
// proof is an observation that the version in force is the latest one: a read
// of the store, or a heartbeat of a peer that has such a proof of the same
// version.
type freshnessTracker struct {
	in *Instance

	mu sync.Mutex
	// latest is the time at which the configuration was last proved current; it is
	// valid only if proved is true.
	latest time.Duration
	proved bool
	// failed is the time at which the latest failed read of the store was sent; it
	// is valid only if hasFailed is true.
	failed    time.Duration
	hasFailed bool
	// lost holds the regions that an operator declared lost at this instance.
	lost  map[string]bool
	state freshness.State
}

func newFreshnessTracker(in *Instance) *freshnessTracker {
	return &freshnessTracker{in: in, lost: map[string]bool{}}
}

// addProof adds a proof of the given time.
func (f *freshnessTracker) addProof(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.proved || at > f.latest {
		f.latest, f.proved = at, true
	}
}

// readFailed records a failed read of the store that was sent at the given
// time.
func (f *freshnessTracker) readFailed(at time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed, f.hasFailed = at, true
}

// failureAge returns the time since the latest failed read of the store was sent,
// or freshness.Never.
func (f *freshnessTracker) failureAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.hasFailed {
		return freshness.Never
	}
	return f.in.clock.Now() - f.failed
}

// addPeerProof adds the proof in a heartbeat reply. Its age counts from before
// the heartbeat was sent, because the reply may have been delayed. A proof of
// another version says nothing about the version in force here.
func (f *freshnessTracker) addPeerProof(state *wire.PeerState, sent time.Duration) {
	c := f.in.snapshot.Load()
	if c == nil || state.ConfigurationVersion != uint64(c.Version) || state.ProofAgeMillis >= noProof/2 {
		return
	}
	f.addProof(sent - peerProofAge(state))
}

// proofAge returns the age of the latest proof.
func (f *freshnessTracker) proofAge() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.proved {
		return freshness.Never
	}
	return f.in.clock.Now() - f.latest
}

// proofAgeMillis returns the age of the latest proof for heartbeats, rounded
// up.
func (f *freshnessTracker) proofAgeMillis() uint64 {
	age := f.proofAge()
	if age == freshness.Never {
		return noProof
	}
	return uint64(age.Milliseconds()) + 1
}

// peerProofAge returns the proof age in a heartbeat of a peer, or freshness.Never.
func peerProofAge(state *wire.PeerState) time.Duration {
	if state.GetProofAgeMillis() > uint64(freshness.Never/time.Millisecond) {
		return freshness.Never
	}
	return time.Duration(state.GetProofAgeMillis()) * time.Millisecond
}

// evaluate computes the freshness state and records a change of it.
func (f *freshnessTracker) evaluate() freshness.State {
	c := f.in.snapshot.Load()
	if c == nil {
		return freshness.CutOff
	}
	view := freshness.View{Region: c.RegionOf(f.in.Settings.FailureDomain), ProofAge: f.proofAge(), FailureAge: f.failureAge()}
	for _, m := range f.in.roster.Members() {
		if m.Listing.Name != f.in.Settings.Name && m.State != nil {
			view.Peers = append(view.Peers, freshness.Peer{Region: c.RegionOf(m.Listing.FailureDomain),
				Reachable: m.Reachable, ProofAge: peerProofAge(m.State)})
		}
	}
	f.clearReachableRegions(view.Peers)
	f.mu.Lock()
	view.Regions = f.remainingRegions(c)
	f.mu.Unlock()
	state := freshness.Evaluate(view)
	f.mu.Lock()
	changed := f.state != state
	f.state = state
	f.mu.Unlock()
	if changed {
		f.in.history.Record(event.FreshnessChanged, "", "state", state.String(), "proofAge", ageText(view.ProofAge))
	}
	return state
}

// clearReachableRegions withdraws the declaration for lost regions that can be
// reached again: if such a region falls silent again, the cause may be a
// partition.
func (f *freshnessTracker) clearReachableRegions(peers []freshness.Peer) {
	for _, region := range f.lostRegions() {
		if slices.ContainsFunc(peers, func(q freshness.Peer) bool { return q.Reachable && q.Region == region }) {
			f.setRegionLost(region, false)
		}
	}
}

// ageText formats the age of a proof for events and status reports.
func ageText(age time.Duration) string {
	if age == freshness.Never {
		return "never"
	}
	return age.Round(time.Millisecond).String()
}

// remainingRegions returns the regions with failure domains that are not
// declared lost. The caller must hold f.mu.
func (f *freshnessTracker) remainingRegions(c *configuration.Snapshot) []string {
	seen := map[string]bool{}
	var regions []string
	for _, d := range c.Domains {
		if !seen[d.Region] && !f.lost[d.Region] {
			seen[d.Region] = true
			regions = append(regions, d.Region)
		}
	}
	sort.Strings(regions)
	return regions
}

// refusesKeyed reports whether requests with a key are refused by the routes'
// default rule. It evaluates the state again, because a result from before a
// pause of the process is not valid afterwards. Callers must load the snapshot
// after this call: a proof of a newer version says nothing about a snapshot
// that was loaded earlier.
func (f *freshnessTracker) refusesKeyed() bool {
	age := f.proofAge()
	return age > freshness.RefuseAfter && freshness.RefusesKeyedRequests(f.evaluate(), age)
}

// run evaluates the state at intervals, so that changes are recorded even
// without requests.
func (f *freshnessTracker) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.evaluate()
		waiting.Pause(ctx, evaluateInterval)
	}
}

// setRegionLost declares a region lost or withdraws that.
func (f *freshnessTracker) setRegionLost(region string, lost bool) {
	f.mu.Lock()
	if lost {
		f.lost[region] = true
	} else {
		delete(f.lost, region)
	}
	f.mu.Unlock()
	lostText := "no"
	if lost {
		lostText = "yes"
	}
	f.in.history.Record(event.RegionLost, "", "region", region, "lost", lostText)
}

// lostRegions returns the regions that are declared lost, sorted.
func (f *freshnessTracker) lostRegions() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var regions []string
	for r := range f.lost {
		regions = append(regions, r)
	}
	sort.Strings(regions)
	return regions
}
