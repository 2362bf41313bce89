package quota

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackrun/internal/state/configuration"
)

const (
	// reportDelay is the age of reports when they are used: an interval and a
	// delay between regions.
	reportDelay = 300 * time.Millisecond
	tick        = 20 * time.Millisecond
	window      = 5 * time.Second
	// overage and slack are the users' bounds on (rate x window + burst).
	overage = 0.1
	slack   = 20.0
)

// fleet is several limiters with reports that arrive late.
type fleet struct {
	limiters []*Limiter
	// regions is the number of regions; instances of the same one lend to each
	// other.
	regions int
	cut     int
	now     time.Time
	reports []map[string]float64
	due     time.Time
	// delay is the time between two reports.
	delay time.Duration
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), cut: -1, regions: 1, delay: reportDelay}
	for range n {
		f.limiters = append(f.limiters, newLimiter(f.now))
	}
	return f
}

// newLimiter returns a limiter of a new process.
func newLimiter(now time.Time) *Limiter {
	l := New(now)
	l.SetBound(window, overage, slack)
	return l
}

// report divides by the demands of the report before, as messages take time.
func (f *fleet) report() {
	if f.now.Before(f.due) {
		return
	}
	f.due = f.now.Add(f.delay)
	old := f.reports
	f.reports = nil
	for i, l := range f.limiters {
		own := l.ReportDemand(f.now)
		f.reports = append(f.reports, own)
		totals := map[string]float64{"o": own["o"]}
		for j := range old {
			if i != j && i != f.cut && j != f.cut {
				totals["o"] += old[j]["o"]
			}
		}
		silent := 0
		if f.cut >= 0 {
			silent = 1
		}
		l.SetFleetState(f.now, FleetState{Members: len(f.limiters), Silent: silent, CutOff: i == f.cut, TotalDemand: totals})
	}
}

// admit admits a request at an instance, which borrows a token of another one of
// its region if it has none.
func (f *fleet) admit(i int, limit configuration.Organisation) bool {
	if ok, _ := f.limiters[i].Admit(f.now, limit); ok {
		return true
	}
	lender, most := -1, 0.0
	for j, l := range f.limiters {
		if spare := l.SpareTokens(f.now)["o"]; j != i && j%f.regions == i%f.regions && i != f.cut && j != f.cut && spare > most {
			lender, most = j, spare
		}
	}
	return lender >= 0 && f.limiters[lender].Lend(f.now, "o")
}

// Guards against an organisation that gets more than its rate and burst over all
// instances, while its demand moves between them and one is cut off.
func TestFleetKeepsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "instances")
		limit := configuration.Organisation{Name: "o", Rate: rapid.Float64Range(2, 200).Draw(t, "rate"), Burst: rapid.Float64Range(2, 200).Draw(t, "burst")}
		f := newFleet(n)
		if rapid.Bool().Draw(t, "cut") {
			f.cut = rapid.IntRange(0, n-1).Draw(t, "instance cut off")
		}
		var admitted []time.Time
		for range 8 {
			rates := rapid.SliceOfN(rapid.Float64Range(0, 3*limit.Rate), n, n).Draw(t, "demand per instance")
			for range int(1500 * time.Millisecond / tick) {
				f.now = f.now.Add(tick)
				f.report()
				for i := range f.limiters {
					for range whole(rates[i]*tick.Seconds(), f.now, i) {
						if f.admit(i, limit) {
							admitted = append(admitted, f.now)
						}
					}
				}
			}
		}
		most := (limit.Rate*window.Seconds()+limit.Burst)*(1+overage) + slack
		if got := busiest(admitted); float64(got) > most {
			t.Fatalf("%d requests in %s, at most %.1f", got, window, most)
		}
	})
}

// whole spreads a fraction evenly over ticks, at another phase for each instance.
func whole(x float64, now time.Time, i int) int {
	k := float64(now.UnixNano() / int64(tick) % 1_000_000)
	phase := float64(i*7%10) / 10
	return int(math.Floor((k+1)*x+phase) - math.Floor(k*x+phase))
}

func busiest(times []time.Time) int {
	most, from := 0, 0
	for to := range times {
		for times[to].Sub(times[from]) > window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// Guards against refusals inside the limit when one instance has more than half
// of the demand.
func TestDemandMovesParts(t *testing.T) {
	limit := configuration.Organisation{Name: "o", Rate: 160, Burst: 160}
	f := newFleet(4)
	rates := []float64{55, 15, 15, 15}
	refused := 0
	for step := range int(20 * time.Second / tick) {
		f.now = f.now.Add(tick)
		f.report()
		for i, l := range f.limiters {
			for range whole(rates[i]*tick.Seconds(), f.now, i) {
				// The first seconds measure the demand.
				if ok, _ := l.Admit(f.now, limit); !ok && step > int(5*time.Second/tick) {
					refused++
				}
			}
		}
	}
	if refused > 0 {
		t.Errorf("%d requests refused inside the limit", refused)
	}
}

// Guards against refusals of the first requests after a long start, and against
// a restarted process that has the burst of the one before it.
func TestBucketFillsFromTheStart(t *testing.T) {
	limit := configuration.Organisation{Name: "o", Rate: 10, Burst: 20}
	for _, test := range []struct {
		up   time.Duration
		want int
	}{{0, 0}, {time.Second, 10}, {time.Minute, 20}} {
		start := time.Unix(1000, 0)
		l, admitted := New(start), 0
		l.SetFleetState(start, FleetState{Members: 1})
		for range 100 {
			if ok, _ := l.Admit(start.Add(test.up), limit); ok {
				admitted++
			}
		}
		if admitted != test.want {
			t.Errorf("%d requests admitted %s after the start, want %d", admitted, test.up, test.want)
		}
	}
}

// Guards against refusals inside the limit of a small organisation whose requests
// come unevenly to many instances: 20 to 30% on stw-tamarack-grown.
func TestSmallOrganisationOfLargeFleet(t *testing.T) {
	limit := configuration.Organisation{Name: "o", Rate: 45, Burst: 45}
	const n, demand = 31, 17.0
	f, random := newFleet(n), rand.New(rand.NewPCG(1, 2))
	f.regions = 3
	asked, refused := 0, 0
	for range int(30 * time.Second / tick) {
		f.now = f.now.Add(tick)
		f.report()
		for i := range f.limiters {
			if random.Float64() < demand/n*tick.Seconds() {
				asked++
				if !f.admit(i, limit) {
					refused++
				}
			}
		}
	}
	if most := asked / 20; refused > most {
		t.Errorf("%d of %d requests refused, at most %d", refused, asked, most)
	}
}

// Guards against instances of a large fleet that all take a larger part before they
// know that the others do (QUOTA on hollowmere-run-grown, killed-fleet with seed
// 762207644729: the demand grows to 7.5 times its usual at once).
func TestLimitHoldsWhenDemandJumps(t *testing.T) {
	limit := configuration.Organisation{Name: "o", Rate: 223, Burst: 223}
	const n, usual = 22, 140.0
	f := newFleet(n)
	f.delay = 550 * time.Millisecond
	var admitted []time.Time
	for step := range int(16 * time.Second / tick) {
		f.now = f.now.Add(tick)
		f.report()
		rate := usual / n
		if step > int(8*time.Second/tick) {
			rate *= 7.5
		}
		for i := range f.limiters {
			for range whole(rate*tick.Seconds(), f.now, i) {
				if f.admit(i, limit) {
					admitted = append(admitted, f.now)
				}
			}
		}
	}
	most := (limit.Rate*window.Seconds()+limit.Burst)*(1+overage) + slack
	if got := busiest(admitted); float64(got) > most {
		t.Errorf("%d requests in %s, at most %.1f", got, window, most)
	}
}

// Guards against a limit that is not used up by an organisation that is over it,
// because instances without demand keep parts.
func TestLimitIsUsedUp(t *testing.T) {
	limit := configuration.Organisation{Name: "o", Rate: 20, Burst: 20}
	f := newFleet(7)
	rates := []float64{0, 15, 10, 10, 5, 5, 2}
	admitted := 0
	const from, to = 5 * time.Second, 25 * time.Second
	for step := range int(to / tick) {
		f.now = f.now.Add(tick)
		f.report()
		for i, l := range f.limiters {
			for range whole(rates[i]*tick.Seconds(), f.now, i) {
				if ok, _ := l.Admit(f.now, limit); ok && time.Duration(step)*tick > from {
					admitted++
				}
			}
		}
	}
	if want := limit.Rate * (to - from).Seconds(); float64(admitted) < 0.95*want {
		t.Errorf("%d requests admitted, the limit allows %.0f", admitted, want)
	}
}

// Guards against refusals inside the limit after all processes were killed, seen
// in both incidents, and against more than the bound when that happens twice.
func TestKilledFleetStaysInBound(t *testing.T) {
	limit := configuration.Organisation{Name: "o", Rate: 60, Burst: 60}
	const n = 7
	tests := map[string]struct {
		// rate is the demand at each instance after the first kill.
		rate float64
		// refused is the most refusals in the 0.3 s after it.
		refused int
	}{
		"demand below the limit": {6, 0},
		"demand above the limit": {18, math.MaxInt},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFleet(n)
			var admitted []time.Time
			refused := 0
			for step := range int(14 * time.Second / tick) {
				f.now = f.now.Add(tick)
				at := time.Duration(step) * tick
				if at == 8*time.Second || at == 11*time.Second {
					f.kill()
				}
				f.report()
				rate := 6.0
				if at >= 8*time.Second {
					rate = test.rate
				}
				for i := range f.limiters {
					for range whole(rate*tick.Seconds(), f.now, i) {
						if f.admit(i, limit) {
							admitted = append(admitted, f.now)
						} else if at >= 8*time.Second && at < 8300*time.Millisecond {
							refused++
						}
					}
				}
			}
			most := (limit.Rate*window.Seconds()+limit.Burst)*(1+overage) + slack
			if got := busiest(admitted); float64(got) > most {
				t.Errorf("%d requests in %s, at most %.1f", got, window, most)
			}
			if refused > test.refused {
				t.Errorf("%d requests refused just after the kill", refused)
			}
		})
	}
}

// kill replaces all limiters by those of new processes, which have heard of the
// others but not from them.
func (f *fleet) kill() {
	for i := range f.limiters {
		f.limiters[i] = newLimiter(f.now)
		f.limiters[i].SetFleetState(f.now, FleetState{Members: len(f.limiters), CutOff: true})
	}
	f.reports = nil
}

func TestRefusalSaysWhenToReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(now.Add(-time.Second))
	limit := configuration.Organisation{Name: "o", Rate: 2, Burst: 1}
	l.SetFleetState(now, FleetState{Members: 1})
	if ok, _ := l.Admit(now, limit); !ok {
		t.Fatal("the first request is refused")
	}
	ok, after := l.Admit(now, limit)
	if ok || after <= 0 || after > time.Second {
		t.Fatalf("admitted %v, return after %s", ok, after)
	}
	if ok, _ := l.Admit(now.Add(after+time.Millisecond), limit); !ok {
		t.Error("the request is refused when it comes back")
	}
}
