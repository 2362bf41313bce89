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
		seed:     rapid.Uint64().Draw(t, "seed"),
		holders:  rapid.IntRange(1, 9).Draw(t, "holders"),
		limit:    rate.Limit{Rate: rapid.Float64Range(1, 80).Draw(t, "rate"), Burst: rapid.Float64Range(1, 80).Draw(t, "burst")},
		load:     rapid.Float64Range(1, 60).Draw(t, "load"),
		duration: 150 * time.Second,
		faults: faults{draw("kills"), draw("freezes"), draw("partitions"), draw("outages"), draw("lostAnswers"),
			draw("limitChanges"), draw("stops")},
	}
}

// Guards against any interval in which all instances together admit more than
// rate*t + burst, whatever fails.
func TestBoundHolds(t *testing.T) {
	total := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(drawOptions(t))
		if excess := s.run(); excess > tolerance {
			t.Fatalf("%d admissions exceed the bound by %.3f; %v", len(s.admissions), excess, s.counts)
		}
		if s.mostParts > rate.Whole {
			t.Fatalf("the parts of all instances sum to %d billionths; %v", s.mostParts, s.counts)
		}
		for name, n := range s.counts {
			total[name] += n
		}
		total["admitted"] += len(s.admissions)
	})
	t.Log(total)
	for _, name := range []string{"admitted", "refused", "loan", "lateLoan", "return", "recall", "freeze", "lostAnswer", "lateWrite",
		"conflict", "heldTooLong", "handBack", "TR2301", "TR2302", "TR2303", "TR2304"} {
		if total[name] == 0 {
			t.Errorf("the runs never had %s, so they did not test it", name)
		}
	}
}

// Guards against a check that cannot fail: each wrong variant must break the
// bound within a fixed number of seeds.
func TestCheckFindsWrongVariants(t *testing.T) {
	const seeds = 8
	base := options{holders: 5, limit: rate.Limit{Rate: 40, Burst: 10}, load: 200, duration: 150 * time.Second}
	for name, breakIt := range map[string]func(*options){
		"lender keeps its part":   func(o *options) { o.overlend, o.load = true, 20 },
		"reclaimer does not wait": func(o *options) { o.noWait, o.faults.partitions = true, true },
	} {
		found, worst := 0, 0.0
		for seed := range uint64(seeds) {
			o := base
			breakIt(&o)
			o.seed = seed
			if excess := newSimulation(o).run(); excess > tolerance {
				found, worst = found+1, max(worst, excess)
			}
			o.overlend, o.noWait = false, false
			if excess := newSimulation(o).run(); excess > tolerance {
				t.Fatalf("seed %d: the right variant exceeds the bound by %.3f", seed, excess)
			}
		}
		t.Logf("%s: found by %d of %d seeds, worst excess %.1f requests", name, found, seeds, worst)
		if found == 0 {
			t.Errorf("%s: not found", name)
		}
	}
}
