package rate

import (
	"math/rand/v2"
	"testing"
	"time"
)

const tick = 5 * time.Millisecond

// skewedRun is a run in virtual time with all demand on one of the holders, the entry
// instance.
type skewedRun struct {
	limit     Limit
	roundTrip time.Duration
	// moveAt is when the demand moves to another instance. killFormer is true if the
	// former entry instance is killed at that time.
	moveAt     time.Duration
	killFormer bool
	seed       uint64

	now       time.Duration
	random    *rand.Rand
	instances []*skewedInstance
	// scheduled holds the arriving messages by time.
	scheduled map[time.Duration][]func()
	messages  int
}

// skewedInstance is an instance of a skewedRun.
type skewedInstance struct {
	*Bucket
	dead bool
	// waiting holds the arrival times of the waiting requests.
	waiting             []time.Duration
	nextBorrow, backoff time.Duration
	recalledUntil       time.Duration
	// openRequests holds the loan requests without a reply, by lender and loan.
	openRequests map[[2]uint64]bool
}

// send delivers a message after half a round trip.
func (s *skewedRun) send(run func()) {
	at := (s.now + s.roundTrip/2 + tick).Truncate(tick)
	s.scheduled[at] = append(s.scheduled[at], run)
}

// requestLoan sends a request to a lender and handles the reply. As in production, only
// one request is open at a time for the same lender and loan.
func (s *skewedRun) requestLoan(from, to int, request LoanRequest) {
	borrower, lender, key := s.instances[from], s.instances[to], [2]uint64{uint64(to), request.ID}
	if borrower.openRequests[key] || lender.dead {
		return
	}
	borrower.openRequests[key] = true
	s.messages++
	requested := s.now
	request.Borrower = instanceName(from)
	s.send(func() {
		reply := lender.Lend(s.now, request, s.random.Uint64())
		for _, peer := range lender.BorrowersToRecall(s.now, request, reply) {
			s.messages++
			s.send(func() { s.recall(int(peer[0] - 'a')) })
		}
		s.send(func() {
			delete(borrower.openRequests, key)
			if borrower.Accept(s.now, requested, instanceName(to), request, reply) {
				borrower.backoff = 20 * time.Millisecond
				borrower.nextBorrow = min(borrower.nextBorrow, requested+borrower.backoff)
			}
		})
	})
}

// recall delivers a recall to a borrower, which checks for loans to return until the
// recall ends.
func (s *skewedRun) recall(i int) {
	in := s.instances[i]
	if !in.dead {
		in.NoteRecall(s.now)
		in.recalledUntil = s.now + RecallDuration
	}
}

func instanceName(n int) string { return string(rune('a' + n)) }

// borrow requests loans for an instance's shortfall, with a backoff between rounds.
func (s *skewedRun) borrow(i int) {
	in := s.instances[i]
	want := in.Shortfall(s.now, len(in.waiting))
	if want.Part == 0 && want.Tokens == 0 || s.now < in.nextBorrow {
		return
	}
	in.backoff = min(max(2*in.backoff, 20*time.Millisecond), 200*time.Millisecond)
	in.nextBorrow = s.now + in.backoff
	for other := range s.instances {
		if other != i {
			s.requestLoan(i, other, want.PerLender(len(s.instances)-1))
		}
	}
}

func (s *skewedRun) requestChanges(i int, list []LoanChange) {
	for _, c := range list {
		s.requestLoan(i, int(c.Lender[0]-'a'), c.Request)
	}
}

// run returns the percentage of refused requests, and the number of loan requests and
// recalls per second.
func (s *skewedRun) run(perSecond float64, duration time.Duration) (refused, messages float64) {
	const instances, warmUp, waitLimit = 7, 5 * time.Second, 300 * time.Millisecond
	s.random, s.scheduled = rand.New(rand.NewPCG(2310, s.seed)), map[time.Duration][]func(){}
	for _, b := range newBuckets(instances, s.limit) {
		s.instances = append(s.instances, &skewedInstance{Bucket: b, openRequests: map[[2]uint64]bool{}})
	}
	nextArrival, arrived, refusedRequests := warmUp, 0, 0
	for s.now = warmUp; s.now < warmUp+duration; s.now += tick {
		for _, run := range s.scheduled[s.now] {
			run()
		}
		delete(s.scheduled, s.now)
		entry := 0
		if s.now >= warmUp+s.moveAt {
			entry, s.instances[0].dead = 1, s.killFormer
		}
		for ; nextArrival <= s.now; nextArrival += time.Duration(s.random.ExpFloat64() / perSecond * float64(time.Second)) {
			arrived++
			s.instances[entry].CountRequest(s.now)
			s.instances[entry].waiting = append(s.instances[entry].waiting, s.now)
		}
		for i, in := range s.instances {
			for len(in.waiting) > 0 && !in.dead && in.Take(s.now) {
				in.waiting = in.waiting[1:]
			}
			for len(in.waiting) > 0 && s.now-in.waiting[0] >= waitLimit {
				in.waiting, refusedRequests = in.waiting[1:], refusedRequests+1
			}
			if in.dead {
				continue
			}
			if s.now%(100*time.Millisecond) == 0 {
				s.requestChanges(i, in.Extensions(s.now))
			}
			if s.now%(100*time.Millisecond) == 0 || s.now < in.recalledUntil && s.now%(20*time.Millisecond) == 0 {
				s.requestChanges(i, in.ReturnUnused(s.now))
			}
			if len(in.waiting) > 0 || s.now%(100*time.Millisecond) == 0 {
				s.borrow(i)
			}
		}
	}
	return 100 * float64(refusedRequests) / float64(arrived), float64(s.messages) / duration.Seconds()
}

// Guards against refusing requests within the rate when the demand moves to another
// instance and when the borrower is killed.
func TestSkewedDemandIsServed(t *testing.T) {
	const seeds = 20
	for _, limit := range []Limit{{Rate: 200, Burst: 100}, {Rate: 20, Burst: 5}} {
		for _, roundTrip := range []time.Duration{0, 110 * time.Millisecond} {
			for _, c := range []struct {
				name       string
				moveAt     time.Duration
				killed     bool
				maxPercent float64
			}{{"none", time.Hour, false, 1}, {"moved", 5 * time.Second, false, 2}, {"killed", 5 * time.Second, true, 10}} {
				refused, messages := 0.0, 0.0
				for seed := range uint64(seeds) {
					s := &skewedRun{limit: limit, roundTrip: roundTrip, moveAt: c.moveAt, killFormer: c.killed, seed: seed}
					r, m := s.run(0.8*limit.Rate, 15*time.Second)
					refused, messages = refused+r/seeds, messages+m/seeds
				}
				t.Logf("rate %g, round trip %v, %s: %.2f%% refused, %.1f messages/s", limit.Rate, roundTrip, c.name, refused, messages)
				if refused > c.maxPercent {
					t.Errorf("more than %g%% are refused", c.maxPercent)
				}
			}
		}
	}
}
