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
	// reportDelay is the age of reports when they are used: a report interval and
	// the network delay between regions.
	reportDelay = 300 * time.Millisecond
	tick        = 20 * time.Millisecond
	window      = 5 * time.Second
	// The fleet may admit at most (rate x window + burst) x (1 + overage) + slack
	// requests in any window.
	overage = 0.1
	slack   = 20.0
)

// simulatedFleet is a set of limiters whose reports arrive late.
type simulatedFleet struct {
	limiters []*Limiter
	// regions is the number of regions. Only instances of the same region lend to
	// each other.
	regions int
	// cutOff is the index of the instance that is cut off, or -1.
	cutOff int
	now    time.Time
	// reports holds the latest demands by instance and organisation.
	reports    []map[string]float64
	nextReport time.Time
	// reportInterval is the time between two reports.
	reportInterval time.Duration
}

func newFleet(n int) *simulatedFleet {
	f := &simulatedFleet{now: time.Unix(1000, 0), cutOff: -1, regions: 1, reportInterval: reportDelay}
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

// report computes the shares from the previous reports, because messages take time.
func (f *simulatedFleet) report() {
	if f.now.Before(f.nextReport) {
		return
	}
	f.nextReport = f.now.Add(f.reportInterval)
	previous := f.reports
	f.reports = nil
	for i, l := range f.limiters {
		own := l.ReportDemand(f.now)
		f.reports = append(f.reports, own)
		totals := map[string]float64{"o": own["o"]}
		for j := range previous {
			if i != j && i != f.cutOff && j != f.cutOff {
				totals["o"] += previous[j]["o"]
			}
		}
		silent := 0
		if f.cutOff >= 0 {
			silent = 1
		}
		l.SetFleetState(f.now, FleetState{Members: len(f.limiters), Silent: silent, CutOff: i == f.cutOff,
			TotalDemand: func(organisation string) float64 { return totals[organisation] }})
	}
}

// admit reports whether an instance admits a request. An instance without a token
// borrows one from another instance of its region.
func (f *simulatedFleet) admit(i int, limit configuration.Organisation) bool {
	if ok, _ := f.limiters[i].Admit(f.now, limit); ok {
		return true
	}
	lender, mostSpare := -1, 0.0
	for j, l := range f.limiters {
		if spare := l.SpareTokens(f.now)["o"]; j != i && j%f.regions == i%f.regions && i != f.cutOff && j != f.cutOff && spare > mostSpare {
			lender, mostSpare = j, spare
		}
	}
	return lender >= 0 && f.limiters[lender].Lend(f.now, "o")
}

// Guards against the instances together admitting more than an organisation's rate
// and burst while its demand moves between them and one of them is cut off.
func TestFleetStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "instances")
		limit := configuration.Organisation{
			Name:  "o",
			Rate:  rapid.Float64Range(2, 200).Draw(t, "rate"),
			Burst: rapid.Float64Range(2, 200).Draw(t, "burst"),
		}
		f := newFleet(n)
		if rapid.Bool().Draw(t, "cut") {
			f.cutOff = rapid.IntRange(0, n-1).Draw(t, "instance cut off")
		}
		var admitted []time.Time
		for range 8 {
			rates := rapid.SliceOfN(rapid.Float64Range(0, 3*limit.Rate), n, n).Draw(t, "demand per instance")
			for range int(1500 * time.Millisecond / tick) {
				f.now = f.now.Add(tick)
				f.report()
				for i := range f.limiters {
					for range requestsInTick(rates[i]*tick.Seconds(), f.now, i) {
						if f.admit(i, limit) {
							admitted = append(admitted, f.now)
						}
					}
				}
			}
		}
		most := (limit.Rate*window.Seconds()+limit.Burst)*(1+overage) + slack
		if got := maxInWindow(admitted); float64(got) > most {
			t.Fatalf("%d requests in %s, at most %.1f", got, window, most)
		}
	})
}

// requestsInTick returns the whole number of requests in the present tick. It spreads
// a fractional number per tick evenly over ticks, with a different phase for each
// instance.
func requestsInTick(perTick float64, now time.Time, instance int) int {
	k := float64(now.UnixNano() / int64(tick) % 1_000_000)
	phase := float64(instance*7%10) / 10
	return int(math.Floor((k+1)*perTick+phase) - math.Floor(k*perTick+phase))
}

// maxInWindow returns the largest number of requests admitted in any window.
func maxInWindow(admitted []time.Time) int {
	most, from := 0, 0
	for to := range admitted {
		for admitted[to].Sub(admitted[from]) > window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

// Guards against refusals within the limit when one instance gets more than half of
// the demand.
func TestSharesFollowDemand(t *testing.T) {
	limit := configuration.Organisation{Name: "o", Rate: 160, Burst: 160}
	f := newFleet(4)
	rates := []float64{55, 15, 15, 15}
	refused := 0
	for step := range int(20 * time.Second / tick) {
		f.now = f.now.Add(tick)
		f.report()
		for i, l := range f.limiters {
			for range requestsInTick(rates[i]*tick.Seconds(), f.now, i) {
				// Refusals in the first 5 s do not count: the demand estimate has not settled.
				if ok, _ := l.Admit(f.now, limit); !ok && step > int(5*time.Second/tick) {
					refused++
				}
			}
		}
	}
	if refused > 0 {
		t.Errorf("%d requests refused within the limit, want none", refused)
	}
}

// Guards against refusing the first requests long after the start of the process, and
// against a restarted process that admits the burst of its predecessor again.
func TestBucketFillsFromProcessStart(t *testing.T) {
	limit := configuration.Organisation{Name: "o", Rate: 10, Burst: 20}
	for _, test := range []struct {
		uptime time.Duration
		want   int
	}{{0, 0}, {time.Second, 10}, {time.Minute, 20}} {
		start := time.Unix(1000, 0)
		l, admitted := New(start), 0
		l.SetFleetState(start, FleetState{Members: 1})
		for range 100 {
			if ok, _ := l.Admit(start.Add(test.uptime), limit); ok {
				admitted++
			}
		}
		if admitted != test.want {
			t.Errorf("%d requests admitted %s after the start, want %d", admitted, test.uptime, test.want)
		}
	}
}

// Guards against refusals within the limit of a small organisation whose requests
// spread unevenly over many instances: 20 to 30% were refused on the
// deployment stw-tamarack-grown.
func TestSmallOrganisationOnLargeFleet(t *testing.T) {
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

// Guards against the instances of a large fleet all raising their shares at once,
// before each knows that the others do (QUOTA on hollowmere-run-grown, killed-fleet
// with seed 762207644729: the demand suddenly grows to 7.5 times its usual value).
func TestLimitHoldsWhenDemandRises(t *testing.T) {
	limit := configuration.Organisation{Name: "o", Rate: 223, Burst: 223}
	const n, usual = 22, 140.0
	f := newFleet(n)
	f.reportInterval = 550 * time.Millisecond
	var admitted []time.Time
	for step := range int(16 * time.Second / tick) {
		f.now = f.now.Add(tick)
		f.report()
		rate := usual / n
		if step > int(8*time.Second/tick) {
			rate *= 7.5
		}
		for i := range f.limiters {
			for range requestsInTick(rate*tick.Seconds(), f.now, i) {
				if f.admit(i, limit) {
					admitted = append(admitted, f.now)
				}
			}
		}
	}
	most := (limit.Rate*window.Seconds()+limit.Burst)*(1+overage) + slack
	if got := maxInWindow(admitted); float64(got) > most {
		t.Errorf("%d requests in %s, at most %.1f", got, window, most)
	}
}

// Guards against an organisation that is over its limit getting less than the limit,
// because instances without demand keep their shares.
func TestFullLimitIsUsable(t *testing.T) {
	limit := configuration.Organisation{Name: "o", Rate: 20, Burst: 20}
	f := newFleet(7)
	rates := []float64{0, 15, 10, 10, 5, 5, 2}
	admitted := 0
	const from, to = 5 * time.Second, 25 * time.Second
	for step := range int(to / tick) {
		f.now = f.now.Add(tick)
		f.report()
		for i, l := range f.limiters {
			for range requestsInTick(rates[i]*tick.Seconds(), f.now, i) {
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

// Guards against refusals within the limit after all processes were killed, as seen in
// two incidents, and against exceeding the bound when they are killed twice.
func TestRestartedFleetStaysWithinBound(t *testing.T) {
	limit := configuration.Organisation{Name: "o", Rate: 60, Burst: 60}
	const n = 7
	tests := map[string]struct {
		// rate is the demand on each instance after the first kill, in requests per
		// second.
		rate float64
		// refused is the highest allowed number of refusals in the 0.3 s after the
		// first kill.
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
					f.restartAll()
				}
				f.report()
				rate := 6.0
				if at >= 8*time.Second {
					rate = test.rate
				}
				for i := range f.limiters {
					for range requestsInTick(rate*tick.Seconds(), f.now, i) {
						if f.admit(i, limit) {
							admitted = append(admitted, f.now)
						} else if at >= 8*time.Second && at < 8300*time.Millisecond {
							refused++
						}
					}
				}
			}
			most := (limit.Rate*window.Seconds()+limit.Burst)*(1+overage) + slack
			if got := maxInWindow(admitted); float64(got) > most {
				t.Errorf("%d requests in %s, at most %.1f", got, window, most)
			}
			if refused > test.refused {
				t.Errorf("%d requests refused just after the kill", refused)
			}
		})
	}
}

// restartAll replaces all limiters by those of new processes, which know the number
// of instances but have no report from them.
func (f *simulatedFleet) restartAll() {
	for i := range f.limiters {
		f.limiters[i] = newLimiter(f.now)
		f.limiters[i].SetFleetState(f.now, FleetState{Members: len(f.limiters), CutOff: true})
	}
	f.reports = nil
}

// Guards against a retry delay after which a request is refused again.
func TestRefusalReportsRetryDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	l := New(now.Add(-time.Second))
	limit := configuration.Organisation{Name: "o", Rate: 2, Burst: 1}
	l.SetFleetState(now, FleetState{Members: 1})
	if ok, _ := l.Admit(now, limit); !ok {
		t.Fatal("the first request is refused")
	}
	ok, after := l.Admit(now, limit)
	if ok || after <= 0 || after > time.Second {
		t.Fatalf("admitted %v, retry after %s; want a refusal and a delay of at most 1 s", ok, after)
	}
	if ok, _ := l.Admit(now.Add(after+time.Millisecond), limit); !ok {
		t.Error("the request is refused when it is retried after the reported delay")
	}
}

// Pattern: many small organisations on a large fleet. Guards against refusals within the limit
// because it is split into fractions of tokens: 119 instances refused 8 in 100 requests of
// organisations inside their limits (quiet-1 of the large deployment, 15,599 refusals).
func TestConcentratedLimitIsUsable(t *testing.T) {
	const n, regions = 119, 3
	limit := configuration.Organisation{Name: "o", Rate: 22, Burst: 22}
	random := rand.New(rand.NewPCG(3, 4))
	for name, test := range map[string]struct {
		// demand is the rate of requests, and want the least part that is admitted.
		demand, want float64
		// oneRegion is true if all requests arrive in one region.
		oneRegion bool
	}{
		"within the limit":                      {14, 0.99, false},
		"within the limit, from one region":     {14, 0.99, true},
		"three times the limit is fully usable": {66, 0.95 * 22 / 66, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newConcentratedFleet(n, regions)
			var admitted []time.Time
			asked, counted := 0, 0
			for step := range int(30 * time.Second / tick) {
				f.now = f.now.Add(tick)
				f.report()
				for range n {
					if random.Float64() >= test.demand/n*tick.Seconds() {
						continue
					}
					region := random.IntN(regions)
					if test.oneRegion {
						region = 0
					}
					ok := f.admit(region, limit)
					if ok {
						admitted = append(admitted, f.now)
					}
					// The first seconds show how soon the shares follow the demand.
					if step >= int(5*time.Second/tick) {
						asked++
						if ok {
							counted++
						}
					}
				}
			}
			if got := float64(counted) / float64(asked); got < test.want {
				t.Errorf("%.3f of %d requests admitted, want %.3f", got, asked, test.want)
			}
			most := (limit.Rate*window.Seconds()+limit.Burst)*(1+overage) + slack
			if got := maxInWindow(admitted); float64(got) > most {
				t.Errorf("%d requests in %s, at most %.1f", got, window, most)
			}
		})
	}
}

// concentratedFleet has one limiter for each region: those of the holders of an organisation.
type concentratedFleet struct {
	holders []*Limiter
	members int
	now     time.Time
	// reports holds the demands of the latest rounds, the newest last.
	reports    [][]float64
	nextReport time.Time
	// holds reports whether a limiter's instance is the holder in its own view.
	holds func(i int) bool
}

func newConcentratedFleet(members, regions int) *concentratedFleet {
	f := &concentratedFleet{now: time.Unix(1000, 0), members: members, holds: func(int) bool { return true }}
	for range regions {
		f.holders = append(f.holders, newLimiter(f.now))
	}
	return f
}

// reportHops is the number of reports that pass until all instances know a demand.
const reportHops = 3

// report lets each limiter know the demands of the others reportHops intervals later.
func (f *concentratedFleet) report() { f.reportAs(len(f.holders), nil) }

// admit asks the holder of the region, and within the limit that of another region.
func (f *concentratedFleet) admit(region int, limit configuration.Organisation) bool {
	if ok, _ := f.holders[region].Admit(f.now, limit); ok {
		return true
	}
	if !f.holders[region].WithinLimit(limit) {
		return false
	}
	ok, _ := f.holders[(region+1)%len(f.holders)].Admit(f.now, limit)
	return ok
}

// Guards against a limit that is exceeded while the holders change: for a while two instances
// of a region may both count as holder, and the new one must not start with a full bucket.
func TestLimitHoldsWhileHoldersChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const regions = 3
		limit := configuration.Organisation{Name: "o", Rate: rapid.Float64Range(1, 59).Draw(t, "rate")}
		limit.Burst = limit.Rate * rapid.Float64Range(0.2, 2).Draw(t, "burst")
		f := newConcentratedFleet(119, 2*regions)
		// The limiters from regions on are those of the next holders. Each change overlaps by
		// up to 1.5 s, three report intervals.
		changeAt := make([]time.Time, regions)
		for i := range changeAt {
			changeAt[i] = f.now.Add(time.Duration(rapid.IntRange(4000, 8000).Draw(t, "change")) * time.Millisecond)
		}
		overlap := time.Duration(rapid.IntRange(0, 1500).Draw(t, "overlap")) * time.Millisecond
		holdsOld := func(r int) bool { return f.now.Before(changeAt[r].Add(overlap)) }
		holdsNew := func(r int) bool { return !f.now.Before(changeAt[r]) }
		f.holds = func(i int) bool {
			if i < regions {
				return holdsOld(i)
			}
			return holdsNew(i - regions)
		}
		demand := rapid.Float64Range(0, 4*limit.Rate).Draw(t, "demand")
		var admitted []time.Time
		carry := 0.0
		for range int(14 * time.Second / tick) {
			f.now = f.now.Add(tick)
			f.reportAs(regions, changeAt)
			for carry += demand * tick.Seconds(); carry >= 1; carry-- {
				r := len(admitted) % regions
				if holdsOld(r) {
					if ok, _ := f.holders[r].Admit(f.now, limit); ok {
						admitted = append(admitted, f.now)
					}
				}
				if holdsNew(r) {
					if ok, _ := f.holders[regions+r].Admit(f.now, limit); ok {
						admitted = append(admitted, f.now)
					}
				}
			}
		}
		most := (limit.Rate*window.Seconds()+limit.Burst)*(1+overage) + slack
		if got := maxInWindow(admitted); float64(got) > most {
			t.Fatalf("%d requests in %s, at most %.1f", got, window, most)
		}
	})
}

// reportAs is report for a fleet with the given number of regions, in which the holders from
// there on hold their limits since changeAt.
func (f *concentratedFleet) reportAs(regions int, changeAt []time.Time) {
	if f.now.Before(f.nextReport) {
		return
	}
	f.nextReport = f.now.Add(500 * time.Millisecond)
	demands := make([]float64, len(f.holders))
	for i, l := range f.holders {
		demands[i] = l.ReportDemand(f.now)["o"]
	}
	f.reports = append(f.reports, demands)
	known := f.reports[max(0, len(f.reports)-1-reportHops)]
	for i, l := range f.holders {
		sum := demands[i] - known[i]
		for _, d := range known {
			sum += d
		}
		since := l.started
		if i >= regions {
			since = changeAt[i-regions]
		}
		l.SetFleetState(f.now, FleetState{Members: f.members, Regions: regions, ReportHops: reportHops,
			Holds: func(string) bool { return f.holds(i) }, HeldSince: since, TotalDemand: func(string) float64 { return sum }})
	}
}
