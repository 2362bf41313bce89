// Package linkcheck finds out whether an instance has lost its links to all backend servers. The
// failure of a request may be the fault of its server. Links are checked by opening connections to
// several servers of different failure domains.
package linkcheck

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/state/registry"
)

const (
	// suspectAfter is the number of failures since the latest check that start another one, and
	// checkPause the least time between two checks.
	suspectAfter = 2
	checkPause   = 500 * time.Millisecond
	// failureMemory is how long after the first failure others count with it.
	failureMemory = 5 * time.Second
	// A check opens connections to sampleSize servers, one each stagger, until one succeeds. The first
	// is in the own region and answers within a few milliseconds.
	sampleSize = 6
	stagger    = 20 * time.Millisecond
	// While no server is reached, recheckSize servers are tried at each recheckInterval. The
	// instance counts as connected again after returnRounds rounds in a row with a success, which
	// follow each other at returnInterval.
	recheckSize     = 2
	recheckInterval = 250 * time.Millisecond
	returnRounds    = 3
	returnInterval  = 50 * time.Millisecond
)

// Checker checks the links of one instance. Its exported fields are set before Run. It is safe for
// concurrent use.
type Checker struct {
	// Region is the region of the instance.
	Region string
	// Servers returns the servers that may be tried.
	Servers func() []*registry.Server
	// Dial opens a connection to an address and closes it. Its time is bounded.
	Dial func(ctx context.Context, address string) error
	// OnChange is called when the instance has lost its links, with the time since which requests
	// may have failed because of that, and when it has them again, with the time of the loss.
	OnChange func(unreachable bool, since time.Time)

	// suspected receives a value when a check is due.
	suspected   chan struct{}
	unreachable atomic.Bool
	// suspicious is true from the failures that start a check until its end.
	suspicious atomic.Bool

	mu sync.Mutex
	// failures is the number of failures since the latest check, the first of which began at
	// firstFailure.
	failures     int
	firstFailure time.Time
	// reachableSince is when the instance had its links again; zero if it has never lost them.
	reachableSince time.Time
}

// New returns a checker that takes the links to work.
func New() *Checker { return &Checker{suspected: make(chan struct{}, 1)} }

// ServersUnreachable reports whether the instance has lost its links to all servers.
func (c *Checker) ServersUnreachable() bool { return c.unreachable.Load() }

// Suspected reports whether requests have failed and a check will soon show whether the links are lost.
func (c *Checker) Suspected() bool { return c.suspicious.Load() }

// Inconclusive reports whether the failure of a request that began at the given time says nothing
// about its server, since the links were lost then or later.
func (c *Checker) Inconclusive(began time.Time) bool {
	if c.unreachable.Load() {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return began.Before(c.reachableSince)
}

// ReportFailure records that a server gave no answer to a request that was sent at the given time.
func (c *Checker) ReportFailure(began time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if began.Sub(c.firstFailure) > failureMemory {
		c.failures = 0
	}
	if c.failures == 0 || began.Before(c.firstFailure) {
		c.firstFailure = began
	}
	if c.failures++; c.failures < suspectAfter {
		return
	}
	c.suspicious.Store(true)
	select {
	case c.suspected <- struct{}{}:
	default:
		// A check is due already.
	}
}

// Run checks the links when they are suspected, until the context ends.
func (c *Checker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-c.suspected:
		}
		if !c.reachesAny(ctx) && ctx.Err() == nil {
			c.awaitReturn(ctx)
		}
		c.clearFailures()
		waiting.Pause(ctx, checkPause)
	}
}

// clearFailures forgets the failures that a check has explained.
func (c *Checker) clearFailures() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = 0
	c.suspicious.Store(false)
	select {
	case <-c.suspected:
	default:
	}
}

// awaitReturn declares the links lost and waits until they work again.
func (c *Checker) awaitReturn(ctx context.Context) {
	c.mu.Lock()
	since := c.firstFailure
	c.mu.Unlock()
	c.unreachable.Store(true)
	c.OnChange(true, since)
	for rounds := 0; rounds < returnRounds; {
		pause := recheckInterval
		if rounds > 0 {
			pause = returnInterval
		}
		waiting.Pause(ctx, pause)
		if ctx.Err() != nil {
			return
		}
		rounds++
		if !c.anySucceeds(ctx, c.sample(recheckSize), 0) {
			rounds = 0
		}
	}
	c.mu.Lock()
	c.reachableSince = time.Now()
	c.mu.Unlock()
	c.unreachable.Store(false)
	c.OnChange(false, since)
}

// reachesAny reports whether the instance reaches a server. It does if it knows none.
func (c *Checker) reachesAny(ctx context.Context) bool {
	sample := c.sample(sampleSize)
	return len(sample) == 0 || c.anySucceeds(ctx, sample, stagger)
}

// anySucceeds opens a connection to one server after the other, each after the pause or the failure
// of the one before, and reports whether one succeeds.
func (c *Checker) anySucceeds(ctx context.Context, servers []*registry.Server, pause time.Duration) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan error, len(servers))
	for started, failed := 0, 0; failed < len(servers); {
		var next <-chan time.Time
		if started < len(servers) {
			address := servers[started].Address
			go func() { results <- c.Dial(ctx, address) }()
			started++
			next = time.After(pause)
		}
		select {
		case err := <-results:
			if err == nil {
				return true
			}
			failed++
		case <-next:
		}
	}
	return false
}

// sample returns at most n servers in random order, with the failure domains as different as
// possible and those of the own region first.
func (c *Checker) sample(n int) []*registry.Server {
	servers := slices.Clone(c.Servers())
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	seen, turns := map[string]int{}, map[*registry.Server]int{}
	for _, v := range servers {
		turns[v] = seen[v.FailureDomain]
		seen[v.FailureDomain]++
	}
	slices.SortStableFunc(servers, func(a, b *registry.Server) int { return turns[a] - turns[b] })
	servers = servers[:min(n, len(servers))]
	slices.SortStableFunc(servers, func(a, b *registry.Server) int { return c.distance(a) - c.distance(b) })
	return servers
}

// distance returns 0 for a server in the own region, and else 1.
func (c *Checker) distance(v *registry.Server) int {
	if v.Region == c.Region {
		return 0
	}
	return 1
}
