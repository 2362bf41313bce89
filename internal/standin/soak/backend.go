package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tamarackrun/platform/standin"
)

// backend is a backend server behind a link. It can be restarted: each start has
// a new server id, while the link keeps the address.
type backend struct {
	store *standin.Store
	link  *link
	// onRun is called for each request that the server runs.
	onRun func(standin.Execution)
	// onColdStart is called for each start of a cold server, and onStart for
	// each start.
	onColdStart func(id string, at time.Time)
	onStart     func(id, domain string)
	onError     func(text string)

	// restarting is held by a disturbance that stops and starts the server.
	restarting sync.Mutex
	// copies decides which answers the server writes once more; nil if none.
	copies atomic.Pointer[copyPolicy]

	mu     sync.Mutex
	server *standin.Server
	http   *http.Server
	starts int
	// startedAt is when the server started.
	startedAt time.Time
	name      string
	service   string
	domain    string
}

// copyPolicy decides by the status of an answer, as the field Copy of a standin.CopyListener does.
type copyPolicy = func(status int) (delay time.Duration, copied bool)

// start starts the server with a new id and writes its record to the store. The
// server is cold for the given time.
func (b *backend) start(cold time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if b.link == nil {
		if b.link, err = newLink(""); err != nil {
			return err
		}
	}
	b.newServer()
	b.http = &http.Server{Handler: http.HandlerFunc(b.serve), ReadHeaderTimeout: 5 * time.Second}
	server := b.http
	if cold > 0 {
		b.server.SetColdUntil(b.startedAt.Add(cold))
		b.onColdStart(b.server.ID(), b.startedAt)
	}
	go func() { _ = server.Serve(&standin.CopyListener{Listener: listener, Copy: b.copied}) }()
	b.link.retarget(listener.Addr().String())
	b.store.PutServer(b.server, false, cold, b.startedAt)
	return nil
}

// newServer makes another server with a new id, which starts now, the backend's. The caller holds b.mu.
func (b *backend) newServer() {
	b.starts++
	b.server = standin.NewServer(fmt.Sprintf("%s-%d", b.name, b.starts))
	b.server.Service, b.server.Zone, b.server.OnRun, b.server.Address = b.service, b.domain, b.onRun, b.link.address()
	b.onStart(b.server.ID(), b.domain)
	b.startedAt = time.Now()
}

// replace lets another server, which is not cold, take over the address and the open connections. The old
// server answers the requests that it has begun. Its record stays in the store.
func (b *backend) replace() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.newServer()
	b.store.PutServer(b.server, false, 0, b.startedAt)
}

// serve passes a request to the server of this moment.
func (b *backend) serve(w http.ResponseWriter, r *http.Request) {
	b.mu.Lock()
	server := b.server
	b.mu.Unlock()
	if strings.HasPrefix(r.URL.Path, crashPrefix) && rand.IntN(2) == 0 {
		// The server ends within its answer.
		server.BeginAnswer(w, r)
	}
	server.ServeHTTP(w, r)
}

// copied applies the policy of this moment.
func (b *backend) copied(status int) (time.Duration, bool) {
	if policy := b.copies.Load(); policy != nil {
		return (*policy)(status)
	}
	return 0, false
}

// turnCold makes the running server cold. Its record says so only after the delay.
func (b *backend) turnCold(cold, delay time.Duration) {
	b.mu.Lock()
	server, started, until := b.server, b.startedAt, time.Now().Add(cold)
	server.SetColdUntil(until)
	b.onColdStart(server.ID(), time.Now())
	b.mu.Unlock()
	time.Sleep(delay)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.server == server {
		b.store.PutServer(server, false, max(0, time.Until(until)), started)
	}
}

// setLeaving makes the running server say in its answers that it leaves.
func (b *backend) setLeaving() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server.SetLeaving(true)
}

func (b *backend) setRateLimit(limit float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server.SetRateLimit(limit)
}

// mustStart starts the server again, cold, and reports a failure.
func (b *backend) mustStart() {
	if err := b.start(coldTime); err != nil {
		b.onError(fmt.Sprintf("cannot start %s: %v", b.name, err))
	}
}

// switchService makes the server one of the other service from its next start.
func (b *backend) switchService() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.service == services[0] {
		b.service = services[1]
	} else {
		b.service = services[0]
	}
}

func (b *backend) id() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.server.ID()
}

// crash stops the server without an announcement. Its record stays in the store.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.link.retarget("")
	_ = b.http.Close()
	b.link.reset()
}

// announceLeave marks the server as draining in the store.
func (b *backend) announceLeave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.store.PutServer(b.server, true, 0, b.startedAt)
}

// setBehaviour makes the server misbehave; nil ends that.
func (b *backend) setBehaviour(f func(*standin.Server) standin.Behaviour) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if f == nil {
		b.server.SetBehaviour(nil)
		return
	}
	b.server.SetBehaviour(f(b.server))
}

func (b *backend) close() {
	b.crash()
	b.link.close()
}
