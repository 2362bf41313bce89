package steer

import (
	"slices"
	"time"

	"tamarackrun/internal/state/registry"
)

// Grant is a token of one instance's share of the limits on a server's requests. An instance that sends
// a request for that one may use it for the request.
type Grant struct {
	// Server and StartMillis name the server's process.
	Server      string
	StartMillis int64
	// Cold and Limited say of which limits the token is: of that of cold servers, or of the rate that
	// the server has named, or of both.
	Cold, Limited bool
	// TakenAt is when the token was taken; zero at the instance that uses it.
	TakenAt time.Time
}

// about reports whether the grant is for the process of the server.
func (g *Grant) about(server *registry.Server) bool {
	return g.Server == server.Name && g.StartMillis == server.StartMillis
}

// TakeGrant goes through the servers in the order in which Choose would and takes a token for the first one
// that needs one, if this instance's share of the server's limits has one left. If a server that needs no
// token comes first, it returns nil, or passes over that server if spare is true. The server counts no
// request of this instance.
func (b *Balancer) TakeGrant(now time.Time, servers []*registry.Server, q Query, spare bool) *Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = b.listCandidates(now, servers, q)
	for i := range b.candidates {
		b.moveBest(i)
		server := b.candidates[i].server
		st := b.stateOf(server)
		if now.Before(st.backoffUntil) || st.health.Ejected() {
			continue
		}
		g := &Grant{Server: server.Name, StartMillis: server.StartMillis, Cold: st.coldFor(now, server) > 0, Limited: st.rateLimit != nil,
			TakenAt: now}
		if !g.Cold && !g.Limited {
			if !spare {
				return nil
			}
			continue
		}
		if g.Cold && !b.AdmitCold(now, server) {
			continue
		}
		if g.Limited {
			if admitted, _ := b.AdmitLimited(now, server, *st.rateLimit); !admitted {
				if g.Cold {
					b.ReturnCold(now, server)
				}
				continue
			}
		}
		return g
	}
	return nil
}

// chooseGranted returns the candidate for which the query has a grant and counts a request there, unless it
// can't take the request now. The caller holds b.mu.
func (b *Balancer) chooseGranted(now time.Time, q Query) (Choice, bool) {
	g := q.Grant
	if g == nil {
		return Choice{}, false
	}
	i := slices.IndexFunc(b.candidates, func(c candidate) bool { return g.about(c.server) })
	if i < 0 {
		return Choice{}, false
	}
	server, score := b.candidates[i].server, b.candidates[i].score
	st := b.stateOf(server)
	if now.Before(st.backoffUntil) || st.outstanding >= maxOutstanding || st.health.Ejected() || st.overloaded(now, q.TargetLatency) {
		return Choice{}, false
	}
	// The token may be of only one of the limits that this instance knows.
	c := Choice{Server: server, Outstanding: st.outstanding, ColdFor: st.coldFor(now, server), Limited: st.rateLimit != nil && !g.Limited, Granted: true}
	if c.ColdFor > 0 && !g.Cold {
		if !b.AdmitCold(now, server) {
			return Choice{}, false
		}
		c.ColdAdmitted = now
	}
	if c.Limited {
		if admitted, _ := b.AdmitLimited(now, server, *st.rateLimit); !admitted {
			return Choice{}, false
		}
	}
	if c.ColdFor == 0 && !g.Cold {
		b.CountWarm(now, server)
	}
	for _, other := range b.candidates {
		if other.score < score {
			c.Rank++
		}
	}
	st.outstanding++
	st.sentSince++
	return c, true
}
