package freshness

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Guards against a wrong result of any branch of Evaluate.
func TestEvaluate(t *testing.T) {
	stale, fresh := MaxProofAge+time.Millisecond, MaxProofAge
	both := []string{"a", "b"}
	for name, c := range map[string]struct {
		view View
		want State
	}{
		"own proof":                {View{Region: "a", ProofAge: fresh, Regions: both}, Fresh},
		"no peers":                 {View{Region: "a", ProofAge: stale, Regions: both}, CutOff},
		"never a proof":            {View{Region: "a", ProofAge: Never, Regions: both}, CutOff},
		"all stale":                {View{"a", stale, both, []Peer{{"b", true, stale}}, fresh}, StoreOut},
		"no read since a pause":    {View{"a", stale, both, []Peer{{"b", true, stale}}, stale}, CutOff},
		"never a failed read":      {View{"a", stale, both, []Peer{{"b", true, stale}}, Never}, CutOff},
		"isolated, only region":    {View{"a", stale, []string{"a"}, []Peer{{"a", false, stale}}, fresh}, CutOff},
		"never a proof anywhere":   {View{"a", Never, both, []Peer{{"b", true, Never}}, fresh}, StoreOut},
		"a peer is fresh":          {View{"a", stale, both, []Peer{{"b", true, stale}, {"a", true, fresh}}, fresh}, CutOff},
		"unreachable peer":         {View{"a", stale, both, []Peer{{"b", false, stale}}, fresh}, CutOff},
		"region lost and declared": {View{"a", stale, []string{"a"}, []Peer{{"b", false, fresh}}, fresh}, StoreOut},
	} {
		if diff := cmp.Diff(c.want, Evaluate(c.view)); diff != "" {
			t.Errorf("%s: (-want +got):\n%s", name, diff)
		}
	}
}

// Guards against an instance that accepts withdrawn keys while a partition between
// regions cuts it off, and against refusals in an outage that affects all instances.
// The partition splits the regions into groups. One group reaches the store, or none
// does.
func TestPartitionsBetweenRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.IntRange(1, 6).Draw(t, "regions")
		groups := rapid.IntRange(1, regions).Draw(t, "groups")
		storeGroup := rapid.IntRange(-1, groups-1).Draw(t, "store")
		type instance struct{ region, regionGroup int }
		var instances []instance
		var names []string
		regionGroup := map[int]int{}
		for r := range regions {
			regionGroup[r] = rapid.IntRange(0, groups-1).Draw(t, "group")
			names = append(names, fmt.Sprint(r))
			for range rapid.IntRange(1, 3).Draw(t, "instances") {
				instances = append(instances, instance{r, regionGroup[r]})
			}
		}
		outageAge := time.Duration(rapid.Int64Range(int64(RefuseAfter)+1, int64(time.Hour)).Draw(t, "since"))
		proofAge := func(i instance) time.Duration {
			if i.regionGroup == storeGroup {
				return time.Duration(rapid.Int64Range(0, int64(MaxProofAge)).Draw(t, "age"))
			}
			return outageAge
		}
		connected := true
		for _, i := range instances {
			connected = connected && i.regionGroup == instances[0].regionGroup
		}
		for _, i := range instances {
			ownProofAge := proofAge(i)
			view := View{Region: fmt.Sprint(i.region), ProofAge: ownProofAge, Regions: names}
			for _, p := range instances {
				view.Peers = append(view.Peers, Peer{fmt.Sprint(p.region), p.regionGroup == i.regionGroup, proofAge(p)})
			}
			refuses := RefusesKeyedRequests(Evaluate(view), ownProofAge)
			switch {
			case i.regionGroup == storeGroup && refuses:
				t.Errorf("%+v refuses although it reaches the store", i)
			case i.regionGroup != storeGroup && !connected && !refuses:
				t.Errorf("%+v serves although it is cut off from other regions", i)
			case i.regionGroup != storeGroup && connected && refuses:
				t.Errorf("%+v refuses although no instance reaches the store", i)
			}
		}
	})
}
