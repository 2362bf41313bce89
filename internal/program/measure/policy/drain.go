package policy

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	drainRuns = 400
	// pollEvery is how often a home asks its servers, orderEvery how often
	// instances read the operators' drain orders, heartbeatEvery how often
	// entry instances hear of it.
	pollEvery      = time.Second
	orderEvery     = 2 * time.Second
	heartbeatEvery = 500 * time.Millisecond
	// lookupMargin is added to the lifetime of look-up answers.
	lookupMargin = time.Second
)

// drains computes drain times from the rules, over random phases of the polls
// and the rest of a request of up to one and a half mean services. The baseline
// waits for fixed times: the route's timeout for a server, and for an instance
// also the lifetime of the answers.
func drains(seed uint64, u user) []Row {
	random := rand.New(rand.NewPCG(seed, 1))
	phase := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	timeout := time.Duration(0)
	for _, r := range u.Routes {
		if r.Service == u.main {
			timeout = r.Timeout
		}
	}
	rest := func() time.Duration {
		longest := time.Duration(0)
		for range u.slots() {
			longest = max(longest, phase(uniform(random, service)))
		}
		return longest
	}
	lifetime := u.Fleet.LookupLifetime + lookupMargin
	var rows []Row
	for _, c := range []struct {
		name string
		one  func() time.Duration
		base time.Duration
	}{
		{"server, says so itself", func() time.Duration { return phase(pollEvery) + rest() }, pollEvery + timeout},
		{"server, operator's order", func() time.Duration { return phase(orderEvery) + rest() }, orderEvery + timeout},
		{"instance, SIGTERM", func() time.Duration { return phase(heartbeatEvery) + lifetime + rest() }, lifetime + heartbeatEvery + timeout},
	} {
		times := make([]time.Duration, drainRuns)
		for i := range times {
			times[i] = c.one()
		}
		slices.Sort(times)
		rows = append(rows, Row{Case: c.name, Measure: "median", Unit: "s", Policy: times[drainRuns/2].Seconds(), Baseline: c.base.Seconds()},
			Row{Case: c.name, Measure: "longest", Unit: "s", Policy: times[drainRuns-1].Seconds(), Baseline: c.base.Seconds()})
	}
	return label("drain", u, rows)
}
