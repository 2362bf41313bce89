package policy

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// simulation runs events in virtual time. It is the clock of the simulated product
// code.
type simulation struct {
	now      time.Duration
	sequence int
	queue    eventQueue
	random   *rand.Rand
}

// simEvent is a function that runs at a virtual time. Events of the same time run in
// the order of their sequence numbers.
type simEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func newSimulation(seed uint64) *simulation {
	return &simulation{random: rand.New(rand.NewPCG(seed, 0))}
}

// Now returns the virtual time.
func (s *simulation) Now() time.Duration { return s.now }

// after runs a function after a time from now.
func (s *simulation) after(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, simEvent{s.now + d, s.sequence, run})
}

// every runs a function at fixed intervals from now on.
func (s *simulation) every(d time.Duration, run func()) {
	s.after(d, func() { run(); s.every(d, run) })
}

// poisson runs a function as a Poisson process with a mean rate per second. It has
// its own random source, so that the arrivals do not depend on the policy.
func (s *simulation) poisson(seed, stream uint64, rate float64, run func(*rand.Rand)) {
	random := rand.New(rand.NewPCG(seed, stream))
	var next func()
	next = func() { run(random); s.after(seconds(random.ExpFloat64()/rate), next) }
	s.after(seconds(random.ExpFloat64()/rate), next)
}

// runUntil runs the events up to a virtual time.
func (s *simulation) runUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		next := heap.Pop(&s.queue).(simEvent)
		s.now = next.at
		next.run()
	}
	s.now = end
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// uniform returns a random duration from half to one and a half times the mean.
func uniform(random *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(random.Int64N(int64(mean)))
}

// latencies is a histogram of latencies up to 60 s with 3 significant digits.
type latencies struct{ *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

func (l latencies) add(d time.Duration) { _ = l.RecordValue(max(1, d.Microseconds())) }

// millis returns a quantile in milliseconds.
func (l latencies) millis(quantile float64) float64 {
	return float64(l.ValueAtQuantile(quantile)) / 1000
}
