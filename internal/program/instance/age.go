package instance

import (
	"time"

	"tamarackrun"
	"tamarackrun/internal/protocol/frame"
	"tamarackrun/internal/protocol/wire"
)

// clockMillis returns a time for a heartbeat, rounded up, so that messages look
// older rather than younger.
func clockMillis(now time.Duration) uint64 { return uint64(now.Milliseconds()) + 1 }

// toMessage converts a request for a peer.
func (in *Instance) toMessage(request tamarackrun.Request) *wire.Dispatch {
	now := in.clock.Now()
	d := frame.FromRequest(request, now)
	d.Sender, d.SentMillis = in.incarnation, uint64(now.Milliseconds())
	return d
}

// fromMessage converts the message of a peer. Its age is taken from the remaining
// time and added to the age of the token: the message may have lain in the
// buffers of a paused process for long. The age is unknown if no heartbeat was
// exchanged with the sender.
func (in *Instance) fromMessage(d *wire.Dispatch) (request tamarackrun.Request, known bool) {
	now := in.clock.Now()
	age, known := in.ageOf(d, now)
	return frame.ToRequest(d, now-age), known
}

// ageOf returns the most that a message's age can be. The peer read its clock
// after the own heartbeat was sent, so that the estimate is too high by at most
// the delay of that heartbeat, and never too low but for the drift of the clocks
// since then.
func (in *Instance) ageOf(d *wire.Dispatch, now time.Duration) (age time.Duration, known bool) {
	if d.Sender == "" {
		return 0, true
	}
	m, ok := in.roster.Member(instanceName(d.Sender))
	if !ok || m.State.GetIncarnation() != d.Sender || m.State.GetClockMillis() == 0 {
		return 0, false
	}
	sent := m.LastHeartbeat + time.Duration(int64(d.SentMillis)-int64(m.State.ClockMillis))*time.Millisecond
	return max(0, now-sent), true
}
