package slot

import (
	"container/heap"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"tamarackrun"
)

// fifo is the baseline: the order of arrival with one common bound.
type fifo struct {
	slots, running int
	waiting        []*waiter
}

func (f *fifo) enter(e Request) *waiter {
	w := &waiter{Request: e, ready: make(chan tamarackrun.Outcome, 1)}
	switch {
	case f.running < f.slots:
		f.running++
		w.answer(tamarackrun.Done)
	case len(f.waiting) >= queuePerSlot*f.slots:
		w.answer(tamarackrun.Refused(tamarackrun.QueueFull))
	default:
		f.waiting = append(f.waiting, w)
	}
	return w
}

func (f *fifo) leave() {
	f.running--
	if len(f.waiting) > 0 {
		f.running++
		f.waiting[0].answer(tamarackrun.Done)
		f.waiting = f.waiting[1:]
	}
}

type moment struct {
	at       time.Duration
	arrival  bool
	entry    Request
	service  time.Duration
	finished *waiter
}

type agenda []moment

func (a agenda) Len() int           { return len(a) }
func (a agenda) Less(i, j int) bool { return a[i].at < a[j].at }
func (a agenda) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)        { *a = append(*a, x.(moment)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// simulation is one server with 3 slots and requests of about 20 ms, the size
// of one order server.
type simulation struct {
	latency map[string][]time.Duration
	refused map[string]int
}

const (
	simSlots   = 3
	simService = 20 * time.Millisecond
	simLength  = 300 * time.Second
)

// simulate sends Poisson arrivals at the rates (per second) through a queue.
func simulate(seed uint64, rates map[string]float64, fair bool) simulation {
	random := rand.New(rand.NewPCG(seed, 1))
	names := make([]string, 0, len(rates))
	for name := range rates {
		names = append(names, name)
	}
	sort.Strings(names)
	var plan agenda
	for _, name := range names {
		for at := time.Duration(0); at < simLength; at += time.Duration(random.ExpFloat64() / rates[name] * float64(time.Second)) {
			service := simService/2 + time.Duration(random.Int64N(int64(simService)))
			plan = append(plan, moment{at: at, arrival: true, service: service,
				entry: Request{Organisation: name, Weight: 1, Cost: simService, Deadline: at + 2*time.Second}})
		}
	}
	heap.Init(&plan)
	s := simulation{map[string][]time.Duration{}, map[string]int{}}
	q, baseline := newQueue(simSlots), &fifo{slots: simSlots}
	pending := map[*waiter]moment{}
	for plan.Len() > 0 {
		m := heap.Pop(&plan).(moment)
		switch {
		case m.arrival && fair:
			pending[q.enter(m.at, m.entry)] = m
		case m.arrival:
			pending[baseline.enter(m.entry)] = m
		case fair:
			q.leave(m.at, m.finished)
		default:
			baseline.leave()
		}
		for w, from := range pending {
			select {
			case o := <-w.ready:
				delete(pending, w)
				if o != tamarackrun.Done {
					s.refused[w.Organisation]++
					continue
				}
				s.latency[w.Organisation] = append(s.latency[w.Organisation], m.at+from.service-from.at)
				heap.Push(&plan, moment{at: m.at + from.service, finished: w})
			default:
			}
		}
	}
	return s
}

func p99(all []time.Duration) time.Duration {
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all[len(all)*99/100]
}

// worst returns the highest p99 latency among the organisations other than the
// one with the surplus.
func (s simulation) worst() (time.Duration, int) {
	var latency time.Duration
	refused := 0
	for name, all := range s.latency {
		if name != "heavy" {
			latency, refused = max(latency, p99(all)), refused+s.refused[name]
		}
	}
	return latency, refused
}

// Guards against an organisation that crowds out others. The p99 latency of the
// worst-served one while another sends five times its rate is at most twice
// what it is without the surplus, and with two organisations at most twice what
// it is alone on the server. The figures of FIFO come from the same arrivals.
func TestFairnessAgainstFIFO(t *testing.T) {
	for _, c := range []struct {
		name   string
		others []string
		rate   float64
	}{
		// 30/s and 150/s ask for 120% of the 150/s that the server can do.
		{"two organisations", []string{"a"}, 30},
		// Seven at 12/s and one at 60/s ask for 96%.
		{"eight organisations", []string{"a", "b", "c", "d", "e", "f", "g"}, 12},
	} {
		t.Run(c.name, func(t *testing.T) {
			even, surplus := map[string]float64{"heavy": c.rate}, map[string]float64{"heavy": 5 * c.rate}
			for _, name := range c.others {
				even[name], surplus[name] = c.rate, c.rate
			}
			alone := p99(simulate(7, map[string]float64{"a": c.rate}, true).latency["a"])
			normal, _ := simulate(7, even, true).worst()
			fair, fairRefused := simulate(7, surplus, true).worst()
			baseline, baselineRefused := simulate(7, surplus, false).worst()
			ratio := func(d time.Duration) float64 { return d.Seconds() / alone.Seconds() }
			t.Logf("p99 alone on the server %v, all at their rate %v; with the surplus: fair %v (%.2f of alone, %.2f of normal, %d refused), FIFO %v (%.2f, %d refused)",
				alone, normal, fair, ratio(fair), fair.Seconds()/normal.Seconds(), fairRefused, baseline, ratio(baseline), baselineRefused)
			if fair > 2*normal || len(c.others) == 1 && fair > 2*alone || fair >= baseline {
				t.Errorf("p99 is %v", fair)
			}
		})
	}
}
