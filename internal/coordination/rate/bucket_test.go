package rate

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// BenchmarkAdmit guards the limit of 1 µs without allocation for an admission
// with tokens.
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
			b.Fatal("no token")
		}
	}
}

// Guards against an allocation on the path of every request.
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

// holders returns n buckets with equal shares that had time to fill.
func holders(n int, limit Limit) []*Bucket {
	list := make([]*Bucket, n)
	for i := range list {
		list[i] = New(limit, 0)
		list[i].SetShareExpiry(0, never, never)
		part := Whole / Fraction(n)
		list[i].SetShare(0, part-part/2, part/2)
	}
	return list
}

// Guards against shares with a burst part below 1 that lose their rate for
// ever: with 8 holders and a burst of 5 no bucket alone ever has a token. All
// demand is on one holder, at 90% of the rate.
func TestFractionalSharesAdmitTheRate(t *testing.T) {
	const seconds = 60
	limit := Limit{Rate: 20, Burst: 5}
	list := holders(8, limit)
	admitted, sent, waiting, id := 0, 0, 0, uint64(0)
	for now := time.Duration(0); now < seconds*time.Second; now += 5 * time.Millisecond {
		if due := int(0.9 * limit.Rate * now.Seconds()); sent < due {
			sent++
			waiting++
			list[0].CountRequest(now)
		}
		for waiting > 0 && list[0].Take(now) {
			waiting--
			admitted++
		}
		want := list[0].Shortfall(now, waiting).PerLender(len(list) - 1)
		for _, lender := range list[1:] {
			if want.Part > 0 {
				id++
				list[0].Accept(now, now, "", want, lender.Lend(now, want, id))
			}
		}
		for _, e := range list[0].Extensions(now) {
			for _, lender := range list[1:] {
				list[0].Accept(now, now, "", e.Request, lender.Lend(now, e.Request, 0))
			}
		}
	}
	if admitted < sent*98/100 {
		t.Errorf("admitted %d of %d requests, %d still wait", admitted, sent, waiting)
	}
}

// Guards against a part that ends while the process is paused and is then
// refilled as if it had lasted.
func TestPausePastTheEndOfALoan(t *testing.T) {
	list := holders(2, Limit{Rate: 10, Burst: 20})
	ask := LoanRequest{Part: Whole / 2, Term: LoanTerm}
	l := list[1].Lend(2*time.Second, ask, 1)
	if diff := cmp.Diff(LoanReply{ID: 1, Part: Whole / 2, Tokens: 10}, l); diff != "" {
		t.Fatal(diff)
	}
	if !list[0].Accept(2100*time.Millisecond, 2*time.Second, "", ask, l) {
		t.Fatal("a loan in time was not accepted")
	}
	if list[0].Accept(2*time.Second+501*time.Millisecond, 2*time.Second, "", ask, l) {
		t.Error("a loan was accepted 501 ms after its request")
	}
	taken := 0
	for list[0].Take(time.Minute) {
		taken++
	}
	if diff := cmp.Diff(10, taken); diff != "" {
		t.Errorf("tokens after a pause (-want +got):\n%s", diff)
	}
	lender := 0
	for list[1].Take(2*time.Second + hold(LoanTerm) + time.Millisecond) {
		lender++
	}
	if diff := cmp.Diff(0, lender); diff != "" {
		t.Errorf("tokens of the lender at the end of the loan (-want +got):\n%s", diff)
	}
}

// Guards against a loan that outlasts the term of the share it is a part of: a
// reclaimer may grant the share again while the receiver still uses it.
func TestLoanEndsWithinTheTermOfTheShare(t *testing.T) {
	for _, c := range []struct {
		name string
		now  time.Duration
		want Fraction
	}{
		{"both halves last", 4 * time.Second, Whole},
		{"only the floor lasts", 9 * time.Second, Whole / 2},
		{"neither lasts", 19 * time.Second, 0},
	} {
		b := New(Limit{Rate: 10, Burst: 10}, 0)
		b.SetShareExpiry(0, 10*time.Second, 20*time.Second)
		b.SetShare(0, Whole/2, Whole/2)
		l := b.Lend(c.now, LoanRequest{Part: Whole, Term: LoanTerm}, 1)
		if diff := cmp.Diff(c.want, l.Part); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}
