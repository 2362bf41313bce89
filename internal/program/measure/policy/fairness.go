package policy

import (
	"math/rand/v2"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/slot"
	"tamarackrun/internal/state/configuration"
)

const (
	service       = 20 * time.Millisecond
	fairnessTime  = 200 * time.Second
	surplusFactor = 5
	// fullLoad is the part of a server's slots that all requests use while one
	// organisation sends its surplus.
	fullLoad = 0.96
	// fifoPerSlot is the bound of the baseline's queue, as that of slot.
	fifoPerSlot = 8
	slotTimeout = 2 * time.Second
)

// visit is one request at a station.
type visit struct {
	slot.Request
	arrived time.Duration
	service time.Duration
	pending *slot.Pending
	// ended is called once, with the latency if it ran.
	ended func(ran bool, latency time.Duration)
}

// station is one backend server: with a gate, or without one first come, first
// served.
type station struct {
	*loop
	slots, running int
	gate           *slot.Gate
	waiting        []*visit
}

func newStation(l *loop, slots int, fair bool) *station {
	s := &station{loop: l, slots: slots}
	if fair {
		s.gate = slot.New(slots, l)
	}
	return s
}

func (s *station) submit(v *visit) {
	v.arrived = s.now
	switch {
	case s.gate != nil:
		v.pending = s.gate.Submit(v.Request)
	case len(s.waiting) >= fifoPerSlot*s.slots:
		v.ended(false, 0)
		return
	}
	s.waiting = append(s.waiting, v)
	s.collect()
}

// collect starts what may start.
func (s *station) collect() {
	kept := s.waiting[:0]
	var ready, refused []*visit
	for _, v := range s.waiting {
		run, answered := s.running+len(ready) < s.slots, false
		if s.gate != nil {
			var o tamarackrun.Outcome
			o, answered = v.pending.Poll()
			run = answered && o == tamarackrun.Done
		}
		switch {
		case run:
			ready = append(ready, v)
		case answered:
			refused = append(refused, v)
		default:
			kept = append(kept, v)
		}
	}
	s.waiting = kept
	for _, v := range ready {
		s.start(v)
	}
	for _, v := range refused {
		v.ended(false, 0)
	}
}

func (s *station) start(v *visit) {
	s.running++
	s.after(v.service, func() {
		s.running--
		if s.gate != nil {
			v.pending.Release()
		}
		s.collect()
		v.ended(true, s.now-v.arrived)
	})
}

// served is what the organisations got, by name.
type served struct {
	latency map[string]latencies
	refused map[string]int
}

// source is the load of one organisation at one server.
type source struct {
	organisation configuration.Organisation
	perSecond    float64
	// within is the part of the organisation's rate for this server.
	within float64
	batch  bool
}

func serve(seed uint64, slots int, fair bool, sources []source) served {
	l := newLoop(seed)
	s := newStation(l, slots, fair)
	result := served{map[string]latencies{}, map[string]int{}}
	for i, f := range sources {
		name := f.organisation.Name
		if f.batch {
			name += " batch"
		}
		result.latency[name] = newLatencies()
		l.poisson(seed, uint64(i)+1, f.perSecond, func(random *rand.Rand) {
			mean := service
			if f.batch {
				mean *= 5
			}
			v := &visit{service: uniform(random, mean), Request: f.entry(l.now, mean)}
			v.ended = func(ran bool, latency time.Duration) {
				if ran {
					result.latency[name].add(latency)
				} else {
					result.refused[name]++
				}
			}
			s.submit(v)
		})
	}
	l.runUntil(fairnessTime)
	return result
}

func (f source) entry(now, cost time.Duration) slot.Request {
	return slot.Request{Organisation: f.organisation.Name, Weight: f.organisation.Weight, Batch: f.batch, Cost: cost,
		Deadline: now + slotTimeout, Rate: f.within}
}

// worst returns the highest p99 of the sources' organisations, as a ratio to
// that of each alone on the server, and the refusals.
func (r served) worst(seed uint64, slots int, sources []source, except string) (ratio, refused float64) {
	for _, f := range sources {
		name := f.organisation.Name
		if name == except || f.batch {
			continue
		}
		alone := serve(seed, slots, true, []source{f}).latency[name].millis(99)
		ratio = max(ratio, r.latency[name].millis(99)/alone)
		refused += float64(r.refused[name])
	}
	return ratio, refused
}

// loadOf returns the sources of a server at which the total with the surplus is
// the given part of its slots.
func loadOf(list []configuration.Organisation, heavy string, slots int, load float64) []source {
	total := 0.0
	for _, o := range list {
		total += o.Rate
		if o.Name == heavy {
			total += (surplusFactor - 1) * o.Rate
		}
	}
	scale := load * float64(slots) / service.Seconds() / total
	sources := make([]source, 0, len(list))
	for _, o := range list {
		f := source{organisation: o, perSecond: scale * o.Rate, within: scale * o.Rate}
		if o.Name == heavy {
			f.perSecond *= surplusFactor
		}
		sources = append(sources, f)
	}
	return sources
}

func equal(list []configuration.Organisation) []configuration.Organisation {
	var result []configuration.Organisation
	for _, o := range list {
		o.Rate, o.Weight = 1, 1
		result = append(result, o)
	}
	return result
}

func fairness(seed uint64, u user) []Row {
	var rows []Row
	heavy := u.largest().Name
	for _, c := range []struct {
		name string
		list []configuration.Organisation
		load float64
	}{
		{"equal rates, 96% load", equal(u.organisations()), fullLoad},
		{"document's rates, 96% load", u.organisations(), fullLoad},
		{"document's rates, 140% load", u.organisations(), 1.4},
	} {
		sources := loadOf(c.list, heavy, u.slots(), c.load)
		policy, policyRefused := serve(seed, u.slots(), true, sources).worst(seed, u.slots(), sources, heavy)
		base, baseRefused := serve(seed, u.slots(), false, sources).worst(seed, u.slots(), sources, heavy)
		rows = append(rows,
			Row{Case: c.name, Measure: "worst p99", Unit: "of alone", Policy: policy, Baseline: base, Target: target(2)},
			Row{Case: c.name, Measure: "refused inside the rate", Unit: "requests", Policy: policyRefused, Baseline: baseRefused})
	}
	if u.batch {
		rows = append(rows, classes(seed, u)...)
	}
	return label("fairness", u, rows)
}

// classes sends batch histories beside interactive checks, 50% and 46% of the
// slots.
func classes(seed uint64, u user) []Row {
	o := u.largest()
	perSecond := float64(u.slots()) / service.Seconds()
	sources := []source{{organisation: o, perSecond: 0.5 * perSecond, within: perSecond},
		{organisation: o, perSecond: 0.46 * perSecond / 5, within: perSecond, batch: true}}
	policy, base := serve(seed, u.slots(), true, sources), serve(seed, u.slots(), false, sources)
	row := func(measure, name string, quantile float64) Row {
		return Row{Case: "checks beside histories", Measure: measure, Unit: "ms",
			Policy: policy.latency[name].millis(quantile), Baseline: base.latency[name].millis(quantile)}
	}
	return []Row{row("interactive p50", o.Name, 50), row("interactive p99", o.Name, 99), row("batch p99", o.Name+" batch", 99)}
}

func target(f float64) *float64 { return &f }

func label(experiment string, u user, rows []Row) []Row {
	for i := range rows {
		rows[i].Experiment, rows[i].User = experiment, u.name
	}
	return rows
}
