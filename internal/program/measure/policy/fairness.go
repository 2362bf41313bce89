package policy

import (
	"math/rand/v2"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/slot"
	"tamarackrun/internal/state/configuration"
)

const (
	meanServiceTime  = 20 * time.Millisecond
	fairnessDuration = 200 * time.Second
	// surplusFactor is how many times its rate the heavy organisation sends.
	surplusFactor = 5
	// fullLoad is the fraction of a server's slots that all requests need while
	// one organisation sends surplusFactor times its rate.
	fullLoad = 0.96
	// fifoQueuePerSlot bounds the baseline's queue, as package slot bounds its own.
	fifoQueuePerSlot = 8
	slotTimeout      = 2 * time.Second
)

// simRequest is one request at a simulated server.
type simRequest struct {
	slot.Request
	arrived     time.Duration
	serviceTime time.Duration
	pending     *slot.Pending
	// ended is called once, with the latency if the request ran.
	ended func(ran bool, latency time.Duration)
}

// simServer simulates one backend server. Without a gate it runs requests in the
// order of their arrival.
type simServer struct {
	*simulation
	slots, running int
	gate           *slot.Gate
	waiting        []*simRequest
}

func newSimServer(sim *simulation, slots int, fair bool) *simServer {
	s := &simServer{simulation: sim, slots: slots}
	if fair {
		s.gate = slot.New(slots, sim)
	}
	return s
}

func (s *simServer) submit(v *simRequest) {
	v.arrived = s.now
	switch {
	case s.gate != nil:
		v.pending = s.gate.Submit(v.Request)
	case len(s.waiting) >= fifoQueuePerSlot*s.slots:
		v.ended(false, 0)
		return
	}
	s.waiting = append(s.waiting, v)
	s.dispatch()
}

// dispatch starts the waiting requests that have a slot and ends the refused ones.
func (s *simServer) dispatch() {
	stillWaiting := s.waiting[:0]
	var ready, refused []*simRequest
	for _, v := range s.waiting {
		run, answered := s.running+len(ready) < s.slots, false
		if s.gate != nil {
			var outcome tamarackrun.Outcome
			outcome, answered = v.pending.Poll()
			run = answered && outcome == tamarackrun.Done
		}
		switch {
		case run:
			ready = append(ready, v)
		case answered:
			refused = append(refused, v)
		default:
			stillWaiting = append(stillWaiting, v)
		}
	}
	s.waiting = stillWaiting
	for _, v := range ready {
		s.start(v)
	}
	for _, v := range refused {
		v.ended(false, 0)
	}
}

func (s *simServer) start(v *simRequest) {
	s.running++
	s.after(v.serviceTime, func() {
		s.running--
		if s.gate != nil {
			v.pending.Release()
		}
		s.dispatch()
		v.ended(true, s.now-v.arrived)
	})
}

// results holds the latencies and the number of refusals by the organisation's name.
type results struct {
	latency map[string]latencies
	refused map[string]int
}

// trafficSource is the traffic of one organisation at one server. Rates are in
// requests per second. Batch requests take 5 times as long as others.
type trafficSource struct {
	organisation configuration.Organisation
	perSecond    float64
	// allowedRate is the part of the organisation's rate that falls to this server.
	allowedRate float64
	batch       bool
}

// runLoad sends the traffic of the sources to one server, which has a gate if fair
// is true.
func runLoad(seed uint64, slots int, fair bool, sources []trafficSource) results {
	sim := newSimulation(seed)
	server := newSimServer(sim, slots, fair)
	result := results{map[string]latencies{}, map[string]int{}}
	for i, source := range sources {
		name := source.organisation.Name
		if source.batch {
			name += " batch"
		}
		result.latency[name] = newLatencies()
		sim.poisson(seed, uint64(i)+1, source.perSecond, func(random *rand.Rand) {
			mean := meanServiceTime
			if source.batch {
				mean *= 5
			}
			v := &simRequest{serviceTime: uniform(random, mean), Request: source.request(sim.now, mean)}
			v.ended = func(ran bool, latency time.Duration) {
				if ran {
					result.latency[name].add(latency)
				} else {
					result.refused[name]++
				}
			}
			server.submit(v)
		})
	}
	sim.runUntil(fairnessDuration)
	return result
}

func (s trafficSource) request(now, cost time.Duration) slot.Request {
	return slot.Request{Organisation: s.organisation.Name, Weight: s.organisation.Weight, Batch: s.batch, Cost: cost,
		Deadline: now + slotTimeout, Rate: s.allowedRate}
}

// worstP99 returns the highest p99 of the interactive sources but one, as a ratio to
// the p99 of the same source alone on the server, and the number of their refusals.
func (r results) worstP99(seed uint64, slots int, sources []trafficSource, except string) (ratio, refused float64) {
	for _, source := range sources {
		name := source.organisation.Name
		if name == except || source.batch {
			continue
		}
		alone := runLoad(seed, slots, true, []trafficSource{source}).latency[name].millis(99)
		ratio = max(ratio, r.latency[name].millis(99)/alone)
		refused += float64(r.refused[name])
	}
	return ratio, refused
}

// sourcesFor returns the sources of a server, scaled so that all requests together,
// with the surplus of the heavy organisation, need the fraction load of its slots.
func sourcesFor(list []configuration.Organisation, heavy string, slots int, load float64) []trafficSource {
	total := 0.0
	for _, o := range list {
		total += o.Rate
		if o.Name == heavy {
			total += (surplusFactor - 1) * o.Rate
		}
	}
	scale := load * float64(slots) / meanServiceTime.Seconds() / total
	sources := make([]trafficSource, 0, len(list))
	for _, o := range list {
		source := trafficSource{organisation: o, perSecond: scale * o.Rate, allowedRate: scale * o.Rate}
		if o.Name == heavy {
			source.perSecond *= surplusFactor
		}
		sources = append(sources, source)
	}
	return sources
}

// withEqualRates returns the organisations with the same rate and weight for each.
func withEqualRates(list []configuration.Organisation) []configuration.Organisation {
	var result []configuration.Organisation
	for _, o := range list {
		o.Rate, o.Weight = 1, 1
		result = append(result, o)
	}
	return result
}

func fairnessRows(seed uint64, u user) []Row {
	var rows []Row
	heavy := u.largestOrganisation().Name
	for _, c := range []struct {
		name string
		list []configuration.Organisation
		load float64
	}{
		{"equal rates, 96% load", withEqualRates(u.organisations()), fullLoad},
		{"document's rates, 96% load", u.organisations(), fullLoad},
		{"document's rates, 140% load", u.organisations(), 1.4},
	} {
		sources := sourcesFor(c.list, heavy, u.slots(), c.load)
		policy, policyRefused := runLoad(seed, u.slots(), true, sources).worstP99(seed, u.slots(), sources, heavy)
		base, baseRefused := runLoad(seed, u.slots(), false, sources).worstP99(seed, u.slots(), sources, heavy)
		rows = append(rows,
			Row{Case: c.name, Measure: "worst p99", Unit: "of alone", Policy: policy, Baseline: base, Target: ptr(2)},
			Row{Case: c.name, Measure: "refused inside the rate", Unit: "requests", Policy: policyRefused, Baseline: baseRefused})
	}
	if u.hasBatch {
		rows = append(rows, batchFairness(seed, u)...)
	}
	return labelRows("fairness", u, rows)
}

// batchFairness compares interactive checks, which need 50% of the slots, beside
// batch histories, which need 46%.
func batchFairness(seed uint64, u user) []Row {
	o := u.largestOrganisation()
	perSecond := float64(u.slots()) / meanServiceTime.Seconds()
	sources := []trafficSource{{organisation: o, perSecond: 0.5 * perSecond, allowedRate: perSecond},
		{organisation: o, perSecond: 0.46 * perSecond / 5, allowedRate: perSecond, batch: true}}
	policy, base := runLoad(seed, u.slots(), true, sources), runLoad(seed, u.slots(), false, sources)
	row := func(measure, name string, quantile float64) Row {
		return Row{Case: "checks beside histories", Measure: measure, Unit: "ms",
			Policy: policy.latency[name].millis(quantile), Baseline: base.latency[name].millis(quantile)}
	}
	return []Row{row("interactive p50", o.Name, 50), row("interactive p99", o.Name, 99), row("batch p99", o.Name+" batch", 99)}
}

func ptr(f float64) *float64 { return &f }

// labelRows sets the experiment and the user of the rows.
func labelRows(experiment string, u user, rows []Row) []Row {
	for i := range rows {
		rows[i].Experiment, rows[i].User = experiment, u.name
	}
	return rows
}
