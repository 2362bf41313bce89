package measure

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"runtime"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"tamarackrun"
	"tamarackrun/internal/coordination/home"
	"tamarackrun/internal/coordination/lookup"
	"tamarackrun/internal/coordination/rate"
	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/frame"
	"tamarackrun/internal/protocol/manifest"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/history"
	"tamarackrun/internal/state/roster"
)

// Sizes at which the quantities are measured.
var (
	blockSizes   = []int{4_700, 47_000, 470_000}
	sectionSizes = []int{500, 1_000, 2_000, 4_000}
	memberSizes  = []int{90, 270, 810}
	serverSizes  = []int{0, 6, 24, 96}
	chunkSizes   = []int{10_000, 100_000, 1_000_000}
	eventSizes   = []int{2_000, 8_000, history.Capacity}
	bucketSizes  = []int{2_000, 8_000, 32_000}
)

// targetLayout is the layout of the design page's section 3.
var targetLayout = layout{domains: 30, regions: 11, sites: 200}

// Measurements holds all measured series. Times are processor seconds. The names of
// the series say what each measures.
type Measurements struct {
	LocatorBytes, FindSeconds, AnswerSeconds, LocatorSeconds                    Series
	DocumentBytes, ParseSeconds, ParsePeakBytes, SnapshotBytes                  Series
	ChunkCount, ChangedBytes                                                    Series
	SectionParseSeconds, SectionSnapshotBytes, SectionTextBytes                 Series
	PrepareSeconds, PreparedBytes, LookupCheckSeconds, HomeSeconds              Series
	PlacementSeconds, PlacementBytes, PlacementCheckSeconds, ChoiceSeconds      Series
	RosterBytes, ListBytes, ListSeconds                                         Series
	SmallHeartbeatBytes                                                         Series
	HeartbeatEncodeSeconds, HeartbeatBytes, HeartbeatSegments, HeartbeatSeconds Series
	FetchSeconds, EventBytes, EventSeconds, BucketBytes                         Series
	// ReadBytes, ReadSegments and ReadSeconds describe one read of the manifest.
	ReadBytes, ReadSegments, ReadSeconds float64
	// ManifestHashes is the number of hashes in the manifest itself.
	ManifestHashes int
	Cores          int
}

// List returns the series in the order of the page.
func (m *Measurements) List() []Series {
	return []Series{m.LocatorBytes, m.FindSeconds, m.AnswerSeconds, m.LocatorSeconds, m.DocumentBytes, m.ChunkCount,
		m.ChangedBytes, m.ParseSeconds, m.ParsePeakBytes, m.SnapshotBytes, m.SectionTextBytes, m.SectionParseSeconds, m.SectionSnapshotBytes,
		m.PrepareSeconds, m.PreparedBytes, m.LookupCheckSeconds, m.HomeSeconds, m.PlacementSeconds, m.PlacementBytes,
		m.PlacementCheckSeconds, m.ChoiceSeconds, m.RosterBytes, m.ListBytes, m.ListSeconds,
		m.SmallHeartbeatBytes, m.HeartbeatEncodeSeconds, m.HeartbeatBytes, m.HeartbeatSegments, m.HeartbeatSeconds, m.FetchSeconds, m.EventBytes,
		m.EventSeconds, m.BucketBytes}
}

// measureAll takes all measurements, in about half a minute.
func measureAll(identities Identities) (*Measurements, error) {
	m := &Measurements{Cores: runtime.NumCPU()}
	m.measureBlocks()
	m.measureSections()
	m.measureMembers()
	m.measureState()
	if err := m.measurePeerLink(identities); err != nil {
		return nil, err
	}
	var err error
	m.ReadBytes, m.ReadSegments, m.ReadSeconds, err = measureManifestRead(m.ManifestHashes)
	return m, err
}

func mustParse(text string) *configuration.Snapshot {
	c, problems := document.Parse("sample", []byte(text))
	if len(problems) > 0 {
		panic("the sample document is invalid: " + problems[0].String())
	}
	return c
}

func mustLocator(c *configuration.Snapshot) *lookup.Locator {
	locator, err := lookup.NewLocator(c)
	if err != nil {
		panic(err)
	}
	return locator
}

// measureBlocks measures what grows with the number of client blocks.
func (m *Measurements) measureBlocks() {
	texts, snapshots := map[int]string{}, map[int]*configuration.Snapshot{}
	for _, n := range blockSizes {
		texts[n] = documentText(targetLayout, n, 1, 1)
		snapshots[n] = mustParse(texts[n])
	}
	series := func(name, unit string, value func(n int) float64) Series {
		return measureSeries(name, "client blocks", unit, blockSizes, value)
	}
	candidates := sampleCandidates(sampleMembers(targetLayout, 810))
	tableOf := func(n int) *lookup.Table { return lookup.NewTable(mustLocator(snapshots[n]), candidates) }
	m.LocatorBytes = series("client block table, heap", "bytes", func(n int) float64 {
		return heapBytesOf(func() any { return mustLocator(snapshots[n]) })
	})
	m.FindSeconds = series("decision of one look-up", "s", func(n int) float64 {
		table, clients, i := tableOf(n), sampleClients(snapshots[n], 1<<16), 0
		return cpuSecondsOf(func() { table.Find(clients[i&(1<<16-1)]); i++ })
	})
	m.AnswerSeconds = series("decision and encoding of one look-up", "s", func(n int) float64 {
		table, clients, i, buffer := tableOf(n), sampleClients(snapshots[n], 1<<16), 0, make([]byte, 0, 4096)
		return cpuSecondsOf(func() { buffer = table.AppendAnswer(buffer[:0], clients[i&(1<<16-1)]); i++ })
	})
	m.LocatorSeconds = series("building the client block table", "s", func(n int) float64 {
		return cpuSecondsOf(func() { mustLocator(snapshots[n]) })
	})
	m.DocumentBytes = series("document", "bytes", func(n int) float64 { return float64(len(texts[n])) })
	m.ChunkCount = series("chunks of the document, with lists of hashes", "chunks", func(n int) float64 {
		named, parts := manifest.Split([]byte(texts[n]))
		m.ManifestHashes = len(named.Chunks)
		return float64(len(parts))
	})
	m.ChangedBytes = series("bytes that a new section at the start of the document changes, with the manifest", "bytes", func(n int) float64 {
		return changedBytes(texts[n])
	})
	m.ParseSeconds = series("parsing the document", "s", func(n int) float64 { return cpuSecondsOf(func() { mustParse(texts[n]) }) })
	m.ParsePeakBytes = series("parsing the document, peak of the heap", "bytes", func(n int) float64 {
		return peakBytesOf(func() { mustParse(texts[n]) })
	})
	m.SnapshotBytes = series("snapshot, heap", "bytes", func(n int) float64 {
		return heapBytesOf(func() any { return mustParse(texts[n]) })
	})
}

// changedBytes returns the size of the manifest and of the chunks that an instance
// has to fetch after a section was added at the start of the document.
func changedBytes(text string) float64 {
	_, have := manifest.Split([]byte(text))
	m, parts := manifest.Split([]byte("[base/organisation/added]\nrate = 1\nburst = 1\n" + text))
	value, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	changed := len(value)
	for hash, part := range parts {
		if _, ok := have[hash]; !ok {
			changed += len(part)
		}
	}
	return float64(changed)
}

// measureSections measures what grows with the number of sections without client
// blocks.
func (m *Measurements) measureSections() {
	texts := map[int]string{}
	for _, n := range sectionSizes {
		// Each organisation has a section for itself and one for its key.
		texts[n] = documentText(targetLayout, 0, n/4, n/2)
	}
	series := func(name, unit string, value func(n int) float64) Series {
		return measureSeries(name, "sections", unit, sectionSizes, value)
	}
	m.SectionTextBytes = series("text of organisations, keys and servers", "bytes", func(n int) float64 { return float64(len(texts[n])) })
	m.SectionParseSeconds = series("parsing organisations, keys and servers", "s", func(n int) float64 {
		return cpuSecondsOf(func() { mustParse(texts[n]) })
	})
	m.SectionSnapshotBytes = series("snapshot of organisations, keys and servers, heap", "bytes", func(n int) float64 {
		return heapBytesOf(func() any { return mustParse(texts[n]) })
	})
}

// measureMembers measures what grows with the number of instances.
func (m *Measurements) measureMembers() {
	c := mustParse(documentText(targetLayout, 4_700, 1, 100))
	locator, servers := mustLocator(c), c.ServersOf("service")
	series := func(name, unit string, value func(n int) float64) Series {
		return measureSeries(name, "instances", unit, memberSizes, value)
	}
	m.PrepareSeconds = series("preparing all look-up answers", "s", func(n int) float64 {
		candidates := sampleCandidates(sampleMembers(targetLayout, n))
		return cpuSecondsOf(func() { lookup.NewTable(locator, candidates) })
	})
	m.PreparedBytes = series("prepared look-up answers, heap", "bytes", func(n int) float64 {
		candidates := sampleCandidates(sampleMembers(targetLayout, n))
		return heapBytesOf(func() any { return lookup.NewTable(locator, candidates) })
	})
	m.LookupCheckSeconds = series("checking whether the look-up table is current", "s", func(n int) float64 {
		r := sampleRoster(n)
		table := lookup.NewTable(locator, sampleCandidates(r.Members()))
		return cpuSecondsOf(func() { table.Matches(locator, sampleCandidates(r.Members())) })
	})
	m.HomeSeconds = series("placing one backend server", "s", func(n int) float64 {
		members, i := sampleMembers(targetLayout, n), 0
		return cpuSecondsOf(func() { home.Of(c, servers[i%len(servers)], members); i++ })
	})
	m.measurePlacement(series)
	m.RosterBytes = series("roster with the loads of 6 servers each, heap", "bytes", func(n int) float64 {
		return heapBytesOf(func() any { return sampleRoster(n) })
	})
	m.ListBytes = series("the platform's list", "bytes", func(n int) float64 {
		value, err := json.Marshal(sampleListings(n))
		if err != nil {
			panic(err)
		}
		return float64(len(value))
	})
	m.ListSeconds = series("decoding the platform's list", "s", func(n int) float64 { return decodeSeconds(sampleListings(n)) })
}

// measurePlacement measures the placement of homes with 6 servers for each instance.
func (m *Measurements) measurePlacement(series func(name, unit string, value func(n int) float64) Series) {
	fleet := func(n int) (*configuration.Snapshot, *roster.Roster) {
		c := mustParse(documentText(targetLayout, 0, 1, reportedServers*n)).WithVersion(1)
		return &c, sampleRoster(n)
	}
	m.PlacementSeconds = series("placing all servers, 6 for each instance", "s", func(n int) float64 {
		c, r := fleet(n)
		return cpuSecondsOf(func() { home.NewTable(c, r.Members(), r.Self) })
	})
	m.PlacementBytes = series("placement of all servers, heap", "bytes", func(n int) float64 {
		c, r := fleet(n)
		members := r.Members()
		size := heapBytesOf(func() any { return home.NewTable(c, members, r.Self) })
		runtime.KeepAlive(members)
		return size
	})
	m.PlacementCheckSeconds = series("checking whether the placement is current", "s", func(n int) float64 {
		c, r := fleet(n)
		t := home.NewTable(c, r.Members(), r.Self)
		return cpuSecondsOf(func() { t.Matches(c, r.Members()) })
	})
	m.ChoiceSeconds = series("homes of 100 servers, for one request", "s", func(n int) float64 {
		c, r := fleet(n)
		t, servers := home.NewTable(c, r.Members(), r.Self), c.ServersOf("service")[:100]
		return cpuSecondsOf(func() {
			for _, v := range servers {
				t.Owner(v, r.Member, r.Clock.Now(), r.Self)
			}
		})
	})
}

func decodeSeconds(list []tamarackrun.Listing) float64 {
	value, err := json.Marshal(list)
	if err != nil {
		panic(err)
	}
	return cpuSecondsOf(func() {
		var decoded []tamarackrun.Listing
		if err := json.Unmarshal(value, &decoded); err != nil {
			panic(err)
		}
	})
}

func sampleListings(n int) []tamarackrun.Listing {
	var list []tamarackrun.Listing
	for _, m := range sampleMembers(targetLayout, n) {
		list = append(list, m.Listing)
	}
	return list
}

func sampleRoster(n int) *roster.Roster {
	members := sampleMembers(targetLayout, n)
	r := roster.New(members[0].Listing, fixedClock{})
	r.Update(sampleListings(n))
	for _, m := range members {
		r.RecordHeartbeat(m.Listing.Name, m.State, fixedClock{}.Now())
	}
	return r
}

// measureState measures the history of events and token buckets.
func (m *Measurements) measureState() {
	newHistory := func() *history.History {
		return &history.History{Instance: "entry-000", Scope: tally.NoopScope,
			Logger: &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: io.Discard}}}
	}
	record := func(h *history.History, n int) {
		h.Record(event.RequestRefused, fmt.Sprint("request-", n), "reason", string(tamarackrun.RateExceeded))
	}
	m.EventBytes = measureSeries("events in the history, heap", "events", "bytes", eventSizes, func(n int) float64 {
		return heapBytesOf(func() any {
			h := newHistory()
			for i := range n {
				record(h, i)
			}
			return h
		})
	})
	m.EventSeconds = measureSeries("recording one event", "events before", "s", eventSizes, func(n int) float64 {
		h := newHistory()
		for i := range n {
			record(h, i)
		}
		return cpuSecondsOf(func() { record(h, n) })
	})
	m.BucketBytes = measureSeries("token buckets, heap", "organisations", "bytes", bucketSizes, func(n int) float64 {
		return heapBytesOf(func() any {
			buckets := map[string]*rate.Bucket{}
			for i := range n {
				buckets[fmt.Sprint("organisation-", i)] = new(rate.Bucket)
			}
			return buckets
		})
	})
}

// measurePeerLink measures exchanges over a peer connection with TLS on loopback.
func (m *Measurements) measurePeerLink(identities Identities) error {
	l, err := newPeerLink(identities)
	if err != nil {
		return err
	}
	defer l.close()
	series := func(name, unit string, value func(n int) float64) Series {
		return measureSeries(name, "reported backend servers", unit, serverSizes, value)
	}
	m.SmallHeartbeatBytes = series("encoded heartbeat with a 64-bit incarnation and no names", "bytes", func(n int) float64 {
		state := &wire.PeerState{Incarnation: "8 bytes.", Phase: roster.Ready, ConfigurationVersion: 123_456, ProofAgeMillis: 1234}
		for range n {
			state.Servers = append(state.Servers, &wire.ServerLoad{InFlight: 2, Queued: 1, Slots: 3})
		}
		var encoded bytes.Buffer
		if err := frame.Write(&encoded, &wire.Envelope{Kind: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{State: state}}}); err != nil {
			panic(err)
		}
		return float64(encoded.Len())
	})
	m.HeartbeatEncodeSeconds = series("encoding one heartbeat", "s", func(n int) float64 { return encodeSeconds(l.heartbeat(n)) })
	m.HeartbeatBytes = series("bytes of a heartbeat and its reply, TLS and yamux included", "bytes", func(n int) float64 {
		bytes, _ := l.countHeartbeat(n)
		return bytes
	})
	m.HeartbeatSegments = series("segments of a heartbeat and its reply", "segments", func(n int) float64 {
		_, segments := l.countHeartbeat(n)
		return segments
	})
	m.HeartbeatSeconds = series("one heartbeat and its reply, both ends", "s", func(n int) float64 {
		message := l.heartbeat(n)
		return cpuSecondsOf(func() { l.exchange(l.directAddress, message) })
	})
	m.FetchSeconds = measureSeries("fetching a chunk from a peer, both ends", "bytes", "s", chunkSizes, func(n int) float64 {
		l.server.chunk = make([]byte, n)
		return cpuSecondsOf(func() {
			l.exchange(l.directAddress, &wire.Envelope{Kind: &wire.Envelope_Fetch{Fetch: &wire.Fetch{Hash: "hash"}}})
		})
	})
	return nil
}

func encodeSeconds(message *wire.Envelope) float64 {
	return cpuSecondsOf(func() {
		if err := frame.Write(io.Discard, message); err != nil {
			panic(err)
		}
	})
}
