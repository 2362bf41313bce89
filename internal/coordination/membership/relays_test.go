package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// largeInterval is the report interval of fleets of 20 instances and more.
const largeInterval = maxInterval

// runLarge advances the clock by d in steps of largeInterval. Instances report in a random
// order, except those in stopped.
func (f *fleet) runLarge(d time.Duration, stopped map[int]bool) {
	for range int(d / largeInterval) {
		f.clock.now += largeInterval
		for _, i := range rand.Perm(len(f.members)) {
			if !stopped[i] {
				f.members[i].sendReport()
			}
		}
	}
}

// countAlive returns how many instances i counts as alive.
func (f *fleet) countAlive(i int) int { return len(f.aliveNames(i)) }

// Guards against a cost of reports that grows with the square of the fleet: at 119 instances
// reports between all of them took 1.4 GB in 43 s (large site, first score).
func TestMessagesGrowWithFleet(t *testing.T) {
	perInstance := map[int]map[bool]float64{}
	for _, n := range []int{54, 108, 216} {
		f := newFleetIn(n, 9)
		for i := range f.demands {
			f.demands[i] = map[string]float64{}
			for o := range 190 {
				f.demands[i][fmt.Sprint("organisation-", o)] = 1
			}
		}
		f.runLarge(5*time.Second, nil)
		clear(f.messages)
		clear(f.bytes)
		f.runLarge(5*time.Second, nil)
		perInstance[n] = map[bool]float64{}
		for same, count := range f.messages {
			perInstance[n][same] = float64(count) / float64(n)
		}
		t.Logf("%d instances: %.1f and %.1f kB/s an instance within and between failure domains", n,
			float64(f.bytes[true])/float64(n)/5000, float64(f.bytes[false])/float64(n)/5000)
	}
	for _, same := range []bool{true, false} {
		if small, large := perInstance[54][same], perInstance[216][same]; large > 1.2*small {
			t.Errorf("in the same failure domain %v: %.1f messages an instance at 216 instances and %.1f at 54", same, large, small)
		}
	}
}

// Guards against demand and contact that get lost or are counted twice on the way through
// relays.
func TestRelaysPassOnStateOfWholeFleet(t *testing.T) {
	f := newFleetIn(60, 6)
	for i := range f.demands {
		f.demands[i] = map[string]float64{"o": 2}
	}
	f.runLarge(3*time.Second, nil)
	for i := range f.members {
		want := []any{Reachability{Members: 60, Regions: 1}, 120.0, 60}
		if diff := cmp.Diff(want, []any{f.reachability[i], f.totalDemand[i]["o"], f.countAlive(i)}); diff != "" {
			t.Fatalf("instance %d (-want +got):\n%s", i, diff)
		}
	}
}

// Guards against a fleet that falls apart when relays die, also all relays of all failure
// domains at once and most of the instances.
func TestFleetSurvivesLossOfRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(20, 40).Draw(t, "instances")
		f := newFleetIn(n, rapid.IntRange(1, 6).Draw(t, "failure domains"))
		f.runLarge(3*time.Second, nil)
		stopped := map[int]bool{}
		if rapid.Bool().Draw(t, "all relays") {
			for i, m := range f.members {
				if _, isRelay := m.ownRelays(f.clock.now); isRelay {
					stopped[i] = true
				}
			}
		} else {
			for i := range n {
				stopped[i] = rapid.IntRange(0, 9).Draw(t, "stops") < 6
			}
		}
		left := n - len(stopped)
		for i := range stopped {
			if !stopped[i] {
				left++
			}
		}
		// The users' bound on naming dead instances is the bound on contact plus 3 s.
		f.runLarge(7*time.Second, stopped)
		for i := range n {
			if got := f.countAlive(i); !stopped[i] && got != left {
				t.Fatalf("instance %d counts %d instances as alive, want %d", i, got, left)
			}
		}
	})
}

// Guards against shares of a limit that are used twice: in a fleet with relays, instances may
// use the share of a silent one only after it has stopped using it. Any instance may be cut
// off in one or both directions, and one message in 50 is lost.
func TestCutOffInstanceOfLargeFleetReleasesItsShareFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 18
		f := newFleetIn(n, rapid.IntRange(2, 6).Draw(t, "failure domains"))
		for i := range f.demands {
			f.demands[i] = map[string]float64{"o": 10}
		}
		f.runLarge(4*time.Second, nil)
		cut := rapid.IntRange(0, n-1).Draw(t, "cut off")
		sends, receives := rapid.Bool().Draw(t, "sends"), rapid.Bool().Draw(t, "receives")
		if sends && receives {
			return
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "losses"), 1))
		f.drops = func(from, to int) bool {
			return from == cut && !sends || to == cut && !receives || random.IntN(50) == 0
		}
		for step := range int(10 * time.Second / largeInterval) {
			f.runLarge(largeInterval, nil)
			for i := range n {
				if i != cut && f.reachability[i].Silent > 0 && !f.reachability[cut].CutOff {
					t.Fatalf("step %d: instance %d uses the share of instance %d, which does not count itself as cut off", step, i, cut)
				}
			}
		}
		if !receives && !f.reachability[cut].CutOff {
			t.Fatal("an instance that receives nothing does not count itself as cut off")
		}
	})
}

// Guards against an instance without contact because it can't reach the relays of its failure
// domain, although it reaches others.
func TestUnreachableRelaysAreReplaced(t *testing.T) {
	f := newFleetIn(40, 4)
	f.runLarge(3*time.Second, nil)
	member := -1
	relays := map[int]bool{}
	for i, m := range f.members {
		switch _, isRelay := m.ownRelays(f.clock.now); {
		case isRelay:
			relays[i] = true
		case member < 0:
			member = i
		}
	}
	f.drops = func(from, to int) bool { return from == member && relays[to] || to == member && relays[from] }
	f.runLarge(4*time.Second, nil)
	for range 20 {
		f.runLarge(largeInterval, nil)
		if f.reachability[member].CutOff || f.countAlive(member) != 40 {
			t.Fatalf("the instance counts %d as alive, cut off %v", f.countAlive(member), f.reachability[member].CutOff)
		}
		if got := f.countAlive((member + 1) % 40); got != 40 {
			t.Fatalf("another instance counts %d as alive, want 40", got)
		}
	}
}

// Guards against readers that change when single messages are lost: an instance whose reader
// was another one than that of the others found that it does not read the store, and read the
// store itself (incident inc-6738 of the large deployment, 110 times in 12 instances).
func TestReaderStaysWhenMessagesAreLost(t *testing.T) {
	f := newFleetIn(40, 4)
	f.runLarge(4*time.Second, nil)
	random := rand.New(rand.NewPCG(7, 8))
	f.drops = func(int, int) bool { return random.IntN(50) == 0 }
	differing := 0
	for range 200 {
		f.runLarge(largeInterval, nil)
		readers := map[string]map[string]int{}
		for i, m := range f.members {
			reader := m.Reader()
			if reader == "" {
				reader = address(i)
			}
			if readers[f.domainOf(i)] == nil {
				readers[f.domainOf(i)] = map[string]int{}
			}
			readers[f.domainOf(i)][reader]++
		}
		for _, counts := range readers {
			differing += len(counts) - 1
		}
	}
	// Two digests in a row of a reader to one of 40 instances are lost 3 times in 200 intervals
	// on average, and each time the readers differ for an interval or two. The bound leaves room
	// for four times as many.
	if differing > 20 {
		t.Errorf("instances of a failure domain had different readers %d times in 200 intervals", differing)
	}
}

// Guards against a failure domain that stays split: after many instances had stopped, two that heard only
// each other took themselves for the relays, and nobody told them of the rest
// (TestFleetSurvivesLossOfRelays, in some orders of reports).
func TestSplitFailureDomainHeals(t *testing.T) {
	f := newFleetIn(16, 2)
	f.runLarge(3*time.Second, nil)
	var island []int
	for i, m := range f.members {
		if _, isRelay := m.ownRelays(f.clock.now); !isRelay && f.domainOf(i) == f.domainOf(0) && len(island) < 2 {
			island = append(island, i)
		}
	}
	for k, i := range island {
		other := instanceName(island[1-k])
		for name, p := range f.members[i].peers {
			heard := f.clock.now - removeAfter
			if name == other {
				heard = f.clock.now
			}
			p.lastReport, p.report.at, p.domain.at, p.fleet.at = heard, heard, f.clock.now-removeAfter, f.clock.now-removeAfter
		}
		for j, m := range f.members {
			if p := m.peers[instanceName(i)]; p != nil && !slices.Contains(island, j) {
				p.report.at = f.clock.now - removeAfter
			}
		}
	}
	f.runLarge(3*time.Second, nil)
	for i := range f.members {
		if got := f.countAlive(i); got != len(f.members) {
			t.Errorf("instance %d counts %d instances as alive, want %d", i, got, len(f.members))
		}
	}
}
