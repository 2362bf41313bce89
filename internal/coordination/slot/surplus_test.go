package slot

import (
	"testing"
	"time"
)

// Guards against requests above an organisation's rate that start while others
// inside their rates wait, and against those that crowd out the own ones inside.
func TestSurplusWaitsForOthers(t *testing.T) {
	q := newQueue(1)
	enter := func(organisation string, now time.Duration) *waiter {
		return q.enter(now, Request{Organisation: organisation, Weight: 1, Cost: time.Millisecond, Rate: 1, Deadline: time.Hour})
	}
	running := enter("heavy", 0)
	for range 20 {
		enter("heavy", 0)
	}
	for range leastBurst {
		enter("light", 0)
	}
	inside := enter("heavy", time.Second)
	started := 0
	for len(q.running) > 0 {
		q.leave(time.Second, running)
		for running = range q.running {
			if started++; started <= 2*leastBurst && running.surplus {
				t.Errorf("start %d is above the rate", started)
			}
		}
	}
	if o := <-inside.ready; o.Reason != "" || started <= 2*leastBurst {
		t.Errorf("the request inside the rate got %v, %d started", o, started)
	}
}
