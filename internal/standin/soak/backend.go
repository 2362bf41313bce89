package soak

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"tamarackrun/platform/standin"
)

// backend is a backend server behind a link, which keeps its address.
type backend struct {
	store *standin.Store
	link  *link
	// run is called for each request that any of its lives runs.
	run func(standin.Execution)
	// started is called when a cold life begins to listen, and named for each
	// life.
	started func(id string, at time.Time)
	named   func(id, zone string)
	failed  func(text string)

	// changing is held by a trouble that ends and begins lives.
	changing sync.Mutex

	mu      sync.Mutex
	server  *standin.Server
	http    *http.Server
	lives   int
	name    string
	service string
	zone    string
}

// start begins a life of the server. Its record is written at once.
func (b *backend) start(cold time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.lives++
	b.server = standin.NewServer(fmt.Sprintf("%s-%d", b.name, b.lives))
	b.server.Service, b.server.Zone, b.server.OnRun = b.service, b.zone, b.run
	if b.link == nil {
		if b.link, err = newLink(""); err != nil {
			return err
		}
	}
	b.server.Address = b.link.address()
	b.http = &http.Server{Handler: b.server, ReadHeaderTimeout: 5 * time.Second}
	server := b.http
	b.named(b.server.ID(), b.zone)
	if cold > 0 {
		b.started(b.server.ID(), time.Now())
	}
	go func() { _ = server.Serve(listener) }()
	b.link.retarget(listener.Addr().String())
	b.store.PutServer(b.server, false, cold, time.Now())
	return nil
}

// mustStart begins another life.
func (b *backend) mustStart(cold time.Duration) {
	if err := b.start(cold); err != nil {
		b.failed(fmt.Sprintf("cannot start %s: %v", b.name, err))
	}
}

// swap makes the next life one of the other service.
func (b *backend) swap() {
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

// crash ends the life without a word; the platform removes the record later.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.link.retarget("")
	_ = b.http.Close()
	b.link.reset()
}

// leave announces the end of the life.
func (b *backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.store.PutServer(b.server, true, 0, time.Now())
}

// behave makes the life answer wrongly; nil ends that.
func (b *backend) behave(f func(*standin.Server) standin.Behaviour) {
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
