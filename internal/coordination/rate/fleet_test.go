package rate_test

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/rate"
	"tamarackrun/internal/coordination/share"
)

const organisation = "tea"

// faults selects the kinds of faults in a simulated run.
type faults struct {
	kills, pauses, partitions, outages, lostAnswers, limitChanges, stops bool
}

// options holds the parameters of a simulated run, which determine it completely.
type options struct {
	seed          uint64
	instanceCount int
	limit         rate.Limit
	// load is the highest demand on an instance, in requests per second.
	load     float64
	duration time.Duration
	faults   faults
	// lenderKeepsPart and reclaimWithoutWait are deliberate faults in the code under
	// test.
	lenderKeepsPart, reclaimWithoutWait bool
}

// simulation runs the rate limiting of several instances in virtual time, in one
// goroutine.
type simulation struct {
	options
	random      *rand.Rand
	now         time.Duration
	events      eventQueue
	scheduled   int
	pauseDepth  int
	instances   []*simInstance
	store       map[string]tamarackrun.Object
	outageUntil time.Duration
	admissions  []admission
	// rateIntegral is the integral, up to integratedUntil, of the largest rate that is
	// in force at any instance.
	rateIntegral    float64
	integratedUntil time.Duration
	// counts holds how often each kind of event occurred.
	counts map[string]int
	// maxPartSum is the largest sum so far of the parts of all instances.
	maxPartSum rate.Fraction
}

// admission is an admitted request, with the integral of the rate up to its time and the
// burst at its time, for the check of the bound.
type admission struct{ at, rateIntegral, burst float64 }

// simInstance is a simulated instance. It is also the store, the clock and the recorder of
// its share manager.
type simInstance struct {
	sim  *simulation
	name string
	// clockScale and clockOffset derive the local clock from the simulated time.
	clockScale  float64
	clockOffset time.Duration
	pool        *rate.Pool
	manager     *share.Manager
	// limit is the fleet-wide limit in force at this instance.
	limit rate.Limit
	// inCall is true while the instance is paused inside a call. Its events are then
	// added to deferred.
	inCall   bool
	deferred []*simEvent
	dead     bool
	stopping bool
	// cutUntil is the end of a partition from all other instances and the store.
	// storeCutUntil is the end of a partition from the store alone, during which loans
	// continue.
	cutUntil, storeCutUntil time.Duration
	// load is the demand in requests per second.
	load float64
}

// simEvent is a scheduled action of an instance, or of the simulation if instance is nil.
type simEvent struct {
	at time.Duration
	// order is the order of scheduling, for events at the same time.
	order    int
	instance *simInstance
	run      func()
}

// eventQueue is a heap of events in the order of time.
type eventQueue []*simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(*simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// Now returns the instance's local time. Its clock may be slow, within the drift that the
// terms allow for. It is never fast, because a fast clock refills faster than the rate.
func (in *simInstance) Now() time.Duration {
	return in.clockOffset + time.Duration(float64(in.sim.now)*in.clockScale)
}

// schedule adds an event after a delay.
func (s *simulation) schedule(in *simInstance, d time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.events, &simEvent{s.now + d, s.scheduled, in, run})
}

// runUntil runs all events up to a time.
func (s *simulation) runUntil(end time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(*simEvent)
		s.now = max(s.now, next.at)
		switch in := next.instance; {
		case in == nil:
			next.run()
		case in.dead:
		case in.inCall:
			in.deferred = append(in.deferred, next)
		default:
			next.run()
		}
	}
	s.now = max(s.now, end)
}

// pause pauses an instance inside a call while the other instances continue.
func (s *simulation) pause(in *simInstance, d time.Duration) {
	if s.pauseDepth >= 3 || in.inCall {
		return
	}
	s.counts["pause"]++
	in.inCall = true
	s.pauseDepth++
	s.runUntil(s.now + d)
	s.pauseDepth--
	in.inCall = false
	for _, e := range in.deferred {
		e.at = s.now
		heap.Push(&s.events, e)
	}
	in.deferred = nil
}

// maybePause pauses the instance with a probability. The pauses are of very different
// lengths, up to 50 s.
func (in *simInstance) maybePause(probability float64) {
	if in.sim.faults.pauses && in.sim.random.Float64() < probability {
		longestSeconds := []float64{0.3, 3, 15, 50}[in.sim.random.IntN(4)]
		in.sim.pause(in, time.Duration(in.sim.random.Float64()*longestSeconds*float64(time.Second)))
	}
}

var errNoAnswer = errors.New("no answer")

func (in *simInstance) reachable() bool {
	return in.sim.now >= in.sim.outageUntil && in.sim.now >= in.cutUntil && !in.dead
}

func (in *simInstance) Get(_ context.Context, name string) (tamarackrun.Object, error) {
	in.maybePause(0.01)
	if !in.reachable() {
		return tamarackrun.Object{}, errNoAnswer
	}
	o, ok := in.sim.store[name]
	in.maybePause(0.01)
	if !ok {
		return o, tamarackrun.ErrNotFound
	}
	return o, nil
}

func (in *simInstance) Put(_ context.Context, name string, value []byte, expected int64) (tamarackrun.Object, error) {
	in.maybePause(0.02)
	s := in.sim
	if !in.reachable() {
		return tamarackrun.Object{}, errNoAnswer
	}
	lost := s.faults.lostAnswers && s.random.Float64() < 0.15
	if lost && s.random.Float64() < 0.3 {
		// The write takes effect up to 10 s after the caller got an error.
		s.counts["lateWrite"]++
		s.schedule(nil, time.Duration(s.random.Float64()*10*float64(time.Second)), func() { _, _ = s.put(name, value, expected) })
		return tamarackrun.Object{}, errNoAnswer
	}
	o, err := s.put(name, value, expected)
	if lost {
		s.counts["lostAnswer"]++
		return tamarackrun.Object{}, errNoAnswer
	}
	in.maybePause(0.02)
	return o, err
}

// put writes an object if its version is as expected.
func (s *simulation) put(name string, value []byte, expected int64) (tamarackrun.Object, error) {
	if s.store[name].Version != expected {
		s.counts["conflict"]++
		return tamarackrun.Object{}, tamarackrun.ErrConflict
	}
	s.store[name] = tamarackrun.Object{Name: name, Version: expected + 1, Value: value}
	return s.store[name], nil
}

func (in *simInstance) List(_ context.Context, prefix string) ([]tamarackrun.Object, error) {
	if !in.reachable() {
		return nil, errNoAnswer
	}
	var list []tamarackrun.Object
	for name, o := range in.sim.store {
		if strings.HasPrefix(name, prefix) {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	in.maybePause(0.01)
	return list, nil
}

func (in *simInstance) Watch(context.Context, string, int64) (tamarackrun.Object, error) {
	return tamarackrun.Object{}, errNoAnswer
}

func (in *simInstance) Instances(context.Context) ([]tamarackrun.Listing, error) {
	return nil, errNoAnswer
}

func (in *simInstance) Record(id tamarackrun.EventID, _ string, _ ...string) {
	in.sim.counts[fmt.Sprintf("TR%d", id)]++
}

func (in *simInstance) CountOutcome(string, tamarackrun.Outcome) {}

// newSimulation returns a simulation with its first instances and its faults scheduled.
func newSimulation(o options) *simulation {
	s := &simulation{
		options: o,
		random:  rand.New(rand.NewPCG(o.seed, 7)),
		store:   map[string]tamarackrun.Object{},
		counts:  map[string]int{},
	}
	for range o.instanceCount {
		s.startInstance()
	}
	s.trackPartSum()
	for _, f := range []struct {
		on    bool
		every time.Duration
		do    func()
	}{
		{o.faults.kills, 25 * time.Second, func() { s.replaceInstance(func(in *simInstance) { in.dead = true }) }},
		{o.faults.stops, 30 * time.Second, func() { s.replaceInstance(func(in *simInstance) { in.stopping = true }) }},
		{o.faults.partitions, 10 * time.Second, func() {
			in, until := s.pickLive(), s.now+time.Duration(s.random.Float64()*40*float64(time.Second))
			if s.random.IntN(2) == 0 {
				in.cutUntil = until
			} else {
				in.storeCutUntil = until
			}
		}},
		{o.faults.outages, 40 * time.Second, func() { s.outageUntil = s.now + time.Duration(s.random.Float64()*60*float64(time.Second)) }},
		{o.faults.limitChanges, 15 * time.Second, s.changeLimit},
		{true, 7 * time.Second, func() { s.pickLive().load = s.load * s.random.Float64() }},
	} {
		if f.on {
			s.every(f.every, f.do)
		}
	}
	return s
}

// every schedules an action at random intervals of a mean length.
func (s *simulation) every(mean time.Duration, do func()) {
	s.schedule(nil, time.Duration(s.random.ExpFloat64()*float64(mean)), func() { do(); s.every(mean, do) })
}

// pickLive returns a random instance that is not dead.
func (s *simulation) pickLive() *simInstance {
	var live []*simInstance
	for _, in := range s.instances {
		if !in.dead {
			live = append(live, in)
		}
	}
	return live[s.random.IntN(len(live))]
}

// replaceInstance ends a random instance and starts a new one.
func (s *simulation) replaceInstance(end func(*simInstance)) {
	end(s.pickLive())
	s.startInstance()
}

func (s *simulation) startInstance() {
	in := &simInstance{sim: s, name: fmt.Sprintf("i%d", len(s.instances)), clockScale: 1 - 0.005*s.random.Float64(),
		clockOffset: time.Duration(s.random.IntN(1000)) * time.Second, limit: s.limit, load: s.load * s.random.Float64()}
	in.pool = rate.NewPool()
	s.instances = append(s.instances, in)
	in.setLimit(s.limit)
	if s.lenderKeepsPart {
		rate.KeepLentPart(in.pool.Bucket(organisation))
	}
	in.manager = share.New(in, in, in.pool, in, in.name)
	in.manager.UpperTerm, in.manager.FloorTerm, in.manager.Margin, in.manager.Grace = 20*time.Second, 60*time.Second, 300*time.Millisecond, time.Second
	if s.reclaimWithoutWait {
		// Terms of 20 s are then reclaimed after 4.2 s.
		in.manager.Margin = -16 * time.Second
	}
	s.schedule(in, 0, in.reconcile)
	s.schedule(in, 0, in.borrow)
	s.schedule(in, 0, in.request)
}

func (in *simInstance) setLimit(l rate.Limit) {
	in.sim.integrateRate()
	in.limit = l
	in.pool.SetLimits(in.Now(), map[string]rate.Limit{organisation: l})
}

func (s *simulation) changeLimit() {
	s.limit = rate.Limit{Rate: 1 + 80*s.random.Float64(), Burst: 1 + 80*s.random.Float64()}
	limit := s.limit
	for _, in := range s.instances {
		s.schedule(in, time.Duration(s.random.Float64()*float64(time.Second)), func() { in.setLimit(limit) })
	}
}

// largestLimit returns the largest rate and the largest burst in force at any instance.
func (s *simulation) largestLimit() rate.Limit {
	var largest rate.Limit
	for _, in := range s.instances {
		if !in.dead {
			largest = rate.Limit{Rate: max(largest.Rate, in.limit.Rate), Burst: max(largest.Burst, in.limit.Burst)}
		}
	}
	return largest
}

// integrateRate brings rateIntegral up to date.
func (s *simulation) integrateRate() {
	s.rateIntegral += s.largestLimit().Rate * (s.now - s.integratedUntil).Seconds()
	s.integratedUntil = s.now
}

// reconcile runs one step of the share manager, or hands the shares back if the instance
// is stopping.
func (in *simInstance) reconcile() {
	var candidates []share.Candidate
	for _, other := range in.sim.instances {
		// An instance that looks dead is not a candidate. The others then take over
		// its reclaimed shares while it may still be running.
		silent := other.inCall || in.sim.now < max(other.cutUntil, other.storeCutUntil)
		if other == in || !other.dead && !other.stopping && !silent {
			candidates = append(candidates, share.Candidate{Name: other.name, Region: "r"})
		}
	}
	if in.stopping {
		if in.manager.ReturnShares(context.Background()) {
			in.dead = true
			in.sim.counts["handBack"]++
			return
		}
	} else {
		target := share.Target(in.name, share.Holders(organisation, candidates))
		in.manager.Reconcile(context.Background(), map[string]rate.Fraction{organisation: target})
	}
	in.sim.schedule(in, time.Duration((0.1+in.sim.random.Float64())*float64(time.Second)), in.reconcile)
}

// request sends one request through the bucket and schedules the next one.
func (in *simInstance) request() {
	s := in.sim
	if in.stopping {
		return
	}
	s.schedule(in, time.Duration(s.random.ExpFloat64()/max(in.load, 0.1)*float64(time.Second)), in.request)
	s.integrateRate()
	admitted := admission{s.now.Seconds(), s.rateIntegral, s.largestLimit().Burst}
	taken := in.Now()
	in.maybePause(0.0005)
	if !in.pool.Bucket(organisation).Admit(taken) {
		s.counts["refused"]++
		return
	}
	in.maybePause(0.0005)
	if in.Now()-taken > 2*time.Second {
		s.counts["heldTooLong"]++
		return
	}
	s.admissions = append(s.admissions, admitted)
}

// borrow requests, extends and returns loans like an instance in production. Messages
// take random times and may be lost.
func (in *simInstance) borrow() {
	s := in.sim
	s.schedule(in, 50*time.Millisecond, in.borrow)
	b := in.pool.Bucket(organisation)
	var lenders []*simInstance
	for _, other := range s.instances {
		if other != in && !other.dead {
			lenders = append(lenders, other)
		}
	}
	want := b.Shortfall(in.Now(), s.random.IntN(4)).PerLender(len(lenders))
	for _, other := range lenders {
		if want.Part > 0 && s.random.IntN(4) == 0 {
			in.requestLoan(other, want)
		}
	}
	changes := b.Extensions(in.Now())
	if s.random.IntN(4) == 0 {
		returns := b.ReturnUnused(in.Now())
		s.counts["return"] += len(returns)
		changes = append(changes, returns...)
	}
	for _, c := range changes {
		for _, other := range lenders {
			if other.name == c.Lender {
				in.requestLoan(other, c.Request)
			}
		}
	}
}

func (in *simInstance) requestLoan(lender *simInstance, request rate.LoanRequest) {
	s := in.sim
	delay := func() time.Duration { return time.Duration(s.random.ExpFloat64() * 0.08 * float64(time.Second)) }
	lost := func() bool { return s.random.Float64() < 0.05 || s.now < in.cutUntil || s.now < lender.cutUntil }
	requested := in.Now()
	request.Borrower = in.name
	in.maybePause(0.0005)
	if lost() {
		return
	}
	s.schedule(lender, delay(), func() {
		now := lender.Now()
		lender.maybePause(0.0005)
		reply := lender.pool.Bucket(organisation).Lend(now, request, s.random.Uint64())
		for _, peer := range lender.pool.Bucket(organisation).BorrowersToRecall(lender.Now(), request, reply) {
			if !lost() {
				s.recall(peer, delay())
			}
		}
		if reply.ID == 0 || lost() {
			return
		}
		s.schedule(in, delay(), func() {
			now := in.Now()
			in.maybePause(0.0005)
			if in.pool.Bucket(organisation).Accept(now, requested, lender.name, request, reply) {
				s.counts["loan"]++
			} else {
				s.counts["lateLoan"]++
			}
		})
	})
}

// recall sends a recall to a borrower.
func (s *simulation) recall(borrower string, delay time.Duration) {
	for _, in := range s.instances {
		if in.name == borrower && !in.dead {
			s.schedule(in, delay, func() {
				s.counts["recall"]++
				in.pool.Bucket(organisation).NoteRecall(in.Now())
			})
		}
	}
}

// trackPartSum updates maxPartSum at short intervals: the bound holds because the parts
// never sum to more than rate.Whole. Paused instances count, because they may continue
// at any moment.
func (s *simulation) trackPartSum() {
	sum := rate.Fraction(0)
	for _, in := range s.instances {
		if !in.dead {
			sum += rate.PartAt(in.pool.Bucket(organisation), in.Now())
		}
	}
	s.maxPartSum = max(s.maxPartSum, sum)
	s.schedule(nil, 50*time.Millisecond, s.trackPartSum)
}

// worstExcess returns by how many admissions the worst of all intervals exceeds
// rate*t + burst. It is the maximum, over all intervals from admission i to j, of
// (j+1 - integral(j)) - (i - integral(i) + burst(i)), so one pass with the running
// minimum of the second term finds it.
func (s *simulation) worstExcess() float64 {
	sort.SliceStable(s.admissions, func(i, j int) bool { return s.admissions[i].at < s.admissions[j].at })
	least, worst := 1e18, -1e18
	for i, a := range s.admissions {
		least = min(least, float64(i)-a.rateIntegral+a.burst)
		worst = max(worst, float64(i+1)-a.rateIntegral-least)
	}
	return worst
}

// run runs the simulation and returns the worst excess over the bound.
func (s *simulation) run() float64 {
	s.runUntil(s.duration)
	return s.worstExcess()
}
