package instance_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"tamarackrun/internal/coordination/rate"
	"tamarackrun/internal/standin/fleet"
	"tamarackrun/internal/standin/platform"
)

// BenchmarkRefusedInsideRate measures how many requests are refused although
// the organisation is within its rate, with all demand on one of 7 instances.
// It compares this with one bucket for the whole fleet as the ideal, and with a
// bucket of 1/7 of the limit as the baseline. Run it with -benchtime 1x.
func BenchmarkRefusedInsideRate(b *testing.B) {
	for _, limit := range []fleet.Rate{{Rate: 200, Burst: 100}, {Rate: 20, Burst: 5}} {
		for _, demand := range []float64{0.5, 0.8, 0.9} {
			for _, failure := range []string{"none", "killed", "frozen", "outage", "moved", "entryKilled"} {
				b.Run(fmt.Sprintf("rate=%g/burst=%g/demand=%g/failure=%s", limit.Rate, limit.Burst, demand, failure), func(b *testing.B) {
					measureRefused(b, limit, demand, failure)
				})
			}
		}
	}
}

const (
	warmUpTime  = 3 * time.Second
	measureTime = 15 * time.Second
)

func measureRefused(b *testing.B, limit fleet.Rate, demand float64, failure string) {
	f, cleanup, err := fleet.Start(b.Context(), fleet.Options{Directory: b.TempDir(), Binary: binary, Instances: 7,
		Regions: []int{2, 2, 2}, Services: browseService(100), Organisations: map[string]fleet.Rate{"tea": limit}})
	if err != nil {
		b.Fatal(err)
	}
	defer cleanup()
	awaitShares(b, f, 7)
	time.Sleep(warmUpTime)
	ctx, stop := context.WithTimeout(b.Context(), measureTime)
	defer stop()
	l := newLoad(f, 0, demand*limit.Rate)
	go injectFailure(b, f, l, failure)
	l.run(ctx, 1, "bench")
	refused := float64(l.outcomes["notRun rateExceeded"])
	ideal := refusedBy(l.arrivals, limit, 1)
	sent := float64(len(l.arrivals))
	b.ReportMetric(sent, "requests")
	b.ReportMetric(100*max(0, refused-ideal)/sent, "%refused")
	b.ReportMetric(100*(refusedBy(l.arrivals, limit, 7)-ideal)/sent, "%baseline")
	c := f.Platform.Counts()
	b.ReportMetric(float64(c.Reads), "reads")
	b.ReportMetric(float64(c.Writes), "writes")
	b.Logf("%v, ideal refuses %g", l.outcomes, ideal)
}

// injectFailure causes the failure a third into the measurement.
func injectFailure(t testing.TB, f *fleet.Fleet, l *load, failure string) {
	t.Helper()
	time.Sleep(measureTime / 3)
	switch failure {
	case "killed":
		f.Instances[3].Kill()
	case "frozen":
		expectSignaled(t, f.Instances[3].Pause())
		time.Sleep(measureTime / 3)
		expectSignaled(t, f.Instances[3].Resume())
	case "outage":
		f.Platform.SetFaults(platform.Faults{Outage: true})
	case "moved":
		l.moveTo(f.Instances[1].Listing.CallerAddress)
	case "entryKilled":
		l.moveTo(f.Instances[1].Listing.CallerAddress)
		f.Instances[0].Kill()
	}
}

// refusedBy replays arrivals against one full bucket with 1/divisor of the limit
// and returns the number of refusals.
func refusedBy(arrivals []time.Time, limit fleet.Rate, divisor float64) float64 {
	const filled = time.Hour
	bucket := rate.New(rate.Limit{Rate: limit.Rate / divisor, Burst: limit.Burst / divisor}, 0)
	bucket.SetShareExpiry(0, 2*filled, 2*filled)
	bucket.SetShare(0, rate.Whole/2, rate.Whole/2)
	refused := 0.0
	for _, at := range arrivals {
		if !bucket.Admit(filled + at.Sub(arrivals[0])) {
			refused++
		}
	}
	return refused
}
