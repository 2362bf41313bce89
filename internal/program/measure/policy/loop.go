package policy

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// loop runs events in virtual time. It is the clock of the decision code.
type loop struct {
	now    time.Duration
	order  int
	events events
	random *rand.Rand
}

type item struct {
	at    time.Duration
	order int
	run   func()
}

type events []item

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(item)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newLoop(seed uint64) *loop {
	return &loop{random: rand.New(rand.NewPCG(seed, 0))}
}

// Now returns the virtual time.
func (l *loop) Now() time.Duration { return l.now }

func (l *loop) after(d time.Duration, run func()) {
	l.order++
	heap.Push(&l.events, item{l.now + d, l.order, run})
}

// every runs an event at fixed intervals from now on.
func (l *loop) every(d time.Duration, run func()) {
	l.after(d, func() { run(); l.every(d, run) })
}

// poisson runs an event at random times with a mean rate per second. It has its
// own source of randomness, so that the arrivals do not depend on the policy.
func (l *loop) poisson(seed, stream uint64, rate float64, run func(*rand.Rand)) {
	random := rand.New(rand.NewPCG(seed, stream))
	var next func()
	next = func() { run(random); l.after(seconds(random.ExpFloat64()/rate), next) }
	l.after(seconds(random.ExpFloat64()/rate), next)
}

func (l *loop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		next := heap.Pop(&l.events).(item)
		l.now = next.at
		next.run()
	}
	l.now = end
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// uniform returns a duration from half to one and a half of the mean.
func uniform(random *rand.Rand, mean time.Duration) time.Duration {
	return mean/2 + time.Duration(random.Int64N(int64(mean)))
}

// latencies counts latencies up to 60 s with 3 digits.
type latencies struct{ *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

func (l latencies) add(d time.Duration) { _ = l.RecordValue(max(1, d.Microseconds())) }

// millis returns a quantile in milliseconds.
func (l latencies) millis(quantile float64) float64 {
	return float64(l.ValueAtQuantile(quantile)) / 1000
}
