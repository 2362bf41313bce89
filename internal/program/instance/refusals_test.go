package instance_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"tamarackrun/internal/standin/caller"
	"tamarackrun/internal/standin/fleet"
)

// shaped is an order that an entry instance refuses before it asks a ledger.
type shaped struct {
	method, target, body string
	key                  string
	header               http.Header
}

func (v shaped) send(tc *ticketCaller, entry int, ticket string) caller.Result {
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

// expectRefusal sends an order with a ticket that ran and with unused ones.
func expectRefusal(tc *ticketCaller, v shaped, reason, first string) {
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

// An entry instance that refuses a repeated order must not say notRun, since the
// order ran under the ticket and its caller would place it again under a new one.
// A first refusal by the issuer must stay notRun.
func TestRefusedRepeatIsNotCalledNotRun(t *testing.T) {
	t.Parallel()
	f := orderFleet(t, "10s")
	tc := newTicketCaller(t, f, 1, "order")
	tc.unused, _ = tc.caller.Tickets(t.Context(), f.Instances[1].Listing.CallerAddress, "order", 20)
	tc.expect(tc.send(t.Context(), 2), "ran", "", 1)
	key := fleet.CallerKey("tea")
	for _, v := range []struct {
		shaped
		reason, first string
	}{
		{shaped{key: "wrong"}, "keyUnknown", "unknown"},
		{shaped{key: "none"}, "keyMissing", "unknown"},
		{shaped{header: http.Header{"Authorization": {"Bearer other"}}}, "malformed", "unknown"},
		{shaped{header: http.Header{"Tamarackrun-Try": {"x"}}}, "malformed", "unknown"},
		{shaped{header: http.Header{"Upgrade": {"websocket"}}}, "malformed", "notRun"},
		{shaped{target: "/order?k=" + key}, "keyInUrl", "notRun"},
		{shaped{target: "/order//a"}, "malformed", "notRun"},
		{shaped{target: "/other"}, "routeUnknown", "notRun"},
		{shaped{method: "PUT"}, "methodForbidden", "notRun"},
		{shaped{body: "k=" + key}, "keyInBody", "notRun"},
		{shaped{body: strings.Repeat("x", 1<<20+1)}, "bodyTooLarge", "notRun"},
	} {
		expectRefusal(tc, v.shaped, v.reason, v.first)
	}
	for _, v := range []struct{ change, to, reason string }{
		{"idempotent = no", "organisations = jute\nidempotent = no", "routeForbidden"},
		{"[base/route/order]", "[base/route/renamed]", "ticketInvalid"},
		{"[base/key/tea]\n", "[base/key/tea]\nwithdrawn = yes\n", "keyWithdrawn"},
	} {
		putDocument(t, f, strings.Replace(f.Document, v.change, v.to, 1))
		for n := range f.Instances {
			await(t, v.reason, func() bool { return tc.send(t.Context(), n).Reason == v.reason })
		}
		expectRefusal(tc, shaped{}, v.reason, "notRun")
	}
}

// After the issuer refused an order, a delayed copy of it must not run, and a
// higher try must. Another organisation must neither bar the ticket nor learn
// whether it was used.
func TestRefusalBindsDelayedCopies(t *testing.T) {
	t.Parallel()
	f := orderFleet(t, "10s")
	tc := newTicketCaller(t, f, 1, "order")
	other := *tc
	other.caller = f.Caller("jute")
	bad := shaped{body: "k=" + fleet.CallerKey("jute")}
	before := bad.send(&other, 1, tc.ticket)
	badHere := shaped{body: "k=" + fleet.CallerKey("tea")}
	tc.expect(badHere.send(tc, 1, tc.ticket), "notRun", "keyInBody", 0)
	tc.expect(tc.send(t.Context(), 2), "notRun", "keyInBody", 0)
	tc.expect(tc.send(t.Context(), 1), "notRun", "keyInBody", 0)
	again := shaped{header: http.Header{"Tamarackrun-Try": {"2"}}}
	tc.expect(again.send(tc, 2, tc.ticket), "ran", "", 1)
	after := bad.send(&other, 1, tc.ticket)
	if diff := cmp.Diff([]string{before.Outcome, before.Reason}, []string{after.Outcome, after.Reason}); diff != "" || before.Outcome != "unknown" {
		t.Errorf("another organisation (-before +after):\n%s%+v", diff, before)
	}
	free := newTicketCaller(t, f, 1, "free")
	bad.send(&other, 1, free.ticket)
	free.expect(free.send(t.Context(), 2), "ran", "", 1)
}
