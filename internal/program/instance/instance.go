// Package instance implements an entry instance. An entry instance accepts
// requests of callers, checks their keys and rate limits, and chooses a backend
// server. Each backend server has one home: the instance that queues requests
// for the server and sends them to it. The entry instance dispatches a request
// directly if it is the home itself, and otherwise over a connection to the
// home.
//
// An incarnation is one run of an instance's process. The callers, the
// operators and the other instances (the peers) each have their own port.
package instance

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"tamarackrun"
	"tamarackrun/internal/coordination/home"
	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/settings"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/boottime"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/history"
	"tamarackrun/internal/state/metrics"
	"tamarackrun/internal/state/roster"
	"tamarackrun/internal/transport/backend"
	"tamarackrun/internal/transport/caller"
	"tamarackrun/internal/transport/objectstore"
	"tamarackrun/internal/transport/operator"
	"tamarackrun/internal/transport/peer"
)

const (
	// maxServerConnections is the largest number of pooled connections to one
	// backend server.
	maxServerConnections = 390
	// shutdownLimit bounds the wait for running requests in a graceful shutdown if
	// no route allows more; shutdownMargin is added to a longer route timeout.
	shutdownLimit  = 30 * time.Second
	shutdownMargin = 5 * time.Second
	// lookupMargin is the time in which peers learn that the instance is leaving,
	// so that their look-up answers leave it out.
	lookupMargin = time.Second
	// idleTime without a new request shows that callers moved away. Idle
	// connections are closed only then, because a request that is just being
	// written on one would be cut off. idleLimit bounds the wait for callers that
	// ignore the lifetime of look-up answers.
	idleTime         = time.Second
	idleLimit        = 15 * time.Second
	idlePollInterval = 50 * time.Millisecond
	closeDelay       = 100 * time.Millisecond
)

// Instance is one entry instance, which is also the home of some backend
// servers.
type Instance struct {
	Settings settings.Settings
	Logger   *log.Logger

	clock          tamarackrun.Clock
	incarnation    string
	store          tamarackrun.ObjectStore
	history        *history.History
	metrics        http.Handler
	roster         *roster.Roster
	mesh           *peer.Mesh
	callerServer   *caller.Server
	operatorServer *operator.Server
	backendClient  *backend.Client

	// snapshot is the configuration in force. It is nil until the first
	// configuration was accepted; its version only increases.
	snapshot    atomic.Pointer[configuration.Snapshot]
	leaving     atomic.Bool
	homeServers *homeServers
	rateLimiter *rateLimiter
	ticketed    *ticketedRequests
	configSync  *configSync
	freshness   *freshnessTracker
	lookups     *lookups

	dispatchState dispatchState
}

// New opens the listeners of an instance. The returned function closes them.
func New(s settings.Settings, logger *log.Logger) (*Instance, func(), error) {
	in := &Instance{Settings: s, Logger: logger, clock: boottime.Clock{}, incarnation: s.Name + "-" + rand.Text()[:13]}
	var cleanups []func()
	cleanup := func() {
		for i := len(cleanups) - 1; i >= 0; i-- {
			cleanups[i]()
		}
	}
	for _, open := range []func() (func(), error){in.openMetrics, in.openStore, in.openPeers, in.openBackends, in.openListeners} {
		closeOpened, err := open()
		if err != nil {
			cleanup()
			return nil, nil, eris.Wrap(err, "cannot open instance "+s.Name)
		}
		cleanups = append(cleanups, closeOpened)
	}
	return in, cleanup, nil
}

func (in *Instance) openMetrics() (func(), error) {
	meter, cleanup := metrics.New(in.Settings.Name)
	in.metrics = meter.Handler
	in.history = &history.History{Instance: in.Settings.Name, Logger: in.Logger, Scope: meter.Scope}
	return cleanup, nil
}

func (in *Instance) openStore() (func(), error) {
	store, cleanup, err := objectstore.New(in.Settings.PlatformURL)
	in.store = store
	return cleanup, err
}

func (in *Instance) openPeers() (func(), error) {
	mesh, cleanup, err := peer.New(in.Settings.PeerAddress)
	if err != nil {
		return nil, err
	}
	in.mesh = mesh
	mesh.Handler = in
	in.roster = roster.New(in.listing(), in.clock)
	if err := in.setUpPeerTLS(); err != nil {
		cleanup()
		return nil, err
	}
	return cleanup, nil
}

func (in *Instance) openBackends() (func(), error) {
	client, cleanup, err := backend.New(maxServerConnections)
	if err != nil {
		return nil, err
	}
	in.backendClient = client
	client.Clock = in.clock
	client.Address = func(server string) (string, bool) {
		v, ok := in.snapshot.Load().Servers[server]
		return v.Address, ok
	}
	in.homeServers = newHomeServers(in)
	client.OnAnswer = in.homeServers.observeAnswer
	in.rateLimiter = newRateLimiter(in)
	in.ticketed = newTicketedRequests(in)
	in.configSync, in.freshness = newConfigSync(in), newFreshnessTracker(in)
	in.lookups = newLookups(in)
	return cleanup, nil
}

func (in *Instance) openListeners() (func(), error) {
	var tlsConfig *tls.Config
	if s := in.Settings; s.CallerCertificateFile != "" {
		var err error
		if tlsConfig, err = caller.NewTLS(s.CallerCertificateFile, s.CallerKeyFile); err != nil {
			return nil, err
		}
	}
	callerServer, closeCallers, err := caller.New(in.Settings.CallerAddress, tlsConfig)
	if err != nil {
		return nil, err
	}
	operatorServer, closeOperators, err := operator.New(in.Settings.ControlAddress)
	if err != nil {
		closeCallers()
		return nil, err
	}
	callerServer.Steerer, callerServer.Leaving = in, in.leaving.Load
	callerServer.Lookup, callerServer.Tickets = http.HandlerFunc(in.lookups.serveLookup), http.HandlerFunc(in.ticketed.serveTickets)
	operatorServer.Control, operatorServer.Metrics = in, in.metrics
	in.callerServer, in.operatorServer = callerServer, operatorServer
	return func() { closeOperators(); closeCallers() }, nil
}

// listing returns this instance's entry in the platform's list.
func (in *Instance) listing() tamarackrun.Listing {
	s := in.Settings
	return tamarackrun.Listing{Name: s.Name, FailureDomain: s.FailureDomain, CallerAddress: s.CallerAddress,
		PeerAddress: s.PeerAddress, ControlAddress: s.ControlAddress}
}

// Run serves until ctx ends or an operator drains the instance, and then shuts
// down gracefully.
func (in *Instance) Run(ctx context.Context) error {
	in.history.Record(event.Started, "", "incarnation", in.incarnation, "failureDomain", in.Settings.FailureDomain)
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	start := func(task func(context.Context)) { group.Go(func() { task(background) }) }
	for _, listen := range []func() error{in.callerServer.Run, in.operatorServer.Run, in.mesh.Run} {
		start(func(context.Context) {
			if err := listen(); err != nil {
				in.history.Record(event.ListenerFailed, "", "error", err.Error())
			}
		})
	}
	start(in.configSync.watchManifest)
	start(in.configSync.pollManifest)
	start(in.freshness.run)
	start(in.pollRoster)
	start(in.sendHeartbeats)
	start(in.homeServers.run)
	start(in.homeServers.runTableUpdates)
	start(in.rateLimiter.run)
	start(in.ticketed.expireUnresolved)
	start(in.lookups.run)
	serving, leave := context.WithCancel(ctx)
	defer leave()
	start(func(ctx context.Context) { in.pollDrainRequests(ctx, leave) })
	<-serving.Done()
	in.shutdown()
	stop()
	return nil
}

// shutdown stops the instance gracefully. Look-up answers leave the instance
// out first; callers that hold an older look-up answer are served until it has
// expired.
func (in *Instance) shutdown() {
	in.history.Record(event.Stopping, "")
	in.leaving.Store(true)
	in.publishState()
	in.rateLimiter.stopLending()
	limit := shutdownLimit
	if c := in.snapshot.Load(); c != nil {
		in.homeServers.reconcile(c)
		time.Sleep(c.Fleet.LookupLifetime + lookupMargin)
		limit = max(limit, longestTimeout(c, "")+shutdownMargin)
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	in.homeServers.awaitHandover(shutdownCtx)
	in.awaitIdle(shutdownCtx)
	_ = in.callerServer.Shutdown(shutdownCtx)
	in.ticketed.seal(shutdownCtx)
	in.homeServers.awaitInFlight(shutdownCtx)
	in.rateLimiter.returnShares(shutdownCtx)
	// Closing a connection with unread bytes, such as a heartbeat, discards what
	// was sent last; peers read it within a round trip.
	time.Sleep(closeDelay)
	in.history.Record(event.Stopped, "")
}

// awaitIdle waits until callers send no new requests.
func (in *Instance) awaitIdle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, idleLimit)
	defer cancel()
	for ctx.Err() == nil && in.callerServer.SinceLastRequest() < idleTime {
		waiting.Pause(ctx, idlePollInterval)
	}
}

// phase returns the instance's phase for heartbeats.
func (in *Instance) phase() uint32 {
	switch {
	case in.leaving.Load():
		return roster.Leaving
	case in.snapshot.Load() == nil:
		return roster.Starting
	default:
		return roster.Ready
	}
}

// peerState returns this instance's state for heartbeats.
func (in *Instance) peerState() *wire.PeerState {
	state := &wire.PeerState{Name: in.Settings.Name, Incarnation: in.incarnation,
		FailureDomain: in.Settings.FailureDomain, Phase: in.phase(), Servers: in.homeServers.loads(),
		ConfigurationVersion: uint64(in.version()), ProofAgeMillis: in.freshness.proofAgeMillis(), CutOff: in.freshness.refusesKeyed(),
		CallerAddress: in.Settings.CallerAddress, PeerAddress: in.Settings.PeerAddress,
		ControlAddress: in.Settings.ControlAddress, ClockMillis: clockMillis(in.clock.Now())}
	return state
}

// publishState updates this instance's own entry in the roster and makes the
// tables of homes and of look-ups follow it.
func (in *Instance) publishState() {
	state := in.peerState()
	old, _ := in.roster.Member(in.Settings.Name)
	in.roster.SetSelf(state)
	if c := in.snapshot.Load(); c != nil && home.AffectsTable(old.State, state) {
		in.homeServers.refreshTable(c)
	}
	in.lookups.wake()
}
