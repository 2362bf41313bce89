package membership

import (
	"slices"
	"time"
)

const (
	// pauseAfter is the time without a report of its own after which this instance has stood still.
	pauseAfter = 2 * maxInterval
	// leadLifetime is how long the largest lead of a peer's clock counts. Clocks drift apart, and that of a
	// machine may stop while the machine is suspended.
	leadLifetime = 10 * time.Second
	// leadTolerance is how much less a lead may be than the largest one to confirm it.
	leadTolerance = 10 * time.Millisecond
)

// peerClock is what the instance knows of the clock of a peer's process, whose difference to the own clock is between
// two bounds.
type peerClock struct {
	incarnation int64
	// lead is a lower bound of the difference, which was confirmed at leadAt: the clock in a message is as old as its way here.
	lead, leadAt time.Duration
	// maxLead is an upper bound, which was confirmed at maxLeadAt. isGuess is true if it comes from the time for which this
	// instance stood still.
	maxLead, maxLeadAt time.Duration
	isGuess            bool
}

// noteLead records the time on its clock at which a process sent a message that is read now.
func (c *peerClock) noteLead(now time.Duration, incarnation int64, sent time.Duration) {
	lead := sent - now
	switch {
	case c.incarnation != incarnation || lead > c.lead || now-c.leadAt > leadLifetime:
		c.lead, c.leadAt = lead, now
	case lead >= c.lead-leadTolerance:
		c.leadAt = now
	}
	c.incarnation = incarnation
}

// noteMaxLead records a time on the own clock that is not later than the sending of a message.
func (c *peerClock) noteMaxLead(now, sent, at time.Duration, isGuess bool) {
	lead := sent - at
	switch {
	case c.maxLeadAt == 0 || c.isGuess || isGuess || lead < c.maxLead || now-c.maxLeadAt > leadLifetime:
		c.maxLead, c.maxLeadAt, c.isGuess = lead, now, isGuess
	case lead <= c.maxLead+leadTolerance:
		c.maxLeadAt = now
	}
}

// clockMillis returns a time on the clock that this instance names in its messages, which starts with the process. It
// is not 0.
func (m *Membership) clockMillis(at time.Duration) uint64 {
	return uint64((at - m.started).Milliseconds()) + 1
}

// timedMessage is a message that says when it was sent.
type timedMessage interface {
	GetIncarnation() int64
	GetSentMillis() uint64
	GetHeardClocks() []uint64
}

// sentAt returns when the message was sent, or a time before, at most as long as the way from this instance to the sender
// takes. heard names the senders of heardClocks. The sender's estimate of this instance's clock is at most that clock
// less the time on the way, and a message that has waited here names an earlier time, so that old news never look
// new. The difference of the clocks that was found with the least delays gives a later time if the sender's estimate has become
// worse. The caller holds m.mu.
func (m *Membership) sentAt(now time.Duration, p *peer, message timedMessage, heard []uint64) time.Duration {
	sent := time.Duration(message.GetSentMillis()) * time.Millisecond
	if sent == 0 {
		// The sender is of a version that does not name its clock.
		return now
	}
	c := &p.clock
	if c.incarnation != message.GetIncarnation() {
		*c = peerClock{}
	}
	c.noteLead(now, message.GetIncarnation(), sent)
	at := m.echoedTime(now, message, heard)
	switch {
	case at != 0:
		c.noteMaxLead(now, sent, at, false)
		return max(at, min(now, sent-c.maxLead))
	case c.maxLeadAt != 0 && (!c.isGuess || m.hasJustResumed(now)):
		return min(now, sent-c.maxLead)
	case m.hasJustResumed(now):
		c.noteMaxLead(now, sent, m.pausedAt, true)
		return m.pausedAt
	}
	return now
}

// echoedTime returns the time on this instance's clock that a message names, or 0 if the sender has not heard this
// process lately. The caller holds m.mu.
func (m *Membership) echoedTime(now time.Duration, message timedMessage, heard []uint64) time.Duration {
	i, clocks := slices.Index(heard, m.ownHash), message.GetHeardClocks()
	if i < 0 || i >= len(clocks) || clocks[i] == 0 {
		return 0
	}
	at := m.started + time.Duration(clocks[i]-1)*time.Millisecond
	if at > now {
		// The clock is that of an earlier process of this instance.
		return 0
	}
	return at
}

// hasJustResumed reports whether this instance has stood still and may still be reading messages that came meanwhile. The
// caller holds m.mu.
func (m *Membership) hasJustResumed(now time.Duration) bool {
	m.notePause(now)
	return m.pausedAt != 0 && now-m.resumedAt < maxInterval
}

// notePause records whether this instance has stood still since its latest report. The caller holds m.mu.
func (m *Membership) notePause(now time.Duration) {
	if m.sequence > 0 && now-m.reportedAt >= pauseAfter && m.pausedAt != m.reportedAt {
		m.pausedAt, m.resumedAt = m.reportedAt, now
	}
}

// heardClocks returns the times on the clocks of the peers, or 0 where one is not known. The caller holds m.mu.
func (m *Membership) heardClocks(now time.Duration, peers []*peer) []uint64 {
	clocks := make([]uint64, 0, len(peers))
	for _, p := range peers {
		clock := uint64(0)
		if p.clock.incarnation != 0 {
			clock = uint64(max(0, now+p.clock.lead).Milliseconds())
		}
		clocks = append(clocks, clock)
	}
	return clocks
}

func hashesOf(peers []*peer) []uint64 {
	hashes := make([]uint64, 0, len(peers))
	for _, p := range peers {
		hashes = append(hashes, p.hash)
	}
	return hashes
}
