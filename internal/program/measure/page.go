package measure

import (
	_ "embed"
	"io"
	"strings"
	"text/template"
)

//go:embed capacity.md.tmpl
var pageText string

// Page is what the template of docs/CAPACITY.md gets.
type Page struct {
	Measured *Measurements
	Inputs   []Input
	Plans    []Plan
	Calls    []Calls
	Paths    []Path
	Effects  []Effect
	// Limits are the values of section 3.
	Limits Inputs
	// Document and Chunks describe the document at the target size.
	Document, Chunks float64

	model model
}

func newPage(m *Measurements, i Inputs) Page {
	x := model{m, i}
	return Page{Measured: m, Inputs: inputTable, Plans: x.plans(), Calls: x.calls(), Paths: x.paths(),
		Effects: x.effects(), Limits: i, Document: x.document(), Chunks: x.chunks(), model: x}
}

// Met says whether a row keeps the limits.
func (p Page) Met(r Row) string {
	if r.Data {
		return "grows with calls"
	}
	if missed := p.model.missed(r); len(missed) > 0 {
		return "**no**: " + strings.Join(missed, ", ")
	}
	return "yes"
}

// InTime says whether a path keeps the limit of time.
func (p Page) InTime(path Path) string {
	if path.Unbounded {
		return "**no**: the steady reads exceed the platform's limit, so that the time has no bound"
	}
	return p.Within(path.Sum, p.Limits.TimeLimit)
}

// ChoiceSeconds is the time that the homes of all servers of a service take for
// a request.
func (p Page) ChoiceSeconds() float64 { return p.Measured.ChoiceSeconds.At(p.Limits.Daemons) }

// Within says whether a value keeps a limit.
func (Page) Within(value, limit float64) string {
	if value > limit {
		return "**no**"
	}
	return "yes"
}

// Largest names the row of a plan with the highest value of what ("CPU",
// "memory" or "bytes").
func (Page) Largest(plan Plan, what string) Row {
	of := map[string]func(Row) float64{
		"CPU":    func(r Row) float64 { return r.Cores },
		"memory": func(r Row) float64 { return r.Memory },
		"bytes":  func(r Row) float64 { return r.Bytes },
	}[what]
	var largest Row
	for _, r := range plan.Rows {
		if !r.Data && of(r) > of(largest) {
			largest = r
		}
	}
	return largest
}

func (p Page) write(w io.Writer) error {
	functions := template.FuncMap{"bytes": bytesText, "seconds": secondsText, "cores": coresText, "value": valueText,
		"input": inputText, "number": trimmed}
	t, err := template.New("capacity").Funcs(functions).Parse(pageText)
	if err != nil {
		return err
	}
	return t.Execute(w, p)
}
