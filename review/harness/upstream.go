package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// defaultWork is how long an upstream works on a request.
const defaultWork = 50 * time.Millisecond

// run is one request that an upstream began to work on.
type run struct {
	id, target, tenant string
	began              time.Time
	// ended is when the work ended; zero while it goes on.
	ended time.Time
	// cancelled reports whether the connection closed before the work was done.
	cancelled bool
}

// upstream is a stand-in of an upstream that follows the users' protocol page. It is safe for
// concurrent use.
type upstream struct {
	id, service, zone, address string
	born                       time.Time
	work                       map[string]time.Duration
	record                     *recorder

	mu       sync.Mutex
	sequence int
	runs     []*run
	// failing is true while the upstream fails every second request after it has run it.
	failing bool
	// leaving is true once the upstream reports that it drains and says so in its answers.
	leaving bool
	server  *http.Server
}

// start serves at the address, of which the port may be 0, and begins a lifetime.
func (v *upstream) start(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	v.mu.Lock()
	v.address, v.born, v.sequence = listener.Addr().String(), time.Now(), 0
	server := &http.Server{Handler: v}
	v.server = server
	v.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return nil
}

// stop ends the lifetime like a crash.
func (v *upstream) stop() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.server == nil {
		return nil
	}
	return v.server.Close()
}

// leave makes the upstream say that it leaves. It goes on serving.
func (v *upstream) leave() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.leaving = true
}

// isLeaving reports whether the upstream says that it leaves.
func (v *upstream) isLeaving() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaving
}

// nextRecord returns the spec of the upstream's next record in the store.
func (v *upstream) nextRecord() string {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.sequence++
	state := "ready"
	if v.leaving {
		state = "draining"
	}
	return fmt.Sprintf(`{"backend":%q,"address":%q,"zone":%q,"version":"v1","slots":9,"state":%q,"cold-remaining-s":0,"seq":%d,"born":%d}`,
		v.service, v.address, v.zone, state, v.sequence, v.born.UnixMilli())
}

// ServeHTTP handles one request.
func (v *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if v.isLeaving() {
		w.Header().Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", v.id)
		w.Header().Set("X-Cold-Remaining-Ms", "0")
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != v.id {
		w.Header().Set("X-Instance-Id", v.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e := &run{id: id, target: r.RequestURI, tenant: r.Header.Get("X-Tenant"), began: time.Now()}
	v.mu.Lock()
	v.runs = append(v.runs, e)
	fails := v.failing && len(v.runs)%2 == 0
	v.mu.Unlock()
	v.record.add("upstream %s (%s) begins to run %s %s, X-Tenant %q", v.id, v.service, id, e.target, e.tenant)
	work := v.work[routeOf(r.URL.Path)]
	if work == 0 {
		work = defaultWork
	}
	cancelled := false
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		cancelled = true
	}
	v.mu.Lock()
	e.ended, e.cancelled = time.Now(), cancelled
	v.mu.Unlock()
	if cancelled {
		v.record.add("upstream %s stops work on %s, its connection has closed", v.id, id)
		return
	}
	if v.isLeaving() {
		w.Header().Set("Server-Leaving", "1")
	}
	if fails {
		v.record.add("upstream %s has run %s and answers 503 without X-Not-Executed", v.id, id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Response-Signature", "signed-"+v.id+"-"+id)
	w.Header().Set("X-Server-Load", "1,0,9")
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.RequestURI, body)
}

// routeOf returns the first segment of a path.
func routeOf(path string) string {
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			return path[1:i]
		}
	}
	return ""
}

// allRuns returns copies of the runs of all upstreams by the id of the request.
func (d *deployment) allRuns() map[string][]run {
	all := map[string][]run{}
	for _, v := range d.upstreams {
		v.mu.Lock()
		for _, e := range v.runs {
			all[e.id] = append(all[e.id], *e)
		}
		v.mu.Unlock()
	}
	return all
}
