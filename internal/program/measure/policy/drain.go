package policy

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	drainSamples = 400
	// pollInterval is how often a home polls its servers, orderInterval how often
	// instances read the operators' drain orders, and heartbeatInterval how often
	// entry instances learn of a stopping instance.
	pollInterval      = time.Second
	orderInterval     = 2 * time.Second
	heartbeatInterval = 500 * time.Millisecond
	// lookupMargin is added to the lifetime of look-up answers.
	lookupMargin = time.Second
)

// drainRows computes drain times by the rules, with random phases of the intervals
// and random remaining times of the running requests, which take up to one and a half
// times the mean. The baseline waits for fixed times: the route's timeout for a
// server, and for an instance also the lifetime of look-up answers.
func drainRows(seed uint64, u user) []Row {
	random := rand.New(rand.NewPCG(seed, 1))
	phase := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	timeout := time.Duration(0)
	for _, r := range u.Routes {
		if r.Service == u.mainService {
			timeout = r.Timeout
		}
	}
	remainingWork := func() time.Duration {
		longest := time.Duration(0)
		for range u.slots() {
			longest = max(longest, phase(uniform(random, meanServiceTime)))
		}
		return longest
	}
	lifetime := u.Fleet.LookupLifetime + lookupMargin
	var rows []Row
	for _, c := range []struct {
		name   string
		sample func() time.Duration
		base   time.Duration
	}{
		{"server, says so itself", func() time.Duration { return phase(pollInterval) + remainingWork() }, pollInterval + timeout},
		{"server, operator's order", func() time.Duration { return phase(orderInterval) + remainingWork() }, orderInterval + timeout},
		{"instance, SIGTERM", func() time.Duration { return phase(heartbeatInterval) + lifetime + remainingWork() },
			lifetime + heartbeatInterval + timeout},
	} {
		times := make([]time.Duration, drainSamples)
		for i := range times {
			times[i] = c.sample()
		}
		slices.Sort(times)
		rows = append(rows,
			Row{Case: c.name, Measure: "median", Unit: "s", Policy: times[drainSamples/2].Seconds(), Baseline: c.base.Seconds()},
			Row{Case: c.name, Measure: "longest", Unit: "s", Policy: times[drainSamples-1].Seconds(), Baseline: c.base.Seconds()})
	}
	return labelRows("drain", u, rows)
}
