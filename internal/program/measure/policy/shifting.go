package policy

import (
	"math/rand/v2"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/shift"
	"tamarackrun/internal/coordination/slot"
)

const (
	// ownLoad is the fraction of the destination's slots that the requests of its
	// own region need. The requests of the lost region need the same.
	ownLoad          = 0.4
	regionLostAt     = 5 * time.Second
	domainLostAt     = 20 * time.Second
	shiftDuration    = 60 * time.Second
	shiftServiceTime = 50 * time.Millisecond
	// Cold requests, the first 100 shifted ones of a server, take five times as
	// long and slow down the others by up to a factor of two.
	coldFactor   = 5
	coldRequests = 100
)

// shiftMode is how the destination treats the requests of the lost region.
type shiftMode int

const (
	// cappedShift takes them as the product does, within the cap.
	cappedShift shiftMode = iota
	// uncappedShift takes all of them.
	uncappedShift
	// noShift takes none.
	noShift
)

// destination simulates a region that takes over the load of a lost one. Own requests
// are those of the destination's region, shifted ones those of the lost region. Cold
// caches slow down all requests of a server, because they share its disk.
type destination struct {
	*simulation
	mode                                shiftMode
	servers                             []*coldServer
	domainLost                          bool
	trigger                             shift.Trigger
	latency                             latencies
	ownArrivals, ownRefused             int
	shiftedInFlight, maxShiftedInFlight int
	shiftServed, shiftArrivals          int
}

// coldServer is a server of the destination, which is cold for shifted requests.
type coldServer struct {
	gate            *slot.Gate
	slowStart       shift.SlowStart
	shiftedInFlight int
	shiftedStarted  int
}

// newDestination simulates the first region of the user. With domainLost, half of
// its servers get no more requests from domainLostAt on.
func newDestination(seed uint64, u user, mode shiftMode, domainLost bool) *destination {
	d := &destination{simulation: newSimulation(seed), mode: mode, domainLost: domainLost, latency: newLatencies()}
	region := u.regions()[0]
	for _, v := range u.ServersOf(u.mainService) {
		if u.RegionOf(v.Domain) == region {
			d.servers = append(d.servers, &coldServer{gate: slot.New(u.slots(), d)})
		}
	}
	rate := ownLoad * float64(u.slots()*len(d.servers)) / shiftServiceTime.Seconds()
	d.poisson(seed, 1, rate, func(r *rand.Rand) { d.arrive(u, r, false) })
	d.after(regionLostAt, func() { d.poisson(seed, 2, rate, func(r *rand.Rand) { d.arrive(u, r, true) }) })
	d.runUntil(shiftDuration)
	return d
}

func (d *destination) arrive(u user, random *rand.Rand, shifted bool) {
	usable := len(d.servers)
	if d.domainLost && d.now >= domainLostAt {
		usable /= 2
	}
	i, serviceTime := random.IntN(usable), uniform(random, shiftServiceTime)
	v := d.servers[i]
	request := slot.Request{Organisation: "own", Weight: 1, Cost: shiftServiceTime, Deadline: d.now + slotTimeout}
	if shifted {
		d.shiftArrivals++
		request.Organisation = "shifted"
		switch d.mode {
		case noShift:
			return
		case cappedShift:
			d.trigger.RecordRefusal(d.now)
			if !d.trigger.Shifting(d.now) {
				return
			}
			limit := shift.ServerCap(d.shiftCap(u), i, len(d.servers))
			request.Shifted, request.ShiftLimit, request.Reserve = true, v.slowStart.Limit(d.now, limit), shift.Reserve(u.slots(), 2)
		}
	} else {
		d.ownArrivals++
	}
	d.awaitSlot(v, v.gate.Submit(request), serviceTime, shifted, d.now)
}

// shiftCap returns how many shifted requests the region may run at a time.
func (d *destination) shiftCap(u user) int {
	return shift.RegionCap(u.Services[u.mainService].ShiftCap, u.slots()*len(d.servers))
}

// awaitSlot waits for the slot in steps of 1 ms, which bounds the error of a
// latency, and runs the request then.
func (d *destination) awaitSlot(v *coldServer, pending *slot.Pending, serviceTime time.Duration, shifted bool, arrived time.Duration) {
	outcome, answered := pending.Poll()
	switch {
	case !answered:
		d.after(time.Millisecond, func() { d.awaitSlot(v, pending, serviceTime, shifted, arrived) })
	case outcome != tamarackrun.Done && !shifted:
		d.ownRefused++
	case outcome == tamarackrun.Done:
		d.start(v, pending, serviceTime, shifted, arrived)
	}
}

// start runs a request that has got a slot.
func (d *destination) start(v *coldServer, pending *slot.Pending, serviceTime time.Duration, shifted bool, arrived time.Duration) {
	_, _, slots := v.gate.Load()
	if shifted {
		v.shiftedInFlight++
		v.shiftedStarted++
		d.shiftedInFlight++
		d.maxShiftedInFlight = max(d.maxShiftedInFlight, d.shiftedInFlight)
	}
	if v.shiftedInFlight > 0 && v.shiftedStarted < coldRequests {
		serviceTime += serviceTime * time.Duration(v.shiftedInFlight) / time.Duration(slots)
		if shifted {
			serviceTime *= coldFactor
		}
	}
	together, startTime := v.shiftedInFlight > 0, d.now
	d.after(serviceTime, func() {
		pending.Release()
		if shifted {
			v.shiftedInFlight--
			d.shiftedInFlight--
			d.shiftServed++
		} else if arrived >= regionLostAt {
			d.latency.add(d.now - arrived)
		}
		v.slowStart.Observe(d.now, d.now-startTime, shifted, together)
	})
}

func shiftRows(seed uint64, u user) []Row {
	var rows []Row
	for _, c := range []struct {
		name string
		lost bool
	}{{"region lost", false}, {"region, then failure domain lost", true}} {
		policy := newDestination(seed, u, cappedShift, c.lost)
		for _, b := range []struct {
			name string
			mode shiftMode
		}{{"at once", uncappedShift}, {"no shift", noShift}} {
			base := newDestination(seed, u, b.mode, c.lost)
			row := func(measure, unit string, f func(*destination) float64) Row {
				return Row{Case: c.name + " / " + b.name, Measure: measure, Unit: unit, Policy: f(policy), Baseline: f(base)}
			}
			over := row("shifted in flight over the cap", "requests", func(d *destination) float64 {
				return float64(max(0, d.maxShiftedInFlight-d.shiftCap(u)))
			})
			over.Target = ptr(0)
			served := row("shifted requests served", "%", func(d *destination) float64 {
				return 100 * float64(d.shiftServed) / float64(d.shiftArrivals)
			})
			served.HigherIsBetter = true
			rows = append(rows, over, served,
				row("own p99", "ms", func(d *destination) float64 { return d.latency.millis(99) }),
				row("own refused", "%", func(d *destination) float64 { return 100 * float64(d.ownRefused) / float64(d.ownArrivals) }))
		}
	}
	return labelRows("shift", u, rows)
}
