package slot

import (
	"cmp"
	"sort"
	"time"

	"tamarackrun"
)

const (
	// queuePerSlot bounds the requests that wait for one server, as a
	// multiple of its slots.
	queuePerSlot = 8
	// batchDebt is the interactive service time that may start per batch
	// service time while batch requests wait. It leaves batch 10%.
	batchDebt = 9
	// rateMargin and rateBurst are the surplus over an organisation's rate at
	// one server that does not count as such, because requests come at random
	// and not in equal parts to the servers. rateBurst is in seconds of the
	// rate, and at least leastBurst requests.
	rateMargin = 1.5
	rateBurst  = 0.5
	leastBurst = 4
)

// Request describes a request that asks for a slot.
type Request struct {
	Organisation string
	// Weight is at least 1.
	Weight int
	Batch  bool
	// Cost is the expected service time; 0 means that it is not known yet.
	Cost time.Duration
	// Rate is the organisation's part of its rate at this server, in requests
	// per second; 0 means that it is not limited here.
	Rate float64
	// Deadline is the latest time at which the request may start.
	Deadline time.Duration
	// Shifted says that the request comes from another region. It starts at
	// once or is refused, so that it never delays requests of the own region.
	Shifted bool
	// ShiftLimit is the most shifted requests that may run with this one, and
	// Reserve is the number of slots that the load of the own region must
	// leave free. Both are used only if Shifted is set.
	ShiftLimit, Reserve int
}

// waiter is one entry in a queue. The queue answers it exactly once.
type waiter struct {
	Request
	// surplus says that the organisation is above its rate.
	surplus bool
	// number is the order of arrival.
	number uint64
	began  time.Duration
	// ready gets the answer; it has room for it.
	ready chan tamarackrun.Outcome
}

func (w *waiter) answer(o tamarackrun.Outcome) { w.ready <- o }

// flow holds the waiting requests of one organisation in one class.
type flow struct {
	// start is the virtual start time of the first waiting request.
	start   float64
	waiting []*waiter
}

func (w *waiter) share() float64 { return w.units() / float64(max(1, w.Weight)) }

// units is the cost in seconds. Requests of unknown cost count as equal.
func (w *waiter) units() float64 {
	if w.Cost <= 0 {
		return time.Millisecond.Seconds()
	}
	return w.Cost.Seconds()
}

// lane is a weighted fair queue of one class. Only the first request of each
// flow has a virtual time, so that cancelled requests cost their organisation
// nothing.
type lane struct {
	virtual float64
	// last is the virtual finish time of each organisation's latest start. It
	// holds only times after virtual.
	last  map[string]float64
	flows map[string]*flow
	count int
}

func newLane() *lane { return &lane{last: map[string]float64{}, flows: map[string]*flow{}} }

func (l *lane) push(w *waiter) {
	f := l.flows[w.Organisation]
	if f == nil {
		f = &flow{start: l.startOf(w.Organisation)}
		l.flows[w.Organisation] = f
	}
	f.waiting = append(f.waiting, w)
	l.count++
}

func (l *lane) startOf(organisation string) float64 { return max(l.virtual, l.last[organisation]) }

// first returns the waiting request with the lowest virtual finish time.
func (l *lane) first() *waiter {
	var best *flow
	for _, f := range l.flows {
		if best == nil || f.before(best) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.waiting[0]
}

func (f *flow) finish() float64 { return f.start + f.waiting[0].share() }

// before orders flows by virtual start time. Ordered by finish time, an
// organisation of low weight waits for several requests of each other one even
// while all are inside their rates.
func (f *flow) before(other *flow) bool {
	return cmp.Or(cmp.Compare(f.start, other.start), f.tie(other)) < 0
}

// tie orders flows of equal virtual times: by arrival where rates are known.
func (f *flow) tie(other *flow) int {
	a, b := f.waiting[0], other.waiting[0]
	if a.Rate > 0 && b.Rate > 0 {
		return cmp.Compare(a.number, b.number)
	}
	return cmp.Or(cmp.Compare(f.finish(), other.finish()), cmp.Compare(a.Organisation, b.Organisation))
}

// started removes the first request of a flow and advances the virtual time.
func (l *lane) started(w *waiter) {
	f := l.flows[w.Organisation]
	finish := f.start + w.share()
	l.virtual = max(l.virtual, f.start)
	l.last[w.Organisation] = finish
	f.start = finish
	l.remove(w)
	for name, last := range l.last {
		if last <= l.virtual {
			delete(l.last, name)
		}
	}
}

// forgive forgets past use. A free slot means that nobody waited for what was
// used, so it must not put an organisation behind others later.
func (l *lane) forgive() {
	for _, last := range l.last {
		l.virtual = max(l.virtual, last)
	}
	clear(l.last)
}

func (l *lane) remove(w *waiter) bool {
	f := l.flows[w.Organisation]
	if f == nil {
		return false
	}
	for i, other := range f.waiting {
		if other != w {
			continue
		}
		f.waiting = append(f.waiting[:i:i], f.waiting[i+1:]...)
		l.count--
		if len(f.waiting) == 0 {
			delete(l.flows, w.Organisation)
		}
		return true
	}
	return false
}

// ahead returns the costs of the requests that would start before w.
func (l *lane) ahead(w *waiter) []time.Duration {
	var costs []time.Duration
	limit := l.startOf(w.Organisation) + w.share()
	if own := l.flows[w.Organisation]; own != nil {
		limit = own.start + w.share()
		for _, other := range own.waiting {
			limit += other.share()
			costs = append(costs, other.Cost)
		}
	}
	for name, f := range l.flows {
		finish := f.start
		for _, other := range f.waiting {
			finish += other.share()
			if name == w.Organisation || finish > limit {
				break
			}
			costs = append(costs, other.Cost)
		}
	}
	return costs
}

// costs returns the costs of all waiting requests.
func (l *lane) costs() []time.Duration {
	var costs []time.Duration
	for _, f := range l.flows {
		for _, w := range f.waiting {
			costs = append(costs, w.Cost)
		}
	}
	return costs
}

// queue decides which requests run on one server. It is pure: time is passed
// in.
type queue struct {
	slots int
	// running has at most slots members, unless slots was lowered.
	running map[*waiter]struct{}
	// shifted is the number of running requests of other regions.
	shifted            int
	interactive, batch *lane
	// surplus holds the requests of organisations above their rate. They get
	// only slots for which nothing else waits.
	surplus *lane
	// meters find organisations above their rate.
	meters map[string]*meter
	// debt is the interactive service time, in seconds, that started while
	// batch requests waited, less what batch requests got in return.
	debt float64
	// arrivals numbers the requests.
	arrivals uint64
	// closed is the reason for refusing all requests.
	closed tamarackrun.Reason
}

func newQueue(slots int) *queue {
	return &queue{slots: slots, running: map[*waiter]struct{}{}, interactive: newLane(), batch: newLane(),
		surplus: newLane(), meters: map[string]*meter{}}
}

func (q *queue) lane(w *waiter) *lane {
	switch {
	case w.surplus:
		return q.surplus
	case w.Batch:
		return q.batch
	}
	return q.interactive
}

// lanes returns all lanes in the order in which they lose requests when the
// queue is full.
func (q *queue) lanes() []*lane { return []*lane{q.surplus, q.batch, q.interactive} }

func (q *queue) waiting() int { return q.interactive.count + q.batch.count + q.surplus.count }

// meter is a token bucket of an organisation's requests at this server.
type meter struct {
	tokens float64
	last   time.Duration
}

// above counts a request and says whether its organisation is above its rate.
func (q *queue) above(now time.Duration, e Request) bool {
	if e.Rate <= 0 {
		return false
	}
	burst := max(leastBurst, rateBurst*e.Rate)
	m := q.meters[e.Organisation]
	if m == nil {
		m = &meter{tokens: burst, last: now}
		q.meters[e.Organisation] = m
	}
	m.tokens = min(burst, m.tokens+rateMargin*e.Rate*(now-m.last).Seconds())
	m.last = now
	if m.tokens < 1 {
		return true
	}
	m.tokens--
	return false
}

// enter takes a request. The waiter gets its answer now or later.
func (q *queue) enter(now time.Duration, e Request) *waiter {
	w := &waiter{Request: e, ready: make(chan tamarackrun.Outcome, 1), surplus: q.above(now, e), number: q.arrivals}
	q.arrivals++
	if reason := q.refusal(now, w); reason != "" {
		w.answer(tamarackrun.Refused(reason))
		return w
	}
	if e.Shifted {
		q.run(now, w)
		return w
	}
	q.lane(w).push(w)
	q.promote(now)
	return w
}

func (q *queue) refusal(now time.Duration, w *waiter) tamarackrun.Reason {
	free := len(q.running) < q.slots && q.waiting() == 0
	full := q.held(w.Organisation) >= q.shareOf(w)
	switch {
	case q.closed != "":
		return q.closed
	case w.Deadline <= now:
		return tamarackrun.DeadlinePassed
	case w.Shifted && (!free || q.shifted >= w.ShiftLimit || len(q.running)-q.shifted > q.slots-w.Reserve):
		return tamarackrun.ShiftCapped
	case free:
		return ""
	case full && (w.surplus || q.surplus.flows[w.Organisation] == nil):
		return tamarackrun.QueueFull
	case now+q.expectedWait(now, w) > w.Deadline:
		return tamarackrun.QueueTimeout
	case full:
		// The request replaces one above the rate of the same organisation.
		f := q.surplus.flows[w.Organisation]
		q.drop(f.waiting[len(f.waiting)-1])
	case !q.makeRoom(w):
		return tamarackrun.QueueFull
	}
	return ""
}

func (q *queue) capacity() int { return queuePerSlot * q.slots }

func (q *queue) held(organisation string) int {
	n := 0
	for _, l := range q.lanes() {
		if f := l.flows[organisation]; f != nil {
			n += len(f.waiting)
		}
	}
	return n
}

// shareOf is the part of the queue that an organisation may hold: its weight's
// share among the organisations that wait, at least 1.
func (q *queue) shareOf(w *waiter) int {
	weights := map[string]int{w.Organisation: max(1, w.Weight)}
	for _, l := range q.lanes() {
		for name, f := range l.flows {
			weights[name] = max(1, f.waiting[0].Weight)
		}
	}
	total := 0
	for _, weight := range weights {
		total += weight
	}
	return max(1, q.capacity()*max(1, w.Weight)/total)
}

// makeRoom refuses the latest request of the organisation that is most above
// its share if the queue is full. Organisations that came while the queue was
// short of users may hold more than their present share.
func (q *queue) makeRoom(newcomer *waiter) bool {
	if q.waiting() < q.capacity() {
		return true
	}
	var victim *waiter
	most := 0
	for _, l := range q.lanes() {
		for name, f := range l.flows {
			w := f.waiting[len(f.waiting)-1]
			excess := q.held(name) - q.shareOf(w)
			if excess > most || victim != nil && excess == most && name < victim.Organisation {
				victim, most = w, excess
			}
		}
	}
	if victim == nil {
		// Each organisation may hold one request even when rounding makes
		// the shares sum to more than the capacity.
		return q.held(newcomer.Organisation) == 0
	}
	q.drop(victim)
	return true
}

func (q *queue) drop(w *waiter) {
	q.lane(w).remove(w)
	w.answer(tamarackrun.Refused(tamarackrun.QueueFull))
}

// expectedWait predicts when a slot will be free for w by the expected service
// times of what runs and of what goes before it.
func (q *queue) expectedWait(now time.Duration, w *waiter) time.Duration {
	var free []time.Duration
	for r := range q.running {
		free = append(free, max(0, r.Cost-(now-r.began)))
	}
	for len(free) < q.slots {
		free = append(free, 0)
	}
	for _, cost := range q.before(w) {
		sort.Slice(free, func(i, j int) bool { return free[i] < free[j] })
		free[max(0, len(free)-q.slots)] += cost
	}
	sort.Slice(free, func(i, j int) bool { return free[i] < free[j] })
	return free[max(0, len(free)-q.slots)]
}

func (q *queue) before(w *waiter) []time.Duration {
	costs := q.lane(w).ahead(w)
	if w.surplus {
		return append(costs, append(q.interactive.costs(), q.batch.costs()...)...)
	}
	if !w.Batch {
		return costs
	}
	// Interactive requests go first until the debt to batch is due.
	due := w.Cost
	for _, c := range costs {
		due += c
	}
	budget := batchDebt * due
	for _, f := range q.interactive.flows {
		for _, other := range f.waiting {
			if budget -= other.Cost; budget >= 0 {
				costs = append(costs, other.Cost)
			}
		}
	}
	return costs
}

// promote starts waiting requests while slots are free. Requests whose deadline
// passed are refused, for instance after the process was paused.
func (q *queue) promote(now time.Duration) {
	for len(q.running) < q.slots {
		w := q.next()
		if w == nil {
			for _, l := range q.lanes() {
				l.forgive()
			}
			return
		}
		l := q.lane(w)
		if w.Deadline <= now {
			l.remove(w)
			w.answer(tamarackrun.Refused(tamarackrun.QueueTimeout))
			continue
		}
		switch {
		case w.surplus:
		case w.Batch:
			q.debt = max(0, q.debt-batchDebt*w.units())
		case q.batch.count > 0:
			q.debt += w.units()
		default:
			q.debt = 0
		}
		l.started(w)
		q.run(now, w)
	}
}

func (q *queue) next() *waiter {
	interactive, batch := q.interactive.first(), q.batch.first()
	if interactive == nil && batch == nil {
		return q.surplus.first()
	}
	if interactive == nil || batch != nil && q.debt >= batchDebt*batch.units() {
		return batch
	}
	return interactive
}

func (q *queue) run(now time.Duration, w *waiter) {
	w.began = now
	q.running[w] = struct{}{}
	if w.Shifted {
		q.shifted++
	}
	w.answer(tamarackrun.Done)
}

// leave ends a running request.
func (q *queue) leave(now time.Duration, w *waiter) {
	delete(q.running, w)
	if w.Shifted {
		q.shifted--
	}
	q.promote(now)
}

// cancel refuses a waiting request; it does nothing to one that was answered.
func (q *queue) cancel(w *waiter, reason tamarackrun.Reason) {
	if q.lane(w).remove(w) {
		w.answer(tamarackrun.Refused(reason))
	}
}

// close refuses all waiting and later requests.
func (q *queue) close(reason tamarackrun.Reason) {
	q.closed = reason
	for _, l := range q.lanes() {
		for _, f := range l.flows {
			for _, w := range f.waiting {
				w.answer(tamarackrun.Refused(reason))
			}
		}
	}
	q.interactive, q.batch, q.surplus = newLane(), newLane(), newLane()
}
