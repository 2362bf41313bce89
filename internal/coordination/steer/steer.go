// Package steer chooses the backend server of a request.
package steer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/health"
	"tamarackrun/internal/coordination/rendezvous"
	"tamarackrun/internal/state/registry"
)

const (
	// farWeight is the least weight of servers in other regions for an object,
	// relative to those in the own one. The part of the requests that stays depends
	// on the number of servers there, so that a small region is not overloaded.
	farWeight = 0.2
	// stayPart bounds the part of a region's requests that its own servers get, if
	// all regions ask for the same: this part of what the region can run. The rest
	// is for requests of other regions.
	stayPart = 0.75
	// farPenalty is how much busier an own server may be than one in another
	// region, as a part of its slots, for requests without an object.
	farPenalty = 0.25
	// tieSpread orders servers of the same load at random.
	tieSpread = 0.1
	// maxOutstanding is the number of an instance's own requests at one server
	// from which on the next rank is taken.
	maxOutstanding = 9
	// reportAge is how long a server's report of its load counts.
	reportAge = 400 * time.Millisecond
	// slowPart is the part of the response-time goal that the answers of a
	// server with a long queue take at least, and tookWeight the weight of the
	// latest answer in their average.
	slowPart   = 0.4
	tookWeight = 0.2
	// firstSuspicion is how long a server gets nothing after a connection to
	// it failed; it doubles up to maxSuspicion.
	firstSuspicion = 500 * time.Millisecond
	maxSuspicion   = 4 * time.Second
)

// Query is what the choice depends on.
type Query struct {
	// Object is empty if the request names none.
	Object string
	// Region is the instance's own.
	Region string
	// AllowedRegions are the lists of regions that all must hold the server's; an
	// empty one allows all.
	AllowedRegions [][]string
	// TargetLatency is the response-time goal; 0 means none.
	TargetLatency time.Duration
	// Tried are servers that had the request already.
	Tried []string
}

// Choice is a chosen server and what led to it.
type Choice struct {
	Server *registry.Server
	// Rank is the position among the allowed servers, from 0.
	Rank int
	// Outstanding is the number of the own requests at the server before.
	Outstanding int
	// Probe says that the server is ejected and the request tests it.
	Probe bool
	// Overload is why the server was not chosen; nil if it was.
	Overload *LoadReport
}

// LoadReport is what makes a server too busy for a request.
type LoadReport struct {
	// Waiting and Slots are what the server reported, Age ago.
	Waiting, Slots int
	Age            time.Duration
	// ResponseTime is the average time of its latest answers.
	ResponseTime time.Duration
}

type state struct {
	outstanding int
	health      health.Tracker
	// suspectUntil and suspicion follow failed connections.
	suspectUntil time.Time
	suspicion    time.Duration
	// coldUntil is how long the server is taken as cold after its port refused
	// connections, as its process may have started again.
	coldUntil time.Time
	// service is that of the server's latest record.
	service string
	born    int64
	// waiting and slots are what the server said last, at the time reported.
	waiting, slots int
	reported       time.Time
	// took is the average time of the latest answers.
	took time.Duration
}

// overloaded says that the server has reported a long queue lately. A server whose
// answers come early is not believed.
func (st *state) overloaded(now time.Time, goal time.Duration) bool {
	return st.heard(now) && st.waiting >= st.slots && float64(st.took) >= slowPart*float64(goal)
}

// idle says that the server has reported no queue lately.
func (st *state) idle(now time.Time) bool { return st.heard(now) && st.waiting == 0 }

func (st *state) heard(now time.Time) bool { return st.slots > 0 && now.Sub(st.reported) < reportAge }

// Balancer chooses servers and learns from outcomes. It is safe for concurrent
// use.
type Balancer struct {
	// AdmitCold says whether a cold server may get a request now; set before the
	// first Choose.
	AdmitCold func(now time.Time, server *registry.Server) bool
	// ColdTime is how long servers of a service are cold after their start; set
	// before the first Choose.
	ColdTime func(service string) time.Duration

	mu      sync.Mutex
	servers map[string]*state
	started time.Time
}

// New returns a steering that knows no outcome.
func New() *Balancer { return &Balancer{servers: map[string]*state{}, started: time.Now()} }

type candidate struct {
	server *registry.Server
	rank   float64
}

// Choose returns the best server and counts a request there. Done must be
// called for it, unless there is a reason why no server was chosen.
func (s *Balancer) Choose(now time.Time, servers []*registry.Server, q Query) (Choice, tamarackrun.Reason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.rank(servers, q)
	if len(list) == 0 {
		return Choice{}, tamarackrun.NoHealthyServer
	}
	ejected := 0
	for _, c := range list {
		if st := s.servers[c.server.Name]; st != nil && st.health.Ejected() {
			ejected++
		}
	}
	refusal, reason := Choice{}, tamarackrun.QueueFull
	for i, c := range list {
		st := s.state(c.server)
		if st.outstanding >= maxOutstanding || now.Before(st.suspectUntil) {
			continue
		}
		if !st.health.Ejected() && st.overloaded(now, q.TargetLatency) {
			busy := Choice{Server: c.server, Rank: i, Overload: &LoadReport{st.waiting, st.slots, now.Sub(st.reported), st.took}}
			// The next server may not know the object and then needs several
			// times as long, so that it gets the request only if it has room.
			if q.Object != "" && (i > 0 || len(list) == 1 || !s.state(list[1].server).idle(now)) {
				return busy, tamarackrun.ServerBusy
			}
			refusal, reason = busy, tamarackrun.ServerBusy
			continue
		}
		admitted, probe := st.health.Admit(now.Sub(s.started), true)
		if !admitted && ejected < len(list) {
			continue
		}
		if (c.server.Cold(now) || now.Before(st.coldUntil)) && !s.AdmitCold(now, c.server) {
			if probe {
				st.health.ObserveProbe(now.Sub(s.started), health.Inconclusive)
			}
			continue
		}
		st.outstanding++
		return Choice{Server: c.server, Rank: i, Outstanding: st.outstanding - 1, Probe: probe}, ""
	}
	return refusal, reason
}

// rank orders the allowed servers, the best first.
func (s *Balancer) rank(servers []*registry.Server, q Query) []candidate {
	list := make([]candidate, 0, len(servers))
	far := 0.0
	if q.Object != "" {
		far = weightOfFar(servers, q)
	}
	for _, v := range servers {
		if !allows(q.AllowedRegions, v.Region) || slices.Contains(q.Tried, v.Name) {
			continue
		}
		c := candidate{server: v}
		weight, penalty := 1.0, 0.0
		if v.Region != q.Region {
			weight, penalty = far, farPenalty
		}
		if q.Object != "" {
			c.rank = weightedRank(q.Object, v.Name, weight)
		} else {
			// Without the random part, idle servers would be chosen by name.
			c.rank = s.load(v) + rand.Float64()*tieSpread + penalty
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	return list
}

// weightOfFar returns the weight of servers in other regions. It is above farWeight
// if the own region has so few servers that they would get more than their part.
// It depends on neither load nor earlier attempts, so that ranks stay the same.
func weightOfFar(servers []*registry.Server, q Query) float64 {
	regions := map[string]bool{}
	own, all := 0.0, 0.0
	for _, v := range servers {
		if allows(q.AllowedRegions, v.Region) {
			regions[v.Region] = true
			all++
			if v.Region == q.Region {
				own++
			}
		}
	}
	if own == 0 || own == all {
		return farWeight
	}
	// With the weight w, a part own / (own + w (all - own)) of the requests stays.
	even := (all/(stayPart*float64(len(regions))) - own) / (all - own)
	return min(1, max(farWeight, even))
}

// weightedRank is the rank in weighted rendezvous hashing: a server is first with
// a probability in proportion to its weight, and lower is better.
func weightedRank(object, server string, weight float64) float64 {
	u := (float64(rendezvous.Score(object, server)) + 1) / (math.MaxUint64 + 1)
	return -math.Log(u) / weight
}

func allows(lists [][]string, region string) bool {
	for _, l := range lists {
		if len(l) > 0 && !slices.Contains(l, region) {
			return false
		}
	}
	return true
}

// load is the part of the slots that own requests use.
func (s *Balancer) load(v *registry.Server) float64 {
	st := s.servers[v.Name]
	if st == nil {
		return 0
	}
	return float64(st.outstanding) / float64(v.Slots)
}

func (s *Balancer) state(v *registry.Server) *state {
	st := s.servers[v.Name]
	if st == nil {
		st = &state{born: v.StartMillis}
		s.servers[v.Name] = st
	}
	if st.born != v.StartMillis {
		// A new process behind the same name has none of the old one's faults.
		*st = state{born: v.StartMillis, outstanding: st.outstanding}
	}
	st.service = v.Service
	return st
}

// Done takes the outcome of a request that Choose counted. It returns whether
// the server was ejected or reinstated by it.
func (s *Balancer) Done(now time.Time, c Choice, result health.Result, connectFailed bool, servers int) (ejected, reinstated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.servers[c.Server.Name]
	if st == nil {
		return false, false
	}
	st.outstanding--
	if connectFailed {
		st.suspicion = min(maxSuspicion, max(firstSuspicion, 2*st.suspicion))
		st.suspectUntil = now.Add(st.suspicion)
		st.coldUntil = st.suspectUntil.Add(s.ColdTime(c.Server.Service))
	} else if result == health.Success {
		st.suspicion = 0
	}
	at := now.Sub(s.started)
	if c.Probe {
		return false, st.health.ObserveProbe(at, result)
	}
	return st.health.Observe(at, result, s.mayEject(c.Server.Service, servers)), false
}

// ReportLoad takes what a server says of its load in an answer, and how long the
// answer took.
func (s *Balancer) ReportLoad(now time.Time, server string, waiting, slots int, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.servers[server]; st != nil {
		st.waiting, st.slots, st.reported = waiting, slots, now
		st.took += time.Duration(tookWeight * float64(took-st.took))
	}
}

// mayEject keeps enough servers of a service, of which there are n. Ejected
// servers of other services do not count.
func (s *Balancer) mayEject(service string, n int) bool {
	ejected := 0
	for _, st := range s.servers {
		if st.service == service && st.health.Ejected() {
			ejected++
		}
	}
	return ejected < health.MaxEjected(n)
}

// Forget drops what is known of servers that have no request and are not kept.
func (s *Balancer) Forget(keep func(name string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, st := range s.servers {
		if st.outstanding == 0 && !keep(name) {
			delete(s.servers, name)
		}
	}
}
