package front

import (
	"context"
	"time"

	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/protocol/event"
)

const (
	// callerMoveTime is how long callers may need to see that look-ups no longer
	// return the instance. After it, the instance closes idle connections and
	// closes the others with their last answers.
	callerMoveTime = time.Second
	// refuseAfter is how long after the start of the shutdown new requests are
	// refused, since later ones might not end within the grace time.
	refuseAfter = 3 * time.Second
	// cancelFraction is the part of the grace time after which running requests
	// are cancelled, so that answers that wait behind them on their connections
	// are still written.
	cancelFraction = 0.875
	// killMargin is the part of the grace time that the shutdown leaves unused,
	// because the platform kills the process at its end.
	killMargin = 300 * time.Millisecond
	// delegatedPoll is how often the shutdown checks whether requests of other instances run.
	delegatedPoll = 10 * time.Millisecond
)

// mayBeCancelled reports whether the graceful shutdown may cancel a request before its deadline.
func (f *Front) mayBeCancelled(deadline time.Time) bool {
	at := f.cancelAt.Load()
	return at != nil && deadline.After(*at)
}

// shutdown takes the instance out of look-ups, closes the callers' connections as
// they become idle, and waits for running requests.
func (f *Front) shutdown() {
	began := time.Now()
	stopGrace := f.terms.Load().StopGrace
	grace := stopGrace - killMargin
	f.history.Record(event.Stopping, "", "grace", grace.String())
	cancelAt := began.Add(time.Duration(cancelFraction * float64(stopGrace)))
	f.cancelAt.Store(&cancelAt)
	f.leaving.Store(true)
	f.members.Leave()
	waitUntil := func(d time.Duration) { time.Sleep(time.Until(began.Add(min(d, grace/2)))) }
	waitUntil(callerMoveTime)
	f.callerServer.CloseIdle()
	waitUntil(refuseAfter)
	f.refusingRequests.Store(true)
	f.callerServer.CloseIdle()
	cancelRequests := time.AfterFunc(time.Until(cancelAt), func() {
		f.callerServer.CancelRequests()
		f.cancelDelegated()
	})
	defer cancelRequests.Stop()
	finish, cancel := context.WithDeadline(context.Background(), began.Add(grace))
	defer cancel()
	f.callerServer.Wait(finish)
	for f.delegated.Load() > 0 && finish.Err() == nil {
		waiting.Pause(finish, delegatedPoll)
	}
	f.history.Record(event.Stopped, "", "after", time.Since(began).String())
}
