package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"tamarackrun/internal/standin/partition"
	"tamarackrun/platform/standin"
)

const (
	// firstDisturbance is how long after the start the first disturbance may begin.
	firstDisturbance = 2 * time.Second
	// A seed schedules at least minDisturbances and fewer than maxDisturbances
	// disturbances. A rolling restart counts as one.
	minDisturbances, maxDisturbances = 6, 24
	// laterStream is the random stream of the kinds that were added after seeds had been
	// recorded, whose disturbances must stay. A seed has fewer than maxLater of them.
	laterStream = 1 << 20
	maxLater    = 4
	// linkStream is the random stream of the cuts from all servers, of which a seed has fewer than
	// maxLinkCuts.
	linkStream  = 1 << 21
	maxLinkCuts = 3
	// The same stream has fewer than maxRests servers that want rest, for minRest to maxRest.
	maxRests         = 3
	minRest, maxRest = 800 * time.Millisecond, 2500 * time.Millisecond
	// evacuationStream is the random stream of the evacuations that no watch delivers, of which a
	// seed has fewer than maxMissed.
	evacuationStream = 1 << 22
	maxMissed        = 3
	// garbledStream is the random stream of the servers that send invalid heads, of which a seed has fewer
	// than maxGarbled.
	garbledStream = 1 << 26
	maxGarbled    = 3
	// One seed in plannedOneIn has planned disturbances only, as many rules are
	// stricter then.
	plannedOneIn = 3
	// minDuration and maxDuration bound the duration of a disturbance.
	minDuration = 300 * time.Millisecond
	maxDuration = 4 * time.Second
	// serverHeartbeat is the longest time until a server's record says that it is cold.
	serverHeartbeat = 1500 * time.Millisecond
)

// disturb schedules the disturbances of a seed, which may overlap.
func (h *harness) disturb(ctx context.Context, seed uint64, length time.Duration, group *sync.WaitGroup) {
	r, later := rand.New(rand.NewPCG(seed, 0)), rand.New(rand.NewPCG(seed, laterStream))
	last := length - recoveryTime - bounds.DetectionBound
	kinds := allKinds
	if r.IntN(plannedOneIn) == 0 {
		kinds = plannedKinds
	}
	schedule := func(r *rand.Rand, kind kind) {
		at := firstDisturbance + time.Duration(r.Int64N(int64(last-firstDisturbance-minDuration)))
		duration := min(minDuration+time.Duration(r.Int64N(int64(maxDuration-minDuration))), last-at)
		source := rand.New(rand.NewPCG(r.Uint64(), 0))
		group.Go(func() {
			sleep(ctx, at)
			kind(ctx, h, source, duration)
		})
	}
	for range minDisturbances + r.IntN(maxDisturbances-minDisturbances) {
		schedule(r, kinds[r.IntN(len(kinds))])
	}
	for range later.IntN(maxLater) {
		schedule(later, laterKinds[later.IntN(len(laterKinds))])
	}
	links := rand.New(rand.NewPCG(seed, linkStream))
	spared := links.IntN(len(h.instances))
	for range links.IntN(maxLinkCuts) {
		schedule(links, cutFromServers(spared))
	}
	for range links.IntN(maxRests) {
		schedule(links, serverKind(wantsRest, wantRest))
	}
	evacuations := rand.New(rand.NewPCG(seed, evacuationStream))
	for range evacuations.IntN(maxMissed) {
		schedule(evacuations, missEvacuation)
	}
	crashes := rand.New(rand.NewPCG(seed, crashStream))
	for range crashes.IntN(maxCrashing) {
		schedule(crashes, crashServers)
	}
	h.disturbByCopies(seed, schedule)
	h.disturbByStorms(seed, schedule)
	garbled := rand.New(rand.NewPCG(seed, garbledStream))
	for range garbled.IntN(maxGarbled) {
		schedule(garbled, serverKind("sends invalid heads", misbehave(standin.SendInvalidHeads)))
	}
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// kind runs a disturbance of one kind and returns when it is over.
type kind func(ctx context.Context, h *harness, r *rand.Rand, duration time.Duration)

// allKinds are chosen with the same probability. Some are listed twice, so that
// disturbances of instances, of the store, of servers and by operators are about
// equally frequent.
var allKinds = []kind{
	instanceKind("kill", func(ctx context.Context, in *instance, duration time.Duration) {
		in.kill()
		sleep(ctx, duration)
		in.mustStart()
	}),
	killAll,
	instanceKind("pause", func(ctx context.Context, in *instance, duration time.Duration) {
		in.signal(syscall.SIGSTOP, false)
		sleep(ctx, duration)
		in.signal(syscall.SIGCONT, false)
	}),
	instanceKind("cut from the store", disturbStoreLink(stalled)),
	instanceKind("no answers from the store", disturbStoreLink(answersStalled)),
	instanceKind("refused by the store", disturbStoreLink(refusing)),
	rollingRestart, rollingRestart, hangup,
	storeKind("store down", standin.StoreFaults{Status: http.StatusServiceUnavailable}),
	storeKind("store slow", standin.StoreFaults{Delay: 300 * time.Millisecond}),
	storeKind("store loses answers", standin.StoreFaults{LoseAnswers: true}),
	storeKind("store is silent to watches", standin.StoreFaults{SilentWatches: true}),
	compactStore,
	restartKind("crash", false, crash),
	restartKind("crash", false, crash),
	serverKind("loses answers", misbehave(standin.LoseAnswers)),
	serverKind("truncates answers", misbehave(standin.TruncateAnswers)),
	serverKind("answers other requests", misbehave(standin.AnswerWrongRequest)),
	serverKind("sends extra answers", misbehave(standin.SendExtraAnswers)),
	serverKind("fails requests", misbehave(standin.FailRequests)),
	serverKind("refuses requests", misbehave(standin.RefuseRequests)),
	serverKind("silent link", disturbLink(stalled, 0)),
	serverKind("link without answers", disturbLink(answersStalled, 0)),
	serverKind("slow link", disturbLink(open, 150*time.Millisecond)),
	serverKind("reset links", func(ctx context.Context, _ *harness, b *backend, _ *rand.Rand, duration time.Duration) {
		for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, 200*time.Millisecond) {
			b.link.reset()
		}
	}),
	drainKind, drainKind, restartKind("reuse", false, reuse),
	evacuate, evacuate, changeConfiguration, changeConfiguration, burst, limitKind, limitKind,
}

// drainKind is the planned stop of a server.
var drainKind = restartKind("drain", true, drain)

// limitKind is a server that names a rate limit.
var limitKind = restartKind("named limit", true, nameLimit)

// laterKinds are chosen by a random stream of their own.
var laterKinds = []kind{restoreStore, restartKind("leaves by its answers", true, leaveByAnswers)}

// plannedKinds are the kinds that operators carry out on purpose.
var plannedKinds = []kind{rollingRestart, rollingRestart, hangup, drainKind, drainKind, evacuate, changeConfiguration, burst, limitKind}

// instanceKind returns a kind that disturbs a random instance with f.
func instanceKind(name string, f func(ctx context.Context, in *instance, duration time.Duration)) kind {
	return func(ctx context.Context, h *harness, r *rand.Rand, duration time.Duration) {
		i := r.IntN(len(h.instances))
		d := h.disturbances.begin(disturbance{name: name, target: h.instances[i].settings.Name, scope: atInstance, instance: i})
		defer h.disturbances.end(d)
		f(ctx, h.instances[i], duration)
	}
}

// storeKind returns a kind in which the store has the faults.
func storeKind(name string, f standin.StoreFaults) kind {
	return func(ctx context.Context, h *harness, _ *rand.Rand, duration time.Duration) {
		d := h.disturbances.begin(disturbance{name: name, target: "store", scope: atStore})
		defer h.disturbances.end(d)
		h.store.SetFaults(f)
		sleep(ctx, duration)
		h.store.SetFaults(standin.StoreFaults{})
	}
}

// serverKind returns a kind that disturbs a random server with f.
func serverKind(name string, f func(ctx context.Context, h *harness, b *backend, r *rand.Rand, duration time.Duration)) kind {
	return func(ctx context.Context, h *harness, r *rand.Rand, duration time.Duration) {
		b := h.backends[r.IntN(len(h.backends))]
		d := h.disturbances.begin(disturbance{name: name, target: b.name, scope: atServer})
		defer h.disturbances.end(d)
		f(ctx, h, b, r, duration)
	}
}

// restartKind returns a kind that stops and starts a server. It does nothing while
// another one does so at the same server.
func restartKind(name string, planned bool, f func(ctx context.Context, h *harness, b *backend, r *rand.Rand, duration time.Duration)) kind {
	return func(ctx context.Context, h *harness, r *rand.Rand, duration time.Duration) {
		b := h.backends[r.IntN(len(h.backends))]
		if !b.restarting.TryLock() {
			return
		}
		defer b.restarting.Unlock()
		d := h.disturbances.begin(disturbance{name: name, target: b.name, scope: atServer, planned: planned})
		defer h.disturbances.end(d)
		f(ctx, h, b, r, duration)
	}
}

// cutFromServers returns a kind that cuts some instances, but never the spared one, off from all
// servers for longer than the time in which their callers must be served again.
func cutFromServers(spared int) kind {
	cuts := []struct {
		name string
		do   func(*partition.Listener, netip.Addr) error
	}{
		{"links to servers hang", (*partition.Listener).LoseAll},
		{"no new connections to servers", (*partition.Listener).LoseNew},
		{"links to servers reset", (*partition.Listener).Reset},
	}
	return func(ctx context.Context, h *harness, r *rand.Rand, duration time.Duration) {
		cut := cuts[r.IntN(len(cuts))]
		for _, i := range r.Perm(len(h.instances))[:1+r.IntN(len(h.instances)-1)] {
			if i == spared {
				continue
			}
			client := netip.MustParseAddr(h.instances[i].settings.IP)
			d := h.disturbances.begin(disturbance{name: cut.name, target: h.instances[i].settings.Name, scope: atLinks, instance: i})
			h.eachServerLink(client, cut.do)
			defer func() {
				h.eachServerLink(client, (*partition.Listener).Restore)
				h.disturbances.end(d)
			}()
		}
		sleep(ctx, bounds.DetectionBound+duration)
	}
}

// wantsRest is the name of the kind wantRest.
const wantsRest = "wants rest"

// wantRest makes a server turn requests away and say for how long it wants none.
func wantRest(ctx context.Context, h *harness, b *backend, r *rand.Rand, duration time.Duration) {
	rest := minRest + time.Duration(r.Int64N(int64(maxRest-minRest)))
	misbehave(func(v *standin.Server) standin.Behaviour {
		return standin.TurnAway(rest, func(from string) { h.history.recordTurnedAway(v.ID(), h.instanceAt(from), rest) })
	})(ctx, h, b, r, duration)
}

// eachServerLink calls f for the listener of the link from the client to each server.
func (h *harness) eachServerLink(client netip.Addr, f func(*partition.Listener, netip.Addr) error) {
	for _, b := range h.backends {
		if err := f(b.link.listener, client); err != nil {
			h.history.addViolation("SOAK", fmt.Sprintf("cannot change the link to %s: %v", b.name, err))
		}
	}
}

// misbehave returns a function that gives a server the behaviour for the duration.
func misbehave(f func(*standin.Server) standin.Behaviour) func(context.Context, *harness, *backend, *rand.Rand, time.Duration) {
	return func(ctx context.Context, _ *harness, b *backend, _ *rand.Rand, duration time.Duration) {
		b.setBehaviour(f)
		sleep(ctx, duration)
		b.setBehaviour(nil)
	}
}

// disturbLink returns a function that sets the mode and the delay of the link to a
// server for the duration.
func disturbLink(m mode, delay time.Duration) func(context.Context, *harness, *backend, *rand.Rand, time.Duration) {
	return func(ctx context.Context, _ *harness, b *backend, _ *rand.Rand, duration time.Duration) {
		b.link.setFor(ctx, m, delay, duration)
	}
}

// disturbStoreLink returns a function that sets the mode of the link from an
// instance to the store for the duration.
func disturbStoreLink(m mode) func(context.Context, *instance, time.Duration) {
	return func(ctx context.Context, in *instance, duration time.Duration) { in.store.setFor(ctx, m, 0, duration) }
}

// killAll kills all instances at the same moment.
func killAll(ctx context.Context, h *harness, _ *rand.Rand, duration time.Duration) {
	d := h.disturbances.begin(disturbance{name: "kill", target: "all instances", scope: atStore})
	defer h.disturbances.end(d)
	for _, in := range h.instances {
		in.kill()
	}
	sleep(ctx, duration)
	for _, in := range h.instances {
		in.mustStart()
	}
}

// rollingRestart stops and starts the instances in turn, some before the previous
// one is back.
func rollingRestart(ctx context.Context, h *harness, r *rand.Rand, _ time.Duration) {
	var group sync.WaitGroup
	for i, in := range h.instances {
		group.Go(func() {
			d := h.disturbances.begin(disturbance{name: "stop", target: in.settings.Name, scope: atInstance, instance: i, planned: true})
			defer h.disturbances.end(d)
			in.terminate()
			in.mustStart()
		})
		sleep(ctx, time.Second+time.Duration(r.Int64N(int64(2*time.Second))))
	}
	group.Wait()
}

// hangup sends SIGHUP to an instance after its settings file was truncated, and
// again after the file was restored.
func hangup(ctx context.Context, h *harness, r *rand.Rand, duration time.Duration) {
	i := r.IntN(len(h.instances))
	in := h.instances[i]
	d := h.disturbances.begin(disturbance{name: "hangup", target: in.settings.Name, scope: atInstance, instance: i, planned: true})
	defer h.disturbances.end(d)
	text := in.settings.Text()
	damaged := text[:r.IntN(len(text))]
	if os.WriteFile(in.settingsFile(), []byte(damaged), 0o600) == nil {
		in.signal(syscall.SIGHUP, false)
	}
	sleep(ctx, duration)
	if os.WriteFile(in.settingsFile(), []byte(text), 0o600) == nil {
		in.signal(syscall.SIGHUP, false)
	}
}

// compactStore makes the store drop its history of changes.
func compactStore(_ context.Context, h *harness, _ *rand.Rand, _ time.Duration) {
	d := h.disturbances.begin(disturbance{name: "history dropped", target: "store", scope: atStore})
	defer h.disturbances.end(d)
	h.store.Compact()
}

// restoreStore makes the store come back from a copy that is as old as the duration. What the copy
// lacks of the operators' desired state is written again at once, and the rest within a heartbeat.
func restoreStore(ctx context.Context, h *harness, r *rand.Rand, duration time.Duration) {
	d := h.disturbances.begin(disturbance{name: "store restored", target: "store", scope: atStore})
	defer h.disturbances.end(d)
	restored := h.store.Copy()
	sleep(ctx, duration)
	h.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	sleep(ctx, duration/4)
	replaced := h.store.Restore(restored)
	h.store.WriteAgain("config", restored, replaced)
	h.store.SetFaults(standin.StoreFaults{})
	sleep(ctx, time.Duration(r.Int64N(int64(serverHeartbeat))))
	for _, kind := range []string{"servers", "evacuations"} {
		h.store.WriteAgain(kind, restored, replaced)
	}
}

// leaveByAnswers makes a server say in its answers that it leaves, while its record says that it is
// ready, and stops it some time after the bound.
func leaveByAnswers(ctx context.Context, h *harness, b *backend, _ *rand.Rand, duration time.Duration) {
	id := b.id()
	h.mu.Lock()
	h.leavingFrom[id] = time.Now()
	h.mu.Unlock()
	b.setLeaving()
	sleep(ctx, bounds.DrainBound+duration)
	h.store.RemoveServer(id)
	h.noteLeave(id)
	b.crash()
	b.mustStart()
}

// crash stops a server without an announcement, removes its record later and starts
// the server again, which is cold then.
func crash(ctx context.Context, h *harness, b *backend, _ *rand.Rand, duration time.Duration) {
	id := b.id()
	b.crash()
	sleep(ctx, duration)
	h.store.RemoveServer(id)
	h.noteLeave(id)
	b.mustStart()
}

// drain announces that a server leaves, stops it after the drain bound and starts
// another.
func drain(ctx context.Context, h *harness, b *backend, r *rand.Rand, duration time.Duration) {
	id := b.id()
	if r.IntN(3) > 0 {
		b.announceLeave()
	} else {
		// Some servers leave without announcing it.
		h.store.RemoveServer(id)
	}
	h.noteLeave(id)
	sleep(ctx, bounds.DrainBound+300*time.Millisecond)
	h.store.RemoveServer(id)
	b.crash()
	sleep(ctx, duration/4)
	b.mustStart()
}

// reuse gives a server's address to a server of the other service without an
// announcement, and then back.
func reuse(ctx context.Context, h *harness, b *backend, _ *rand.Rand, duration time.Duration) {
	for range 2 {
		id := b.id()
		b.crash()
		b.switchService()
		b.mustStart()
		sleep(ctx, duration/2)
		h.store.RemoveServer(id)
		h.noteLeave(id)
	}
}

// nameLimit makes a server name a rate limit for longer than the time after which it must be
// kept.
func nameLimit(ctx context.Context, h *harness, b *backend, r *rand.Rand, duration time.Duration) {
	l := &namedLimit{server: b.id(), limit: 1 + 9*r.Float64()}
	b.setRateLimit(l.limit)
	l.from = time.Now()
	sleep(ctx, bounds.DetectionBound+duration)
	l.to = time.Now()
	b.setRateLimit(0)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = append(h.limits, l)
}

// evacuate evacuates one of the failure domains a1 and a2, unless it is being
// evacuated already. Its servers turn cold a second before the end.
func evacuate(ctx context.Context, h *harness, r *rand.Rand, duration time.Duration) {
	e := &evacuation{domain: []string{"a1", "a2"}[r.IntN(2)]}
	if !h.beginEvacuation(e) {
		// The store knows one evacuation of a failure domain, so that the end of
		// either would end both.
		return
	}
	d := h.disturbances.begin(disturbance{name: "evacuation", target: e.domain, scope: atServer, planned: true})
	defer h.disturbances.end(d)
	sleep(ctx, duration+bounds.EvacuateBound-time.Second)
	var records sync.WaitGroup
	for _, b := range h.backends {
		delay := time.Duration(r.Int64N(int64(serverHeartbeat)))
		if b.domain == e.domain && b.restarting.TryLock() {
			records.Go(func() {
				defer b.restarting.Unlock()
				b.turnCold(coldTime, delay)
			})
		}
	}
	sleep(ctx, time.Second)
	h.mu.Lock()
	e.to = time.Now()
	h.store.EndEvacuation(e.domain)
	h.mu.Unlock()
	records.Wait()
}

// missEvacuation evacuates a failure domain while watches of the store hear nothing, and drops the
// history: watches that wait never deliver the evacuation, and new ones are told that the history is
// gone.
func missEvacuation(ctx context.Context, h *harness, r *rand.Rand, duration time.Duration) {
	const pause = 200 * time.Millisecond
	d := h.disturbances.begin(disturbance{name: "missed evacuation", target: "store", scope: atStore})
	h.store.SetFaults(standin.StoreFaults{SilentWatches: true})
	sleep(ctx, pause)
	var group sync.WaitGroup
	group.Go(func() { evacuate(ctx, h, r, duration) })
	sleep(ctx, pause)
	h.store.CompactSilently()
	h.store.SetFaults(standin.StoreFaults{})
	h.disturbances.end(d)
	group.Wait()
}

// changeConfiguration writes up to five desired states in quick succession.
func changeConfiguration(ctx context.Context, h *harness, r *rand.Rand, _ time.Duration) {
	d := h.disturbances.begin(disturbance{name: "desired states", target: "store", scope: atStore, planned: true})
	defer h.disturbances.end(d)
	for range 1 + r.IntN(5) {
		change := h.moveRoute
		if r.IntN(2) == 0 {
			change = h.replaceKey
		}
		if err := change(); err != nil {
			h.history.addViolation("SOAK", fmt.Sprintf("cannot write the desired state: %v", err))
		}
		sleep(ctx, 300*time.Millisecond)
	}
}

// burst makes all callers send four times as fast.
func burst(ctx context.Context, h *harness, _ *rand.Rand, duration time.Duration) {
	set := func(n int) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.speedup = n
	}
	d := h.disturbances.begin(disturbance{name: "burst", target: "callers", scope: atServer, planned: true})
	defer h.disturbances.end(d)
	set(4)
	sleep(ctx, duration)
	set(1)
}
