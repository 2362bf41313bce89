package instance

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/home"
	"tamarackrun/internal/coordination/shift"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/configuration"
)

// hintLimit is the age above which a load report is ignored.
const hintLimit = 3 * time.Second

// Ranks of candidates; lower is better. A probe goes first, so that an ejected
// server that recovered returns soon.
const (
	rankProbe = iota
	rankOwnRegion
	rankOtherRegion
	rankFull
	rankOtherFull
)

// candidate is a server that could run a request.
type candidate struct {
	server, home, region string
	rank                 int
	// delay is that of the region; 0 in the region of origin.
	delay time.Duration
	// busy is the load per slot.
	busy float64
}

func (a candidate) before(b candidate) bool {
	return a.rank < b.rank || a.rank == b.rank && a.delay < b.delay
}

// originRegion is the region of the caller's client block, else the own one. A
// caller whose region is overloaded or lost comes to entry instances of other
// regions, and its requests are still shifted load there.
func (in *Instance) originRegion(c *configuration.Snapshot, r *http.Request) string {
	own := c.RegionOf(in.Settings.FailureDomain)
	table := in.lookups.table.Load()
	port, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || table == nil {
		return own
	}
	if region := table.Region(port.Addr().WithZone("")); region != "" {
		return region
	}
	return own
}

// chooseServer returns the better of two random candidates among the best ones.
// Other regions take part only during a shift, or when the region of origin has
// no candidate at all.
func (in *Instance) chooseServer(c *configuration.Snapshot, request tamarackrun.Request, tried map[string]bool) (candidate, tamarackrun.Reason) {
	table, now := in.homes.placement(c), in.clock.Now()
	shifting := in.dispatchState.withShiftTrigger(request.Service, request.OriginRegion, func(t *shift.Trigger) bool { return t.Shifting(now) })
	var near, far []candidate
	refusal := tamarackrun.NoHealthyServer
	nearTried := false
	for _, v := range c.ServersOf(request.Service) {
		local := c.RegionOf(v.Domain) == request.OriginRegion
		nearTried = nearTried || local && tried[v.Name]
		if tried[v.Name] {
			continue
		}
		found, usable := in.candidate(c, v, table, request)
		switch {
		case !usable:
		case local:
			near = append(near, found)
		case !in.linkOpen(c, table, found.region, now):
			refusal = tamarackrun.LinkCapped
		default:
			far = append(far, found)
		}
	}
	if shifting || len(near) == 0 && !nearTried {
		near = append(near, far...)
	}
	if len(near) == 0 {
		return candidate{}, refusal
	}
	return pick(near), ""
}

// pick is power of two choices among the best candidates.
func pick(all []candidate) candidate {
	best := all[:1:1]
	for _, f := range all[1:] {
		switch {
		case f.before(best[0]):
			best = []candidate{f}
		case !best[0].before(f):
			best = append(best, f)
		}
	}
	first, second := best[rand.IntN(len(best))], best[rand.IntN(len(best))]
	if second.busy < first.busy {
		return second
	}
	return first
}

// linkOpen says whether this instance's part of the link to a region has bytes
// left.
func (in *Instance) linkOpen(c *configuration.Snapshot, table *home.Table, region string, now time.Duration) bool {
	own := c.RegionOf(in.Settings.FailureDomain)
	megabits := c.Regions[own].LinkMegabits
	if region == own || megabits == 0 {
		return true
	}
	return in.dispatchState.linkBudget(own, region).Allows(now, shift.LinkRate(megabits, table.CountListed(own)))
}

// candidate ranks a server: first those of the region of origin with room, then
// others with room, then the full ones in the same order. Reported load can only
// lower the rank, and the own outstanding requests count when it is outdated.
func (in *Instance) candidate(c *configuration.Snapshot, v configuration.Server, table *home.Table, request tamarackrun.Request) (candidate, bool) {
	now := in.clock.Now()
	owner := table.Owner(v, in.roster.Member, now, in.Settings.Name)
	if owner == "" {
		// The first instance that serves may not be in the table yet.
		owner = in.homes.refresh(c).Owner(v, in.roster.Member, now, in.Settings.Name)
	}
	if owner == "" || in.dispatchState.avoids(owner, now) {
		return candidate{}, false
	}
	found := candidate{server: v.Name, home: owner, region: c.RegionOf(v.Domain), rank: rankOwnRegion}
	local := found.region == request.OriginRegion
	if !local {
		found.rank, found.delay = rankOtherRegion, c.Regions[found.region].Delay
	}
	own := in.dispatchState.outstandingAt(v.Name)
	found.busy = float64(own) / float64(max(1, v.Slots))
	load := in.hint(owner, v.Name)
	if load == nil {
		return found, true
	}
	if load.Leaving {
		return candidate{}, false
	}
	if load.Ejected {
		mayProbe := load.Probe && local && (request.Idempotent || !hasIdempotentRoute(c, v.Service))
		found.rank = rankProbe
		return found, mayProbe && in.dispatchState.takeProbe(v.Name, now)
	}
	found.busy = float64(max(int(load.InFlight+load.Queued), own)) / float64(max(1, load.Slots))
	switch {
	case local && found.busy >= 1:
		found.rank = rankFull
	case !local && (found.busy >= 1 || load.ShiftRoom == 0):
		found.rank = rankOtherFull
	}
	return found, true
}

// hint returns the latest load report of a server by its home, or nil if there
// is none or it is too old.
func (in *Instance) hint(owner, server string) *wire.ServerLoad {
	if owner == in.Settings.Name {
		if o := in.homes.get(server); o != nil {
			return in.homes.load(server, o)
		}
		return nil
	}
	load, age, ok := in.roster.ServerLoad(owner, server)
	if !ok || age > hintLimit {
		return nil
	}
	return load
}
