package instance_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun/internal/standin/caller"
	"tamarackrun/internal/standin/fleet"
	"tamarackrun/internal/standin/platform"
	"tamarackrun/internal/standin/server"
)

// stopLimit bounds the wait for an instance to stop. It is long because the
// host may be busy.
const stopLimit = 30 * time.Second

// startOrderFleet starts a fleet with one backend server, whose home is entry-1.
// An order is a non-idempotent request, which its caller sends with a ticket.
// Tickets of entry-2 that are sent through entry-3 put home, issuer and entry
// instance into three processes.
func startOrderFleet(t *testing.T, timeout string) *fleet.Fleet {
	t.Helper()
	return startFleet(t, fleet.Options{Services: []fleet.Service{
		{Name: "order", Servers: 1, Slots: 8, Route: "methods = POST\nidempotent = no\ncutOff = serve\ntimeout = " + timeout}},
		Organisations: map[string]fleet.Rate{"tea": {Rate: 1000, Burst: 1000}, "jute": {Rate: 1000, Burst: 1000}}})
}

// ticketCaller is a caller that sends one order with one ticket.
type ticketCaller struct {
	t      *testing.T
	fleet  *fleet.Fleet
	caller *caller.Caller
	ticket string
	body   string
	// unused are further tickets of the same issuer.
	unused []string
}

func newTicketCaller(t *testing.T, f *fleet.Fleet, issuer int, body string) *ticketCaller {
	t.Helper()
	tc := &ticketCaller{t: t, fleet: f, caller: f.Caller("tea"), body: body}
	tc.ticket = tc.newTicket(issuer)
	return tc
}

func (tc *ticketCaller) newTicket(issuer int) string {
	tc.t.Helper()
	tickets, r := tc.caller.Tickets(tc.t.Context(), tc.fleet.Instances[issuer].Listing.CallerAddress, "order", 1)
	if len(tickets) != 1 {
		tc.t.Fatalf("no ticket: %+v", r)
	}
	return tickets[0]
}

func (tc *ticketCaller) send(ctx context.Context, entry int) caller.Result {
	return tc.caller.SendWithTicket(ctx, tc.fleet.Instances[entry].Listing.CallerAddress, tc.ticket, "POST", "/order", []byte(tc.body))
}

// sendAsync sends the order and waits until a backend server runs it.
func (tc *ticketCaller) sendAsync(ctx context.Context, entry int) <-chan caller.Result {
	tc.t.Helper()
	results := make(chan caller.Result, 1)
	go func() { results <- tc.send(ctx, entry) }()
	awaitCondition(tc.t, "execution", func() bool { return tc.fleet.Executions(tc.body) > 0 })
	return results
}

func (tc *ticketCaller) expect(r caller.Result, outcome, reason string, executions int) {
	tc.t.Helper()
	if diff := cmp.Diff([]any{outcome, reason, executions}, []any{r.Outcome, r.Reason, tc.fleet.Executions(tc.body)}); diff != "" {
		tc.t.Errorf("%s: outcome, reason, executions (-want +got):\n%s%+v", tc.body, diff, r)
	}
}

func setServerFaults(f *fleet.Fleet, faults server.Faults) {
	for _, s := range f.Servers {
		s.SetFaults(faults)
	}
}

// An order must run only once, however often and through whichever instance its
// ticket is sent, and no other order may run with the ticket.
func TestTicketRunsOnce(t *testing.T) {
	t.Parallel()
	f := startOrderFleet(t, "10s")
	tc := newTicketCaller(t, f, 1, "first")
	without := tc.caller.SendTo(t.Context(), f.Instances[0].Listing.CallerAddress, "POST", "/order", []byte("first"), nil)
	tc.expect(without, "notRun", "ticketRequired", 0)
	first := tc.send(t.Context(), 2)
	tc.expect(first, "ran", "", 1)
	for n := range f.Instances {
		r := tc.send(t.Context(), n)
		tc.expect(r, "ran", "", 1)
		if diff := cmp.Diff([]string{first.Body, "stored"}, []string{r.Body, r.Answer}); diff != "" {
			t.Errorf("repeat through instance %d: body and answer (-want +got):\n%s", n, diff)
		}
	}
	other := *tc
	other.body = "second"
	other.expect(other.send(t.Context(), 0), "notRun", "ticketReused", 0)
	other.ticket = tc.ticket[:len(tc.ticket)-8] + "AAAAAAAA"
	other.expect(other.send(t.Context(), 0), "notRun", "ticketInvalid", 0)
	other.ticket, other.caller = tc.newTicket(1), f.Caller("jute")
	other.expect(other.send(t.Context(), 0), "notRun", "ticketInvalid", 0)
	other.caller = tc.caller
	other.expect(other.send(t.Context(), 0), "ran", "", 1)
}

// An answer that is too large for the ledger must reach its caller whole, and a
// repeat must still learn that the order ran.
func TestLargeAnswerIsNotKept(t *testing.T) {
	t.Parallel()
	f := startOrderFleet(t, "10s")
	tc := newTicketCaller(t, f, 1, strings.Repeat("0123456789", 10000))
	first := tc.send(t.Context(), 2)
	tc.expect(first, "ran", "", 1)
	if !strings.Contains(first.Body, tc.body) || first.Answer != "" {
		t.Errorf("the first answer has %d bytes and is %q", len(first.Body), first.Answer)
	}
	again := tc.send(t.Context(), 0)
	tc.expect(again, "ran", "", 1)
	if diff := cmp.Diff([]any{"", "omitted", first.Status}, []any{again.Body, again.Answer, again.Status}); diff != "" {
		t.Error(diff)
	}
}

// Repeats must take no rate tokens. Otherwise a caller that repeats an order to
// learn its outcome is refused and cannot send the next order.
func TestRepeatsTakeNoTokens(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{Organisations: map[string]fleet.Rate{"tea": {Rate: 3, Burst: 3}}})
	tc := newTicketCaller(t, f, 1, "order")
	// The token bucket may be empty at first.
	awaitCondition(t, "a token", func() bool {
		tc = newTicketCaller(t, f, 1, "order")
		return tc.send(t.Context(), 2).Outcome == "ran"
	})
	for n := range 30 {
		tc.expect(tc.send(t.Context(), n%3), "ran", "", 1)
	}
}

// A request that is tried again after notRun must run only if its caller raises
// the try number, and an order that was refused once stays refused for delayed
// copies of the first try.
func TestNextTryAfterNotRun(t *testing.T) {
	t.Parallel()
	f := startOrderFleet(t, "10s")
	f.Servers["order-01"].SetFaults(server.Faults{WorkMillis: 2000})
	tc := newTicketCaller(t, f, 1, "order")
	header := func(try, millis string) http.Header {
		return http.Header{"Tamarackrun-Ticket": {tc.ticket}, "Tamarackrun-Try": {try}, "Tamarackrun-Timeout-Ms": {millis}}
	}
	send := func(entry int, try, millis string) caller.Result {
		return tc.caller.SendTo(t.Context(), f.Instances[entry].Listing.CallerAddress, "POST", "/order", []byte(tc.body), header(try, millis))
	}
	tc.expect(send(2, "1", "0"), "notRun", "deadlinePassed", 0)
	tc.expect(send(0, "1", "9000"), "notRun", "deadlinePassed", 0)
	tc.expect(send(0, "2", "9000"), "ran", "", 1)
	tc.expect(send(2, "1", "9000"), "ran", "", 1)
	tc.expect(send(2, "3", "9000"), "ran", "", 1)
}

// Requests that arrive while the order runs must wait for its outcome. A caller
// that disconnects must neither stop the order nor leave its ticket without an
// outcome.
func TestConcurrentRepeatsWait(t *testing.T) {
	t.Parallel()
	f := startOrderFleet(t, "10s")
	setServerFaults(f, server.Faults{WorkMillis: 500})
	tc := newTicketCaller(t, f, 1, "order")
	ctx, leave := context.WithCancel(t.Context())
	results := tc.sendAsync(ctx, 2)
	leave()
	<-results
	var group sync.WaitGroup
	for n := range 9 {
		group.Go(func() { tc.expect(tc.send(t.Context(), n%3), "ran", "", 1) })
	}
	group.Wait()
}

// The outcome must be unknown if a backend server runs an order and drops the
// answer, and a repeat must not run the order again.
func TestDroppedAnswerIsUnknown(t *testing.T) {
	t.Parallel()
	f := startOrderFleet(t, "10s")
	setServerFaults(f, server.Faults{DropAnswers: 1})
	tc := newTicketCaller(t, f, 1, "order")
	for _, n := range []int{2, 0, 1} {
		tc.expect(tc.send(t.Context(), n), "unknown", "answerLost", 1)
	}
}

// If the home, the issuer or the entry instance of an order is killed, the
// order must not run again, and no instance may answer notRun.
func TestDeathWhileOrderRuns(t *testing.T) {
	t.Parallel()
	for _, v := range []struct {
		name    string
		victim  int
		first   string
		repeats string
		reasons string
	}{
		{"home", 0, "unknown", "unknown", "homeLost"},
		{"issuer", 1, "unknown", "unknown", "issuerLost issuerGone"},
		{"entry", 2, "", "ran", ""},
	} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			f := startOrderFleet(t, "4s")
			setServerFaults(f, server.Faults{WorkMillis: 1500})
			tc := newTicketCaller(t, f, 1, "order")
			results := tc.sendAsync(t.Context(), 2)
			f.Instances[v.victim].Kill()
			f.Platform.SetFaults(platform.Faults{Outage: true})
			first := <-results
			if first.Outcome != v.first {
				t.Errorf("first request: unexpected outcome %+v", first)
			}
			for n := range f.Instances {
				if n == v.victim {
					continue
				}
				r := tc.send(t.Context(), n)
				tc.expect(r, v.repeats, r.Reason, 1)
				if !strings.Contains(v.reasons, r.Reason) {
					t.Errorf("repeat through instance %d: unexpected reason %+v", n, r)
				}
			}
		})
	}
}

// A restarted issuer must not run tickets that it issued before the restart.
func TestRestartedIssuerRefusesOldTickets(t *testing.T) {
	t.Parallel()
	f := startOrderFleet(t, "10s")
	tc := newTicketCaller(t, f, 1, "order")
	f.Instances[1].Kill()
	if err := f.StartInstance(f.Instances[1]); err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	for n := range f.Instances {
		awaitCondition(t, "new incarnation", func() bool { return tc.send(t.Context(), n).Reason == "issuerGone" })
		tc.expect(tc.send(t.Context(), n), "unknown", "issuerGone", 0)
	}
}

// A caller must be able to send orders while one instance is dead, with tickets
// of another instance.
func TestCallerSendsOrdersWhileInstanceIsDead(t *testing.T) {
	t.Parallel()
	f := startOrderFleet(t, "10s")
	c := f.Caller("tea")
	for n := range 6 {
		if n == 3 {
			f.Instances[2].Kill()
		}
		body := fmt.Sprintf("order-%d", n)
		r := c.SendOrder(t.Context(), "order", "POST", "/order", []byte(body))
		if diff := cmp.Diff([]any{"ran", 1}, []any{r.Outcome, f.Executions(body)}); diff != "" {
			t.Errorf("%s: outcome, executions (-want +got):\n%s%+v", body, diff, r)
		}
	}
}

// A paused home finds an old Dispatch when it resumes. It must not run the
// order if any caller was told that the order did not run. The issuer must
// learn the actual outcome once the home is back.
func TestPausedHomeResumes(t *testing.T) {
	t.Parallel()
	f := startOrderFleet(t, "1s")
	var callers []*ticketCaller
	results := make(chan caller.Result, 20)
	for n := range 20 {
		callers = append(callers, newTicketCaller(t, f, 1, fmt.Sprintf("order-%d", n)))
	}
	expectSignaled(t, f.Instances[0].Pause())
	for _, tc := range callers {
		go func() { results <- tc.send(t.Context(), 2) }()
	}
	for range callers {
		if r := <-results; r.Outcome == "ran" {
			t.Errorf("ran while the home was paused: %+v", r)
		}
	}
	expectSignaled(t, f.Instances[0].Resume())
	counts := map[string]int{}
	for _, tc := range callers {
		var r caller.Result
		awaitCondition(t, "settled outcome", func() bool {
			r = tc.send(t.Context(), 2)
			return r.Outcome == "ran" || r.Outcome == "notRun"
		})
		counts[r.Outcome+" "+r.Reason]++
		ran := 0
		if r.Outcome == "ran" {
			ran = 1
		}
		tc.expect(r, r.Outcome, r.Reason, ran)
	}
	t.Log(counts)
	// One more order reaches the same home after everything that it had received
	// before.
	last := newTicketCaller(t, f, 1, "last")
	awaitCondition(t, "last order", func() bool {
		last = newTicketCaller(t, f, 1, "last")
		return last.send(t.Context(), 2).Outcome == "ran"
	})
	for _, tc := range callers {
		// The home may not have received a heartbeat of the issuer since it resumed.
		var r caller.Result
		awaitCondition(t, "settled outcome", func() bool {
			r = tc.send(t.Context(), 0)
			return r.Outcome == "ran" || r.Outcome == "notRun"
		})
		if n := f.Executions(tc.body); (n == 1) != (r.Outcome == "ran") || n > 1 {
			t.Errorf("%s: %d executions do not match the outcome %+v", tc.body, n, r)
		}
	}
}

// After a graceful shutdown of the issuer, every instance must answer for the
// issuer's tickets: from the peers' copies of the ledger while the store is
// unavailable, and otherwise from the platform.
func TestGracefulShutdownSealsTheLedger(t *testing.T) {
	t.Parallel()
	f := startOrderFleet(t, "10s")
	ran, lost, unused := newTicketCaller(t, f, 1, "ran"), newTicketCaller(t, f, 1, "lost"), newTicketCaller(t, f, 1, "unused")
	ran.expect(ran.send(t.Context(), 2), "ran", "", 1)
	setServerFaults(f, server.Faults{DropAnswers: 1})
	lost.expect(lost.send(t.Context(), 2), "unknown", "answerLost", 1)
	setServerFaults(f, server.Faults{WorkMillis: 4000})
	running := newTicketCaller(t, f, 1, "running")
	results := running.sendAsync(t.Context(), 2)
	expectSignaled(t, f.Instances[1].Terminate())
	if !f.Instances[1].Wait(stopLimit) {
		t.Fatal("the graceful shutdown did not end")
	}
	running.expect(<-results, "ran", "", 1)
	check := func(entries ...int) {
		t.Helper()
		for _, n := range entries {
			for _, tc := range []*ticketCaller{ran, running} {
				r := tc.send(t.Context(), n)
				tc.expect(r, "ran", "", 1)
				if r.Answer != "omitted" {
					t.Errorf("answer is %q, want omitted", r.Answer)
				}
			}
			lost.expect(lost.send(t.Context(), n), "unknown", "answerLost", 1)
			unused.expect(unused.send(t.Context(), n), "notRun", "ticketSealed", 0)
			refused := badOrder{target: "/order//a"}
			ran.expect(refused.send(ran, n, ran.ticket), "unknown", "malformed", 1)
			unused.expect(refused.send(unused, n, unused.ticket), "notRun", "malformed", 0)
			other := *ran
			other.body = "other"
			other.expect(other.send(t.Context(), n), "notRun", "ticketReused", 0)
		}
	}
	f.Platform.SetFaults(platform.Faults{Outage: true})
	check(0, 2)
	f.Platform.SetFaults(platform.Faults{})
	f.Instances[0].Kill()
	if err := f.StartInstance(f.Instances[0]); err != nil {
		t.Fatal(err)
	}
	awaitCondition(t, "restart", func() bool { return unused.send(t.Context(), 0).Reason == "ticketSealed" })
	check(0)
}

// Under each disturbance, and under several at once, no order may run twice,
// and no answer may say notRun for an order that ran.
func TestOrdersUnderDisturbances(t *testing.T) {
	t.Parallel()
	for _, v := range []struct {
		name    string
		disturb func(t *testing.T, f *fleet.Fleet)
	}{
		{"kill", func(_ *testing.T, f *fleet.Fleet) { f.Instances[1].Kill() }},
		{"pause", func(t *testing.T, f *fleet.Fleet) {
			expectSignaled(t, f.Instances[0].Pause())
			time.Sleep(4 * time.Second)
			expectSignaled(t, f.Instances[0].Resume())
		}},
		{"stop", func(t *testing.T, f *fleet.Fleet) { expectSignaled(t, f.Instances[2].Terminate()) }},
		{"drop", func(_ *testing.T, f *fleet.Fleet) { setServerFaults(f, server.Faults{DropAnswers: 5, WorkMillis: 20}) }},
		{"outage, pause and kill", func(t *testing.T, f *fleet.Fleet) {
			f.Platform.SetFaults(platform.Faults{Outage: true})
			expectSignaled(t, f.Instances[0].Pause())
			time.Sleep(time.Second)
			f.Instances[1].Kill()
			time.Sleep(3 * time.Second)
			expectSignaled(t, f.Instances[0].Resume())
		}},
	} {
		t.Run(v.name, func(t *testing.T) {
			f := startFleet(t, fleet.Options{Instances: 4, Services: []fleet.Service{
				{Name: "order", Servers: 4, Slots: 4, Route: "methods = POST\nidempotent = no\ncutOff = serve\ntimeout = 2s"}}})
			setServerFaults(f, server.Faults{WorkMillis: 20})
			load := &orderLoad{t: t, fleet: f, counts: map[string]int{}, notRun: map[string]bool{}, last: map[string]string{}}
			load.run(v.disturb)
		})
	}
}

// orderLoad sends orders through all pairs of issuer and entry instance.
type orderLoad struct {
	t     *testing.T
	fleet *fleet.Fleet

	mu     sync.Mutex
	counts map[string]int
	// notRun holds the orders for which any answer said notRun; last holds the
	// last outcome of each order.
	notRun map[string]bool
	last   map[string]string
}

const (
	loadWorkers     = 8
	ordersPerWorker = 60
)

func (l *orderLoad) run(disturb func(*testing.T, *fleet.Fleet)) {
	var group sync.WaitGroup
	begun := make(chan struct{}, loadWorkers*ordersPerWorker)
	for w := range loadWorkers {
		group.Go(func() {
			for n := range ordersPerWorker {
				l.sendOrder(w, n)
				begun <- struct{}{}
			}
		})
	}
	for range loadWorkers * 10 {
		<-begun
	}
	disturb(l.t, l.fleet)
	group.Wait()
	l.check()
}

// sendOrder sends one order and repeats it through all instances while its
// outcome is unknown.
func (l *orderLoad) sendOrder(worker, n int) {
	c, body := l.fleet.Caller("tea"), fmt.Sprintf("order-%d-%d", worker, n)
	defer c.Client.CloseIdleConnections()
	count := len(l.fleet.Instances)
	address := func(n int) string { return l.fleet.Instances[n%count].Listing.CallerAddress }
	var tickets []string
	for i := 0; len(tickets) == 0 && i < count; i++ {
		tickets, _ = c.Tickets(l.t.Context(), address(worker+i), "order", 1)
	}
	if len(tickets) == 0 {
		return
	}
	for i := range 2 * count {
		r := c.SendWithTicket(l.t.Context(), address(n+i), tickets[0], "POST", "/order", []byte(body))
		l.mu.Lock()
		l.counts[strings.TrimSpace(r.Outcome+" "+r.Reason)]++
		l.notRun[body] = l.notRun[body] || r.Outcome == "notRun"
		l.last[body] = r.Outcome
		l.mu.Unlock()
		if r.Outcome == "ran" || r.Outcome == "notRun" {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (l *orderLoad) check() {
	ran := 0
	for body, outcome := range l.last {
		n := l.fleet.Executions(body)
		if n > 1 || n == 1 && l.notRun[body] || n == 0 && outcome == "ran" {
			l.t.Errorf("%s: %d executions, notRun %v, last outcome %q", body, n, l.notRun[body], outcome)
		}
		ran += n
	}
	l.t.Logf("%d orders, %d executed, answers %v", len(l.last), ran, l.counts)
	if ran < len(l.last)/2 {
		l.t.Errorf("only %d of %d orders ran", ran, len(l.last))
	}
}

// An order whose message waited in the socket buffer of a paused home or issuer
// must not start after its caller's deadline. The resumed instance once gave it
// the full remaining time, so that the order started after a pause of any
// length.
func TestOldMessagesStartNothing(t *testing.T) {
	t.Parallel()
	for _, v := range []struct {
		name   string
		victim int
	}{{"home", 0}, {"issuer", 1}} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			f := startOrderFleet(t, "1s")
			const orders = 10
			var callers []*ticketCaller
			results := make(chan caller.Result, orders)
			for n := range orders {
				callers = append(callers, newTicketCaller(t, f, 1, fmt.Sprintf("order-%d", n)))
			}
			expectSignaled(t, f.Instances[v.victim].Pause())
			for _, tc := range callers {
				go func() { results <- tc.send(t.Context(), 2) }()
			}
			for range callers {
				if r := <-results; r.Outcome == "ran" {
					t.Errorf("ran while an instance was paused: %+v", r)
				}
			}
			expectSignaled(t, f.Instances[v.victim].Resume())
			// The timeout of 0 keeps the repeats from starting the order themselves.
			expired := badOrder{header: http.Header{"Tamarackrun-Timeout-Ms": {"0"}}}
			for _, tc := range callers {
				var r caller.Result
				awaitCondition(t, "settled outcome", func() bool {
					r = expired.send(tc, 2, tc.ticket)
					return r.Outcome == "ran" || r.Outcome == "notRun"
				})
				tc.expect(r, "notRun", r.Reason, 0)
			}
		})
	}
}
