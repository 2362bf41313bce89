package front

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"tamarackrun"
	"tamarackrun/internal/coordination/delegation"
	"tamarackrun/internal/coordination/membership"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/boottime"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/history"
	"tamarackrun/internal/state/registry"
	"tamarackrun/internal/state/sla"
	"tamarackrun/internal/transport/exchange"
	"tamarackrun/internal/transport/peer"
	"tamarackrun/internal/transport/pipeline"
)

// plainCodec reads and writes no headers.
type plainCodec struct{ tamarackrun.HeaderCodec }

func (plainCodec) RewriteRequest(http.Header, tamarackrun.ForwardFields) {}

func (plainCodec) DecodeAnswer(int, http.Header) tamarackrun.AnswerFields {
	return tamarackrun.AnswerFields{}
}

// scriptedDelegates send their scripts, one for each request in turn, and then close the stream.
type scriptedDelegates struct {
	t       *testing.T
	scripts chan []*wire.Envelope
	// asked receives the messages for which there are scripts.
	asked chan *wire.Delegate
}

func (d scriptedDelegates) ServePeer(_ context.Context, first *wire.Envelope, stream tamarackrun.Stream) {
	if first.GetDelegate() == nil {
		_ = stream.Send(&wire.Envelope{Kind: &wire.Envelope_ProcessClock{ProcessClock: &wire.ProcessClock{Process: 1}}})
		return
	}
	select {
	case script := <-d.scripts:
		d.asked <- first.GetDelegate()
		for _, message := range script {
			_ = stream.Send(message)
		}
	default:
		d.t.Error("another delegate is asked")
	}
}

func delegated(reply *wire.Delegated) *wire.Envelope {
	return &wire.Envelope{Kind: &wire.Envelope_Delegated{Delegated: reply}}
}

// entryWithDelegates returns an instance that knows delegates, which send the scripts, the scripts that they have not sent, and
// the messages that they have got.
func entryWithDelegates(t *testing.T, delegates int, list [][]*wire.Envelope) (*Front, chan []*wire.Envelope, chan *wire.Delegate) {
	t.Helper()
	mesh, closeMesh, err := peer.New("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(closeMesh)
	scripts := make(chan []*wire.Envelope, len(list))
	for _, s := range list {
		scripts <- s
	}
	asked := make(chan *wire.Delegate, len(list))
	mesh.Handler = scriptedDelegates{t, scripts, asked}
	go func() { _ = mesh.Run() }()
	f := New(sla.Terms{RetrySlack: 50}.WithDefaults())
	f.history = &history.History{Logger: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, Scope: tally.NoopScope}
	f.HeaderCodec, f.mesh = plainCodec{}, mesh
	client, closeClient := exchange.New()
	t.Cleanup(closeClient)
	f.backendClient = client
	f.delegates = &delegation.Pool{Clock: boottime.Clock{}, Members: func() []membership.Member {
		var members []membership.Member
		for i := range delegates {
			members = append(members, membership.Member{Name: strconv.Itoa(i), HeardRecently: true, Ready: true,
				InstanceRecord: tamarackrun.InstanceRecord{ReportAddress: mesh.Address()}})
		}
		return members
	}}
	return f, scripts, asked
}

// delegableAttempts returns the attempts of a request that has not been sent.
func delegableAttempts(idempotent bool) *attempts {
	a := &attempts{request: &request{route: configuration.Route{Idempotent: idempotent, MaxAttempts: 3}, deadline: time.Now().Add(5 * time.Second)},
		outcome: tamarackrun.Refused(tamarackrun.NoHealthyServer)}
	a.request.call.Request = &http.Request{Header: http.Header{}}
	return a
}

// Guards against the outcome "not run", and against another send, for a request that a delegate may have sent: the
// delegate ends at any point of its reply, or refuses after an earlier attempt whose outcome is unknown. Guards, too, against the
// refusal of a request because one delegate's requests hang, as it has lost its links and not noticed it yet (soak seed 71022).
func TestDelegatesProveOnlyTheirOwnAttempt(t *testing.T) {
	refused := []*wire.Envelope{delegated(&wire.Delegated{Outcome: uint32(tamarackrun.NotRun), Reason: string(tamarackrun.ServerShed), Server: "s"})}
	full := []*wire.Envelope{delegated(&wire.Delegated{Outcome: uint32(tamarackrun.NotRun), Reason: string(tamarackrun.QueueFull)})}
	untaken := []*wire.Envelope{delegated(refusedDelegation(tamarackrun.Leaving))}
	unreached := []*wire.Envelope{delegated(&wire.Delegated{Outcome: uint32(tamarackrun.NotRun), Reason: string(tamarackrun.ServersUnreachable)})}
	body := &wire.Envelope{Kind: &wire.Envelope_AnswerBody{AnswerBody: &wire.AnswerBody{Piece: []byte("abc")}}}
	head := delegated(&wire.Delegated{Outcome: uint32(tamarackrun.Ran), Status: http.StatusOK, Length: 7})
	// An instance of an earlier version may have read such an answer.
	invalidField := delegated(&wire.Delegated{Outcome: uint32(tamarackrun.Ran), Status: http.StatusOK, Header: []*wire.HeaderField{{Name: "Some Name", Value: []byte("1")}}})
	lost, shed := tamarackrun.Uncertain(tamarackrun.DelegateLost), tamarackrun.Refused(tamarackrun.ServerShed)
	tests := map[string]struct {
		idempotent bool
		// earlier is the outcome of an earlier attempt, which a server got; the zero value means that there is none.
		earlier tamarackrun.Outcome
		// scripts are those of the delegates that are asked in turn.
		scripts [][]*wire.Envelope
		final   bool
		outcome tamarackrun.Outcome
	}{
		"its servers hold all its requests":       {false, tamarackrun.Outcome{}, [][]*wire.Envelope{full, refused}, true, shed},
		"a server refuses":                        {false, tamarackrun.Outcome{}, [][]*wire.Envelope{refused}, true, shed},
		"a server refuses after a lost answer":    {true, lost, [][]*wire.Envelope{refused}, true, lost},
		"no delegate takes it, after that":        {true, lost, [][]*wire.Envelope{untaken, unreached, untaken, unreached}, false, lost},
		"no delegate takes it":                    {false, tamarackrun.Outcome{}, [][]*wire.Envelope{untaken, unreached, untaken, unreached}, false, tamarackrun.Refused(tamarackrun.ServersUnreachable)},
		"it ends before its reply":                {false, tamarackrun.Outcome{}, [][]*wire.Envelope{nil}, true, lost},
		"it ends before its reply, idempotent":    {true, tamarackrun.Outcome{}, [][]*wire.Envelope{nil}, false, lost},
		"it ends before the body":                 {false, tamarackrun.Outcome{}, [][]*wire.Envelope{{head}}, true, lost},
		"it ends within the body":                 {false, tamarackrun.Outcome{}, [][]*wire.Envelope{{head, body}}, true, lost},
		"it sends a longer body":                  {false, tamarackrun.Outcome{}, [][]*wire.Envelope{{head, body, body, body}}, true, lost},
		"it sends an invalid status":              {false, tamarackrun.Outcome{}, [][]*wire.Envelope{{delegated(&wire.Delegated{Outcome: uint32(tamarackrun.Ran), Status: 600})}}, true, lost},
		"it sends an invalid name of a field":     {false, tamarackrun.Outcome{}, [][]*wire.Envelope{{invalidField}}, true, lost},
		"it sends no outcome":                     {false, tamarackrun.Outcome{}, [][]*wire.Envelope{{delegated(&wire.Delegated{})}}, true, lost},
		"it ends after one that has not taken it": {false, tamarackrun.Outcome{}, [][]*wire.Envelope{untaken, nil}, true, lost},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, scripts, _ := entryWithDelegates(t, maxDelegates, test.scripts)
			for i := range maxDelegates {
				// A question for the clock may end by its timeout on a busy machine, and the delegate would not be asked.
				f.delegates.NoteClock(strconv.Itoa(i), 1, boottime.Clock{}.Now())
			}
			a := delegableAttempts(test.idempotent)
			if test.earlier != (tamarackrun.Outcome{}) {
				a.add("earlier", exchange.Result{Outcome: test.earlier, Sent: true})
			}
			final := f.attemptByDelegate(t.Context(), a)
			if diff := cmp.Diff([]any{test.final, test.outcome, true, 0}, []any{final, a.outcome, a.answer == nil, len(scripts)}); diff != "" {
				t.Errorf("final, outcome, no answer, and delegates that were not asked (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against callers who are refused for 1.5 s because the only delegate with links has refused one request after its
// servers had crashed, while it serves its own callers (RECOVER, soak seeds 7008, 50039 and 60001).
func TestDelegateWithCrashedServersIsAskedAgain(t *testing.T) {
	for _, reason := range []tamarackrun.Reason{tamarackrun.ServerPaused, tamarackrun.ConnectFailed} {
		t.Run(string(reason), func(t *testing.T) {
			refused := []*wire.Envelope{delegated(&wire.Delegated{Outcome: uint32(tamarackrun.NotRun), Reason: string(reason)})}
			shed := []*wire.Envelope{delegated(&wire.Delegated{Outcome: uint32(tamarackrun.NotRun), Reason: string(tamarackrun.ServerShed), Server: "s"})}
			f, scripts, _ := entryWithDelegates(t, 1, [][]*wire.Envelope{refused, shed})
			for _, want := range []tamarackrun.Reason{reason, tamarackrun.ServerShed} {
				a := delegableAttempts(true)
				f.attemptByDelegate(t.Context(), a)
				if diff := cmp.Diff(tamarackrun.Refused(want), a.outcome); diff != "" {
					t.Errorf("outcome (-want +got):\n%s", diff)
				}
			}
			if n := len(scripts); n > 0 {
				t.Errorf("%d requests were not sent to the delegate", n)
			}
		})
	}
}

// Guards against callers who are refused because the only delegate has been started again since the last request.
func TestRestartedDelegateIsAskedAgain(t *testing.T) {
	shed := []*wire.Envelope{delegated(&wire.Delegated{Outcome: uint32(tamarackrun.NotRun), Reason: string(tamarackrun.ServerShed), Server: "s"})}
	f, _, asked := entryWithDelegates(t, 1, [][]*wire.Envelope{{delegated(refusedDelegation(tamarackrun.DelegateChanged))}, shed})
	f.delegates.NoteClock("0", 7, 0)
	a := delegableAttempts(false)
	f.attemptByDelegate(t.Context(), a)
	var processes []int64
	for len(asked) > 0 {
		processes = append(processes, (<-asked).Process)
	}
	if diff := cmp.Diff([]any{tamarackrun.Refused(tamarackrun.ServerShed), []int64{7, 1}}, []any{a.outcome, processes}); diff != "" {
		t.Errorf("outcome and processes that were asked (-want +got):\n%s", diff)
	}
}

// Guards against a token of an instance's share of a cold server's limit that serves two requests, since two delegates get it, and
// against shares that stay unused: tokens that no delegate took, and those for a delegate that needs one (RECOVER, FAILBACK).
func TestGrantGoesToOneDelegate(t *testing.T) {
	untaken := []*wire.Envelope{delegated(refusedDelegation(tamarackrun.Leaving))}
	changed := []*wire.Envelope{delegated(refusedDelegation(tamarackrun.DelegateChanged))}
	refuse := func(reason tamarackrun.Reason) []*wire.Envelope {
		return []*wire.Envelope{delegated(&wire.Delegated{Outcome: uint32(tamarackrun.NotRun), Reason: string(reason)})}
	}
	tests := map[string]struct {
		// servers are "warm" and "cold", in this order of preference.
		servers []string
		scripts [][]*wire.Envelope
		// want are the names of the servers of the grants that the delegates get in turn.
		want []string
		// left is the number of tokens that the entry instance has afterwards, of one for each cold server.
		left int
	}{
		"the first takes it":               {[]string{"cold-1"}, [][]*wire.Envelope{refuse(tamarackrun.ServerShed)}, []string{"cold-1"}, 0},
		"the first is lost":                {[]string{"cold-1"}, [][]*wire.Envelope{nil, refuse(tamarackrun.ServerShed)}, []string{"cold-1", ""}, 0},
		"the first does not take it":       {[]string{"cold-1"}, [][]*wire.Envelope{untaken, refuse(tamarackrun.ServerShed)}, []string{"cold-1", "cold-1"}, 0},
		"none takes it":                    {[]string{"cold-1"}, [][]*wire.Envelope{untaken, untaken}, []string{"cold-1", "cold-1"}, 1},
		"it can't be used":                 {[]string{"cold-1", "cold-2"}, [][]*wire.Envelope{refuse(tamarackrun.ServerPaused), refuse(tamarackrun.ServerShed)}, []string{"cold-1", "cold-2"}, 0},
		"it is not needed":                 {[]string{"warm-1", "cold-2"}, [][]*wire.Envelope{refuse(tamarackrun.ServerShed)}, []string{""}, 1},
		"the delegate's share is used up":  {[]string{"warm-1", "cold-2"}, [][]*wire.Envelope{refuse(tamarackrun.ServerCold), refuse(tamarackrun.ServerShed)}, []string{"", "cold-2"}, 0},
		"the first's process is new":       {[]string{"cold-1"}, [][]*wire.Envelope{changed, refuse(tamarackrun.ServerShed)}, []string{"cold-1", "cold-1"}, 0},
		"all shares are used up":           {[]string{"warm-1"}, [][]*wire.Envelope{refuse(tamarackrun.ServerCold), refuse(tamarackrun.ServerCold)}, []string{"", ""}, 0},
		"another reason asks for no token": {[]string{"warm-1", "cold-2"}, [][]*wire.Envelope{refuse(tamarackrun.BodiesFull)}, []string{""}, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f, scripts, asked := entryWithDelegates(t, 2, test.scripts)
			now, page := time.Now(), tamarackrun.Page{Full: true}
			for i, server := range test.servers {
				record := &tamarackrun.ServerRecord{Address: "127.0.0.1:1", Service: "s", FailureDomain: []string{"near", "far"}[i], Slots: 9, StartMillis: 7}
				if strings.HasPrefix(server, "cold") {
					record.ColdFor = time.Hour
				}
				page.Records = append(page.Records, tamarackrun.Record{Name: server, Position: tamarackrun.Position{Revision: 1}, Server: record})
			}
			// Servers of this region come first.
			f.Identity.Region = "near"
			f.registry.Recorder, f.registry.Regions = f.history, map[string]string{"near": "near", "far": "far"}
			f.registry.ApplyServers(now, page, false)
			// The share is one request, and the requests are sent within its window.
			admit := func(now time.Time, server *registry.Server) bool {
				return f.coldLimiter.Admit(now, server.Name, 2, []string{""})
			}
			f.balancer.AdmitCold = admit
			a := delegableAttempts(true)
			a.request.service = "s"
			for len(scripts) > 0 && a.mayContinue(time.Now()) && !f.attemptByDelegate(t.Context(), a) {
			}
			var got []string
			for len(asked) > 0 {
				got = append(got, (<-asked).GetGrant().GetServer())
			}
			left := 0
			for _, server := range f.registry.ServersOf("s") {
				if server.Cold(now) && admit(time.Now(), server) {
					left++
				}
			}
			if diff := cmp.Diff([]any{test.want, test.left}, []any{got, left}); diff != "" {
				t.Errorf("servers of the grants, and tokens left (-want +got):\n%s", diff)
			}
		})
	}
}

// refusingCodec takes each answer with the status 503 for a refusal.
type refusingCodec struct{ plainCodec }

func (refusingCodec) DecodeAnswer(status int, _ http.Header) tamarackrun.AnswerFields {
	return tamarackrun.AnswerFields{NotRun: status == http.StatusServiceUnavailable}
}

// Guards against a delegate that counts as cut off from the servers, and against uncounted sends of its request by
// further delegates, because the last server that it tried took no connection: another server has got the request and
// refused it.
func TestDelegateNamesRefusalOfServer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	defer server.Close()
	closed := httptest.NewServer(nil)
	closed.Close()
	// The order in which the servers are tried is random.
	for range 20 {
		f := New(sla.Terms{RetrySlack: 50}.WithDefaults())
		f.history = &history.History{Logger: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, Scope: tally.NoopScope}
		client, closeClient := exchange.New()
		defer closeClient()
		client.HeaderCodec = refusingCodec{}
		f.HeaderCodec, f.backendClient, f.scope, f.process = refusingCodec{}, client, tally.NoopScope, 1
		f.snapshot.Store(&configuration.Snapshot{})
		f.callerServer = &pipeline.Server{}
		f.callerServer.Bodies.Limit = 1 << 20
		f.balancer.AdmitCold = func(time.Time, *registry.Server) bool { return true }
		f.balancer.CountWarm = func(time.Time, *registry.Server) {}
		f.balancer.ColdTime = func(string) time.Duration { return 0 }
		f.registry.Recorder, f.registry.Regions = f.history, map[string]string{"z": "r"}
		page := tamarackrun.Page{Full: true}
		for name, s := range map[string]*httptest.Server{"refuses": server, "closed": closed} {
			page.Records = append(page.Records, tamarackrun.Record{Name: name, Position: tamarackrun.Position{Revision: 1},
				Server: &tamarackrun.ServerRecord{Address: s.Listener.Addr().String(), Service: "s", FailureDomain: "z", Slots: 9}})
		}
		f.registry.ApplyServers(time.Now(), page, false)
		deadline := boottime.Clock{}.Now() + 5*time.Second
		reply, _ := f.runDelegated(t.Context(), &wire.Delegate{Process: 1, DeadlineMillis: uint64(deadline.Milliseconds()), Entry: "entry", Id: []byte("a"),
			Service: "s", Method: http.MethodPost, Target: []byte("/"), Host: []byte("h"), Attempts: 3, Counted: true})
		want := tamarackrun.Refused(tamarackrun.ServerShed)
		if diff := cmp.Diff(want, tamarackrun.Outcome{Kind: tamarackrun.OutcomeKind(reply.Outcome), Reason: tamarackrun.Reason(reply.Reason)}); diff != "" {
			t.Fatalf("outcome (-want +got):\n%s", diff)
		}
	}
}
