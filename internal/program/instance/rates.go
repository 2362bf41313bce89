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
	// shareInterval is the pause between two looks at the share records when
	// nothing changes.
	shareInterval = 2 * time.Second
	// shareRetry is the first pause while a share is not at its target. It
	// doubles up to shareInterval.
	shareRetry = 40 * time.Millisecond
	// candidateGrace is how long an instance that does not answer stays a
	// candidate for shares.
	candidateGrace = 30 * time.Second
	// firstContact is how long after the start instances that were never
	// heard of are candidates, so that a fleet that starts together divides
	// its rates once.
	firstContact = 10 * time.Second
	// handBackLimit bounds a planned stop while the store is out. It covers the
	// end of a loan, since the share cannot be returned before. When it passes,
	// the shares are stranded as after a kill: the others lack the upper half
	// for share.DefaultUpper and the floor half for share.DefaultFloor.
	handBackLimit = 2 * time.Second
)

// rates admits requests within the rates of their organisations.
type rates struct {
	in      *Instance
	pool    *rate.Pool
	started time.Duration

	// mu guards manager.
	mu        sync.Mutex
	manager   *share.Manager
	placement placement

	queuesMu sync.Mutex
	queues   map[string]*queue
	// asking holds the lenders with an open exchange, by organisation.
	asking map[exchange]bool
	// returning holds the organisations whose unused parts are being returned
	// because others ask.
	returning map[string]bool
}

func newRates(in *Instance) *rates {
	pool := rate.NewPool()
	r := &rates{in: in, pool: pool, started: in.clock.Now(), queues: map[string]*queue{}, asking: map[exchange]bool{}, returning: map[string]bool{},
		manager: share.New(in.store, in.clock, pool, in.history, in.incarnation)}
	r.manager.Silent = r.placement.isSilent
	return r
}

// run keeps the own shares until ctx ends.
func (r *rates) run(ctx context.Context) {
	go r.keepBorrowing(ctx)
	var previous map[string]rate.Fraction
	delay := shareRetry
	for ctx.Err() == nil {
		c := r.in.snapshot.Load()
		if c == nil {
			waiting.Pause(ctx, shareRetry)
			continue
		}
		targets := r.targets(c)
		if !maps.Equal(targets, previous) {
			previous, delay = targets, shareRetry
		}
		if r.step(ctx, targets) {
			delay = shareInterval
		}
		// The random part keeps instances that met in a conflict from meeting
		// again.
		waiting.Pause(ctx, delay/2+rand.N(delay/2))
		delay = min(2*delay, shareInterval)
	}
}

func (r *rates) step(ctx context.Context, targets map[string]rate.Fraction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.in.leaving.Load() {
		return true
	}
	return r.manager.Reconcile(ctx, targets)
}

// share puts the limits of a configuration in force.
func (r *rates) share(c *configuration.Snapshot) {
	limits := map[string]rate.Limit{}
	for name, o := range c.Organisations {
		limits[name] = rate.Limit{Rate: o.Rate, Burst: o.Burst}
	}
	r.pool.SetLimits(r.in.clock.Now(), limits)
}

func (r *rates) isCandidate(m roster.Member) bool {
	now := r.in.clock.Now()
	switch {
	case m.Listing.Name == r.in.Settings.Name:
		return true
	case m.Listing.Leaving:
		return false
	case m.State == nil:
		return now-r.started < firstContact
	default:
		return m.State.Phase != roster.Leaving && now-m.LastHeartbeat < candidateGrace
	}
}

// stopLending lets the loans end while the instance still serves, so that the
// hand-back need not wait for them.
func (r *rates) stopLending() {
	for _, b := range r.pool.Buckets() {
		b.StopLending()
	}
}

// handBack returns the shares to the other instances. If the store is out, the
// others reclaim them later.
func (r *rates) handBack(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handBackLimit)
	defer cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	for !r.manager.HandBack(ctx) {
		if ctx.Err() != nil {
			r.in.history.Record(event.ShareNotReturned, "", "incarnation", r.in.incarnation)
			return
		}
		waiting.Pause(ctx, shareRetry)
	}
}

// isHeldTooLong says that a request waited too long since it took its token: a
// process that was paused in between would otherwise add an old second's
// requests to the present one.
func isHeldTooLong(request tamarackrun.Request, now time.Duration) bool {
	return request.Organisation != "" && now-request.Admitted > tokenLifetime
}
