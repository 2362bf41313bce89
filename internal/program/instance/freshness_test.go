package instance_test

import (
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"tamarackrun/internal/standin/fleet"
	"tamarackrun/internal/standin/platform"
)

// reasonAt sends a request with tea's key and returns the outcome and the
// reason, or only the outcome if there is no reason.
func reasonAt(t *testing.T, f *fleet.Fleet, i *fleet.Instance, target string) string {
	t.Helper()
	r := f.Caller("tea").SendTo(t.Context(), i.Listing.CallerAddress, "GET", target, nil, nil)
	if r.Err != nil {
		return r.Err.Error()
	}
	if r.Reason == "" {
		return r.Outcome
	}
	return r.Outcome + " " + r.Reason
}

// cutOffServices has a route for each value of cutOff, and one that needs no
// key.
var cutOffServices = []fleet.Service{
	{Name: "browse", Servers: 4, Slots: 9, Route: "methods = GET\nidempotent = yes"},
	{Name: "checks", Servers: 4, Slots: 9, Route: "methods = GET\nidempotent = yes\ncutOff = serve"},
	{Name: "open", Servers: 4, Slots: 9, Route: "methods = GET\nidempotent = yes\nopen = yes"},
}

// beyondRefuseAfter is longer than the age of a proof at which requests with a key
// are refused.
const beyondRefuseAfter = 14 * time.Second

// Traffic must go on while the store is unavailable to all instances, because
// no key can be withdrawn then, and while the store takes most of the time
// limit of a call to answer.
func TestTrafficGoesOnWhenTheStoreIsOutOrSlow(t *testing.T) {
	t.Parallel()
	for state, faults := range map[string]platform.Faults{"storeOut": {Outage: true}, "fresh": {DelayMillis: 1500}} {
		t.Run(state, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleet.Options{Services: cutOffServices})
			f.Platform.SetFaults(faults)
			// The load must last longer than the age at which a proof expires.
			for began := time.Now(); time.Since(began) < beyondRefuseAfter; time.Sleep(100 * time.Millisecond) {
				for _, i := range f.Instances {
					if got := reasonAt(t, f, i, "/browse/a"); got != "ran" {
						t.Fatalf("%s: %s after %v, want ran", i.Listing.Name, got, time.Since(began))
					}
				}
			}
			awaitState := func(want string) {
				for _, i := range f.Instances {
					awaitCondition(t, want, func() bool {
						_, status := controlRequest(t, i, http.MethodGet, "/v1/status", fleet.OperatorKey, "")
						return freshnessIn(status) == want
					})
				}
			}
			awaitState(state)
			f.Platform.SetFaults(platform.Faults{})
			awaitState("fresh")
		})
	}
}

// freshnessIn returns the freshness state in an answer of /v1/status.
func freshnessIn(status string) string {
	_, rest, _ := strings.Cut(status, `"freshness":"`)
	state, _, _ := strings.Cut(rest, `"`)
	return state
}

// An instance that is cut off must refuse requests with a key, because a key
// may have been withdrawn without its knowledge, and look-ups must not name it.
// After its return it must apply the new version.
func TestCutOffInstanceRefusesAndLearnsOnReturn(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		state fleet.LinkState
		// alone holds the indexes of the instances that are cut off.
		alone []int
	}{
		"cut": {fleet.Cut, []int{0}}, "silent": {fleet.Silent, []int{0}}, "region cut": {fleet.Cut, []int{1, 3}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, fleet.Options{Services: cutOffServices, Links: true, Instances: 4, Regions: []int{2, 2}})
			var alone, others []*fleet.Instance
			for n, i := range f.Instances {
				if slices.Contains(c.alone, n) {
					alone = append(alone, i)
				} else {
					others = append(others, i)
				}
			}
			f.Isolate(c.state, alone...)
			cut := time.Now()
			putDocument(t, f, withoutKey(f, "tea"))
			for _, i := range alone {
				awaitCondition(t, "refusal as cut off", func() bool {
					return reasonAt(t, f, i, "/browse/a") == "notRun cutOff"
				})
			}
			t.Logf("refused %v after the cut", time.Since(cut))
			checkCutOff(t, f, alone, others)
			f.Isolate(fleet.Open, alone...)
			for _, i := range alone {
				awaitCondition(t, "new version after the return", func() bool {
					got := reasonAt(t, f, i, "/browse/a")
					if got != "notRun keyWithdrawn" && got != "notRun cutOff" {
						t.Fatalf("after the return: %s, want notRun keyWithdrawn or notRun cutOff", got)
					}
					return got == "notRun keyWithdrawn"
				})
			}
			for _, i := range f.Instances {
				_, status := controlRequest(t, i, http.MethodGet, "/v1/status", fleet.OperatorKey, "")
				if !strings.Contains(status, `"configurationVersion":2`) {
					t.Errorf("%s: status %s, want configuration version 2", i.Listing.Name, status)
				}
			}
		})
	}
}

// checkCutOff checks the answers of instances that are cut off, and those of
// the others.
func checkCutOff(t *testing.T, f *fleet.Fleet, alone, others []*fleet.Instance) {
	t.Helper()
	omitted := map[string]bool{}
	for _, i := range alone {
		omitted[i.Listing.Name] = true
		for range 20 {
			if got := reasonAt(t, f, i, "/browse/b"); got != "notRun cutOff" {
				t.Fatalf("%s: keyed request while cut off: %s", i.Listing.Name, got)
			}
			time.Sleep(50 * time.Millisecond)
		}
		// The cut-off instances are the homes of all servers that they reach, so
		// routes with cutOff = serve still find a server.
		if got := reasonAt(t, f, i, "/checks/a"); got != "ran" {
			t.Errorf("%s: route with cutOff = serve: %s", i.Listing.Name, got)
		}
		anonymous := f.Caller("").SendTo(t.Context(), i.Listing.CallerAddress, "GET", "/open/a", nil, nil)
		if diff := cmp.Diff("ran", anonymous.Outcome); diff != "" {
			t.Errorf("%s: open route (-want +got):\n%s", i.Listing.Name, diff)
		}
	}
	for _, i := range f.Instances {
		answer, err := f.Caller("").Lookup(t.Context(), i.Listing.CallerAddress)
		if err != nil {
			t.Fatal(err)
		}
		for _, listed := range answer.Instances {
			if omitted[listed.Name] {
				t.Errorf("the look-up at %s names %s", i.Listing.Name, listed.Name)
			}
		}
	}
	for _, i := range others {
		if got := reasonAt(t, f, i, "/browse/a"); got != "notRun keyWithdrawn" {
			t.Errorf("%s: %s, want notRun keyWithdrawn", i.Listing.Name, got)
		}
	}
}

// An instance must not wait forever for connections that went silent while new
// connections work.
func TestSilentConnectionsDelayNothing(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{Services: cutOffServices, Links: true})
	f.SilenceAll()
	putDocument(t, f, withoutKey(f, "tea"))
	changed := time.Now()
	for _, i := range f.Instances {
		awaitCondition(t, "new version", func() bool {
			got := reasonAt(t, f, i, "/browse/a")
			if got == "notRun cutOff" {
				t.Fatalf("%s is cut off after %v", i.Listing.Name, time.Since(changed))
			}
			return got == "notRun keyWithdrawn"
		})
	}
	t.Logf("in force on all instances after %v", time.Since(changed))
}

// An instance that alone lost the store must not refuse requests while its
// peers prove its version, and it must get new versions from them.
func TestPeersProveAndPassOnVersions(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{Services: cutOffServices, Links: true})
	alone := f.Instances[0]
	f.PlatformLink(alone).SetState(fleet.Cut)
	for began := time.Now(); time.Since(began) < beyondRefuseAfter; time.Sleep(100 * time.Millisecond) {
		if got := reasonAt(t, f, alone, "/browse/a"); got != "ran" {
			t.Fatalf("%s after %v, want ran", got, time.Since(began))
		}
	}
	putDocument(t, f, withoutKey(f, "tea"))
	changed := time.Now()
	awaitCondition(t, "new version without the store", func() bool {
		return reasonAt(t, f, alone, "/browse/a") == "notRun keyWithdrawn"
	})
	t.Logf("version passed on by peers after %v", time.Since(changed))
}

// A watch that never answers must not delay new versions.
func TestSilentWatchesDelayNothing(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{Services: cutOffServices})
	f.Platform.SetFaults(platform.Faults{SilentWatches: true})
	// The second version is seen by watches that began before watches went silent.
	putDocument(t, f, f.Document)
	putDocument(t, f, withoutKey(f, "tea"))
	changed := time.Now()
	for _, i := range f.Instances {
		awaitCondition(t, "new version", func() bool { return reasonAt(t, f, i, "/browse/a") == "notRun keyWithdrawn" })
	}
	t.Logf("in force on all instances after %v", time.Since(changed))
}

// Instances that start while the store is unavailable must get the latest
// configuration, not none and not an older one.
func TestRestartsDuringAnOutage(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{Services: cutOffServices})
	putDocument(t, f, withoutKey(f, "tea"))
	for _, i := range f.Instances {
		awaitCondition(t, "new version", func() bool { return reasonAt(t, f, i, "/browse/a") == "notRun keyWithdrawn" })
	}
	f.Platform.SetFaults(platform.Faults{Outage: true})
	for _, i := range f.Instances {
		i.Kill()
		if err := f.StartInstance(i); err != nil {
			t.Fatal(err)
		}
		if err := f.AwaitReady(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := reasonAt(t, f, i, "/browse/a"); got != "notRun keyWithdrawn" {
			t.Errorf("%s after its restart: %s, want notRun keyWithdrawn", i.Listing.Name, got)
		}
	}
}

// An instance without any configuration must not serve.
func TestNotReadyWithoutStoreAndPeers(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{Services: cutOffServices})
	f.Platform.SetFaults(platform.Faults{Outage: true})
	for _, i := range f.Instances {
		i.Kill()
	}
	alone := f.Instances[0]
	if err := f.StartInstance(alone); err != nil {
		t.Fatal(err)
	}
	awaitCondition(t, "answer", func() bool { return reasonAt(t, f, alone, "/browse/a") == "notRun notReady" })
	if status, _ := controlRequest(t, alone, http.MethodGet, "/readyz", "", ""); status != http.StatusServiceUnavailable {
		t.Errorf("readyz answers %d, want 503", status)
	}
	f.Platform.SetFaults(platform.Faults{})
	awaitCondition(t, "ready", func() bool {
		status, _ := controlRequest(t, alone, http.MethodGet, "/readyz", "", "")
		return status == http.StatusOK
	})
}

// An instance that was paused must not serve a key that was withdrawn in the
// meantime before it notices that its proof is old.
func TestPausedInstanceServesNoWithdrawnKey(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{Services: cutOffServices})
	paused := f.Instances[0]
	expectSignaled(t, paused.Pause())
	putDocument(t, f, withoutKey(f, "tea"))
	// The pause must be longer than the age at which a proof expires.
	time.Sleep(beyondRefuseAfter)
	const requests = 20
	reasons := make(chan string, requests)
	for range requests {
		go func() { reasons <- reasonAt(t, f, paused, "/browse/a") }()
	}
	// The requests wait in the kernel. Requests that arrive later find the new
	// version: they test less, but give no false result.
	time.Sleep(500 * time.Millisecond)
	expectSignaled(t, paused.Resume())
	seen := map[string]int{}
	for range requests {
		seen[<-reasons]++
	}
	t.Logf("answers after the pause: %v", seen)
	for reason := range seen {
		if reason != "notRun cutOff" && reason != "notRun keyWithdrawn" {
			t.Errorf("%d requests ended with %s, want notRun cutOff or notRun keyWithdrawn", seen[reason], reason)
		}
	}
	awaitCondition(t, "new version", func() bool { return reasonAt(t, f, paused, "/browse/a") == "notRun keyWithdrawn" })
}

// If the region of the store is gone, instances must not refuse forever: after
// an operator declares it lost at one instance, that one serves again, and only
// that one, until the region is back.
func TestDeclaredLostRegion(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{Services: cutOffServices, Instances: 4, Regions: []int{2, 2}})
	f.Platform.SetFaults(platform.Faults{Outage: true})
	var left []*fleet.Instance
	for _, i := range f.Instances {
		if strings.HasPrefix(i.Listing.FailureDomain, "r1") {
			i.Kill()
		} else {
			left = append(left, i)
		}
	}
	for _, i := range left {
		awaitCondition(t, "refusal as cut off", func() bool { return reasonAt(t, f, i, "/browse/a") == "notRun cutOff" })
	}
	status, body := controlRequest(t, left[0], http.MethodPost, "/v1/lost/r1", fleet.OperatorKey, "")
	if status != http.StatusOK {
		t.Fatalf("declaring r1 lost: status %d, want 200: %s", status, body)
	}
	awaitCondition(t, "traffic at the instance that was told", func() bool { return reasonAt(t, f, left[0], "/browse/a") == "ran" })
	if got := reasonAt(t, f, left[1], "/browse/a"); got != "notRun cutOff" {
		t.Errorf("the instance that was not told: %s, want notRun cutOff", got)
	}
	if status, body := controlRequest(t, left[0], http.MethodPost, "/v1/lost/r9", fleet.OperatorKey, ""); status != http.StatusUnprocessableEntity {
		t.Errorf("declaring an unknown region lost: status %d, want 422: %s", status, body)
	}
	for _, i := range f.Instances {
		if !slices.Contains(left, i) {
			if err := f.StartInstance(i); err != nil {
				t.Fatal(err)
			}
		}
	}
	awaitCondition(t, "end of the declaration when the region is back", func() bool {
		_, status := controlRequest(t, left[0], http.MethodGet, "/v1/status", fleet.OperatorKey, "")
		return !strings.Contains(status, "lostRegions")
	})
}

// A key must not stay valid because the version that withdraws it cannot be
// read. All instances then lack proofs although the store answers, which must
// not count as an outage.
func TestUnreadableVersionRefusesAndIsReported(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{Services: cutOffServices})
	putDocument(t, f, withoutKey(f, "tea")+"\n[base/unknownKind/a]\n")
	for _, i := range f.Instances {
		awaitCondition(t, "refusal as cut off", func() bool { return reasonAt(t, f, i, "/browse/a") == "notRun cutOff" })
		if got := reasonAt(t, f, i, "/checks/a"); got != "ran" {
			t.Errorf("%s: route with cutOff = serve: %s", i.Listing.Name, got)
		}
		_, status := controlRequest(t, i, http.MethodGet, "/v1/status", fleet.OperatorKey, "")
		if !strings.Contains(status, `"unreadableVersion":2`) {
			t.Errorf("%s: status %s", i.Listing.Name, status)
		}
		log, _ := os.ReadFile(i.LogFile)
		if n := strings.Count(string(log), "proofWithheld"); n != 1 {
			t.Errorf("%s recorded proofWithheld %d times, want once", i.Listing.Name, n)
		}
	}
	putDocument(t, f, f.Document)
	for _, i := range f.Instances {
		awaitCondition(t, "traffic with a readable version", func() bool { return reasonAt(t, f, i, "/browse/a") == "ran" })
		_, status := controlRequest(t, i, http.MethodGet, "/v1/status", fleet.OperatorKey, "")
		if strings.Contains(status, "unreadableVersion") {
			t.Errorf("%s: status %s", i.Listing.Name, status)
		}
	}
}
