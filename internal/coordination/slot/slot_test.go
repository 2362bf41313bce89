package slot

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"tamarackrun"
)

type systemClock struct{ began time.Time }

func (c systemClock) Now() time.Duration { return time.Since(c.began) }

// Guards against losing a slot or giving it out twice when callers cancel at the moment
// at which they get a slot.
func TestGateLosesNoSlots(t *testing.T) {
	const slots = 3
	g := New(slots, systemClock{time.Now()})
	var group sync.WaitGroup
	var running, most, answered atomic.Int64
	for n := range 400 {
		group.Go(func() {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if n%2 == 0 {
				go cancel()
			}
			release, outcome := g.Acquire(ctx, Request{Organisation: string(rune('a' + n%5)), Weight: 1, Deadline: time.Hour})
			answered.Add(1)
			if outcome != tamarackrun.Done {
				return
			}
			if now := running.Add(1); now > most.Load() {
				most.Store(now)
			}
			time.Sleep(100 * time.Microsecond)
			running.Add(-1)
			release()
		})
	}
	group.Wait()
	inFlight, queued, _ := g.Load()
	if most.Load() > slots || inFlight != 0 || queued != 0 || answered.Load() != 400 {
		t.Errorf("most %d running, %d in flight and %d queued at the end, %d answers", most.Load(), inFlight, queued, answered.Load())
	}
}
