// Package sla holds the service levels that are agreed for one deployment: how soon
// the system must react, and by how much limits may be exceeded.
package sla

import (
	"cmp"
	"time"
)

// LapsedRecordGrace is how long records that lapsed during an outage of the store, or
// while contact with it was lost, may take to come back afterwards. The agreement
// says about two seconds.
const LapsedRecordGrace = 2100 * time.Millisecond

// Terms holds the agreed bounds from a deployment's settings. WithDefaults sets those
// that the settings leave out.
type Terms struct {
	// DrainBound is the longest time until a leaving server gets no more requests.
	DrainBound time.Duration
	// StopGrace is the time from SIGTERM to SIGKILL.
	StopGrace time.Duration
	// DetectionBound is the longest time until an instance notices that another
	// instance or the store is unreachable.
	DetectionBound time.Duration
	// ApplyBound is the longest time until a new configuration is in force.
	ApplyBound time.Duration
	// EvacuateBound is the longest time until an evacuated failure domain gets no
	// more requests.
	EvacuateBound time.Duration
	// ServerHeartbeat is the interval at which servers renew their records.
	ServerHeartbeat time.Duration
	// RetryRatio is the fraction of the requests of the latest RetryWindow that may
	// be retried, and RetrySlack the number of retries allowed in addition, both
	// summed over all instances.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ColdOverage and ColdSlack limit the requests to a cold server: in a second it
	// gets at most its rate times ColdOverage plus ColdSlack, summed over all
	// instances.
	ColdOverage, ColdSlack float64
	// RateWindow, RateOverage and RateSlack limit the requests of an organisation: in
	// any RateWindow it gets at most (rate x RateWindow + burst) x (1 + RateOverage) +
	// RateSlack, summed over all instances.
	RateWindow             time.Duration
	RateOverage, RateSlack float64
	// LookupLifetime is the longest time for which callers cache an answer of the
	// directory.
	LookupLifetime time.Duration
}

// WithDefaults returns a copy in which missing values are set to the values of the
// first deployments.
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
