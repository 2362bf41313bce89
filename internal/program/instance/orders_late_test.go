package instance

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"tamarackrun"
	"tamarackrun/internal/coordination/ticket"
	"tamarackrun/internal/protocol/settings"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/boottime"
	"tamarackrun/internal/state/history"
	"tamarackrun/internal/state/ledger"
	"tamarackrun/internal/state/metrics"
	"tamarackrun/internal/state/roster"
	"tamarackrun/internal/transport/peer"
)

// slowHome answers that attempts were cancelled, the first time only when release is closed.
type slowHome struct {
	calls          atomic.Int64
	asked, release chan struct{}
}

func (h *slowHome) ServePeer(_ context.Context, _ *wire.Envelope, stream tamarackrun.Stream) {
	if h.calls.Add(1) == 1 {
		close(h.asked)
		<-h.release
	}
	outcome := tamarackrun.Refused(tamarackrun.AttemptCancelled)
	_ = stream.Send(&wire.Envelope{Kind: &wire.Envelope_Resolved{Resolved: &wire.Resolved{
		Outcome: uint32(outcome.Kind), Reason: string(outcome.Reason)}}})
}

func newTestMesh(t *testing.T, handler tamarackrun.PeerHandler) *peer.Mesh {
	t.Helper()
	m, cleanup, err := peer.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	m.Handler = handler
	go func() { _ = m.Run() }()
	return m
}

// Two repeats of a ticket ask the home what became of its lost run. The first reply says that it did not run,
// and a second run starts and is lost too. The other reply, which comes then, must not count for the second
// run: a third one would run the order twice.
func TestLateReplyConcernsOnlyItsRun(t *testing.T) {
	meter, closeMeter := metrics.New("self")
	defer closeMeter()
	home := &slowHome{asked: make(chan struct{}), release: make(chan struct{})}
	homeMesh := newTestMesh(t, home)
	in := &Instance{Settings: settings.Settings{Name: "self"}, clock: boottime.Clock{}, incarnation: "self-1", mesh: newTestMesh(t, home)}
	in.history = &history.History{Instance: "self", Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, Scope: meter.Scope}
	in.roster = roster.New(in.listing(), in.clock)
	in.roster.Update([]tamarackrun.Listing{in.listing(), {Name: "home", PeerAddress: homeMesh.Address()}})
	tr := newTicketedRequests(in)
	now := in.clock.Now()
	order := ledger.Request{Sequence: 1, Expiry: now + time.Hour, Try: 1}
	lose := func(attempt string) *ledger.Run {
		run, started := tr.ledger.Begin(now, order)
		if !started {
			t.Fatalf("try %d does not run", order.Try)
		}
		tr.unresolved[run] = sentAttempt{id: attempt, home: "home", incarnation: "home-1", sentAt: now}
		tr.ledger.Finish(order.Sequence, run, tamarackrun.Uncertain(tamarackrun.HomeLost), nil)
		return run
	}
	first := lose("order.1@home-1")
	repeat := func() tamarackrun.Outcome {
		return tr.answerRepeat(t.Context(), ticket.Ticket{Sequence: order.Sequence}, first, tamarackrun.Request{ID: "order", Deadline: now + time.Minute}, nil)
	}
	ended := make(chan struct{})
	go func() { repeat(); close(ended) }()
	<-home.asked
	if diff := cmp.Diff(tamarackrun.Refused(tamarackrun.AttemptCancelled), repeat()); diff != "" {
		t.Errorf("outcome of the repeat (-want +got):\n%s", diff)
	}
	order.Try = 2
	lose("order.2@home-1")
	close(home.release)
	<-ended
	order.Try = 3
	run, started := tr.ledger.Begin(now, order)
	if started {
		t.Fatal("the order runs a third time, although its second run may have run it")
	}
	outcome, _ := run.Outcome()
	if diff := cmp.Diff(tamarackrun.Uncertain(tamarackrun.HomeLost), outcome); diff != "" {
		t.Errorf("outcome of the second run (-want +got):\n%s", diff)
	}
}
