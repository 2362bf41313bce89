package instance_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"tamarackrun/internal/standin/caller"
	"tamarackrun/internal/standin/fleet"
)

// badOrder is an order that an entry instance refuses before it asks a ledger.
// Empty fields have the values of a valid order; the key "none" stands for no
// key.
type badOrder struct {
	method, target, body string
	key                  string
	header               http.Header
}

func (v badOrder) send(tc *ticketCaller, entry int, ticket string) caller.Result {
	if v.method == "" {
		v.method = "POST"
	}
	if v.target == "" {
		v.target = "/order"
	}
	if v.body == "" {
		v.body = tc.body
	}
	c := tc.fleet.Caller("tea")
	c.Key = tc.caller.Key
	if v.key != "" {
		c.Key = strings.TrimPrefix(v.key, "none")
	}
	header := http.Header{"Tamarackrun-Ticket": {ticket}}
	for name, values := range v.header {
		header[name] = values
	}
	return c.SendTo(tc.t.Context(), tc.fleet.Instances[entry].Listing.CallerAddress, v.method, v.target, []byte(v.body), header)
}

// expectRefusal sends an order with a ticket whose order ran and with unused
// tickets. first is the outcome that the issuer must return for an unused
// ticket.
func expectRefusal(tc *ticketCaller, v badOrder, reason, first string) {
	tc.t.Helper()
	for n := range tc.fleet.Instances {
		tc.expect(v.send(tc, n, tc.ticket), "unknown", reason, 1)
	}
	r := v.send(tc, 2, tc.unused[0])
	if diff := cmp.Diff([]string{"unknown", reason}, []string{r.Outcome, r.Reason}); diff != "" {
		tc.t.Errorf("%s through another instance: (-want +got):\n%s", reason, diff)
	}
	r = v.send(tc, 1, tc.unused[0])
	if diff := cmp.Diff([]string{first, reason}, []string{r.Outcome, r.Reason}); diff != "" {
		tc.t.Errorf("%s of a first request: (-want +got):\n%s", reason, diff)
	}
	tc.unused = tc.unused[1:]
}

// An entry instance that refuses a repeated order must not answer notRun,
// because the order ran with the ticket and its caller would send it again with
// a new one. If the issuer refuses the first request with a ticket, the outcome
// must stay notRun.
func TestRefusedRepeatIsNotCalledNotRun(t *testing.T) {
	t.Parallel()
	f := startOrderFleet(t, "10s")
	tc := newTicketCaller(t, f, 1, "order")
	tc.unused, _ = tc.caller.Tickets(t.Context(), f.Instances[1].Listing.CallerAddress, "order", 20)
	tc.expect(tc.send(t.Context(), 2), "ran", "", 1)
	key := fleet.CallerKey("tea")
	for _, v := range []struct {
		badOrder
		reason, first string
	}{
		{badOrder{key: "wrong"}, "keyUnknown", "unknown"},
		{badOrder{key: "none"}, "keyMissing", "unknown"},
		{badOrder{header: http.Header{"Authorization": {"Bearer other"}}}, "malformed", "unknown"},
		{badOrder{header: http.Header{"Tamarackrun-Try": {"x"}}}, "malformed", "unknown"},
		{badOrder{header: http.Header{"Upgrade": {"websocket"}}}, "malformed", "notRun"},
		{badOrder{target: "/order?k=" + key}, "keyInUrl", "notRun"},
		{badOrder{target: "/order//a"}, "malformed", "notRun"},
		{badOrder{target: "/other"}, "routeUnknown", "notRun"},
		{badOrder{method: "PUT"}, "methodForbidden", "notRun"},
		{badOrder{body: "k=" + key}, "keyInBody", "notRun"},
		{badOrder{body: strings.Repeat("x", 1<<20+1)}, "bodyTooLarge", "notRun"},
	} {
		expectRefusal(tc, v.badOrder, v.reason, v.first)
	}
	for _, v := range []struct{ change, to, reason string }{
		{"idempotent = no", "organisations = jute\nidempotent = no", "routeForbidden"},
		{"[base/route/order]", "[base/route/renamed]", "ticketInvalid"},
		{"[base/key/tea]\n", "[base/key/tea]\nwithdrawn = yes\n", "keyWithdrawn"},
	} {
		putDocument(t, f, strings.Replace(f.Document, v.change, v.to, 1))
		for n := range f.Instances {
			awaitCondition(t, v.reason, func() bool { return tc.send(t.Context(), n).Reason == v.reason })
		}
		expectRefusal(tc, badOrder{}, v.reason, "notRun")
	}
}

// After the issuer refused an order, a delayed copy of it must not run, but a
// higher try must. Another organisation must neither bar the ticket nor learn
// whether it was used.
func TestRefusalAppliesToDelayedCopies(t *testing.T) {
	t.Parallel()
	f := startOrderFleet(t, "10s")
	tc := newTicketCaller(t, f, 1, "order")
	other := *tc
	other.caller = f.Caller("jute")
	bad := badOrder{body: "k=" + fleet.CallerKey("jute")}
	before := bad.send(&other, 1, tc.ticket)
	badHere := badOrder{body: "k=" + fleet.CallerKey("tea")}
	tc.expect(badHere.send(tc, 1, tc.ticket), "notRun", "keyInBody", 0)
	tc.expect(tc.send(t.Context(), 2), "notRun", "keyInBody", 0)
	tc.expect(tc.send(t.Context(), 1), "notRun", "keyInBody", 0)
	again := badOrder{header: http.Header{"Tamarackrun-Try": {"2"}}}
	tc.expect(again.send(tc, 2, tc.ticket), "ran", "", 1)
	after := bad.send(&other, 1, tc.ticket)
	if diff := cmp.Diff([]string{before.Outcome, before.Reason}, []string{after.Outcome, after.Reason}); diff != "" || before.Outcome != "unknown" {
		t.Errorf("another organisation (-before +after):\n%s%+v", diff, before)
	}
	free := newTicketCaller(t, f, 1, "free")
	bad.send(&other, 1, free.ticket)
	free.expect(free.send(t.Context(), 2), "ran", "", 1)
}
