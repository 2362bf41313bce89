package delegation

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"tamarackrun"
	"tamarackrun/internal/coordination/membership"
	"tamarackrun/internal/standin/property"
)

func TestMain(m *testing.M) { property.Main(m) }

type clock struct{ now time.Duration }

func (c *clock) Now() time.Duration { return c.now }

// Guards against a delegate that works on a request after the caller's deadline because the clocks of
// the instances differ or the delegate's clock value was on its way for long.
func TestDeadlineIsNeverLater(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := rapid.Int64Range(0, int64(10*time.Second))
		own := &clock{now: time.Hour}
		lead := time.Duration(rapid.Int64Range(-int64(time.Hour), int64(time.Hour)).Draw(t, "lead"))
		p := &Pool{Clock: own}
		for range rapid.IntRange(1, 20).Draw(t, "replies") {
			sent := own.now + lead
			own.now += time.Duration(duration.Draw(t, "delay"))
			p.NoteClock("d", 1, sent)
			deadline := own.now + time.Duration(duration.Draw(t, "remaining"))
			process, converted, ok := p.Deadline("d", deadline)
			if process != 1 || !ok || converted > deadline+lead {
				t.Fatalf("deadline %v on the delegate's clock, want at most %v", converted, deadline+lead)
			}
		}
	})
}

func member(name, region string, change func(*membership.Member)) membership.Member {
	m := membership.Member{Name: name, InstanceRecord: tamarackrun.InstanceRecord{Region: region}, Ready: true, HeardRecently: true}
	if change != nil {
		change(&m)
	}
	return m
}

// Guards against requests that are sent to instances that can't help, or whose body goes to a region
// that its route or organisation does not allow, and against one delegate that gets all of them.
func TestChoiceOfDelegates(t *testing.T) {
	members := []membership.Member{
		member("self", "a", nil), member("near-1", "a", nil), member("near-2", "a", nil), member("far", "b", nil),
		member("cut off", "a", func(m *membership.Member) { m.ServersUnreachable = true }),
		member("leaving", "a", func(m *membership.Member) { m.Leaving = true }),
		member("starting", "a", func(m *membership.Member) { m.Ready = false }),
		member("silent", "a", func(m *membership.Member) { m.HeardRecently = false }),
	}
	p := &Pool{Name: "self", Region: "a", Clock: &clock{}, Members: func() []membership.Member { return members }}
	counts := map[string]int{}
	for range 3 * farPenalty {
		m, _ := p.Choose(nil, nil)
		counts[m.Name]++
	}
	if counts["near-1"]+counts["near-2"]+counts["far"] != 3*farPenalty || counts["far"] == 0 || counts["far"] >= counts["near-1"] ||
		counts["near-1"]-counts["near-2"] > 2 || counts["near-2"]-counts["near-1"] > 2 {
		t.Errorf("%d requests went to %v", 3*farPenalty, counts)
	}
	if m, ok := p.Choose([][]string{{"a"}}, []string{"near-1", "near-2"}); !ok || m.Name != "leaving" {
		t.Errorf("a request goes to %q, want the leaving instance, the last with links", m.Name)
	}
	if m, ok := p.Choose([][]string{{"a", "b"}, {"b"}}, nil); !ok || m.Name != "far" {
		t.Errorf("a request for region b goes to %q", m.Name)
	}
	if m, ok := p.Choose([][]string{{"a"}, {"b"}}, nil); ok {
		t.Errorf("a request that no region allows goes to %q", m.Name)
	}
	p.Avoid(members[3])
	if m, ok := p.Choose([][]string{{"b"}}, nil); ok {
		t.Errorf("a request is sent to %q, which has just said that it can't help", m.Name)
	}
	p.Clock.(*clock).now += avoidTime
	if _, ok := p.Choose([][]string{{"b"}}, nil); !ok {
		t.Error("a delegate is not asked again")
	}
	if m, ok := p.Choose([][]string{{"b"}}, []string{"far"}); ok {
		t.Errorf("a request is sent to the same delegate again: %q", m.Name)
	}
}

// Guards against requests that go to a delegate which has probably lost its links while another one has them, and against
// requests that go nowhere because the servers of all delegates have crashed.
func TestDoubtfulDelegatesAreLast(t *testing.T) {
	members := []membership.Member{member("near", "a", nil), member("far", "b", nil)}
	p := &Pool{Name: "self", Region: "a", Clock: &clock{}, Members: func() []membership.Member { return members }}
	p.Doubt("near")
	for range 2 * farPenalty {
		if m, _ := p.Choose(nil, nil); m.Name != "far" {
			t.Fatalf("a request goes to %q, which could not connect to servers", m.Name)
		}
	}
	if m, _ := p.Choose(nil, []string{"far"}); m.Name != "near" {
		t.Errorf("a request goes to %q, want the only delegate that has not been asked", m.Name)
	}
	p.Clock.(*clock).now += doubtTime
	if m, _ := p.Choose(nil, nil); m.Name != "near" {
		t.Errorf("a request goes to %q, want the nearest delegate again", m.Name)
	}
}

// Guards against callers who are refused while the only delegate has been started again, because its process before has said
// that it was leaving (RECOVER, soak seed 71022).
func TestRestartedDelegateIsNotAvoided(t *testing.T) {
	leaving, started := member("d", "a", func(m *membership.Member) { m.Leaving = true }), member("d", "a", nil)
	now := leaving
	p := &Pool{Clock: &clock{}, Members: func() []membership.Member { return []membership.Member{now} }}
	for _, test := range []struct {
		avoided, now membership.Member
		chosen       bool
	}{{leaving, leaving, false}, {leaving, started, true}, {started, leaving, false}, {started, started, false}} {
		p.Avoid(test.avoided)
		now = test.now
		if _, ok := p.Choose(nil, nil); ok != test.chosen {
			t.Errorf("leaving when it refused %t, and now %t: chosen %t, want %t", test.avoided.Leaving, test.now.Leaving, ok, test.chosen)
		}
	}
}
