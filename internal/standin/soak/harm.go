package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"tamarackrun/platform/standin"
)

const (
	// firstHarm is when the first trouble may start.
	firstHarm = 2 * time.Second
	// fewest and most troubles of a seed.
	fewest, mostTroubles = 6, 24
	// One seed in plannedPart has planned work only, as many rules bind more
	// strictly then.
	plannedPart = 3
	shortest    = 300 * time.Millisecond
	longest     = 4 * time.Second
)

// harm starts the troubles of a seed, which overlap.
func (w *world) harm(ctx context.Context, r *rand.Rand, length time.Duration, group *sync.WaitGroup) {
	last := length - calmEnd - bounds.DetectionBound
	kinds := kinds
	if r.IntN(plannedPart) == 0 {
		kinds = planned
	}
	for range fewest + r.IntN(mostTroubles-fewest) {
		kind := kinds[r.IntN(len(kinds))]
		at := firstHarm + time.Duration(r.Int64N(int64(last-firstHarm-shortest)))
		lasts := min(shortest+time.Duration(r.Int64N(int64(longest-shortest))), last-at)
		own := rand.New(rand.NewPCG(r.Uint64(), 0))
		group.Go(func() {
			sleep(ctx, at)
			kind(ctx, w, own, lasts)
		})
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// kind is a kind of trouble. It returns when the trouble is over.
type kind func(ctx context.Context, w *world, r *rand.Rand, lasts time.Duration)

// kinds are chosen with the same probability, so that those of instances, of the
// store, of servers and of operators have about the same part.
var kinds = []kind{
	memberKind("kill", func(ctx context.Context, m *member, lasts time.Duration) {
		m.kill()
		sleep(ctx, lasts)
		m.mustStart()
	}),
	killAll,
	memberKind("pause", func(ctx context.Context, m *member, lasts time.Duration) {
		m.signal(syscall.SIGSTOP, false)
		sleep(ctx, lasts)
		m.signal(syscall.SIGCONT, false)
	}),
	memberKind("cut from the store", harmStore(silent)),
	memberKind("no answers from the store", harmStore(oneWay)),
	memberKind("refused by the store", harmStore(refusing)),
	roll, roll, hangup,
	storeKind("store down", standin.StoreFaults{Status: http.StatusServiceUnavailable}),
	storeKind("store slow", standin.StoreFaults{Delay: 300 * time.Millisecond}),
	storeKind("store loses answers", standin.StoreFaults{LoseAnswers: true}),
	storeKind("store is silent to watches", standin.StoreFaults{SilentWatches: true}),
	compact,
	lifeKind("crash", false, crash),
	lifeKind("crash", false, crash),
	serverKind("loses answers", misbehave(standin.LoseAnswers)),
	serverKind("truncates answers", misbehave(standin.TruncateAnswers)),
	serverKind("answers others", misbehave(standin.AnswerWrongRequest)),
	serverKind("adds answers", misbehave(standin.SendExtraAnswers)),
	serverKind("fails requests", misbehave(standin.FailRequests)),
	serverKind("turns away", misbehave(standin.RefuseRequests)),
	serverKind("silent link", harmLink(silent, 0)),
	serverKind("link without answers", harmLink(oneWay, 0)),
	serverKind("slow link", harmLink(open, 150*time.Millisecond)),
	serverKind("reset links", func(ctx context.Context, _ *world, b *backend, _ *rand.Rand, lasts time.Duration) {
		for end := time.Now().Add(lasts); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, 200*time.Millisecond) {
			b.link.reset()
		}
	}),
	leaving, leaving, lifeKind("reuse", false, reuse), evacuate, changes, changes, burst,
}

// leaving is the planned end of a server's life.
var leaving = lifeKind("drain", true, drain)

// planned are the kinds that operators do on purpose.
var planned = []kind{roll, roll, hangup, leaving, leaving, evacuate, changes, burst}

func memberKind(name string, f func(ctx context.Context, m *member, lasts time.Duration)) kind {
	return func(ctx context.Context, w *world, r *rand.Rand, lasts time.Duration) {
		i := r.IntN(len(w.members))
		t := w.troubles.begin(trouble{kind: name, target: w.members[i].settings.Name, scope: atMember, member: i})
		defer w.troubles.end(t)
		f(ctx, w.members[i], lasts)
	}
}

func storeKind(name string, f standin.StoreFaults) kind {
	return func(ctx context.Context, w *world, _ *rand.Rand, lasts time.Duration) {
		t := w.troubles.begin(trouble{kind: name, target: "store", scope: atStore})
		defer w.troubles.end(t)
		w.store.SetFaults(f)
		sleep(ctx, lasts)
		w.store.SetFaults(standin.StoreFaults{})
	}
}

func serverKind(name string, f func(ctx context.Context, w *world, b *backend, r *rand.Rand, lasts time.Duration)) kind {
	return func(ctx context.Context, w *world, r *rand.Rand, lasts time.Duration) {
		b := w.backends[r.IntN(len(w.backends))]
		t := w.troubles.begin(trouble{kind: name, target: b.name, scope: atServer})
		defer w.troubles.end(t)
		f(ctx, w, b, r, lasts)
	}
}

// lifeKind is a kind that ends lives of a server and begins others. It does nothing
// while another one does so at the same server.
func lifeKind(name string, planned bool, f func(ctx context.Context, w *world, b *backend, r *rand.Rand, lasts time.Duration)) kind {
	return func(ctx context.Context, w *world, r *rand.Rand, lasts time.Duration) {
		b := w.backends[r.IntN(len(w.backends))]
		if !b.changing.TryLock() {
			return
		}
		defer b.changing.Unlock()
		t := w.troubles.begin(trouble{kind: name, target: b.name, scope: atServer, planned: planned})
		defer w.troubles.end(t)
		f(ctx, w, b, r, lasts)
	}
}

func misbehave(f func(*standin.Server) standin.Behaviour) func(context.Context, *world, *backend, *rand.Rand, time.Duration) {
	return func(ctx context.Context, _ *world, b *backend, _ *rand.Rand, lasts time.Duration) {
		b.behave(f)
		sleep(ctx, lasts)
		b.behave(nil)
	}
}

func harmLink(m mode, delay time.Duration) func(context.Context, *world, *backend, *rand.Rand, time.Duration) {
	return func(ctx context.Context, _ *world, b *backend, _ *rand.Rand, lasts time.Duration) {
		b.link.harm(ctx, m, delay, lasts)
	}
}

func harmStore(m mode) func(context.Context, *member, time.Duration) {
	return func(ctx context.Context, member *member, lasts time.Duration) { member.store.harm(ctx, m, 0, lasts) }
}

// killAll kills all instances at the same moment.
func killAll(ctx context.Context, w *world, _ *rand.Rand, lasts time.Duration) {
	t := w.troubles.begin(trouble{kind: "kill", target: "all instances", scope: atStore})
	defer w.troubles.end(t)
	for _, m := range w.members {
		m.kill()
	}
	sleep(ctx, lasts)
	for _, m := range w.members {
		m.mustStart()
	}
}

// roll stops and starts the instances in turn, some before the last one is back.
func roll(ctx context.Context, w *world, r *rand.Rand, _ time.Duration) {
	var group sync.WaitGroup
	for i, m := range w.members {
		group.Go(func() {
			t := w.troubles.begin(trouble{kind: "stop", target: m.settings.Name, scope: atMember, member: i, planned: true})
			defer w.troubles.end(t)
			m.terminate()
			m.mustStart()
		})
		sleep(ctx, time.Second+time.Duration(r.Int64N(int64(2*time.Second))))
	}
	group.Wait()
}

// hangup has an instance read its settings again, at times a damaged file.
func hangup(ctx context.Context, w *world, r *rand.Rand, lasts time.Duration) {
	i := r.IntN(len(w.members))
	m := w.members[i]
	t := w.troubles.begin(trouble{kind: "hangup", target: m.settings.Name, scope: atMember, member: i, planned: true})
	defer w.troubles.end(t)
	text := m.settings.Text()
	damaged := text[:r.IntN(len(text))]
	if os.WriteFile(m.path(), []byte(damaged), 0o600) == nil {
		m.signal(syscall.SIGHUP, false)
	}
	sleep(ctx, lasts)
	if os.WriteFile(m.path(), []byte(text), 0o600) == nil {
		m.signal(syscall.SIGHUP, false)
	}
}

func compact(_ context.Context, w *world, _ *rand.Rand, _ time.Duration) {
	t := w.troubles.begin(trouble{kind: "history dropped", target: "store", scope: atStore})
	defer w.troubles.end(t)
	w.store.Compact()
}

// crash ends a server without a word. Its record goes later unless the server is
// back, which is cold then.
func crash(ctx context.Context, w *world, b *backend, _ *rand.Rand, lasts time.Duration) {
	id := b.id()
	b.crash()
	sleep(ctx, min(lasts, lapse))
	w.store.RemoveServer(id)
	w.leave(id)
	b.mustStart(coldTime)
}

// drain announces a server's leaving, ends it later and starts another.
func drain(ctx context.Context, w *world, b *backend, r *rand.Rand, lasts time.Duration) {
	id := b.id()
	if r.IntN(3) > 0 {
		b.leave()
	} else {
		// Some servers never say that they leave.
		w.store.RemoveServer(id)
	}
	w.leave(id)
	sleep(ctx, bounds.DrainBound+300*time.Millisecond)
	w.store.RemoveServer(id)
	b.crash()
	sleep(ctx, lasts/4)
	b.mustStart(coldTime)
}

// reuse gives a server's address to one of the other service without a word.
func reuse(ctx context.Context, w *world, b *backend, _ *rand.Rand, lasts time.Duration) {
	for range 2 {
		id := b.id()
		b.crash()
		b.swap()
		b.mustStart(coldTime)
		sleep(ctx, lasts/2)
		w.store.RemoveServer(id)
		w.leave(id)
	}
}

func evacuate(ctx context.Context, w *world, r *rand.Rand, lasts time.Duration) {
	e := &evacuation{zone: []string{"a1", "a2"}[r.IntN(2)]}
	if !w.begin(e) {
		// Another one would take this one back too.
		return
	}
	t := w.troubles.begin(trouble{kind: "evacuation", target: e.zone, scope: atServer, planned: true})
	defer w.troubles.end(t)
	sleep(ctx, lasts+bounds.EvacuateBound)
	w.mu.Lock()
	defer w.mu.Unlock()
	e.to = time.Now()
	w.store.EndEvacuation(e.zone)
}

// changes are desired states in quick succession.
func changes(ctx context.Context, w *world, r *rand.Rand, _ time.Duration) {
	t := w.troubles.begin(trouble{kind: "desired states", target: "store", scope: atStore, planned: true})
	defer w.troubles.end(t)
	for range 1 + r.IntN(5) {
		change := w.moveRoute
		if r.IntN(2) == 0 {
			change = w.revoke
		}
		if err := change(); err != nil {
			w.ledger.fail("SOAK", fmt.Sprintf("cannot write the desired state: %v", err))
		}
		sleep(ctx, 300*time.Millisecond)
	}
}

// burst makes all callers ask faster.
func burst(ctx context.Context, w *world, _ *rand.Rand, lasts time.Duration) {
	set := func(n int) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.burst = n
	}
	t := w.troubles.begin(trouble{kind: "burst", target: "callers", scope: atServer, planned: true})
	defer w.troubles.end(t)
	set(4)
	sleep(ctx, lasts)
	set(1)
}
