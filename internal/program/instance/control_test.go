package instance_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"tamarackrun/internal/standin/fleet"
)

// getWithKey returns the status and the body of a GET with an operator key.
func getWithKey(t *testing.T, url, operatorKey string) (int, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Tamarackrun-Operator-Key", operatorKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

// awaitControlPort polls every 50 ms until a condition on the answers of a
// control port holds.
func awaitControlPort(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(30 * time.Second); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(limit) {
			t.Fatalf("did not happen in time: %s", what)
		}
	}
}

// Health endpoints and metrics must work without a key, everything else only
// with the key of a team. Each refusal reason must have its own counter.
func TestControlPort(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{})
	i := f.Instances[0]
	base := "http://" + i.Listing.ControlAddress
	for path, want := range map[string]int{"/healthz": 200, "/readyz": 200, "/metrics": 200,
		"/v1/status": 401, "/v1/document": 401, "/v1/explain/x": 401} {
		if status, _ := getWithKey(t, base+path, ""); status != want {
			t.Errorf("%s without a key: status %d, want %d", path, status, want)
		}
	}
	if status, _ := getWithKey(t, base+"/v1/status", fleet.OperatorKey); status != 200 {
		t.Errorf("/v1/status with a key: status %d, want 200", status)
	}
	anonymous := f.Caller("")
	anonymous.SendTo(t.Context(), i.Listing.CallerAddress, "GET", "/browse/1", nil, nil)
	anonymous.SendTo(t.Context(), i.Listing.CallerAddress, "GET", "/nowhere", nil, nil)
	for _, reason := range []string{"keyMissing", "routeUnknown"} {
		awaitControlPort(t, "counter for "+reason, func() bool {
			_, metrics := getWithKey(t, base+"/metrics", "")
			for _, line := range strings.Split(metrics, "\n") {
				if strings.HasPrefix(line, "tamarackrun_outcomes{") && strings.Contains(line, `reason="`+reason+`"`) {
					return strings.HasSuffix(line, " 1")
				}
			}
			return false
		})
	}
}

// explain must return the events of one request from all instances that took
// part.
func TestExplainShowsAllStages(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{})
	r := f.Caller("tea").Send(t.Context(), "GET", "/browse/1", nil, nil)
	if r.Outcome != "ran" {
		t.Fatalf("request: %+v, want the outcome ran", r)
	}
	for _, i := range f.Instances {
		for _, event := range []string{`"id":2001`, `"id":2002`, `"id":2003`} {
			// The entry instance records the end of the request after the caller got
			// the answer.
			awaitControlPort(t, event+" in explain at "+i.Listing.Name, func() bool {
				_, events := getWithKey(t, "http://"+i.Listing.ControlAddress+"/v1/explain/"+r.ID, fleet.OperatorKey)
				return strings.Contains(events, event)
			})
		}
	}
}
