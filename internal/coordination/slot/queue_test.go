package slot

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackrun"
	"tamarackrun/internal/standin/property"
)

// model applies random steps to a queue and checks the queue after each.
type model struct {
	q         *queue
	now       time.Duration
	submitted []*waiter
	outcomes  map[*waiter]tamarackrun.Outcome
	running   []*waiter
	// serviceWhileWaiting holds, by organisation with waiting requests, the service
	// time in seconds of the requests that each organisation has started since the
	// waiting organisation's latest start.
	serviceWhileWaiting map[string]map[string]float64
}

func weightOf(organisation string) int { return int(organisation[0] - 'a' + 1) }

const maxCost = 20 * time.Millisecond

// collectOutcomes receives new outcomes. It is called after every step, because the
// channels hold one outcome each and a second one would block the queue.
func (m *model) collectOutcomes(t *rapid.T) {
	for _, w := range m.submitted {
		select {
		case o := <-w.outcomes:
			if before, twice := m.outcomes[w]; twice {
				t.Fatalf("waiter got two outcomes: %v and %v", before, o)
			}
			m.outcomes[w] = o
			if o == tamarackrun.Done {
				m.running = append(m.running, w)
			}
		default:
		}
	}
	if len(m.running) > m.q.slots {
		t.Fatalf("%d requests run on %d slots", len(m.running), m.q.slots)
	}
}

// checkShares goes through the requests started in one step, in order, and checks the
// service that organisations got while another one waited.
func (m *model) checkShares(t *rapid.T, alreadyRunning int) {
	for _, w := range m.running[min(alreadyRunning, len(m.running)):] {
		for waiting, service := range m.serviceWhileWaiting {
			service[w.Organisation] += w.costSeconds()
			if waiting == w.Organisation {
				m.serviceWhileWaiting[waiting] = map[string]float64{}
				continue
			}
			own, other := float64(weightOf(waiting)), float64(weightOf(w.Organisation))
			if limit := 2 * maxCost.Seconds() * (other/own + 1); service[w.Organisation] > limit {
				t.Fatalf("%s waited while %s got %.3f s of service, limit %.3f s", waiting, w.Organisation, service[w.Organisation], limit)
			}
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		if f := m.q.interactive.flows[name]; f == nil {
			delete(m.serviceWhileWaiting, name)
		} else if m.serviceWhileWaiting[name] == nil {
			m.serviceWhileWaiting[name] = map[string]float64{}
		}
	}
}

// Guards against more running requests than slots, against lost and repeated outcomes,
// and against an organisation that waits while others get more than their shares.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{q: newQueue(rapid.IntRange(1, 4).Draw(t, "slots")), outcomes: map[*waiter]tamarackrun.Outcome{},
			serviceWhileWaiting: map[string]map[string]float64{}}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 3).Draw(t, "ms")) * time.Millisecond
			alreadyRunning := len(m.running)
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step < 6:
				m.submitted = append(m.submitted, m.q.submit(m.now, Request{
					Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					Cost:         time.Duration(rapid.IntRange(1, int(maxCost/time.Millisecond)).Draw(t, "cost")) * time.Millisecond,
					Deadline:     m.now + time.Duration(rapid.IntRange(0, 500).Draw(t, "deadline"))*time.Millisecond,
				}))
				last := m.submitted[len(m.submitted)-1]
				last.Weight = weightOf(last.Organisation)
			case step < 9 && len(m.running) > 0:
				i := rapid.IntRange(0, len(m.running)-1).Draw(t, "index")
				w := m.running[i]
				m.running = append(m.running[:i:i], m.running[i+1:]...)
				alreadyRunning--
				m.q.release(m.now, w)
			case len(m.submitted) > 0:
				m.q.cancel(m.submitted[rapid.IntRange(0, len(m.submitted)-1).Draw(t, "index")], tamarackrun.CallerCancelled)
			}
			m.collectOutcomes(t)
			m.checkShares(t, alreadyRunning)
		}
		m.q.close(tamarackrun.NotHome)
		m.collectOutcomes(t)
		if len(m.outcomes) != len(m.submitted) {
			t.Fatalf("%d of %d requests got an outcome", len(m.outcomes), len(m.submitted))
		}
	})
}

// Guards against interactive requests that starve batch requests, and against batch
// requests that get more than 10% of the service time.
func TestBatchKeepsTenPercent(t *testing.T) {
	q := newQueue(1)
	template := Request{Weight: 1, Cost: 10 * time.Millisecond, Deadline: time.Hour}
	submit := func(organisation string, batch bool) *waiter {
		r := template
		r.Organisation, r.Batch = organisation, batch
		return q.submit(0, r)
	}
	running := submit("first", false)
	served, waiting := map[bool]int{}, map[bool]int{}
	for range 200 {
		for _, batch := range []bool{false, true} {
			for ; waiting[batch] < 2; waiting[batch]++ {
				submit(fmt.Sprint(batch), batch)
			}
		}
		q.release(0, running)
		for w := range q.running {
			running = w
		}
		served[running.Batch]++
		waiting[running.Batch]--
	}
	if served[true] < 19 || served[true] > 21 {
		t.Errorf("batch got %d of 200 starts, want 20", served[true])
	}
}

// Guards against queueing requests that cannot start in time, and against refusing
// requests that can.
func TestRefusals(t *testing.T) {
	const cost = 10 * time.Millisecond
	for _, c := range []struct {
		name    string
		running int
		queued  int
		request Request
		// decided is true if the request gets its outcome at once. want is then the
		// reason for a refusal, or empty if the request starts.
		decided bool
		want    tamarackrun.Reason
	}{
		{name: "free slot", running: 1, request: Request{Deadline: 1}, decided: true},
		{name: "deadline passed", request: Request{Deadline: 0}, decided: true, want: tamarackrun.DeadlinePassed},
		{name: "cannot start in time", running: 2, queued: 2, request: Request{Deadline: 2*cost - 1}, decided: true, want: tamarackrun.QueueTimeout},
		{name: "can just start in time", running: 2, queued: 2, request: Request{Deadline: 2 * cost}},
		{name: "own share is full", running: 2, queued: 16, request: Request{Deadline: time.Hour}, decided: true, want: tamarackrun.QueueFull},
		{name: "new organisation replaces a request", running: 2, queued: 16, request: Request{Organisation: "new", Deadline: time.Hour}},
		{name: "shifted to a free slot", running: 1, request: Request{Shifted: true, ShiftLimit: 1, Reserve: 1, Deadline: 1}, decided: true},
		{name: "shift limit is reached", request: Request{Shifted: true, Deadline: 1}, decided: true, want: tamarackrun.ShiftCapped},
		{name: "reserve would be used", running: 1, request: Request{Shifted: true, ShiftLimit: 1, Reserve: 2, Deadline: 1}, decided: true, want: tamarackrun.ShiftCapped},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := newQueue(2)
			for range c.running + c.queued {
				q.submit(0, Request{Cost: cost, Deadline: time.Hour})
			}
			w := q.submit(0, c.request)
			if len(w.outcomes) == 0 {
				if c.decided {
					t.Fatal("the request waits, want an outcome at once")
				}
				return
			}
			if o := <-w.outcomes; !c.decided || o.Reason != c.want {
				t.Errorf("outcome %v, want reason %q", o, c.want)
			}
		})
	}
}

// Guards against starting requests whose deadlines passed while the process was paused.
func TestExpiredRequestsAreNotStarted(t *testing.T) {
	q := newQueue(1)
	running := q.submit(0, Request{Deadline: time.Second})
	late := q.submit(0, Request{Deadline: time.Second})
	q.release(time.Minute, running)
	if o := <-late.outcomes; o.Reason != tamarackrun.QueueTimeout || len(q.running) != 0 {
		t.Errorf("outcome %v with %d running, want queueTimeout and none running", o, len(q.running))
	}
}

// Guards against an organisation that gets all slots after it was idle, as
// compensation for the idle time.
func TestIdleOrganisationsAccumulateNoCredit(t *testing.T) {
	q := newQueue(1)
	next := func() (w *waiter) {
		for w = range q.running {
			q.release(0, w)
			break
		}
		for w = range q.running {
		}
		return w
	}
	r := Request{Organisation: "busy", Weight: 1, Cost: time.Millisecond, Deadline: time.Hour}
	for range 50 {
		q.submit(0, r)
		next()
	}
	for range 4 {
		q.submit(0, r)
	}
	r.Organisation = "idle"
	for range 3 {
		q.submit(0, r)
	}
	got := map[string]int{}
	for range 4 {
		got[next().Organisation]++
	}
	if got["busy"] != 2 || got["idle"] != 2 {
		t.Errorf("starts %v, want two each", got)
	}
}

func TestMain(m *testing.M) { property.Main(m) }
