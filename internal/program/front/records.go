package front

import (
	"cmp"
	"context"
	"strconv"
	"sync"
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
		Known:    func(c tamarackrun.Collection) tamarackrun.Position { return f.known[c].Position() },
		Reported: func(c tamarackrun.Collection) tamarackrun.Position { return f.verifier.Reported(c) },
		Dial:     func(address string) tamarackrun.RecordReader { return &remoteReader{front: f, address: address} }}
	bound := min(t.DrainBound, t.ApplyBound, t.EvacuateBound)
	f.verifier = &verify.Verifier{Store: f.Store, PropagationBound: bound, HeartbeatInterval: t.ServerHeartbeat,
		Rank:        func() int { return f.members.Rank() },
		Apply:       f.learnElsewhere,
		StoreFailed: f.source.StoreUnreachable,
		ReadsStore:  f.source.ReadsStore,
		Resync:      f.resync}
	f.registry.StoreStable = f.verifier.StoreStable
	f.followers = map[tamarackrun.Collection]*follow.Follower{
		tamarackrun.Configurations: {},
		tamarackrun.Evacuations:    {},
		tamarackrun.Instances:      {MinInterval: instanceInterval},
		tamarackrun.Servers:        {MinInterval: time.Duration(serverIntervalFraction * float64(bound)), MaxBackoff: maxServerBackoff},
	}
	for collection, follower := range f.followers {
		f.known[collection] = records.New()
		f.learning[collection], f.reads[collection] = &sync.Mutex{}, &storeRead{running: make(chan struct{}, 1)}
		follower.Apply = func(page tamarackrun.Page, reconnected bool) {
			page.Reconnected = page.Reconnected || reconnected
			f.learnFollowed(collection, page)
		}
		follower.Known = f.known[collection].Position
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
	known, reported := f.known[c].Position(), f.verifier.Reported(c)
	f.history.Record(event.ChangeOverdue, "", "collection", c.String(), "revision", strconv.FormatInt(known.Revision, 10),
		"era", strconv.FormatInt(known.Era, 10), "reportedRevision", strconv.FormatInt(reported.Revision, 10),
		"reportedEra", strconv.FormatInt(reported.Era, 10))
	if !f.source.CatchUp(c) {
		f.followers[c].Resync()
	}
}

// learn applies a page of a collection, whoever read it: to the copy that is served to others, which
// tells what of it is new, and then to the part of the instance that uses the records. It reports
// whether the page has changed something.
func (f *Front) learn(c tamarackrun.Collection, page tamarackrun.Page) (changed bool) {
	f.learning[c].Lock()
	defer f.learning[c].Unlock()
	before := f.known[c].Position()
	update := f.known[c].Apply(page)
	if now := f.known[c].Position(); before != (tamarackrun.Position{}) && before.Era < now.Era {
		f.history.Record(event.StoreRestored, "", "collection", c.String(),
			"era", strconv.FormatInt(now.Era, 10), "revision", strconv.FormatInt(now.Revision, 10),
			"previousEra", strconv.FormatInt(before.Era, 10), "previousRevision", strconv.FormatInt(before.Revision, 10))
		f.crashes.ForgetSaved()
	}
	switch c {
	case tamarackrun.Configurations:
		f.applyConfiguration(update.Page)
	case tamarackrun.Servers:
		f.applyServers(update.Page)
	case tamarackrun.Evacuations:
		f.applyEvacuations(update.Page)
	case tamarackrun.Instances:
		f.applyInstances(update.Page)
	}
	f.verifier.Applied(c, update.Page, update.Vanished)
	return update.Changed
}

// learnFollowed applies a page that the collection's follower has read.
func (f *Front) learnFollowed(c tamarackrun.Collection, page tamarackrun.Page) {
	changed := f.learn(c, page)
	if page.Full {
		f.recordRead(c, page, changed)
	}
}

// learnElsewhere applies a whole collection that its follower has not read. If it has changed
// something, the follower's watch has missed that and is renewed.
func (f *Front) learnElsewhere(c tamarackrun.Collection, page tamarackrun.Page) {
	if f.learn(c, page) {
		f.recordRead(c, page, true)
		f.followers[c].Renew()
	}
}

// recordRead records the read of a whole collection.
func (f *Front) recordRead(c tamarackrun.Collection, page tamarackrun.Page, changed bool) {
	f.history.Record(event.CollectionRead, "", "collection", c.String(), "reader", page.Reader, "records", strconv.Itoa(len(page.Records)),
		"era", strconv.FormatInt(page.Position.Era, 10), "revision", strconv.FormatInt(page.Position.Revision, 10),
		"changed", strconv.FormatBool(changed))
}

// storeRead is the latest read of a collection from the store for another instance.
type storeRead struct {
	// running holds a value while a read is running, which guards the other field.
	running chan struct{}
	// began is when the latest read that succeeded began.
	began time.Time
}

// readFor reads a collection from the store because another instance knows of a change at a position
// that this one does not have: its own watch may have missed it. Instances that ask at the same time
// share a read.
func (f *Front) readFor(ctx context.Context, c tamarackrun.Collection, position tamarackrun.Position) error {
	asked := time.Now()
	read := f.reads[c]
	select {
	case read.running <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-read.running }()
	if !read.began.After(asked) && f.known[c].Position().Before(position) {
		began := time.Now()
		page, err := f.source.ReadStore(ctx, c)
		if err != nil {
			return err
		}
		read.began = began
		f.learnElsewhere(c, page)
	}
	if f.known[c].Position().Before(position) {
		return errReaderBehind
	}
	return nil
}

// applyEvacuations applies a page of evacuations.
func (f *Front) applyEvacuations(page tamarackrun.Page) {
	f.registry.ApplyEvacuations(time.Now(), page)
	if page.Full && !f.evacuationsKnown.Swap(true) {
		f.updateReady()
	}
}

// applyInstances applies a page of instance records.
func (f *Front) applyInstances(page tamarackrun.Page) {
	f.members.Apply(page)
	if !f.instancesKnown.Swap(true) {
		close(f.instancesRead)
	}
}

// applyServers applies a page of server records.
func (f *Front) applyServers(page tamarackrun.Page) {
	f.registry.ApplyServers(time.Now(), page, page.Reconnected)
	f.serversKnown.Store(true)
	f.updateReady()
}

// applyConfiguration puts a configuration in force if its version is above the
// version in force.
func (f *Front) applyConfiguration(page tamarackrun.Page) {
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
// the evacuations, and knows its part of the limits and the refused requests.
func (f *Front) updateReady() {
	ready := f.snapshot.Load() != nil && f.serversKnown.Load() && f.evacuationsKnown.Load() && f.partKnown.Load() && f.suspectsKnown.Load()
	if ready && !f.members.IsReady() {
		f.history.Record(event.Ready, "", "version", strconv.FormatInt(f.configurationVersion(), 10))
	}
	f.members.SetReady(ready)
}
