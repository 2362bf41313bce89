package measure

// Inputs are the quantities of the capacity model that are not measured. Times and
// intervals are in seconds. The table inputTable gives the meaning, unit and
// source of each.
type Inputs struct {
	Daemons, Domains, Regions, ClientBlocks, Sites              float64
	LookupsPerSecond, ChangesPerDay                             float64
	RestartsPerDay, FailuresPerDay                              float64
	CPULimit, MemoryLimit, ByteLimit, TimeLimit                 float64
	PlatformReads, PlatformWrites, MaxObjectBytes               float64
	HeartbeatInterval, DetectionTime                            float64
	WatchTimeout, ManifestInterval, ListInterval                float64
	LookupCheckInterval, PlacementCheckInterval, LookupLifetime float64
	Neighbours, RelaysPerDomain, ShareHolders                   float64
	TermInterval                                                float64
	Organisations, Servers, Sections                            float64
	ServiceServers                                              float64
	ClientChangeFraction, SectionsPerChange                     float64
	RackInstances, RegionDelay, PlatformCallTime                float64
	PacketHeader, OtherMemory                                   float64
	SlowListSeconds, ReparsedBytes                              float64
	MessageHeader, PlacementChanges                             float64
}

// Input is one row of the page's table of inputs.
type Input struct {
	Name   string
	Value  float64
	Unit   string
	Source string
	// target returns the field of Inputs that holds the value.
	target func(*Inputs) *float64
}

// Sources of inputs. Sections are those of the design page.
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
	{"client blocks", 470_000, "", section3, func(i *Inputs) *float64 { return &i.ClientBlocks }},
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
	{"largest object", 1e6, "bytes", section3, func(i *Inputs) *float64 { return &i.MaxObjectBytes }},
	{"heartbeat interval", 0.5, "s", todaysCode, func(i *Inputs) *float64 { return &i.HeartbeatInterval }},
	{"silence until a peer is unreachable", 2, "s", todaysCode, func(i *Inputs) *float64 { return &i.DetectionTime }},
	{"bound of a watch", 10, "s", todaysCode, func(i *Inputs) *float64 { return &i.WatchTimeout }},
	{"interval of manifest reads", 2, "s", "section 8", func(i *Inputs) *float64 { return &i.ManifestInterval }},
	{"interval of reads of the list", 1, "s", todaysCode, func(i *Inputs) *float64 { return &i.ListInterval }},
	{"interval of checks of the look-up table", 0.5, "s", todaysCode, func(i *Inputs) *float64 { return &i.LookupCheckInterval }},
	{"interval of placing homes", 1, "s", todaysCode, func(i *Inputs) *float64 { return &i.PlacementCheckInterval }},
	{"lifetime of a look-up answer", 5, "s", "section 11", func(i *Inputs) *float64 { return &i.LookupLifetime }},
	{"neighbours in the own failure domain", 3, "", section41, func(i *Inputs) *float64 { return &i.Neighbours }},
	{"relays for each failure domain", 3, "", section10, func(i *Inputs) *float64 { return &i.RelaysPerDomain }},
	{"share holders for each organisation", 8, "", section7, func(i *Inputs) *float64 { return &i.ShareHolders }},
	{"interval of term renewals", 150, "s", assumption, func(i *Inputs) *float64 { return &i.TermInterval }},
	{"organisations, each with one key", 2000, "", assumption, func(i *Inputs) *float64 { return &i.Organisations }},
	{"backend servers (6 for each daemon)", 4860, "", assumption, func(i *Inputs) *float64 { return &i.Servers }},
	{"backend servers of one service", 100, "", assumption, func(i *Inputs) *float64 { return &i.ServiceServers }},
	{"INI sections, with those of client blocks", 9500, "", assumption, func(i *Inputs) *float64 { return &i.Sections }},
	{"part of changes that touch client blocks", 0.1, "", assumption, func(i *Inputs) *float64 { return &i.ClientChangeFraction }},
	{"changes of the placement for each member that comes or goes: list, states, reports of homes", 10, "", assumption, func(i *Inputs) *float64 { return &i.PlacementChanges }},
	{"sections edited by one change", 1, "", assumption, func(i *Inputs) *float64 { return &i.SectionsPerChange }},
	{"instances in one rack", 9, "", assumption, func(i *Inputs) *float64 { return &i.RackInstances }},
	{"one-way delay between regions", 0.055, "s", "section 1", func(i *Inputs) *float64 { return &i.RegionDelay }},
	{"time of a call to the platform", 0.005, "s", assumption, func(i *Inputs) *float64 { return &i.PlatformCallTime }},
	{"TCP and IP header of a segment", 52, "bytes", assumption, func(i *Inputs) *float64 { return &i.PacketHeader }},
	{"memory of program and runtime besides the heap", 20e6, "bytes", assumption, func(i *Inputs) *float64 { return &i.OtherMemory }},
	{"interval of reads of the list", 300, "s", proposal, func(i *Inputs) *float64 { return &i.SlowListSeconds }},
	{"text parsed again after a change of one section", 4096, "bytes", proposal, func(i *Inputs) *float64 { return &i.ReparsedBytes }},
	{"TLS record and yamux header of a message", 34, "bytes", proposal, func(i *Inputs) *float64 { return &i.MessageHeader }},
}

// targetInputs returns the inputs with the values of inputTable.
func targetInputs() Inputs {
	var i Inputs
	for _, row := range inputTable {
		*row.target(&i) = row.Value
	}
	return i
}
