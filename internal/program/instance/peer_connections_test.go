package instance_test

import (
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"tamarackrun"
	"tamarackrun/internal/standin/fleet"
	"tamarackrun/internal/standin/server"
)

// awaitLimit is far longer than any step takes, so that a busy host does not
// decide the result of a test.
const awaitLimit = 30 * time.Second

// awaitCondition polls every 20 ms until the condition holds.
func awaitCondition(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(awaitLimit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("not within %v: %s", awaitLimit, what)
		}
	}
}

// startTwoInstances starts two instances in two failure domains and one backend
// server, whose home is the first instance.
func startTwoInstances(t *testing.T, secured bool) *fleet.Fleet {
	return startFleet(t, fleet.Options{Instances: 2, Regions: []int{2}, TLS: secured, Services: []fleet.Service{
		{Name: "once", Servers: 1, Slots: 3, Route: "methods = GET\nidempotent = yes\nattempts = 1\ntimeout = 25s"}}})
}

// sendToSecond sends a request through the second instance, so that it passes a
// connection to the home.
func sendToSecond(f *fleet.Fleet, t *testing.T, target string) (outcome, reason string) {
	r := f.Caller("tea").SendTo(t.Context(), f.Instances[1].Listing.CallerAddress, "GET", target, nil, nil)
	return r.Outcome, r.Reason
}

// A fleet must work with TLS, and it must refuse plain connections between
// instances.
func TestPeerConnectionsWithTLS(t *testing.T) {
	t.Parallel()
	f := startTwoInstances(t, true)
	awaitCondition(t, "a request over a TLS connection", func() bool {
		outcome, _ := sendToSecond(f, t, "/once/1")
		return outcome == "ran"
	})
	response, err := (&http.Client{Timeout: awaitLimit}).Get("http://" + f.Instances[0].Listing.PeerAddress)
	if err == nil {
		_ = response.Body.Close()
	}
	awaitCondition(t, "an event about the plain connection", func() bool { return logged(f.Instances[0], "peerRefused") })
}

func logged(i *fleet.Instance, text string) bool {
	log, err := os.ReadFile(i.LogFile)
	return err == nil && strings.Contains(string(log), text)
}

// An instance with a certificate of another authority must not become part of
// the fleet.
func TestForeignInstanceIsRefused(t *testing.T) {
	t.Parallel()
	f := startTwoInstances(t, true)
	foreign, err := fleet.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	f.Instances[1].Kill()
	f.Authority = foreign
	if err := f.StartInstance(f.Instances[1]); err != nil {
		t.Fatal(err)
	}
	awaitCondition(t, "both instances refuse each other's connections", func() bool {
		return logged(f.Instances[0], "peerRefused") && logged(f.Instances[1], "peerRefused")
	})
	for n, i := range f.Instances {
		awaitCondition(t, "an answer that names only the own instance", func() bool {
			answer, err := f.Caller("").Lookup(t.Context(), i.Listing.CallerAddress)
			return err == nil && len(answer.Instances) == 1 && answer.Instances[0].Name == f.Instances[n].Listing.Name
		})
	}
}

// When the connection to the home falls silent without a reset, requests must
// not wait until their deadline or end with a false outcome, and later requests
// must not use that connection.
func TestSilentPeerConnection(t *testing.T) {
	for _, secured := range []bool{false, true} {
		t.Run(map[bool]string{false: "plain", true: "TLS"}[secured], func(t *testing.T) {
			t.Parallel()
			f := startTwoInstances(t, secured)
			relay, cleanup, err := fleet.NewLink("127.0.0.1", f.Instances[0].Listing.PeerAddress)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(cleanup)
			var list []tamarackrun.Listing
			for n, i := range f.Instances {
				l := i.Listing
				if n == 0 {
					l.PeerAddress = relay.Address()
				}
				list = append(list, l)
			}
			f.Platform.SetInstances(list)
			awaitCondition(t, "a connection through the relay", func() bool { return relay.Connections() > 0 })
			awaitCondition(t, "a request through the relay", func() bool {
				outcome, _ := sendToSecond(f, t, "/once/warm")
				return outcome == "ran"
			})
			testSilentPeerConnection(t, f, relay)
		})
	}
}

func testSilentPeerConnection(t *testing.T, f *fleet.Fleet, relay *fleet.Link) {
	f.Servers["once-01"].SetFaults(server.Faults{WorkMillis: 300})
	connections := relay.Connections()
	relay.Silence()
	began := time.Now()
	outcome, reason := sendToSecond(f, t, "/once/silent")
	t.Logf("request on the silent connection: %s %s after %v", outcome, reason, time.Since(began))
	executions := 0
	for _, e := range f.Servers["once-01"].Record().Executions {
		if e.Target == "/once/silent" {
			executions++
		}
	}
	switch {
	case outcome == "unknown" && reason == string(tamarackrun.HomeLost):
	case outcome == "notRun" && executions == 0:
	case outcome == "ran" && executions == 1:
	default:
		t.Errorf("outcome %q, reason %q, %d executions", outcome, reason, executions)
	}
	awaitCondition(t, "a request on a new connection", func() bool {
		outcome, _ := sendToSecond(f, t, "/once/after")
		return outcome == "ran"
	})
	if relay.Connections() <= connections {
		t.Errorf("%d connections, want more than %d", relay.Connections(), connections)
	}
}
