package policy

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Row compares one figure of a policy with that of its baseline, which has the same
// seed and load.
type Row struct {
	Experiment string  `json:"experiment"`
	User       string  `json:"user"`
	Case       string  `json:"case"`
	Measure    string  `json:"measure"`
	Unit       string  `json:"unit"`
	Policy     float64 `json:"policy"`
	Baseline   float64 `json:"baseline"`
	// HigherIsBetter is true for figures such as served requests.
	HigherIsBetter bool `json:"higherIsBetter,omitempty"`
	// Target is the stated upper bound of the policy's figure, or nil.
	Target *float64 `json:"target,omitempty"`
}

// Worse reports whether the policy's figure is worse than the baseline's.
func (r Row) Worse() bool {
	if r.HigherIsBetter {
		return r.Policy < r.Baseline
	}
	return r.Policy > r.Baseline
}

// Missed reports whether the policy misses its target.
func (r Row) Missed() bool { return r.Target != nil && r.Policy > *r.Target }

// ratio returns the policy's figure divided by the baseline's, as text.
func (r Row) ratio() string {
	if r.Baseline == 0 {
		if r.Policy == 0 {
			return "="
		}
		return "-"
	}
	return fmt.Sprintf("%.3f", r.Policy/r.Baseline)
}

// target returns the target and whether it is met, as text.
func (r Row) target() string {
	switch {
	case r.Target == nil:
		return ""
	case r.Missed():
		return fmt.Sprintf("<= %.4g missed", *r.Target)
	}
	return fmt.Sprintf("<= %.4g met", *r.Target)
}

// Table is the result of one run.
type Table struct {
	Seed uint64 `json:"seed"`
	Rows []Row  `json:"rows"`
}

// WriteJSON writes the table as JSON.
func (t Table) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(t)
}

// WriteText writes the table as aligned text and repeats the rows that are worse
// than the baseline at the end.
func (t Table) WriteText(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(out, "seed %d\nexperiment\tuser\tcase\tmeasure\tpolicy\tbaseline\tratio\ttarget\n", t.Seed)
	for _, r := range t.Rows {
		writeRow(out, r)
	}
	_, _ = fmt.Fprintln(out, "\nworse than the baseline:")
	for _, r := range t.Rows {
		if r.Worse() {
			writeRow(out, r)
		}
	}
	return out.Flush()
}

func writeRow(w io.Writer, r Row) {
	_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s (%s)\t%.6g\t%.6g\t%s\t%s\n", r.Experiment, r.User, r.Case, r.Measure, r.Unit,
		roundToThousandths(r.Policy), roundToThousandths(r.Baseline), r.ratio(), r.target())
}

func roundToThousandths(f float64) float64 { return math.Round(f*1000) / 1000 }
