package front

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"tamarackrun"
	"tamarackrun/internal/coordination/crash"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/registry"
	"tamarackrun/internal/transport/exchange"
)

const (
	// endCheckTimeout bounds the connection that shows whether a server has ended. A round trip
	// between regions takes 0.11 s.
	endCheckTimeout = 500 * time.Millisecond
	// endCheckAge is how long its result serves for all requests that were at the server.
	endCheckAge = time.Second
)

// endCheck is the check whether a process of a server has ended.
type endCheck struct {
	began time.Time
	// ended is set when done is closed.
	ended bool
	done  chan struct{}
}

// endChecks holds the latest checks by the server's process.
type endChecks struct {
	mu     sync.Mutex
	checks map[uint64]*endCheck
}

// begin returns the check of the process, and whether the caller must make it.
func (e *endChecks) begin(now time.Time, process uint64) (check *endCheck, fresh bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for p, c := range e.checks {
		if now.Sub(c.began) > endCheckAge {
			delete(e.checks, p)
		}
	}
	if c := e.checks[process]; c != nil {
		return c, false
	}
	if e.checks == nil {
		e.checks = map[uint64]*endCheck{}
	}
	c := &endCheck{began: now, done: make(chan struct{})}
	e.checks[process] = c
	return c, true
}

// processOf returns a hash that identifies the process of a server.
func processOf(server *registry.Server) uint64 {
	return xxhash.Sum64String(server.Name + "\x00" + strconv.FormatInt(server.StartMillis, 10))
}

// identify returns what the request asks for.
func identify(req *request) crash.Request {
	r := req.call.Request
	return crash.Identify(req.organisation.Name, r.Method, r.Host, r.RequestURI, req.call.Body)
}

// refusedFor returns for how long the request is refused because servers have ended under it, or 0.
func (f *Front) refusedFor(req *request) time.Duration {
	if f.crashes.Empty() {
		return 0
	}
	identity := identify(req)
	left, try := f.crashes.Refused(time.Now(), identity)
	if try {
		f.history.Record(event.SuspectTried, req.caller.ID, "identity", identity.String())
	}
	if left > 0 {
		req.identity = identity
	}
	return left
}

// noteResult watches for requests under which servers end. Other connections of the server tell an end
// from a lost answer.
func (f *Front) noteResult(req *request, server *registry.Server, result exchange.Result) {
	switch {
	case result.Outcome == tamarackrun.Done:
		if f.crashes.Empty() {
			return
		}
		if request := identify(req); f.crashes.Answered(request) {
			f.history.Record(event.SuspicionCleared, req.caller.ID, "server", server.Name, "identity", request.String())
			f.tellHolders(&wire.ServerEnded{Request: uint64(request), Answered: true})
		}
	case result.Outcome.Reason == tamarackrun.AnswerLost &&
		(errors.Is(result.Err, io.EOF) || errors.Is(result.Err, io.ErrUnexpectedEOF) || errors.Is(result.Err, syscall.ECONNRESET)):
		go f.checkEnd(req.caller.ID, identify(req), server)
	}
}

// checkEnd tells the holders of the request if the server does not take connections any more.
func (f *Front) checkEnd(id string, request crash.Request, server *registry.Server) {
	defer f.recoverPanic("check of a server's end", nil)
	process := processOf(server)
	check, fresh := f.endChecks.begin(time.Now(), process)
	if fresh {
		ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
		check.ended = f.backendClient.Connect(ctx, server.Address) != nil && !f.links.ServersUnreachable()
		cancel()
		close(check.done)
	}
	<-check.done
	if !check.ended {
		f.history.Record(event.EndUnproven, id, "server", server.Name, "identity", request.String(),
			"serversUnreachable", strconv.FormatBool(f.links.ServersUnreachable()))
		return
	}
	f.history.Record(event.ServerEnded, id, "server", server.Name, "identity", request.String())
	f.crashes.Remember(time.Now(), request)
	f.tellHolders(&wire.ServerEnded{Request: uint64(request), Process: process})
}

// tellHolders sends a message to the holder of its request in each region.
func (f *Front) tellHolders(message *wire.ServerEnded) {
	regions := map[string]bool{}
	for _, region := range f.Identity.Regions {
		regions[region] = true
	}
	key := strconv.FormatUint(message.Request, 16)
	for region := range regions {
		switch holder, self, ok := f.members.Holder(key, region); {
		case self:
			f.handleServerEnded(message)
		case ok:
			f.sendMessage(&wire.InstanceMessage{Content: &wire.InstanceMessage_ServerEnded{ServerEnded: message}}, holder)
		}
	}
}

// handleServerEnded counts, as a holder, an end that an instance has seen, and tells the region's
// instances if the request must be refused.
func (f *Front) handleServerEnded(message *wire.ServerEnded) {
	request := crash.Request(message.Request)
	if message.Answered {
		f.crashes.Answered(request)
		return
	}
	ended, refuse := f.crashes.Note(time.Now(), request, message.Process)
	if !refuse {
		return
	}
	f.refuseFromNowOn(request, ended)
	var addresses []netip.AddrPort
	for _, m := range f.members.Members() {
		if m.Name == f.Identity.Name || m.Region != f.Identity.Region {
			continue
		}
		if address, err := netip.ParseAddrPort(m.ReportAddress); err == nil {
			addresses = append(addresses, address)
		}
	}
	f.sendMessage(&wire.InstanceMessage{Content: &wire.InstanceMessage_RequestRefusal{RequestRefusal: &wire.RequestRefusal{Request: message.Request}}}, addresses...)
}

// refuseFromNowOn makes this instance refuse a request under which a number of servers has ended. The
// number is 0 if the holder has counted them.
func (f *Front) refuseFromNowOn(request crash.Request, ended int) {
	f.crashes.Refuse(time.Now(), request)
	f.history.Record(event.RequestSuspected, "", "identity", request.String(), "ended", strconv.Itoa(ended), "for", crash.RefusalTime.String())
}
