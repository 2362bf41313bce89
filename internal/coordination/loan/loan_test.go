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

// Guards against tokens that are used without having been lent, or used twice,
// and against requests that wait for ever.
func TestBorrow(t *testing.T) {
	tests := map[string]struct {
		// answers are sent by the lender, after the delay.
		answers []bool
		delay   time.Duration
		nobody  bool
		want    Outcome
		waited  time.Duration
		kept    int
	}{
		"granted":       {[]bool{true}, 10 * time.Millisecond, false, Granted, 10 * time.Millisecond, 0},
		"granted twice": {[]bool{true, true}, 10 * time.Millisecond, false, Granted, 10 * time.Millisecond, 0},
		"declined":      {[]bool{false, true}, 10 * time.Millisecond, false, Declined, 20 * time.Millisecond, 0},
		"lost":          {nil, 0, false, Unanswered, patience, 0},
		"late":          {[]bool{true}, time.Second, false, Unanswered, patience, 1},
		"late twice":    {[]bool{true, true}, time.Second, false, Unanswered, patience, 1},
		"very late":     {[]bool{true}, lateTime + time.Second, false, Unanswered, patience, 0},
		"no lender":     {nil, 0, true, NoLender, 0, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d, kept := New(), 0
				d.ReturnToken = func(string) { kept++ }
				d.FindLender = func(string) (netip.AddrPort, bool) { return netip.AddrPort{}, !test.nobody }
				d.Send = func(m *wire.InstanceMessage, _ ...netip.AddrPort) int {
					time.AfterFunc(test.delay, func() {
						for _, granted := range test.answers {
							d.HandleGrant(&wire.TokenGrant{Number: m.GetTokenRequest().Number, Granted: granted})
						}
					})
					return 0
				}
				began := time.Now()
				got := d.Borrow(context.Background(), "o")
				if diff := cmp.Diff([]any{test.want, test.waited}, []any{got, time.Since(began)}); diff != "" {
					t.Errorf("outcome and time (-want +got):\n%s", diff)
				}
				time.Sleep(2 * lateTime)
				d.mu.Lock()
				defer d.mu.Unlock()
				if diff := cmp.Diff([]int{test.kept, 0, 0}, []int{kept, len(d.waiting), len(d.late)}); diff != "" {
					t.Errorf("kept tokens, requests that wait, requests that were given up (-want +got):\n%s", diff)
				}
			})
		})
	}
}

// Guards against a lender that answers without a token.
func TestAsked(t *testing.T) {
	d := New()
	var sent []*wire.TokenGrant
	d.Send = func(m *wire.InstanceMessage, _ ...netip.AddrPort) int {
		sent = append(sent, m.GetTokenGrant())
		return 0
	}
	for _, spare := range []bool{true, false} {
		d.TakeToken = func(organisation string) bool { return spare && organisation == "o" }
		d.HandleRequest(&wire.TokenRequest{Number: 7, Organisation: "o"}, netip.AddrPort{})
	}
	if sent[0].Number != 7 || !sent[0].Granted || sent[1].Granted {
		t.Errorf("answers %v", sent)
	}
}
