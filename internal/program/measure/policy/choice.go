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
	// choiceLoad is the fraction of all slots that the requests need.
	choiceLoad = 0.45
	// faultTime is when the fault begins.
	faultTime      = 10 * time.Second
	reportInterval = 3 * time.Second
	// todaysReportInterval is the interval of today's heartbeats, which carry the
	// reports.
	todaysReportInterval = 500 * time.Millisecond
	// shedPerSlot is how many requests per slot a server without admission control
	// runs at a time before it sheds.
	shedPerSlot = 4
	// failureTime is how long a failing server takes to fail a request.
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
	// reported is the number of requests in flight at the last report.
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
	ownOnly bool
	servers []*backend
	// roundRobin, ownInFlight and retries are by entry instance. ownInFlight holds
	// the instance's own requests in flight at each server.
	roundRobin  [instanceCount]int
	ownInFlight [instanceCount][]int
	retries     [instanceCount]retry.Budget
	latency     latencies
	// load is a histogram of the number of requests in flight. Since a histogram
	// holds no 0, n requests are recorded as n+1 ms.
	load   latencies
	failed int
	total  int
	// maxOverload is the largest number of requests that one server ran beyond its
	// slots.
	maxOverload int
	inFlight    int
}

// choiceFault is the fault that begins at faultTime.
type choiceFault int

const (
	noFault choiceFault = iota
	// misleadingServer makes one server fail all requests within failureTime, so
	// that its reports show a nearly idle server.
	misleadingServer
	// lostDomain makes all servers of one failure domain fail.
	lostDomain
)

// newServiceSim simulates the main service of the user for choiceDuration.
func newServiceSim(seed uint64, u user, withPolicy bool, fault choiceFault, reportInterval time.Duration, ownOnly bool) *serviceSim {
	s := &serviceSim{simulation: newSimulation(seed), slots: u.slots(), withPolicy: withPolicy, ownOnly: ownOnly,
		latency: newLatencies(), load: newLatencies()}
	var domains []string
	for _, v := range u.ServersOf(u.mainService) {
		s.servers = append(s.servers, &backend{gate: slot.New(s.slots, s)})
		domains = append(domains, v.Domain)
	}
	for i := range s.ownInFlight {
		s.ownInFlight[i] = make([]int, len(s.servers))
	}
	s.after(faultTime, func() {
		for i, v := range s.servers {
			v.failing = fault == misleadingServer && i == 0 || fault == lostDomain && domains[i] == domains[0]
		}
	})
	// A failing server reports too, namely that it is idle.
	s.every(reportInterval, func() {
		for _, v := range s.servers {
			v.reported = v.inFlight
		}
	})
	s.every(10*time.Millisecond, func() { s.load.add(time.Duration(s.inFlight+1) * time.Millisecond) })
	requestRate := choiceLoad * float64(s.slots*len(s.servers)) / meanServiceTime.Seconds()
	s.poisson(seed, 1, requestRate, func(r *rand.Rand) {
		s.total++
		s.attempt(r.IntN(instanceCount), uniform(r, meanServiceTime), s.now, 1)
	})
	s.runUntil(choiceDuration)
	return s
}

// pickServer returns the server for a request. The policy is power of two choices
// among the servers with free slots by reports and own requests, the baseline round
// robin among the servers that report free slots.
func (s *serviceSim) pickServer(entry int) int {
	n := len(s.servers)
	if !s.withPolicy {
		for range n {
			s.roundRobin[entry]++
			if v := s.servers[s.roundRobin[entry]%n]; v.reported < s.slots {
				break
			}
		}
		return s.roundRobin[entry] % n
	}
	var usable, room []int
	for i, v := range s.servers {
		switch {
		case v.tracker.ProbeDue(s.now):
			return i
		case v.tracker.Ejected():
			continue
		case s.estimatedLoad(entry, i) < s.slots:
			room = append(room, i)
		}
		usable = append(usable, i)
	}
	if len(room) > 0 {
		usable = room
	}
	a, b := usable[s.random.IntN(len(usable))], usable[s.random.IntN(len(usable))]
	if s.estimatedLoad(entry, b) < s.estimatedLoad(entry, a) {
		return b
	}
	return a
}

// estimatedLoad returns the number of requests that an entry instance assumes to be
// in flight at a server.
func (s *serviceSim) estimatedLoad(entry, i int) int {
	if s.ownOnly {
		return s.ownInFlight[entry][i]
	}
	return max(s.servers[i].reported, s.ownInFlight[entry][i])
}

// attempt sends a request to a server and, with the policy, retries it after a
// failure.
func (s *serviceSim) attempt(entry int, serviceTime, arrived time.Duration, attempt int) {
	s.retries[entry].CountRequest(s.now)
	i := s.pickServer(entry)
	v := s.servers[i]
	end := func(ran bool) {
		s.ownInFlight[entry][i]--
		switch {
		case ran:
			s.latency.add(s.now - arrived)
		case attempt < maxAttempts && s.withPolicy && s.retries[entry].AllowRetry(s.now):
			s.attempt(entry, serviceTime, arrived, attempt+1)
		default:
			s.failed++
		}
	}
	s.ownInFlight[entry][i]++
	if !s.withPolicy {
		s.runWithoutAdmission(v, serviceTime, end)
		return
	}
	admitted, probe := v.tracker.Admit(s.now, true)
	if !admitted {
		end(false)
		return
	}
	request := slot.Request{Organisation: "o", Weight: 1, Cost: serviceTime, Deadline: s.now + slotTimeout}
	s.awaitSlot(v, v.gate.Submit(request), serviceTime, probe, end)
}

// awaitSlot waits for the slot in steps of 1 ms and runs the request then.
func (s *serviceSim) awaitSlot(v *backend, pending *slot.Pending, serviceTime time.Duration, probe bool, end func(bool)) {
	outcome, answered := pending.Poll()
	switch {
	case !answered:
		s.after(time.Millisecond, func() { s.awaitSlot(v, pending, serviceTime, probe, end) })
	case outcome != tamarackrun.Done:
		if probe {
			v.tracker.ObserveProbe(s.now, health.Inconclusive)
		}
		end(false)
	default:
		s.execute(v, serviceTime, func(ran bool) {
			pending.Release()
			result := health.Success
			if !ran {
				result = health.Failure
			}
			if probe {
				v.tracker.ObserveProbe(s.now, result)
			} else {
				v.tracker.Observe(s.now, result, s.ejected() < health.MaxEjected(len(s.servers)))
			}
			end(ran)
		})
	}
}

// ejected returns the number of ejected servers.
func (s *serviceSim) ejected() int {
	n := 0
	for _, v := range s.servers {
		if v.tracker.Ejected() {
			n++
		}
	}
	return n
}

// runWithoutAdmission runs a request at a server that sheds only when it has
// shedPerSlot requests for each slot.
func (s *serviceSim) runWithoutAdmission(v *backend, serviceTime time.Duration, end func(bool)) {
	if v.inFlight >= shedPerSlot*s.slots {
		end(false)
		return
	}
	s.execute(v, serviceTime, end)
}

// execute runs a request at a server and calls end, which gets false if the server
// is failing.
func (s *serviceSim) execute(v *backend, serviceTime time.Duration, end func(bool)) {
	v.inFlight++
	s.inFlight++
	s.maxOverload = max(s.maxOverload, v.inFlight-s.slots)
	if v.inFlight > s.slots {
		serviceTime = serviceTime * time.Duration(v.inFlight) / time.Duration(s.slots)
	}
	failing := v.failing
	if failing {
		serviceTime = failureTime
	}
	s.after(serviceTime, func() {
		v.inFlight--
		s.inFlight--
		end(!failing)
	})
}

func choiceRows(seed uint64, u user) []Row {
	var rows []Row
	for _, c := range []struct {
		name           string
		fault          choiceFault
		reportInterval time.Duration
		ownOnly        bool
	}{
		{"healthy", noFault, reportInterval, false},
		{"one misleading server", misleadingServer, reportInterval, false},
		{"one failure domain lost", lostDomain, reportInterval, false},
		{"healthy, reports of 0.5 s", noFault, todaysReportInterval, false},
		{"failure domain lost, reports of 0.5 s", lostDomain, todaysReportInterval, false},
		{"healthy, own requests only", noFault, reportInterval, true},
		{"failure domain lost, own requests only", lostDomain, reportInterval, true},
	} {
		policy, base := newServiceSim(seed, u, true, c.fault, c.reportInterval, c.ownOnly),
			newServiceSim(seed, u, false, c.fault, c.reportInterval, c.ownOnly)
		row := func(measure, unit string, figure func(*serviceSim) float64) Row {
			return Row{Case: c.name, Measure: measure, Unit: unit, Policy: figure(policy), Baseline: figure(base)}
		}
		headroom := row("free slots at p99 of load", "slots", func(s *serviceSim) float64 {
			return float64(s.slots*len(s.servers)) - s.load.millis(99) + 1
		})
		headroom.HigherIsBetter = true
		rows = append(rows, row("p50", "ms", func(s *serviceSim) float64 { return s.latency.millis(50) }),
			row("p99", "ms", func(s *serviceSim) float64 { return s.latency.millis(99) }),
			row("shed or failed", "%", func(s *serviceSim) float64 { return 100 * float64(s.failed) / float64(s.total) }),
			row("most in flight over the slots", "requests", func(s *serviceSim) float64 { return float64(s.maxOverload) }), headroom)
	}
	return labelRows("choice", u, rows)
}
