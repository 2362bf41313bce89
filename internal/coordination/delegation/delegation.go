// Package delegation chooses the instances that send requests to backend servers for an instance
// that reaches none, and converts deadlines to their clocks.
package delegation

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/membership"
)

const (
	// farPenalty is added to the outstanding requests of delegates in other regions, to which the
	// way takes some tens of milliseconds more.
	farPenalty = 16
	// leavingPenalty makes an instance that is leaving the last choice. It may be the only one with
	// links to the servers.
	leavingPenalty = 1000
	// doubtPenalty makes an instance that may have lost its links one of the last choices. It may be the only one that
	// has them.
	doubtPenalty = 1000
	// maxOutstanding bounds the outstanding requests of this instance at one delegate.
	maxOutstanding = 256
	// leadLifetime is how long the smallest delay of a clock value counts. Clocks drift apart.
	leadLifetime = 10 * time.Second
	// avoidTime is how long a delegate that can't help is not asked again. Its reports say so after
	// three intervals of 0.5 s at most.
	avoidTime = 1500 * time.Millisecond
	// doubtTime is how long a delegate that could not connect to servers counts as doubtful. By then it has noticed that
	// its links are lost, and has reported it.
	doubtTime = avoidTime
)

// delegate is what the instance knows of one delegate.
type delegate struct {
	outstanding int
	// process is the delegate's process, or 0 if it is not known, and lead how much further its
	// clock was than the clock of this instance, or less.
	process int64
	lead    time.Duration
	// leadAt is when the lead was computed.
	leadAt time.Duration
	// avoidUntil is the time until which the delegate's process is not chosen, avoidLeaving is true if that process was known
	// to be leaving, and doubtUntil is the time until which it is one of the last choices.
	avoidUntil, doubtUntil time.Duration
	avoidLeaving           bool
}

// Pool holds the delegates of one instance. Its exported fields are set before the first call. It is
// safe for concurrent use.
type Pool struct {
	// Name and Region are those of this instance.
	Name, Region string
	Clock        tamarackrun.Clock
	// Members returns all instances.
	Members func() []membership.Member

	mu sync.Mutex
	// delegates holds the delegates by their names.
	delegates map[string]*delegate
}

// Choose returns the delegate with the fewest outstanding requests and counts a request there until
// Done is called. Its region is in each of the lists; an empty list allows all regions. The tried
// ones are left out.
func (p *Pool) Choose(allowedRegions [][]string, tried []string) (membership.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best membership.Member
	bestLoad := 0.0
	for _, m := range p.Members() {
		if m.Name == p.Name || !m.HeardRecently || !m.Ready || m.ServersUnreachable || slices.Contains(tried, m.Name) ||
			slices.ContainsFunc(allowedRegions, func(list []string) bool { return len(list) > 0 && !slices.Contains(list, m.Region) }) {
			continue
		}
		d := p.get(m.Name)
		if d.outstanding >= maxOutstanding || d.avoided(p.Clock.Now(), m) {
			continue
		}
		// The fraction puts delegates with the same load in random order.
		load := float64(d.outstanding) + rand.Float64()
		if m.Region != p.Region {
			load += farPenalty
		}
		if m.Leaving {
			load += leavingPenalty
		}
		if p.Clock.Now() < d.doubtUntil {
			load += doubtPenalty
		}
		if best.Name == "" || load < bestLoad {
			best, bestLoad = m, load
		}
	}
	if best.Name == "" {
		return best, false
	}
	p.get(best.Name).outstanding++
	return best, true
}

// Done ends a request that Choose has counted.
func (p *Pool) Done(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(name).outstanding--
}

// NoteClock records the clock value that a delegate's process has just sent.
func (p *Pool) NoteClock(name string, process int64, value time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.get(name)
	now := p.Clock.Now()
	// The value is as old as its way here, so the true lead is larger.
	if lead := value - now; d.process != process || lead > d.lead || now-d.leadAt > leadLifetime {
		d.process, d.lead, d.leadAt = process, lead, now
	}
}

// Avoid records that a delegate can't help for a while. m is what Choose has returned.
func (p *Pool) Avoid(m membership.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.get(m.Name)
	d.avoidUntil, d.avoidLeaving = p.Clock.Now()+avoidTime, m.Leaving
}

// avoided reports whether the delegate has said that it can't help. One that was leaving then and no longer is has been
// started again.
func (d *delegate) avoided(now time.Duration, m membership.Member) bool {
	return now < d.avoidUntil && (m.Leaving || !d.avoidLeaving)
}

// Doubt records that a delegate could not connect to servers. Either the servers have failed, or its links to them.
func (p *Pool) Doubt(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(name).doubtUntil = p.Clock.Now() + doubtTime
}

// Forget drops the clock of a delegate, whose process may be another one now.
func (p *Pool) Forget(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.get(name).process = 0
}

// Deadline converts a time on this instance's clock to the clock of a delegate's process, where it
// is not later. ok is false if the process is not known.
func (p *Pool) Deadline(name string, at time.Duration) (process int64, deadline time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.get(name)
	return d.process, at + d.lead, d.process != 0
}

// get returns the state of a delegate. The caller holds p.mu.
func (p *Pool) get(name string) *delegate {
	if p.delegates == nil {
		p.delegates = map[string]*delegate{}
	}
	d := p.delegates[name]
	if d == nil {
		d = &delegate{}
		p.delegates[name] = d
	}
	return d
}
