package front

import (
	"context"
	"time"

	"tamarackrun/internal/protocol/event"
)

const (
	// moveTime is how long callers may need to see that the directory no longer
	// names the instance. Then answers close their connections.
	moveTime = time.Second
	// refuseAfter is when new requests are refused, as the later ones might not
	// end within the grace time.
	refuseAfter = 3 * time.Second
	// breakOffPart is the part of the grace time after which running requests are
	// broken off, so that ready answers behind them on their connections are
	// written.
	breakOffPart = 0.875
	// killMargin is kept from the end of the grace time.
	killMargin = 300 * time.Millisecond
)

// shutdown leaves the directory, moves callers away, and waits for requests.
func (f *Front) shutdown() {
	began := time.Now()
	whole := f.terms.Load().StopGrace
	grace := whole - killMargin
	f.history.Record(event.Stopping, "", "grace", grace.String())
	f.leaving.Store(true)
	f.members.Leave()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(min(d, grace/2)))) }
	at(moveTime)
	f.callers.CloseIdle()
	at(refuseAfter)
	f.refusing.Store(true)
	f.callers.CloseIdle()
	breakOff := time.AfterFunc(time.Until(began.Add(time.Duration(breakOffPart*float64(whole)))), f.callers.BreakOff)
	defer breakOff.Stop()
	finish, cancel := context.WithDeadline(context.Background(), began.Add(grace))
	defer cancel()
	f.callers.Finish(finish)
	f.history.Record(event.Stopped, "", "after", time.Since(began).String())
}
