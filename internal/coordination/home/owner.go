package home

import (
	"time"

	"tamarackrun/internal/state/roster"
)

// maxReportAge is the age of a heartbeat reply above which the servers that it
// reports are ignored.
const maxReportAge = roster.UnreachableAfter

// reportsServer reports whether the member's latest heartbeat reply says that it is
// the home of the server.
func reportsServer(m roster.Member, server string) bool {
	for _, l := range m.State.GetServers() {
		if l.Name == server {
			return true
		}
	}
	return false
}

// HandedOver reports whether the older home is leaving and its heartbeat replies
// have stopped reporting the server since this instance gained it.
func HandedOver(older roster.Member, server string, gained time.Duration) bool {
	return older.LastHeartbeat > gained && older.State.GetPhase() == roster.Leaving && !reportsServer(older, server)
}
