package instance_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/protocol/frame"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/standin/fleet"
	"tamarackrun/internal/state/boottime"
)

const testIncarnation = "tester-1"

// heartbeatResponder answers the heartbeats of a fleet like an instance that is
// starting.
type heartbeatResponder struct{ address string }

func (h heartbeatResponder) state() *wire.PeerState {
	return &wire.PeerState{Name: "tester", Incarnation: testIncarnation, FailureDomain: "r1-a", Phase: 1,
		PeerAddress: h.address, ClockMillis: uint64(boottime.Clock{}.Now().Milliseconds()) + 1}
}

func (h heartbeatResponder) ServePeer(_ context.Context, _ *wire.Envelope, stream tamarackrun.Stream) {
	_ = stream.Send(&wire.Envelope{Kind: &wire.Envelope_HeartbeatReply{HeartbeatReply: &wire.HeartbeatReply{State: h.state()}}})
}

// A message that was sent long ago must not start an order, whether it is a
// Dispatch or an Execute, and neither must a message of an unknown sender. If
// the age of the message is ignored, the receiver gives the order its full
// remaining time.
func TestAgedMessagesRunNothing(t *testing.T) {
	t.Parallel()
	i := newIssuer(t)
	sender := newPeer(t)
	h := heartbeatResponder{sender.Address()}
	sender.Handler = h
	go func() { _ = sender.Run() }()
	awaitCondition(t, "the first heartbeat reply", func() bool {
		_, err := sender.Call(t.Context(), i.address, &wire.Envelope{Kind: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{State: h.state()}}})
		return err == nil
	})
	tc := newTicketCaller(t, i.fleet, 0, "")
	exchange := func(execute bool, sentBy, body string, age time.Duration) tamarackrun.Outcome {
		request := tamarackrun.Request{ID: body, Attempt: body + "@" + i.incarnation, Organisation: "tea", Route: "order", Service: "order",
			Server: "order-01", Method: "POST", Target: "/order", Body: []byte(body), Deadline: 5 * time.Second,
			KeyHash: document.HashKey(fleet.CallerKey("tea")), KeyVersion: 1}
		d := frame.FromRequest(request, 0)
		d.Sender, d.SentMillis = sentBy, uint64((boottime.Clock{}.Now() - age).Milliseconds())
		message := &wire.Envelope{Kind: &wire.Envelope_Dispatch{Dispatch: d}}
		if execute {
			message = &wire.Envelope{Kind: &wire.Envelope_Execute{Execute: &wire.Execute{Ticket: tc.newTicket(0), Try: 1, Request: d}}}
		}
		stream, err := sender.Open(t.Context(), i.address)
		if err != nil || stream.Send(message) != nil {
			t.Fatalf("the message was not sent: %v", err)
		}
		defer func() { _ = stream.Close() }()
		outcome, _ := frame.ReceiveAnswer(stream, discardAnswer{})
		return outcome
	}
	// An attempt that the home refused after it began never runs, so each try is
	// another attempt.
	tries := 0
	awaitCondition(t, "an instance that knows the clock of the peer", func() bool {
		tries++
		outcome := exchange(false, testIncarnation, fmt.Sprintf("first-%d", tries), 0)
		if tries%100 == 0 {
			t.Logf("try %d: %v", tries, outcome)
		}
		return outcome == tamarackrun.Done
	})
	for _, v := range []struct {
		execute    bool
		sender     string
		body       string
		age        time.Duration
		want       tamarackrun.Outcome
		executions int
	}{
		{false, testIncarnation, "new dispatch", 0, tamarackrun.Done, 1},
		{true, testIncarnation, "new execute", 0, tamarackrun.Done, 1},
		{false, testIncarnation, "old dispatch", 6 * time.Second, tamarackrun.Refused(tamarackrun.DeadlinePassed), 0},
		{true, testIncarnation, "old execute", 6 * time.Second, tamarackrun.Refused(tamarackrun.DeadlinePassed), 0},
		{false, "tester-2", "unknown dispatch", 0, tamarackrun.Refused(tamarackrun.HomeUnreachable), 0},
		{true, "tester-2", "unknown execute", 0, tamarackrun.Uncertain(tamarackrun.IssuerLost), 0},
	} {
		got := exchange(v.execute, v.sender, v.body, v.age)
		if diff := cmp.Diff([]any{v.want, v.executions}, []any{got, i.fleet.Executions(v.body)}); diff != "" {
			t.Errorf("%s: outcome, executions (-want +got):\n%s", v.body, diff)
		}
	}
}
