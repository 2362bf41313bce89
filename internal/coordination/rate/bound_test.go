package rate_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackrun/internal/coordination/rate"
)

// tolerance covers the rounding of floating-point sums.
const tolerance = 1e-6

func TestMain(m *testing.M) {
	// A fixed seed makes runs repeatable; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "2300")
	flag.Parse()
	os.Exit(m.Run())
}

func drawOptions(t *rapid.T) options {
	draw := func(name string) bool { return rapid.Bool().Draw(t, name) }
	return options{
		seed:          rapid.Uint64().Draw(t, "seed"),
		instanceCount: rapid.IntRange(1, 9).Draw(t, "instances"),
		limit:         rate.Limit{Rate: rapid.Float64Range(1, 80).Draw(t, "rate"), Burst: rapid.Float64Range(1, 80).Draw(t, "burst")},
		load:          rapid.Float64Range(1, 60).Draw(t, "load"),
		duration:      150 * time.Second,
		faults: faults{draw("kills"), draw("pauses"), draw("partitions"), draw("outages"), draw("lostAnswers"),
			draw("limitChanges"), draw("stops")},
	}
}

// Guards against any interval in which all instances together admit more than
// rate*t + burst, under random combinations of faults.
func TestBoundHolds(t *testing.T) {
	totals := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(drawOptions(t))
		if excess := s.run(); excess > tolerance {
			t.Fatalf("the %d admissions exceed the bound by %.3f; %v", len(s.admissions), excess, s.counts)
		}
		if s.maxPartSum > rate.Whole {
			t.Fatalf("the parts of all instances sum to %d billionths; %v", s.maxPartSum, s.counts)
		}
		for name, n := range s.counts {
			totals[name] += n
		}
		totals["admitted"] += len(s.admissions)
	})
	t.Log(totals)
	for _, name := range []string{"admitted", "refused", "loan", "lateLoan", "return", "recall", "pause", "lostAnswer", "lateWrite",
		"conflict", "heldTooLong", "handBack", "TR2301", "TR2302", "TR2303", "TR2304"} {
		if totals[name] == 0 {
			t.Errorf("%s never occurred in the runs, so it was not tested", name)
		}
	}
}

// Guards against a bound check that cannot fail: each deliberate fault must break the
// bound with at least one of a fixed number of seeds.
func TestBoundCheckFindsFaults(t *testing.T) {
	const seeds = 8
	base := options{instanceCount: 5, limit: rate.Limit{Rate: 40, Burst: 10}, load: 200, duration: 150 * time.Second}
	for name, addFault := range map[string]func(*options){
		"lender keeps its part":   func(o *options) { o.lenderKeepsPart, o.load = true, 20 },
		"reclaimer does not wait": func(o *options) { o.reclaimWithoutWait, o.faults.partitions = true, true },
	} {
		exceeding, worst := 0, 0.0
		for seed := range uint64(seeds) {
			o := base
			addFault(&o)
			o.seed = seed
			if excess := newSimulation(o).run(); excess > tolerance {
				exceeding, worst = exceeding+1, max(worst, excess)
			}
			o.lenderKeepsPart, o.reclaimWithoutWait = false, false
			if excess := newSimulation(o).run(); excess > tolerance {
				t.Fatalf("seed %d: the run without the fault exceeds the bound by %.3f", seed, excess)
			}
		}
		t.Logf("%s: found by %d of %d seeds, worst excess %.1f requests", name, exceeding, seeds, worst)
		if exceeding == 0 {
			t.Errorf("%s: no seed exceeds the bound, so the check does not find this fault", name)
		}
	}
}
