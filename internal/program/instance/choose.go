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

// loadReportMaxAge is the age above which a load report is ignored.
const loadReportMaxAge = 3 * time.Second

// Ranks of candidate servers; lower is better. A probe goes first, so that an
// ejected server that recovered returns to service soon.
const (
	rankProbe = iota
	rankOwnRegion
	rankOtherRegion
	rankOwnRegionFull
	rankOtherRegionFull
)

// candidate is a backend server that could run a request.
type candidate struct {
	server, home, region string
	rank                 int
	// delay is the network delay to the server's region; 0 in the region of
	// origin.
	delay time.Duration
	// load is the number of running and queued requests per slot.
	load float64
}

// ranksBefore reports whether c is preferred to other: by rank and then by delay.
func (c candidate) ranksBefore(other candidate) bool {
	return c.rank < other.rank || c.rank == other.rank && c.delay < other.delay
}

// originRegion returns the region of the client block that the caller's address
// is in, or else this instance's own region. A caller whose region is
// overloaded or lost is directed to entry instances of other regions. There its
// requests must still count as shifted load.
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

// chooseServer returns the less loaded of two random candidates among the
// best-ranked ones. Servers of other regions are considered only during a
// shift, or when the region of origin has no candidate at all.
func (in *Instance) chooseServer(c *configuration.Snapshot, request tamarackrun.Request, tried map[string]bool) (candidate, tamarackrun.Reason) {
	table, now := in.homeServers.currentTable(c), in.clock.Now()
	shifting := in.dispatchState.withShiftTrigger(request.Service, request.OriginRegion, func(t *shift.Trigger) bool { return t.Shifting(now) })
	var candidates, remote []candidate
	refusal := tamarackrun.NoHealthyServer
	originTried := false
	for _, v := range c.ServersOf(request.Service) {
		isOrigin := c.RegionOf(v.Domain) == request.OriginRegion
		originTried = originTried || isOrigin && tried[v.Name]
		if tried[v.Name] {
			continue
		}
		ranked, usable := in.rankServer(c, v, table, request)
		switch {
		case !usable:
		case isOrigin:
			candidates = append(candidates, ranked)
		case !in.linkHasBudget(c, table, ranked.region, now):
			refusal = tamarackrun.LinkCapped
		default:
			remote = append(remote, ranked)
		}
	}
	if shifting || len(candidates) == 0 && !originTried {
		candidates = append(candidates, remote...)
	}
	if len(candidates) == 0 {
		return candidate{}, refusal
	}
	return pickCandidate(candidates), ""
}

// pickCandidate applies the power of two choices to the best-ranked candidates.
func pickCandidate(all []candidate) candidate {
	best := all[:1:1]
	for _, c := range all[1:] {
		switch {
		case c.ranksBefore(best[0]):
			best = []candidate{c}
		case !best[0].ranksBefore(c):
			best = append(best, c)
		}
	}
	first, second := best[rand.IntN(len(best))], best[rand.IntN(len(best))]
	if second.load < first.load {
		return second
	}
	return first
}

// linkHasBudget reports whether this instance's part of the link to a region
// has bytes left.
func (in *Instance) linkHasBudget(c *configuration.Snapshot, table *home.Table, region string, now time.Duration) bool {
	own := c.RegionOf(in.Settings.FailureDomain)
	megabits := c.Regions[own].LinkMegabits
	if region == own || megabits == 0 {
		return true
	}
	return in.dispatchState.linkBudget(own, region).Allows(now, shift.LinkRate(megabits, table.CountListed(own)))
}

// rankServer returns a server as a candidate and reports whether it is usable.
// Servers of the region of origin with room come first, then other servers with
// room, then the full ones in the same order. A load report can only worsen the
// rank. The load never counts as less than this instance's own outstanding
// requests, because reports are outdated.
func (in *Instance) rankServer(c *configuration.Snapshot, v configuration.Server, table *home.Table, request tamarackrun.Request) (candidate, bool) {
	now := in.clock.Now()
	homeName := table.Owner(v, in.roster.Member, now, in.Settings.Name)
	if homeName == "" {
		// The table may not yet contain the first instance that serves.
		homeName = in.homeServers.refreshTable(c).Owner(v, in.roster.Member, now, in.Settings.Name)
	}
	if homeName == "" || in.dispatchState.avoids(homeName, now) {
		return candidate{}, false
	}
	ranked := candidate{server: v.Name, home: homeName, region: c.RegionOf(v.Domain), rank: rankOwnRegion}
	isOrigin := ranked.region == request.OriginRegion
	if !isOrigin {
		ranked.rank, ranked.delay = rankOtherRegion, c.Regions[ranked.region].Delay
	}
	outstanding := in.dispatchState.outstandingAt(v.Name)
	ranked.load = float64(outstanding) / float64(max(1, v.Slots))
	report := in.loadReport(homeName, v.Name)
	if report == nil {
		return ranked, true
	}
	if report.Leaving {
		return candidate{}, false
	}
	if report.Ejected {
		mayProbe := report.Probe && isOrigin && (request.Idempotent || !hasIdempotentRoute(c, v.Service))
		ranked.rank = rankProbe
		return ranked, mayProbe && in.dispatchState.takeProbe(v.Name, now)
	}
	ranked.load = float64(max(int(report.InFlight+report.Queued), outstanding)) / float64(max(1, report.Slots))
	switch {
	case isOrigin && ranked.load >= 1:
		ranked.rank = rankOwnRegionFull
	case !isOrigin && (ranked.load >= 1 || report.ShiftRoom == 0):
		ranked.rank = rankOtherRegionFull
	}
	return ranked, true
}

// loadReport returns the latest load report of a server by its home, or nil if
// there is none or it is too old.
func (in *Instance) loadReport(homeName, server string) *wire.ServerLoad {
	if homeName == in.Settings.Name {
		if s := in.homeServers.get(server); s != nil {
			return in.homeServers.load(server, s)
		}
		return nil
	}
	report, age, ok := in.roster.ServerLoad(homeName, server)
	if !ok || age > loadReportMaxAge {
		return nil
	}
	return report
}
