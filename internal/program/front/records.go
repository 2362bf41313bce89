package front

import (
	"cmp"
	"strconv"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/follow"
	"tamarackrun/internal/coordination/verify"
	"tamarackrun/internal/protocol/event"
)

const (
	// watchTimeout is how long a watch without changes lasts. It is long because
	// each call to the store has a cost. A watch may miss changes without an
	// error: when the store dropped its history, watches went on for 9 s
	// without delivering an evacuation. The verifier finds such changes.
	watchTimeout = 30 * time.Second
	// serverIntervalFraction times the users' bound on changes is the least time
	// between two calls for the records of servers, so that changes come in
	// batches.
	serverIntervalFraction = 0.2
	// instanceInterval is the least time between two calls for the records of
	// instances. It may be longer, because reports announce instances too.
	instanceInterval = time.Second
	// maxBackoff bounds the pause after a failed call, and maxServerBackoff the
	// pause after a failed call for servers, which are needed first.
	maxBackoff       = time.Second
	maxServerBackoff = 400 * time.Millisecond
)

// openFollowers creates the followers of the store's collections and the
// verifier that finds changes which they missed.
func (f *Front) openFollowers() {
	t := f.terms.Load()
	bound := min(t.DrainBound, t.ApplyBound, t.EvacuateBound)
	f.verifier = &verify.Verifier{Store: f.Store, PropagationBound: bound, HeartbeatInterval: t.ServerHeartbeat,
		Rank:             func() int { return f.members.Rank() },
		ApplyEvacuations: f.applyEvacuations,
		WatchFailed:      func() bool { return f.followers[tamarackrun.Servers].LastCallFailed() },
		Resync:           func(c tamarackrun.Collection) { f.followers[c].Resync() }}
	f.registry.StoreStable = f.verifier.StoreStable
	f.followers = map[tamarackrun.Collection]*follow.Follower{
		tamarackrun.Configurations: {Apply: f.applyConfiguration},
		tamarackrun.Evacuations:    {Apply: func(page tamarackrun.Page, _ bool) { f.applyEvacuations(page) }},
		tamarackrun.Instances:      {MinInterval: instanceInterval, Apply: f.applyInstances},
		tamarackrun.Servers: {MinInterval: time.Duration(serverIntervalFraction * float64(bound)), MaxBackoff: maxServerBackoff,
			Apply: f.applyServers},
	}
	for collection, follower := range f.followers {
		apply := follower.Apply
		follower.Apply = func(page tamarackrun.Page, reconnected bool) {
			apply(page, reconnected)
			f.verifier.Applied(collection, page)
		}
		follower.Collection, follower.Store, follower.Recorder, follower.WatchTimeout = collection, f.Store, f.history, watchTimeout
		follower.MaxBackoff = cmp.Or(follower.MaxBackoff, maxBackoff)
	}
}

// applyEvacuations applies a page of evacuations.
func (f *Front) applyEvacuations(page tamarackrun.Page) {
	f.registry.ApplyEvacuations(time.Now(), page)
}

// applyInstances applies a page of instance records.
func (f *Front) applyInstances(page tamarackrun.Page, _ bool) {
	f.members.Apply(page)
	f.instancesKnown.Store(true)
	f.updateReady()
}

// applyServers applies a page of server records.
func (f *Front) applyServers(page tamarackrun.Page, reconnected bool) {
	f.registry.ApplyServers(time.Now(), page, reconnected)
	f.serversKnown.Store(true)
	f.updateReady()
}

// applyConfiguration puts a configuration in force if its version is above the
// version in force.
func (f *Front) applyConfiguration(page tamarackrun.Page, _ bool) {
	for _, r := range page.Records {
		if r.Problem != "" {
			f.history.Record(event.ConfigurationRejected, "", "record", r.Name, "problem", r.Problem)
			continue
		}
		if r.Configuration == nil || r.Configuration.Version <= f.configurationVersion() {
			continue
		}
		f.snapshot.Store(r.Configuration)
		f.configurationSince.Store(time.Now().UnixMilli())
		f.history.Record(event.ConfigurationAccepted, "", "version", strconv.FormatInt(r.Configuration.Version, 10),
			"routes", strconv.Itoa(len(r.Configuration.Routes)), "organisations", strconv.Itoa(len(r.Configuration.Organisations)))
	}
	f.updateReady()
}

// updateReady marks the instance as ready once it has a configuration and has
// read the servers and the instances.
func (f *Front) updateReady() {
	ready := f.snapshot.Load() != nil && f.serversKnown.Load() && f.instancesKnown.Load()
	if ready && !f.members.IsReady() {
		f.history.Record(event.Ready, "", "version", strconv.FormatInt(f.configurationVersion(), 10))
	}
	f.members.SetReady(ready)
}
