// Package serverlimit keeps the rates that overloaded backend servers name in their answers. A
// server's limit is for all instances together, which divide it by their demand, like the limits
// of organisations.
package serverlimit

import (
	"time"

	"tamarackrun/internal/coordination/quota"
	"tamarackrun/internal/coordination/rendezvous"
	"tamarackrun/internal/state/configuration"
)

const (
	// The users allow a server at most (1 + overage) times its limit, plus slack requests, in
	// any window.
	window  = 4 * time.Second
	overage = 0.5
	slack   = 5
	// tokenFraction is the part of what the bound allows beyond the limit that may lie in
	// the instances' buckets, of which each holds a token.
	tokenFraction = 0.6
	// minRate is the rate that counts as the limit if a server names a lower one. Its answers
	// show when the limit ends, so it must get some requests.
	minRate = 0.05
	// namePrefix keeps servers and organisations apart in the reports of demand.
	namePrefix = "server/"
)

// Member is an instance that may send requests to a server.
type Member struct {
	Name string
	// Near is true if the instance is in the server's region.
	Near bool
}

// Limiter holds this instance's parts of the limits of servers. It is safe for concurrent use.
type Limiter struct {
	// Name is the instance's own name. It is set before the first Admit.
	Name string

	parts *quota.Limiter
}

// New returns a limiter for an instance that knows no other instance yet.
func New(now time.Time) *Limiter {
	parts := quota.New(now)
	parts.SetBound(window, overage, slack)
	return &Limiter{parts: parts}
}

// Admit reports whether a request may be sent to a server with the limit now, and counts it. If
// it may not, retryAfter is the time until this instance may send one.
func (l *Limiter) Admit(now time.Time, server string, limit float64, members []Member) (admitted bool, retryAfter time.Duration) {
	limit = max(minRate, limit)
	if l.rank(server, members) >= maxSenders(limit) {
		return false, window
	}
	// A server has no burst: the bound's tolerance gives each part its token.
	return l.parts.Admit(now, configuration.Organisation{Name: namePrefix + server, Rate: limit})
}

// Return gives back the token of an admitted request that did not reach the server.
func (l *Limiter) Return(now time.Time, server string) { l.parts.Return(now, namePrefix+server) }

// maxSenders returns the number of instances that may send requests to a server. Each may hold
// a token, and together the tokens must stay within the bound, so that not all instances of a
// large fleet send to a server with a small limit.
func maxSenders(limit float64) int {
	return max(1, int(tokenFraction*(limit*window.Seconds()*overage+slack)))
}

// rank returns this instance's position in the order in which instances may send to a server:
// those of its region first, then by hash. All instances that know the same members agree.
func (l *Limiter) rank(server string, members []Member) int {
	near, own, rank := false, rendezvous.Score(server, l.Name), 0
	for _, m := range members {
		if m.Name == l.Name {
			near = m.Near
		}
	}
	for _, m := range members {
		if m.Name != l.Name && (m.Near && !near || m.Near == near && rendezvous.Score(server, m.Name) > own) {
			rank++
		}
	}
	return rank
}

// ReportDemand returns the demand for each server with a limit, in requests per second, for a
// report to the other instances.
func (l *Limiter) ReportDemand(now time.Time) map[string]float64 { return l.parts.ReportDemand(now) }

// SetFleetState recomputes all parts for a new state of the fleet.
func (l *Limiter) SetFleetState(now time.Time, fleet quota.FleetState) {
	// A request can't ask another instance for a token while its server is chosen.
	fleet.Regions, fleet.Holds = 0, nil
	l.parts.SetFleetState(now, fleet)
}

// Forget drops the servers for which keep returns false.
func (l *Limiter) Forget(keep func(server string) bool) {
	l.parts.Forget(func(name string) bool { return keep(name[len(namePrefix):]) })
}
