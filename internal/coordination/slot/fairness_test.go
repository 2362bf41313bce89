package slot

import (
	"container/heap"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"tamarackrun"
)

// fifo is the baseline: it starts requests in the order of arrival and has one limit
// on waiting requests for all organisations together.
type fifo struct {
	slots, running int
	waiting        []*waiter
}

func (f *fifo) submit(r Request) *waiter {
	w := &waiter{Request: r, outcomes: make(chan tamarackrun.Outcome, 1)}
	switch {
	case f.running < f.slots:
		f.running++
		w.answer(tamarackrun.Done)
	case len(f.waiting) >= maxWaitingPerSlot*f.slots:
		w.answer(tamarackrun.Refused(tamarackrun.QueueFull))
	default:
		f.waiting = append(f.waiting, w)
	}
	return w
}

func (f *fifo) release() {
	f.running--
	if len(f.waiting) > 0 {
		f.running++
		f.waiting[0].answer(tamarackrun.Done)
		f.waiting = f.waiting[1:]
	}
}

// simEvent is an arrival or the end of a request.
type simEvent struct {
	at      time.Duration
	arrival bool
	// request and service (its service time) are set for an arrival.
	request Request
	service time.Duration
	// finished is set for the end of a request.
	finished *waiter
}

// eventQueue is a heap of events in the order of time.
type eventQueue []simEvent

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simResult holds the latencies and the number of refused requests by organisation.
type simResult struct {
	latency map[string][]time.Duration
	refused map[string]int
}

// The simulated server has 3 slots and requests of about 20 ms, like one order server.
const (
	simSlots   = 3
	simService = 20 * time.Millisecond
	simLength  = 300 * time.Second
)

// simulate sends Poisson arrivals at the given rates, in requests per second by
// organisation, through a queue if fair is true and through the baseline otherwise.
func simulate(seed uint64, rates map[string]float64, fair bool) simResult {
	random := rand.New(rand.NewPCG(seed, 1))
	names := make([]string, 0, len(rates))
	for name := range rates {
		names = append(names, name)
	}
	sort.Strings(names)
	var events eventQueue
	for _, name := range names {
		for at := time.Duration(0); at < simLength; at += time.Duration(random.ExpFloat64() / rates[name] * float64(time.Second)) {
			service := simService/2 + time.Duration(random.Int64N(int64(simService)))
			events = append(events, simEvent{at: at, arrival: true, service: service,
				request: Request{Organisation: name, Weight: 1, Cost: simService, Deadline: at + 2*time.Second}})
		}
	}
	heap.Init(&events)
	result := simResult{map[string][]time.Duration{}, map[string]int{}}
	q, baseline := newQueue(simSlots), &fifo{slots: simSlots}
	pending := map[*waiter]simEvent{}
	for events.Len() > 0 {
		event := heap.Pop(&events).(simEvent)
		switch {
		case event.arrival && fair:
			pending[q.submit(event.at, event.request)] = event
		case event.arrival:
			pending[baseline.submit(event.request)] = event
		case fair:
			q.release(event.at, event.finished)
		default:
			baseline.release()
		}
		for w, arrival := range pending {
			select {
			case o := <-w.outcomes:
				delete(pending, w)
				if o != tamarackrun.Done {
					result.refused[w.Organisation]++
					continue
				}
				result.latency[w.Organisation] = append(result.latency[w.Organisation], event.at+arrival.service-arrival.at)
				heap.Push(&events, simEvent{at: event.at + arrival.service, finished: w})
			default:
			}
		}
	}
	return result
}

// p99 sorts the latencies and returns their 99th percentile.
func p99(all []time.Duration) time.Duration {
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all[len(all)*99/100]
}

// worstLightP99 returns the highest p99 latency of any organisation except "heavy", and
// the number of refused requests of these organisations.
func (s simResult) worstLightP99() (time.Duration, int) {
	var latency time.Duration
	refused := 0
	for name, all := range s.latency {
		if name != "heavy" {
			latency, refused = max(latency, p99(all)), refused+s.refused[name]
		}
	}
	return latency, refused
}

// Guards against an organisation that crowds out others. While one organisation sends
// five times its rate, the highest p99 latency of the others must be at most twice
// what it is when all send at their rates. With two organisations it must also be at
// most twice what it is for one alone on the server. FIFO gets the same arrivals and
// must be worse.
func TestFairnessComparedWithFIFO(t *testing.T) {
	for _, c := range []struct {
		name   string
		others []string
		rate   float64
	}{
		// 30/s and 150/s are 120% of the 150/s that the server can run.
		{"two organisations", []string{"a"}, 30},
		// Seven organisations at 12/s and one at 60/s are 96%.
		{"eight organisations", []string{"a", "b", "c", "d", "e", "f", "g"}, 12},
	} {
		t.Run(c.name, func(t *testing.T) {
			even, overloaded := map[string]float64{"heavy": c.rate}, map[string]float64{"heavy": 5 * c.rate}
			for _, name := range c.others {
				even[name], overloaded[name] = c.rate, c.rate
			}
			alone := p99(simulate(7, map[string]float64{"a": c.rate}, true).latency["a"])
			normal, _ := simulate(7, even, true).worstLightP99()
			fair, fairRefused := simulate(7, overloaded, true).worstLightP99()
			baseline, baselineRefused := simulate(7, overloaded, false).worstLightP99()
			ratio := func(d time.Duration) float64 { return d.Seconds() / alone.Seconds() }
			t.Logf("p99 alone on the server %v, all at their rate %v; one at five times its rate: fair %v (%.2f of alone, %.2f of normal, %d refused), FIFO %v (%.2f, %d refused)",
				alone, normal, fair, ratio(fair), fair.Seconds()/normal.Seconds(), fairRefused, baseline, ratio(baseline), baselineRefused)
			if fair > 2*normal || len(c.others) == 1 && fair > 2*alone || fair >= baseline {
				t.Errorf("the p99 latency of the others is %v, want at most twice the normal one and less than with FIFO", fair)
			}
		})
	}
}
