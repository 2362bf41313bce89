// Package freshness decides from proofs whether the configuration of an
// instance may be out of date, so that a withdrawn key could still work.
package freshness

import (
	"math"
	"time"
)

const (
	// ProofLimit is the age up to which a proof makes the configuration fresh.
	// Proofs come every 2 s, so one read may fail or take its whole time limit.
	ProofLimit = 5 * time.Second
	// RefuseAfter is the age of the proof after which an instance that may be
	// cut off refuses keyed requests.
	RefuseAfter = 10 * time.Second
	// Never is the age of a proof that does not exist.
	Never = time.Duration(math.MaxInt64)
)

// State is what an instance concludes from its own proof and its peers'.
type State uint8

// States of an instance.
const (
	// Fresh says that the configuration was current within ProofLimit.
	Fresh State = iota + 1
	// StoreOut says that no instance reaches the store, so that nothing can be
	// withdrawn and traffic may go on.
	StoreOut
	// CutOff says that others may reach the store while this instance does not.
	CutOff
)

// String returns the state for events and status reports.
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

// Peer is another instance as of its latest heartbeat reply.
type Peer struct {
	Region string
	// Reachable says that the peer answered recently.
	Reachable bool
	// ProofAge is what the peer reported, without the time since. A peer that
	// was fresh when it answered counts as fresh, which errs towards CutOff.
	ProofAge time.Duration
}

// View is what an instance knows.
type View struct {
	Region string
	// ProofAge is the age of the own latest proof, or Never.
	ProofAge time.Duration
	// Regions are the regions of the fleet without those declared lost.
	Regions []string
	Peers   []Peer
	// FailureAge is the time since the latest failed read of the store was
	// sent, or Never. An instance that wakes from a pause has no recent
	// failure: its proof is old because it did not run.
	FailureAge time.Duration
}

// Evaluate returns the state.
func Evaluate(v View) State {
	if v.ProofAge <= ProofLimit {
		return Fresh
	}
	if v.FailureAge > ProofLimit {
		return CutOff
	}
	reached := map[string]bool{v.Region: true}
	neighbours, alone := false, true
	for _, p := range v.Peers {
		neighbours = neighbours || p.Region == v.Region
		if !p.Reachable {
			continue
		}
		alone = false
		if p.ProofAge <= ProofLimit {
			return CutOff
		}
		reached[p.Region] = true
	}
	// Without this rule an instance that lost all others would stand for the
	// whole fleet where that is one region.
	if alone && neighbours {
		return CutOff
	}
	for _, r := range v.Regions {
		if !reached[r] {
			return CutOff
		}
	}
	return StoreOut
}

// RefusesKeyedRequests says whether keyed requests are refused on routes that refuse when
// cut off.
func RefusesKeyedRequests(state State, age time.Duration) bool {
	return state == CutOff && age > RefuseAfter
}
