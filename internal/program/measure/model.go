package measure

import (
	"fmt"
	"math"
	"slices"
)

// Row is one row of the capacity table: what one task costs one daemon.
type Row struct {
	// Role is the task, State what it keeps in memory, and Messages what it sends.
	Role, State, Messages string
	// Cores, Memory and Bytes are per daemon. Memory is in bytes. Bytes is the
	// larger of the bytes sent and received per second.
	Cores, Memory, Bytes float64
	// Mechanism is how the code does the task.
	Mechanism string
	// GrowsWithTraffic means that the cost grows with the callers' traffic, so that
	// the limits of the control cost do not apply.
	GrowsWithTraffic bool
}

// Plan is a design of the control plane with its cost for one daemon.
type Plan struct {
	Name string
	// Text describes the plan.
	Text string
	Rows []Row
	// Total is the sum of the control cost.
	Total Row
}

// model computes the tables from the measurements and the inputs.
type model struct {
	m *Measurements
	i Inputs
}

const (
	secondsPerDay = 86_400
	// reportedServers is the number of backend servers that a heartbeat of
	// today's code reports: those whose home the sender is.
	reportedServers = 6
)

// changeRate returns the number of configuration changes per second.
func (x model) changeRate() float64 { return x.i.ChangesPerDay / secondsPerDay }

// memberChangeRate returns how many times per second an instance leaves or joins.
func (x model) memberChangeRate() float64 {
	return 2 * (x.i.RestartsPerDay + x.i.FailuresPerDay) / secondsPerDay
}

func (x model) relayCount() float64       { return x.i.RelaysPerDomain * x.i.Domains }
func (x model) daemonsPerDomain() float64 { return x.i.Daemons / x.i.Domains }
func (x model) daemonsPerRegion() float64 { return x.i.Daemons / x.i.Regions }

// otherSections returns the number of sections without client blocks.
func (x model) otherSections() float64 { return x.i.Sections - x.i.Sites }

// documentBytes returns the size of the document: the measured size with all client
// blocks and the text of the other sections. parseSeconds and snapshotBytes are
// composed in the same way.
func (x model) documentBytes() float64 {
	return x.m.DocumentBytes.At(x.i.ClientBlocks) + x.m.SectionTextBytes.Slope*x.otherSections()
}

func (x model) parseSeconds() float64 {
	return x.m.ParseSeconds.At(x.i.ClientBlocks) + x.m.SectionParseSeconds.Slope*x.otherSections()
}

// parsePeakBytes returns the peak of the heap while the document is parsed: the
// measured peak scaled to the text with all sections.
func (x model) parsePeakBytes() float64 {
	return x.m.ParsePeakBytes.At(x.i.ClientBlocks) * x.documentBytes() / x.m.DocumentBytes.At(x.i.ClientBlocks)
}

func (x model) snapshotBytes() float64 {
	return x.m.SnapshotBytes.At(x.i.ClientBlocks) + x.m.SectionSnapshotBytes.Slope*x.otherSections()
}

// chunkCount returns the number of chunks of the document if they are as large as
// those of the measured one.
func (x model) chunkCount() float64 {
	return math.Ceil(x.documentBytes() / (x.m.DocumentBytes.At(x.i.ClientBlocks) / x.m.ChunkCount.At(x.i.ClientBlocks)))
}

// exchangeBytes returns the size of a heartbeat and its reply with the headers of
// TCP and IP.
func (x model) exchangeBytes() float64 {
	return x.m.HeartbeatBytes.At(reportedServers) + x.m.HeartbeatSegments.At(reportedServers)*x.i.PacketHeader
}

func (x model) readBytes() float64 { return x.m.ReadBytes + x.m.ReadSegments*x.i.PacketHeader }

// heartbeatRow returns the row of a daemon that sends heartbeats to some peers and
// answers those of others. Each end of an exchange bears half of its measured cost.
func (x model) heartbeatRow(role string, sent, answered float64, mechanism string) Row {
	perSecond := (sent + answered) / x.i.HeartbeatInterval
	return Row{Role: role, State: "roster", Messages: fmt.Sprintf("%.0f heartbeats/s", perSecond),
		Cores: perSecond * x.m.HeartbeatSeconds.At(reportedServers) / 2, Bytes: perSecond * x.exchangeBytes() / 2,
		Memory: x.m.RosterBytes.At(x.i.Daemons), Mechanism: mechanism}
}

// listRow returns the row of reading the platform's list at the interval, which is
// in seconds.
func (x model) listRow(interval float64, mechanism string) Row {
	return Row{Role: "reading the platform's list", State: "in the roster", Messages: fmt.Sprintf("%.4g reads/s", 1/interval),
		Cores: (x.m.ListSeconds.At(x.i.Daemons) + x.m.ReadSeconds) / interval,
		Bytes: x.m.ListBytes.At(x.i.Daemons) / interval, Mechanism: mechanism}
}

func (x model) manifestRow() Row {
	rate := 1/x.i.WatchTimeout + 1/x.i.ManifestInterval
	return Row{Role: "watching and reading the manifest", State: "version, proof", Messages: fmt.Sprintf("%.2g calls/s, 1 watch", rate),
		Cores: rate * x.m.ReadSeconds, Bytes: rate * x.readBytes(), Mechanism: "watch bounded to 10 s, read every 2 s"}
}

// fetchersPerRelay returns the number of daemons that fetch from one relay of
// section 10.
func (x model) fetchersPerRelay() float64 { return x.daemonsPerDomain()/x.i.RelaysPerDomain - 1 }

// relayRow turns the row of a daemon that takes new configurations into that of a
// relay, which also sends them to the other daemons of its failure domain.
func (x model) relayRow(r Row) Row {
	r.Role, r.Messages = "taking a new configuration and passing it on",
		fmt.Sprintf("%s, each sent %.0f times", r.Messages, x.fetchersPerRelay())
	r.Cores += x.fetchersPerRelay() * r.Bytes * x.m.FetchSeconds.Slope / 2
	r.Bytes *= x.fetchersPerRelay()
	return r
}

// configurationRow returns the row of taking new configurations.
func (x model) configurationRow(bytes, parse, peak float64, mechanism string) Row {
	cores := parse + x.i.ClientChangeFraction*x.m.LocatorSeconds.At(x.i.ClientBlocks) + bytes*x.m.FetchSeconds.Slope/2
	return Row{Role: "taking a new configuration", State: "snapshot, chunks in force, document being read",
		Messages: fmt.Sprintf("%.3g changes/s of %s", x.changeRate(), formatBytes(bytes)),
		Cores:    x.changeRate() * cores, Bytes: x.changeRate() * bytes,
		Memory: x.snapshotBytes() + x.documentBytes() + peak, Mechanism: mechanism}
}

// placementRow returns the row of placing homes in today's code, which checks the
// placement every second and places all servers again after changes.
func (x model) placementRow() Row {
	rate := x.memberChangeRate()*x.i.PlacementChanges + x.changeRate()
	return Row{Role: "placing homes", State: "homes and reports by server", Messages: "none",
		Cores:  rate*x.m.PlacementSeconds.At(x.i.Daemons) + x.m.PlacementCheckSeconds.At(x.i.Daemons)/x.i.PlacementCheckInterval,
		Memory: x.m.PlacementBytes.At(x.i.Daemons), Mechanism: "immutable table, replaced after changes, members by failure domain"}
}

func (x model) lookupTableRow() Row {
	return Row{Role: "keeping the look-up table", State: "client blocks, prepared answers", Messages: "none",
		Cores:     x.m.LookupCheckSeconds.At(x.i.Daemons)/x.i.LookupCheckInterval + x.memberChangeRate()*x.m.PrepareSeconds.At(x.i.Daemons),
		Memory:    x.m.LocatorBytes.At(x.i.ClientBlocks) + x.m.PreparedBytes.At(x.i.Daemons),
		Mechanism: "immutable table, swapped when the roster or the blocks change"}
}

// commonRows returns the rows that are the same in all plans.
func (x model) commonRows() []Row {
	perDaemon := x.i.LookupsPerSecond / x.i.Daemons
	held := x.i.Organisations * x.i.ShareHolders / x.i.Daemons
	return []Row{
		x.lookupTableRow(),
		{Role: "holding shares", State: fmt.Sprintf("%.0f buckets", held), Messages: "1 renewal each 150 s",
			Cores: x.m.ReadSeconds / x.i.TermInterval, Memory: x.m.BucketBytes.Slope * held,
			Bytes: x.readBytes() / x.i.TermInterval, Mechanism: "term renewal for all shares of an incarnation"},
		{Role: "keeping events", State: "ring of 16,384", Messages: "none", Memory: x.m.EventBytes.Values[len(x.m.EventBytes.Values)-1],
			Mechanism: "ring buffer"},
		{Role: "program and runtime", Memory: x.i.OtherMemory, State: "code, stacks, connections", Messages: "none", Mechanism: "process"},
		{Role: "answering look-ups", GrowsWithTraffic: true, State: "the same table", Messages: fmt.Sprintf("%.0f look-ups/s", perDaemon),
			Cores: perDaemon * x.m.AnswerSeconds.At(x.i.ClientBlocks), Mechanism: "decision and encoding, without HTTP"},
	}
}

// plans returns the plans of today's code, of the design page and of a proposal.
func (x model) plans() []Plan {
	others := x.i.Daemons - 1
	today := Plan{Name: "Today's code at the target size",
		Text: "All pairs exchange heartbeats, each daemon watches the manifest and reads the list, and each change is parsed as a whole.",
		Rows: []Row{x.heartbeatRow("heartbeats, all pairs", others, others, "one yamux stream per heartbeat"),
			x.listRow(x.i.ListInterval, "whole list every second"), x.manifestRow(),
			x.configurationRow(x.m.ChangedBytes.At(x.i.ClientBlocks), x.parseSeconds(), x.parsePeakBytes(),
				"changed chunks from the store, whole document parsed"),
			x.placementRow()}}
	foreignRelays := x.relayCount() * (x.i.Regions - 1) / x.i.Regions
	page := Plan{Name: "Neighbours of section 4.1 and relays of section 10, not a relay",
		Text: "Heartbeats go to the 3 next instances of the failure domain and to all relays of the other regions.",
		Rows: []Row{x.heartbeatRow("heartbeats, neighbours", x.i.Neighbours+foreignRelays, x.i.Neighbours, "one yamux stream per heartbeat"),
			x.listRow(x.i.ListInterval, "whole list every second"),
			x.configurationRow(x.m.ChangedBytes.At(x.i.ClientBlocks), x.parseSeconds(), x.parsePeakBytes(),
				"changed chunks from peers, whole document parsed"),
			x.placementRow()}}
	relayRows := slices.Clone(page.Rows[1:])
	relayRows[1] = x.relayRow(relayRows[1])
	relay := Plan{Name: "The same, a relay", Text: "A relay is also asked by all daemons of the other regions.",
		Rows: append([]Row{x.heartbeatRow("heartbeats, neighbours", x.i.Neighbours+foreignRelays,
			x.i.Neighbours+x.i.Daemons-x.daemonsPerRegion(), "one yamux stream per heartbeat"), x.manifestRow()}, relayRows...)}
	plans := []Plan{today, page, relay, x.proposal("Proposal, not a relay", false), x.proposal("Proposal, a relay", true)}
	for n := range plans {
		plans[n].Rows = append(plans[n].Rows, x.commonRows()...)
		// The first three plans parse whole documents.
		plans[n].Total = x.totalRow(plans[n].Rows, n < 3)
	}
	return plans
}

// smallExchangeBytes returns the size of a short heartbeat and its reply on a
// long-lived stream.
func (x model) smallExchangeBytes() float64 {
	return 2 * (x.m.SmallHeartbeatBytes.At(0) + x.i.MessageHeader + x.i.PacketHeader)
}

// hops returns the number of heartbeat intervals until news that some daemons have
// reaches all others, if each interval doubles the number of informed daemons.
func (x model) hops(informed float64) float64 { return math.Ceil(math.Log2(x.i.Daemons / informed)) }

// objectsPerChange is the number of stored objects that one change replaces besides
// the manifest: a chunk and a list of hashes.
const objectsPerChange = 2

// proposal returns the plan of the proposal for a relay or for another daemon.
func (x model) proposal(name string, relay bool) Plan {
	sent := 2 * x.i.Neighbours
	perSecond := sent / x.i.HeartbeatInterval
	news := x.memberChangeRate() * x.m.ListBytes.Slope * sent
	p := Plan{Name: name, Text: "Short heartbeats with 3 neighbours on standing streams, one of them in another failure domain; changes of members and versions travel with them; load of backend servers travels with answers.",
		Rows: []Row{
			{Role: "heartbeats, short", State: "roster", Messages: fmt.Sprintf("%.0f heartbeats/s", perSecond),
				Cores: perSecond * x.m.HeartbeatSeconds.At(0) / 2, Bytes: perSecond*x.smallExchangeBytes()/2 + news,
				Memory: x.m.RosterBytes.At(x.i.Daemons), Mechanism: "64-bit incarnation, no names, no stream per heartbeat"},
			x.listRow(x.i.SlowListSeconds, "whole list every 300 s"),
			x.configurationRow(x.m.ChangedBytes.At(x.i.ClientBlocks), x.parseSeconds()*x.i.SectionsPerChange*x.i.ReparsedBytes/x.documentBytes(), 0,
				"changed chunks, fetched from the neighbour that told of them, only changed sections parsed"),
			x.placementRow()}}
	if relay {
		p.Rows = append(p.Rows, x.manifestRow())
	}
	return p
}

// totalRow returns the sum of the rows of control cost. A plan that parses whole
// documents has their peak in its rows. In the other plans the heap counts twice,
// as the garbage collector may let it double.
func (x model) totalRow(rows []Row, withParsePeak bool) Row {
	t := Row{Role: "all of these", State: "", Messages: "", Mechanism: "sum"}
	for _, r := range rows {
		if !r.GrowsWithTraffic {
			t.Cores, t.Memory, t.Bytes = t.Cores+r.Cores, t.Memory+r.Memory, t.Bytes+r.Bytes
		}
	}
	if !withParsePeak {
		t.Memory = 2*t.Memory - x.i.OtherMemory
		t.Mechanism = "sum, heap doubled for the collector"
	}
	return t
}

// exceededLimits returns the names of the limits that a row exceeds.
func (x model) exceededLimits(r Row) []string {
	var exceeded []string
	if r.Cores > x.i.CPULimit {
		exceeded = append(exceeded, "CPU")
	}
	if r.Memory > x.i.MemoryLimit {
		exceeded = append(exceeded, "memory")
	}
	if r.Bytes > x.i.ByteLimit {
		exceeded = append(exceeded, "bytes")
	}
	return exceeded
}
