package front

import (
	"cmp"
	"context"
	"strconv"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/follow"
	"tamarackrun/internal/coordination/source"
	"tamarackrun/internal/coordination/verify"
	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/state/records"
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
	// firstStartPause is the time for all instances to write their records when the whole
	// fleet starts. The users start them within 0.3 s of each other.
	firstStartPause = 600 * time.Millisecond
)

// openFollowers creates the followers of the store's collections and the
// verifier that finds changes which they missed.
func (f *Front) openFollowers() {
	t := f.terms.Load()
	f.source = &source.Source{Store: f.Store, Recorder: f.history, Reader: func() string { return f.members.Reader() },
		RemoteReader: func() string { return f.members.RemoteReader() }, OnAnswer: func() { f.verifier.StoreAnswered() },
		Dial: func(address string) tamarackrun.RecordReader { return &remoteReader{front: f, address: address} }}
	bound := min(t.DrainBound, t.ApplyBound, t.EvacuateBound)
	f.verifier = &verify.Verifier{Store: f.Store, PropagationBound: bound, HeartbeatInterval: t.ServerHeartbeat,
		Rank:             func() int { return f.members.Rank() },
		ApplyEvacuations: f.applyEvacuations,
		StoreFailed:      f.source.StoreUnreachable,
		ReadsStore:       f.source.ReadsStore,
		Resync:           f.resync}
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
		f.known[collection] = records.New()
		follower.Apply = func(page tamarackrun.Page, reconnected bool) {
			page.Reconnected = page.Reconnected || reconnected
			apply(page, page.Reconnected)
			f.verifier.Applied(collection, page)
			f.known[collection].Apply(page)
		}
		follower.Collection, follower.Store, follower.Recorder, follower.WatchTimeout = collection, f.source, f.history, watchTimeout
		follower.Paced = func() bool { return f.source.ReadsStore(collection) }
		follower.MaxBackoff = cmp.Or(follower.MaxBackoff, maxBackoff)
	}
}

// follow runs the follower of a collection. The instances are read first, because they tell
// which instance reads the other collections for this failure domain. When the whole fleet
// starts, they are read only after the others have had time to write their records.
func (f *Front) follow(ctx context.Context, collection tamarackrun.Collection, follower *follow.Follower) {
	switch {
	case collection != tamarackrun.Instances:
		waitFor(ctx, f.instancesRead)
	case f.Identity.FirstStart:
		waitFor(ctx, f.recordWritten)
		waiting.Pause(ctx, firstStartPause)
	}
	follower.Run(ctx)
}

// waitFor waits until the channel is closed or the context ends.
func waitFor(ctx context.Context, closed <-chan struct{}) {
	select {
	case <-closed:
	case <-ctx.Done():
	}
}

// resync reads a collection again, of which the instance has missed a change. If another
// instance reads it, the missing changes are asked for first.
func (f *Front) resync(c tamarackrun.Collection) {
	f.history.Record(event.ChangeOverdue, "", "collection", c.String())
	if !f.source.CatchUp(c) {
		f.followers[c].Resync()
	}
}

// applyEvacuations applies a page of evacuations.
func (f *Front) applyEvacuations(page tamarackrun.Page) {
	f.registry.ApplyEvacuations(time.Now(), page)
	if page.Full && !f.evacuationsKnown.Swap(true) {
		f.updateReady()
	}
}

// applyInstances applies a page of instance records.
func (f *Front) applyInstances(page tamarackrun.Page, _ bool) {
	f.members.Apply(page)
	if !f.instancesKnown.Swap(true) {
		close(f.instancesRead)
	}
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

// updateReady marks the instance as ready once it has a configuration, has read the servers and
// the evacuations, and knows its part of the limits.
func (f *Front) updateReady() {
	ready := f.snapshot.Load() != nil && f.serversKnown.Load() && f.evacuationsKnown.Load() && f.partKnown.Load()
	if ready && !f.members.IsReady() {
		f.history.Record(event.Ready, "", "version", strconv.FormatInt(f.configurationVersion(), 10))
	}
	f.members.SetReady(ready)
}
