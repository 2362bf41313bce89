package exchange

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a server that counts as ended while connections to it are open, and against one that has ended and
// counts as running because of a connection that it has closed or that was opened later.
func TestHasOpen(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/running" {
			close(arrived)
			<-release
		}
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Signature", "s")
	}))
	defer server.Close()
	c, address := newClient(t), server.Listener.Addr().String()
	send := func(id string) {
		c.Do(t.Context(), address, Request{ID: id, Method: http.MethodGet, Target: "/" + id, Host: "h", Header: http.Header{"Id": {id}}})
	}
	began := time.Now()
	open := func() bool { return c.HasOpen(address, time.Now()) }
	got := map[string]bool{"before": open()}
	ended := make(chan struct{})
	go func() { send("running"); close(ended) }()
	<-arrived
	got["running"], got["opened later"] = open(), c.HasOpen(address, began)
	close(release)
	<-ended
	got["idle"] = open()
	server.CloseClientConnections()
	// The client's system gets the end of the connection.
	time.Sleep(laterDelay)
	got["closed by the server"] = open()
	want := map[string]bool{"before": false, "running": true, "opened later": false, "idle": true, "closed by the server": false}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("open (-want +got):\n%s", diff)
	}
}
