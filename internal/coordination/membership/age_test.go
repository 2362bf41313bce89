package membership

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"tamarackrun/internal/coordination/verify"
)

// pause lets an instance stand still from now on, so that messages to it wait until it goes on. It returns a function that
// runs the fleet for some time, while the instances in stopped do not run either.
func (f *fleet) pause(paused int, length time.Duration) func(d time.Duration, stopped ...int) {
	resumes := f.clock.now + length
	f.delay = func(_, to int) time.Duration {
		if to == paused {
			return max(0, resumes-f.clock.now)
		}
		return 0
	}
	return func(d time.Duration, stopped ...int) {
		for end := f.clock.now + d; f.clock.now < end; {
			if f.clock.now < resumes {
				f.run(reportInterval, append(slices.Clone(stopped), paused)...)
			} else {
				f.run(reportInterval, stopped...)
			}
		}
	}
}

// Guards against a dead instance that is in use again: the reports that it has sent wait while another instance stands still, which
// read them as new when it went on and told the fleet so. The dead instance may have been restarted meanwhile, so that the other one
// has never heard its latest process.
func TestReportsThatWaitedAreOld(t *testing.T) {
	for name, test := range map[string]struct {
		instances, domains int
		restarts           bool
	}{
		"one failure domain":          {5, 1, false},
		"three failure domains":       {5, 3, false},
		"with relays":                 {24, 3, false},
		"restarted":                   {5, 3, true},
		"restarted, in one domain":    {5, 1, true},
		"restarted, in a large fleet": {24, 3, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleetIn(test.instances, test.domains)
			// Longer than what is known of the peers' clocks counts without a confirmation.
			f.run(leadLifetime + 3*time.Second)
			// Both are of one failure domain.
			paused, dead := 0, test.domains
			run := f.pause(paused, 5*time.Second)
			if test.restarts {
				f.restart(dead)
			}
			run(500 * time.Millisecond)
			for died := f.clock.now; f.clock.now < died+12*time.Second; {
				run(reportInterval, dead)
				after := f.clock.now - died
				for i := range f.members {
					// The paused instance does not run before 5 s have passed.
					if i != dead && after > 4*time.Second && (i != paused || after > 5*time.Second) && slices.Contains(f.aliveNames(i), instanceName(dead)) {
						t.Errorf("instance %d counts the dead one as alive %s after its end", i, after)
					}
				}
			}
		})
	}
}

// Guards against an outage of the store that is noticed late or not at all: the age of the latest read left out the time on the
// way, so that each echo between two regions made the read younger.
func TestReadGrowsOldAtItsOwnPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleetIn(4, 2)
		f.systemClock = true
		f.delay = func(from, to int) time.Duration {
			if f.domainOf(from) != f.domainOf(to) {
				return 55 * time.Millisecond
			}
			return time.Millisecond
		}
		f.run(2 * time.Second)
		read := time.Now()
		f.members[0].Verifier.MergeReport(read, verify.Positions{}, 0)
		f.run(8 * time.Second)
		for i, m := range f.members {
			if _, age := m.Verifier.OwnReport(time.Now()); age < time.Since(read) {
				t.Errorf("instance %d: the read is %s old, want at least %s", i, age, time.Since(read))
			}
		}
	})
}
