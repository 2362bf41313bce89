package roster

import (
	"testing"
	"time"

	"tamarackrun"
	"tamarackrun/internal/protocol/wire"
)

type testClock struct{ now time.Duration }

func (c *testClock) Now() time.Duration { return c.now }

// Guards against an instance that forgets a peer between the peer's first heartbeat and its own one
// to the peer, because the platform's list, which lags behind, arrives in that moment
// (TestAgedMessagesRunNothing: homeUnreachable for 30 s). A peer that stays silent is dropped.
func TestListDropsNoNewPeer(t *testing.T) {
	clock := &testClock{now: time.Hour}
	r := New(tamarackrun.Listing{Name: "self"}, clock)
	for _, name := range []string{"answers", "silent"} {
		r.AddFromHeartbeat(&wire.PeerState{Name: name, PeerAddress: "127.0.0.1:1"})
	}
	r.Update(nil)
	r.RecordHeartbeat("answers", &wire.PeerState{Name: "answers"}, clock.now)
	if m, ok := r.Member("answers"); !ok || !m.Reachable {
		t.Errorf("the peer is known: %v, and reachable: %v, want both", ok, m.Reachable)
	}
	clock.now += UnreachableAfter
	r.RecordHeartbeat("answers", &wire.PeerState{Name: "answers"}, clock.now)
	clock.now++
	r.Update(nil)
	if _, ok := r.Member("silent"); ok {
		t.Error("a peer that never answers is kept")
	}
	if _, ok := r.Member("answers"); !ok {
		t.Error("a peer that answers is dropped")
	}
}
