// Package front assembles an instance that runs on the users' platform: it
// serves callers, answers look-ups of instances, and keeps a copy of the records
// of the platform's store.
package front

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"github.com/uber-go/tally/v4"

	"tamarackrun"
	"tamarackrun/internal/coordination/coldstart"
	"tamarackrun/internal/coordination/crash"
	"tamarackrun/internal/coordination/delegation"
	"tamarackrun/internal/coordination/directory"
	"tamarackrun/internal/coordination/follow"
	"tamarackrun/internal/coordination/lateness"
	"tamarackrun/internal/coordination/linkcheck"
	"tamarackrun/internal/coordination/loan"
	"tamarackrun/internal/coordination/membership"
	"tamarackrun/internal/coordination/quota"
	"tamarackrun/internal/coordination/serverlimit"
	"tamarackrun/internal/coordination/source"
	"tamarackrun/internal/coordination/steer"
	"tamarackrun/internal/coordination/verify"
	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/boottime"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/history"
	"tamarackrun/internal/state/metrics"
	"tamarackrun/internal/state/records"
	"tamarackrun/internal/state/registry"
	"tamarackrun/internal/state/sla"
	"tamarackrun/internal/transport/datagram"
	"tamarackrun/internal/transport/exchange"
	"tamarackrun/internal/transport/peer"
	"tamarackrun/internal/transport/pipeline"
)

const (
	// sweepInterval is the time between two runs of sweep.
	sweepInterval = 100 * time.Millisecond
	// announceRetryDelay is the pause after a failure to write the instance's own
	// record.
	announceRetryDelay = time.Second
	// withdrawInterval is the time between two searches for the records of
	// instances that will not return.
	withdrawInterval = time.Minute
	// digestFraction is the part of the link's rate at which messages to many instances are sent.
	// The rest is for requests.
	digestFraction = 0.5
	// callersFraction is the part of the file descriptors for callers' connections. The rest is for connections to
	// servers, other instances and the store.
	callersFraction = 0.7
	// bodiesFraction is the part of the machine's memory for the bodies of requests,
	// and the part for the bodies of answers.
	bodiesFraction = 0.125
)

// Front is an entry instance that runs on the users' platform.
type Front struct {
	// These fields are set before Run. LookupHandler and ReadyHandler return the
	// handlers of look-ups and readiness checks, which query the instance.
	Identity      tamarackrun.Identity
	Store         tamarackrun.RecordStore
	HeaderCodec   tamarackrun.HeaderCodec
	LookupHandler func(tamarackrun.Directory) http.Handler
	ReadyHandler  func(tamarackrun.Directory) http.Handler
	Logger        *log.Logger
	// BindServerConnections makes the instance open its connections to backend servers from its
	// callers' address.
	BindServerConnections bool
	// FollowSettings calls reload with changed terms, and reject with the
	// reason why changed settings can't be used, until the context ends.
	FollowSettings func(ctx context.Context, reload func(sla.Terms), reject func(error))

	started       time.Time
	terms         atomic.Pointer[sla.Terms]
	history       *history.History
	scope         tally.Scope
	callerServer  *pipeline.Server
	backendClient *exchange.Client
	registry      *registry.Registry
	members       *membership.Membership
	limiter       *quota.Limiter
	loans         *loan.Broker
	lateness      lateness.Estimator
	balancer      *steer.Balancer
	coldLimiter   *coldstart.Limiter
	serverLimiter *serverlimit.Limiter
	verifier      *verify.Verifier
	source        *source.Source
	mesh          *peer.Mesh
	links         *linkcheck.Checker
	// delegates are the instances that send requests to servers while this one can't, and delegated
	// is the number of requests that it sends for others now.
	delegates *delegation.Pool
	delegated atomic.Int64
	// crashes holds the requests under which servers have ended, endChecks the checks whether servers
	// have, and suspectReads the questions to other instances for refused requests.
	crashes      crash.Register
	endChecks    endChecks
	suspectReads suspectReads
	// sendMessage sends a datagram to other instances.
	sendMessage func(message *wire.InstanceMessage, addresses ...netip.AddrPort) int
	// process identifies the process. It is random, and not 0.
	process int64
	// delegatedContext ends when the running requests of others are cancelled.
	delegatedContext context.Context
	cancelDelegated  context.CancelFunc
	// known holds what the instance knows of each collection, for the instances that read
	// the store through this one.
	known map[tamarackrun.Collection]*records.Collection
	// learning serialises the pages of each collection, and reads holds the latest read of each
	// for other instances.
	learning map[tamarackrun.Collection]*sync.Mutex
	reads    map[tamarackrun.Collection]*storeRead
	// encoded holds the latest message with the whole of each collection.
	encodedMutex sync.Mutex
	encoded      map[tamarackrun.Collection]*wire.RecordPage
	// followers holds the follower of each collection.
	followers    map[tamarackrun.Collection]*follow.Follower
	retryBudgets retryBudgets
	// requestRate is the rate at which callers' requests arrive.
	requestRate movingRate
	// selectors holds the choice of instances for callers of each region.
	selectorsMutex sync.Mutex
	selectors      map[string]*directory.Selector

	// snapshot is the configuration in force; nil until the first one is known.
	// Its version only grows.
	snapshot atomic.Pointer[configuration.Snapshot]
	// configurationSince is when the snapshot came into force, in milliseconds
	// since 1970.
	configurationSince atomic.Int64
	// serversKnown, evacuationsKnown and instancesKnown report whether the collections were
	// read, partKnown whether this instance has since computed its part of the limits, and
	// suspectsKnown whether it has learned of the requests that were refused before its start.
	serversKnown, evacuationsKnown, instancesKnown, partKnown, suspectsKnown atomic.Bool
	// leaving reports whether look-ups no longer return the instance, and
	// refusingRequests whether new requests are refused.
	leaving, refusingRequests atomic.Bool
	// cancelAt is when the graceful shutdown cancels running requests; nil before it has begun.
	cancelAt atomic.Pointer[time.Time]
	// instancesRead is closed when the other instances are known for the first time, and
	// recordWritten when the first write of the instance's own record has ended.
	instancesRead, recordWritten chan struct{}
	// announceAgain receives a value when the instance's record must be written again.
	announceAgain chan struct{}
}

// New returns an instance with the terms in force.
func New(t sla.Terms) *Front {
	f := &Front{
		started:       time.Now(),
		registry:      registry.New(),
		limiter:       quota.New(time.Now()),
		balancer:      steer.New(),
		coldLimiter:   &coldstart.Limiter{},
		serverLimiter: serverlimit.New(time.Now()),
		links:         linkcheck.New(),
		process:       1 + rand.Int64N(math.MaxInt64-1),
		announceAgain: make(chan struct{}, 1),
		instancesRead: make(chan struct{}),
		recordWritten: make(chan struct{}),
		known:         map[tamarackrun.Collection]*records.Collection{},
		learning:      map[tamarackrun.Collection]*sync.Mutex{},
		reads:         map[tamarackrun.Collection]*storeRead{},
		selectors:     map[string]*directory.Selector{},
		encoded:       map[tamarackrun.Collection]*wire.RecordPage{},
	}
	f.delegatedContext, f.cancelDelegated = context.WithCancel(context.Background())
	f.terms.Store(&t)
	f.limiter.SetBound(t.RateWindow, t.RateOverage, t.RateSlack)
	return f
}

// reload puts new terms in force. The intervals of calls to the store and of
// reports keep the values that they had at the start.
func (f *Front) reload(t sla.Terms) {
	f.terms.Store(&t)
	f.limiter.SetBound(t.RateWindow, t.RateOverage, t.RateSlack)
	f.history.Record(event.SettingsReloaded, "", "stopGrace", t.StopGrace.String())
}

// reject records the reason why changed settings can't be used.
func (f *Front) reject(err error) { f.history.Record(event.SettingsRejected, "", "error", err.Error()) }

// Run serves until the context ends and then shuts down gracefully.
func (f *Front) Run(ctx context.Context) error {
	cleanup, err := f.open()
	defer cleanup()
	if err != nil {
		return eris.Wrap(err, "cannot open instance "+f.Identity.Name)
	}
	background, stop := context.WithCancel(context.Background())
	defer stop()
	var group sync.WaitGroup
	start := func(name string, task func(context.Context)) {
		group.Go(func() { f.keepRunning(background, name, task) })
	}
	for collection, follower := range f.followers {
		start("follow "+collection.String(), func(ctx context.Context) { f.follow(ctx, collection, follower) })
	}
	start("source", func(ctx context.Context) { f.source.Run(ctx, f.verifier.StoreUnreachable) })
	start("settings", func(ctx context.Context) { f.FollowSettings(ctx, f.reload, f.reject) })
	start("announce", f.announce)
	start("withdraw", f.withdrawGone)
	start("reports", f.members.Run)
	start("verify", f.verifier.Run)
	start("probe", f.newProber().Run)
	start("links", f.links.Run)
	start("suspects", f.keepSuspects)
	start("sweep", f.sweep)
	f.history.Record(event.Started, "", "failureDomain", f.Identity.FailureDomain, "region", f.Identity.Region)
	<-ctx.Done()
	f.shutdown()
	return nil
}

// open opens the ports and starts to serve them. The clean-up function closes
// what was opened, also after an error.
func (f *Front) open() (func(), error) {
	var cleanups []func()
	cleanup := func() {
		for _, c := range slices.Backward(cleanups) {
			c()
		}
	}
	meter, closeMeter := metrics.New(f.Identity.Name)
	cleanups = append(cleanups, closeMeter)
	f.scope = meter.Scope
	f.history = &history.History{Instance: f.Identity.Name, Logger: f.Logger, Scope: meter.Scope}
	client, closeClient := exchange.New()
	cleanups = append(cleanups, closeClient)
	dials := meter.Scope.Counter("server_connections")
	client.HeaderCodec, client.OnDial, client.OnDrop = f.HeaderCodec, func() { dials.Inc(1) }, f.noteDropped
	f.backendClient = client
	if f.BindServerConnections {
		own, err := netip.ParseAddrPort(f.Identity.CallerAddress)
		if err != nil {
			return cleanup, eris.Wrap(err, "the callers' address "+f.Identity.CallerAddress+" is not IP:PORT")
		}
		client.Source = own.Addr()
	}
	if f.Identity.MemoryBytes > 0 {
		client.Bodies.Limit = int64(bodiesFraction * float64(f.Identity.MemoryBytes))
	}
	f.registry.Recorder, f.registry.Regions, f.registry.ColdTime = f.history, f.Identity.Regions, f.coldTime
	f.coldLimiter.Name, f.serverLimiter.Name = f.Identity.Name, f.Identity.Name
	f.balancer.AdmitCold, f.balancer.ColdTime = f.admitCold, f.coldTime
	f.balancer.ReturnCold = func(admitted time.Time, server *registry.Server) { f.coldLimiter.Return(admitted, server.Name) }
	f.balancer.AdmitLimited = f.admitLimited
	f.balancer.ReturnLimited = func(now time.Time, server *registry.Server) { f.serverLimiter.Return(now, server.Name) }
	f.balancer.CountWarm = func(now time.Time, server *registry.Server) { f.coldLimiter.Count(now, server.Name) }
	f.links.Region = f.Identity.Region
	f.links.Servers, f.links.Dial, f.links.OnChange = f.registry.Servers, client.Connect, f.linksChanged
	socket, closeSocket, err := datagram.New(f.Identity.ReportAddress)
	if err != nil {
		return cleanup, err
	}
	cleanups = append(cleanups, closeSocket)
	socket.OnSend = f.countMessage
	socket.Rate = int64(digestFraction * float64(f.Identity.LinkBytes))
	f.Store = &countingStore{f.Store, meter.Scope}
	mesh, closeMesh, err := peer.New(f.Identity.ReportAddress)
	if err != nil {
		return cleanup, err
	}
	cleanups = append(cleanups, closeMesh)
	f.mesh, mesh.Handler = mesh, f
	f.openFollowers()
	f.openMembership(socket)
	// Peers ask for what the two calls above have set.
	go f.runListener(mesh.Run)
	callers, closeCallers, err := pipeline.New(f.Identity.CallerAddress)
	if err != nil {
		return cleanup, err
	}
	cleanups = append(cleanups, closeCallers)
	callers.Handler = f
	if f.Identity.MemoryBytes > 0 {
		callers.Bodies.Limit = int64(bodiesFraction * float64(f.Identity.MemoryBytes))
	}
	callers.MaxConnections = int(callersFraction * float64(f.Identity.FileDescriptors))
	evicted := meter.Scope.Counter("evicted_caller_connections")
	callers.OnEvict = func(n int) { evicted.Inc(int64(n)) }
	f.callerServer = callers
	go f.runListener(callers.Run)
	for address, handler := range map[string]http.Handler{
		f.Identity.LookupAddress: f.LookupHandler(f), f.Identity.ReadyAddress: f.ReadyHandler(f), f.Identity.MetricsAddress: meter.Handler,
	} {
		closeServer, err := f.serveHTTP(address, handler)
		if err != nil {
			return cleanup, err
		}
		cleanups = append(cleanups, closeServer)
	}
	return cleanup, nil
}

// openMembership connects the exchange of reports and loans between instances to
// the socket and starts to receive.
func (f *Front) openMembership(socket *datagram.Socket) {
	f.members = membership.New(f.Identity.Name, f.ownRecord(), boottime.Clock{})
	f.members.Verifier, f.members.DetectionBound = f.verifier, f.terms.Load().DetectionBound
	f.members.Recorder, f.members.Send = f.history, socket.Send
	f.members.Demands = func() map[string]float64 {
		demands := f.limiter.ReportDemand(time.Now())
		maps.Copy(demands, f.serverLimiter.ReportDemand(time.Now()))
		return demands
	}
	f.members.RequestRate = func() float64 { return f.requestRate.value(time.Now()) }
	f.members.OnRecordMissing = f.requestAnnounce
	f.members.ServersUnreachable = f.links.ServersUnreachable
	f.members.Suspects, f.members.OnSuspects = f.crashes.Hash, f.compareSuspects
	f.delegates = &delegation.Pool{Name: f.Identity.Name, Region: f.Identity.Region, Clock: boottime.Clock{}, Members: f.members.Members}
	var latest membership.Reachability
	f.members.OnReport = func(reachability membership.Reachability, totalDemand func(organisation string) float64) {
		if reachability != latest {
			f.history.Record(event.PartChanged, "", "members", strconv.Itoa(reachability.Members),
				"silent", strconv.Itoa(reachability.Silent), "cutOff", strconv.FormatBool(reachability.CutOff))
			latest = reachability
		}
		state := quota.FleetState{Members: reachability.Members, Silent: reachability.Silent,
			CutOff: reachability.CutOff, TotalDemand: totalDemand, ReportHops: f.members.ReportHops(),
			Regions: reachability.Regions, Holds: f.holds, HeldSince: f.members.HoldersChanged()}
		f.limiter.SetFleetState(time.Now(), state)
		f.serverLimiter.SetFleetState(time.Now(), state)
		f.noteConfined(totalDemand)
		f.retryBudgets.setMembers(reachability.Members, f.terms.Load())
		if !f.partKnown.Swap(true) {
			f.updateReady()
		}
	}
	f.members.SpareTokens = func() map[string]float64 { return f.limiter.SpareTokens(time.Now()) }
	f.loans = loan.New()
	f.sendMessage = socket.Send
	f.loans.FindLender, f.loans.Send = f.members.ChooseLender, socket.Send
	f.loans.TakeToken = f.lend
	f.loans.ReturnToken = func(organisation string) { f.limiter.Return(time.Now(), organisation) }
	socket.Receive = f.receive
	go socket.Run()
}

// receive handles a message of another instance.
func (f *Front) receive(message *wire.InstanceMessage, from netip.AddrPort) {
	defer f.recoverPanic("datagram", nil)
	switch content := message.Content.(type) {
	case *wire.InstanceMessage_TokenRequest:
		f.loans.HandleRequest(content.TokenRequest, from)
	case *wire.InstanceMessage_TokenGrant:
		f.loans.HandleGrant(content.TokenGrant)
	case *wire.InstanceMessage_TokenReturn:
		f.limiter.Return(time.Now(), content.TokenReturn.Organisation)
	case *wire.InstanceMessage_ServerEnded:
		f.handleServerEnded(content.ServerEnded)
	case *wire.InstanceMessage_RequestRefusal:
		f.handleRefusal(content.RequestRefusal)
	case *wire.InstanceMessage_Suspect:
		f.learnSuspect(content.Suspect)
	default:
		f.members.Receive(message)
	}
}

// serveHTTP serves a port other than the callers' port. It returns a function
// that closes the port.
func (f *Front) serveHTTP(address string, handler http.Handler) (func(), error) {
	const headerTimeout = 5 * time.Second
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go f.runListener(func() error {
		if err := server.Serve(listener); !eris.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return func() { _ = server.Close() }, nil
}

// runListener runs listen and records its error.
func (f *Front) runListener(listen func() error) {
	if err := listen(); err != nil {
		f.history.Record(event.ListenerFailed, "", "error", err.Error())
	}
}

// ownRecord returns the record of this instance for the store.
func (f *Front) ownRecord() tamarackrun.InstanceRecord {
	return tamarackrun.InstanceRecord{FailureDomain: f.Identity.FailureDomain, Region: f.Identity.Region,
		CallerAddress: f.Identity.CallerAddress, ReportAddress: f.Identity.ReportAddress}
}

// configurationVersion returns the version in force, or 0 if there is none.
func (f *Front) configurationVersion() int64 {
	if c := f.snapshot.Load(); c != nil {
		return c.Version
	}
	return 0
}

// announce writes the instance's own record to the store, and again after a failure or when
// the record is missing. A restarted instance finds its record in the store.
func (f *Front) announce(ctx context.Context) {
	if !f.Identity.FirstStart {
		select {
		case <-ctx.Done():
		case <-f.announceAgain:
		}
	}
	written := sync.OnceFunc(func() { close(f.recordWritten) })
	defer written()
	for ctx.Err() == nil {
		err := f.Store.Announce(ctx, f.Identity.Name, f.ownRecord())
		if err != nil {
			f.history.Record(event.AnnounceFailed, "", "error", err.Error())
			waiting.Pause(ctx, announceRetryDelay)
			continue
		}
		written()
		select {
		case <-ctx.Done():
		case <-f.announceAgain:
		}
	}
}

// requestAnnounce asks announce to write the instance's record.
func (f *Front) requestAnnounce() {
	select {
	case f.announceAgain <- struct{}{}:
	default:
		// A request is pending.
	}
}

// withdrawGone removes the records of instances that will not return.
func (f *Front) withdrawGone(ctx context.Context) {
	for ctx.Err() == nil {
		waiting.Pause(ctx, withdrawInterval)
		for _, name := range f.members.RecordsToRemove() {
			err := f.Store.Withdraw(ctx, name)
			outcome := "removed"
			if err != nil {
				outcome = err.Error()
			}
			f.history.Record(event.InstanceWithdrawn, "", "peer", name, "outcome", outcome)
		}
	}
}

// sweep removes expired state, closes idle connections to servers that are gone,
// and updates gauges, at regular intervals.
func (f *Front) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		waiting.Pause(ctx, sweepInterval)
		now := time.Now()
		f.registry.Sweep(now)
		f.coldLimiter.DropIdle(now)
		f.lateness.Forget(now)
		f.forgetSuspects(now)
		f.repeatEnds(now)
		addresses := f.registry.Addresses()
		f.backendClient.RetainOnly(addresses)
		f.balancer.Forget(now, f.registry.Usable)
		f.serverLimiter.Forget(f.registry.Usable)
		f.scope.Gauge("caller_connections").Update(float64(f.callerServer.ConnectionCount()))
		f.scope.Gauge("servers_unreachable").Update(gaugeOf(f.links.ServersUnreachable()))
		f.scope.Gauge("delegated_requests").Update(float64(f.delegated.Load()))
		f.scope.Gauge("servers").Update(float64(len(addresses)))
		f.scope.Gauge("configuration_version").Update(float64(f.configurationVersion()))
	}
}

// gaugeOf returns 1 for true and 0 for false.
func gaugeOf(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// coldTime returns how long a new server of the service counts as cold.
func (f *Front) coldTime(service string) time.Duration {
	c := f.snapshot.Load()
	if c == nil {
		return 0
	}
	return c.Services[service].ColdTime
}
