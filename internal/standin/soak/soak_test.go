package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun/platform/standin"
)

var began = time.Unix(1_800_000_000, 0)

func at(d time.Duration) time.Time { return began.Add(d) }

// newRecord returns a world without processes, which has a record of calls and
// troubles only.
func newRecord() *world {
	return &world{began: began, ledger: ledger{calls: map[string]*call{}}, additions: map[string]time.Time{}, revocations: map[string]time.Time{}, left: map[string]time.Time{},
		coldFrom: map[string]time.Time{}, zoneOf: map[string]string{}, moves: []move{{at(-time.Hour), services[0]}},
		members: []*member{{settings: standin.Settings{Name: "one"}}}}
}

// add records a call that was sent at a time and ended 20 ms later.
func (w *world) add(c call, sent time.Duration, servers ...string) *call {
	c.ID = fmt.Sprint("c", len(w.ledger.calls))
	c.sent = at(sent)
	if c.ended.IsZero() && (c.status != 0 || c.closed) {
		c.ended = c.sent.Add(20 * time.Millisecond)
	}
	for _, server := range servers {
		service, _, _ := strings.Cut(server, "-")
		c.runs = append(c.runs, run{server, service, c.sent.Add(10 * time.Millisecond)})
	}
	w.ledger.calls[c.ID] = &c
	return &c
}

func (w *world) rules() []string {
	r := w.check(1, at(time.Minute))
	var list []string
	for _, v := range r.violations {
		if v.rule != "RECOVER" && !slices.Contains(list, v.rule) {
			list = append(list, v.rule)
		}
	}
	return list
}

var (
	read  = call{route: "read", idempotent: true, organisation: free, status: 200}
	order = call{route: "order", organisation: free, status: 200}
	third = call{route: "move", idempotent: true, organisation: free, status: 200}
)

// Guards against a soak that overlooks a broken rule or reports one that the
// users' page excuses.
func TestChecks(t *testing.T) {
	tests := map[string]struct {
		record func(w *world)
		want   []string
	}{
		"all is well": {func(w *world) {
			w.add(read, 0, "books-1", "books-2")
			w.add(order, 0, "parcels-1")
		}, nil},
		"an order runs twice": {func(w *world) { w.add(order, 0, "parcels-1", "parcels-2") }, []string{"TWICE"}},
		"a refused order runs": {func(w *world) {
			c := order
			c.status = 503
			w.add(c, 0, "parcels-1")
		}, []string{"REFUSED"}},
		"the outcome of an order is unknown": {func(w *world) {
			c := order
			c.status = 502
			w.add(c, 0, "parcels-1")
		}, nil},
		"the wrong service": {func(w *world) { w.add(read, 0, "parcels-1") }, []string{"ROUTE", "CONFIG"}},
		"the old service": {func(w *world) {
			w.moves = append(w.moves, move{at(0), services[1]})
			w.add(third, 3*time.Second, "books-1")
		}, []string{"CONFIG"}},
		"the old service, before the bound": {func(w *world) {
			w.moves = append(w.moves, move{at(0), services[1]})
			w.add(third, 2*time.Second, "books-1")
		}, nil},
		"the old service, out of touch": {func(w *world) {
			w.moves = append(w.moves, move{at(0), services[1]})
			w.troubles.list = []*trouble{{scope: atMember, from: at(0), to: at(time.Second)}}
			w.add(third, 3*time.Second, "books-1")
		}, nil},
		"a revoked key": {func(w *world) {
			w.revocations["k"] = at(0)
			c := read
			c.Key = "k"
			w.add(c, 3*time.Second, "books-1")
		}, []string{"CONFIG"}},
		"a leaving server": {func(w *world) { w.left["books-1"] = at(0); w.add(read, 3*time.Second, "books-1") }, []string{"DRAIN"}},
		"a leaving server behind a harmed link": {func(w *world) {
			w.left["books-1"] = at(0)
			w.troubles.list = []*trouble{{scope: atServer, from: at(0), to: at(time.Second)}}
			w.add(read, 3*time.Second, "books-1")
		}, nil},
		"an evacuated failure domain": {func(w *world) {
			w.zoneOf["books-1"], w.evacuations = "a1", []*evacuation{{"a1", at(0), at(time.Minute)}}
			w.add(read, 6*time.Second, "books-1")
		}, []string{"EVAC"}},
		"a cold server": {func(w *world) {
			w.coldFrom["books-1"] = at(0)
			for i := range 13 {
				w.add(read, time.Duration(i)*50*time.Millisecond, "books-1")
			}
		}, []string{"FAILBACK"}},
		"a cold server within its rate": {func(w *world) {
			w.coldFrom["books-1"] = at(0)
			for i := range 30 {
				w.add(read, time.Duration(i)*100*time.Millisecond, "books-1")
			}
		}, nil},
		"an organisation beyond its limit": {func(w *world) {
			c := read
			c.organisation = limited
			for i := range 73 {
				w.add(c, time.Duration(i)*10*time.Millisecond, "books-1")
			}
		}, []string{"QUOTA"}},
		"repeats beyond the budget": {func(w *world) {
			for i := range 100 {
				w.add(read, time.Duration(i)*time.Millisecond, "books-1", "books-2")
			}
		}, []string{"BUDGET"}},
		"too many servers": {func(w *world) {
			for range fewOver + 1 {
				w.add(read, 0, "books-1", "books-2", "books-3")
			}
		}, []string{"BUDGET"}},
		"no answer during a stop": {func(w *world) {
			w.troubles.list = []*trouble{{scope: atMember, planned: true, from: at(-time.Second), to: at(time.Second)}}
			w.add(call{route: "read", idempotent: true, organisation: free, closed: true}, 0, "books-1")
		}, []string{"LOST"}},
		"no answer during a stop and a crash": {func(w *world) {
			w.troubles.list = []*trouble{{scope: atMember, planned: true, from: at(-time.Second), to: at(time.Second)}, {from: at(0)}}
			w.add(call{route: "read", idempotent: true, organisation: free, closed: true}, 0, "books-1")
		}, nil},
		"late answers": {func(w *world) {
			for range fewLate {
				w.add(call{route: "read", idempotent: true, organisation: free}, 0, "books-1")
			}
		}, []string{"CONFIG"}},
		"a key that is new": {func(w *world) {
			w.additions["k"] = at(-time.Second)
			c := read
			c.status, c.Key = 401, "k"
			for range 20 {
				w.add(c, 0)
			}
		}, nil},
		"a key that is known": {func(w *world) {
			w.additions["k"] = at(-3 * time.Second)
			c := read
			c.status, c.Key = 401, "k"
			for range 20 {
				w.add(c, 0)
			}
		}, []string{"DENIED"}},
		"proper requests denied": {func(w *world) {
			c := read
			c.status = 404
			for range 6 {
				w.add(c, 0)
			}
		}, []string{"DENIED"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := newRecord()
			test.record(w)
			if diff := cmp.Diff(test.want, w.rules()); diff != "" {
				t.Errorf("rules (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against requests and answers that are not compared with what was sent.
func TestArrivalsAndReplies(t *testing.T) {
	sent := standin.Call{ID: "c1", Method: "GET", Target: "/read/1", Key: "k"}
	good := standin.Execution{ID: "c1", Server: "books-1", Service: "books", Method: "GET", Target: "/read/1", Organisation: free}
	reply := standin.Reply{Status: 200, ID: "c1", Signature: standin.Signature("books-1", "c1"), Body: standin.Answer("GET", "/read/1", "")}
	tests := map[string]struct {
		edit func(a *standin.Execution, r *standin.Reply)
		want string
	}{
		"as sent":               {func(*standin.Execution, *standin.Reply) {}, ""},
		"another id":            {func(a *standin.Execution, _ *standin.Reply) { a.ID = "c2" }, "UNASKED"},
		"another target":        {func(a *standin.Execution, _ *standin.Reply) { a.Target = "/read/2" }, "UNASKED"},
		"another organisation":  {func(a *standin.Execution, _ *standin.Reply) { a.Organisation = limited }, "UNASKED"},
		"the key is passed on":  {func(a *standin.Execution, _ *standin.Reply) { a.Key = "k" }, "UNASKED"},
		"no signature":          {func(_ *standin.Execution, r *standin.Reply) { r.Signature = "" }, "MIXED"},
		"half a body":           {func(_ *standin.Execution, r *standin.Reply) { r.Body = r.Body[:3] }, "MIXED"},
		"an answer to another":  {func(_ *standin.Execution, r *standin.Reply) { r.ID = "c2" }, "MIXED"},
		"another server's seal": {func(_ *standin.Execution, r *standin.Reply) { r.Signature = "x" }, "MIXED"},
		"a refusal":             {func(_ *standin.Execution, r *standin.Reply) { *r = standin.Reply{Status: 503} }, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			l := ledger{calls: map[string]*call{}}
			c := &call{Call: sent, route: "read", idempotent: true, organisation: free}
			l.send(c)
			a, r := good, reply
			test.edit(&a, &r)
			l.ran(a)
			l.reply(c, r)
			got := ""
			if len(l.violations) > 0 {
				got = l.violations[0].rule
			}
			if got != test.want {
				t.Errorf("rule %q, want %q", got, test.want)
			}
		})
	}
}

// Guards against a proxy that does not harm what it should, so that the soak
// tests nothing.
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
	for _, m := range []mode{silent, oneWay} {
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
