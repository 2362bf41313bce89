package demo

import (
	"errors"
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"tamarackrun/internal/standin/caller"
	"tamarackrun/internal/standin/server"
	"tamarackrun/internal/state/configuration"
)

const maxLatency = time.Minute

// report collects the results of a run. It is safe for concurrent use.
type report struct {
	mu sync.Mutex
	// outcomes counts results by route and outcome.
	outcomes map[string]map[string]int
	// latency holds the latencies of requests that ran, in microseconds, by route.
	latency map[string]*hdrhistogram.Histogram
	// orders holds the outcome label of each order.
	orders map[string]string
	// executions counts how many times each order ran.
	executions map[string]int
	// example is the id of the last request that ran.
	example string
}

func newReport() *report {
	return &report{outcomes: map[string]map[string]int{}, latency: map[string]*hdrhistogram.Histogram{},
		orders: map[string]string{}, executions: map[string]int{}}
}

// outcomeLabel returns the outcome of a request with its reason, for the report.
func outcomeLabel(r caller.Result) string {
	switch {
	case r.Err != nil:
		return "no whole answer"
	case r.Reason != "":
		return r.Outcome + ": " + r.Reason
	}
	return r.Outcome
}

func (r *report) add(route configuration.Route, order string, result caller.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outcomes[route.Name] == nil {
		r.outcomes[route.Name] = map[string]int{}
		r.latency[route.Name] = hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	}
	name := outcomeLabel(result)
	r.outcomes[route.Name][name]++
	if name == "ran" {
		_ = r.latency[route.Name].RecordValue(result.Elapsed.Microseconds())
		r.example = result.ID
	}
	if !route.Idempotent {
		r.orders[order] = name
	}
}

func (r *report) addRecord(record server.Record) {
	for _, e := range record.Executions {
		if e.Method == "POST" {
			r.executions[e.Body]++
		}
	}
}

// printTable writes the table and the counts of check. It returns an error if an
// order ran twice, or if an outcome contradicts the records of the backend servers.
func (r *report) printTable(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "route\toutcome\trequests\tp50 ms\tp99 ms")
	for _, route := range sortedKeys(r.outcomes) {
		for _, outcome := range sortedKeys(r.outcomes[route]) {
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d", route, outcome, r.outcomes[route][outcome])
			if h := r.latency[route]; outcome == "ran" {
				_, _ = fmt.Fprintf(w, "\t%.1f\t%.1f", float64(h.ValueAtQuantile(50))/1000, float64(h.ValueAtQuantile(99))/1000)
			}
			_, _ = fmt.Fprintln(w)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return r.check(out)
}

// check compares the outcomes of the orders with their executions and writes the
// counts.
func (r *report) check(out io.Writer) error {
	twice, lost, falseRefusals := 0, 0, 0
	for order, outcome := range r.orders {
		n := r.executions[order]
		switch {
		case n > 1:
			twice++
		case outcome == "ran" && n == 0:
			lost++
		case len(outcome) > 6 && outcome[:6] == "notRun" && n > 0:
			falseRefusals++
		}
	}
	_, _ = fmt.Fprintf(out, "orders: %d sent, %d ran more than once, %d answered but not run, %d refused but run\n",
		len(r.orders), twice, lost, falseRefusals)
	if twice+lost+falseRefusals > 0 {
		return errors.New("orders did not run exactly as reported")
	}
	if r.example == "" {
		return errors.New("no request ran")
	}
	return nil
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
