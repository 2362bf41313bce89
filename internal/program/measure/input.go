package measure

// Inputs are the quantities that are not measured. Those of the design page's
// section 3 and the intervals of today's code have their source named; the
// others are assumptions.
type Inputs struct {
	Daemons, Domains, Regions, Blocks, Sites    float64
	LookupsPerSecond, ChangesPerDay             float64
	RestartsPerDay, FailuresPerDay              float64
	CPULimit, MemoryLimit, ByteLimit, TimeLimit float64
	PlatformReads, PlatformWrites, ObjectLimit  float64
	HeartbeatSeconds, SilenceSeconds            float64
	WatchSeconds, ManifestSeconds, ListSeconds  float64
	LookupSeconds, PlaceSeconds, LifetimeSecond float64
	Neighbours, RelaysPerDomain, Holders        float64
	TermSeconds                                 float64
	Organisations, Servers, Sections            float64
	ServiceServers                              float64
	ClientChangePart, SectionsPerChange         float64
	RackInstances, DelaySeconds, CallSeconds    float64
	PacketHeader, OtherMemory                   float64
	SlowListSeconds, ChunkBytes                 float64
	MessageHeader, PlacementChanges             float64
}

// Input is one row of the page's table of inputs.
type Input struct {
	Name   string
	Value  float64
	Unit   string
	Source string
	target func(*Inputs) *float64
}

// Sources of inputs.
const (
	section3   = "section 3"
	assumption = "assumption"
	todaysCode = "today's code"
	section41  = "section 4.1"
	section7   = "section 7"
	section10  = "section 10"
	proposal   = "proposal"
)

var inputTable = []Input{
	{"daemons", 810, "", section3, func(i *Inputs) *float64 { return &i.Daemons }},
	{"failure domains", 30, "", section3, func(i *Inputs) *float64 { return &i.Domains }},
	{"regions", 11, "", section3, func(i *Inputs) *float64 { return &i.Regions }},
	{"client blocks", 470_000, "", section3, func(i *Inputs) *float64 { return &i.Blocks }},
	{"sites", 200, "", section3, func(i *Inputs) *float64 { return &i.Sites }},
	{"look-ups", 800_000, "/s", section3, func(i *Inputs) *float64 { return &i.LookupsPerSecond }},
	{"configuration changes", 4100, "/day", section3, func(i *Inputs) *float64 { return &i.ChangesPerDay }},
	{"planned restarts", 290, "/day", section3, func(i *Inputs) *float64 { return &i.RestartsPerDay }},
	{"instance failures", 3, "/day", section3, func(i *Inputs) *float64 { return &i.FailuresPerDay }},
	{"limit of control CPU", 0.011, "cores", section3, func(i *Inputs) *float64 { return &i.CPULimit }},
	{"limit of memory", 128e6, "bytes", section3, func(i *Inputs) *float64 { return &i.MemoryLimit }},
	{"limit of control bytes", 3000, "bytes/s", section3, func(i *Inputs) *float64 { return &i.ByteLimit }},
	{"limit until a change is in force", 15, "s", section3, func(i *Inputs) *float64 { return &i.TimeLimit }},
	{"platform reads, with waiting watches", 2000, "/s", section3, func(i *Inputs) *float64 { return &i.PlatformReads }},
	{"platform writes (several hundred)", 300, "/s", section3, func(i *Inputs) *float64 { return &i.PlatformWrites }},
	{"largest object", 1e6, "bytes", section3, func(i *Inputs) *float64 { return &i.ObjectLimit }},
	{"heartbeat interval", 0.5, "s", todaysCode, func(i *Inputs) *float64 { return &i.HeartbeatSeconds }},
	{"silence until a peer is unreachable", 2, "s", todaysCode, func(i *Inputs) *float64 { return &i.SilenceSeconds }},
	{"bound of a watch", 10, "s", todaysCode, func(i *Inputs) *float64 { return &i.WatchSeconds }},
	{"interval of manifest reads", 2, "s", "section 8", func(i *Inputs) *float64 { return &i.ManifestSeconds }},
	{"interval of reads of the list", 1, "s", todaysCode, func(i *Inputs) *float64 { return &i.ListSeconds }},
	{"interval of checks of the look-up table", 0.5, "s", todaysCode, func(i *Inputs) *float64 { return &i.LookupSeconds }},
	{"interval of placing homes", 1, "s", todaysCode, func(i *Inputs) *float64 { return &i.PlaceSeconds }},
	{"lifetime of a look-up answer", 5, "s", "section 11", func(i *Inputs) *float64 { return &i.LifetimeSecond }},
	{"neighbours in the own failure domain", 3, "", section41, func(i *Inputs) *float64 { return &i.Neighbours }},
	{"relays for each failure domain", 3, "", section10, func(i *Inputs) *float64 { return &i.RelaysPerDomain }},
	{"share holders for each organisation", 8, "", section7, func(i *Inputs) *float64 { return &i.Holders }},
	{"interval of term renewals", 150, "s", assumption, func(i *Inputs) *float64 { return &i.TermSeconds }},
	{"organisations, each with one key", 2000, "", assumption, func(i *Inputs) *float64 { return &i.Organisations }},
	{"backend servers (6 for each daemon)", 4860, "", assumption, func(i *Inputs) *float64 { return &i.Servers }},
	{"backend servers of one service", 100, "", assumption, func(i *Inputs) *float64 { return &i.ServiceServers }},
	{"INI sections, with those of client blocks", 9500, "", assumption, func(i *Inputs) *float64 { return &i.Sections }},
	{"part of changes that touch client blocks", 0.1, "", assumption, func(i *Inputs) *float64 { return &i.ClientChangePart }},
	{"changes of the placement for each member that comes or goes: list, states, reports of homes", 10, "", assumption, func(i *Inputs) *float64 { return &i.PlacementChanges }},
	{"sections edited by one change", 1, "", assumption, func(i *Inputs) *float64 { return &i.SectionsPerChange }},
	{"instances in one rack", 9, "", assumption, func(i *Inputs) *float64 { return &i.RackInstances }},
	{"one-way delay between regions", 0.055, "s", "section 1", func(i *Inputs) *float64 { return &i.DelaySeconds }},
	{"time of a call to the platform", 0.005, "s", assumption, func(i *Inputs) *float64 { return &i.CallSeconds }},
	{"TCP and IP header of a segment", 52, "bytes", assumption, func(i *Inputs) *float64 { return &i.PacketHeader }},
	{"memory of program and runtime besides the heap", 20e6, "bytes", assumption, func(i *Inputs) *float64 { return &i.OtherMemory }},
	{"interval of reads of the list", 300, "s", proposal, func(i *Inputs) *float64 { return &i.SlowListSeconds }},
	{"text parsed again after a change of one section", 4096, "bytes", proposal, func(i *Inputs) *float64 { return &i.ChunkBytes }},
	{"TLS record and yamux header of a message", 34, "bytes", proposal, func(i *Inputs) *float64 { return &i.MessageHeader }},
}

// targetInputs returns the inputs of the table.
func targetInputs() Inputs {
	var i Inputs
	for _, row := range inputTable {
		*row.target(&i) = row.Value
	}
	return i
}
