package sweep

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

const testEntry = `{"id":"1a2b","cmd":"sweep","site":"s","days":[
{"balancers":100,"servers":900,"served":0.5,"rules":{},"prices":[["machine-seconds",1000,0.1],["processor seconds",10,0],["memory, GB x seconds",20,0],["GB between zones",0.001,0],["GB between regions",0.001,0],["cloud calls",50,0]]},
{"balancers":400,"servers":3600,"served":0.4,"rules":{"LOST":1},"prices":[["machine-seconds",4000,0.1],["processor seconds",80,0],["memory, GB x seconds",80,0],["GB between zones",0.004,0],["GB between regions",0.004,0],["cloud calls",50,0]]}]}`

func write(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "entry.json")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Guards against figures of the page that do not follow from the entry.
func TestRowsFollowFromEntry(t *testing.T) {
	e, err := readEntry(write(t, testEntry))
	if err != nil {
		t.Fatal(err)
	}
	got := rows(e)[:4]
	// Processor time doubles from 100 to 400 instances, and calls fall to a quarter.
	target := 2 * math.Sqrt(810.0/400)
	want := []row{
		{Values: []float64{1, 2}, Power: 0.5, Target: target, Limit: processorLimit},
		{Values: []float64{20, 20}, Target: 20, Limit: memoryLimit},
		{Values: []float64{2, 2}, Target: 2, Limit: bytesLimit},
		{Values: []float64{0.05, 0.0125}, Power: -1, Target: 0.0125 * 400 / 810},
	}
	if diff := cmp.Diff(want, got, cmpopts.EquateApprox(0, 1e-9), cmpopts.IgnoreFields(row{}, "Name", "Mechanism")); diff != "" {
		t.Errorf("rows (-want +got):\n%s", diff)
	}
	var text bytes.Buffer
	if err := writePage(&text, e); err != nil {
		t.Fatal(err)
	}
	for _, part := range []string{"`1a2b`", "Rules broken at 1 of 2 sizes", "serves 0.80 of what", "**no** (1.1)", "What binds first:** processor"} {
		if !strings.Contains(text.String(), part) {
			t.Errorf("the page lacks %q:\n%s", part, text.String())
		}
	}
}

// Guards against a page from an entry that is no sweep or was broken off.
func TestUnusableEntries(t *testing.T) {
	for name, text := range map[string]string{
		"another verb": strings.Replace(testEntry, `"sweep"`, `"score"`, 1),
		"one size":     `{"id":"1","cmd":"sweep","days":[{"balancers":3,"prices":[["machine-seconds",1,0]]}]}`,
		"broken off":   strings.Replace(testEntry, `["machine-seconds",1000,0.1],`, "", 1),
		"no JSON":      "{",
	} {
		if _, err := readEntry(write(t, text)); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
