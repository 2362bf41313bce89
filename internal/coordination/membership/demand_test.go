package membership

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun/internal/protocol/wire"
)

// setDemands sets the demand of the instances for the organisation o.
func (f *fleet) setDemands(demand float64, gone ...int) {
	f.demands = make([]map[string]float64, len(f.members))
	for i := range f.members {
		f.demands[i] = map[string]float64{"o": demand}
	}
	for _, i := range gone {
		f.demands[i] = nil
	}
}

// Guards against sums of demand that outlive what they tell: after an instance has gone, two relays of a failure domain counted one
// instance less than the other's latest digest, took its sums, and passed them to and fro for ever, while an organisation sent many times as
// much (QUOTA, hollowmere-run: 550 runs where 535 are allowed, after an instance had left for good).
func TestSumsOfDemandEndWithTheirInstances(t *testing.T) {
	for name, test := range map[string]struct{ instances, domains, gone int }{
		"of another failure domain": {4, 3, 1},
		"of the same":               {4, 2, 2},
		"in one failure domain":     {5, 1, 3},
		"with relays":               {24, 3, 4},
		"a relay":                   {24, 3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleetIn(test.instances, test.domains)
			f.setDemands(1)
			f.run(4 * time.Second)
			f.run(6*time.Second, test.gone)
			f.setDemands(40, test.gone)
			f.run(3*reportInterval, test.gone)
			// An organisation that becomes hot within the time for which an instance counts is known as soon.
			for i, got := range f.totalDemand {
				if want := 40 * float64(test.instances-1); i != test.gone && got["o"] != want {
					t.Errorf("instance %d knows a demand of %v, want %v", i, got["o"], want)
				}
			}
		})
	}
}

// Guards against an older sum, which covers more instances, that hides a higher demand: it counts until the instance that has gone does not.
func TestOlderSumHidesNoDemand(t *testing.T) {
	for name, test := range map[string]struct{ instances, domains, gone int }{
		"of another failure domain": {4, 3, 1},
		"of the same":               {4, 2, 2},
		"a relay":                   {24, 3, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleetIn(test.instances, test.domains)
			f.setDemands(1)
			f.run(4 * time.Second)
			f.run(reportInterval, test.gone)
			f.setDemands(40, test.gone)
			f.run(4*reportInterval, test.gone)
			for range 16 {
				f.run(reportInterval, test.gone)
				for i, got := range f.totalDemand {
					if want := 40 * float64(test.instances-1); i != test.gone && got["o"] < want {
						t.Errorf("instance %d knows a demand of %v, want %v at least", i, got["o"], want)
					}
				}
			}
		})
	}
}

// Guards against a relay that passes on another one's sums as its own.
func TestRelaySendsItsOwnSums(t *testing.T) {
	f := newFleet(2)
	f.setDemands(1)
	f.run(2 * time.Second)
	m := f.members[0]
	sums := &wire.RateTable{Organisations: []uint64{7}, Values: []float32{100}}
	m.Receive(&wire.InstanceMessage{Content: &wire.InstanceMessage_FleetDigest{FleetDigest: &wire.FleetDigest{Relay: instanceName(1),
		Incarnation: f.members[1].incarnation, Sequence: f.members[1].sequence + 1, Demands: sums, Covered: 9}}})
	m.mu.Lock()
	defer m.mu.Unlock()
	now := f.clock.now
	own, covered := m.ownSums(now, map[uint64]float64{})
	total := m.totalDemand(now, own, covered)
	if diff := cmp.Diff([]any{0.0, 2, 100.0}, []any{own[7], covered, total[7]}); diff != "" {
		t.Errorf("own sum, instances in it, and demand of the fleet (-want +got):\n%s", diff)
	}
}
