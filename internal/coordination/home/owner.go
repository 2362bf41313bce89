package home

import (
	"time"

	"tamarackrun/internal/state/roster"
)

// reportLimit is the age above which a report of ownership is ignored.
const reportLimit = roster.UnreachableAfter

func reports(m roster.Member, server string) bool {
	for _, l := range m.State.GetServers() {
		if l.Name == server {
			return true
		}
	}
	return false
}

// HandedOver says that the older home is leaving and was heard, after the time at
// which the server was gained, without the server.
func HandedOver(older roster.Member, server string, gained time.Duration) bool {
	return older.LastHeartbeat > gained && older.State.GetPhase() == roster.Leaving && !reports(older, server)
}
