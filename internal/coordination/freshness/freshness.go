// Package freshness decides whether the configuration of an instance may be out of
// date, so that a withdrawn key could still work. A proof is a read of the store, by
// this instance or a peer, which showed that the configuration is current.
package freshness

import (
	"math"
	"time"
)

const (
	// MaxProofAge is the age up to which a proof makes the configuration fresh.
	// Proofs arrive every 2 s, so that one read may fail or take its whole timeout.
	MaxProofAge = 5 * time.Second
	// RefuseAfter is the age of the latest proof above which an instance that may
	// be cut off refuses keyed requests.
	RefuseAfter = 10 * time.Second
	// Never is the age of a proof or failure that does not exist.
	Never = time.Duration(math.MaxInt64)
)

// State is the freshness of the configuration of an instance, as concluded from its
// own proofs and those of its peers.
type State uint8

// States of an instance.
const (
	// Fresh means that the latest proof is not older than MaxProofAge.
	Fresh State = iota + 1
	// StoreOut means that no instance reaches the store, so that no key can be
	// withdrawn and requests may continue.
	StoreOut
	// CutOff means that other instances may reach the store while this one does
	// not.
	CutOff
)

// String returns the name of the state in events and status reports.
func (s State) String() string {
	switch s {
	case Fresh:
		return "fresh"
	case StoreOut:
		return "storeOut"
	case CutOff:
		return "cutOff"
	default:
		return "invalid"
	}
}

// Peer holds the state of another instance as of its latest heartbeat reply.
type Peer struct {
	Region string
	// Reachable is true if the peer replied recently.
	Reachable bool
	// ProofAge is the age that the peer reported, without the time since then. A
	// peer that was fresh when it replied counts as fresh, which errs on the side
	// of CutOff.
	ProofAge time.Duration
}

// View holds what an instance knows when it evaluates its state.
type View struct {
	Region string
	// ProofAge is the age of the instance's latest proof, or Never.
	ProofAge time.Duration
	// Regions holds the regions of the fleet except those declared lost.
	Regions []string
	Peers   []Peer
	// FailureAge is the time since the latest failed read of the store was sent,
	// or Never. After a pause of the process there is no recent failure: the proof
	// is old because the process did not run.
	FailureAge time.Duration
}

// Evaluate returns the state of an instance. It returns StoreOut only if a read
// failed recently, no reachable peer is fresh, and the instance reaches some peer in
// every other region.
func Evaluate(view View) State {
	if view.ProofAge <= MaxProofAge {
		return Fresh
	}
	if view.FailureAge > MaxProofAge {
		return CutOff
	}
	reachedRegions := map[string]bool{view.Region: true}
	hasRegionPeers, isolated := false, true
	for _, p := range view.Peers {
		hasRegionPeers = hasRegionPeers || p.Region == view.Region
		if !p.Reachable {
			continue
		}
		isolated = false
		if p.ProofAge <= MaxProofAge {
			return CutOff
		}
		reachedRegions[p.Region] = true
	}
	// Without this rule, in a fleet of one region, an instance that reaches no
	// other one would conclude StoreOut from its own failure alone.
	if isolated && hasRegionPeers {
		return CutOff
	}
	for _, r := range view.Regions {
		if !reachedRegions[r] {
			return CutOff
		}
	}
	return StoreOut
}

// RefusesKeyedRequests reports whether an instance refuses keyed requests on routes
// that are configured to refuse when cut off. age is the age of the latest proof.
func RefusesKeyedRequests(state State, age time.Duration) bool {
	return state == CutOff && age > RefuseAfter
}
