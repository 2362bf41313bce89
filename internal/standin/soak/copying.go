package soak

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"tamarackrun/platform/standin"
)

const (
	// copyStream is the random stream of the answers that are written once more, of which a seed has fewer than
	// maxCopying times at all servers, maxReplaced replaced servers and maxAgain times in which callers send
	// refused requests again.
	copyStream                        = 1 << 24
	maxCopying, maxReplaced, maxAgain = 3, 4, 3
	// A copy that comes neither at once nor before the next answer comes minLate to maxLate later.
	minLate, maxLate = 100 * time.Millisecond, 2 * time.Second
	// A server is replaced every replaceEvery, and the record of the old one stays for recordLapse.
	replaceEvery, recordLapse = 600 * time.Millisecond, 2 * time.Second
)

// disturbByCopies schedules the kinds in which servers write answers once more. They count as planned, as the rules
// excuse nothing for them.
func (h *harness) disturbByCopies(seed uint64, schedule func(*rand.Rand, kind)) {
	r := rand.New(rand.NewPCG(seed, copyStream))
	for range r.IntN(maxCopying) {
		schedule(r, copyAnswers)
	}
	for range r.IntN(maxReplaced) {
		schedule(r, restartKind("replaced at its address", true, replaceAtAddress))
	}
	for range r.IntN(maxAgain) {
		schedule(r, sendAgain)
	}
}

// policy returns which answers a server writes once more, at random times.
func policy(copied func(status int) bool) *copyPolicy {
	f := func(status int) (time.Duration, bool) {
		delays := []time.Duration{standin.BeforeNext, standin.BeforeNext, 0, minLate + rand.N(maxLate-minLate)}
		return delays[rand.IntN(len(delays))], copied(status)
	}
	return &f
}

// copyAnswers makes all servers write refusals, or all answers, once more.
func copyAnswers(ctx context.Context, h *harness, r *rand.Rand, duration time.Duration) {
	name, copied := "copies refusals", standin.PromisesNotRun
	if r.IntN(2) == 0 {
		name, copied = "copies all answers", func(int) bool { return true }
	}
	h.copyFor(ctx, name, copied, duration)
}

// copyFor makes all servers write the answers with some statuses once more for the duration.
func (h *harness) copyFor(ctx context.Context, name string, copied func(status int) bool, duration time.Duration) {
	d := h.disturbances.begin(disturbance{name: name, target: "all servers", scope: atServer, planned: true})
	defer h.disturbances.end(d)
	for _, b := range h.backends {
		b.copies.Store(policy(copied))
		defer b.copies.Store(nil)
	}
	sleep(ctx, duration)
}

// replaceAtAddress replaces a server, which writes refusals once more, several times at its address. The new server refuses
// requests for the old one, whose record stays for a while.
func replaceAtAddress(ctx context.Context, h *harness, b *backend, _ *rand.Rand, duration time.Duration) {
	b.copies.Store(policy(standin.PromisesNotRun))
	defer b.copies.Store(nil)
	var group sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, replaceEvery) {
		old := b.id()
		b.replace()
		group.Go(func() {
			sleep(ctx, recordLapse)
			h.store.RemoveServer(old)
			h.noteLeave(old)
		})
	}
	group.Wait()
}

// sendAgain makes all servers refuse half of the requests and write the refusals once more, while callers send refused
// orders again with the same id.
func sendAgain(ctx context.Context, h *harness, _ *rand.Rand, duration time.Duration) {
	h.sendingAgain.Add(1)
	defer h.sendingAgain.Add(-1)
	refuseHalf := func(v *standin.Server) standin.Behaviour {
		refuse := standin.RefuseRequests(v)
		return func(w http.ResponseWriter, r *http.Request) bool { return rand.IntN(2) == 0 && refuse(w, r) }
	}
	for _, b := range h.backends {
		b.setBehaviour(refuseHalf)
		defer b.setBehaviour(nil)
	}
	h.copyFor(ctx, "refused orders come again", standin.PromisesNotRun, duration)
}

// exchangeAgain sends a refused order again with the same id, while callers do so, and reads its reply. What has run of it
// counts for both attempts: it must run once at most, and not at all if both are refused. It reports whether the
// connection can take another batch.
func (h *harness) exchangeAgain(c net.Conn, reader *bufio.Reader, batch []*call) bool {
	order := batch[0]
	if order.idempotent || !standin.PromisesNotRun(order.status) || h.sendingAgain.Load() == 0 {
		return true
	}
	h.history.checkRefused(order)
	return h.exchange(c, reader, batch)
}
