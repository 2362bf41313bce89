package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"tamarackrun/internal/state/sla"
	"tamarackrun/platform/standin"
)

// bounds are those of the checks. They follow the users' first two sites, but
// for a shorter time to stop.
var bounds = sla.Terms{DrainBound: 2500 * time.Millisecond, StopGrace: 4 * time.Second, DetectionBound: 4 * time.Second, ApplyBound: 2500 * time.Millisecond,
	EvacuateBound: 5 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 64, ColdOverage: 1, ColdSlack: 5,
	RateWindow: 5 * time.Second, RateOverage: 0.1, RateSlack: 20}

const (
	routeTimeout = 1200 * time.Millisecond
	maxAttempts  = 2
	coldTime     = 3 * time.Second
	// coldRate and limitedRate are in requests per second.
	coldRate = 7.1
	// The organisation limited asks for several times its rate.
	limited, free             = "limited", "free"
	limitedRate, limitedBurst = 8.0, 8.0
	freeRate                  = 10_000.0
	limitedKey                = "key-limited"
	// calmEnd is the time at the end in which requests must be served again. The
	// last trouble ends bounds.ContactBound before.
	calmEnd = 2 * time.Second
	// One request in slowPart takes up to mostWork, so that some run at any moment.
	slowPart = 15
	mostWork = 800 * time.Millisecond
	// startTime bounds the start of the fleet.
	startTime = 10 * time.Second
	// lapse is how long after a crash the platform removes a server's record.
	lapse = 4500 * time.Millisecond
)

// services are those of the routes; the third route moves between them.
var services = []string{"books", "parcels"}

// zones gives the region of each failure domain.
var zones = map[string]string{"a1": "a", "a2": "a", "b1": "b"}

// move is a change of the third route's service.
type move struct {
	at      time.Time
	service string
}

type evacuation struct {
	zone     string
	from, to time.Time
}

// world is one seed's store, servers, instances, callers and record.
type world struct {
	began    time.Time
	store    *standin.Store
	members  []*member
	backends []*backend
	ledger   ledger
	troubles troubles

	mu sync.Mutex
	// desired is the latest desired state, and moves its third route's past.
	desired standin.DesiredState
	moves   []move
	keys    int
	// additions and revocations are by key, left and coldFrom by server.
	additions      map[string]time.Time
	revocations    map[string]time.Time
	left, coldFrom map[string]time.Time
	zoneOf         map[string]string
	evacuations    []*evacuation
	// burst is how many times faster callers ask.
	burst int
	stops []func()
}

// newWorld starts everything but the callers. The number tells worlds apart that
// run at the same time.
func newWorld(number int, binary, directory string) (*world, func(), error) {
	w := &world{began: time.Now(), store: standin.NewStore(), additions: map[string]time.Time{}, revocations: map[string]time.Time{}, left: map[string]time.Time{},
		coldFrom: map[string]time.Time{}, zoneOf: map[string]string{}, burst: 1, ledger: ledger{calls: map[string]*call{}}}
	err := w.start(number, binary, directory)
	if err != nil {
		w.close()
		return nil, nil, err
	}
	return w, w.close, nil
}

func (w *world) start(number int, binary, directory string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: w.store, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }()
	w.stops = append(w.stops, func() { _ = server.Close() })
	w.desired = standin.DesiredState{Services: services, ColdTime: coldTime, ColdRate: coldRate, Routes: []standin.Route{
		{Name: "read", Prefix: "/read/", Service: services[0], Idempotent: true, Attempts: maxAttempts, Timeout: routeTimeout},
		{Name: "order", Prefix: "/order/", Service: services[1], Attempts: maxAttempts, Timeout: routeTimeout},
		{Name: "move", Prefix: "/move/", Service: services[0], Idempotent: true, Attempts: maxAttempts, Timeout: routeTimeout},
	}, Organisations: []standin.Organisation{
		{Name: free, Rate: freeRate, Burst: freeRate}, {Name: limited, Keys: []string{limitedKey}, Rate: limitedRate, Burst: limitedBurst}}}
	for range 3 {
		w.addKey()
	}
	if err := w.configure(func(*standin.DesiredState) {}); err != nil {
		return err
	}
	for _, service := range services {
		for i, zone := range []string{"a1", "a2", "b1", "b1"} {
			b := &backend{store: w.store, run: w.run, started: w.coldStart, name: fmt.Sprint(service, "-", i+1), service: service, zone: zone, named: w.named,
				failed: func(text string) { w.ledger.fail("SOAK", text) }}
			if err := b.start(0); err != nil {
				return err
			}
			w.backends = append(w.backends, b)
			w.stops = append(w.stops, b.close)
		}
	}
	for i, zone := range []string{"a1", "a2", "b1"} {
		store, err := newLink(listener.Addr().String())
		if err != nil {
			return err
		}
		m := &member{binary: binary, directory: directory, store: store, failed: w.ledger.fail, settings: standin.Settings{
			Name: "front-" + zone, IP: fmt.Sprintf("127.%d.%d.%d", 64+number/250, 1+number%250, i+1), Zone: zone, Zones: zones,
			StoreAddress: store.address(), Bounds: bounds}}
		w.stops = append(w.stops, store.close, m.kill)
		if err := m.start(); err != nil {
			return err
		}
		w.members = append(w.members, m)
	}
	for end := time.Now().Add(startTime); ; time.Sleep(20 * time.Millisecond) {
		if !slices.ContainsFunc(w.members, func(m *member) bool { return !m.settings.Ready() }) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("the instances are not ready within %v", startTime)
		}
	}
}

func (w *world) close() {
	for _, f := range slices.Backward(w.stops) {
		f()
	}
}

// run is called for each request that a server runs and takes its time.
func (w *world) run(a standin.Execution) {
	w.ledger.ran(a)
	took := time.Duration(5+rand.IntN(20)) * time.Millisecond
	if rand.IntN(slowPart) == 0 {
		took = time.Duration(rand.Int64N(int64(mostWork)))
	}
	select {
	case <-time.After(took):
	case <-a.Cancelled:
	}
}

func (w *world) coldStart(id string, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coldFrom[id] = at
}

func (w *world) named(id, zone string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.zoneOf[id] = zone
}

// leave notes that the store has accepted a server's leaving.
func (w *world) leave(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.left[id].IsZero() {
		w.left[id] = time.Now()
	}
}

// begin starts an evacuation unless one of the same failure domain goes on.
func (w *world) begin(e *evacuation) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if slices.ContainsFunc(w.evacuations, func(v *evacuation) bool { return v.zone == e.zone && v.to.IsZero() }) {
		return false
	}
	w.store.Evacuate(e.zone)
	e.from = time.Now()
	w.evacuations = append(w.evacuations, e)
	return true
}

func (w *world) addKey() {
	w.keys++
	o := &w.desired.Organisations[0]
	key := fmt.Sprint("key-", w.keys)
	o.Keys = append(slices.Clone(o.Keys), key)
	if len(w.moves) > 0 {
		// The first desired state has no time.
		w.additions[key] = time.Now()
	}
}

// configure changes the desired state and has the store accept it.
func (w *world) configure(change func(*standin.DesiredState)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.desired)
	w.desired.Version += 1 + rand.IntN(3)
	if err := w.store.Configure(w.desired); err != nil {
		return err
	}
	service := w.desired.Routes[2].Service
	if n := len(w.moves); n == 0 || w.moves[n-1].service != service {
		w.moves = append(w.moves, move{time.Now(), service})
	}
	return nil
}

// revoke takes the oldest key away and adds another.
func (w *world) revoke() error {
	return w.configure(func(d *standin.DesiredState) {
		o := &d.Organisations[0]
		w.revocations[o.Keys[0]] = time.Now()
		o.Keys = o.Keys[1:]
		w.addKey()
	})
}

// moveRoute gives the third route to the other service.
func (w *world) moveRoute() error {
	return w.configure(func(d *standin.DesiredState) {
		routes := slices.Clone(d.Routes)
		routes[2].Service = services[0]
		if d.Routes[2].Service == services[0] {
			routes[2].Service = services[1]
		}
		d.Routes = routes
	})
}

// allowed returns the services that the route may use by a desired state of a
// span. A state is in force before its acceptance is known here.
func (w *world) allowed(route string, from, to time.Time) []string {
	switch route {
	case "read":
		return services[:1]
	case "order":
		return services[1:]
	}
	var list []string
	for i, m := range w.moves {
		if m.at.After(to) || i+1 < len(w.moves) && w.moves[i+1].at.Before(from) {
			continue
		}
		list = append(list, m.service)
	}
	return list
}

func (w *world) revoked(key string) bool { _, ok := w.revocations[key]; return ok }

// known says that all desired states that may be in force at an instance in touch
// hold the key, and always that all of the day do.
func (w *world) known(key string, sent time.Time) (known, always bool) {
	if w.revoked(key) {
		return false, false
	}
	at, added := w.additions[key]
	return !added || sent.After(at.Add(bounds.ApplyBound)), !added
}

// anyKey returns a key of an organisation; some callers keep a revoked one.
func (w *world) anyKey(r *rand.Rand, organisation string) string {
	if organisation == limited {
		return limitedKey
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	keys := w.desired.Organisations[0].Keys
	if len(w.revocations) > 0 && r.IntN(20) == 0 {
		return fmt.Sprint("key-", 1+r.IntN(len(w.revocations)))
	}
	return keys[r.IntN(len(keys))]
}

// play runs one seed: callers all the time, troubles until shortly before the
// end.
func (w *world) play(seed uint64, length time.Duration) report {
	ctx, stop := context.WithTimeout(context.Background(), length)
	defer stop()
	w.began = time.Now()
	end := w.began.Add(length)
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() { w.call(ctx, rand.New(rand.NewPCG(seed, uint64(i)+1)), i) })
	}
	w.harm(ctx, rand.New(rand.NewPCG(seed, 0)), length, &group)
	group.Wait()
	// A request may still be on its way to a server.
	time.Sleep(routeTimeout)
	return w.check(seed, end)
}
