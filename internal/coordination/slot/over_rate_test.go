package slot

import (
	"testing"
	"time"
)

// Guards against starting requests above an organisation's rate while requests of
// others within their rates wait, and against requests above the rate that keep the
// organisation's own requests within the rate out of the queue.
func TestRequestsOverRateWaitForOthers(t *testing.T) {
	q := newQueue(1)
	submit := func(organisation string, now time.Duration) *waiter {
		return q.submit(now, Request{Organisation: organisation, Weight: 1, Cost: time.Millisecond, Rate: 1, Deadline: time.Hour})
	}
	running := submit("heavy", 0)
	for range 20 {
		submit("heavy", 0)
	}
	for range minBurst {
		submit("light", 0)
	}
	withinRate := submit("heavy", time.Second)
	started := 0
	for len(q.running) > 0 {
		q.release(time.Second, running)
		for running = range q.running {
			if started++; started <= 2*minBurst && running.overRate {
				t.Errorf("start %d is above the rate", started)
			}
		}
	}
	if o := <-withinRate.outcomes; o.Reason != "" || started <= 2*minBurst {
		t.Errorf("the request within the rate got %v, %d started", o, started)
	}
}
