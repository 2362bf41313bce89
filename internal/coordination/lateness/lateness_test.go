package lateness

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun/internal/coordination/quota"
	"tamarackrun/internal/state/configuration"
)

const (
	patienceOfCallers = 2 * time.Second
	target            = 400 * time.Millisecond
)

// Guards against callers that count as late because they are less patient than others, or because another
// organisation's callers are more patient.
func TestOnlyRequestsThatHaveWaitedAreLate(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name         string
		organisation string
		after        time.Duration
		left, target time.Duration
		want         bool
	}{
		{"most patient caller", "tea", 0, 2 * time.Second, target, false},
		{"less patient caller", "tea", 0, 1650 * time.Millisecond, target, false},
		{"repeat that can be in time", "tea", 0, 1700 * time.Millisecond, target, false},
		{"repeat after the target latency", "tea", 0, 1500 * time.Millisecond, target, true},
		{"less patient caller of a route with a short target", "tea", 0, 1700 * time.Millisecond, 50 * time.Millisecond, false},
		{"caller of another organisation", "tin", 0, time.Second, target, false},
		{"caller without a time", "tea", 0, 0, target, false},
		{"route without a target", "tea", 0, time.Second, 0, false},
		{"callers that have become less patient", "tea", time.Minute, 500 * time.Millisecond, target, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var e Estimator
			e.Late(now, "tea", "read", patienceOfCallers, target)
			if diff := cmp.Diff(test.want, e.Late(now.Add(test.after), test.organisation, "read", test.left, test.target)); diff != "" {
				t.Errorf("late (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against organisations and routes that stay in memory after their last request.
func TestOldSourcesAreForgotten(t *testing.T) {
	var e Estimator
	now := time.Unix(1000, 0)
	e.Late(now, "tea", "read", patienceOfCallers, target)
	e.Late(now.Add(forgetAfter), "tin", "read", patienceOfCallers, target)
	e.Forget(now.Add(forgetAfter + time.Second))
	if diff := cmp.Diff(1, len(e.sources)); diff != "" {
		t.Errorf("sources (-want +got):\n%s", diff)
	}
}

// newLimiter returns the limiter of a fleet of one instance.
func newLimiter(now time.Time) *quota.Limiter {
	l := quota.New(now)
	l.SetBound(5*time.Second, 0.1, 20)
	l.SetFleetState(now, quota.FleetState{Members: 1})
	return l
}

// Pattern: an organisation asks for four times its limit, and each refused request comes back half a second later,
// as in deploy/days/storm.toml. Guards against repeats that take the tokens of requests which could still be answered in
// time: without a difference between both, 3 in 10 tokens went to repeats.
func TestRequestsInTimeGetTokensBeforeRepeats(t *testing.T) {
	const tick = time.Millisecond
	limit := configuration.Organisation{Name: "tea", Rate: 50, Burst: 50}
	start := time.Unix(1000, 0)
	limiter := newLimiter(start)
	r := rand.New(rand.NewPCG(1, 2))
	var e Estimator
	due := map[time.Time][]time.Duration{}
	admitted := map[bool]int{}
	now := start
	for ; now.Sub(start) < 30*time.Second; now = now.Add(tick) {
		try := func(left time.Duration, repeat bool) {
			admit := limiter.Admit
			if e.Late(now, limit.Name, "read", left, target) {
				admit = limiter.AdmitSpare
			}
			ok, _ := admit(now, limit)
			switch {
			case ok && now.Sub(start) > 5*time.Second:
				admitted[repeat]++
			case !ok && !repeat:
				again := now.Add(500 * time.Millisecond)
				due[again] = append(due[again], left-500*time.Millisecond)
			}
		}
		for _, left := range due[now] {
			try(left, true)
		}
		if r.Float64() < 4*limit.Rate*tick.Seconds() {
			try(patienceOfCallers-time.Duration(r.Int64N(int64(patienceOfCallers)*15/100)), false)
		}
	}
	all := admitted[true] + admitted[false]
	if minimum := int(0.95 * limit.Rate * 25); all < minimum {
		t.Errorf("%d requests admitted in 25 s, want at least %d", all, minimum)
	}
	if 10*admitted[false] < 9*all {
		t.Errorf("%d of %d admitted requests are first tries, want 9 in 10", admitted[false], all)
	}
}

// Guards against repeats that are refused although there are tokens for all.
func TestRepeatsGetSpareTokens(t *testing.T) {
	now := time.Unix(1000, 0)
	limiter := newLimiter(now)
	limit := configuration.Organisation{Name: "tea", Rate: 50, Burst: 50}
	refused := 0
	for range 1000 {
		// 40 requests per second, all late.
		now = now.Add(25 * time.Millisecond)
		if ok, _ := limiter.AdmitSpare(now, limit); !ok && now.Sub(time.Unix(1000, 0)) > 5*time.Second {
			refused++
		}
	}
	if diff := cmp.Diff(0, refused); diff != "" {
		t.Errorf("refused requests (-want +got):\n%s", diff)
	}
}
