package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tamarackrun/internal/state/sla"
	"tamarackrun/platform/standin"
)

// bounds are the terms of the instances and the bounds of the checks. They are
// those of the users' first two sites, except for a shorter StopGrace.
var bounds = sla.Terms{
	DrainBound: 2500 * time.Millisecond, StopGrace: 4 * time.Second,
	DetectionBound: 4 * time.Second, ApplyBound: 2500 * time.Millisecond, EvacuateBound: 5 * time.Second,
	RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 64,
	ColdOverage: 1, ColdSlack: 5,
	RateWindow: 5 * time.Second, RateOverage: 0.1, RateSlack: 20,
}

const (
	routeTimeout = 1200 * time.Millisecond
	maxAttempts  = 2
	coldTime     = 3 * time.Second
	// coldRate and limitedRate are in requests per second.
	coldRate = 7.1
	// There are two organisations: limited sends several times its rate, and free
	// stays below its own.
	limited, free             = "limited", "free"
	limitedRate, limitedBurst = 8.0, 8.0
	freeRate                  = 10_000.0
	limitedKey                = "key-limited"
	// recoveryTime is the time at the end of a seed in which requests must be
	// served again. The last disturbance ends bounds.DetectionBound before it.
	recoveryTime = 2 * time.Second
	// One request in slowOneIn takes up to maxWorkTime, so that some are running
	// at any moment.
	slowOneIn   = 15
	maxWorkTime = 800 * time.Millisecond
	// startTimeout is how long the instances may take to become ready.
	startTimeout = 10 * time.Second
)

// services are the services of the routes. The third route moves between them.
var services = []string{"books", "parcels"}

// regionOf maps each failure domain to its region.
var regionOf = map[string]string{"a1": "a", "a2": "a", "b1": "b"}

// instanceDomains holds the failure domain of each instance. The three of the first one have a
// reader of the store and two relays among them.
var instanceDomains = []string{"a1", "a1", "a1", "b1"}

// routeChange is a move of the third route to a service.
type routeChange struct {
	at      time.Time
	service string
}

// evacuation is a time span in which a failure domain is evacuated. Its end is zero
// while it lasts.
type evacuation struct {
	domain   string
	from, to time.Time
}

// namedLimit is a time in which a server names a rate limit, in requests per second.
type namedLimit struct {
	server   string
	limit    float64
	from, to time.Time
}

// harness runs one seed: a store, backend servers, instances, callers and
// disturbances, and the history of what they saw.
type harness struct {
	began        time.Time
	store        *standin.Store
	instances    []*instance
	backends     []*backend
	history      history
	disturbances disturbanceLog
	// sendingAgain is the number of disturbances in which callers send refused orders again.
	sendingAgain atomic.Int32
	// storms is the number of storms of repeats under way.
	storms atomic.Int32

	mu sync.Mutex
	// desired is the latest desired state, and routeChanges holds the services
	// of its third route so far.
	desired      standin.DesiredState
	routeChanges []routeChange
	keyCount     int
	// keyAdded and keyRevoked hold times by key, leftAt and coldSince by server
	// id. domainOf holds the failure domain by server id.
	keyAdded          map[string]time.Time
	keyRevoked        map[string]time.Time
	leftAt, coldSince map[string]time.Time
	domainOf          map[string]string
	evacuations       []*evacuation
	limits            []*namedLimit
	// leavingFrom holds, by server id, when a server began to say in its answers that it leaves.
	leavingFrom map[string]time.Time
	// speedup divides the pauses of the callers.
	speedup  int
	cleanups []func()
}

// newHarness starts everything but the callers and disturbances. The number gives
// harnesses that run at the same time different addresses.
func newHarness(number int, binary, directory string) (*harness, func(), error) {
	h := &harness{
		began: time.Now(), store: standin.NewStore(),
		keyAdded: map[string]time.Time{}, keyRevoked: map[string]time.Time{},
		leftAt: map[string]time.Time{}, coldSince: map[string]time.Time{}, domainOf: map[string]string{}, leavingFrom: map[string]time.Time{},
		speedup: 1, history: history{calls: map[string]*call{}},
	}
	err := h.start(number, binary, directory)
	if err != nil {
		h.close()
		return nil, nil, err
	}
	return h, h.close, nil
}

// start starts the store, the servers and the instances, and waits until the
// instances are ready.
func (h *harness) start(number int, binary, directory string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	h.cleanups = append(h.cleanups, func() { _ = server.Close() })
	h.desired = standin.DesiredState{Services: services, ColdTime: coldTime, ColdRate: coldRate, Routes: []standin.Route{
		{Name: "read", Prefix: "/read/", Service: services[0], Idempotent: true, Attempts: maxAttempts, Timeout: routeTimeout},
		{Name: "order", Prefix: "/order/", Service: services[1], Attempts: maxAttempts, Timeout: routeTimeout},
		{Name: "move", Prefix: "/move/", Service: services[0], Idempotent: true, Attempts: maxAttempts, Timeout: routeTimeout},
	}, Organisations: []standin.Organisation{
		{Name: free, Rate: freeRate, Burst: freeRate}, {Name: limited, Keys: []string{limitedKey}, Rate: limitedRate, Burst: limitedBurst}}}
	for range 3 {
		h.addKey()
	}
	if err := h.configure(func(*standin.DesiredState) {}); err != nil {
		return err
	}
	for _, service := range services {
		for i, domain := range []string{"a1", "a2", "b1", "b1"} {
			b := &backend{
				store: h.store, onRun: h.execute, onColdStart: h.noteColdStart,
				name: fmt.Sprint(service, "-", i+1), service: service, domain: domain, onStart: h.noteStart,
				onError: func(text string) { h.history.addViolation("SOAK", text) },
			}
			if err := b.start(0); err != nil {
				return err
			}
			h.backends = append(h.backends, b)
			h.cleanups = append(h.cleanups, b.close)
		}
	}
	for i, domain := range instanceDomains {
		store, err := newLink(listener.Addr().String())
		if err != nil {
			return err
		}
		in := &instance{
			binary: binary, directory: directory, store: store, onViolation: h.history.addViolation,
			settings: standin.Settings{
				Name: fmt.Sprint("front-", domain, "-", i), IP: fmt.Sprintf("127.%d.%d.%d", 64+number/250, 1+number%250, i+1),
				Zone: domain, Zones: regionOf, StoreAddress: store.address(), Bounds: bounds,
			},
		}
		h.cleanups = append(h.cleanups, store.close, in.kill)
		if err := in.start(); err != nil {
			return err
		}
		h.instances = append(h.instances, in)
	}
	for end := time.Now().Add(startTimeout); ; time.Sleep(20 * time.Millisecond) {
		if !slices.ContainsFunc(h.instances, func(in *instance) bool { return !in.settings.Ready() }) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("the instances are not ready within %v", startTimeout)
		}
	}
}

func (h *harness) close() {
	for _, f := range slices.Backward(h.cleanups) {
		f()
	}
}

// execute records a request that a server runs and waits for its working time or
// its cancellation.
func (h *harness) execute(x standin.Execution) {
	h.history.recordExecution(x, h.instanceAt(x.From))
	if strings.HasPrefix(x.Target, crashPrefix) {
		go h.endServer(x.Server)
		<-x.Cancelled
		return
	}
	duration := time.Duration(5+rand.IntN(20)) * time.Millisecond
	if rand.IntN(slowOneIn) == 0 {
		duration = time.Duration(rand.Int64N(int64(maxWorkTime)))
	}
	select {
	case <-time.After(duration):
	case <-x.Cancelled:
	}
}

// instanceAt returns the index of the instance with the IP address.
func (h *harness) instanceAt(ip string) int {
	return slices.IndexFunc(h.instances, func(in *instance) bool { return in.settings.IP == ip })
}

// noteColdStart records that a cold server has started.
func (h *harness) noteColdStart(id string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.coldSince[id] = at
}

// noteStart records the failure domain of a server that starts.
func (h *harness) noteStart(id, domain string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.domainOf[id] = domain
}

// noteLeave records that the store has accepted the leaving or removal of a
// server.
func (h *harness) noteLeave(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leftAt[id].IsZero() {
		h.leftAt[id] = time.Now()
	}
}

// beginEvacuation starts an evacuation unless the failure domain is being evacuated
// already. It reports whether it started one.
func (h *harness) beginEvacuation(e *evacuation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if slices.ContainsFunc(h.evacuations, func(other *evacuation) bool { return other.domain == e.domain && other.to.IsZero() }) {
		return false
	}
	h.store.Evacuate(e.domain)
	e.from = time.Now()
	h.evacuations = append(h.evacuations, e)
	return true
}

// addKey adds a key to the organisation free in the desired state.
func (h *harness) addKey() {
	h.keyCount++
	o := &h.desired.Organisations[0]
	key := fmt.Sprint("key-", h.keyCount)
	o.Keys = append(slices.Clone(o.Keys), key)
	if len(h.routeChanges) > 0 {
		// Keys of the first desired state are not listed, as they are known from
		// the start.
		h.keyAdded[key] = time.Now()
	}
}

// configure changes the desired state and writes it to the store.
func (h *harness) configure(change func(*standin.DesiredState)) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	change(&h.desired)
	h.desired.Version += 1 + rand.IntN(3)
	if err := h.store.Configure(h.desired); err != nil {
		return err
	}
	service := h.desired.Routes[2].Service
	if n := len(h.routeChanges); n == 0 || h.routeChanges[n-1].service != service {
		h.routeChanges = append(h.routeChanges, routeChange{time.Now(), service})
	}
	return nil
}

// replaceKey revokes the oldest key and adds another.
func (h *harness) replaceKey() error {
	return h.configure(func(d *standin.DesiredState) {
		o := &d.Organisations[0]
		h.keyRevoked[o.Keys[0]] = time.Now()
		o.Keys = o.Keys[1:]
		h.addKey()
	})
}

// moveRoute moves the third route to the other service.
func (h *harness) moveRoute() error {
	return h.configure(func(d *standin.DesiredState) {
		routes := slices.Clone(d.Routes)
		routes[2].Service = services[0]
		if d.Routes[2].Service == services[0] {
			routes[2].Service = services[1]
		}
		d.Routes = routes
	})
}

// allowedServices returns the services that any desired state of the time span
// gives the route. A state may be in force before its write returns here.
func (h *harness) allowedServices(route string, from, to time.Time) []string {
	switch route {
	case "read":
		return services[:1]
	case "order":
		return services[1:]
	}
	var list []string
	for i, change := range h.routeChanges {
		if change.at.After(to) || i+1 < len(h.routeChanges) && h.routeChanges[i+1].at.Before(from) {
			continue
		}
		list = append(list, change.service)
	}
	return list
}

// revoked reports whether the key was revoked.
func (h *harness) revoked(key string) bool { _, ok := h.keyRevoked[key]; return ok }

// keyKnown reports whether every desired state that may be in force at a connected
// instance holds the key, and whether all states of the seed do.
func (h *harness) keyKnown(key string, sent time.Time) (known, always bool) {
	if h.revoked(key) {
		return false, false
	}
	at, added := h.keyAdded[key]
	return !added || sent.After(at.Add(bounds.ApplyBound)), !added
}

// pickKey returns a key of the organisation, at times a revoked one, as some
// callers keep using it. Keys are revoked in the order of their numbers.
func (h *harness) pickKey(r *rand.Rand, organisation string) string {
	if organisation == limited {
		return limitedKey
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	keys := h.desired.Organisations[0].Keys
	if len(h.keyRevoked) > 0 && r.IntN(20) == 0 {
		return fmt.Sprint("key-", 1+r.IntN(len(h.keyRevoked)))
	}
	return keys[r.IntN(len(keys))]
}

// run runs the callers for the length and the disturbances until shortly before
// its end, and checks the history.
func (h *harness) run(seed uint64, length time.Duration) report {
	ctx, stop := context.WithTimeout(context.Background(), length)
	defer stop()
	h.began = time.Now()
	end := h.began.Add(length)
	var group sync.WaitGroup
	for i := range callerCount {
		group.Go(func() { h.runCaller(ctx, rand.New(rand.NewPCG(seed, uint64(i)+1)), i) })
	}
	h.disturb(ctx, seed, length, &group)
	group.Wait()
	// A request may still be in flight to a server.
	time.Sleep(routeTimeout)
	return h.check(seed, end)
}
