package crash

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a request that ends one server after the other, because each instance and each attempt
// of a caller looks like the first (BUDGET, hollowmere-run, day deadly).
func TestRequestIsRefusedAfterThreeEnds(t *testing.T) {
	g, now := &Register{}, time.Now()
	request := Identify("org", "GET", "h", "/x", nil)
	var got []bool
	// The second end of process 1 was seen by another request there.
	for _, process := range []uint64{1, 1, 2, 3, 4} {
		_, refuse := g.Note(now, request, process)
		got = append(got, refuse)
	}
	if diff := cmp.Diff([]bool{false, false, false, true, true}, got); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	if refusedFor(g, now, request) != 0 {
		t.Error("the request is refused before its holder has said so")
	}
	g.Refuse(now, request)
	later := now.Add(RefusalTime + time.Second)
	want := []time.Duration{RefusalTime, 0, RefusalTime, 0}
	left := []time.Duration{refusedFor(g, now, request), refusedFor(g, later, request), refusedFor(g, later, request),
		refusedFor(g, now, Identify("org", "GET", "h", "/y", nil))}
	if diff := cmp.Diff(want, left); diff != "" {
		t.Errorf("times of refusal at once, later, right after that, and of another request (-want +got):\n%s", diff)
	}
	g.Answered(request)
	if refusedFor(g, now, request) != 0 || !g.Empty() {
		t.Error("a request that was answered is still refused")
	}
}

func refusedFor(g *Register, now time.Time, request Request) time.Duration {
	left, _ := g.Refused(now, request)
	return left
}

// Guards against a register that grows while servers end all the time, and against ends of long ago
// that count.
func TestRegisterIsBounded(t *testing.T) {
	g, now := &Register{}, time.Now()
	for i := range 2 * maxRequests {
		g.Note(now, Request(i), 1)
	}
	if got := len(g.suspects); got > maxRequests {
		t.Errorf("%d requests are remembered, want at most %d", got, maxRequests)
	}
	if g.Forget(now.Add(memoryTime + time.Second)); !g.Empty() {
		t.Errorf("%d requests are remembered for too long", len(g.suspects))
	}
}

// testFleet is the registers of instances that tell each other without delay which requests to refuse.
// The first one holds all requests.
type testFleet []*Register

// send reports whether the instance would send the request to a server, which then ends.
func (f testFleet) send(now time.Time, instance int, request Request, process uint64) bool {
	if refusedFor(f[instance], now, request) > 0 {
		return false
	}
	if _, refuse := f[0].Note(now, request, process); refuse {
		for _, g := range f {
			g.Refuse(now, request)
		}
	}
	return true
}

// Guards against a request that each instance tries again by itself once its refusal is over, so that a
// fleet ends as many servers as it has instances each time (BUDGET, hollowmere-run, crashing requests for
// 110 s: sent 10 times more after the third end). At most three more are allowed.
func TestFleetTriesRefusedRequestThreeTimes(t *testing.T) {
	const instances, length, interval = 7, 20 * time.Minute, 100 * time.Millisecond
	var f testFleet
	for range instances {
		f = append(f, &Register{})
	}
	start, request, sent := time.Now(), Identify("org", "GET", "h", "/x", nil), 0
	for i := range int(length / interval) {
		if f.send(start.Add(time.Duration(i)*interval), i%instances, request, uint64(i)) {
			sent++
		}
	}
	if sent < maxEnded || sent > maxEnded+3 {
		t.Errorf("the request is sent %d times in %s, want %d and at most 3 more", sent, length, maxEnded)
	}
}
