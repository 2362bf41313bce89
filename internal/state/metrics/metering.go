// Package metrics makes the metrics of one process and serves them as text.
package metrics

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

// Meter is the root of a process's metrics.
type Meter struct {
	Scope   tally.Scope
	Handler http.Handler
}

// New returns a meter whose metrics carry the instance's name. It uses a registry
// of its own, so that two instances in one test process do not share metrics. The
// clean-up function makes the last report.
func New(name string) (Meter, func()) {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
	var scope tally.Scope
	var closer io.Closer
	scope, closer = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "tamarackrun", Tags: map[string]string{"instance": name},
		CachedReporter: reporter, Separator: "_", SanitizeOptions: &tallyprometheus.DefaultSanitizerOpts,
		// The library's own metrics have names that Prometheus refuses.
		OmitCardinalityMetrics: true,
	}, time.Second)
	return Meter{scope, reporter.HTTPHandler()}, func() { _ = closer.Close() }
}
