package measure

import "fmt"

// Calls holds the calls to the platform under one plan, per second for the whole
// fleet.
type Calls struct {
	Plan string
	// Waiting is the number of waiting watches, each of which counts as one call.
	Waiting, WatchStarts, ManifestReads, ListReads, ChunkReads float64
	ReadSum                                                    float64
	ConfigurationWrites, TermWrites, ShareWrites, LedgerWrites float64
	WriteSum                                                   float64
}

// platformCalls returns the calls under today's code, the relays of section 10 and
// the proposal, in this order.
func (x model) platformCalls() []Calls {
	watchers := []float64{x.i.Daemons, x.relayCount(), x.relayCount()}
	list := []float64{x.i.ListInterval, x.i.ListInterval, x.i.SlowListSeconds}
	changed := []float64{objectsPerChange, objectsPerChange, objectsPerChange}
	var calls []Calls
	for n, name := range []string{"today's code", "relays of section 10", "proposal"} {
		c := Calls{Plan: name, Waiting: watchers[n], WatchStarts: watchers[n] / x.i.WatchTimeout,
			ManifestReads: watchers[n] / x.i.ManifestInterval, ListReads: x.i.Daemons / list[n],
			ChunkReads:          x.changeRate() * watchers[n] * changed[n],
			ConfigurationWrites: x.changeRate() * (1 + changed[n]), TermWrites: x.i.Daemons / x.i.TermInterval,
			ShareWrites:  x.memberChangeRate() * x.i.Organisations * x.i.ShareHolders / x.i.Daemons,
			LedgerWrites: x.i.RestartsPerDay / secondsPerDay}
		c.ReadSum = c.Waiting + c.WatchStarts + c.ManifestReads + c.ListReads + c.ChunkReads
		c.WriteSum = c.ConfigurationWrites + c.TermWrites + c.ShareWrites + c.LedgerWrites
		calls = append(calls, c)
	}
	return calls
}

// Step is one step until a change is in force.
type Step struct {
	Name    string
	Seconds float64
}

// Path is the time until a change is in force at all daemons.
type Path struct {
	Name  string
	Steps []Step
	Sum   float64
	// Unbounded means that the steady reads exceed the platform's limit, so that
	// Sum is a lower bound.
	Unbounded bool
}

// changePaths returns the paths of today's code, the relays of section 10 and the
// proposal, and last that of today's code with a silent watch.
func (x model) changePaths() []Path {
	calls := x.platformCalls()
	spareReads := func(n int) float64 { return x.i.PlatformReads - calls[n].ReadSum }
	// readTime returns how long some readers take to read a number of objects each,
	// beside the other calls of plan n.
	readTime := func(n int, readers, objects float64) float64 {
		sequential := objects * (2*x.i.RegionDelay + x.i.PlatformCallTime)
		if spareReads(n) <= 0 {
			return sequential
		}
		return max(sequential, readers*objects/spareReads(n))
	}
	write := Step{"writing the changed chunks and the manifest, one after the other", (objectsPerChange + 2) * x.i.PlatformCallTime}
	wake := Step{"watch answered across regions", x.i.RegionDelay + x.i.PlatformCallTime}
	parse := Step{"parsing and preparing look-ups", x.parseSeconds() + x.m.LocatorSeconds.At(x.i.ClientBlocks) + x.m.PrepareSeconds.At(x.i.Daemons)}
	gossip := Step{fmt.Sprintf("%.0f hops from the relays, each doubling the daemons that know: a heartbeat, then three objects from the sender", x.hops(x.relayCount())),
		x.hops(x.relayCount()) * (x.i.HeartbeatInterval + 4*2*x.i.RegionDelay + x.m.ChangedBytes.At(x.i.ClientBlocks)*x.m.FetchSeconds.Slope)}
	place := Step{"placing homes", x.m.PlacementSeconds.At(x.i.Daemons)}
	fetchers := x.fetchersPerRelay()
	learn := Step{"next heartbeat of a neighbour with the new version, and one more hop for those without a relay as neighbour",
		2 * (x.i.HeartbeatInterval + 2*x.i.RegionDelay)}
	paths := []Path{
		{Name: "today's code: each daemon watches and reads", Steps: []Step{write, wake,
			{"reading the changed chunks within the platform's spare reads", readTime(0, x.i.Daemons, objectsPerChange)}, parse, place}},
		{Name: "relays of section 10: 3 per failure domain", Steps: []Step{write, wake,
			{"relays read the changed chunks", readTime(1, x.relayCount(), objectsPerChange)}, learn,
			{fmt.Sprintf("%.0f daemons of a failure domain fetch from each of its relays", fetchers),
				fetchers * x.m.ChangedBytes.At(x.i.ClientBlocks) * x.m.FetchSeconds.Slope}, parse, place}},
		{Name: "proposal: small chunks, changed sections only", Steps: []Step{
			write, wake,
			{"relays read three objects", readTime(2, x.relayCount(), 3)}, gossip,
			{"preparing look-ups, if client blocks changed", x.m.LocatorSeconds.At(x.i.ClientBlocks) + x.m.PrepareSeconds.At(x.i.Daemons)},
			place}},
	}
	silent := paths[0]
	silent.Name = "today's code, on a daemon whose watch is silent"
	silent.Steps = append([]Step{{"bound of the watch", x.i.WatchTimeout}}, silent.Steps...)
	paths = append(paths, silent)
	paths[0].Unbounded, paths[3].Unbounded = spareReads(0) <= 0, spareReads(0) <= 0
	for n := range paths {
		for _, s := range paths[n].Steps {
			paths[n].Sum += s.Seconds
		}
	}
	return paths
}

// Effect describes what an event of the fleet, such as a restart, costs.
type Effect struct{ Event, Rate, Effect string }

// fleetEffects returns the rows of the page's table of events.
func (x model) fleetEffects() []Effect {
	day := func(n float64) string { return fmt.Sprintf("%.0f per day", n) }
	held := x.i.Organisations * x.i.ShareHolders / x.i.Daemons
	serversEach := x.i.Servers / x.i.Daemons
	swaps := x.memberChangeRate() * secondsPerDay
	perDomain, perRegion := x.daemonsPerDomain(), x.daemonsPerRegion()
	return []Effect{
		{"planned restart", day(x.i.RestartsPerDay), fmt.Sprintf(
			"%.0f servers change their home and run on a third of their slots for 10 s: %.3f%% of all slots on average; %.0f shares are handed back; reading the document again takes %s at start, together %s per day from peers or the store",
			serversEach, 100*x.i.RestartsPerDay*serversEach*10*2/3/(secondsPerDay*x.i.Servers), held, formatBytes(x.documentBytes()), formatBytes(x.documentBytes()*x.i.RestartsPerDay))},
		{"instance failure", day(x.i.FailuresPerDay), fmt.Sprintf(
			"found after %.0f s; %.2f%% of the look-ups answered before name it first, for at most %.0f s; %.0f organisations lose 1/%.0f of their rate for 10 min and 1/%.0f for up to 4 h: on average %.1f organisations at any time",
			x.i.DetectionTime, 100/x.i.Daemons, x.i.DetectionTime+x.i.LookupLifetime, held, x.i.ShareHolders, 2*x.i.ShareHolders,
			x.i.FailuresPerDay*held*4/24)},
		{"instance failure, proposal", day(x.i.FailuresPerDay), fmt.Sprintf(
			"known everywhere after %.0f s and %.0f hops of %.1f s; until then a daemon learns of it from its own failed exchanges, as the neighbours of section 4.1 also have it",
			x.i.DetectionTime, x.hops(x.i.Neighbours), x.i.HeartbeatInterval)},
		{"both together", day(x.i.RestartsPerDay + x.i.FailuresPerDay), fmt.Sprintf(
			"%.0f swaps of the look-up table of %s, %.4f%% of a core", swaps, formatSeconds(x.m.PrepareSeconds.At(x.i.Daemons)),
			100*x.memberChangeRate()*x.m.PrepareSeconds.At(x.i.Daemons))},
		{"lost rack", "every month or two", fmt.Sprintf(
			"%.0f of the %.0f instances of a failure domain; the others get %.2f times their clients, found after %.0f s; %.0f servers change their home",
			x.i.RackInstances, perDomain, perDomain/(perDomain-x.i.RackInstances), x.i.DetectionTime, x.i.RackInstances*serversEach)},
		{"lost failure domain", "every other month", fmt.Sprintf(
			"%.0f instances; each answer of 8 still names 4 instances elsewhere; the rest of the region gets %.2f times its clients; its %.0f backend servers are lost with it",
			perDomain, perRegion/(perRegion-perDomain), x.i.Servers/x.i.Domains)},
		{"an hour without a region", "at times", fmt.Sprintf(
			"%.0f instances (%.1f%%); after 10 s they refuse routes with cutOff = refuse; %.0f configurations are missed and one read catches up; the shares of its instances, about %.1f%% of each rate, halve after 10 min; it comes back without a write burst, since terms last 4 h",
			perRegion, 100/x.i.Regions, x.i.ChangesPerDay/24, 100/x.i.Regions)},
		{"an hour without a region, platform", "at times", fmt.Sprintf(
			"%.0f reclaimers fence its terms after 10 min, at once %.0f writes and %.0f share writes; at %.0f writes/s this takes %.1f s",
			x.i.Daemons-perRegion, perRegion, perRegion*held, x.i.PlatformWrites, (perRegion+perRegion*held)/x.i.PlatformWrites)},
	}
}
