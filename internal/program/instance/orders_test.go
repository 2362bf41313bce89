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

// settleLimit is generous, since the machine may be busy.
const settleLimit = 30 * time.Second

// orderFleet has one backend server, whose home is entry-1. Tickets of entry-2
// that are sent through entry-3 keep the three roles apart.
func orderFleet(t *testing.T, timeout string) *fleet.Fleet {
	t.Helper()
	return startFleet(t, fleet.Options{Services: []fleet.Service{
		{Name: "order", Servers: 1, Slots: 8, Route: "methods = POST\nidempotent = no\ncutOff = serve\ntimeout = " + timeout}},
		Organisations: map[string]fleet.Rate{"tea": {Rate: 1000, Burst: 1000}, "jute": {Rate: 1000, Burst: 1000}}})
}

// line is one caller with a ticket.
type line struct {
	t      *testing.T
	f      *fleet.Fleet
	c      *caller.Caller
	ticket string
	body   string
	// unused are further tickets of the same issuer.
	unused []string
}

func newLine(t *testing.T, f *fleet.Fleet, issuer int, body string) *line {
	t.Helper()
	l := &line{t: t, f: f, c: f.Caller("tea"), body: body}
	l.ticket = l.get(issuer)
	return l
}

func (l *line) get(issuer int) string {
	l.t.Helper()
	tickets, r := l.c.Tickets(l.t.Context(), l.f.Instances[issuer].Listing.CallerAddress, "order", 1)
	if len(tickets) != 1 {
		l.t.Fatalf("no ticket: %+v", r)
	}
	return tickets[0]
}

func (l *line) send(ctx context.Context, entry int) caller.Result {
	return l.c.SendWithTicket(ctx, l.f.Instances[entry].Listing.CallerAddress, l.ticket, "POST", "/order", []byte(l.body))
}

// async sends the order and waits until a backend server runs it.
func (l *line) async(ctx context.Context, entry int) <-chan caller.Result {
	l.t.Helper()
	results := make(chan caller.Result, 1)
	go func() { results <- l.send(ctx, entry) }()
	await(l.t, "execution", func() bool { return l.f.Executions(l.body) > 0 })
	return results
}

func (l *line) expect(r caller.Result, outcome, reason string, executions int) {
	l.t.Helper()
	if diff := cmp.Diff([]any{outcome, reason, executions}, []any{r.Outcome, r.Reason, l.f.Executions(l.body)}); diff != "" {
		l.t.Errorf("%s: outcome, reason, executions (-want +got):\n%s%+v", l.body, diff, r)
	}
}

func work(f *fleet.Fleet, faults server.Faults) {
	for _, s := range f.Servers {
		s.SetFaults(faults)
	}
}

// An order must run once however often and through whichever instance its
// ticket is sent, and no other order must run under the ticket.
func TestTicketRunsOnce(t *testing.T) {
	t.Parallel()
	f := orderFleet(t, "10s")
	l := newLine(t, f, 1, "first")
	without := l.c.SendTo(t.Context(), f.Instances[0].Listing.CallerAddress, "POST", "/order", []byte("first"), nil)
	l.expect(without, "notRun", "ticketRequired", 0)
	first := l.send(t.Context(), 2)
	l.expect(first, "ran", "", 1)
	for n := range f.Instances {
		r := l.send(t.Context(), n)
		l.expect(r, "ran", "", 1)
		if diff := cmp.Diff([]string{first.Body, "stored"}, []string{r.Body, r.Answer}); diff != "" {
			t.Errorf("repeat through %d:\n%s", n, diff)
		}
	}
	other := *l
	other.body = "second"
	other.expect(other.send(t.Context(), 0), "notRun", "ticketReused", 0)
	other.ticket = l.ticket[:len(l.ticket)-8] + "AAAAAAAA"
	other.expect(other.send(t.Context(), 0), "notRun", "ticketInvalid", 0)
	other.ticket, other.c = l.get(1), f.Caller("jute")
	other.expect(other.send(t.Context(), 0), "notRun", "ticketInvalid", 0)
	other.c = l.c
	other.expect(other.send(t.Context(), 0), "ran", "", 1)
}

// An answer that is too large to keep must reach its caller whole, and a repeat
// must still learn that the order ran.
func TestLargeAnswerIsNotKept(t *testing.T) {
	t.Parallel()
	f := orderFleet(t, "10s")
	l := newLine(t, f, 1, strings.Repeat("0123456789", 10000))
	first := l.send(t.Context(), 2)
	l.expect(first, "ran", "", 1)
	if !strings.Contains(first.Body, l.body) || first.Answer != "" {
		t.Errorf("the first answer has %d bytes and is %q", len(first.Body), first.Answer)
	}
	again := l.send(t.Context(), 0)
	l.expect(again, "ran", "", 1)
	if diff := cmp.Diff([]any{"", "omitted", first.Status}, []any{again.Body, again.Answer, again.Status}); diff != "" {
		t.Error(diff)
	}
}

// Repeats must take no rate tokens: a caller that repeats an order to learn its
// outcome would be refused, and could not place the next one.
func TestRepeatsTakeNoTokens(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{Organisations: map[string]fleet.Rate{"tea": {Rate: 3, Burst: 3}}})
	l := newLine(t, f, 1, "order")
	// A bucket may be empty at first.
	await(t, "a token", func() bool {
		l = newLine(t, f, 1, "order")
		return l.send(t.Context(), 2).Outcome == "ran"
	})
	for n := range 30 {
		l.expect(l.send(t.Context(), n%3), "ran", "", 1)
	}
}

// A request that is tried again after an answer notRun must run only if its
// caller says so, and an order refused by a backend server stays refused for
// delayed copies.
func TestNextTryAfterNotRun(t *testing.T) {
	t.Parallel()
	f := orderFleet(t, "10s")
	f.Servers["order-01"].SetFaults(server.Faults{WorkMillis: 2000})
	l := newLine(t, f, 1, "order")
	header := func(try, millis string) http.Header {
		return http.Header{"Tamarackrun-Ticket": {l.ticket}, "Tamarackrun-Try": {try}, "Tamarackrun-Timeout-Ms": {millis}}
	}
	send := func(entry int, try, millis string) caller.Result {
		return l.c.SendTo(t.Context(), f.Instances[entry].Listing.CallerAddress, "POST", "/order", []byte(l.body), header(try, millis))
	}
	l.expect(send(2, "1", "0"), "notRun", "deadlinePassed", 0)
	l.expect(send(0, "1", "9000"), "notRun", "deadlinePassed", 0)
	l.expect(send(0, "2", "9000"), "ran", "", 1)
	l.expect(send(2, "1", "9000"), "ran", "", 1)
	l.expect(send(2, "3", "9000"), "ran", "", 1)
}

// Requests that arrive while the order runs must wait for it, and a caller that
// leaves must not stop the order or leave its ticket without an outcome.
func TestConcurrentRepeatsWait(t *testing.T) {
	t.Parallel()
	f := orderFleet(t, "10s")
	work(f, server.Faults{WorkMillis: 500})
	l := newLine(t, f, 1, "order")
	ctx, leave := context.WithCancel(t.Context())
	results := l.async(ctx, 2)
	leave()
	<-results
	var group sync.WaitGroup
	for n := range 9 {
		group.Go(func() { l.expect(l.send(t.Context(), n%3), "ran", "", 1) })
	}
	group.Wait()
}

// A backend server that runs an order and drops its answer must leave the
// outcome unknown, and a repeat must not run the order again.
func TestDroppedAnswerIsUnknown(t *testing.T) {
	t.Parallel()
	f := orderFleet(t, "10s")
	work(f, server.Faults{DropAnswers: 1})
	l := newLine(t, f, 1, "order")
	for _, n := range []int{2, 0, 1} {
		l.expect(l.send(t.Context(), n), "unknown", "answerLost", 1)
	}
}

// The death of each of the three instances of an order must not run it again,
// and must not make anyone say that it did not run.
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
			f := orderFleet(t, "4s")
			work(f, server.Faults{WorkMillis: 1500})
			l := newLine(t, f, 1, "order")
			results := l.async(t.Context(), 2)
			f.Instances[v.victim].Kill()
			f.Platform.SetFaults(platform.Faults{Outage: true})
			first := <-results
			if first.Outcome != v.first {
				t.Errorf("first: %+v", first)
			}
			for n := range f.Instances {
				if n == v.victim {
					continue
				}
				r := l.send(t.Context(), n)
				l.expect(r, v.repeats, r.Reason, 1)
				if !strings.Contains(v.reasons, r.Reason) {
					t.Errorf("repeat through %d: %+v", n, r)
				}
			}
		})
	}
}

// A new incarnation must not run the tickets of its predecessor.
func TestRestartedIssuerRefusesOldTickets(t *testing.T) {
	t.Parallel()
	f := orderFleet(t, "10s")
	l := newLine(t, f, 1, "order")
	f.Instances[1].Kill()
	if err := f.StartInstance(f.Instances[1]); err != nil {
		t.Fatal(err)
	}
	if err := f.AwaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	for n := range f.Instances {
		await(t, "new incarnation", func() bool { return l.send(t.Context(), n).Reason == "issuerGone" })
		l.expect(l.send(t.Context(), n), "unknown", "issuerGone", 0)
	}
}

// A caller of the stand-in must place its order while an instance is dead, with
// a ticket of another one.
func TestCallerPlacesOrders(t *testing.T) {
	t.Parallel()
	f := orderFleet(t, "10s")
	c := f.Caller("tea")
	for n := range 6 {
		if n == 3 {
			f.Instances[2].Kill()
		}
		body := fmt.Sprintf("order-%d", n)
		r := c.SendOrder(t.Context(), "order", "POST", "/order", []byte(body))
		if diff := cmp.Diff([]any{"ran", 1}, []any{r.Outcome, f.Executions(body)}); diff != "" {
			t.Errorf("%s:\n%s%+v", body, diff, r)
		}
	}
}

// A paused home that wakes with an old Dispatch must not run it once anyone was
// told that the order did not run. The issuer must learn the truth after the
// home is back.
func TestPausedHomeWakes(t *testing.T) {
	t.Parallel()
	f := orderFleet(t, "1s")
	var lines []*line
	results := make(chan caller.Result, 20)
	for n := range 20 {
		lines = append(lines, newLine(t, f, 1, fmt.Sprintf("order-%d", n)))
	}
	f.Instances[0].Pause()
	for _, l := range lines {
		go func() { results <- l.send(t.Context(), 2) }()
	}
	for range lines {
		if r := <-results; r.Outcome == "ran" {
			t.Errorf("ran while the home was paused: %+v", r)
		}
	}
	f.Instances[0].Resume()
	counts := map[string]int{}
	for _, l := range lines {
		var r caller.Result
		await(t, "settled outcome", func() bool {
			r = l.send(t.Context(), 2)
			return r.Outcome == "ran" || r.Outcome == "notRun"
		})
		counts[r.Outcome+" "+r.Reason]++
		ran := 0
		if r.Outcome == "ran" {
			ran = 1
		}
		l.expect(r, r.Outcome, r.Reason, ran)
	}
	t.Log(counts)
	// A last order passes the same home after all that it had received.
	last := newLine(t, f, 1, "last")
	await(t, "last order", func() bool {
		last = newLine(t, f, 1, "last")
		return last.send(t.Context(), 2).Outcome == "ran"
	})
	for _, l := range lines {
		// The home itself may not have heard of the issuer since it woke.
		var r caller.Result
		await(t, "settled outcome", func() bool {
			r = l.send(t.Context(), 0)
			return r.Outcome == "ran" || r.Outcome == "notRun"
		})
		if n := f.Executions(l.body); (n == 1) != (r.Outcome == "ran") || n > 1 {
			t.Errorf("%s: %d executions, %+v", l.body, n, r)
		}
	}
}

// After a planned stop any instance must answer for the issuer's tickets, from
// the peers' copies while the store is out and else from the platform.
func TestPlannedStopSealsTheLedger(t *testing.T) {
	t.Parallel()
	f := orderFleet(t, "10s")
	ran, lost, unused := newLine(t, f, 1, "ran"), newLine(t, f, 1, "lost"), newLine(t, f, 1, "unused")
	ran.expect(ran.send(t.Context(), 2), "ran", "", 1)
	work(f, server.Faults{DropAnswers: 1})
	lost.expect(lost.send(t.Context(), 2), "unknown", "answerLost", 1)
	work(f, server.Faults{WorkMillis: 4000})
	running := newLine(t, f, 1, "running")
	results := running.async(t.Context(), 2)
	f.Instances[1].Terminate()
	if !f.Instances[1].Wait(settleLimit) {
		t.Fatal("the planned stop did not end")
	}
	running.expect(<-results, "ran", "", 1)
	check := func(entries ...int) {
		t.Helper()
		for _, n := range entries {
			for _, l := range []*line{ran, running} {
				r := l.send(t.Context(), n)
				l.expect(r, "ran", "", 1)
				if r.Answer != "omitted" {
					t.Errorf("answer is %q", r.Answer)
				}
			}
			lost.expect(lost.send(t.Context(), n), "unknown", "answerLost", 1)
			unused.expect(unused.send(t.Context(), n), "notRun", "ticketSealed", 0)
			refused := shaped{target: "/order//a"}
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
	await(t, "restart", func() bool { return unused.send(t.Context(), 0).Reason == "ticketSealed" })
	check(0)
}

// Every disturbance at once: no order may run twice, and no answer may say that
// an order did not run which ran.
func TestOrdersUnderDisturbances(t *testing.T) {
	t.Parallel()
	for _, v := range []struct {
		name    string
		disturb func(f *fleet.Fleet)
	}{
		{"kill", func(f *fleet.Fleet) { f.Instances[1].Kill() }},
		{"pause", func(f *fleet.Fleet) {
			f.Instances[0].Pause()
			time.Sleep(4 * time.Second)
			f.Instances[0].Resume()
		}},
		{"stop", func(f *fleet.Fleet) { f.Instances[2].Terminate() }},
		{"drop", func(f *fleet.Fleet) { work(f, server.Faults{DropAnswers: 5, WorkMillis: 20}) }},
		{"outage, pause and kill", func(f *fleet.Fleet) {
			f.Platform.SetFaults(platform.Faults{Outage: true})
			f.Instances[0].Pause()
			time.Sleep(time.Second)
			f.Instances[1].Kill()
			time.Sleep(3 * time.Second)
			f.Instances[0].Resume()
		}},
	} {
		t.Run(v.name, func(t *testing.T) {
			f := startFleet(t, fleet.Options{Instances: 4, Services: []fleet.Service{
				{Name: "order", Servers: 4, Slots: 4, Route: "methods = POST\nidempotent = no\ncutOff = serve\ntimeout = 2s"}}})
			work(f, server.Faults{WorkMillis: 20})
			s := &storm{t: t, f: f, counts: map[string]int{}, denied: map[string]bool{}, last: map[string]string{}}
			s.run(v.disturb)
		})
	}
}

// storm sends orders through all pairs of issuer and entry instance.
type storm struct {
	t *testing.T
	f *fleet.Fleet

	mu     sync.Mutex
	counts map[string]int
	// denied are the orders that some answer called notRun; last has the last
	// outcome of each order.
	denied map[string]bool
	last   map[string]string
}

const (
	stormWorkers = 8
	stormOrders  = 60
)

func (s *storm) run(disturb func(*fleet.Fleet)) {
	var group sync.WaitGroup
	begun := make(chan struct{}, stormWorkers*stormOrders)
	for w := range stormWorkers {
		group.Go(func() {
			for n := range stormOrders {
				s.order(w, n)
				begun <- struct{}{}
			}
		})
	}
	for range stormWorkers * 10 {
		<-begun
	}
	disturb(s.f)
	group.Wait()
	s.check()
}

// order sends one order and repeats it through all instances while its outcome
// is unknown.
func (s *storm) order(worker, n int) {
	c, body := s.f.Caller("tea"), fmt.Sprintf("order-%d-%d", worker, n)
	defer c.Client.CloseIdleConnections()
	count := len(s.f.Instances)
	address := func(n int) string { return s.f.Instances[n%count].Listing.CallerAddress }
	var tickets []string
	for i := 0; len(tickets) == 0 && i < count; i++ {
		tickets, _ = c.Tickets(s.t.Context(), address(worker+i), "order", 1)
	}
	if len(tickets) == 0 {
		return
	}
	for i := range 2 * count {
		r := c.SendWithTicket(s.t.Context(), address(n+i), tickets[0], "POST", "/order", []byte(body))
		s.mu.Lock()
		s.counts[strings.TrimSpace(r.Outcome+" "+r.Reason)]++
		s.denied[body] = s.denied[body] || r.Outcome == "notRun"
		s.last[body] = r.Outcome
		s.mu.Unlock()
		if r.Outcome == "ran" || r.Outcome == "notRun" {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *storm) check() {
	ran := 0
	for body, outcome := range s.last {
		n := s.f.Executions(body)
		if n > 1 || n == 1 && s.denied[body] || n == 0 && outcome == "ran" {
			s.t.Errorf("%s: %d executions, denied %v, last outcome %q", body, n, s.denied[body], outcome)
		}
		ran += n
	}
	s.t.Logf("%d orders, %d executed, answers %v", len(s.last), ran, s.counts)
	if ran < len(s.last)/2 {
		s.t.Errorf("only %d of %d orders ran", ran, len(s.last))
	}
}

// An order whose message lay in the buffer of a paused home or issuer must not
// start after its caller's deadline. With the full remaining time on waking it
// started after a pause of any length.
func TestOldMessagesStartNothing(t *testing.T) {
	t.Parallel()
	for _, v := range []struct {
		name   string
		victim int
	}{{"home", 0}, {"issuer", 1}} {
		t.Run(v.name, func(t *testing.T) {
			t.Parallel()
			f := orderFleet(t, "1s")
			const orders = 10
			var lines []*line
			results := make(chan caller.Result, orders)
			for n := range orders {
				lines = append(lines, newLine(t, f, 1, fmt.Sprintf("order-%d", n)))
			}
			f.Instances[v.victim].Pause()
			for _, l := range lines {
				go func() { results <- l.send(t.Context(), 2) }()
			}
			for range lines {
				if r := <-results; r.Outcome == "ran" {
					t.Errorf("ran while an instance was paused: %+v", r)
				}
			}
			f.Instances[v.victim].Resume()
			// Without remaining time the repeats start nothing themselves.
			expired := shaped{header: http.Header{"Tamarackrun-Timeout-Ms": {"0"}}}
			for _, l := range lines {
				var r caller.Result
				await(t, "settled outcome", func() bool {
					r = expired.send(l, 2, l.ticket)
					return r.Outcome == "ran" || r.Outcome == "notRun"
				})
				l.expect(r, "notRun", r.Reason, 0)
			}
		})
	}
}
