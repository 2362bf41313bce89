package crash

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"tamarackrun/internal/protocol/wire"
)

// note notes the ends of processes under a request, as a holder.
func note(g *Register, now time.Time, request Request, processes ...uint64) {
	for _, process := range processes {
		g.Note(now, request, process, false)
	}
}

func isRefused(g *Register, now time.Time, request Request) bool {
	refused, _ := g.Refused(now, request)
	return refused
}

// Guards against a request that ends one server after the other, because each instance and each attempt
// of a caller looks like the first (BUDGET, hollowmere-run, day deadly).
func TestRequestIsRefusedAfterThreeEnds(t *testing.T) {
	g, now := &Register{}, time.Now()
	request := Identify("org", "GET", "h", "/x", nil)
	var told, refused []bool
	// The second end of process 1 was seen by another request there.
	for _, process := range []uint64{1, 1, 2, 3, 4} {
		told = append(told, g.Note(now, request, process, false) != nil)
		refused = append(refused, isRefused(g, now, request))
	}
	if diff := cmp.Diff([]bool{false, false, false, true, true}, told); diff != "" {
		t.Errorf("instances are told (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]bool{false, false, false, true, true}, refused); diff != "" {
		t.Errorf("refusals (-want +got):\n%s", diff)
	}
	if isRefused(g, now, Identify("org", "GET", "h", "/y", nil)) {
		t.Error("another request is refused")
	}
	if _, left := g.Refused(now, request); left != trialDelays[0] {
		t.Errorf("the request is refused for %s, want %s", left, trialDelays[0])
	}
	g.Answered(now, request)
	if isRefused(g, now, request) {
		t.Error("a request that was answered is still refused")
	}
	if note(g, now, request, 5, 6, 7); !isRefused(g, now, request) {
		t.Error("a request that ends three more servers after it was answered is not refused")
	}
}

// Guards against an answer that is reported late and clears the ends that came after it.
func TestLateAnswerClearsNoLaterEnd(t *testing.T) {
	g, now, request := &Register{}, time.Now(), Request(1)
	note(g, now, request, 1, 2, 3, 4)
	g.Clear(now, request, []uint64{1})
	if !isRefused(g, now, request) {
		t.Error("an answer after the first of four ends has cleared the others")
	}
}

// Guards against an instance that sends what an instance of an earlier version asks it to refuse without
// naming the servers.
func TestRefusalOfEarlierVersion(t *testing.T) {
	g, now, request := &Register{}, time.Now(), Request(1)
	g.Merge(now, &wire.Suspect{Request: uint64(request), Ended: UnnamedEnds(request)})
	if !isRefused(g, now, request) {
		t.Error("the request is not refused")
	}
}

// Guards against requests that are refused because they were at servers which another request has ended
// (hollowmere-run, crashing requests: an answerable request was refused that had run beside one on three
// servers).
func TestRequestBesideAnotherIsNotRefused(t *testing.T) {
	g, now := &Register{}, time.Now()
	const guilty, beside, alone Request = 1, 2, 3
	note(g, now, guilty, 1, 2, 3, 4)
	note(g, now, beside, 2, 3, 4)
	note(g, now, alone, 4, 5, 6, 7)
	got := []bool{isRefused(g, now, guilty), isRefused(g, now, beside), isRefused(g, now, alone)}
	if diff := cmp.Diff([]bool{true, false, true}, got); diff != "" {
		t.Errorf("refusals of the guilty request, one beside it and another guilty one (-want +got):\n%s", diff)
	}
}

// Guards against a register that grows while servers end all the time, one in which many requests keep the
// next suspect from being remembered, and ends of long ago that count.
func TestRegisterIsBounded(t *testing.T) {
	g, now := &Register{}, time.Now()
	const guilty Request = 1 << 40
	note(g, now, guilty, 1, 2)
	for i := range 2 * maxRequests {
		note(g, now, Request(i), 1)
	}
	if got := len(g.suspects); got > maxRequests {
		t.Errorf("%d requests are remembered, want at most %d", got, maxRequests)
	}
	if note(g, now, guilty, 3); !isRefused(g, now, guilty) {
		t.Error("a request that has ended three servers is not remembered beside many that have ended one")
	}
	if g.Forget(now.Add(memoryTime + time.Second)); len(g.suspects) != 1 {
		t.Errorf("%d requests are remembered after %s, want the refused one", len(g.suspects), memoryTime)
	}
	if g.Forget(now.Add(RefusalMemory + time.Second)); !g.Empty() {
		t.Error("a refused request is remembered for too long")
	}
}

// Guards against ends that are forgotten with the only instance that was told of them, and against ends
// that are repeated although all instances know them.
func TestEndsAreRepeatedUntilShared(t *testing.T) {
	g, now, request := &Register{}, time.Now(), Request(1)
	g.Note(now, request, 1, true)
	var got []int
	for _, at := range []struct{ now, changedAt time.Time }{
		{now.Add(time.Second), time.Time{}},
		{now.Add(time.Second), now.Add(time.Millisecond)},
		{now.Add(2 * time.Second), now.Add(time.Millisecond)},
		{now.Add(time.Second + repeatInterval), now.Add(time.Millisecond)},
	} {
		got = append(got, len(g.ToRepeat(at.now, at.changedAt)))
	}
	note(g, now, request, 2, 3)
	got = append(got, len(g.ToRepeat(now.Add(time.Minute), time.Time{})))
	if diff := cmp.Diff([]int{0, 1, 0, 1, 0}, got); diff != "" {
		t.Errorf("requests repeated soon, after a change of holders, soon after that, later, and once shared (-want +got):\n%s", diff)
	}
}

// Guards against instances that refuse different requests because messages were lost, doubled or out of
// order: what they have told each other in any order is the same set of facts.
func TestInstancesAgreeWhateverTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, instances := time.Now(), []*Register{{}, {}, {}}
		var messages []*wire.Suspect
		pick := rapid.IntRange(0, len(instances)-1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			g, request := instances[pick.Draw(t, "instance")], Request(rapid.IntRange(1, 2).Draw(t, "request"))
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				if known := g.Note(now, request, rapid.Uint64Range(1, 6).Draw(t, "process"), true); known != nil {
					messages = append(messages, known)
				}
			case 2:
				if known, _ := g.Answered(now, request); known != nil {
					messages = append(messages, known)
				}
			case 3:
				if known := g.Grant(now.Add(time.Minute), request); known != nil {
					messages = append(messages, known)
				}
			case 4:
				if len(messages) > 0 {
					g.Merge(now, rapid.SampledFrom(messages).Draw(t, "message"))
				}
			}
		}
		// Each asks each other one, as it does until the hashes are the same.
		for range 2 {
			for _, g := range instances {
				for _, other := range instances {
					for _, known := range other.Shared(now) {
						g.Merge(now, known)
					}
				}
			}
		}
		for _, g := range instances[1:] {
			if g.Hash() != instances[0].Hash() {
				t.Fatalf("an instance knows %v, another one %v", g.Shared(now), instances[0].Shared(now))
			}
		}
	})
}

// testFleet is the registers of instances that tell each other without delay which requests to refuse.
// The first one holds all requests.
type testFleet []*Register

// send reports whether the instance would send the request to a server, which then ends.
func (f testFleet) send(now time.Time, instance int, request Request, process uint64) bool {
	g := f[instance]
	if refused, left := g.Refused(now, request); refused {
		if left > 0 || !g.Ask(now, request) {
			return false
		}
		known := f[0].Grant(now, request)
		if known == nil {
			return false
		}
		f.tell(now, known)
	}
	if known := f[0].Note(now, request, process, false); known != nil {
		f.tell(now, known)
	}
	return true
}

func (f testFleet) tell(now time.Time, known *wire.Suspect) {
	for _, g := range f {
		g.Merge(now, known)
	}
}

// Guards against a request that each instance tries again by itself once its refusal is over, so that a
// fleet ends as many servers as it has instances each time (BUDGET, hollowmere-run, crashing requests for
// 110 s: sent 10 times more after the third end). At most three more are allowed.
func TestFleetTriesRefusedRequestThreeTimes(t *testing.T) {
	const instances, length, interval = 7, 2 * time.Hour, 100 * time.Millisecond
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

// Guards against requests of one organisation that get those of another one refused by naming them alike.
func TestOrganisationsDoNotBarEachOther(t *testing.T) {
	g, now := &Register{}, time.Now()
	note(g, now, Identify("org", "GET", "h", "/x", nil), 1, 2, 3)
	if isRefused(g, now, Identify("other", "GET", "h", "/x", nil)) {
		t.Error("the same request of another organisation is refused")
	}
}

// Guards against innocent requests that are refused while servers end for other reasons. Each of 40 servers ends
// every 5 s, as with a bad release, and all that run there come again at other servers until they are answered.
// At most one request in 10,000 may be refused.
func TestInnocentRequestsAreHardlyRefused(t *testing.T) {
	const (
		servers, length, step = 40, 5 * time.Minute, 10 * time.Millisecond
		requestsPerStep       = 5
		runSteps              = 10
		endOneIn              = 500
	)
	type running struct {
		request Request
		until   int
	}
	r := rand.New(rand.NewPCG(1, 0))
	g, start := &Register{}, time.Now()
	at := make([][]running, servers)
	process := uint64(0)
	sent, refused := 0, map[Request]bool{}
	send := func(request Request, now int) {
		s := r.IntN(servers)
		at[s] = append(at[s], running{request, now + 1 + r.IntN(2*runSteps)})
	}
	for i := range int(length / step) {
		now := start.Add(time.Duration(i) * step)
		for range requestsPerStep {
			sent++
			send(Request(sent), i)
		}
		for s, list := range at {
			ends := r.IntN(endOneIn) == 0
			at[s] = nil
			process++
			for _, run := range list {
				switch {
				case ends:
					g.Note(now, run.request, process, true)
					if isRefused(g, now, run.request) {
						refused[run.request] = true
						continue
					}
					send(run.request, i)
				case run.until <= i:
					g.Answered(now, run.request)
				default:
					at[s] = append(at[s], run)
				}
			}
		}
		g.Forget(now)
	}
	if most := sent / 10_000; len(refused) > most {
		t.Errorf("%d of %d innocent requests are refused, want at most %d", len(refused), sent, most)
	}
	t.Logf("%d of %d innocent requests are refused", len(refused), sent)
}
