package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun/platform/standin"
)

var began = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return began.Add(d) }

// newEmptyHarness returns a harness without processes, to which a test adds calls
// and disturbances.
func newEmptyHarness() *harness {
	return &harness{
		began: began, history: history{calls: map[string]*call{}},
		keyAdded: map[string]time.Time{}, keyRevoked: map[string]time.Time{},
		leftAt: map[string]time.Time{}, coldSince: map[string]time.Time{}, domainOf: map[string]string{},
		routeChanges: []routeChange{{at(-time.Hour), services[0]}},
		instances:    []*instance{{settings: standin.Settings{Name: "one"}}},
	}
}

// add records a call that was sent at a time and ended 20 ms later.
func (h *harness) add(c call, sent time.Duration, servers ...string) *call {
	c.ID = fmt.Sprint("c", len(h.history.calls))
	c.sent = at(sent)
	if c.ended.IsZero() && (c.status != 0 || c.closed) {
		c.ended = c.sent.Add(20 * time.Millisecond)
	}
	for _, server := range servers {
		service, _, _ := strings.Cut(server, "-")
		c.executions = append(c.executions, execution{server, service, c.sent.Add(10 * time.Millisecond), c.instance})
	}
	h.history.calls[c.ID] = &c
	return &c
}

// brokenRules returns the rules that the history breaks, without RECOVER, which the
// short histories of the tests do not meet.
func (h *harness) brokenRules() []string {
	r := h.check(1, at(time.Minute))
	var list []string
	for _, v := range r.violations {
		if v.rule != "RECOVER" && !slices.Contains(list, v.rule) {
			list = append(list, v.rule)
		}
	}
	return list
}

var (
	readCall  = call{route: "read", idempotent: true, organisation: free, status: 200}
	orderCall = call{route: "order", organisation: free, status: 200}
	moveCall  = call{route: "move", idempotent: true, organisation: free, status: 200}
)

// Guards against checks that miss a broken rule or report a case that the users'
// rules allow.
func TestChecks(t *testing.T) {
	tests := map[string]struct {
		record func(h *harness)
		want   []string
	}{
		"all is well": {func(h *harness) {
			h.add(readCall, 0, "books-1", "books-2")
			h.add(orderCall, 0, "parcels-1")
		}, nil},
		"a request goes on ending servers": {func(h *harness) {
			c := readCall
			c.status, c.Target = 502, crashPrefix+"1"
			for i := range 4 + allowedEnds {
				h.add(c, time.Duration(i)*(bounds.DetectionBound+time.Second), fmt.Sprint("books-", i))
			}
		}, []string{"BUDGET"}},
		"a request that ended servers is tried three times": {func(h *harness) {
			c := readCall
			c.status, c.Target = 502, crashPrefix+"1"
			for i := range 3 + allowedEnds {
				h.add(c, time.Duration(i)*(bounds.DetectionBound+time.Second), fmt.Sprint("books-", i))
			}
		}, nil},
		"an order runs twice": {func(h *harness) { h.add(orderCall, 0, "parcels-1", "parcels-2") }, []string{"TWICE"}},
		"a refused order runs": {func(h *harness) {
			c := orderCall
			c.status = 503
			h.add(c, 0, "parcels-1")
		}, []string{"REFUSED"}},
		"the outcome of an order is unknown": {func(h *harness) {
			c := orderCall
			c.status = 502
			h.add(c, 0, "parcels-1")
		}, nil},
		"a server that wants rest gets requests": {func(h *harness) {
			h.history.turnedAway = []turnedAway{{"books-1", 0, at(0), at(2 * time.Second)}}
			for i := range 3 {
				h.add(readCall, time.Second+time.Duration(i)*time.Millisecond, "books-1")
			}
		}, []string{"BUDGET"}},
		"a server that wants rest gets few requests, and more before and after": {func(h *harness) {
			h.history.turnedAway = []turnedAway{{"books-1", 0, at(0), at(2 * time.Second)}}
			for i := range 6 {
				h.add(readCall, time.Duration(i)*700*time.Millisecond, "books-1")
			}
		}, nil},
		"a server that wants rest gets requests of an instance that was paused": {func(h *harness) {
			h.history.turnedAway = []turnedAway{{"books-1", 0, at(0), at(2 * time.Second)}}
			h.disturbances.list = []*disturbance{{scope: atInstance, from: at(500 * time.Millisecond), to: at(time.Second)}}
			for i := range 3 {
				h.add(readCall, time.Second+time.Duration(i)*time.Millisecond, "books-1")
			}
		}, nil},
		"the wrong service": {func(h *harness) { h.add(readCall, 0, "parcels-1") }, []string{"ROUTE", "CONFIG"}},
		"the old service": {func(h *harness) {
			h.routeChanges = append(h.routeChanges, routeChange{at(0), services[1]})
			h.add(moveCall, 3*time.Second, "books-1")
		}, []string{"CONFIG"}},
		"the old service, before the bound": {func(h *harness) {
			h.routeChanges = append(h.routeChanges, routeChange{at(0), services[1]})
			h.add(moveCall, 2*time.Second, "books-1")
		}, nil},
		"the old service, out of touch": {func(h *harness) {
			h.routeChanges = append(h.routeChanges, routeChange{at(0), services[1]})
			h.disturbances.list = []*disturbance{{scope: atInstance, from: at(0), to: at(time.Second)}}
			h.add(moveCall, 3*time.Second, "books-1")
		}, nil},
		"a revoked key": {func(h *harness) {
			h.keyRevoked["k"] = at(0)
			c := readCall
			c.Key = "k"
			h.add(c, 3*time.Second, "books-1")
		}, []string{"CONFIG"}},
		"a leaving server": {func(h *harness) {
			h.leftAt["books-1"] = at(0)
			h.add(readCall, 3*time.Second, "books-1")
		}, []string{"DRAIN"}},
		"a leaving server behind a disturbed link": {func(h *harness) {
			h.leftAt["books-1"] = at(0)
			h.disturbances.list = []*disturbance{{scope: atServer, from: at(0), to: at(time.Second)}}
			h.add(readCall, 3*time.Second, "books-1")
		}, nil},
		"a server that says it leaves": {func(h *harness) {
			h.leavingFrom = map[string]time.Time{"books-1": at(0)}
			h.add(readCall, time.Second, "books-1")
			h.add(readCall, 4*time.Second, "books-1")
		}, []string{"DRAIN"}},
		"a server that says it leaves, before the bound or to nobody": {func(h *harness) {
			h.leavingFrom = map[string]time.Time{"books-1": at(0), "books-2": at(20 * time.Second)}
			h.add(readCall, time.Second, "books-1")
			h.add(readCall, 3*time.Second, "books-1")
			h.add(readCall, 10*time.Second, "books-2")
			h.add(readCall, 25*time.Second, "books-2")
		}, nil},
		"a server that says it leaves to an instance that restarts": {func(h *harness) {
			h.leavingFrom = map[string]time.Time{"books-1": at(0)}
			h.add(readCall, time.Second, "books-1")
			h.disturbances.list = []*disturbance{{scope: atInstance, from: at(2 * time.Second), to: at(3 * time.Second)}}
			h.add(readCall, 4*time.Second, "books-1")
		}, nil},
		"an evacuated failure domain": {func(h *harness) {
			h.domainOf["books-1"], h.evacuations = "a1", []*evacuation{{"a1", at(0), at(time.Minute)}}
			h.add(readCall, 6*time.Second, "books-1")
		}, []string{"EVAC"}},
		"a cold server": {func(h *harness) {
			h.coldSince["books-1"] = at(0)
			for i := range 13 {
				h.add(readCall, time.Duration(i)*50*time.Millisecond, "books-1")
			}
		}, []string{"FAILBACK"}},
		"a cold server within its rate": {func(h *harness) {
			h.coldSince["books-1"] = at(0)
			for i := range 30 {
				h.add(readCall, time.Duration(i)*100*time.Millisecond, "books-1")
			}
		}, nil},
		"a server that turned cold later": {func(h *harness) {
			h.coldSince["books-1"] = at(time.Second)
			for i := range 15 {
				h.add(readCall, time.Duration(i)*50*time.Millisecond, "books-1")
			}
		}, nil},
		"a server beyond the limit that it names": {func(h *harness) {
			h.limits = []*namedLimit{{"books-1", 2, at(-5 * time.Second), at(time.Minute)}}
			h.add(readCall, -3*time.Second, "books-1")
			for i := range 18 {
				h.add(readCall, time.Duration(i)*200*time.Millisecond, "books-1")
			}
		}, []string{"LIMIT"}},
		"a server within the limit that it names": {func(h *harness) {
			h.limits = []*namedLimit{{"books-1", 2, at(-5 * time.Second), at(time.Minute)}}
			h.add(readCall, -3*time.Second, "books-1")
			for i := range 18 {
				h.add(readCall, time.Duration(i)*300*time.Millisecond, "books-1")
			}
		}, nil},
		"an instance that has not been told the limit": {func(h *harness) {
			h.limits = []*namedLimit{{"books-1", 2, at(-5 * time.Second), at(time.Minute)}}
			for i := range 18 {
				h.add(readCall, time.Duration(i)*20*time.Millisecond, "books-1")
			}
		}, nil},
		"an organisation beyond its limit": {func(h *harness) {
			c := readCall
			c.organisation = limited
			for i := range 73 {
				h.add(c, time.Duration(i)*10*time.Millisecond, "books-1")
			}
		}, []string{"QUOTA"}},
		"repeats beyond the budget": {func(h *harness) {
			for i := range 100 {
				h.add(readCall, time.Duration(i)*time.Millisecond, "books-1", "books-2")
			}
		}, []string{"BUDGET"}},
		"too many servers": {func(h *harness) {
			for range allowedOverAttempts + 1 {
				h.add(readCall, 0, "books-1", "books-2", "books-3")
			}
		}, []string{"BUDGET"}},
		"no answer during a planned stop": {func(h *harness) {
			h.disturbances.list = []*disturbance{{scope: atInstance, planned: true, from: at(-time.Second), to: at(time.Second)}}
			h.add(call{route: "read", idempotent: true, organisation: free, closed: true}, 0, "books-1")
		}, []string{"LOST"}},
		"no answer during a planned stop and a crash": {func(h *harness) {
			h.disturbances.list = []*disturbance{
				{scope: atInstance, planned: true, from: at(-time.Second), to: at(time.Second)},
				{from: at(0)},
			}
			h.add(call{route: "read", idempotent: true, organisation: free, closed: true}, 0, "books-1")
		}, nil},
		"late answers": {func(h *harness) {
			for range lateThreshold {
				h.add(call{route: "read", idempotent: true, organisation: free}, 0, "books-1")
			}
		}, []string{"CONFIG"}},
		"a key that is new": {func(h *harness) {
			h.keyAdded["k"] = at(-time.Second)
			c := readCall
			c.status, c.Key = 401, "k"
			for range 20 {
				h.add(c, 0)
			}
		}, nil},
		"a key that every instance knows": {func(h *harness) {
			h.keyAdded["k"] = at(-3 * time.Second)
			c := readCall
			c.status, c.Key = 401, "k"
			for range 20 {
				h.add(c, 0)
			}
		}, []string{"DENIED"}},
		"valid requests denied": {func(h *harness) {
			c := readCall
			c.status = 404
			for range 6 {
				h.add(c, 0)
			}
		}, []string{"DENIED"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newEmptyHarness()
			test.record(h)
			if diff := cmp.Diff(test.want, h.brokenRules()); diff != "" {
				t.Errorf("rules (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a history that accepts requests at servers and replies to callers
// which differ from what was sent.
func TestExecutionsAndReplies(t *testing.T) {
	sent := standin.Call{ID: "c1", Method: "GET", Target: "/read/1", Key: "k"}
	good := standin.Execution{ID: "c1", Server: "books-1", Service: "books", Method: "GET", Target: "/read/1", Organisation: free}
	reply := standin.Reply{Status: 200, ID: "c1", Signature: standin.Signature("books-1", "c1"), Body: standin.Answer("GET", "/read/1", "")}
	tests := map[string]struct {
		edit func(x *standin.Execution, r *standin.Reply)
		want string
	}{
		"as sent":                    {func(*standin.Execution, *standin.Reply) {}, ""},
		"another id":                 {func(x *standin.Execution, _ *standin.Reply) { x.ID = "c2" }, "UNASKED"},
		"another target":             {func(x *standin.Execution, _ *standin.Reply) { x.Target = "/read/2" }, "UNASKED"},
		"another organisation":       {func(x *standin.Execution, _ *standin.Reply) { x.Organisation = limited }, "UNASKED"},
		"the key is passed on":       {func(x *standin.Execution, _ *standin.Reply) { x.Key = "k" }, "UNASKED"},
		"an invalid status":          {func(_ *standin.Execution, r *standin.Reply) { r.Status = 0 }, "MIXED"},
		"no signature":               {func(_ *standin.Execution, r *standin.Reply) { r.Signature = "" }, "MIXED"},
		"half a body":                {func(_ *standin.Execution, r *standin.Reply) { r.Body = r.Body[:3] }, "MIXED"},
		"an answer to another":       {func(_ *standin.Execution, r *standin.Reply) { r.ID = "c2" }, "MIXED"},
		"another server's signature": {func(_ *standin.Execution, r *standin.Reply) { r.Signature = "x" }, "MIXED"},
		"a refusal":                  {func(_ *standin.Execution, r *standin.Reply) { *r = standin.Reply{Status: 503} }, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			hist := history{calls: map[string]*call{}}
			c := &call{Call: sent, route: "read", idempotent: true, organisation: free}
			hist.recordRequest(c)
			x, r := good, reply
			test.edit(&x, &r)
			hist.recordExecution(x, 0)
			hist.recordReply(c, r)
			got := ""
			if len(hist.violations) > 0 {
				got = hist.violations[0].rule
			}
			if got != test.want {
				t.Errorf("rule %q, want %q", got, test.want)
			}
		})
	}
}

// Guards against a check that loses what the refused attempt of an order did once its caller has sent the order again, or that
// takes the run of the second attempt for one of the first.
func TestRefusedOrderIsSentAgain(t *testing.T) {
	tests := map[string]struct {
		runsBefore, runsAfter, status int
		want                          []string
	}{
		"the second attempt runs":               {0, 1, 200, nil},
		"both are refused":                      {0, 0, 503, nil},
		"the first runs":                        {1, 0, 503, []string{"REFUSED"}},
		"the first runs, the outcome is hidden": {1, 0, 502, []string{"REFUSED"}},
		"the first runs late":                   {0, 1, 503, []string{"REFUSED"}},
		"both run":                              {0, 2, 200, []string{"TWICE"}},
		"the second has no answer":              {0, 1, 0, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newEmptyHarness()
			h.disturbances.list = []*disturbance{{scope: atServer, from: at(0)}}
			c := &call{Call: standin.Call{ID: "c1"}, route: "order", organisation: free}
			run := func(n int) {
				for range n {
					h.history.recordExecution(standin.Execution{ID: "c1", Server: "parcels-1", Service: "parcels", Organisation: free}, 0)
				}
			}
			h.history.recordRequest(c)
			run(test.runsBefore)
			h.history.recordReply(c, standin.Reply{Status: 503})
			h.history.checkRefused(c)
			h.history.recordRequest(c)
			run(test.runsAfter)
			switch test.status {
			case 0:
				h.history.recordEnd([]*call{c}, true, false)
			case http.StatusOK:
				h.history.recordReply(c, standin.Reply{Status: test.status, ID: "c1", Signature: standin.Signature("parcels-1", "c1"),
					Body: standin.Answer("", "", "")})
			default:
				h.history.recordReply(c, standin.Reply{Status: test.status})
			}
			if diff := cmp.Diff(test.want, h.brokenRules()); diff != "" {
				t.Errorf("broken rules (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against a proxy that forwards what it should hold back, or loses it, so
// that the soak would test nothing.
func TestLink(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = echo.Close() }()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	l, err := newLink(echo.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	c, err := net.Dial("tcp", l.address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	ask := func(patience time.Duration) error {
		_ = c.SetDeadline(time.Now().Add(patience))
		if _, err := c.Write([]byte("x\n")); err != nil {
			return err
		}
		_, err := reader.ReadString('\n')
		return err
	}
	if err := ask(5 * time.Second); err != nil {
		t.Fatalf("an open link: %v", err)
	}
	for _, m := range []mode{stalled, answersStalled} {
		l.set(m, 0)
		if err := ask(50 * time.Millisecond); err == nil {
			t.Errorf("mode %d passes an answer", m)
		}
		l.set(open, 0)
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := reader.ReadString('\n'); err != nil {
			t.Errorf("mode %d loses held bytes: %v", m, err)
		}
	}
	l.reset()
	if err := ask(5 * time.Second); err == nil {
		t.Error("the connection goes on after a reset")
	}
}

// Guards against a check of cuts from all servers that misses callers who are not served, or reports
// them before the bound or where the other instances serve no more.
func TestCutCallersAreChecked(t *testing.T) {
	const n = 60
	tests := map[string]struct {
		sent          time.Duration
		served, other int
		want          bool
	}{
		"served as often":       {6 * time.Second, n, n, false},
		"served half as often":  {6 * time.Second, n / 2, n, true},
		"before the bound":      {3 * time.Second, 0, n, false},
		"nobody is served":      {6 * time.Second, 0, 0, false},
		"few fail at all":       {6 * time.Second, n - 11, n, false},
		"served after the cut":  {20 * time.Second, 0, n, false},
		"two thirds are enough": {6 * time.Second, 2 * n / 3, n, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := newEmptyHarness()
			h.disturbances.list = []*disturbance{{scope: atLinks, instance: 1, from: at(0), to: at(10 * time.Second)}}
			var calls []*call
			for i := range n {
				for instance, served := range []int{test.other, test.served} {
					c := readCall
					c.instance = instance
					if i >= served {
						c.status = 503
					}
					calls = append(calls, h.add(c, test.sent))
				}
			}
			h.checkCutFromServers(calls)
			if broken := len(h.history.violations) > 0; broken != test.want {
				t.Errorf("violations %v, want some: %v", h.history.violations, test.want)
			}
		})
	}
}
