package measure

import (
	_ "embed"
	"io"
	"strings"
	"text/template"
)

//go:embed capacity.md.tmpl
var pageText string

// Page is the data of the template of docs/costs.md.
type Page struct {
	Measured *Measurements
	Inputs   []Input
	Plans    []Plan
	Calls    []Calls
	Paths    []Path
	Effects  []Effect
	// Limits holds the inputs, with the limits of the design page's section 3.
	Limits Inputs
	// Document is the size of the document in bytes and Chunks its number of
	// chunks, at the target size.
	Document, Chunks float64

	model model
}

func newPage(m *Measurements, i Inputs) Page {
	x := model{m, i}
	return Page{Measured: m, Inputs: inputTable, Plans: x.plans(), Calls: x.platformCalls(), Paths: x.changePaths(),
		Effects: x.fleetEffects(), Limits: i, Document: x.documentBytes(), Chunks: x.chunkCount(), model: x}
}

// Met returns the text that says whether a row keeps the limits.
func (p Page) Met(r Row) string {
	if r.GrowsWithTraffic {
		return "grows with calls"
	}
	if missed := p.model.exceededLimits(r); len(missed) > 0 {
		return "**no**: " + strings.Join(missed, ", ")
	}
	return "yes"
}

// InTime returns the text that says whether a path keeps the limit of time.
func (p Page) InTime(path Path) string {
	if path.Unbounded {
		return "**no**: the steady reads exceed the platform's limit, so that the time has no bound"
	}
	return p.Within(path.Sum, p.Limits.TimeLimit)
}

// ChoiceSeconds returns the processor time, in seconds, for looking up the homes of
// all servers of a service for one request.
func (p Page) ChoiceSeconds() float64 { return p.Measured.ChoiceSeconds.At(p.Limits.Daemons) }

// Within returns the text that says whether a value keeps a limit.
func (Page) Within(value, limit float64) string {
	if value > limit {
		return "**no**"
	}
	return "yes"
}

// Largest returns the row of a plan with the highest value of what, which is "CPU",
// "memory" or "bytes".
func (Page) Largest(plan Plan, what string) Row {
	of := map[string]func(Row) float64{
		"CPU":    func(r Row) float64 { return r.Cores },
		"memory": func(r Row) float64 { return r.Memory },
		"bytes":  func(r Row) float64 { return r.Bytes },
	}[what]
	var largest Row
	for _, r := range plan.Rows {
		if !r.GrowsWithTraffic && of(r) > of(largest) {
			largest = r
		}
	}
	return largest
}

func (p Page) write(w io.Writer) error {
	functions := template.FuncMap{"bytes": formatBytes, "seconds": formatSeconds, "cores": formatCores, "value": formatValue,
		"input": formatInput, "number": formatNumber}
	t, err := template.New("capacity").Funcs(functions).Parse(pageText)
	if err != nil {
		return err
	}
	return t.Execute(w, p)
}
