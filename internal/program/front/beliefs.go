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
	// longWait is how long a watch without changes lasts. Each call has its
	// price. A watch may miss changes without an error: when the store dropped
	// its history, watches went on for 9 s without hearing of an evacuation.
	// The verifier finds such changes.
	longWait = 30 * time.Second
	// serverPace is the least time between two calls for servers' records, as a
	// part of the users' bound on changes, and instancePace that for records of
	// instances, of which reports tell too. Changes come in batches then.
	serverPace   = 0.2
	instancePace = time.Second
	// slowBackoff bounds the pause between failed calls, and serverBackoff that
	// for servers' records, which are needed first.
	slowBackoff   = time.Second
	serverBackoff = 400 * time.Millisecond
)

// openFollowers makes the followers of the store's collections.
func (f *Front) openFollowers() {
	t := f.terms.Load()
	bound := min(t.DrainBound, t.ApplyBound, t.EvacuateBound)
	f.verifier = &verify.Verifier{Feed: f.Store, PropagationBound: bound, HeartbeatInterval: t.ServerHeartbeat, Rank: func() int { return f.members.Rank() }, ApplyEvacuations: f.applyEvacuations,
		WatchFailed: func() bool { return f.follower[tamarackrun.Servers].LastCallFailed() },
		Resync:      func(c tamarackrun.Collection) { f.follower[c].Resync() }}
	f.registry.StoreStable = f.verifier.StoreStable
	f.follower = map[tamarackrun.Collection]*follow.Follower{
		tamarackrun.Configurations: {Apply: f.applyConfiguration},
		tamarackrun.Evacuations:    {Apply: func(page tamarackrun.Page, _ bool) { f.applyEvacuations(page) }},
		tamarackrun.Instances:      {MinInterval: instancePace, Apply: f.applyInstances},
		tamarackrun.Servers:        {MinInterval: time.Duration(serverPace * float64(bound)), MaxBackoff: serverBackoff, Apply: f.applyServers},
	}
	for collection, follower := range f.follower {
		apply := follower.Apply
		follower.Apply = func(page tamarackrun.Page, regained bool) {
			apply(page, regained)
			f.verifier.Applied(collection, page)
		}
		follower.Collection, follower.Feed, follower.Recorder, follower.WatchTimeout = collection, f.Store, f.history, longWait
		follower.MaxBackoff = cmp.Or(follower.MaxBackoff, slowBackoff)
	}
}

func (f *Front) applyEvacuations(page tamarackrun.Page) {
	f.registry.ApplyEvacuations(time.Now(), page)
}

func (f *Front) applyInstances(page tamarackrun.Page, _ bool) {
	f.members.Apply(page)
	f.instancesKnown.Store(true)
	f.updateReady()
}

func (f *Front) applyServers(page tamarackrun.Page, regained bool) {
	f.registry.ApplyServers(time.Now(), page, regained)
	f.serversKnown.Store(true)
	f.updateReady()
}

// applyConfiguration puts a newer configuration in force and never an older one.
func (f *Front) applyConfiguration(page tamarackrun.Page, _ bool) {
	for _, r := range page.Records {
		if r.Problem != "" {
			f.history.Record(event.ConfigurationRejected, "", "record", r.Name, "problem", r.Problem)
			continue
		}
		if r.Configuration == nil || r.Configuration.Version <= f.version() {
			continue
		}
		f.snapshot.Store(r.Configuration)
		f.applied.Store(time.Now().UnixMilli())
		f.history.Record(event.ConfigurationAccepted, "", "version", strconv.FormatInt(r.Configuration.Version, 10),
			"routes", strconv.Itoa(len(r.Configuration.Routes)), "organisations", strconv.Itoa(len(r.Configuration.Organisations)))
	}
	f.updateReady()
}

// updateReady notes whether the instance knows enough to serve.
func (f *Front) updateReady() {
	ready := f.snapshot.Load() != nil && f.serversKnown.Load() && f.instancesKnown.Load()
	if ready && !f.members.IsReady() {
		f.history.Record(event.Ready, "", "version", strconv.FormatInt(f.version(), 10))
	}
	f.members.SetReady(ready)
}
