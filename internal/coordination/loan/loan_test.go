package loan

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun/internal/protocol/wire"
)

// Guards against using a token that was not lent, using a token twice, and waiting
// for ever for an answer.
func TestBorrow(t *testing.T) {
	tests := map[string]struct {
		// answers are the lender's answers to a request, all sent after the delay.
		answers  []bool
		delay    time.Duration
		noLender bool
		want     Outcome
		// waited is the expected time until the outcome.
		waited time.Duration
		// returned is the expected number of late tokens added to the bucket.
		returned int
	}{
		"granted":       {[]bool{true}, 10 * time.Millisecond, false, Granted, 10 * time.Millisecond, 0},
		"granted twice": {[]bool{true, true}, 10 * time.Millisecond, false, Granted, 10 * time.Millisecond, 0},
		"declined":      {[]bool{false, true}, 10 * time.Millisecond, false, Declined, 20 * time.Millisecond, 0},
		"lost":          {nil, 0, false, Unanswered, borrowTimeout, 0},
		"late":          {[]bool{true}, time.Second, false, Unanswered, borrowTimeout, 1},
		"late twice":    {[]bool{true, true}, time.Second, false, Unanswered, borrowTimeout, 1},
		"very late":     {[]bool{true}, lateGrantWindow + time.Second, false, Unanswered, borrowTimeout, 0},
		"no lender":     {nil, 0, true, NoLender, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b, returned := New(), 0
				b.ReturnToken = func(string) { returned++ }
				b.FindLender = func(string) (netip.AddrPort, bool) { return netip.AddrPort{}, !test.noLender }
				b.Send = func(m *wire.InstanceMessage, _ ...netip.AddrPort) int {
					time.AfterFunc(test.delay, func() {
						for _, granted := range test.answers {
							b.HandleGrant(&wire.TokenGrant{Number: m.GetTokenRequest().Number, Granted: granted})
						}
					})
					return 0
				}
				began := time.Now()
				got := b.Borrow(context.Background(), "o")
				if diff := cmp.Diff([]any{test.want, test.waited}, []any{got, time.Since(began)}); diff != "" {
					t.Errorf("outcome and time (-want +got):\n%s", diff)
				}
				time.Sleep(2 * lateGrantWindow)
				b.mu.Lock()
				defer b.mu.Unlock()
				if diff := cmp.Diff([]int{test.returned, 0, 0}, []int{returned, len(b.waiting), len(b.abandoned)}); diff != "" {
					t.Errorf("returned tokens, waiting requests, abandoned requests (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Guards against a lender that grants a token that it does not have.
func TestHandleRequest(t *testing.T) {
	b := New()
	var sent []*wire.TokenGrant
	b.Send = func(m *wire.InstanceMessage, _ ...netip.AddrPort) int {
		sent = append(sent, m.GetTokenGrant())
		return 0
	}
	for _, spare := range []bool{true, false} {
		b.TakeToken = func(organisation string) bool { return spare && organisation == "o" }
		b.HandleRequest(&wire.TokenRequest{Number: 7, Organisation: "o"}, netip.AddrPort{})
	}
	if sent[0].Number != 7 || !sent[0].Granted || sent[1].Granted {
		t.Errorf("answers %v, want number 7, granted and then not granted", sent)
	}
}
