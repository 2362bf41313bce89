package instance

import (
	"time"

	"tamarackrun"
	"tamarackrun/internal/protocol/frame"
	"tamarackrun/internal/protocol/wire"
)

// clockMillis converts a time for a heartbeat. It rounds up, so that messages
// seem older rather than younger.
func clockMillis(now time.Duration) uint64 { return uint64(now.Milliseconds()) + 1 }

// toMessage converts a request to a message for a peer.
func (in *Instance) toMessage(request tamarackrun.Request) *wire.Dispatch {
	now := in.clock.Now()
	d := frame.FromRequest(request, now)
	d.Sender, d.SentMillis = in.incarnation, uint64(now.Milliseconds())
	return d
}

// fromMessage converts the message of a peer to a request. The message's age is
// subtracted from the remaining time and added to the age of the token, because
// the message may have waited for long in the buffers of a paused process.
// known is false if the age is unknown because no heartbeat was exchanged with
// the sender.
func (in *Instance) fromMessage(d *wire.Dispatch) (request tamarackrun.Request, known bool) {
	now := in.clock.Now()
	age, known := in.maxAge(d, now)
	return frame.ToRequest(d, now-age), known
}

// maxAge returns an upper bound of a message's age. The peer read its clock
// after this instance sent its heartbeat, so that the estimate is too high by
// at most the delay of that heartbeat. It is too low at most by the drift of
// the clocks since then.
func (in *Instance) maxAge(d *wire.Dispatch, now time.Duration) (age time.Duration, known bool) {
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
