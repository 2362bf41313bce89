package rate

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// BenchmarkAdmit measures an admission with tokens. The target is at most 1 µs and no
// allocation.
func BenchmarkAdmit(b *testing.B) {
	bucket := New(Limit{Rate: 1e12, Burst: 1e12}, 0)
	bucket.SetShareExpiry(0, never, never)
	bucket.SetShare(0, Whole/2, Whole/2)
	bucket.borrowed, bucket.borrowedPart = []loan{{part: 1, until: never}}, 1
	now := time.Second
	b.ReportAllocs()
	for b.Loop() {
		now += time.Microsecond
		if !bucket.Admit(now) {
			b.Fatal("Admit refused a request although tokens are left")
		}
	}
}

// Guards against an allocation for every request.
func TestAdmitDoesNotAllocate(t *testing.T) {
	bucket := New(Limit{Rate: 1e12, Burst: 1e12}, 0)
	bucket.SetShareExpiry(0, never, never)
	bucket.SetShare(0, Whole/2, Whole/2)
	now := time.Second
	allocations := testing.AllocsPerRun(100, func() { now++; bucket.Admit(now) })
	if diff := cmp.Diff(0.0, allocations); diff != "" {
		t.Error(diff)
	}
}

// newBuckets returns n buckets with equal shares that never end.
func newBuckets(n int, limit Limit) []*Bucket {
	buckets := make([]*Bucket, n)
	for i := range buckets {
		buckets[i] = New(limit, 0)
		buckets[i].SetShareExpiry(0, never, never)
		part := Whole / Fraction(n)
		buckets[i].SetShare(0, part-part/2, part/2)
	}
	return buckets
}

// Guards against losing the rate of shares with a burst below 1: with 8 holders and a
// burst of 5, no bucket alone ever has a whole token. All demand is on one holder, at 90%
// of the rate.
func TestFractionalBurstsAdmitFullRate(t *testing.T) {
	const seconds = 60
	limit := Limit{Rate: 20, Burst: 5}
	buckets := newBuckets(8, limit)
	admitted, sent, waiting, id := 0, 0, 0, uint64(0)
	for now := time.Duration(0); now < seconds*time.Second; now += 5 * time.Millisecond {
		if due := int(0.9 * limit.Rate * now.Seconds()); sent < due {
			sent++
			waiting++
			buckets[0].CountRequest(now)
		}
		for waiting > 0 && buckets[0].Take(now) {
			waiting--
			admitted++
		}
		want := buckets[0].Shortfall(now, waiting).PerLender(len(buckets) - 1)
		for _, lender := range buckets[1:] {
			if want.Part > 0 {
				id++
				buckets[0].Accept(now, now, "", want, lender.Lend(now, want, id))
			}
		}
		for _, e := range buckets[0].Extensions(now) {
			for _, lender := range buckets[1:] {
				buckets[0].Accept(now, now, "", e.Request, lender.Lend(now, e.Request, 0))
			}
		}
	}
	if admitted < sent*98/100 {
		t.Errorf("admitted %d of %d requests, %d still wait", admitted, sent, waiting)
	}
}

// Guards against refilling at the rate of a loan that ended while the process was paused,
// against a loan that is accepted although its reply came late, and against a lender that
// uses the lent part before the loan ends.
func TestPausePastEndOfLoan(t *testing.T) {
	buckets := newBuckets(2, Limit{Rate: 10, Burst: 20})
	request := LoanRequest{Part: Whole / 2, Term: LoanTerm}
	reply := buckets[1].Lend(2*time.Second, request, 1)
	if diff := cmp.Diff(LoanReply{ID: 1, Part: Whole / 2, Tokens: 10}, reply); diff != "" {
		t.Fatal(diff)
	}
	if !buckets[0].Accept(2100*time.Millisecond, 2*time.Second, "", request, reply) {
		t.Fatal("a loan that arrived in time was not accepted")
	}
	if buckets[0].Accept(2*time.Second+501*time.Millisecond, 2*time.Second, "", request, reply) {
		t.Error("a loan was accepted 501 ms after its request")
	}
	taken := 0
	for buckets[0].Take(time.Minute) {
		taken++
	}
	if diff := cmp.Diff(10, taken); diff != "" {
		t.Errorf("tokens after a pause (-want +got):\n%s", diff)
	}
	lenderTokens := 0
	for buckets[1].Take(2*time.Second + lenderTerm(LoanTerm) + time.Millisecond) {
		lenderTokens++
	}
	if diff := cmp.Diff(0, lenderTokens); diff != "" {
		t.Errorf("tokens of the lender at the end of the loan (-want +got):\n%s", diff)
	}
}

// Guards against a loan that outlasts the share that it is a part of: a reclaimer may
// grant the share to others while the borrower still uses the loan.
func TestLoanEndsWithShare(t *testing.T) {
	for _, c := range []struct {
		name string
		now  time.Duration
		want Fraction
	}{
		{"both halves outlast the loan", 4 * time.Second, Whole},
		{"only the floor outlasts the loan", 9 * time.Second, Whole / 2},
		{"neither outlasts the loan", 19 * time.Second, 0},
	} {
		b := New(Limit{Rate: 10, Burst: 10}, 0)
		b.SetShareExpiry(0, 10*time.Second, 20*time.Second)
		b.SetShare(0, Whole/2, Whole/2)
		reply := b.Lend(c.now, LoanRequest{Part: Whole, Term: LoanTerm}, 1)
		if diff := cmp.Diff(c.want, reply.Part); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}
