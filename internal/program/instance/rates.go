package instance

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/rate"
	"tamarackrun/internal/coordination/share"
	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/roster"
)

const (
	// shareInterval is the pause between two reads of the share records when
	// nothing changes.
	shareInterval = 2 * time.Second
	// shareRetryDelay is the first pause while a share is not at its target. It
	// doubles up to shareInterval.
	shareRetryDelay = 40 * time.Millisecond
	// candidateGrace is how long an instance that does not answer remains a
	// candidate for shares.
	candidateGrace = 30 * time.Second
	// startupGrace is how long after its start this instance treats instances that
	// it never heard of as candidates, so that a fleet that starts together
	// divides its rates only once.
	startupGrace = 10 * time.Second
	// returnSharesLimit bounds the return of the shares in a graceful shutdown
	// while the store is unavailable. It covers the end of a loan, since a share
	// cannot be returned earlier. When it passes, the shares stay unused as after
	// a kill: the other instances lack the upper half for share.DefaultUpperTerm
	// and the floor half for share.DefaultFloorTerm.
	returnSharesLimit = 2 * time.Second
)

// rateLimiter admits requests within the rate limits of their organisations.
// The limit of an organisation applies to the whole fleet: a few instances, its
// holders, each hold a share of it, and lend unused parts to the others.
type rateLimiter struct {
	in      *Instance
	pool    *rate.Pool
	started time.Duration

	// mu guards manager.
	mu      sync.Mutex
	manager *share.Manager
	holders holderTable

	queuesMu sync.Mutex
	queues   map[string]*tokenQueue
	// openExchanges holds the requests for loans that are waiting for an answer.
	openExchanges map[loanExchange]bool
	// returning holds the organisations whose unused borrowed parts are being
	// returned because other instances ask for them.
	returning map[string]bool
}

func newRateLimiter(in *Instance) *rateLimiter {
	pool := rate.NewPool()
	r := &rateLimiter{in: in, pool: pool, started: in.clock.Now(),
		queues: map[string]*tokenQueue{}, openExchanges: map[loanExchange]bool{}, returning: map[string]bool{},
		manager: share.New(in.store, in.clock, pool, in.history, in.incarnation)}
	r.manager.Silent = r.holders.isSilent
	return r
}

// run keeps this instance's shares at their targets until ctx ends.
func (r *rateLimiter) run(ctx context.Context) {
	go r.runBorrowing(ctx)
	var previous map[string]rate.Fraction
	delay := shareRetryDelay
	for ctx.Err() == nil {
		c := r.in.snapshot.Load()
		if c == nil {
			waiting.Pause(ctx, shareRetryDelay)
			continue
		}
		targets := r.targets(c)
		if !maps.Equal(targets, previous) {
			previous, delay = targets, shareRetryDelay
		}
		if r.updateShares(ctx, targets) {
			delay = shareInterval
		}
		// The random part keeps instances whose writes conflicted from conflicting
		// again.
		waiting.Pause(ctx, delay/2+rand.N(delay/2))
		delay = min(2*delay, shareInterval)
	}
}

// updateShares moves the shares towards their targets and reports whether
// nothing is left to do.
func (r *rateLimiter) updateShares(ctx context.Context, targets map[string]rate.Fraction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.in.leaving.Load() {
		return true
	}
	return r.manager.Reconcile(ctx, targets)
}

// setLimits applies the rate limits of a configuration.
func (r *rateLimiter) setLimits(c *configuration.Snapshot) {
	limits := map[string]rate.Limit{}
	for name, o := range c.Organisations {
		limits[name] = rate.Limit{Rate: o.Rate, Burst: o.Burst}
	}
	r.pool.SetLimits(r.in.clock.Now(), limits)
}

// isCandidate reports whether a member may hold shares.
func (r *rateLimiter) isCandidate(m roster.Member) bool {
	now := r.in.clock.Now()
	switch {
	case m.Listing.Name == r.in.Settings.Name:
		return true
	case m.Listing.Leaving:
		return false
	case m.State == nil:
		return now-r.started < startupGrace
	default:
		return m.State.Phase != roster.Leaving && now-m.LastHeartbeat < candidateGrace
	}
}

// stopLending makes no new loans, so that loans end while the instance still
// serves and returnShares need not wait for them.
func (r *rateLimiter) stopLending() {
	for _, b := range r.pool.Buckets() {
		b.StopLending()
	}
}

// returnShares returns the shares to the other instances. If the store is
// unavailable, the others reclaim them later.
func (r *rateLimiter) returnShares(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, returnSharesLimit)
	defer cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.manager.ReturnShares(ctx) {
		if ctx.Err() != nil {
			r.in.history.Record(event.ShareNotReturned, "", "incarnation", r.in.incarnation)
			return
		}
		waiting.Pause(ctx, shareRetryDelay)
	}
}

// isTokenExpired reports whether a request took its rate token too long ago.
// Without this limit, a process that was paused in between would run the
// requests of an earlier second in addition to the present ones.
func isTokenExpired(request tamarackrun.Request, now time.Duration) bool {
	return request.Organisation != "" && now-request.Admitted > tokenLifetime
}
