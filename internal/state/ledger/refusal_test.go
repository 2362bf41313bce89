package ledger

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackrun"
)

// denial is what an answer notRun promised: no request of the ticket with this
// hash and a try up to the number may run. A refusal without a hash concerns
// every request of the ticket.
type denial struct {
	sequence uint64
	hash     [32]byte
	any      bool
}

// An answer notRun must stay true of delayed copies, also if the ledger was full,
// sealed or never asked. Without the record of refusals a copy of a request that
// was refused with ledgerFull ran as soon as there was room.
func TestNotRunIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := New(), time.Duration(0)
		l.MaxRecords, l.MaxBars = rapid.IntRange(1, 8).Draw(t, "records"), rapid.IntRange(0, 8).Draw(t, "bars")
		denied, open, mayRun := map[denial]uint32{}, map[uint64]*Run{}, map[uint64]bool{}
		entry := func() Request {
			s := uint64(rapid.IntRange(0, 5).Draw(t, "ticket"))
			e := Request{Sequence: s, Organisation: string(rune('a' + s%2)), Expiry: time.Duration(s+1) * 5 * time.Minute,
				Try: uint32(rapid.IntRange(1, 3).Draw(t, "try"))}
			e.Hash[0] = byte(rapid.IntRange(0, 1).Draw(t, "hash"))
			return e
		}
		deny := func(e Request, every bool, outcome tamarackrun.Outcome) {
			if outcome.Kind != tamarackrun.NotRun {
				return
			}
			d := denial{sequence: e.Sequence, hash: e.Hash, any: every}
			if every {
				d.hash = [32]byte{}
				if open[e.Sequence] != nil || mayRun[e.Sequence] {
					t.Fatalf("ticket %d was refused with %s although it may have run", e.Sequence, outcome)
				}
			}
			denied[d] = max(denied[d], e.Try)
		}
		t.Repeat(map[string]func(*rapid.T){
			"Begin": func(t *rapid.T) {
				e := entry()
				run, fresh := l.Begin(now, e)
				if !fresh {
					if run != open[e.Sequence] {
						outcome, _ := run.Outcome()
						deny(e, false, outcome)
					}
					return
				}
				if e.Try <= denied[denial{e.Sequence, e.Hash, false}] || e.Try <= denied[denial{e.Sequence, [32]byte{}, true}] {
					t.Fatalf("ticket %d try %d runs after an answer notRun", e.Sequence, e.Try)
				}
				if mayRun[e.Sequence] || open[e.Sequence] != nil {
					t.Fatalf("ticket %d runs twice", e.Sequence)
				}
				open[e.Sequence] = run
			},
			"Refuse": func(_ *rapid.T) {
				e := entry()
				deny(e, true, l.Refuse(now, e, tamarackrun.CutOff))
			},
			"Finish": func(t *rapid.T) {
				s := uint64(rapid.IntRange(0, 5).Draw(t, "ticket"))
				if open[s] == nil {
					t.Skip("not running")
				}
				outcome := rapid.SampledFrom([]tamarackrun.Outcome{tamarackrun.Done, tamarackrun.Refused(tamarackrun.ServerShed),
					tamarackrun.Uncertain(tamarackrun.AnswerLost)}).Draw(t, "outcome")
				l.Finish(s, open[s], outcome, &Answer{StatusOnly: true})
				open[s] = nil
				mayRun[s] = outcome.Kind != tamarackrun.NotRun
			},
			"Advance": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds")) * time.Second },
			"Close": func(t *rapid.T) {
				if rapid.IntRange(0, 30).Draw(t, "close") == 0 {
					l.Close()
				}
			},
			"": func(t *rapid.T) {
				if len(l.bars) > l.MaxBars {
					t.Fatalf("%d refusals are kept, %d allowed", len(l.bars), l.MaxBars)
				}
			},
		})
	})
}

// A first refusal must be notRun, bind delayed copies and leave a higher try
// free, and it must not hide that an earlier request ran.
func TestRefuseThenTry(t *testing.T) {
	l := New()
	e := Request{Sequence: 1, Organisation: "tea", Expiry: time.Minute, Try: 1}
	expect := func(got, want tamarackrun.Outcome) {
		t.Helper()
		if got != want {
			t.Errorf("outcome %s, want %s", got, want)
		}
	}
	expect(l.Refuse(0, e, tamarackrun.CutOff), tamarackrun.Refused(tamarackrun.CutOff))
	run, fresh := l.Begin(0, e)
	if fresh {
		t.Fatal("a delayed copy runs")
	}
	outcome, _ := run.Outcome()
	expect(outcome, tamarackrun.Refused(tamarackrun.CutOff))
	e.Try = 2
	run, fresh = l.Begin(0, e)
	if !fresh {
		t.Fatal("a new try does not run")
	}
	expect(l.Refuse(0, e, tamarackrun.CutOff), tamarackrun.Uncertain(tamarackrun.CutOff))
	l.Finish(1, run, tamarackrun.Done, &Answer{StatusOnly: true})
	expect(l.Refuse(0, e, tamarackrun.CutOff), tamarackrun.Uncertain(tamarackrun.CutOff))
	// A request that read the clock before the expiry must not start after it.
	e.Sequence = 2
	expect(l.Refuse(e.Expiry, e, tamarackrun.CutOff), tamarackrun.Refused(tamarackrun.CutOff))
	if _, fresh = l.Begin(e.Expiry-1, e); fresh {
		t.Error("a ticket that expired runs")
	}
	expect(l.Refuse(2*time.Hour, e, tamarackrun.CutOff), tamarackrun.Uncertain(tamarackrun.CutOff))
}
