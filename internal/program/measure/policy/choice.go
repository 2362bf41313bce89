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
	choiceTime = 60 * time.Second
	choiceLoad = 0.45
	faultAt    = 10 * time.Second
	reportLag  = 3 * time.Second
	// todaysLag is the interval of heartbeats, which carry the reports.
	todaysLag = 500 * time.Millisecond
	// shedPerSlot is the work beyond its slots that a server without admission
	// takes before it sheds.
	shedPerSlot = 4
	failTime    = time.Millisecond
	// tries is the most attempts of one request.
	tries = 3
)

// backend is a server behind its home. Without admission it runs all that it
// gets, more slowly the more there is.
type backend struct {
	gate     *slot.Gate
	tracker  health.Tracker
	inFlight int
	reported int
	failing  bool
}

// fleet is a service in one region, with its entry instances.
type fleet struct {
	*loop
	slots  int
	policy bool
	// ownOnly ranks servers by the entry instance's own requests alone, without
	// the reports.
	ownOnly  bool
	servers  []*backend
	next     [instances]int
	own      [instances][]int
	retries  [instances]retry.Budget
	latency  latencies
	load     latencies
	sheds    int
	total    int
	mostOver int
	running  int
}

type choiceFault int

const (
	noFault choiceFault = iota
	misleading
	lostDomain
)

func newFleet(seed uint64, u user, policy bool, fault choiceFault, lag time.Duration, ownOnly bool) *fleet {
	f := &fleet{loop: newLoop(seed), slots: u.slots(), policy: policy, ownOnly: ownOnly, latency: newLatencies(), load: newLatencies()}
	var domains []string
	for _, v := range u.ServersOf(u.main) {
		f.servers = append(f.servers, &backend{gate: slot.New(f.slots, f)})
		domains = append(domains, v.Domain)
	}
	for i := range f.own {
		f.own[i] = make([]int, len(f.servers))
	}
	f.after(faultAt, func() {
		for i, v := range f.servers {
			v.failing = fault == misleading && i == 0 || fault == lostDomain && domains[i] == domains[0]
		}
	})
	// Reports come from a failing server too and say that it is idle.
	f.every(lag, func() {
		for _, v := range f.servers {
			v.reported = v.inFlight
		}
	})
	f.every(10*time.Millisecond, func() { f.load.add(time.Duration(f.running+1) * time.Millisecond) })
	rate := choiceLoad * float64(f.slots*len(f.servers)) / service.Seconds()
	f.poisson(seed, 1, rate, func(r *rand.Rand) {
		f.total++
		f.attempt(r.IntN(instances), uniform(r, service), f.now, 1)
	})
	f.runUntil(choiceTime)
	return f
}

// choose is power of two choices among servers with room by reports and own
// requests, or round robin over servers that report room.
func (f *fleet) choose(entry int) int {
	n := len(f.servers)
	if !f.policy {
		for range n {
			f.next[entry]++
			if v := f.servers[f.next[entry]%n]; v.reported < f.slots {
				break
			}
		}
		return f.next[entry] % n
	}
	var usable, room []int
	for i, v := range f.servers {
		switch {
		case v.tracker.ProbeDue(f.now):
			return i
		case v.tracker.Ejected():
			continue
		case f.busy(entry, i) < f.slots:
			room = append(room, i)
		}
		usable = append(usable, i)
	}
	if len(room) > 0 {
		usable = room
	}
	a, b := usable[f.random.IntN(len(usable))], usable[f.random.IntN(len(usable))]
	if f.busy(entry, b) < f.busy(entry, a) {
		return b
	}
	return a
}

func (f *fleet) busy(entry, i int) int {
	if f.ownOnly {
		return f.own[entry][i]
	}
	return max(f.servers[i].reported, f.own[entry][i])
}

func (f *fleet) attempt(entry int, service, arrived time.Duration, n int) {
	f.retries[entry].CountRequest(f.now)
	i := f.choose(entry)
	v := f.servers[i]
	end := func(ran bool) {
		f.own[entry][i]--
		switch {
		case ran:
			f.latency.add(f.now - arrived)
		case n < tries && f.policy && f.retries[entry].AllowRetry(f.now):
			f.attempt(entry, service, arrived, n+1)
		default:
			f.sheds++
		}
	}
	f.own[entry][i]++
	if !f.policy {
		f.direct(v, service, end)
		return
	}
	admitted, probe := v.tracker.Admit(f.now, true)
	if !admitted {
		end(false)
		return
	}
	e := slot.Request{Organisation: "o", Weight: 1, Cost: service, Deadline: f.now + slotTimeout}
	f.admitted(v, v.gate.Submit(e), service, probe, end)
}

// admitted waits for the slot in steps of 1 ms.
func (f *fleet) admitted(v *backend, p *slot.Pending, service time.Duration, probe bool, end func(bool)) {
	o, answered := p.Poll()
	switch {
	case !answered:
		f.after(time.Millisecond, func() { f.admitted(v, p, service, probe, end) })
	case o != tamarackrun.Done:
		if probe {
			v.tracker.ObserveProbe(f.now, health.Inconclusive)
		}
		end(false)
	default:
		f.start(v, service, func(ran bool) {
			p.Release()
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

func (f *fleet) ejected() int {
	n := 0
	for _, v := range f.servers {
		if v.tracker.Ejected() {
			n++
		}
	}
	return n
}

func (f *fleet) direct(v *backend, service time.Duration, end func(bool)) {
	if v.inFlight >= shedPerSlot*f.slots {
		end(false)
		return
	}
	f.start(v, service, end)
}

func (f *fleet) start(v *backend, service time.Duration, end func(bool)) {
	v.inFlight++
	f.running++
	f.mostOver = max(f.mostOver, v.inFlight-f.slots)
	if v.inFlight > f.slots {
		service = service * time.Duration(v.inFlight) / time.Duration(f.slots)
	}
	failing := v.failing
	if failing {
		service = failTime
	}
	f.after(service, func() {
		v.inFlight--
		f.running--
		end(!failing)
	})
}

func choice(seed uint64, u user) []Row {
	var rows []Row
	for _, c := range []struct {
		name  string
		fault choiceFault
		lag   time.Duration
		own   bool
	}{
		{"healthy", noFault, reportLag, false},
		{"one misleading server", misleading, reportLag, false},
		{"one failure domain lost", lostDomain, reportLag, false},
		{"healthy, reports of 0.5 s", noFault, todaysLag, false},
		{"failure domain lost, reports of 0.5 s", lostDomain, todaysLag, false},
		{"healthy, own requests only", noFault, reportLag, true},
		{"failure domain lost, own requests only", lostDomain, reportLag, true},
	} {
		policy, base := newFleet(seed, u, true, c.fault, c.lag, c.own), newFleet(seed, u, false, c.fault, c.lag, c.own)
		row := func(measure, unit string, figure func(*fleet) float64) Row {
			return Row{Case: c.name, Measure: measure, Unit: unit, Policy: figure(policy), Baseline: figure(base)}
		}
		headroom := row("free slots at p99 of load", "slots", func(f *fleet) float64 {
			return float64(f.slots*len(f.servers)) - f.load.millis(99) + 1
		})
		headroom.HigherIsBetter = true
		rows = append(rows, row("p50", "ms", func(f *fleet) float64 { return f.latency.millis(50) }),
			row("p99", "ms", func(f *fleet) float64 { return f.latency.millis(99) }),
			row("shed or failed", "%", func(f *fleet) float64 { return 100 * float64(f.sheds) / float64(f.total) }),
			row("most in flight over the slots", "requests", func(f *fleet) float64 { return float64(f.mostOver) }), headroom)
	}
	return label("choice", u, rows)
}
