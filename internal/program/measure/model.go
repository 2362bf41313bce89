package measure

import (
	"fmt"
	"math"
	"slices"
)

// Row is one line of the capacity table: what one job costs one daemon.
type Row struct {
	Role, State, Messages string
	// Cores, Memory and Bytes are per daemon; Bytes is the larger of sent and
	// received per second.
	Cores, Memory, Bytes float64
	Mechanism            string
	// Data says that the cost grows with callers' traffic, so that the limits
	// of the control cost do not apply.
	Data bool
}

// Plan is a set of rows that together make a daemon.
type Plan struct {
	Name string
	// Text says what the plan is.
	Text string
	Rows []Row
	// Total is the sum.
	Total Row
}

// model computes the tables.
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

// derived quantities

func (x model) changes() float64 { return x.i.ChangesPerDay / secondsPerDay }

// memberChanges is how often per second an instance leaves or comes.
func (x model) memberChanges() float64 {
	return 2 * (x.i.RestartsPerDay + x.i.FailuresPerDay) / secondsPerDay
}

func (x model) relays() float64           { return x.i.RelaysPerDomain * x.i.Domains }
func (x model) daemonsPerDomain() float64 { return x.i.Daemons / x.i.Domains }
func (x model) daemonsPerRegion() float64 { return x.i.Daemons / x.i.Regions }

// otherSections is the number of sections without client blocks.
func (x model) otherSections() float64 { return x.i.Sections - x.i.Sites }

func (x model) document() float64 {
	return x.m.DocumentBytes.At(x.i.Blocks) + x.m.SectionText.Slope*x.otherSections()
}

func (x model) parse() float64 {
	return x.m.ParseSeconds.At(x.i.Blocks) + x.m.SectionParse.Slope*x.otherSections()
}

// parsePeak scales the measured peak to the text with all sections.
func (x model) parsePeak() float64 {
	return x.m.ParsePeak.At(x.i.Blocks) * x.document() / x.m.DocumentBytes.At(x.i.Blocks)
}

func (x model) snapshot() float64 {
	return x.m.SnapshotBytes.At(x.i.Blocks) + x.m.SectionSnapshot.Slope*x.otherSections()
}

func (x model) chunks() float64 {
	return math.Ceil(x.document() / (x.m.DocumentBytes.At(x.i.Blocks) / x.m.ChunkCount.At(x.i.Blocks)))
}

// exchangeBytes is a heartbeat and its reply with the headers of TCP and IP.
func (x model) exchangeBytes() float64 {
	return x.m.HeartbeatBytes.At(reportedServers) + x.m.HeartbeatSegments.At(reportedServers)*x.i.PacketHeader
}

func (x model) readBytes() float64 { return x.m.ReadBytes + x.m.ReadSegments*x.i.PacketHeader }

// heartbeats is the row of a daemon that asks some neighbours and answers
// others. Each end of an exchange bears half of its measured cost.
func (x model) heartbeats(role string, asks, answers float64, mechanism string) Row {
	perSecond := (asks + answers) / x.i.HeartbeatSeconds
	return Row{Role: role, State: "roster", Messages: fmt.Sprintf("%.0f heartbeats/s", perSecond),
		Cores: perSecond * x.m.HeartbeatCP.At(reportedServers) / 2, Bytes: perSecond * x.exchangeBytes() / 2,
		Memory: x.m.RosterBytes.At(x.i.Daemons), Mechanism: mechanism}
}

func (x model) list(interval float64, mechanism string) Row {
	return Row{Role: "reading the platform's list", State: "in the roster", Messages: fmt.Sprintf("%.4g reads/s", 1/interval),
		Cores: (x.m.ListSeconds.At(x.i.Daemons) + x.m.ReadSeconds) / interval,
		Bytes: x.m.ListBytes.At(x.i.Daemons) / interval, Mechanism: mechanism}
}

func (x model) manifest() Row {
	rate := 1/x.i.WatchSeconds + 1/x.i.ManifestSeconds
	return Row{Role: "watching and reading the manifest", State: "version, proof", Messages: fmt.Sprintf("%.2g calls/s, 1 watch", rate),
		Cores: rate * x.m.ReadSeconds, Bytes: rate * x.readBytes(), Mechanism: "watch bounded to 10 s, read every 2 s"}
}

// fetchers is the number of daemons that fetch from one relay of section 10.
func (x model) fetchers() float64 { return x.daemonsPerDomain()/x.i.RelaysPerDomain - 1 }

// passOn is the row of a relay that takes new configurations and sends them to
// the other daemons of its failure domain.
func (x model) passOn(r Row) Row {
	r.Role, r.Messages = "taking a new configuration and passing it on", fmt.Sprintf("%s, each sent %.0f times", r.Messages, x.fetchers())
	r.Cores += x.fetchers() * r.Bytes * x.m.FetchSeconds.Slope / 2
	r.Bytes *= x.fetchers()
	return r
}

// accept is the row of taking new configurations.
func (x model) accept(bytes, parse, peak float64, mechanism string) Row {
	cores := parse + x.i.ClientChangePart*x.m.PlacesSeconds.At(x.i.Blocks) + bytes*x.m.FetchSeconds.Slope/2
	return Row{Role: "taking a new configuration", State: "snapshot, chunks in force, document being read",
		Messages: fmt.Sprintf("%.3g changes/s of %s", x.changes(), bytesText(bytes)),
		Cores:    x.changes() * cores, Bytes: x.changes() * bytes, Memory: x.snapshot() + x.document() + peak, Mechanism: mechanism}
}

// homes is the row of today's code, which checks the placement every second and
// places all servers again after changes.
func (x model) homes() Row {
	rate := x.memberChanges()*x.i.PlacementChanges + x.changes()
	return Row{Role: "placing homes", State: "homes and reports by server", Messages: "none",
		Cores:  rate*x.m.PlacementSeconds.At(x.i.Daemons) + x.m.PlacementCheck.At(x.i.Daemons)/x.i.PlaceSeconds,
		Memory: x.m.PlacementBytes.At(x.i.Daemons), Mechanism: "immutable table, replaced after changes, members by failure domain"}
}

func (x model) lookupTable() Row {
	return Row{Role: "keeping the look-up table", State: "client blocks, prepared answers", Messages: "none",
		Cores:  x.m.RefreshSeconds.At(x.i.Daemons)/x.i.LookupSeconds + x.memberChanges()*x.m.AnswersSeconds.At(x.i.Daemons),
		Memory: x.m.TableBytes.At(x.i.Blocks) + x.m.AnswersBytes.At(x.i.Daemons), Mechanism: "immutable table, swapped when the roster or the blocks change"}
}

// common are the rows that are the same in all plans.
func (x model) common() []Row {
	perDaemon := x.i.LookupsPerSecond / x.i.Daemons
	held := x.i.Organisations * x.i.Holders / x.i.Daemons
	return []Row{
		x.lookupTable(),
		{Role: "holding shares", State: fmt.Sprintf("%.0f buckets", held), Messages: "1 renewal each 150 s",
			Cores: x.m.ReadSeconds / x.i.TermSeconds, Memory: x.m.BucketBytes.Slope * held,
			Bytes: x.readBytes() / x.i.TermSeconds, Mechanism: "term renewal for all shares of an incarnation"},
		{Role: "keeping events", State: "ring of 16,384", Messages: "none", Memory: x.m.EventBytes.Values[len(x.m.EventBytes.Values)-1],
			Mechanism: "ring buffer"},
		{Role: "program and runtime", Memory: x.i.OtherMemory, State: "code, stacks, connections", Messages: "none", Mechanism: "process"},
		{Role: "answering look-ups", Data: true, State: "the same table", Messages: fmt.Sprintf("%.0f look-ups/s", perDaemon),
			Cores: perDaemon * x.m.AnswerSeconds.At(x.i.Blocks), Mechanism: "decision and encoding, without HTTP"},
	}
}

// plans returns today's code, the design page and a proposal.
func (x model) plans() []Plan {
	others := x.i.Daemons - 1
	today := Plan{Name: "Today's code at the target size",
		Text: "All pairs exchange heartbeats, each daemon watches the manifest and reads the list, and each change is parsed as a whole.",
		Rows: []Row{x.heartbeats("heartbeats, all pairs", others, others, "one yamux stream per heartbeat"),
			x.list(x.i.ListSeconds, "whole list every second"), x.manifest(),
			x.accept(x.m.ChangedBytes.At(x.i.Blocks), x.parse(), x.parsePeak(), "changed chunks from the store, whole document parsed"),
			x.homes()}}
	foreignRelays := x.relays() * (x.i.Regions - 1) / x.i.Regions
	page := Plan{Name: "Neighbours of section 4.1 and relays of section 10, not a relay",
		Text: "Heartbeats go to the 3 next instances of the failure domain and to all relays of the other regions.",
		Rows: []Row{x.heartbeats("heartbeats, neighbours", x.i.Neighbours+foreignRelays, x.i.Neighbours, "one yamux stream per heartbeat"),
			x.list(x.i.ListSeconds, "whole list every second"),
			x.accept(x.m.ChangedBytes.At(x.i.Blocks), x.parse(), x.parsePeak(), "changed chunks from peers, whole document parsed"),
			x.homes()}}
	relayRows := slices.Clone(page.Rows[1:])
	relayRows[1] = x.passOn(relayRows[1])
	relay := Plan{Name: "The same, a relay", Text: "A relay is also asked by all daemons of the other regions.",
		Rows: append([]Row{x.heartbeats("heartbeats, neighbours", x.i.Neighbours+foreignRelays,
			x.i.Neighbours+x.i.Daemons-x.daemonsPerRegion(), "one yamux stream per heartbeat"), x.manifest()}, relayRows...)}
	plans := []Plan{today, page, relay, x.proposal("Proposal, not a relay", false), x.proposal("Proposal, a relay", true)}
	for n := range plans {
		plans[n].Rows = append(plans[n].Rows, x.common()...)
		plans[n].Total = x.total(plans[n].Rows, n < 3)
	}
	return plans
}

// smallExchange is a short heartbeat and its reply on a standing stream.
func (x model) smallExchange() float64 {
	return 2 * (x.m.SmallHeartbeat.At(0) + x.i.MessageHeader + x.i.PacketHeader)
}

// hops is the number of heartbeat intervals until news of some daemons reached
// all others, if each hop doubles the number of those that know.
func (x model) hops(knowing float64) float64 { return math.Ceil(math.Log2(x.i.Daemons / knowing)) }

// changedChunks is the number of objects that one change replaces besides the
// manifest: a chunk and a list of hashes.
const changedChunks = 2

func (x model) proposal(name string, relay bool) Plan {
	asks := 2 * x.i.Neighbours
	perSecond := asks / x.i.HeartbeatSeconds
	news := x.memberChanges() * x.m.ListBytes.Slope * asks
	p := Plan{Name: name, Text: "Short heartbeats with 3 neighbours on standing streams, one of them in another failure domain; changes of members and versions travel with them; load of backend servers travels with answers.",
		Rows: []Row{
			{Role: "heartbeats, short", State: "roster", Messages: fmt.Sprintf("%.0f heartbeats/s", perSecond),
				Cores: perSecond * x.m.HeartbeatCP.At(0) / 2, Bytes: perSecond*x.smallExchange()/2 + news,
				Memory: x.m.RosterBytes.At(x.i.Daemons), Mechanism: "64-bit incarnation, no names, no stream per heartbeat"},
			x.list(x.i.SlowListSeconds, "whole list every 300 s"),
			x.accept(x.m.ChangedBytes.At(x.i.Blocks), x.parse()*x.i.SectionsPerChange*x.i.ChunkBytes/x.document(), 0,
				"changed chunks, fetched from the neighbour that told of them, only changed sections parsed"),
			x.homes()}}
	if relay {
		p.Rows = append(p.Rows, x.manifest())
	}
	return p
}

// total adds the rows of control cost. A plan that parses whole documents has
// their peak in its rows; in the others the collector may let the heap double.
func (x model) total(rows []Row, peaks bool) Row {
	t := Row{Role: "all of these", State: "", Messages: "", Mechanism: "sum"}
	for _, r := range rows {
		if !r.Data {
			t.Cores, t.Memory, t.Bytes = t.Cores+r.Cores, t.Memory+r.Memory, t.Bytes+r.Bytes
		}
	}
	if !peaks {
		t.Memory = 2*t.Memory - x.i.OtherMemory
		t.Mechanism = "sum, heap doubled for the collector"
	}
	return t
}

// missed names the limits that a row exceeds.
func (x model) missed(r Row) []string {
	var missed []string
	if r.Cores > x.i.CPULimit {
		missed = append(missed, "CPU")
	}
	if r.Memory > x.i.MemoryLimit {
		missed = append(missed, "memory")
	}
	if r.Bytes > x.i.ByteLimit {
		missed = append(missed, "bytes")
	}
	return missed
}
