package instance_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"tamarackrun/internal/standin/fleet"
	"tamarackrun/internal/standin/server"
)

// http2Client returns a client that trusts the certificate of one instance.
func http2Client(t *testing.T, f *fleet.Fleet, name string) *http.Client {
	t.Helper()
	transport := &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: f.CallerAuthority.ClientConfig(name)}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: time.Minute}
}

// sendHTTP2 sends a request and returns its outcome. refused is true, and err
// nil, if the instance no longer accepts connections.
func sendHTTP2(t *testing.T, client *http.Client, address, target string) (outcome string, refused bool, err error) {
	t.Helper()
	request, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "https://"+address+target, strings.NewReader("x"))
	request.Header.Set("Tamarackrun-Key", fleet.CallerKey("tea"))
	response, err := client.Do(request)
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return "", true, nil
	}
	if err != nil {
		return "", false, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.ProtoMajor != 2 {
		return response.Proto, false, nil
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.Header.Get("Tamarackrun-Outcome"), false, err
}

// A graceful shutdown must cut off no requests and streams on HTTP/2
// connections, even those of callers that continue until the port is closed.
func TestGracefulShutdownCutsNothingOnHTTP2(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{CallerTLS: true, Organisations: map[string]fleet.Rate{"tea": {Rate: 90000, Burst: 90000}},
		Services: []fleet.Service{
			{Name: "browse", Servers: 3, Slots: 9, Route: "methods = POST\nidempotent = yes"},
			{Name: "stream", Servers: 3, Slots: 9, Route: "methods = POST\nidempotent = yes\ntimeout = 60s\nattempts = 1"}}})
	for name, s := range f.Servers {
		if strings.HasPrefix(name, "stream") {
			s.SetFaults(server.Faults{StreamMillis: 20_000})
		}
	}
	leaving := f.Instances[0]
	address, client := leaving.Listing.CallerAddress, http2Client(t, f, leaving.Listing.Name)
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			if outcome, refused, err := sendHTTP2(t, client, address, "/stream/x"); outcome != "ran" || refused || err != nil {
				t.Errorf("a stream ended with %s, refused %v, error %v", outcome, refused, err)
			}
		})
	}
	// All bodies are "x".
	awaitCondition(t, "streams", func() bool { return f.Executions("x") == 4 })
	var mu sync.Mutex
	ran := 0
	for range 8 {
		group.Go(func() {
			for t.Context().Err() == nil {
				outcome, refused, err := sendHTTP2(t, client, address, "/browse/x")
				if refused {
					return
				}
				if outcome != "ran" || err != nil {
					t.Errorf("a request ended with %s, error %v", outcome, err)
					return
				}
				mu.Lock()
				ran++
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	awaitCondition(t, "load", func() bool { return f.Executions("x") > 100 })
	expectSignaled(t, leaving.Terminate())
	if !leaving.Wait(time.Minute) {
		t.Error("the instance did not stop")
	}
	group.Wait()
	t.Logf("%d short requests ran on HTTP/2", ran)
}
