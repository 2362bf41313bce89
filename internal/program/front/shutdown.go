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
	// killMargin is kept from the end of the grace time.
	killMargin = 300 * time.Millisecond
)

// shutdown leaves the directory, moves callers away, and waits for requests.
func (f *Front) shutdown() {
	began := time.Now()
	grace := f.terms.Load().StopGrace - killMargin
	f.history.Record(event.Stopping, "", "grace", grace.String())
	f.leaving.Store(true)
	f.members.Leave()
	at := func(d time.Duration) { time.Sleep(time.Until(began.Add(min(d, grace/2)))) }
	at(moveTime)
	f.callers.CloseIdle()
	at(refuseAfter)
	f.refusing.Store(true)
	f.callers.CloseIdle()
	finish, cancel := context.WithDeadline(context.Background(), began.Add(grace))
	defer cancel()
	f.callers.Finish(finish)
	f.history.Record(event.Stopped, "", "after", time.Since(began).String())
}
