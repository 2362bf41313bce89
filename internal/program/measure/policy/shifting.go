package policy

import (
	"math/rand/v2"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/shift"
	"tamarackrun/internal/coordination/slot"
)

const (
	ownLoad      = 0.4
	lostAt       = 5 * time.Second
	domainLostAt = 20 * time.Second
	shiftTime    = 60 * time.Second
	shiftService = 50 * time.Millisecond
	// Cold requests take five times as long, for the first 100 per server, and
	// slow down the others by up to a factor of two.
	coldFactor = 5
	coldCount  = 100
)

type shiftMode int

const (
	limited shiftMode = iota
	atOnce
	noShift
)

// destination is a region that takes over the load of a lost one. Cold caches
// slow down all requests of a server, because they share its disk.
type destination struct {
	*loop
	mode                     shiftMode
	servers                  []*coldServer
	domainLost               bool
	trigger                  shift.Trigger
	latency                  latencies
	own, ownRefused          int
	shifted, mostShifted     int
	shiftServed, shiftOffers int
}

type coldServer struct {
	gate    *slot.Gate
	opening shift.SlowStart
	others  int
	warmth  int
}

func newDestination(seed uint64, u user, mode shiftMode, domainLost bool) *destination {
	d := &destination{loop: newLoop(seed), mode: mode, domainLost: domainLost, latency: newLatencies()}
	region := u.regions()[0]
	for _, v := range u.ServersOf(u.main) {
		if u.RegionOf(v.Domain) == region {
			d.servers = append(d.servers, &coldServer{gate: slot.New(u.slots(), d)})
		}
	}
	rate := ownLoad * float64(u.slots()*len(d.servers)) / shiftService.Seconds()
	d.poisson(seed, 1, rate, func(r *rand.Rand) { d.arrive(u, r, false) })
	d.after(lostAt, func() { d.poisson(seed, 2, rate, func(r *rand.Rand) { d.arrive(u, r, true) }) })
	d.runUntil(shiftTime)
	return d
}

func (d *destination) arrive(u user, random *rand.Rand, shifted bool) {
	usable := len(d.servers)
	if d.domainLost && d.now >= domainLostAt {
		usable /= 2
	}
	i, service := random.IntN(usable), uniform(random, shiftService)
	v := d.servers[i]
	e := slot.Request{Organisation: "own", Weight: 1, Cost: shiftService, Deadline: d.now + slotTimeout}
	if shifted {
		d.shiftOffers++
		e.Organisation = "shifted"
		switch d.mode {
		case noShift:
			return
		case limited:
			d.trigger.RecordRefusal(d.now)
			if !d.trigger.Shifting(d.now) {
				return
			}
			part := shift.ServerCap(d.limit(u), i, len(d.servers))
			e.Shifted, e.ShiftLimit, e.Reserve = true, v.opening.Limit(d.now, part), shift.Reserve(u.slots(), 2)
		}
	} else {
		d.own++
	}
	d.run(v, v.gate.Submit(e), service, shifted, d.now)
}

func (d *destination) limit(u user) int {
	return shift.RegionCap(u.Services[u.main].ShiftCap, u.slots()*len(d.servers))
}

// run waits for the slot in steps of 1 ms, which bounds the error of a latency.
func (d *destination) run(v *coldServer, p *slot.Pending, service time.Duration, shifted bool, arrived time.Duration) {
	o, answered := p.Poll()
	switch {
	case !answered:
		d.after(time.Millisecond, func() { d.run(v, p, service, shifted, arrived) })
	case o != tamarackrun.Done && !shifted:
		d.ownRefused++
	case o == tamarackrun.Done:
		d.start(v, p, service, shifted, arrived)
	}
}

func (d *destination) start(v *coldServer, p *slot.Pending, service time.Duration, shifted bool, arrived time.Duration) {
	_, _, slots := v.gate.Load()
	if shifted {
		v.others++
		v.warmth++
		d.shifted++
		d.mostShifted = max(d.mostShifted, d.shifted)
	}
	if v.others > 0 && v.warmth < coldCount {
		service += service * time.Duration(v.others) / time.Duration(slots)
		if shifted {
			service *= coldFactor
		}
	}
	together, began := v.others > 0, d.now
	d.after(service, func() {
		p.Release()
		if shifted {
			v.others--
			d.shifted--
			d.shiftServed++
		} else if arrived >= lostAt {
			d.latency.add(d.now - arrived)
		}
		v.opening.Observe(d.now, d.now-began, shifted, together)
	})
}

func shifting(seed uint64, u user) []Row {
	var rows []Row
	for _, c := range []struct {
		name string
		lost bool
	}{{"region lost", false}, {"region, then failure domain lost", true}} {
		policy := newDestination(seed, u, limited, c.lost)
		for _, b := range []struct {
			name string
			mode shiftMode
		}{{"at once", atOnce}, {"no shift", noShift}} {
			base := newDestination(seed, u, b.mode, c.lost)
			row := func(measure, unit string, f func(*destination) float64) Row {
				return Row{Case: c.name + " / " + b.name, Measure: measure, Unit: unit, Policy: f(policy), Baseline: f(base)}
			}
			over := row("shifted in flight over the cap", "requests", func(d *destination) float64 {
				return float64(max(0, d.mostShifted-d.limit(u)))
			})
			over.Target = target(0)
			served := row("shifted requests served", "%", func(d *destination) float64 {
				return 100 * float64(d.shiftServed) / float64(d.shiftOffers)
			})
			served.HigherIsBetter = true
			rows = append(rows, over, served,
				row("own p99", "ms", func(d *destination) float64 { return d.latency.millis(99) }),
				row("own refused", "%", func(d *destination) float64 { return 100 * float64(d.ownRefused) / float64(d.own) }))
		}
	}
	return label("shift", u, rows)
}
