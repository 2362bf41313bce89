package instance_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun/internal/protocol/manifest"
	"tamarackrun/internal/standin/caller"
	"tamarackrun/internal/standin/fleet"
	"tamarackrun/internal/standin/server"
)

// escapeAll percent-encodes every byte.
func escapeAll(text string) string {
	var b strings.Builder
	for _, c := range []byte(text) {
		fmt.Fprintf(&b, "%%%02x", c)
	}
	return b.String()
}

// checkNoKey fails the test if a key is in anything that backend servers
// recorded, in a log file, in the metrics or in the events of the requests.
func checkNoKey(t *testing.T, f *fleet.Fleet, requests []string, keys ...string) {
	t.Helper()
	seen := map[string]string{}
	for name, s := range f.Servers {
		record, err := json.Marshal(s.Record())
		if err != nil {
			t.Fatal(err)
		}
		seen["backend server "+name] = string(record)
	}
	for _, i := range f.Instances {
		log, err := os.ReadFile(i.LogFile)
		if err != nil {
			t.Fatal(err)
		}
		seen["log of "+i.Listing.Name] = string(log)
		_, metrics := controlRequest(t, i, http.MethodGet, "/metrics", "", "")
		seen["metrics of "+i.Listing.Name] = metrics
	}
	for _, r := range requests {
		_, events := controlRequest(t, f.Instances[0], http.MethodGet, "/v1/explain/"+r, fleet.OperatorKey, "")
		if !strings.Contains(events, r) {
			t.Errorf("no events of request %s: %s", r, events)
		}
		seen["events of "+r] = events
	}
	for where, text := range seen {
		for _, key := range keys {
			decoded, err := url.PathUnescape(text)
			if strings.Contains(text, key) || err == nil && strings.Contains(decoded, key) || strings.Contains(text, escapeAll(key)) {
				t.Errorf("%s holds key %s", where, key)
			}
		}
	}
}

// controlRequest sends a request to the control port.
func controlRequest(t *testing.T, i *fleet.Instance, method, path, key, body string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+i.Listing.ControlAddress+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Tamarackrun-Operator-Key", key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	content, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(content)
}

// A key must reach no backend server and no log, whichever way it is sent, and
// a caller must not be able to name its own organisation.
func TestKeysReachNoServerAndNoLog(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{LogLevel: "debug", Services: []fleet.Service{
		{Name: "browse", Servers: 3, Slots: 3, Route: "methods = GET, POST\nidempotent = yes\nheaders = X-Note, Cookie"},
		{Name: "open", Servers: 3, Slots: 3, Route: "methods = GET\nidempotent = yes\nopen = yes"},
	}, Organisations: map[string]fleet.Rate{"tea": {Rate: 1000, Burst: 1000}, "tin": {Rate: 1000, Burst: 1000}}})
	tea, tin := fleet.CallerKey("tea"), fleet.CallerKey("tin")
	var requests []string
	cases := []struct {
		name, target, body string
		header             http.Header
		anonymous          bool
		want               string
	}{
		{name: "plain", target: "/browse/a", want: "ran"},
		{name: "bearer in lower case", target: "/browse/a", anonymous: true, header: http.Header{"authorization": {"bearer " + tea}}, want: "ran"},
		{name: "lower-case header", target: "/browse/a", anonymous: true, header: http.Header{"tamarackrun-key": {tea}}, want: "ran"},
		{name: "mixed-case header", target: "/browse/a", anonymous: true, header: http.Header{"tAMARACKRUN-kEY": {tea}}, want: "ran"},
		{name: "forged organisation", target: "/browse/forged", header: http.Header{"tamarackrun-organisation": {"tin"}, "X-Organisation": {"tin"}}, want: "ran"},
		{name: "header not listed", target: "/browse/a", header: http.Header{"X-Other": {tea}, "Proxy-Authorization": {"Bearer " + tea}, "Referer": {"http://a/?k=" + tea}}, want: "ran"},
		{name: "two keys", target: "/browse/a", header: http.Header{"Authorization": {"Bearer " + tin}}, want: "malformed"},
		{name: "query", target: "/browse/a?key=" + tea, want: "keyInUrl"},
		{name: "query of another organisation", target: "/browse/a?key=" + tin, want: "keyInUrl"},
		{name: "query only", target: "/browse/a?key=" + tea, anonymous: true, want: "keyInUrl"},
		{name: "query on an open route", target: "/open/a?key=" + tea, anonymous: true, want: "keyInUrl"},
		{name: "escaped query", target: "/browse/a?key=" + escapeAll(tea), want: "keyInUrl"},
		{name: "twice escaped query", target: "/browse/a?key=" + strings.ReplaceAll(escapeAll(tin), "%", "%25"), want: "keyInUrl"},
		{name: "malformed escape before the key", target: "/browse/a?z=%zz&key=" + escapeAll(tin), want: "keyInUrl"},
		{name: "name of a parameter", target: "/browse/a?" + tin, want: "keyInUrl"},
		{name: "inside a value", target: "/browse/a?u=http://x/?k=" + tin, want: "keyInUrl"},
		{name: "path", target: "/browse/" + tea, want: "keyInUrl"},
		{name: "escaped path", target: "/browse/" + escapeAll(tin), want: "keyInUrl"},
		{name: "cookie", target: "/browse/a", header: http.Header{"cookie": {"a=b; k=" + tin}}, want: "keyInUrl"},
		{name: "escaped cookie", target: "/browse/a", header: http.Header{"Cookie": {"k=" + escapeAll(tea)}}, want: "keyInUrl"},
		{name: "cookie on an open route", target: "/open/a", anonymous: true, header: http.Header{"Cookie": {"k=" + tea}}, want: "keyInUrl"},
		{name: "user agent", target: "/browse/a", header: http.Header{"user-agent": {"tool/1 (" + tea + ")"}}, want: "keyInUrl"},
		{name: "accept", target: "/browse/a", header: http.Header{"ACCEPT": {"text/html;k=" + tin}}, want: "keyInUrl"},
		{name: "second value", target: "/browse/a", header: http.Header{"Accept-Language": {"en", tea}}, want: "keyInUrl"},
		{name: "listed header", target: "/browse/a", header: http.Header{"x-note": {escapeAll(tea)}}, want: "keyInUrl"},
		{name: "body", target: "/browse/a", body: "key=" + tea, want: "keyInBody"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			sender := f.Caller("tea")
			if c.anonymous {
				sender.Key = ""
			}
			method := http.MethodGet
			if c.body != "" {
				method = http.MethodPost
			}
			for _, i := range f.Instances {
				r := sender.SendTo(t.Context(), i.Listing.CallerAddress, method, c.target, []byte(c.body), c.header)
				requests = append(requests, r.ID)
				got := r.Reason
				if r.Outcome == "ran" {
					got = "ran"
				}
				if diff := cmp.Diff(c.want, got); diff != "" {
					t.Errorf("%s: ran or reason (-want +got):\n%s%+v", i.Listing.Name, diff, r)
				}
			}
		})
	}
	for _, s := range f.Servers {
		for _, e := range s.Record().Executions {
			if e.Organisation != "tea" || len(e.Header.Values("Tamarackrun-Organisation")) != 1 {
				t.Errorf("organisation of %s is %q, want tea in exactly one header", e.Target, e.Organisation)
			}
		}
	}
	checkNoKey(t, f, requests, tea, tin, fleet.OperatorKey)
}

// Trailers must be refused because they arrive after the headers were checked,
// and upgrades because nothing is checked after them.
func TestTrailersAndUpgradesAreRefused(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{Services: []fleet.Service{
		{Name: "browse", Servers: 1, Slots: 3, Route: "methods = GET, POST\nidempotent = yes"}}})
	head := "POST /browse/a HTTP/1.1\r\nHost: a\r\nTamarackrun-Key: " + fleet.CallerKey("tea") + "\r\n"
	for name, text := range map[string]string{
		"announced trailer":   head + "Trailer: X-Key\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-Key: b\r\n\r\n",
		"unannounced trailer": head + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-Key: b\r\n\r\n",
		"upgrade":             head + "Connection: Upgrade\r\nUpgrade: websocket\r\nContent-Length: 0\r\n\r\n",
		"empty upgrade":       head + "Upgrade:\r\nContent-Length: 0\r\n\r\n",
	} {
		conn, err := net.Dial("tcp", f.Instances[0].Listing.CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, text)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if diff := cmp.Diff("malformed", response.Header.Get("Tamarackrun-Reason")); diff != "" {
			t.Errorf("%s: reason (-want +got):\n%s", name, diff)
		}
		_ = response.Body.Close()
		_ = conn.Close()
	}
	if n := f.Executions("a"); n != 0 {
		t.Errorf("%d requests ran, want none", n)
	}
}

// putDocument writes a new version of the document to the store directly,
// without the control port.
func putDocument(t *testing.T, f *fleet.Fleet, text string) int64 {
	t.Helper()
	object, err := f.Store.Get(t.Context(), manifest.ObjectName)
	if err != nil {
		t.Fatal(err)
	}
	version, err := manifest.Write(t.Context(), f.Store, []byte(text), "test", object.Version)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// withoutKey returns the fleet's document with an organisation's key withdrawn.
func withoutKey(f *fleet.Fleet, organisation string) string {
	section := "[base/key/" + organisation + "]\n"
	return strings.Replace(f.Document, section, section+"withdrawn = yes\n", 1)
}

// A withdrawn key must stop working for new requests, for a request that a
// backend server is working on, and for an answer that is still being copied.
func TestWithdrawnKeyEndsStreamsAndRequests(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{Services: []fleet.Service{
		{Name: "browse", Servers: 3, Slots: 3, Route: "methods = GET\nidempotent = yes\ntimeout = 5m"},
		{Name: "slow", Servers: 3, Slots: 3, Route: "methods = GET\nidempotent = yes\ntimeout = 5m"}}})
	for name, s := range f.Servers {
		s.SetFaults(server.Faults{StreamMillis: 240_000})
		if strings.HasPrefix(name, "slow") {
			s.SetFaults(server.Faults{WorkMillis: 240_000})
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	type stream struct {
		name string
		err  error
	}
	ended := make(chan stream, len(f.Instances))
	for _, i := range f.Instances {
		request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.Listing.CallerAddress+"/browse/a", nil)
		request.Header.Set("Tamarackrun-Key", fleet.CallerKey("tea"))
		begun := make(chan struct{})
		go func() {
			response, err := http.DefaultClient.Do(request)
			close(begun)
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			ended <- stream{i.Listing.Name, err}
		}()
		<-begun
	}
	slow := make(chan caller.Result)
	go func() {
		c := f.Caller("tea")
		c.Client.Timeout = time.Minute
		slow <- c.SendTo(ctx, f.Instances[0].Listing.CallerAddress, "GET", "/slow/a", nil, nil)
	}()
	awaitCondition(t, "a slow request", func() bool { return f.Executions("") > len(f.Instances) })
	putDocument(t, f, withoutKey(f, "tea"))
	began := time.Now()
	if r := <-slow; r.Outcome != "unknown" || r.Err != nil {
		t.Errorf("the request in progress ended with %+v, want the outcome unknown", r)
	}
	for range f.Instances {
		s := <-ended
		if s.err == nil || ctx.Err() != nil {
			t.Errorf("%s: the stream ended with error %v after %v", s.name, s.err, time.Since(began))
		}
	}
	t.Logf("streams ended %v after the withdrawal", time.Since(began))
	for _, i := range f.Instances {
		r := f.Caller("tea").SendTo(t.Context(), i.Listing.CallerAddress, "GET", "/browse/b", nil, nil)
		if diff := cmp.Diff("keyWithdrawn", r.Reason); diff != "" {
			t.Errorf("%s: reason (-want +got):\n%s", i.Listing.Name, diff)
		}
	}
}

// A request must not start after its key was withdrawn while it waited in the
// home's queue. The entry instance does not cancel non-idempotent requests, so
// only the check before the dispatch stops them.
func TestWithdrawnKeyStartsNothingFromTheQueue(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{Services: []fleet.Service{
		{Name: "browse", Servers: 1, Slots: 1, Route: "methods = GET\nidempotent = yes\ntimeout = 60s"},
		{Name: "order", Servers: 1, Slots: 1, Route: "methods = POST\nidempotent = no\ntimeout = 60s"}},
		Organisations: map[string]fleet.Rate{"tea": {Rate: 1000, Burst: 1000}, "jute": {Rate: 1000, Burst: 1000}}})
	for _, s := range f.Servers {
		s.SetFaults(server.Faults{WorkMillis: 6000})
	}
	send := func(organisation string) map[string]<-chan caller.Result {
		results := map[string]<-chan caller.Result{}
		for _, name := range []string{"browse", "order"} {
			result := make(chan caller.Result, 1)
			results[name] = result
			c := f.Caller(organisation)
			c.Client.Timeout = time.Minute
			ticket, method := "", http.MethodGet
			if name == "order" {
				tickets, r := c.Tickets(t.Context(), f.Instances[1].Listing.CallerAddress, name, 1)
				if len(tickets) != 1 {
					t.Fatalf("no ticket: %+v", r)
				}
				ticket, method = tickets[0], http.MethodPost
			}
			go func() {
				result <- c.SendWithTicket(t.Context(), f.Instances[2].Listing.CallerAddress, ticket, method, "/"+name+"/"+organisation, nil)
			}()
		}
		return results
	}
	before := send("jute")
	awaitCondition(t, "requests that hold the slots", func() bool { return f.Executions("") == 2 })
	waiting := send("tea")
	awaitCondition(t, "requests in the queues", func() bool {
		_, status := controlRequest(t, f.Instances[0], http.MethodGet, "/v1/status", fleet.OperatorKey, "")
		return strings.Count(status, `"queued":1`) >= 2
	})
	putDocument(t, f, withoutKey(f, "tea"))
	for name, result := range waiting {
		// The entry instance cancels idempotent requests and does not wait for their
		// outcome.
		r := <-result
		if r.Outcome != "notRun" && name == "order" || r.Outcome == "notRun" && r.Reason != "keyWithdrawn" || r.Outcome == "ran" {
			t.Errorf("%s that waited ended with %+v", name, r)
		}
		if r := <-before[name]; r.Outcome != "ran" {
			t.Errorf("%s with a valid key ended with %+v", name, r)
		}
	}
	// All bodies are empty.
	if n := f.Executions(""); n != len(before) {
		t.Errorf("%d requests ran; the withdrawn key had none", n)
	}
}
