package rate

import (
	"math/rand/v2"
	"testing"
	"time"
)

const tick = 5 * time.Millisecond

// skew is a run in virtual time with all demand on one of the holders.
type skew struct {
	limit     Limit
	roundTrip time.Duration
	// at and killed say when the demand moves and whether the former entry
	// instance dies then.
	at     time.Duration
	killed bool
	seed   uint64

	now      time.Duration
	random   *rand.Rand
	nodes    []*node
	due      map[time.Duration][]func()
	messages int
}

type node struct {
	*Bucket
	dead               bool
	waiting            []time.Duration
	nextRound, backoff time.Duration
	recalledUntil      time.Duration
	open               map[[2]uint64]bool
}

func (s *skew) send(run func()) {
	at := (s.now + s.roundTrip/2 + tick).Truncate(tick)
	s.due[at] = append(s.due[at], run)
}

// ask is one exchange; like the product, one is open at a time for the same
// lender and loan.
func (s *skew) ask(from, to int, ask LoanRequest) {
	a, b, key := s.nodes[from], s.nodes[to], [2]uint64{uint64(to), ask.ID}
	if a.open[key] || b.dead {
		return
	}
	a.open[key] = true
	s.messages++
	requested := s.now
	ask.Borrower = name(from)
	s.send(func() {
		l := b.Lend(s.now, ask, s.random.Uint64())
		for _, peer := range b.BorrowersToRecall(s.now, ask, l) {
			s.messages++
			s.send(func() { s.recall(int(peer[0] - 'a')) })
		}
		s.send(func() {
			delete(a.open, key)
			if a.Accept(s.now, requested, name(to), ask, l) {
				a.backoff = 20 * time.Millisecond
				a.nextRound = min(a.nextRound, requested+a.backoff)
			}
		})
	})
}

// recall tells a borrower that others ask; it looks for what to return until
// the recall ends.
func (s *skew) recall(i int) {
	n := s.nodes[i]
	if !n.dead {
		n.NoteRecall(s.now)
		n.recalledUntil = s.now + RecallDuration
	}
}

func name(n int) string { return string(rune('a' + n)) }

func (s *skew) borrow(i int) {
	n := s.nodes[i]
	want := n.Shortfall(s.now, len(n.waiting))
	if want.Part == 0 && want.Tokens == 0 || s.now < n.nextRound {
		return
	}
	n.backoff = min(max(2*n.backoff, 20*time.Millisecond), 200*time.Millisecond)
	n.nextRound = s.now + n.backoff
	for other := range s.nodes {
		if other != i {
			s.ask(i, other, want.PerLender(len(s.nodes)-1))
		}
	}
}

func (s *skew) change(i int, list []LoanChange) {
	for _, c := range list {
		s.ask(i, int(c.Lender[0]-'a'), c.Request)
	}
}

// run returns the share of refused requests and the exchanges per second.
func (s *skew) run(perSecond float64, duration time.Duration) (refused, exchanges float64) {
	const instances, warmUp, waitLimit = 7, 5 * time.Second, 300 * time.Millisecond
	s.random, s.due = rand.New(rand.NewPCG(2310, s.seed)), map[time.Duration][]func(){}
	for _, b := range holders(instances, s.limit) {
		s.nodes = append(s.nodes, &node{Bucket: b, open: map[[2]uint64]bool{}})
	}
	next, sent, lost := warmUp, 0, 0
	for s.now = warmUp; s.now < warmUp+duration; s.now += tick {
		for _, run := range s.due[s.now] {
			run()
		}
		delete(s.due, s.now)
		entry := 0
		if s.now >= warmUp+s.at {
			entry, s.nodes[0].dead = 1, s.killed
		}
		for ; next <= s.now; next += time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second)) {
			sent++
			s.nodes[entry].CountRequest(s.now)
			s.nodes[entry].waiting = append(s.nodes[entry].waiting, s.now)
		}
		for i, n := range s.nodes {
			for len(n.waiting) > 0 && !n.dead && n.Take(s.now) {
				n.waiting = n.waiting[1:]
			}
			for len(n.waiting) > 0 && s.now-n.waiting[0] >= waitLimit {
				n.waiting, lost = n.waiting[1:], lost+1
			}
			if n.dead {
				continue
			}
			if s.now%(100*time.Millisecond) == 0 {
				s.change(i, n.Extensions(s.now))
			}
			if s.now%(100*time.Millisecond) == 0 || s.now < n.recalledUntil && s.now%(20*time.Millisecond) == 0 {
				s.change(i, n.ReturnUnused(s.now))
			}
			if len(n.waiting) > 0 || s.now%(100*time.Millisecond) == 0 {
				s.borrow(i)
			}
		}
	}
	return 100 * float64(lost) / float64(sent), float64(s.messages) / duration.Seconds()
}

// Guards against requests that are refused inside the rate when the demand
// moves and when the borrower dies.
func TestSkewedDemandIsServed(t *testing.T) {
	const seeds = 20
	for _, limit := range []Limit{{Rate: 200, Burst: 100}, {Rate: 20, Burst: 5}} {
		for _, roundTrip := range []time.Duration{0, 110 * time.Millisecond} {
			for _, c := range []struct {
				name   string
				at     time.Duration
				killed bool
				most   float64
			}{{"none", time.Hour, false, 1}, {"moved", 5 * time.Second, false, 2}, {"killed", 5 * time.Second, true, 10}} {
				refused, exchanges := 0.0, 0.0
				for seed := range uint64(seeds) {
					s := &skew{limit: limit, roundTrip: roundTrip, at: c.at, killed: c.killed, seed: seed}
					r, e := s.run(0.8*limit.Rate, 15*time.Second)
					refused, exchanges = refused+r/seeds, exchanges+e/seeds
				}
				t.Logf("rate %g, round trip %v, %s: %.2f%% refused, %.1f exchanges/s", limit.Rate, roundTrip, c.name, refused, exchanges)
				if refused > c.most {
					t.Errorf("more than %g%% are refused", c.most)
				}
			}
		}
	}
}
