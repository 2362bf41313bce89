package measure

import (
	"math"
	"reflect"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// synthetic returns measurements with known slopes.
func synthetic() *Measurements {
	line := func(slope float64, sizes ...int) Series {
		return measureSeries("s", "x", "s", sizes, func(n int) float64 { return slope * float64(n) })
	}
	m := &Measurements{Cores: 1, ReadBytes: 1000, ReadSegments: 2, ReadSeconds: 1e-4}
	for _, s := range []*Series{&m.LocatorBytes, &m.DocumentBytes, &m.ParsePeakBytes, &m.SnapshotBytes, &m.ChangedBytes} {
		*s = line(20, blockSizes...)
	}
	for _, s := range []*Series{&m.FindSeconds, &m.AnswerSeconds, &m.LocatorSeconds, &m.ParseSeconds} {
		*s = line(1e-7, blockSizes...)
	}
	m.ChunkCount = line(2e-5, blockSizes...)
	m.SectionParseSeconds, m.SectionSnapshotBytes, m.SectionTextBytes =
		line(1e-5, sectionSizes...), line(100, sectionSizes...), line(100, sectionSizes...)
	m.PrepareSeconds, m.LookupCheckSeconds, m.HomeSeconds, m.ListSeconds =
		line(1e-4, memberSizes...), line(1e-6, memberSizes...), line(1e-7, memberSizes...), line(1e-6, memberSizes...)
	m.PlacementSeconds, m.PlacementCheckSeconds, m.ChoiceSeconds =
		line(1e-5, memberSizes...), line(1e-7, memberSizes...), line(1e-7, memberSizes...)
	m.PlacementBytes = line(100, memberSizes...)
	m.PreparedBytes, m.RosterBytes, m.ListBytes = line(100, memberSizes...), line(100, memberSizes...), line(100, memberSizes...)
	m.HeartbeatBytes, m.HeartbeatSegments, m.HeartbeatSeconds, m.HeartbeatEncodeSeconds =
		line(100, serverSizes...), line(1, serverSizes...), line(1e-5, serverSizes...), line(1e-6, serverSizes...)
	m.SmallHeartbeatBytes, m.FetchSeconds = line(8, serverSizes...), line(1e-8, chunkSizes...)
	m.EventBytes, m.EventSeconds, m.BucketBytes = line(200, eventSizes...), line(1e-9, eventSizes...), line(100, bucketSizes...)
	return m
}

// Guards against a fit whose slope or base is wrong, and against values off the line.
func TestFit(t *testing.T) {
	s := measureSeries("s", "x", "s", []int{10, 100, 1000}, func(n int) float64 { return 3*float64(n) + 7 })
	for _, c := range []struct{ got, want float64 }{{s.Slope, 3}, {s.Base, 7}, {s.At(100), 307}, {s.At(2000), 6007}} {
		if math.Abs(c.got-c.want) > 1e-6 {
			t.Errorf("got %v, want %v", c.got, c.want)
		}
	}
}

// Guards against an input that the table does not set, which would be 0 in the model.
func TestInputsAreComplete(t *testing.T) {
	seen := map[*float64]bool{}
	var i Inputs
	for _, row := range inputTable {
		p := row.target(&i)
		if seen[p] || row.Value <= 0 || row.Source == "" {
			t.Errorf("%s is set twice, not positive or without a source", row.Name)
		}
		seen[p] = true
	}
	v := reflect.ValueOf(targetInputs())
	for n := range v.NumField() {
		if v.Field(n).Float() <= 0 {
			t.Errorf("%s is not set", v.Type().Field(n).Name)
		}
	}
}

// Guards against heartbeats between all pairs that are not counted at both ends,
// against limits that are not checked, and against a total that is not the sum of its rows.
func TestModel(t *testing.T) {
	x := model{synthetic(), targetInputs()}
	today := x.plans()[0]
	// 809 peers, 2 heartbeats per second to and from each, half an exchange of
	// 600 bytes and 6 segments of 52 bytes for each.
	want := 809.0 * 4 * (600 + 6*52) / 2
	if diff := cmp.Diff(want, today.Rows[0].Bytes); diff != "" {
		t.Errorf("bytes of heartbeats (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"CPU", "bytes"}, x.exceededLimits(today.Rows[0])); diff != "" {
		t.Errorf("limits (-want +got):\n%s", diff)
	}
	sum := 0.0
	for _, r := range today.Rows {
		sum += r.Bytes
	}
	if math.Abs(sum-today.Total.Bytes) > 1e-6 {
		t.Errorf("total %v, want %v", today.Total.Bytes, sum)
	}
}

// Guards against a template that fails or shows a quantity that is not a number.
func TestPage(t *testing.T) {
	var b strings.Builder
	if err := newPage(synthetic(), targetInputs()).write(&b); err != nil {
		t.Fatal(err)
	}
	for _, bad := range []string{"NaN", "Inf", "<no value>", "%!"} {
		if strings.Contains(b.String(), bad) {
			t.Errorf("the page contains %q", bad)
		}
	}
}

// Guards against sample documents that the parser refuses or that lack sections or
// client blocks.
func TestSampleDocument(t *testing.T) {
	c := mustParse(documentText(targetLayout, 1000, 5, 7))
	blocks := 0
	for _, l := range c.Clients {
		blocks += len(l.Blocks)
	}
	if diff := cmp.Diff([]int{1000, 5, 5, 7}, []int{blocks, len(c.Organisations), len(c.Keys), len(c.Servers)}); diff != "" {
		t.Errorf("sizes (-want +got):\n%s", diff)
	}
}
