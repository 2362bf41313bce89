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
	// tokenWaitLimit is how long a request waits for a token. It covers two round
	// trips between regions.
	tokenWaitLimit = 300 * time.Millisecond
	// grantInterval is the pause between two checks for refilled tokens while
	// requests wait.
	grantInterval = 5 * time.Millisecond
	// tokenLifetime is the most time that may pass between taking a token and
	// dispatching the request.
	tokenLifetime = 2 * time.Second
)

// tokenQueue holds the requests of one organisation that wait for a token, in
// the order of their arrival.
type tokenQueue struct {
	// length is the number of waiting requests; it can be read without the lock.
	length atomic.Int64
	// wakeup holds a value when tokens may have arrived.
	wakeup chan struct{}

	mu      sync.Mutex
	waiting []chan time.Duration
	active  bool
	// nextRound is the earliest time of the next round of borrowing, and backoff
	// the pause before it.
	nextRound, backoff time.Duration
}

// queueOf returns the queue of an organisation and creates it if there is none.
func (r *rateLimiter) queueOf(organisation string) *tokenQueue {
	r.queuesMu.Lock()
	defer r.queuesMu.Unlock()
	q := r.queues[organisation]
	if q == nil {
		q = &tokenQueue{wakeup: make(chan struct{}, 1)}
		r.queues[organisation] = q
	}
	return q
}

// takeToken takes a token of the organisation and returns the time at which it
// was taken. If there is none, it waits for up to tokenWaitLimit.
func (r *rateLimiter) takeToken(ctx context.Context, organisation string, deadline time.Duration) (time.Duration, tamarackrun.Outcome) {
	b := r.pool.Bucket(organisation)
	if b == nil {
		return 0, tamarackrun.Refused(tamarackrun.RateExceeded)
	}
	q := r.queueOf(organisation)
	now := r.in.clock.Now()
	if q.length.Load() > 0 {
		b.CountRequest(now)
	} else if b.Admit(now) {
		return now, tamarackrun.Done
	}
	wait := min(tokenWaitLimit, deadline-now)
	granted := make(chan time.Duration, 1)
	if wait <= 0 || !r.enqueue(organisation, q, b, granted) {
		return 0, tamarackrun.Refused(tamarackrun.RateExceeded)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	reason := tamarackrun.RateExceeded
	select {
	case taken := <-granted:
		return taken, tamarackrun.Done
	case <-timer.C:
	case <-ctx.Done():
		reason = tamarackrun.CallerCancelled
	}
	q.remove(granted)
	select {
	case taken := <-granted:
		return taken, tamarackrun.Done
	default:
		return 0, tamarackrun.Refused(reason)
	}
}

// enqueue adds a request to the queue unless more requests wait than can get a
// token in time. It reports whether the request was added.
func (r *rateLimiter) enqueue(organisation string, q *tokenQueue, b *rate.Bucket, granted chan time.Duration) bool {
	limit := b.Limit()
	q.mu.Lock()
	defer q.mu.Unlock()
	if float64(len(q.waiting)) > limit.Rate*tokenWaitLimit.Seconds()+limit.Burst {
		return false
	}
	q.waiting = append(q.waiting, granted)
	q.length.Store(int64(len(q.waiting)))
	if !q.active {
		q.active = true
		go r.serveWaiting(organisation, q, b)
	}
	return true
}

// remove removes a request that no longer waits for a token.
func (q *tokenQueue) remove(granted chan time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, other := range q.waiting {
		if other == granted {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			break
		}
	}
	q.length.Store(int64(len(q.waiting)))
}

// serveWaiting hands tokens to waiting requests, and borrows more, until no
// request waits.
func (r *rateLimiter) serveWaiting(organisation string, q *tokenQueue, b *rate.Bucket) {
	for {
		waiting := q.grant(b, r.in.clock)
		if waiting == 0 {
			return
		}
		r.borrow(organisation, q, b, waiting)
		select {
		case <-q.wakeup:
		case <-time.After(grantInterval):
		}
	}
}

// grant gives the available tokens to the requests that have waited longest. It
// returns the number of requests that still wait.
func (q *tokenQueue) grant(b *rate.Bucket, clock tamarackrun.Clock) (waiting int) {
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
	q.active = len(q.waiting) > 0
	return len(q.waiting)
}
