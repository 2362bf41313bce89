package instance

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/rate"
)

const (
	// waitLimit is how long a request waits for a token. It covers two round
	// trips between regions.
	waitLimit = 300 * time.Millisecond
	// serveInterval is the pause between two looks for refilled tokens while
	// requests wait.
	serveInterval = 5 * time.Millisecond
	// tokenLifetime is how long a request may take from its token to its
	// dispatch.
	tokenLifetime = 2 * time.Second
)

// queue holds the requests of one organisation that wait for a token, in the
// order of their arrival.
type queue struct {
	// length is the number of waiting requests, for a look without the lock.
	length atomic.Int64
	// wake says that tokens may have arrived.
	wake chan struct{}

	mu      sync.Mutex
	waiting []chan time.Duration
	serving bool
	// nextRound and backoff space the rounds of borrowing.
	nextRound, backoff time.Duration
}

func (r *rates) queue(organisation string) *queue {
	r.queuesMu.Lock()
	defer r.queuesMu.Unlock()
	q := r.queues[organisation]
	if q == nil {
		q = &queue{wake: make(chan struct{}, 1)}
		r.queues[organisation] = q
	}
	return q
}

// admit takes a token of the organisation and returns when it was taken. It
// waits a short time for one.
func (r *rates) admit(ctx context.Context, organisation string, deadline time.Duration) (time.Duration, tamarackrun.Outcome) {
	b := r.pool.Bucket(organisation)
	if b == nil {
		return 0, tamarackrun.Refused(tamarackrun.RateExceeded)
	}
	q := r.queue(organisation)
	now := r.in.clock.Now()
	if q.length.Load() > 0 {
		b.CountRequest(now)
	} else if b.Admit(now) {
		return now, tamarackrun.Done
	}
	wait := min(waitLimit, deadline-now)
	token := make(chan time.Duration, 1)
	if wait <= 0 || !r.enqueue(organisation, q, b, token) {
		return 0, tamarackrun.Refused(tamarackrun.RateExceeded)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	reason := tamarackrun.RateExceeded
	select {
	case taken := <-token:
		return taken, tamarackrun.Done
	case <-timer.C:
	case <-ctx.Done():
		reason = tamarackrun.CallerCancelled
	}
	q.remove(token)
	select {
	case taken := <-token:
		return taken, tamarackrun.Done
	default:
		return 0, tamarackrun.Refused(reason)
	}
}

// enqueue adds a request unless more wait than can get a token in time.
func (r *rates) enqueue(organisation string, q *queue, b *rate.Bucket, token chan time.Duration) bool {
	limit := b.Limit()
	q.mu.Lock()
	defer q.mu.Unlock()
	if float64(len(q.waiting)) > limit.Rate*waitLimit.Seconds()+limit.Burst {
		return false
	}
	q.waiting = append(q.waiting, token)
	q.length.Store(int64(len(q.waiting)))
	if !q.serving {
		q.serving = true
		go r.serve(organisation, q, b)
	}
	return true
}

func (q *queue) remove(token chan time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.waiting {
		if other == token {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	q.length.Store(int64(len(q.waiting)))
}

// serve hands tokens to waiting requests and borrows until none waits.
func (r *rates) serve(organisation string, q *queue, b *rate.Bucket) {
	for {
		waiting := q.grant(b, r.in.clock)
		if waiting == 0 {
			return
		}
		r.borrow(organisation, q, b, waiting)
		select {
		case <-q.wake:
		case <-time.After(serveInterval):
		}
	}
}

// grant gives the tokens that there are to the requests that wait longest.
func (q *queue) grant(b *rate.Bucket, clock tamarackrun.Clock) (waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.waiting) > 0 {
		now := clock.Now()
		if !b.Take(now) {
			break
		}
		q.waiting[0] <- now
		q.waiting = q.waiting[1:]
	}
	q.length.Store(int64(len(q.waiting)))
	q.serving = len(q.waiting) > 0
	return len(q.waiting)
}
