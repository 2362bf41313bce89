// Package metrics creates the metrics of one process and serves them in the
// Prometheus text format.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

// Meter holds the metrics of a process.
type Meter struct {
	// Scope is the root scope, in which all metrics are created.
	Scope tally.Scope
	// Handler serves the metrics.
	Handler http.Handler
}

// New returns a meter whose metrics carry the instance's name, and a function that
// makes the last report and closes the meter. Each meter has its own registry, so
// that two instances in one test process do not share metrics.
func New(name string) (Meter, func()) {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	var scope tally.Scope
	var closer io.Closer
	scope, closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "tamarackrun", Tags: map[string]string{"instance": name},
		CachedReporter: reporter, Separator: "_", SanitizeOptions: &tallyprometheus.DefaultSanitizerOpts,
		// The library's metrics about itself have names that Prometheus rejects.
		OmitCardinalityMetrics: true,
	}, time.Second)
	return Meter{scope, reporter.HTTPHandler()}, func() { _ = closer.Close() }
}
