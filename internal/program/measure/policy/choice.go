package policy

import (
	"math/rand/v2"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/health"
	"tamarackrun/internal/coordination/retry"
	"tamarackrun/internal/coordination/slot"
)

const (
	choiceDuration = 60 * time.Second
	choiceLoad     = 0.45
	faultTime      = 10 * time.Second
	reportInterval = 3 * time.Second
	// todaysReportInterval is the interval of today's heartbeats, which carry the
	// reports.
	todaysReportInterval = 500 * time.Millisecond
	// shedPerSlot is how many requests per slot a server without admission control
	// runs at a time before it sheds.
	shedPerSlot = 4
	failureTime = time.Millisecond
	// maxAttempts is the largest number of attempts of one request.
	maxAttempts = 3
)

// backend is a backend server behind its home. Without admission control it runs
// all requests at once, each slower in proportion to the load over the slots.
type backend struct {
	gate     *slot.Gate
	tracker  health.Tracker
	inFlight int
	reported int
	failing  bool
}

// serviceSim simulates a service in one region with its entry instances.
type serviceSim struct {
	*simulation
	slots      int
	withPolicy bool
	// ownOnly ranks servers by the entry instance's own requests alone, without
	// the reports.
	ownOnly     bool
	servers     []*backend
	roundRobin  [instanceCount]int
	ownInFlight [instanceCount][]int
	retries     [instanceCount]retry.Budget
	latency     latencies
	load        latencies
	failed      int
	total       int
	maxOverload int
	inFlight    int
}

type choiceFault int

const (
	noFault choiceFault = iota
	misleadingServer
	lostDomain
)

func newServiceSim(seed uint64, u user, withPolicy bool, fault choiceFault, reportInterval time.Duration, ownOnly bool) *serviceSim {
	f := &serviceSim{simulation: newSimulation(seed), slots: u.slots(), withPolicy: withPolicy, ownOnly: ownOnly, latency: newLatencies(), load: newLatencies()}
	var domains []string
	for _, v := range u.ServersOf(u.mainService) {
		f.servers = append(f.servers, &backend{gate: slot.New(f.slots, f)})
		domains = append(domains, v.Domain)
	}
	for i := range f.ownInFlight {
		f.ownInFlight[i] = make([]int, len(f.servers))
	}
	f.after(faultTime, func() {
		for i, v := range f.servers {
			v.failing = fault == misleadingServer && i == 0 || fault == lostDomain && domains[i] == domains[0]
		}
	})
	// A failing server reports too, namely that it is idle.
	f.every(reportInterval, func() {
		for _, v := range f.servers {
			v.reported = v.inFlight
		}
	})
	f.every(10*time.Millisecond, func() { f.load.add(time.Duration(f.inFlight+1) * time.Millisecond) })
	requestRate := choiceLoad * float64(f.slots*len(f.servers)) / meanServiceTime.Seconds()
	f.poisson(seed, 1, requestRate, func(r *rand.Rand) {
		f.total++
		f.attempt(r.IntN(instanceCount), uniform(r, meanServiceTime), f.now, 1)
	})
	f.runUntil(choiceDuration)
	return f
}

// pickServer returns the server for a request. The policy is power of two choices
// among the servers with free slots by reports and own requests, the baseline round
// robin among the servers that report free slots.
func (f *serviceSim) pickServer(entry int) int {
	n := len(f.servers)
	if !f.withPolicy {
		for range n {
			f.roundRobin[entry]++
			if v := f.servers[f.roundRobin[entry]%n]; v.reported < f.slots {
				break
			}
		}
		return f.roundRobin[entry] % n
	}
	var usable, room []int
	for i, v := range f.servers {
		switch {
		case v.tracker.ProbeDue(f.now):
			return i
		case v.tracker.Ejected():
			continue
		case f.estimatedLoad(entry, i) < f.slots:
			room = append(room, i)
		}
		usable = append(usable, i)
	}
	if len(room) > 0 {
		usable = room
	}
	a, b := usable[f.random.IntN(len(usable))], usable[f.random.IntN(len(usable))]
	if f.estimatedLoad(entry, b) < f.estimatedLoad(entry, a) {
		return b
	}
	return a
}

func (f *serviceSim) estimatedLoad(entry, i int) int {
	if f.ownOnly {
		return f.ownInFlight[entry][i]
	}
	return max(f.servers[i].reported, f.ownInFlight[entry][i])
}

func (f *serviceSim) attempt(entry int, serviceTime, arrived time.Duration, attempt int) {
	f.retries[entry].CountRequest(f.now)
	i := f.pickServer(entry)
	v := f.servers[i]
	end := func(ran bool) {
		f.ownInFlight[entry][i]--
		switch {
		case ran:
			f.latency.add(f.now - arrived)
		case attempt < maxAttempts && f.withPolicy && f.retries[entry].AllowRetry(f.now):
			f.attempt(entry, serviceTime, arrived, attempt+1)
		default:
			f.failed++
		}
	}
	f.ownInFlight[entry][i]++
	if !f.withPolicy {
		f.runWithoutAdmission(v, serviceTime, end)
		return
	}
	admitted, probe := v.tracker.Admit(f.now, true)
	if !admitted {
		end(false)
		return
	}
	request := slot.Request{Organisation: "o", Weight: 1, Cost: serviceTime, Deadline: f.now + slotTimeout}
	f.awaitSlot(v, v.gate.Submit(request), serviceTime, probe, end)
}

// awaitSlot waits for the slot in steps of 1 ms and runs the request then.
func (f *serviceSim) awaitSlot(v *backend, pending *slot.Pending, serviceTime time.Duration, probe bool, end func(bool)) {
	outcome, answered := pending.Poll()
	switch {
	case !answered:
		f.after(time.Millisecond, func() { f.awaitSlot(v, pending, serviceTime, probe, end) })
	case outcome != tamarackrun.Done:
		if probe {
			v.tracker.ObserveProbe(f.now, health.Inconclusive)
		}
		end(false)
	default:
		f.execute(v, serviceTime, func(ran bool) {
			pending.Release()
			result := health.Success
			if !ran {
				result = health.Failure
			}
			if probe {
				v.tracker.ObserveProbe(f.now, result)
			} else {
				v.tracker.Observe(f.now, result, f.ejected() < health.MaxEjected(len(f.servers)))
			}
			end(ran)
		})
	}
}

func (f *serviceSim) ejected() int {
	n := 0
	for _, v := range f.servers {
		if v.tracker.Ejected() {
			n++
		}
	}
	return n
}

func (f *serviceSim) runWithoutAdmission(v *backend, serviceTime time.Duration, end func(bool)) {
	if v.inFlight >= shedPerSlot*f.slots {
		end(false)
		return
	}
	f.execute(v, serviceTime, end)
}

func (f *serviceSim) execute(v *backend, serviceTime time.Duration, end func(bool)) {
	v.inFlight++
	f.inFlight++
	f.maxOverload = max(f.maxOverload, v.inFlight-f.slots)
	if v.inFlight > f.slots {
		serviceTime = serviceTime * time.Duration(v.inFlight) / time.Duration(f.slots)
	}
	failing := v.failing
	if failing {
		serviceTime = failureTime
	}
	f.after(serviceTime, func() {
		v.inFlight--
		f.inFlight--
		end(!failing)
	})
}

func choiceRows(seed uint64, u user) []Row {
	var rows []Row
	for _, c := range []struct {
		name  string
		fault choiceFault
		lag   time.Duration
		own   bool
	}{
		{"healthy", noFault, reportInterval, false},
		{"one misleading server", misleadingServer, reportInterval, false},
		{"one failure domain lost", lostDomain, reportInterval, false},
		{"healthy, reports of 0.5 s", noFault, todaysReportInterval, false},
		{"failure domain lost, reports of 0.5 s", lostDomain, todaysReportInterval, false},
		{"healthy, own requests only", noFault, reportInterval, true},
		{"failure domain lost, own requests only", lostDomain, reportInterval, true},
	} {
		policy, base := newServiceSim(seed, u, true, c.fault, c.lag, c.own), newServiceSim(seed, u, false, c.fault, c.lag, c.own)
		row := func(measure, unit string, figure func(*serviceSim) float64) Row {
			return Row{Case: c.name, Measure: measure, Unit: unit, Policy: figure(policy), Baseline: figure(base)}
		}
		headroom := row("free slots at p99 of load", "slots", func(f *serviceSim) float64 {
			return float64(f.slots*len(f.servers)) - f.load.millis(99) + 1
		})
		headroom.HigherIsBetter = true
		rows = append(rows, row("p50", "ms", func(f *serviceSim) float64 { return f.latency.millis(50) }),
			row("p99", "ms", func(f *serviceSim) float64 { return f.latency.millis(99) }),
			row("shed or failed", "%", func(f *serviceSim) float64 { return 100 * float64(f.failed) / float64(f.total) }),
			row("most in flight over the slots", "requests", func(f *serviceSim) float64 { return float64(f.maxOverload) }), headroom)
	}
	return labelRows("choice", u, rows)
}
