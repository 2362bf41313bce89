package front

import (
	"time"

	"tamarackrun/internal/coordination/serverlimit"
	"tamarackrun/internal/state/registry"
)

// admitLimited reports whether a server that has named a rate limit may get another request
// from this instance, and otherwise when.
func (f *Front) admitLimited(now time.Time, server *registry.Server, limit float64) (admitted bool, retryAfter time.Duration) {
	var senders []serverlimit.Member
	for _, m := range f.members.Members() {
		if m.Alive {
			senders = append(senders, serverlimit.Member{Name: m.Name, Near: m.Region == server.Region})
		}
	}
	return f.serverLimiter.Admit(now, server.Name, limit, senders)
}
