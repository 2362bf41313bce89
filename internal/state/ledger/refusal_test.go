package ledger

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackrun"
)

// notRunAnswer identifies the requests that an answer notRun concerns: those of
// the ticket with this hash, or with any hash. None of them may run with a try up
// to that of the answered request.
type notRunAnswer struct {
	sequence uint64
	hash     [32]byte
	anyHash  bool
}

// Guards against a delayed copy of a request that runs after the request was
// answered with notRun, also if the ledger was full, sealed or never asked. When
// the ledger kept no refusals, a copy of a request that was refused with ledgerFull
// ran as soon as there was room.
func TestNotRunIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l, now := New(), time.Duration(0)
		l.MaxRecords, l.MaxRefusals = rapid.IntRange(1, 8).Draw(t, "records"), rapid.IntRange(0, 8).Draw(t, "refusals")
		answered, running, mayRun := map[notRunAnswer]uint32{}, map[uint64]*Run{}, map[uint64]bool{}
		drawRequest := func() Request {
			s := uint64(rapid.IntRange(0, 5).Draw(t, "ticket"))
			request := Request{Sequence: s, Organisation: string(rune('a' + s%2)), Expiry: time.Duration(s+1) * 5 * time.Minute,
				Try: uint32(rapid.IntRange(1, 3).Draw(t, "try"))}
			request.Hash[0] = byte(rapid.IntRange(0, 1).Draw(t, "hash"))
			return request
		}
		recordNotRun := func(request Request, anyHash bool, outcome tamarackrun.Outcome) {
			if outcome.Kind != tamarackrun.NotRun {
				return
			}
			key := notRunAnswer{sequence: request.Sequence, hash: request.Hash, anyHash: anyHash}
			if anyHash {
				key.hash = [32]byte{}
				if running[request.Sequence] != nil || mayRun[request.Sequence] {
					t.Fatalf("ticket %d was refused with %s although it may have run", request.Sequence, outcome)
				}
			}
			answered[key] = max(answered[key], request.Try)
		}
		t.Repeat(map[string]func(*rapid.T){
			"Begin": func(t *rapid.T) {
				request := drawRequest()
				run, started := l.Begin(now, request)
				if !started {
					if run != running[request.Sequence] {
						outcome, _ := run.Outcome()
						recordNotRun(request, false, outcome)
					}
					return
				}
				if request.Try <= answered[notRunAnswer{request.Sequence, request.Hash, false}] ||
					request.Try <= answered[notRunAnswer{request.Sequence, [32]byte{}, true}] {
					t.Fatalf("ticket %d try %d runs after an answer notRun", request.Sequence, request.Try)
				}
				if mayRun[request.Sequence] || running[request.Sequence] != nil {
					t.Fatalf("ticket %d runs twice", request.Sequence)
				}
				running[request.Sequence] = run
			},
			"Refuse": func(_ *rapid.T) {
				request := drawRequest()
				recordNotRun(request, true, l.Refuse(now, request, tamarackrun.CutOff))
			},
			"Finish": func(t *rapid.T) {
				s := uint64(rapid.IntRange(0, 5).Draw(t, "ticket"))
				if running[s] == nil {
					t.Skip("not running")
				}
				outcome := rapid.SampledFrom([]tamarackrun.Outcome{tamarackrun.Done, tamarackrun.Refused(tamarackrun.ServerShed),
					tamarackrun.Uncertain(tamarackrun.AnswerLost)}).Draw(t, "outcome")
				l.Finish(s, running[s], outcome, &Answer{StatusOnly: true})
				running[s] = nil
				mayRun[s] = outcome.Kind != tamarackrun.NotRun
			},
			"Advance": func(t *rapid.T) { now += time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds")) * time.Second },
			"Close": func(t *rapid.T) {
				if rapid.IntRange(0, 30).Draw(t, "close") == 0 {
					l.Close()
				}
			},
			"": func(t *rapid.T) {
				if len(l.refusals) > l.MaxRefusals {
					t.Fatalf("%d refusals are kept, %d allowed", len(l.refusals), l.MaxRefusals)
				}
			},
		})
	})
}

// Guards against a refusal that does not hold for delayed copies, that prevents a
// retry with a higher try, or that hides that an earlier request ran.
func TestRefuseThenTry(t *testing.T) {
	l := New()
	request := Request{Sequence: 1, Organisation: "tea", Expiry: time.Minute, Try: 1}
	expect := func(got, want tamarackrun.Outcome) {
		t.Helper()
		if got != want {
			t.Errorf("outcome %s, want %s", got, want)
		}
	}
	expect(l.Refuse(0, request, tamarackrun.CutOff), tamarackrun.Refused(tamarackrun.CutOff))
	run, started := l.Begin(0, request)
	if started {
		t.Fatal("a delayed copy runs")
	}
	outcome, _ := run.Outcome()
	expect(outcome, tamarackrun.Refused(tamarackrun.CutOff))
	request.Try = 2
	run, started = l.Begin(0, request)
	if !started {
		t.Fatal("a new try does not run")
	}
	expect(l.Refuse(0, request, tamarackrun.CutOff), tamarackrun.Uncertain(tamarackrun.CutOff))
	l.Finish(1, run, tamarackrun.Done, &Answer{StatusOnly: true})
	expect(l.Refuse(0, request, tamarackrun.CutOff), tamarackrun.Uncertain(tamarackrun.CutOff))
	// The clock reading of a delayed request may be before the expiry although
	// the ledger has already seen a later time.
	request.Sequence = 2
	expect(l.Refuse(request.Expiry, request, tamarackrun.CutOff), tamarackrun.Refused(tamarackrun.CutOff))
	if _, started = l.Begin(request.Expiry-1, request); started {
		t.Error("a ticket that expired runs")
	}
	expect(l.Refuse(2*time.Hour, request, tamarackrun.CutOff), tamarackrun.Uncertain(tamarackrun.CutOff))
}
