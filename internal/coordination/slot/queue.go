package slot

import (
	"cmp"
	"sort"
	"time"

	"tamarackrun"
)

const (
	// maxWaitingPerSlot is the number of requests that may wait for a server per
	// slot of the server.
	maxWaitingPerSlot = 8
	// interactivePerBatch is the ratio of interactive to batch service time while
	// requests of both classes wait. It leaves 10% to batch requests.
	interactivePerBatch = 9
	// A request counts as over the rate only above rateFactor times the
	// organisation's rate at this server, plus a burst of burstSeconds of the rate
	// but at least minBurst requests. This leaves room for random arrivals and for
	// an uneven distribution over the servers.
	rateFactor   = 1.5
	burstSeconds = 0.5
	minBurst     = 4
)

// Request describes a request for a slot.
type Request struct {
	Organisation string
	// Weight is the organisation's weight in fair queueing, at least 1.
	Weight int
	// Batch is true for requests of the batch class and false for interactive ones.
	Batch bool
	// Cost is the expected service time; 0 means that it is not known yet.
	Cost time.Duration
	// Rate is the part of the organisation's rate that this server is expected to
	// get, in requests per second; 0 means that it is not limited here.
	Rate float64
	// Deadline is the latest time at which the request may start.
	Deadline time.Duration
	// Shifted is true if the request comes from another region. Such a request
	// starts at once or is refused, so that it never delays requests of the server's
	// own region.
	Shifted bool
	// ShiftLimit is the maximum number of shifted requests on the server, including
	// this one. Reserve is the number of slots that requests of the server's own
	// region must leave free for a shifted request to start. Both are used only if
	// Shifted is true.
	ShiftLimit, Reserve int
}

// waiter is a request that waits for a slot or holds one. The queue sends it exactly
// one outcome.
type waiter struct {
	Request
	// overRate is true if the organisation was above its rate on arrival.
	overRate bool
	// arrival is the position in the order of arrival.
	arrival   uint64
	startedAt time.Duration
	// outcomes receives the one outcome. Its buffer of 1 keeps the queue from blocking.
	outcomes chan tamarackrun.Outcome
}

// answer sends the outcome. It is called exactly once.
func (w *waiter) answer(o tamarackrun.Outcome) { w.outcomes <- o }

// flow holds the waiting requests of one organisation in one class.
type flow struct {
	// virtualStart is the virtual start time of the first waiting request, in seconds
	// of cost per weight.
	virtualStart float64
	waiting      []*waiter
}

// weightedCost returns the virtual time that the request takes.
func (w *waiter) weightedCost() float64 { return w.costSeconds() / float64(max(1, w.Weight)) }

// costSeconds returns the cost in seconds. All requests of unknown cost count as 1 ms.
func (w *waiter) costSeconds() float64 {
	if w.Cost <= 0 {
		return time.Millisecond.Seconds()
	}
	return w.Cost.Seconds()
}

// fairQueue is a weighted fair queue over the organisations of one class. Only the
// first request of each flow has a virtual time, so that a cancelled request does not
// count against its organisation.
type fairQueue struct {
	virtualTime float64
	// lastFinish holds the virtual finish time of each organisation's latest started
	// request, if it is after virtualTime.
	lastFinish map[string]float64
	// flows holds the organisations that have waiting requests.
	flows map[string]*flow
	// count is the number of waiting requests.
	count int
}

func newFairQueue() *fairQueue {
	return &fairQueue{lastFinish: map[string]float64{}, flows: map[string]*flow{}}
}

// push adds a request to its organisation's flow.
func (q *fairQueue) push(w *waiter) {
	f := q.flows[w.Organisation]
	if f == nil {
		f = &flow{virtualStart: q.nextVirtualStart(w.Organisation)}
		q.flows[w.Organisation] = f
	}
	f.waiting = append(f.waiting, w)
	q.count++
}

// nextVirtualStart returns the virtual start time of an organisation's next request
// if none of its requests waits.
func (q *fairQueue) nextVirtualStart(organisation string) float64 {
	return max(q.virtualTime, q.lastFinish[organisation])
}

// first returns the waiting request that is to start next, or nil.
func (q *fairQueue) first() *waiter {
	var best *flow
	for _, f := range q.flows {
		if best == nil || f.before(best) {
			best = f
		}
	}
	if best == nil {
		return nil
	}
	return best.waiting[0]
}

// virtualFinish returns the virtual finish time of the first waiting request.
func (f *flow) virtualFinish() float64 { return f.virtualStart + f.waiting[0].weightedCost() }

// before reports whether f starts before other, by virtual start time. In the order
// of virtual finish times, an organisation of low weight would wait for several
// requests of each other organisation even while all are within their rates.
func (f *flow) before(other *flow) bool {
	return cmp.Or(cmp.Compare(f.virtualStart, other.virtualStart), f.compareTied(other)) < 0
}

// compareTied orders flows of equal virtual start times: by arrival if both rates are
// known, else by virtual finish time.
func (f *flow) compareTied(other *flow) int {
	a, b := f.waiting[0], other.waiting[0]
	if a.Rate > 0 && b.Rate > 0 {
		return cmp.Compare(a.arrival, b.arrival)
	}
	return cmp.Or(cmp.Compare(f.virtualFinish(), other.virtualFinish()), cmp.Compare(a.Organisation, b.Organisation))
}

// recordStart removes the first request of a flow and advances the virtual time.
func (q *fairQueue) recordStart(w *waiter) {
	f := q.flows[w.Organisation]
	finish := f.virtualStart + w.weightedCost()
	q.virtualTime = max(q.virtualTime, f.virtualStart)
	q.lastFinish[w.Organisation] = finish
	f.virtualStart = finish
	q.remove(w)
	for name, last := range q.lastFinish {
		if last <= q.virtualTime {
			delete(q.lastFinish, name)
		}
	}
}

// forgetUsage discards the organisations' past use of slots. It is called when a slot
// stays free: nobody waited for the used slots, so past use must not put an
// organisation behind others later.
func (q *fairQueue) forgetUsage() {
	for _, last := range q.lastFinish {
		q.virtualTime = max(q.virtualTime, last)
	}
	clear(q.lastFinish)
}

// remove removes a request and reports whether it was waiting.
func (q *fairQueue) remove(w *waiter) bool {
	f := q.flows[w.Organisation]
	if f == nil {
		return false
	}
	for i, other := range f.waiting {
		if other != w {
			continue
		}
		f.waiting = append(f.waiting[:i:i], f.waiting[i+1:]...)
		q.count--
		if len(f.waiting) == 0 {
			delete(q.flows, w.Organisation)
		}
		return true
	}
	return false
}

// costsAhead returns the costs of the requests that would start before w.
func (q *fairQueue) costsAhead(w *waiter) []time.Duration {
	var costs []time.Duration
	limit := q.nextVirtualStart(w.Organisation) + w.weightedCost()
	if own := q.flows[w.Organisation]; own != nil {
		limit = own.virtualStart + w.weightedCost()
		for _, other := range own.waiting {
			limit += other.weightedCost()
			costs = append(costs, other.Cost)
		}
	}
	for name, f := range q.flows {
		finish := f.virtualStart
		for _, other := range f.waiting {
			finish += other.weightedCost()
			if name == w.Organisation || finish > limit {
				break
			}
			costs = append(costs, other.Cost)
		}
	}
	return costs
}

// allCosts returns the costs of all waiting requests.
func (q *fairQueue) allCosts() []time.Duration {
	var costs []time.Duration
	for _, f := range q.flows {
		for _, w := range f.waiting {
			costs = append(costs, w.Cost)
		}
	}
	return costs
}

// queue decides which requests run on one server. It reads no clock: the time is an
// argument of its methods.
type queue struct {
	slots int
	// running holds at most slots requests, unless slots was lowered.
	running map[*waiter]struct{}
	// shifted is the number of running requests of other regions.
	shifted            int
	interactive, batch *fairQueue
	// overRate holds the requests of organisations that were above their rate. They
	// get only slots for which nothing else waits.
	overRate *fairQueue
	// meters detect organisations above their rate.
	meters map[string]*meter
	// batchDeficit is the interactive service time, in seconds, that started while
	// batch requests waited, less interactivePerBatch times the batch service time
	// that started.
	batchDeficit float64
	// arrivals is the number of requests so far.
	arrivals uint64
	// closeReason is the reason for refusing all requests, or empty.
	closeReason tamarackrun.Reason
}

func newQueue(slots int) *queue {
	return &queue{slots: slots, running: map[*waiter]struct{}{}, interactive: newFairQueue(), batch: newFairQueue(),
		overRate: newFairQueue(), meters: map[string]*meter{}}
}

// fairQueueOf returns the fair queue to which a request belongs.
func (q *queue) fairQueueOf(w *waiter) *fairQueue {
	switch {
	case w.overRate:
		return q.overRate
	case w.Batch:
		return q.batch
	}
	return q.interactive
}

// fairQueues returns all fair queues in the order in which they lose requests when
// the queue is full.
func (q *queue) fairQueues() []*fairQueue { return []*fairQueue{q.overRate, q.batch, q.interactive} }

func (q *queue) waiting() int { return q.interactive.count + q.batch.count + q.overRate.count }

// meter is a token bucket that measures one organisation's requests at this server.
type meter struct {
	tokens  float64
	updated time.Duration
}

// exceedsRate counts a request and reports whether its organisation is above its rate.
func (q *queue) exceedsRate(now time.Duration, r Request) bool {
	if r.Rate <= 0 {
		return false
	}
	burst := max(minBurst, burstSeconds*r.Rate)
	m := q.meters[r.Organisation]
	if m == nil {
		m = &meter{tokens: burst, updated: now}
		q.meters[r.Organisation] = m
	}
	m.tokens = min(burst, m.tokens+rateFactor*r.Rate*(now-m.updated).Seconds())
	m.updated = now
	if m.tokens < 1 {
		return true
	}
	m.tokens--
	return false
}

// submit accepts a request. The waiter receives its outcome now or later.
func (q *queue) submit(now time.Duration, r Request) *waiter {
	w := &waiter{Request: r, outcomes: make(chan tamarackrun.Outcome, 1), overRate: q.exceedsRate(now, r), arrival: q.arrivals}
	q.arrivals++
	if reason := q.refusal(now, w); reason != "" {
		w.answer(tamarackrun.Refused(reason))
		return w
	}
	if r.Shifted {
		q.start(now, w)
		return w
	}
	q.fairQueueOf(w).push(w)
	q.startWaiting(now)
	return w
}

// refusal returns the reason for refusing a new request, or an empty reason. It makes
// room in a full queue for a request that it does not refuse.
func (q *queue) refusal(now time.Duration, w *waiter) tamarackrun.Reason {
	slotFree := len(q.running) < q.slots && q.waiting() == 0
	shareFull := q.waitingOf(w.Organisation) >= q.maxWaitingOf(w)
	switch {
	case q.closeReason != "":
		return q.closeReason
	case w.Deadline <= now:
		return tamarackrun.DeadlinePassed
	case w.Shifted && (!slotFree || q.shifted >= w.ShiftLimit || len(q.running)-q.shifted > q.slots-w.Reserve):
		return tamarackrun.ShiftCapped
	case slotFree:
		return ""
	case shareFull && (w.overRate || q.overRate.flows[w.Organisation] == nil):
		return tamarackrun.QueueFull
	case now+q.expectedWait(now, w) > w.Deadline:
		return tamarackrun.QueueTimeout
	case shareFull:
		// The request replaces the organisation's latest one above the rate.
		f := q.overRate.flows[w.Organisation]
		q.evict(f.waiting[len(f.waiting)-1])
	case !q.makeRoom(w):
		return tamarackrun.QueueFull
	}
	return ""
}

// capacity returns the maximum number of waiting requests.
func (q *queue) capacity() int { return maxWaitingPerSlot * q.slots }

// waitingOf returns the number of an organisation's waiting requests.
func (q *queue) waitingOf(organisation string) int {
	n := 0
	for _, fq := range q.fairQueues() {
		if f := fq.flows[organisation]; f != nil {
			n += len(f.waiting)
		}
	}
	return n
}

// maxWaitingOf returns how many requests of w's organisation may wait: its share of
// the capacity by weight among the organisations that wait, at least 1.
func (q *queue) maxWaitingOf(w *waiter) int {
	weights := map[string]int{w.Organisation: max(1, w.Weight)}
	for _, fq := range q.fairQueues() {
		for name, f := range fq.flows {
			weights[name] = max(1, f.waiting[0].Weight)
		}
	}
	total := 0
	for _, weight := range weights {
		total += weight
	}
	return max(1, q.capacity()*max(1, w.Weight)/total)
}

// makeRoom evicts the latest request of the organisation that is furthest above its
// share if the queue is full. An organisation may be above its share because fewer
// organisations waited when its requests arrived. makeRoom reports whether there is
// room for the new request.
func (q *queue) makeRoom(newcomer *waiter) bool {
	if q.waiting() < q.capacity() {
		return true
	}
	var evicted *waiter
	mostExcess := 0
	for _, fq := range q.fairQueues() {
		for name, f := range fq.flows {
			w := f.waiting[len(f.waiting)-1]
			excess := q.waitingOf(name) - q.maxWaitingOf(w)
			if excess > mostExcess || evicted != nil && excess == mostExcess && name < evicted.Organisation {
				evicted, mostExcess = w, excess
			}
		}
	}
	if evicted == nil {
		// Each organisation may have one waiting request, even if rounding makes the
		// shares sum to more than the capacity.
		return q.waitingOf(newcomer.Organisation) == 0
	}
	q.evict(evicted)
	return true
}

// evict refuses a waiting request because the queue is full.
func (q *queue) evict(w *waiter) {
	q.fairQueueOf(w).remove(w)
	w.answer(tamarackrun.Refused(tamarackrun.QueueFull))
}

// expectedWait predicts how long w will wait for a slot, from the expected service
// times of the running requests and of those that will start before w.
func (q *queue) expectedWait(now time.Duration, w *waiter) time.Duration {
	var freeAfter []time.Duration
	for r := range q.running {
		freeAfter = append(freeAfter, max(0, r.Cost-(now-r.startedAt)))
	}
	for len(freeAfter) < q.slots {
		freeAfter = append(freeAfter, 0)
	}
	for _, cost := range q.costsBefore(w) {
		sort.Slice(freeAfter, func(i, j int) bool { return freeAfter[i] < freeAfter[j] })
		freeAfter[max(0, len(freeAfter)-q.slots)] += cost
	}
	sort.Slice(freeAfter, func(i, j int) bool { return freeAfter[i] < freeAfter[j] })
	return freeAfter[max(0, len(freeAfter)-q.slots)]
}

// costsBefore returns the costs of all waiting requests that will start before w.
func (q *queue) costsBefore(w *waiter) []time.Duration {
	costs := q.fairQueueOf(w).costsAhead(w)
	if w.overRate {
		return append(costs, append(q.interactive.allCosts(), q.batch.allCosts()...)...)
	}
	if !w.Batch {
		return costs
	}
	// Interactive requests start first until they have used interactivePerBatch
	// times the service time of w and of the batch requests before it.
	due := w.Cost
	for _, c := range costs {
		due += c
	}
	budget := interactivePerBatch * due
	for _, f := range q.interactive.flows {
		for _, other := range f.waiting {
			if budget -= other.Cost; budget >= 0 {
				costs = append(costs, other.Cost)
			}
		}
	}
	return costs
}

// startWaiting starts waiting requests while slots are free. It refuses requests whose
// deadline has passed, which happens after a pause of the process.
func (q *queue) startWaiting(now time.Duration) {
	for len(q.running) < q.slots {
		w := q.next()
		if w == nil {
			for _, fq := range q.fairQueues() {
				fq.forgetUsage()
			}
			return
		}
		fq := q.fairQueueOf(w)
		if w.Deadline <= now {
			fq.remove(w)
			w.answer(tamarackrun.Refused(tamarackrun.QueueTimeout))
			continue
		}
		switch {
		case w.overRate:
		case w.Batch:
			q.batchDeficit = max(0, q.batchDeficit-interactivePerBatch*w.costSeconds())
		case q.batch.count > 0:
			q.batchDeficit += w.costSeconds()
		default:
			q.batchDeficit = 0
		}
		fq.recordStart(w)
		q.start(now, w)
	}
}

// next returns the waiting request that is to start next, or nil.
func (q *queue) next() *waiter {
	interactive, batch := q.interactive.first(), q.batch.first()
	if interactive == nil && batch == nil {
		return q.overRate.first()
	}
	if interactive == nil || batch != nil && q.batchDeficit >= interactivePerBatch*batch.costSeconds() {
		return batch
	}
	return interactive
}

// start gives a slot to a request.
func (q *queue) start(now time.Duration, w *waiter) {
	w.startedAt = now
	q.running[w] = struct{}{}
	if w.Shifted {
		q.shifted++
	}
	w.answer(tamarackrun.Done)
}

// release frees the slot of a running request.
func (q *queue) release(now time.Duration, w *waiter) {
	delete(q.running, w)
	if w.Shifted {
		q.shifted--
	}
	q.startWaiting(now)
}

// cancel refuses a waiting request. It has no effect on a request that has its outcome.
func (q *queue) cancel(w *waiter, reason tamarackrun.Reason) {
	if q.fairQueueOf(w).remove(w) {
		w.answer(tamarackrun.Refused(reason))
	}
}

// close refuses all waiting and later requests.
func (q *queue) close(reason tamarackrun.Reason) {
	q.closeReason = reason
	for _, fq := range q.fairQueues() {
		for _, f := range fq.flows {
			for _, w := range f.waiting {
				w.answer(tamarackrun.Refused(reason))
			}
		}
	}
	q.interactive, q.batch, q.overRate = newFairQueue(), newFairQueue(), newFairQueue()
}
