package instance

import (
	"github.com/prometheus/client_golang/prometheus"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
)

// newReporter uses a registry of its own, so that two instances in one test
// process do not share metrics.
func newReporter() tallyprometheus.Reporter {
	registry := prometheus.NewRegistry()
	return tallyprometheus.NewReporter(tallyprometheus.Options{Registerer: registry, Gatherer: registry})
}
