package instance

import (
	"context"
	"sync"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/rate"
	"tamarackrun/internal/state/configuration"
)

const rateInterval = time.Second

// rates holds this instance's part of the rate of each organisation.
type rates struct {
	in *Instance

	mu      sync.Mutex
	buckets map[string]*rate.Bucket
}

func newRates(in *Instance) *rates { return &rates{in: in, buckets: map[string]*rate.Bucket{}} }

func (r *rates) run(ctx context.Context) {
	for ctx.Err() == nil {
		if c := r.in.snapshot.Load(); c != nil {
			r.share(c)
		}
		pause(ctx, rateInterval)
	}
}

// share splits each rate equally over the listed instances.
func (r *rates) share(c *configuration.Snapshot) {
	parts := float64(max(1, len(r.in.roster.Members())))
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, o := range c.Organisations {
		if b, ok := r.buckets[name]; ok {
			b.SetShare(o.Rate/parts, o.Burst/parts)
		} else {
			r.buckets[name] = rate.New(o.Rate/parts, o.Burst/parts, r.in.clock)
		}
	}
}

// admit takes a token of the organisation.
func (r *rates) admit(_ context.Context, organisation string, _ time.Duration) tamarackrun.Outcome {
	r.mu.Lock()
	b := r.buckets[organisation]
	r.mu.Unlock()
	if b == nil || !b.Take() {
		return tamarackrun.Refused(tamarackrun.RateExceeded)
	}
	return tamarackrun.Done
}
