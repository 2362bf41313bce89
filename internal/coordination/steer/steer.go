// Package steer chooses the backend server for a request. Requests for the same object
// go to the same server where possible, by weighted rendezvous hashing; others go to
// the least loaded server.
package steer

import (
	"fmt"
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
	// remotePenalty is added to the load of servers in other regions when a server
	// for a request without an object is chosen, as a fraction of the slots.
	remotePenalty = 0.25
	// tieJitter is the range of a random addition to the load, which puts servers of
	// the same load in random order.
	tieJitter = 0.1
	// maxOutstanding is the number of outstanding requests of this instance at which
	// a server is skipped.
	maxOutstanding = 9
	// reportLifetime is how long a server's load report is used as it is. After it, a
	// reported queue counts as shrinking at the rate at which the server works.
	reportLifetime = 400 * time.Millisecond
	// A server counts as overloaded only if its average response time is at least
	// slowFraction of the target latency.
	slowFraction = 0.4
	// responseTimeWeight is the weight of the latest answer in the moving average of
	// the response time.
	responseTimeWeight = 0.2
	// initialBackoff is how long a server gets no requests after a failed connection.
	// The time doubles with each further failure, up to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
)

// Query holds the properties of a request that determine the choice of its server.
type Query struct {
	// Object is the object that the request is about; empty if it names none.
	Object string
	// Region is the region of this instance.
	Region string
	// AllowedRegions holds lists of regions. The server's region must be in each
	// list; an empty list allows all regions.
	AllowedRegions [][]string
	// TargetLatency is the target response time; 0 means none.
	TargetLatency time.Duration
	// Tried holds the names of servers that already received the request.
	Tried []string
	// Grant is the token that another instance has given with the request; nil if there is none. Its
	// server is chosen if it can take the request.
	Grant *Grant
}

// Choice is a chosen server with the reasons, or a server that was too busy.
type Choice struct {
	Server *registry.Server
	// Rank is the server's position among the allowed servers, from 0.
	Rank int
	// Outstanding is the number of requests that this instance already had at the
	// server.
	Outstanding int
	// Probe is true if the server is ejected and the request tests it.
	Probe bool
	// ColdFor is for how long the server still counted as cold, 0 if it counted as warm.
	ColdFor time.Duration
	// Limited is true if the request counts against this instance's share of the server's rate limit.
	Limited bool
	// Granted is true if the grant of the query is used.
	Granted bool
	// ColdAdmitted is when AdmitCold has counted the request; zero if it has not.
	ColdAdmitted time.Time
	// RetryAfter is the time until this instance may send a request to a server that it has not
	// chosen because of the server's rate limit, or because it wants no requests for some time;
	// 0 if that is not the reason.
	RetryAfter time.Duration
	// HeardAge is the time since the server has said in an answer that it is leaving or wants no
	// requests for some time; 0 if that is not why it was not chosen.
	HeardAge time.Duration
	// Overload is the load for which the server was not chosen; nil if it was chosen.
	Overload *LoadReport
	// Skipped says why the servers before this one, or all servers, were not chosen.
	Skipped Skipped
}

// Skipped counts servers that were not chosen, by the reason.
type Skipped struct {
	// Full servers have maxOutstanding requests of this instance, Paused ones have refused a
	// connection lately, Ejected ones have failed requests, and Cold ones have got as many requests
	// as they may while they are cold.
	Full, Paused, Ejected, Cold int
}

// String returns the counts for logs.
func (s Skipped) String() string {
	return fmt.Sprintf("full %d, paused %d, ejected %d, cold %d", s.Full, s.Paused, s.Ejected, s.Cold)
}

// reason returns the reason of most servers.
func (s Skipped) reason() tamarackrun.Reason {
	switch max(s.Full, s.Paused, s.Ejected, s.Cold) {
	case s.Full:
		return tamarackrun.QueueFull
	case s.Paused:
		return tamarackrun.ServerPaused
	case s.Ejected:
		return tamarackrun.ServerEjected
	}
	return tamarackrun.ServerCold
}

// LoadReport is the load that a server reported.
type LoadReport struct {
	// Waiting is the number of waiting requests, and Slots the number that the server
	// runs at a time.
	Waiting, Slots int
	// Age is the time since the report.
	Age time.Duration
	// ResponseTime is the moving average of the server's response time.
	ResponseTime time.Duration
}

// serverState holds what the balancer has observed of one server.
type serverState struct {
	// outstanding is the number of this instance's requests at the server.
	outstanding int
	health      health.Tracker
	// The server gets no requests until backoffUntil, because a connection failed.
	// backoff is the length of the latest such pause.
	backoffUntil time.Time
	backoff      time.Duration
	// coldUntil is the time until which the server counts as cold after a failed
	// connection, because its process may have restarted, or because it said so.
	coldUntil time.Time
	// service and startMillis are from the server's latest record.
	service     string
	startMillis int64
	// rateLimit is the number of requests per second that the server takes from all instances
	// together; nil if it has named none since the limit ended. limitHeard is when an answer named
	// a limit last.
	rateLimit  *float64
	limitHeard time.Time
	// waiting and slots are from the latest load report, received at reportedAt.
	waiting, slots int
	reportedAt     time.Time
	// responseTime is the moving average of the response time, and serviceTime that of the
	// part of it for which the request did not wait.
	responseTime, serviceTime time.Duration
	// sentSince is the number of requests that this instance has sent since the report, and
	// ownShare its part of the requests that the server had then, above 0.
	sentSince int
	ownShare  float64
}

// overloaded reports whether the server recently reported a long queue and is slow. A
// long queue alone does not count if answers arrive well before the target latency.
func (st *serverState) overloaded(now time.Time, targetLatency time.Duration) bool {
	return st.slots > 0 && st.waitingAt(now) >= float64(st.slots) && float64(st.responseTime) >= slowFraction*float64(targetLatency)
}

// waitingAt estimates how many requests wait at the server from its latest report. If some
// waited then, the other instances are taken to have sent as many requests since, in
// proportion, as this one.
func (st *serverState) waitingAt(now time.Time) float64 {
	waiting := float64(st.waiting)
	if age := now.Sub(st.reportedAt); age >= reportLifetime && st.serviceTime > 0 {
		waiting -= float64(st.slots) * float64(age) / float64(st.serviceTime)
	}
	if st.waiting > 0 {
		waiting += float64(st.sentSince) / st.ownShare
	}
	return waiting
}

// coldFor returns for how long the server, whose state this is, still counts as cold.
func (st *serverState) coldFor(now time.Time, server *registry.Server) time.Duration {
	return max(0, server.ColdUntil.Sub(now), st.coldUntil.Sub(now))
}

// idle reports whether the server recently reported an empty queue.
func (st *serverState) idle(now time.Time) bool { return st.hasRecentReport(now) && st.waiting == 0 }

// hasRecentReport reports whether the latest load report is still used.
func (st *serverState) hasRecentReport(now time.Time) bool {
	return st.slots > 0 && now.Sub(st.reportedAt) < reportLifetime
}

// Balancer chooses servers and takes the outcomes of earlier requests into account. Its
// exported fields are set before the first call of Choose. It is safe for concurrent
// use.
type Balancer struct {
	// AdmitCold reports whether a cold server may get a request now.
	AdmitCold func(now time.Time, server *registry.Server) bool
	// ReturnCold is called for a request that AdmitCold has counted at the given time and that is not sent.
	ReturnCold func(admitted time.Time, server *registry.Server)
	// CountWarm is called with each choice of a server that is not known to be cold.
	CountWarm func(now time.Time, server *registry.Server)
	// AdmitLimited reports whether a server that has named a rate limit, in requests per second
	// for all instances, may get a request now, and otherwise when. It counts the request.
	AdmitLimited func(now time.Time, server *registry.Server, limit float64) (admitted bool, retryAfter time.Duration)
	// ReturnLimited is called for a request that AdmitLimited has counted and that did not reach
	// the server.
	ReturnLimited func(now time.Time, server *registry.Server)
	// ColdTime returns how long servers of a service are cold after their start.
	ColdTime func(service string) time.Duration

	mu        sync.Mutex
	servers   map[string]*serverState
	createdAt time.Time
	// candidates and weights are the memory for the candidates of one choice and the weights
	// of their regions.
	candidates []candidate
	weights    []regionWeight
	// notices holds what servers have said about further requests, by their names.
	notices map[string]notice
	// confined holds the fraction of the fleet's requests that may run only in each region,
	// from 0 to 1, as averaged up to confinedAt; nil until it is known.
	confined   map[string]float64
	confinedAt time.Time
}

// New returns a balancer without observations.
func New() *Balancer {
	return &Balancer{servers: map[string]*serverState{}, notices: map[string]notice{}, createdAt: time.Now()}
}

// candidate is a server that may get the request. Lower scores are better.
type candidate struct {
	server *registry.Server
	score  float64
}

// Choose returns the best server and counts a request there, for which the caller must
// call Done. If no server is chosen, it returns the reason instead, with the overloaded
// server if there was one.
func (b *Balancer) Choose(now time.Time, servers []*registry.Server, q Query) (Choice, tamarackrun.Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	refusal, why := b.listCandidates(now, servers, q)
	if len(b.candidates) == 0 {
		return refusal, why
	}
	if c, ok := b.chooseGranted(now, q); ok {
		return c, ""
	}
	refused, reason, skipped := Choice{}, tamarackrun.QueueFull, Skipped{}
	for i := range b.candidates {
		b.moveBest(i)
		c := b.candidates[i]
		st := b.stateOf(c.server)
		switch {
		case now.Before(st.backoffUntil):
			skipped.Paused++
			continue
		case st.outstanding >= maxOutstanding:
			skipped.Full++
			continue
		}
		if !st.health.Ejected() && st.overloaded(now, q.TargetLatency) {
			overload := Choice{Server: c.server, Rank: i, Overload: &LoadReport{st.waiting, st.slots, now.Sub(st.reportedAt), st.responseTime}}
			// The second server may not have the object's data and then needs several
			// times as long, so it gets the request only if its queue is empty.
			if q.Object != "" && (i > 0 || len(b.candidates) == 1 || !b.second().idle(now)) {
				return overload, tamarackrun.ServerBusy
			}
			refused, reason = overload, tamarackrun.ServerBusy
			continue
		}
		admitted, probe := st.health.Admit(now.Sub(b.createdAt), true)
		if !admitted && !b.allEjected() {
			skipped.Ejected++
			continue
		}
		coldFor := st.coldFor(now, c.server)
		admitted = coldFor == 0 || b.AdmitCold(now, c.server)
		if !admitted {
			skipped.Cold++
		}
		if admitted && st.rateLimit != nil {
			var retryAfter time.Duration
			if admitted, retryAfter = b.AdmitLimited(now, c.server, *st.rateLimit); !admitted && reason == tamarackrun.QueueFull {
				refused, reason = Choice{Server: c.server, Rank: i, RetryAfter: retryAfter}, tamarackrun.ServerLimited
			}
		}
		if !admitted {
			if probe {
				st.health.ObserveProbe(now.Sub(b.createdAt), health.Inconclusive)
			}
			continue
		}
		if coldFor == 0 {
			b.CountWarm(now, c.server)
		}
		st.outstanding++
		st.sentSince++
		choice := Choice{Server: c.server, Rank: i, Outstanding: st.outstanding - 1, Probe: probe, ColdFor: coldFor, Limited: st.rateLimit != nil,
			Skipped: skipped}
		if coldFor > 0 {
			choice.ColdAdmitted = now
		}
		return choice, ""
	}
	if reason == tamarackrun.QueueFull {
		refused.Skipped, reason = skipped, skipped.reason()
	}
	return refused, reason
}

// moveBest moves the best of the candidates from the position on to that position. The first
// ones are usually enough, so the candidates are not sorted.
func (b *Balancer) moveBest(position int) {
	best := position
	for i := position + 1; i < len(b.candidates); i++ {
		if b.candidates[i].score < b.candidates[best].score {
			best = i
		}
	}
	b.candidates[position], b.candidates[best] = b.candidates[best], b.candidates[position]
}

// second returns the state of the second best candidate, while the best one is at the first
// position.
func (b *Balancer) second() *serverState {
	b.moveBest(1)
	return b.stateOf(b.candidates[1].server)
}

// allEjected reports whether all candidates are ejected.
func (b *Balancer) allEjected() bool {
	for _, c := range b.candidates {
		if st := b.servers[c.server.Name]; st == nil || !st.health.Ejected() {
			return false
		}
	}
	return true
}

// listCandidates sets b.candidates to the allowed servers that have not asked for no requests, in
// any order. It returns the refusal of the request if there are none, with the server that takes
// requests again first.
func (b *Balancer) listCandidates(now time.Time, servers []*registry.Server, q Query) (refusal Choice, why tamarackrun.Reason) {
	b.candidates, why = b.candidates[:0], tamarackrun.NoHealthyServer
	objectHash := uint64(0)
	if q.Object != "" {
		objectHash = rendezvous.Hash(q.Object)
		b.setWeights(servers, q)
	}
	for _, server := range servers {
		if !allows(q.AllowedRegions, server.Region) {
			continue
		}
		if reason, n := b.barredFor(now, server); reason != "" {
			rest := n.restUntil.Sub(now)
			if why == tamarackrun.NoHealthyServer || reason == tamarackrun.ServerResting && (why != reason || rest < refusal.RetryAfter) {
				refusal, why = Choice{Server: server, RetryAfter: max(0, rest), HeardAge: now.Sub(n.heardAt)}, reason
			}
			continue
		}
		if slices.Contains(q.Tried, server.Name) {
			continue
		}
		c := candidate{server: server}
		if q.Object != "" {
			c.score = weightedScore(objectHash, server.Hash, b.weightOf(server.Region).weight)
		} else {
			// Without the jitter, the same idle server would always come first.
			c.score = b.loadOf(server) + rand.Float64()*tieJitter
			if server.Region != q.Region {
				c.score += remotePenalty
			}
		}
		b.candidates = append(b.candidates, c)
	}
	return refusal, why
}

// weightedScore returns a server's score in weighted rendezvous hashing, from the hashes of the
// object and the server. A server has the lowest score, which is the best, with a probability
// proportional to its weight.
func weightedScore(object, server uint64, weight float64) float64 {
	uniform := (float64(rendezvous.Mix(object, server)) + 1) / (math.MaxUint64 + 1)
	return -math.Log(uniform) / weight
}

// allows reports whether each list is empty or contains the region.
func allows(lists [][]string, region string) bool {
	for _, l := range lists {
		if len(l) > 0 && !slices.Contains(l, region) {
			return false
		}
	}
	return true
}

// loadOf returns this instance's outstanding requests at a server as a fraction of its
// slots.
func (b *Balancer) loadOf(server *registry.Server) float64 {
	st := b.servers[server.Name]
	if st == nil {
		return 0
	}
	return float64(st.outstanding) / float64(server.Slots)
}

// stateOf returns the state of a server, and resets it if the server's process is new.
func (b *Balancer) stateOf(server *registry.Server) *serverState {
	st := b.servers[server.Name]
	if st == nil {
		st = &serverState{startMillis: server.StartMillis}
		b.servers[server.Name] = st
	}
	if st.startMillis != server.StartMillis {
		// Failures of the previous process say nothing about a new one of the same name.
		*st = serverState{startMillis: server.StartMillis, outstanding: st.outstanding}
	}
	st.service = server.Service
	return st
}

// processState returns the state of a server, or nil if there is none of its process. The caller holds b.mu.
func (b *Balancer) processState(server *registry.Server) *serverState {
	if st := b.servers[server.Name]; st != nil && st.startMillis == server.StartMillis {
		return st
	}
	return nil
}

// Cancel ends a request that Choose counted and that did not reach the server, for a reason that shows
// nothing about the server.
func (b *Balancer) Cancel(now time.Time, c Choice) {
	if c.Limited {
		b.ReturnLimited(now, c.Server)
	}
	if !c.ColdAdmitted.IsZero() {
		b.ReturnCold(c.ColdAdmitted, c.Server)
	}
	b.Done(now, c, health.Inconclusive, false, 0)
}

// Done records the result of a request that Choose counted. serverCount is the number of
// servers of the service. Done reports whether the result ejected or reinstated the
// server.
func (b *Balancer) Done(now time.Time, c Choice, result health.Result, connectFailed bool, serverCount int) (ejected, reinstated bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.servers[c.Server.Name]
	if st == nil {
		return false, false
	}
	st.outstanding--
	if connectFailed && c.Limited {
		b.ReturnLimited(now, c.Server)
	}
	if st.startMillis != c.Server.StartMillis {
		// A request to the previous process, which may end late, shows nothing about the new one.
		return false, false
	}
	if connectFailed {
		st.backoff = min(maxBackoff, max(initialBackoff, 2*st.backoff))
		st.backoffUntil = now.Add(st.backoff)
		st.coldUntil = st.backoffUntil.Add(b.ColdTime(c.Server.Service))
	} else if result == health.Success {
		st.backoff = 0
	}
	at := now.Sub(b.createdAt)
	if c.Probe {
		return false, st.health.ObserveProbe(at, result)
	}
	return st.health.Observe(at, result, b.mayEject(c.Server.Service, serverCount)), false
}

// Forgive takes back the pauses and ejections that failures since the given time have caused, because
// the instance had lost its links to the servers. The servers still count as cold for as long: they
// may have restarted meanwhile.
func (b *Balancer) Forgive(since time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, st := range b.servers {
		if !st.backoffUntil.Add(-st.backoff).Before(since) {
			st.backoff, st.backoffUntil = 0, time.Time{}
		}
		st.health.Forgive(since.Sub(b.createdAt))
	}
}

// MarkCold records that a server is cold until the given time. It does nothing if a new process
// has taken the server's place meanwhile.
func (b *Balancer) MarkCold(server *registry.Server, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if st := b.processState(server); st != nil && until.After(st.coldUntil) {
		st.coldUntil = until
	}
}

// ReportLoad records the load that a server reported in an answer, and the answer's
// response time, which is 0 if the server did not run the request. Answers of a previous process
// of the server are ignored.
func (b *Balancer) ReportLoad(now time.Time, server *registry.Server, waiting, slots int, responseTime time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if st := b.processState(server); st != nil {
		st.waiting, st.slots, st.reportedAt, st.sentSince = waiting, slots, now, 0
		st.ownShare = min(1, float64(st.outstanding+1)/float64(max(1, waiting+slots)))
		if responseTime == 0 {
			// A refusal comes at once, however long the queue is.
			return
		}
		st.responseTime += time.Duration(responseTimeWeight * float64(responseTime-st.responseTime))
		// The request has waited behind about as many others as wait now.
		service := float64(responseTime) / (1 + float64(waiting)/float64(max(1, slots)))
		if st.serviceTime == 0 {
			st.serviceTime = time.Duration(service)
		}
		st.serviceTime += time.Duration(responseTimeWeight * (service - float64(st.serviceTime)))
	}
}

// ReportLimit records the rate limit that a server named in the answer to a request that was sent at
// the given time, or nil if the answer names none. A slow request may be answered without a limit that
// began while it ran, so only a request that was sent since the limit was named shows that it has ended.
// Answers of a previous process of the server are ignored.
func (b *Balancer) ReportLimit(now time.Time, server *registry.Server, limit *float64, sent time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st := b.processState(server)
	switch {
	case st == nil:
	case limit != nil:
		st.rateLimit, st.limitHeard = limit, now
	case sent.After(st.limitHeard):
		st.rateLimit = nil
	}
}

// mayEject reports whether a further server of a service may be ejected, so that enough
// of its servers remain. Ejected servers of other services do not count.
func (b *Balancer) mayEject(service string, serverCount int) bool {
	ejected := 0
	for _, st := range b.servers {
		if st.service == service && st.health.Ejected() {
			ejected++
		}
	}
	return ejected < health.MaxEjected(serverCount)
}

// Forget drops the state of servers that have no outstanding requests, unless keep
// returns true for them, and what servers have said that no longer matters.
func (b *Balancer) Forget(now time.Time, keep func(name string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forgetNotices(now)
	for name, st := range b.servers {
		if st.outstanding == 0 && !keep(name) {
			delete(b.servers, name)
		}
	}
}
