package probe

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tamarackrun/internal/standin/recorder"
	"tamarackrun/internal/state/registry"
)

// requestTime is the time between two requests of too many, and roundTrip that of a probe.
const requestTime, roundTrip = 300 * time.Millisecond, 100 * time.Millisecond

// Guards against probes while records are up to date or a server gets few requests, and against
// a cold server that is not found at once.
func TestServersAreProbedWhileRecordsAreStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		stale, exposed, coldFor, probes := false, false, time.Duration(0), 0
		var marked time.Time
		server := &registry.Server{Name: "server"}
		p := &Prober{
			Stale: func(time.Time) bool {
				mu.Lock()
				defer mu.Unlock()
				return stale
			},
			Servers: func() []*registry.Server { return []*registry.Server{server} },
			Exposed: func(now time.Time, _ *registry.Server, since time.Time) bool {
				mu.Lock()
				defer mu.Unlock()
				return exposed && now.Sub(since) >= requestTime
			},
			Ask: func(context.Context, *registry.Server) (time.Duration, bool) {
				time.Sleep(roundTrip)
				mu.Lock()
				defer mu.Unlock()
				probes++
				return coldFor, true
			},
			MarkCold: func(_ *registry.Server, until time.Time) {
				mu.Lock()
				defer mu.Unlock()
				if marked.IsZero() {
					marked = until
				}
			},
			Recorder: recorder.Discard{},
		}
		ctx, cancel := context.WithCancel(t.Context())
		go p.Run(ctx)
		expect := func(what string, least, most int) {
			t.Helper()
			time.Sleep(3 * time.Second)
			mu.Lock()
			defer mu.Unlock()
			if probes < least || probes > most || !marked.IsZero() {
				t.Errorf("%s: %d probes in 3 s, want %d to %d; marked as cold %v", what, probes, least, most, !marked.IsZero())
			}
			stale, exposed = exposed, true
		}
		expect("up to date, few requests", 0, 0)
		expect("up to date, many requests", 0, 0)
		expect("stale, many requests", 8, 12)
		mu.Lock()
		coldFor = 2 * time.Second
		turned := time.Now()
		mu.Unlock()
		time.Sleep(time.Second)
		mu.Lock()
		if delay := marked.Sub(turned) - coldFor; marked.IsZero() || delay > requestTime+2*roundTrip+pollInterval {
			t.Errorf("the cold server is marked after %s", delay)
		}
		mu.Unlock()
		cancel()
		// The latest probe may still be running.
		time.Sleep(roundTrip)
		synctest.Wait()
	})
}
