package instance_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun"
	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/protocol/frame"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/standin/fleet"
	"tamarackrun/internal/standin/server"
	"tamarackrun/internal/transport/peer"
)

// issuer acts as an issuing instance towards the home entry-1. It sends Resolve
// over another connection than Dispatch, as after a lost connection.
type issuer struct {
	t                         *testing.T
	fleet                     *fleet.Fleet
	address                   string
	incarnation               string
	dispatchMesh, resolveMesh *peer.Mesh
}

func newPeer(t *testing.T) *peer.Mesh {
	t.Helper()
	m, cleanup, err := peer.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cleanup)
	return m
}

func newIssuer(t *testing.T) *issuer {
	t.Helper()
	f := startOrderFleet(t, "10s")
	i := &issuer{t: t, fleet: f, address: f.Instances[0].Listing.PeerAddress, dispatchMesh: newPeer(t), resolveMesh: newPeer(t)}
	for _, m := range []*peer.Mesh{i.dispatchMesh, i.resolveMesh} {
		awaitCondition(t, "heartbeat", func() bool {
			reply, err := m.Call(t.Context(), i.address, &wire.Envelope{Kind: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{}}})
			i.incarnation = reply.GetHeartbeatReply().GetState().GetIncarnation()
			return err == nil && i.incarnation != ""
		})
	}
	return i
}

type discardAnswer struct{}

func (discardAnswer) Head(int, http.Header) error { return nil }
func (discardAnswer) Body([]byte) error           { return nil }
func (discardAnswer) End() error                  { return nil }

// send sends the Dispatch of an attempt. The returned channel delivers its
// outcome.
func (i *issuer) send(attempt, body string) <-chan tamarackrun.Outcome {
	i.t.Helper()
	stream, err := i.dispatchMesh.Open(i.t.Context(), i.address)
	if err != nil {
		i.t.Fatal(err)
	}
	// A home that took the server over from another instance refuses requests of other
	// regions (shiftCapped) until the earlier home's requests have ended. The order in which
	// the instances start decides whether that happens.
	request := tamarackrun.Request{ID: attempt, Attempt: attempt, Organisation: "tea", Route: "order", Service: "order",
		Server: "order-01", OriginRegion: "r1", Method: "POST", Target: "/order", Body: []byte(body), Deadline: 10 * time.Second,
		KeyHash: document.HashKey(fleet.CallerKey("tea"))}
	if err := stream.Send(&wire.Envelope{Kind: &wire.Envelope_Dispatch{Dispatch: frame.FromRequest(request, 0)}}); err != nil {
		i.t.Fatal(err)
	}
	outcomes := make(chan tamarackrun.Outcome, 1)
	go func() {
		outcome, _ := frame.ReceiveAnswer(stream, discardAnswer{})
		_ = stream.Close()
		outcomes <- outcome
	}()
	return outcomes
}

func (i *issuer) resolve(attempt string) tamarackrun.Outcome {
	ctx, cancel := context.WithTimeout(i.t.Context(), stopLimit)
	defer cancel()
	reply, err := i.resolveMesh.Call(ctx, i.address, &wire.Envelope{Kind: &wire.Envelope_Resolve{Resolve: &wire.Resolve{Attempt: attempt}}})
	outcome, ok := frame.ParseOutcome(reply.GetResolved().GetOutcome(), reply.GetResolved().GetReason())
	if err != nil || !ok {
		i.t.Errorf("no answer to Resolve: %v", err)
	}
	return outcome
}

func (i *issuer) expect(want, got tamarackrun.Outcome, body string, executions int) {
	i.t.Helper()
	if diff := cmp.Diff([]any{want, executions}, []any{got, i.fleet.Executions(body)}); diff != "" {
		i.t.Errorf("%s: outcome, executions (-want +got):\n%s", body, diff)
	}
}

// An attempt for which the home answered notRun must not run when its Dispatch
// arrives later or waits for a slot. Only the incarnation that an attempt was
// sent to may run it or report its outcome.
func TestHomeResolvesAttempts(t *testing.T) {
	t.Parallel()
	i := newIssuer(t)
	suffix := "@" + i.incarnation
	cancelled := tamarackrun.Refused(tamarackrun.AttemptCancelled)
	i.expect(cancelled, i.resolve("late"+suffix), "late", 0)
	i.expect(cancelled, <-i.send("late"+suffix, "late"), "late", 0)

	i.expect(tamarackrun.Refused(tamarackrun.NotHome), <-i.send("other@entry-1-OTHER", "other"), "other", 0)
	i.expect(tamarackrun.Uncertain(tamarackrun.HomeLost), i.resolve("other@entry-1-OTHER"), "other", 0)

	i.expect(tamarackrun.Done, <-i.send("done"+suffix, "done"), "done", 1)
	i.expect(tamarackrun.Done, i.resolve("done"+suffix), "done", 1)

	setServerFaults(i.fleet, server.Faults{WorkMillis: 3000})
	const attempts = 12
	name := func(n int) string { return fmt.Sprintf("slot-%d", n) }
	var sent []<-chan tamarackrun.Outcome
	for n := range attempts {
		sent = append(sent, i.send(name(n)+suffix, name(n)))
	}
	awaitCondition(t, "use of a slot", func() bool { return len(i.fleet.Servers["order-01"].Record().Executions) > 1 })
	settled := make([]tamarackrun.Outcome, attempts)
	var group sync.WaitGroup
	for n := range attempts {
		group.Go(func() {
			for settled[n] = i.resolve(name(n) + suffix); settled[n].Reason == tamarackrun.StillRunning; {
				settled[n] = i.resolve(name(n) + suffix)
			}
		})
	}
	group.Wait()
	counts := map[string]int{}
	for n := range attempts {
		i.checkAgreement(name(n), <-sent[n], settled[n])
		counts[settled[n].String()]++
	}
	if counts["ran"] == 0 || counts["ran"] == attempts {
		t.Errorf("the attempts did not both run and wait: %v", counts)
	}
}

// checkAgreement checks that an attempt either ran or was barred, and that
// Dispatch and Resolve agree on it.
func (i *issuer) checkAgreement(body string, dispatched, settled tamarackrun.Outcome) {
	i.t.Helper()
	n := i.fleet.Executions(body)
	ran := n == 1 && dispatched.Kind == tamarackrun.Ran && settled.Kind != tamarackrun.NotRun
	barred := n == 0 && dispatched.Kind == tamarackrun.NotRun && settled.Kind == tamarackrun.NotRun
	if !ran && !barred {
		i.t.Errorf("%s: %d executions, dispatch %s, resolve %s", body, n, dispatched, settled)
	}
}

// A home that resumes finds Dispatch and Resolve of the same attempts on two
// connections, in any order. It must either run an attempt or answer notRun,
// and never both.
func TestResumedHomeRunsOrBars(t *testing.T) {
	t.Parallel()
	i := newIssuer(t)
	const attempts = 60
	expectSignaled(t, i.fleet.Instances[0].Pause())
	sent := make([]<-chan tamarackrun.Outcome, attempts)
	resolved := make([]chan tamarackrun.Outcome, attempts)
	name := func(n int) string { return fmt.Sprintf("order-%d", n) }
	for n := range attempts {
		sent[n], resolved[n] = i.send(name(n)+"@"+i.incarnation, name(n)), make(chan tamarackrun.Outcome, 1)
		go func() { resolved[n] <- i.resolve(name(n) + "@" + i.incarnation) }()
	}
	expectSignaled(t, i.fleet.Instances[0].Resume())
	counts := map[string]int{}
	for n := range attempts {
		dispatched, settled := <-sent[n], <-resolved[n]
		counts[settled.String()]++
		i.checkAgreement(name(n), dispatched, settled)
	}
	t.Log(counts)
}
