// Package sla holds the bounds that the users agreed with the system for one
// deployment.
package sla

import (
	"cmp"
	"time"
)

// LapsedRecordGrace is how long after the store's return, or that of contact with it,
// records that lapsed meanwhile may come back. The users say about two seconds.
const LapsedRecordGrace = 2100 * time.Millisecond

// Terms are bounds from the deployment's settings. A field without a value has
// the default of WithDefaults.
type Terms struct {
	// DrainBound is how soon a leaving server gets nothing more.
	DrainBound time.Duration
	// StopGrace is the time from SIGTERM to SIGKILL.
	StopGrace time.Duration
	// DetectionBound is how long an instance may need to notice that another
	// one or the store is lost.
	DetectionBound time.Duration
	// ApplyBound is how soon a configuration is in force.
	ApplyBound time.Duration
	// EvacuateBound is how soon an evacuated failure domain gets nothing more.
	EvacuateBound time.Duration
	// ServerHeartbeat is the interval at which servers renew their records.
	ServerHeartbeat time.Duration
	// RetryRatio is the part of the requests of the latest RetryWindow that
	// may be sent again, and RetrySlack a number that may be besides, both
	// summed over all instances.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// A cold server gets at most its rate times ColdOverage plus ColdSlack in
	// a second, summed over all instances.
	ColdOverage, ColdSlack float64
	// An organisation gets at most (rate x RateSpan + burst) x (1 + RateOverage) +
	// RateSlack requests in any RateSpan, summed over all instances.
	RateWindow             time.Duration
	RateOverage, RateSlack float64
	// LookupLifetime is the longest time for which callers keep an answer of
	// the directory.
	LookupLifetime time.Duration
}

// WithDefaults returns a copy in which missing values have the defaults, which
// are those of the first deployments.
func (t Terms) WithDefaults() Terms {
	t.DrainBound = cmp.Or(t.DrainBound, 2500*time.Millisecond)
	t.StopGrace = cmp.Or(t.StopGrace, 6*time.Second)
	t.DetectionBound = cmp.Or(t.DetectionBound, 4*time.Second)
	t.ApplyBound = cmp.Or(t.ApplyBound, 2500*time.Millisecond)
	t.EvacuateBound = cmp.Or(t.EvacuateBound, 5*time.Second)
	t.ServerHeartbeat = cmp.Or(t.ServerHeartbeat, 1500*time.Millisecond)
	t.RetryWindow = cmp.Or(t.RetryWindow, 10*time.Second)
	t.RateWindow = cmp.Or(t.RateWindow, 5*time.Second)
	t.ColdOverage = cmp.Or(t.ColdOverage, 1)
	t.LookupLifetime = cmp.Or(t.LookupLifetime, 5*time.Second)
	return t
}
