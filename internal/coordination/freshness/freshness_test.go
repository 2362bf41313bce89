package freshness

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Guards against each wrong turn of the decision.
func TestJudge(t *testing.T) {
	stale, fresh := ProofLimit+time.Millisecond, ProofLimit
	both := []string{"a", "b"}
	for name, c := range map[string]struct {
		view View
		want State
	}{
		"own proof":                {View{Region: "a", ProofAge: fresh, Regions: both}, Fresh},
		"alone":                    {View{Region: "a", ProofAge: stale, Regions: both}, CutOff},
		"no proof ever":            {View{Region: "a", ProofAge: Never, Regions: both}, CutOff},
		"all stale":                {View{"a", stale, both, []Peer{{"b", true, stale}}, fresh}, StoreOut},
		"woken, no read yet":       {View{"a", stale, both, []Peer{{"b", true, stale}}, stale}, CutOff},
		"never read":               {View{"a", stale, both, []Peer{{"b", true, stale}}, Never}, CutOff},
		"alone in the only region": {View{"a", stale, []string{"a"}, []Peer{{"a", false, stale}}, fresh}, CutOff},
		"all without any proof":    {View{"a", Never, both, []Peer{{"b", true, Never}}, fresh}, StoreOut},
		"a peer is fresh":          {View{"a", stale, both, []Peer{{"b", true, stale}, {"a", true, fresh}}, fresh}, CutOff},
		"unreachable peer":         {View{"a", stale, both, []Peer{{"b", false, stale}}, fresh}, CutOff},
		"region lost and declared": {View{"a", stale, []string{"a"}, []Peer{{"b", false, fresh}}, fresh}, StoreOut},
	} {
		if diff := cmp.Diff(c.want, Evaluate(c.view)); diff != "" {
			t.Errorf("%s: (-want +got):\n%s", name, diff)
		}
	}
}

// Guards against an instance that serves withdrawn keys behind a partition
// between regions, and against refusals in an outage that all instances see.
// The partition splits the regions into groups; the store is reached by one
// group or by none.
func TestPartitionsBetweenRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		regions := rapid.IntRange(1, 6).Draw(t, "regions")
		groups := rapid.IntRange(1, regions).Draw(t, "groups")
		store := rapid.IntRange(-1, groups-1).Draw(t, "store")
		type instance struct{ region, group int }
		var all []instance
		var names []string
		group := map[int]int{}
		for r := range regions {
			group[r] = rapid.IntRange(0, groups-1).Draw(t, "group")
			names = append(names, fmt.Sprint(r))
			for range rapid.IntRange(1, 3).Draw(t, "instances") {
				all = append(all, instance{r, group[r]})
			}
		}
		since := time.Duration(rapid.Int64Range(int64(RefuseAfter)+1, int64(time.Hour)).Draw(t, "since"))
		age := func(i instance) time.Duration {
			if i.group == store {
				return time.Duration(rapid.Int64Range(0, int64(ProofLimit)).Draw(t, "age"))
			}
			return since
		}
		whole := true
		for _, i := range all {
			whole = whole && i.group == all[0].group
		}
		for _, i := range all {
			own := age(i)
			view := View{Region: fmt.Sprint(i.region), ProofAge: own, Regions: names}
			for _, p := range all {
				view.Peers = append(view.Peers, Peer{fmt.Sprint(p.region), p.group == i.group, age(p)})
			}
			refuses := RefusesKeyedRequests(Evaluate(view), own)
			switch {
			case i.group == store && refuses:
				t.Errorf("%+v refuses although it reaches the store", i)
			case i.group != store && !whole && !refuses:
				t.Errorf("%+v serves although it is cut off from other regions", i)
			case i.group != store && whole && refuses:
				t.Errorf("%+v refuses although the store is out for all", i)
			}
		}
	})
}
