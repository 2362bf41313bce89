package steer

import (
	"time"

	"tamarackrun"
	"tamarackrun/internal/state/registry"
)

// noticeMemory is how long a server's word that it leaves is kept. Its record may say otherwise for
// long, and may go and come back while the store is away.
const noticeMemory = 10 * time.Minute

// notice is what a server's process has said in its answers about further requests from this
// instance.
type notice struct {
	startMillis int64
	address     string
	// leaving is true if the server takes no more requests, and restUntil is until when it wants
	// none; zero if it has not said so.
	leaving   bool
	restUntil time.Time
	heardAt   time.Time
}

// about reports whether the notice is from the process of the server. A new process may have the
// name or the address of an earlier one.
func (n notice) about(server *registry.Server) bool {
	return n.startMillis == server.StartMillis && n.address == server.Address
}

// ReportNotice records that a server has said in an answer that it is leaving, or that it wants no
// requests from this instance for the time rest. It reports whether that is new.
func (b *Balancer) ReportNotice(now time.Time, server *registry.Server, leaving bool, rest time.Duration) bool {
	if !leaving && rest <= 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.notices[server.Name]
	if !old.about(server) {
		old = notice{}
	}
	n := notice{startMillis: server.StartMillis, address: server.Address, leaving: leaving || old.leaving,
		restUntil: old.restUntil, heardAt: now}
	if until := now.Add(rest); rest > 0 && until.After(n.restUntil) {
		n.restUntil = until
	}
	b.notices[server.Name] = n
	return leaving && !old.leaving || rest > 0 && !now.Before(old.restUntil)
}

// Barred reports whether a server has asked this instance not to send it requests.
func (b *Balancer) Barred(now time.Time, server *registry.Server) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	reason, _ := b.barredFor(now, server)
	return reason != ""
}

// Leaving returns the names of the servers that have said in an answer that they are leaving.
func (b *Balancer) Leaving(servers []*registry.Server) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var names []string
	for _, server := range servers {
		if n, ok := b.notices[server.Name]; ok && n.leaving && n.about(server) {
			names = append(names, server.Name)
		}
	}
	return names
}

// Resting returns the refusal of a request if all servers that may run it have asked for no requests,
// and else an empty choice.
func (b *Balancer) Resting(now time.Time, servers []*registry.Server, q Query) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	q.Tried = nil
	refusal, _ := b.listCandidates(now, servers, q)
	if len(b.candidates) > 0 {
		return Choice{}
	}
	return refusal
}

// barredFor returns why a server must not get requests because of what it has said, or "". The
// caller holds b.mu.
func (b *Balancer) barredFor(now time.Time, server *registry.Server) (tamarackrun.Reason, notice) {
	n, ok := b.notices[server.Name]
	switch {
	case !ok || !n.about(server):
		return "", notice{}
	case n.leaving:
		return tamarackrun.ServerLeaving, n
	case now.Before(n.restUntil):
		return tamarackrun.ServerResting, n
	}
	return "", notice{}
}

// forgetNotices drops the notices that no longer matter. The caller holds b.mu.
func (b *Balancer) forgetNotices(now time.Time) {
	for name, n := range b.notices {
		if now.After(n.restUntil) && (!n.leaving || now.Sub(n.heardAt) > noticeMemory) {
			delete(b.notices, name)
		}
	}
}
