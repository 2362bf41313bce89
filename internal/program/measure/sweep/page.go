package sweep

import (
	_ "embed"
	"fmt"
	"io"
	"math"
	"strings"
	"text/template"
)

const (
	// targetInstances is the size of the users' aim, and the limits are what an instance may
	// spend on control there: a part of a core, MB, and KB a second.
	targetInstances = 810
	processorLimit  = 1.1
	memoryLimit     = 128
	bytesLimit      = 3
	// minSizes is the number of sizes that a slope needs.
	minSizes = 2
	// machineSeconds is the price whose quantity is the time of all instances together.
	machineSeconds = "machine-seconds"
)

//go:embed capacity.md.tmpl
var pageText string

// row is one quantity of an instance over the sizes of a sweep.
type row struct {
	Name string
	// Values holds the quantity at each size.
	Values []float64
	// Power is the exponent with which the quantity grows between the last two sizes, and
	// Target the quantity at the target size if that goes on.
	Power, Target float64
	// Limit is the limit at the target size; 0 means that there is none.
	Limit float64
	// Mechanism names what carries the quantity.
	Mechanism string
}

// Verdict says whether the limit is kept.
func (r row) Verdict() string {
	switch {
	case r.Limit == 0:
		return ""
	case r.Target <= r.Limit:
		return fmt.Sprintf("yes (%.3g)", r.Limit)
	}
	return fmt.Sprintf("**no** (%.3g)", r.Limit)
}

// Cells returns the values for a table.
func (r row) Cells() string {
	cells := make([]string, 0, len(r.Values))
	for _, v := range r.Values {
		cells = append(cells, fmt.Sprintf("%.3g", v))
	}
	return strings.Join(cells, " | ")
}

// newRow computes the power and the target of a row. per returns the quantity of an instance on
// a day.
func newRow(name string, e entry, limit float64, mechanism string, per func(d day) float64) row {
	r := row{Name: name, Limit: limit, Mechanism: mechanism}
	for _, d := range e.Days {
		r.Values = append(r.Values, per(d))
	}
	last, before := len(e.Days)-1, len(e.Days)-2
	if r.Values[last] > 0 && r.Values[before] > 0 {
		growth := float64(e.Days[last].Instances) / float64(e.Days[before].Instances)
		r.Power = math.Log(r.Values[last]/r.Values[before]) / math.Log(growth)
	}
	r.Target = r.Values[last] * math.Pow(targetInstances/float64(e.Days[last].Instances), r.Power)
	return r
}

// rows returns the table of a sweep.
func rows(e entry) []row {
	perSecond := func(name string, factor float64) func(d day) float64 {
		return func(d day) float64 { return factor * d.quantity(name) / d.quantity(machineSeconds) }
	}
	return []row{
		newRow("processor, % of a core", e, processorLimit, "digests instead of reports between all; records decoded once a change", perSecond("processor seconds", 100)),
		newRow("memory, MB", e, memoryLimit, "one copy of the servers' records and one state for each instance", perSecond("memory, GB x seconds", 1000)),
		newRow("bytes between failure domains, KB/s", e, bytesLimit, "two relays of each failure domain exchange digests", func(d day) float64 {
			return 1e6 * (d.quantity("GB between zones") + d.quantity("GB between regions")) / d.quantity(machineSeconds)
		}),
		newRow("calls to the store a second", e, 0, "one reader of each failure domain", perSecond("cloud calls", 1)),
		newRow("new connections to servers a second", e, 0, "callers are sent to a part of the fleet", perSecond("new connections to servers", 1)),
	}
}

// page holds what the template shows.
type page struct {
	Entry  entry
	Target int
	Rows   []row
}

// Broken returns the number of sizes at which a rule was broken.
func (p page) Broken() int {
	n := 0
	for _, d := range p.Entry.Days {
		if len(d.Rules) > 0 {
			n++
		}
	}
	return n
}

// ServedRatio returns what the largest size serves, relative to the smallest.
func (p page) ServedRatio() string {
	days := p.Entry.Days
	return fmt.Sprintf("%.2f", days[len(days)-1].Served/days[0].Served)
}

// Binding returns the row that exceeds its limit most, or nil.
func (p page) Binding() *row {
	var binding *row
	for i, r := range p.Rows {
		if r.Limit > 0 && r.Target > r.Limit && (binding == nil || r.Target/r.Limit > binding.Target/binding.Limit) {
			binding = &p.Rows[i]
		}
	}
	return binding
}

// writePage writes the capacity page of a sweep.
func writePage(w io.Writer, e entry) error {
	t, err := template.New("capacity").Funcs(template.FuncMap{
		"number": func(x float64) string { return fmt.Sprintf("%.3g", x) },
		"power":  func(x float64) string { return fmt.Sprintf("%.2f", x) },
	}).Parse(pageText)
	if err != nil {
		return err
	}
	return t.Execute(w, page{e, targetInstances, rows(e)})
}
