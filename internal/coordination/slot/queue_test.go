package slot

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackrun"
	"tamarackrun/internal/standin/property"
)

// model drives a queue with random steps and checks it after each.
type model struct {
	q       *queue
	now     time.Duration
	all     []*waiter
	answers map[*waiter]tamarackrun.Outcome
	running []*waiter
	// waitingSince counts, per backlogged organisation, the service time in
	// seconds that each organisation started since its own latest start.
	started map[string]map[string]float64
}

func weightOf(organisation string) int { return int(organisation[0] - 'a' + 1) }

const maxCost = 20 * time.Millisecond

// collect takes new answers; the channel's room of one makes a second answer
// block, so it is looked for after every step.
func (m *model) collect(t *rapid.T) {
	for _, w := range m.all {
		select {
		case o := <-w.ready:
			if before, twice := m.answers[w]; twice {
				t.Fatalf("waiter was answered twice: %v and %v", before, o)
			}
			m.answers[w] = o
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

// checkShares takes the starts of one step in order and compares the service
// that organisations got while another one waited.
func (m *model) checkShares(t *rapid.T, before int) {
	for _, w := range m.running[min(before, len(m.running)):] {
		for waiting, got := range m.started {
			got[w.Organisation] += w.units()
			if waiting == w.Organisation {
				m.started[waiting] = map[string]float64{}
				continue
			}
			own, other := float64(weightOf(waiting)), float64(weightOf(w.Organisation))
			if limit := 2 * maxCost.Seconds() * (other/own + 1); got[w.Organisation] > limit {
				t.Fatalf("%s waited while %s got %.3f s of service, limit %.3f s", waiting, w.Organisation, got[w.Organisation], limit)
			}
		}
	}
	for _, name := range []string{"a", "b", "c"} {
		if f := m.q.interactive.flows[name]; f == nil {
			delete(m.started, name)
		} else if m.started[name] == nil {
			m.started[name] = map[string]float64{}
		}
	}
}

// Guards against more requests than slots, lost and doubled answers, and an
// organisation whose backlog waits for more than the others' shares.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{q: newQueue(rapid.IntRange(1, 4).Draw(t, "slots")), answers: map[*waiter]tamarackrun.Outcome{},
			started: map[string]map[string]float64{}}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 3).Draw(t, "ms")) * time.Millisecond
			before := len(m.running)
			switch step := rapid.IntRange(0, 9).Draw(t, "step"); {
			case step < 6:
				m.all = append(m.all, m.q.enter(m.now, Request{
					Organisation: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"),
					Cost:         time.Duration(rapid.IntRange(1, int(maxCost/time.Millisecond)).Draw(t, "cost")) * time.Millisecond,
					Deadline:     m.now + time.Duration(rapid.IntRange(0, 500).Draw(t, "deadline"))*time.Millisecond,
				}))
				last := m.all[len(m.all)-1]
				last.Weight = weightOf(last.Organisation)
			case step < 9 && len(m.running) > 0:
				i := rapid.IntRange(0, len(m.running)-1).Draw(t, "index")
				w := m.running[i]
				m.running = append(m.running[:i:i], m.running[i+1:]...)
				before--
				m.q.leave(m.now, w)
			case len(m.all) > 0:
				m.q.cancel(m.all[rapid.IntRange(0, len(m.all)-1).Draw(t, "index")], tamarackrun.CallerCancelled)
			}
			m.collect(t)
			m.checkShares(t, before)
		}
		m.q.close(tamarackrun.NotHome)
		m.collect(t)
		if len(m.answers) != len(m.all) {
			t.Fatalf("%d of %d requests were answered", len(m.answers), len(m.all))
		}
	})
}

// Guards against interactive load that starves batch requests, and against
// batch requests that take more than their part.
func TestBatchKeepsTenPercent(t *testing.T) {
	q := newQueue(1)
	entry := Request{Weight: 1, Cost: 10 * time.Millisecond, Deadline: time.Hour}
	enter := func(organisation string, batch bool) *waiter {
		e := entry
		e.Organisation, e.Batch = organisation, batch
		return q.enter(0, e)
	}
	running := enter("first", false)
	served, lanes := map[bool]int{}, map[bool]int{}
	for range 200 {
		for _, batch := range []bool{false, true} {
			for ; lanes[batch] < 2; lanes[batch]++ {
				enter(fmt.Sprint(batch), batch)
			}
		}
		q.leave(0, running)
		for w := range q.running {
			running = w
		}
		served[running.Batch]++
		lanes[running.Batch]--
	}
	if served[true] < 19 || served[true] > 21 {
		t.Errorf("batch got %d of 200 starts, want 20", served[true])
	}
}

// Guards against requests that wait although they cannot start in time, and
// against refusing those that can.
func TestRefusals(t *testing.T) {
	const cost = 10 * time.Millisecond
	for _, c := range []struct {
		name     string
		running  int
		queued   int
		entry    Request
		answered bool
		want     tamarackrun.Reason
	}{
		{name: "free slot", running: 1, entry: Request{Deadline: 1}, answered: true},
		{name: "deadline passed", entry: Request{Deadline: 0}, answered: true, want: tamarackrun.DeadlinePassed},
		{name: "cannot start in time", running: 2, queued: 2, entry: Request{Deadline: 2*cost - 1}, answered: true, want: tamarackrun.QueueTimeout},
		{name: "can just start in time", running: 2, queued: 2, entry: Request{Deadline: 2 * cost}},
		{name: "own share is full", running: 2, queued: 16, entry: Request{Deadline: time.Hour}, answered: true, want: tamarackrun.QueueFull},
		{name: "newcomer gets room", running: 2, queued: 16, entry: Request{Organisation: "new", Deadline: time.Hour}},
		{name: "shifted", running: 1, entry: Request{Shifted: true, ShiftLimit: 1, Reserve: 1, Deadline: 1}, answered: true},
		{name: "shift limit", entry: Request{Shifted: true, Deadline: 1}, answered: true, want: tamarackrun.ShiftCapped},
		{name: "no reserve", running: 1, entry: Request{Shifted: true, ShiftLimit: 1, Reserve: 2, Deadline: 1}, answered: true, want: tamarackrun.ShiftCapped},
	} {
		t.Run(c.name, func(t *testing.T) {
			q := newQueue(2)
			for range c.running + c.queued {
				q.enter(0, Request{Cost: cost, Deadline: time.Hour})
			}
			w := q.enter(0, c.entry)
			if len(w.ready) == 0 {
				if c.answered {
					t.Fatal("the request waits")
				}
				return
			}
			if o := <-w.ready; !c.answered || o.Reason != c.want {
				t.Errorf("answer %v, want reason %q", o, c.want)
			}
		})
	}
}

// Guards against starting requests whose deadline passed while the process was
// paused.
func TestExpiredRequestsAreNotStarted(t *testing.T) {
	q := newQueue(1)
	running := q.enter(0, Request{Deadline: time.Second})
	late := q.enter(0, Request{Deadline: time.Second})
	q.leave(time.Minute, running)
	if o := <-late.ready; o.Reason != tamarackrun.QueueTimeout || len(q.running) != 0 {
		t.Errorf("answer %v with %d running", o, len(q.running))
	}
}

// Guards against an organisation that was idle and then gets all slots to make
// up for it.
func TestIdleOrganisationsSaveNoCredit(t *testing.T) {
	q := newQueue(1)
	next := func() (w *waiter) {
		for w = range q.running {
			q.leave(0, w)
			break
		}
		for w = range q.running {
		}
		return w
	}
	e := Request{Organisation: "busy", Weight: 1, Cost: time.Millisecond, Deadline: time.Hour}
	for range 50 {
		q.enter(0, e)
		next()
	}
	for range 4 {
		q.enter(0, e)
	}
	e.Organisation = "idle"
	for range 3 {
		q.enter(0, e)
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
