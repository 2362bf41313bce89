// Package front assembles an instance that runs on the users' platform: it
// serves callers, tells them where to connect, and follows the platform's store.
package front

import (
	"context"
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
	"tamarackrun/internal/coordination/follow"
	"tamarackrun/internal/coordination/loan"
	"tamarackrun/internal/coordination/membership"
	"tamarackrun/internal/coordination/quota"
	"tamarackrun/internal/coordination/steer"
	"tamarackrun/internal/coordination/verify"
	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/boottime"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/history"
	"tamarackrun/internal/state/metrics"
	"tamarackrun/internal/state/registry"
	"tamarackrun/internal/state/sla"
	"tamarackrun/internal/transport/datagram"
	"tamarackrun/internal/transport/exchange"
	"tamarackrun/internal/transport/pipeline"
)

const (
	// sweepInterval is that of the housekeeping.
	sweepInterval = 100 * time.Millisecond
	// announceInterval is the pause before the own record is written again
	// after a failure.
	announceInterval = time.Second
	// withdrawInterval is that of the search for instances that are gone for good.
	withdrawInterval = time.Minute
)

// Front is one instance.
type Front struct {
	// These fields are set before Run. The handlers of look-ups and ready
	// checks ask the instance.
	Identity      tamarackrun.Identity
	Store         tamarackrun.RecordStore
	HeaderCodec   tamarackrun.HeaderCodec
	LookupHandler func(tamarackrun.Directory) http.Handler
	ReadyHandler  func(tamarackrun.Directory) http.Handler
	Logger        *log.Logger
	// FollowSettings calls reload with changed terms, and reject with the
	// reason why changed settings can't be used, until the context ends.
	FollowSettings func(ctx context.Context, reload func(sla.Terms), reject func(error))

	started  time.Time
	terms    atomic.Pointer[sla.Terms]
	history  *history.History
	scope    tally.Scope
	callers  *pipeline.Server
	servers  *exchange.Client
	registry *registry.Registry
	members  *membership.Membership
	limiter  *quota.Limiter
	loans    *loan.Broker
	steering *steer.Balancer
	cold     *coldstart.Limiter
	verifier *verify.Verifier
	// follower has the follower of each collection.
	follower map[tamarackrun.Collection]*follow.Follower
	retries  retries

	// snapshot is nil until the first configuration is known; its version only
	// grows.
	snapshot atomic.Pointer[configuration.Snapshot]
	applied  atomic.Int64
	// serversKnown and instancesKnown say that the collections were read.
	serversKnown, instancesKnown atomic.Bool
	leaving, refusing            atomic.Bool
	// announced says that the own record was written, and missing asks for it
	// again.
	announced atomic.Bool
	missing   chan struct{}
}

// New returns an instance with the terms in force.
func New(t sla.Terms) *Front {
	f := &Front{started: time.Now(), registry: registry.New(), limiter: quota.New(time.Now()), steering: steer.New(), cold: &coldstart.Limiter{},
		missing: make(chan struct{}, 1)}
	f.terms.Store(&t)
	f.limiter.SetBound(t.RateWindow, t.RateOverage, t.RateSlack)
	return f
}

// reload puts new terms in force. The times of calls to the store and of reports
// stay as they were at the start.
func (f *Front) reload(t sla.Terms) {
	f.terms.Store(&t)
	f.limiter.SetBound(t.RateWindow, t.RateOverage, t.RateSlack)
	f.history.Record(event.SettingsReloaded, "", "stopGrace", t.StopGrace.String())
}

// reject records that changed settings can't be used.
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
	start := func(task func(context.Context)) { group.Go(func() { task(background) }) }
	for _, follower := range f.follower {
		start(follower.Run)
	}
	start(func(ctx context.Context) { f.FollowSettings(ctx, f.reload, f.reject) })
	start(f.announce)
	start(f.withdraw)
	start(f.members.Run)
	start(f.verifier.Run)
	start(f.sweep)
	f.history.Record(event.Started, "", "failureDomain", f.Identity.FailureDomain, "region", f.Identity.Region)
	<-ctx.Done()
	f.shutdown()
	return nil
}

// open opens the ports and starts to serve them.
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
	client.HeaderCodec, client.Dialled = f.HeaderCodec, func() { dials.Inc(1) }
	f.servers = client
	f.registry.Recorder, f.registry.Regions, f.registry.ColdTime = f.history, f.Identity.Regions, f.coldTime
	f.cold.Name = f.Identity.Name
	f.steering.AdmitCold, f.steering.ColdTime = f.admitCold, f.coldTime
	socket, closeSocket, err := datagram.New(f.Identity.ReportAddress)
	if err != nil {
		return cleanup, err
	}
	cleanups = append(cleanups, closeSocket)
	f.openFollowers()
	f.openMembership(socket)
	callers, closeCallers, err := pipeline.New(f.Identity.CallerAddress)
	if err != nil {
		return cleanup, err
	}
	cleanups = append(cleanups, closeCallers)
	callers.Handler = f
	f.callers = callers
	go f.report(callers.Run)
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

func (f *Front) openMembership(socket *datagram.Socket) {
	f.members = membership.New(f.Identity.Name, f.record(), boottime.Clock{})
	f.members.Verifier, f.members.ContactBound = f.verifier, f.terms.Load().DetectionBound
	f.members.Recorder, f.members.Send = f.history, socket.Send
	f.members.Demands = func() map[string]float64 { return f.limiter.ReportDemand(time.Now()) }
	f.members.OnRecordMissing = f.recordMissing
	var latest membership.Reachability
	f.members.OnReport = func(part membership.Reachability, totals map[string]float64) {
		if part != latest {
			f.history.Record(event.PartChanged, "", "members", strconv.Itoa(part.Members),
				"silent", strconv.Itoa(part.Silent), "cutOff", strconv.FormatBool(part.CutOff))
			latest = part
		}
		f.limiter.SetFleetState(time.Now(), quota.FleetState{Members: part.Members, Silent: part.Silent, CutOff: part.CutOff, TotalDemand: totals})
		f.retries.divide(part.Members, f.terms.Load())
	}
	f.members.Spares = func() map[string]float64 { return f.limiter.SpareTokens(time.Now()) }
	f.loans = loan.New()
	f.loans.FindLender, f.loans.Send = f.members.ChooseLender, socket.Send
	f.loans.TakeToken = func(organisation string) bool { return f.limiter.Lend(time.Now(), organisation) }
	f.loans.ReturnToken = func(organisation string) { f.limiter.Return(time.Now(), organisation) }
	socket.Receive = f.receive
	go socket.Run()
}

// receive takes a message of another instance.
func (f *Front) receive(message *wire.InstanceMessage, from netip.AddrPort) {
	switch content := message.Content.(type) {
	case *wire.InstanceMessage_Report:
		f.members.Receive(content.Report)
	case *wire.InstanceMessage_TokenRequest:
		f.loans.HandleRequest(content.TokenRequest, from)
	case *wire.InstanceMessage_TokenGrant:
		f.loans.HandleGrant(content.TokenGrant)
	}
}

// serveHTTP serves a port besides that of the callers.
func (f *Front) serveHTTP(address string, handler http.Handler) (func(), error) {
	const headerTimeout = 5 * time.Second
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go f.report(func() error {
		if err := server.Serve(listener); !eris.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return func() { _ = server.Close() }, nil
}

// report runs a listener and records its failure.
func (f *Front) report(listen func() error) {
	if err := listen(); err != nil {
		f.history.Record(event.ListenerFailed, "", "error", err.Error())
	}
}

func (f *Front) record() tamarackrun.InstanceRecord {
	return tamarackrun.InstanceRecord{FailureDomain: f.Identity.FailureDomain, Region: f.Identity.Region,
		CallerAddress: f.Identity.CallerAddress, ReportAddress: f.Identity.ReportAddress}
}

func (f *Front) version() int64 {
	if c := f.snapshot.Load(); c != nil {
		return c.Version
	}
	return 0
}

// announce writes the own record until the store has taken it, and again when it
// is missing.
func (f *Front) announce(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.Store.Announce(ctx, f.Identity.Name, f.record())
		if err != nil {
			f.history.Record(event.AnnounceFailed, "", "error", err.Error())
			waiting.Pause(ctx, announceInterval)
			continue
		}
		f.announced.Store(true)
		select {
		case <-ctx.Done():
		case <-f.missing:
		}
	}
}

// recordMissing has the own record written again. Before the first write it is
// missing as a matter of course.
func (f *Front) recordMissing() {
	if !f.announced.Load() {
		return
	}
	select {
	case f.missing <- struct{}{}:
	default:
		// It is about to be written.
	}
}

// withdraw removes the records of instances that are gone for good.
func (f *Front) withdraw(ctx context.Context) {
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

// sweep does the housekeeping.
func (f *Front) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		waiting.Pause(ctx, sweepInterval)
		now := time.Now()
		f.registry.Sweep(now)
		f.cold.DropIdle(now)
		addresses := f.registry.Addresses()
		f.servers.Keep(addresses)
		f.steering.Forget(f.registry.Usable)
		f.scope.Gauge("caller_connections").Update(float64(f.callers.Open()))
		f.scope.Gauge("servers").Update(float64(len(addresses)))
		f.scope.Gauge("configuration_version").Update(float64(f.version()))
	}
}

func (f *Front) coldTime(service string) time.Duration {
	c := f.snapshot.Load()
	if c == nil {
		return 0
	}
	return c.Services[service].ColdTime
}

// admitCold says whether a cold server may get one more request.
func (f *Front) admitCold(now time.Time, server *registry.Server) bool {
	c, t := f.snapshot.Load(), f.terms.Load()
	if c == nil {
		return false
	}
	rate := c.Services[server.Service].ColdRate
	if rate <= 0 {
		return true
	}
	var instances []string
	for _, m := range f.members.Members() {
		instances = append(instances, m.Name)
	}
	return f.cold.Admit(now, server.Name, rate*t.ColdOverage+t.ColdSlack, instances)
}
