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

// faults are the failures of a simulated run.
type faults struct {
	kills, freezes, partitions, outages, lostAnswers, limitChanges, stops bool
}

// options describe a run in virtual time; they and the seed decide it.
type options struct {
	seed     uint64
	holders  int
	limit    rate.Limit
	load     float64
	duration time.Duration
	faults   faults
	// overlend and noWait are deliberately wrong variants.
	overlend, noWait bool
}

// simulation runs the product's decisions of several instances in one thread.
type simulation struct {
	options
	random *rand.Rand
	now    time.Duration
	queue  events
	order  int
	depth  int
	actors []*actor
	store  map[string]tamarackrun.Object
	outage time.Duration
	// limits in force, as the largest of any instance, and their integral.
	admissions []admission
	integral   float64
	integrated time.Duration
	counts     map[string]int
	// mostParts is the largest sum of the parts that all instances applied.
	mostParts rate.Fraction
}

// admission holds what the bound needs: the integral of the rate up to the
// time and the burst at the time.
type admission struct{ at, integral, burst float64 }

type actor struct {
	sim     *simulation
	name    string
	scale   float64
	offset  time.Duration
	pool    *rate.Pool
	manager *share.Manager
	limit   rate.Limit
	// busy says that the actor is inside a call, so that its own events wait.
	busy     bool
	deferred []*item
	dead     bool
	stopping bool
	// cutUntil ends a partition from all others and the store, storeCutUntil
	// one from the store alone, in which loans go on.
	cutUntil, storeCutUntil time.Duration
	load                    float64
}

type item struct {
	at    time.Duration
	order int
	actor *actor
	run   func()
}

type events []*item

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*item)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// Now is the actor's clock. It may be slow, but within the drift that the
// terms allow for; a fast one would refill faster than the rate.
func (a *actor) Now() time.Duration {
	return a.offset + time.Duration(float64(a.sim.now)*a.scale)
}

func (s *simulation) after(a *actor, d time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, &item{s.now + d, s.order, a, run})
}

func (s *simulation) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(*item)
		s.now = max(s.now, next.at)
		switch a := next.actor; {
		case a == nil:
			next.run()
		case a.dead:
		case a.busy:
			a.deferred = append(a.deferred, next)
		default:
			next.run()
		}
	}
	s.now = max(s.now, end)
}

// freeze lets the others run while the actor stands still in a call.
func (s *simulation) freeze(a *actor, d time.Duration) {
	if s.depth >= 3 || a.busy {
		return
	}
	s.counts["freeze"]++
	a.busy = true
	s.depth++
	s.runUntil(s.now + d)
	s.depth--
	a.busy = false
	for _, i := range a.deferred {
		i.at = s.now
		heap.Push(&s.queue, i)
	}
	a.deferred = nil
}

// perhapsFreeze may pause the actor for a time between blinks and hours.
func (a *actor) perhapsFreeze(probability float64) {
	if a.sim.faults.freezes && a.sim.random.Float64() < probability {
		longest := []float64{0.3, 3, 15, 50}[a.sim.random.IntN(4)]
		a.sim.freeze(a, time.Duration(a.sim.random.Float64()*longest*float64(time.Second)))
	}
}

var errLost = errors.New("no answer")

func (a *actor) reachable() bool {
	return a.sim.now >= a.sim.outage && a.sim.now >= a.cutUntil && !a.dead
}

func (a *actor) Get(_ context.Context, name string) (tamarackrun.Object, error) {
	a.perhapsFreeze(0.01)
	if !a.reachable() {
		return tamarackrun.Object{}, errLost
	}
	o, ok := a.sim.store[name]
	a.perhapsFreeze(0.01)
	if !ok {
		return o, tamarackrun.ErrNotFound
	}
	return o, nil
}

func (a *actor) Put(_ context.Context, name string, value []byte, expected int64) (tamarackrun.Object, error) {
	a.perhapsFreeze(0.02)
	s := a.sim
	if !a.reachable() {
		return tamarackrun.Object{}, errLost
	}
	lost := s.faults.lostAnswers && s.random.Float64() < 0.15
	if lost && s.random.Float64() < 0.3 {
		// The write takes effect long after the caller gave up.
		s.counts["lateWrite"]++
		s.after(nil, time.Duration(s.random.Float64()*10*float64(time.Second)), func() { _, _ = s.put(name, value, expected) })
		return tamarackrun.Object{}, errLost
	}
	o, err := s.put(name, value, expected)
	if lost {
		s.counts["lostAnswer"]++
		return tamarackrun.Object{}, errLost
	}
	a.perhapsFreeze(0.02)
	return o, err
}

func (s *simulation) put(name string, value []byte, expected int64) (tamarackrun.Object, error) {
	if s.store[name].Version != expected {
		s.counts["conflict"]++
		return tamarackrun.Object{}, tamarackrun.ErrConflict
	}
	s.store[name] = tamarackrun.Object{Name: name, Version: expected + 1, Value: value}
	return s.store[name], nil
}

func (a *actor) List(_ context.Context, prefix string) ([]tamarackrun.Object, error) {
	if !a.reachable() {
		return nil, errLost
	}
	var list []tamarackrun.Object
	for name, o := range a.sim.store {
		if strings.HasPrefix(name, prefix) {
			list = append(list, o)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	a.perhapsFreeze(0.01)
	return list, nil
}

func (a *actor) Watch(context.Context, string, int64) (tamarackrun.Object, error) {
	return tamarackrun.Object{}, errLost
}

func (a *actor) Instances(context.Context) ([]tamarackrun.Listing, error) { return nil, errLost }

func (a *actor) Record(id tamarackrun.EventID, _ string, _ ...string) {
	a.sim.counts[fmt.Sprintf("TR%d", id)]++
}

func (a *actor) CountOutcome(string, tamarackrun.Outcome) {}

func newSimulation(o options) *simulation {
	s := &simulation{options: o, random: rand.New(rand.NewPCG(o.seed, 7)), store: map[string]tamarackrun.Object{}, counts: map[string]int{}}
	for range o.holders {
		s.start()
	}
	s.sumParts()
	for _, f := range []struct {
		on    bool
		every time.Duration
		do    func()
	}{
		{o.faults.kills, 25 * time.Second, func() { s.replace(func(a *actor) { a.dead = true }) }},
		{o.faults.stops, 30 * time.Second, func() { s.replace(func(a *actor) { a.stopping = true }) }},
		{o.faults.partitions, 10 * time.Second, func() {
			a, until := s.pick(), s.now+time.Duration(s.random.Float64()*40*float64(time.Second))
			if s.random.IntN(2) == 0 {
				a.cutUntil = until
			} else {
				a.storeCutUntil = until
			}
		}},
		{o.faults.outages, 40 * time.Second, func() { s.outage = s.now + time.Duration(s.random.Float64()*60*float64(time.Second)) }},
		{o.faults.limitChanges, 15 * time.Second, s.changeLimit},
		{true, 7 * time.Second, func() { s.pick().load = s.load * s.random.Float64() }},
	} {
		if f.on {
			s.every(f.every, f.do)
		}
	}
	return s
}

func (s *simulation) every(mean time.Duration, do func()) {
	s.after(nil, time.Duration(s.random.ExpFloat64()*float64(mean)), func() { do(); s.every(mean, do) })
}

func (s *simulation) pick() *actor {
	var live []*actor
	for _, a := range s.actors {
		if !a.dead {
			live = append(live, a)
		}
	}
	return live[s.random.IntN(len(live))]
}

// replace ends one instance and starts another.
func (s *simulation) replace(end func(*actor)) {
	end(s.pick())
	s.start()
}

func (s *simulation) start() {
	a := &actor{sim: s, name: fmt.Sprintf("i%d", len(s.actors)), scale: 1 - 0.005*s.random.Float64(),
		offset: time.Duration(s.random.IntN(1000)) * time.Second, limit: s.limit, load: s.load * s.random.Float64()}
	a.pool = rate.NewPool()
	s.actors = append(s.actors, a)
	a.setLimit(s.limit)
	if s.overlend {
		rate.Overlend(a.pool.Bucket(organisation))
	}
	a.manager = share.New(a, a, a.pool, a, a.name)
	a.manager.UpperTerm, a.manager.FloorTerm, a.manager.Margin, a.manager.Grace = 20*time.Second, 60*time.Second, 300*time.Millisecond, time.Second
	if s.noWait {
		// Terms of 20 s are reclaimed after 4.2 s.
		a.manager.Margin = -16 * time.Second
	}
	s.after(a, 0, a.step)
	s.after(a, 0, a.borrow)
	s.after(a, 0, a.request)
}

func (a *actor) setLimit(l rate.Limit) {
	a.sim.integrate()
	a.limit = l
	a.pool.SetLimits(a.Now(), map[string]rate.Limit{organisation: l})
}

func (s *simulation) changeLimit() {
	s.limit = rate.Limit{Rate: 1 + 80*s.random.Float64(), Burst: 1 + 80*s.random.Float64()}
	limit := s.limit
	for _, a := range s.actors {
		s.after(a, time.Duration(s.random.Float64()*float64(time.Second)), func() { a.setLimit(limit) })
	}
}

// bound returns the largest limit of any instance.
func (s *simulation) bound() rate.Limit {
	var most rate.Limit
	for _, a := range s.actors {
		if !a.dead {
			most = rate.Limit{Rate: max(most.Rate, a.limit.Rate), Burst: max(most.Burst, a.limit.Burst)}
		}
	}
	return most
}

func (s *simulation) integrate() {
	s.integral += s.bound().Rate * (s.now - s.integrated).Seconds()
	s.integrated = s.now
}

func (a *actor) step() {
	var candidates []share.Candidate
	for _, other := range a.sim.actors {
		// An instance that looks dead is no candidate, so that the others take
		// over what they reclaimed while it may still be using it.
		silent := other.busy || a.sim.now < max(other.cutUntil, other.storeCutUntil)
		if other == a || !other.dead && !other.stopping && !silent {
			candidates = append(candidates, share.Candidate{Name: other.name, Region: "r"})
		}
	}
	if a.stopping {
		if a.manager.HandBack(context.Background()) {
			a.dead = true
			a.sim.counts["handBack"]++
			return
		}
	} else {
		target := share.Target(a.name, share.Holders(organisation, candidates))
		a.manager.Reconcile(context.Background(), map[string]rate.Fraction{organisation: target})
	}
	a.sim.after(a, time.Duration((0.1+a.sim.random.Float64())*float64(time.Second)), a.step)
}

func (a *actor) request() {
	s := a.sim
	if a.stopping {
		return
	}
	s.after(a, time.Duration(s.random.ExpFloat64()/max(a.load, 0.1)*float64(time.Second)), a.request)
	s.integrate()
	at := admission{s.now.Seconds(), s.integral, s.bound().Burst}
	taken := a.Now()
	a.perhapsFreeze(0.0005)
	if !a.pool.Bucket(organisation).Admit(taken) {
		s.counts["refused"]++
		return
	}
	a.perhapsFreeze(0.0005)
	if a.Now()-taken > 2*time.Second {
		s.counts["heldTooLong"]++
		return
	}
	s.admissions = append(s.admissions, at)
}

// borrow asks the others as the product does; messages take random times and
// may be lost.
func (a *actor) borrow() {
	s := a.sim
	s.after(a, 50*time.Millisecond, a.borrow)
	b := a.pool.Bucket(organisation)
	var lenders []*actor
	for _, other := range s.actors {
		if other != a && !other.dead {
			lenders = append(lenders, other)
		}
	}
	want := b.Shortfall(a.Now(), s.random.IntN(4)).PerLender(len(lenders))
	for _, other := range lenders {
		if want.Part > 0 && s.random.IntN(4) == 0 {
			a.ask(other, want)
		}
	}
	changes := b.Extensions(a.Now())
	if s.random.IntN(4) == 0 {
		returns := b.ReturnUnused(a.Now())
		s.counts["return"] += len(returns)
		changes = append(changes, returns...)
	}
	for _, e := range changes {
		for _, other := range lenders {
			if other.name == e.Lender {
				a.ask(other, e.Request)
			}
		}
	}
}

func (a *actor) ask(lender *actor, ask rate.LoanRequest) {
	s := a.sim
	delay := func() time.Duration { return time.Duration(s.random.ExpFloat64() * 0.08 * float64(time.Second)) }
	lost := func() bool { return s.random.Float64() < 0.05 || s.now < a.cutUntil || s.now < lender.cutUntil }
	requested := a.Now()
	ask.Borrower = a.name
	a.perhapsFreeze(0.0005)
	if lost() {
		return
	}
	s.after(lender, delay(), func() {
		now := lender.Now()
		lender.perhapsFreeze(0.0005)
		l := lender.pool.Bucket(organisation).Lend(now, ask, s.random.Uint64())
		for _, peer := range lender.pool.Bucket(organisation).BorrowersToRecall(lender.Now(), ask, l) {
			if !lost() {
				s.recall(peer, delay())
			}
		}
		if l.ID == 0 || lost() {
			return
		}
		s.after(a, delay(), func() {
			now := a.Now()
			a.perhapsFreeze(0.0005)
			if a.pool.Bucket(organisation).Accept(now, requested, lender.name, ask, l) {
				s.counts["loan"]++
			} else {
				s.counts["lateLoan"]++
			}
		})
	})
}

// recall tells a borrower that others ask, and it returns what it can.
func (s *simulation) recall(borrower string, delay time.Duration) {
	for _, a := range s.actors {
		if a.name == borrower && !a.dead {
			s.after(a, delay, func() {
				s.counts["recall"]++
				a.pool.Bucket(organisation).NoteRecall(a.Now())
			})
		}
	}
}

// sumParts checks what the bound follows from: instances that are paused count,
// because they may wake at any moment.
func (s *simulation) sumParts() {
	sum := rate.Fraction(0)
	for _, a := range s.actors {
		if !a.dead {
			sum += rate.PartAt(a.pool.Bucket(organisation), a.Now())
		}
	}
	s.mostParts = max(s.mostParts, sum)
	s.after(nil, 50*time.Millisecond, s.sumParts)
}

// excess is by how much the admissions exceed rate*t + burst in the worst of
// all intervals. For intervals from i to j it is the largest
// (j+1 - integral(j)) - (i - integral(i) + burst(i)), so one pass with the
// running minimum of the second term finds it.
func (s *simulation) excess() float64 {
	sort.SliceStable(s.admissions, func(i, j int) bool { return s.admissions[i].at < s.admissions[j].at })
	least, worst := 1e18, -1e18
	for i, a := range s.admissions {
		least = min(least, float64(i)-a.integral+a.burst)
		worst = max(worst, float64(i+1)-a.integral-least)
	}
	return worst
}

func (s *simulation) run() float64 {
	s.runUntil(s.duration)
	return s.excess()
}
