package front

import (
	"context"
	"errors"
	"io"
	"slices"
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
	// endCheckTimeout bounds the health probes that show whether a server has ended, of which there are
	// endProbes at most. A round trip between regions takes 0.11 s.
	endCheckTimeout = 500 * time.Millisecond
	endProbes       = 2
	// endCheckAge is the least time between two checks of a server. The result of one serves for all requests that
	// were at the server.
	endCheckAge = time.Second
	// endSpread is the time within which the connections of a process that has ended end.
	endSpread = 50 * time.Millisecond
	// lossMemory is how long a lost answer is remembered of which the check doesn't show that the server
	// has ended. The record of a server that has ended lapses or is replaced within it.
	lossMemory = 5 * time.Second
	// maxLosses bounds the number of these lost answers.
	maxLosses = 1024
)

// endCheck is the check whether a process of a server has ended.
type endCheck struct {
	began time.Time
	// proof and ended are set when done is closed. The proof is empty if the server has not ended, or may not have.
	proof string
	ended time.Time
	done  chan struct{}
}

// shows reports whether the check, which is done, says something about a loss. A server may end after the check.
func (c *endCheck) shows(l loss) bool { return c.proof != "" || !c.ended.Before(l.at) }

// loss is an answer that was lost, or may have been cut off, with its connection.
type loss struct {
	at      time.Time
	id      string
	request crash.Request
	server  *registry.Server
}

// endChecks holds the latest checks by the server's process.
type endChecks struct {
	mu     sync.Mutex
	checks map[uint64]*endCheck
	// losses holds the lost answers that may still prove to be ends, the oldest first.
	losses []loss
}

// addLoss remembers a lost answer.
func (e *endChecks) addLoss(l loss) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.losses) < maxLosses {
		e.losses = append(e.losses, l)
	}
}

// takeEnded removes and returns the lost answers whose servers have ended, as ended reports, and removes
// those of long ago.
func (e *endChecks) takeEnded(now time.Time, ended func(*registry.Server) bool) []loss {
	e.mu.Lock()
	defer e.mu.Unlock()
	var proven []loss
	e.losses = slices.DeleteFunc(e.losses, func(l loss) bool {
		if ended(l.server) {
			proven = append(proven, l)
			return true
		}
		return now.Sub(l.at) > lossMemory
	})
	return proven
}

// begin returns the check of the process, and whether the caller must make it.
func (e *endChecks) begin(now time.Time, process uint64) (check *endCheck, fresh bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for p, c := range e.checks {
		if now.Sub(c.began) >= endCheckAge {
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

// refusedFor returns for how long the request is refused because servers have ended under it, or 0. trial is
// true if it may be sent to one server all the same.
func (f *Front) refusedFor(ctx context.Context, req *request) (left time.Duration, trial bool) {
	if f.crashes.Empty() {
		return 0, false
	}
	identity := identify(req)
	refused, left := f.crashes.Refused(time.Now(), identity)
	if !refused {
		return 0, false
	}
	// A delegate can't tell whether its answer arrives, so the entry instance decides.
	if req.entry == "" && !f.links.ServersUnreachable() && f.obtainTrial(ctx, identity, left) {
		f.history.Record(event.SuspectTried, req.caller.ID, "identity", identity.String())
		return 0, true
	}
	req.identity = identity
	return max(left, maxRetryAfter), false
}

// noteResult watches for requests under which servers end, at whatever point of the answer.
func (f *Front) noteResult(req *request, server *registry.Server, result exchange.Result) {
	// The identity is a hash of the whole request, which most results don't need.
	newLoss := func() loss { return loss{time.Now(), req.caller.ID, identify(req), server} }
	switch {
	case result.Outcome == tamarackrun.Done && !result.UntilEnd:
		f.noteAnswer(req, server)
	case result.Outcome == tamarackrun.Done:
		go f.checkLastAnswer(req, newLoss())
	case result.Outcome.Reason == tamarackrun.AnswerLost && endedConnection(result):
		go f.checkEnd(newLoss())
	case endedConnection(result):
		go f.checkCutAnswer(newLoss())
	case lostReasons[result.Outcome.Reason]:
		// The server has sent bytes that are no answer, or is silent. Its record may show later that it has ended.
		f.endChecks.addLoss(newLoss())
	}
}

// lostReasons are the reasons of dispatches whose connection has ended, or was closed because of what the server sent.
var lostReasons = map[tamarackrun.Reason]bool{tamarackrun.AnswerLost: true, tamarackrun.AnswerTruncated: true}

// noteAnswer clears the ends under a request that a server has answered.
func (f *Front) noteAnswer(req *request, server *registry.Server) {
	if f.crashes.Empty() {
		return
	}
	identity := identify(req)
	known, shared := f.crashes.Answered(time.Now(), identity)
	if known == nil {
		return
	}
	f.history.Record(event.SuspicionCleared, req.caller.ID, "server", server.Name, "identity", identity.String())
	if shared {
		f.sendToMembers(&wire.InstanceMessage{Content: &wire.InstanceMessage_Suspect{Suspect: known}}, "")
		return
	}
	f.tellHolders(&wire.ServerEnded{Request: uint64(identity), Answered: true, Cleared: known.Cleared})
}

// checkEnd tells the holders of the request if the server has ended. If that is not seen at once, the server's
// record may show it later.
func (f *Front) checkEnd(l loss) {
	defer f.recoverPanic("check of a server's end", nil)
	if proof := f.proveEnd(l); proof != "" {
		f.noteEnd(l, proof)
		return
	}
	f.noteUnproven(l)
}

// checkCutAnswer is checkEnd for an answer that has begun, which more often has other reasons.
func (f *Front) checkCutAnswer(l loss) {
	defer f.recoverPanic("check of a server's end", nil)
	if f.hasOtherConnection(l) {
		f.noteUnproven(l)
		return
	}
	f.checkEnd(l)
}

// checkLastAnswer is checkEnd for an answer that ended with its connection. It counts as one if the server has not ended.
func (f *Front) checkLastAnswer(req *request, l loss) {
	defer f.recoverPanic("check of a server's end", nil)
	if !f.hasOtherConnection(l) {
		if proof := f.proveEnd(l); proof != "" {
			f.noteEnd(l, proof)
			return
		}
	}
	f.noteAnswer(req, l.server)
}

// hasOtherConnection reports whether the server has another connection, so that no probe is needed: all connections of a
// process end together.
func (f *Front) hasOtherConnection(l loss) bool {
	time.Sleep(endSpread)
	return f.backendClient.HasOpen(l.server.Address, l.at)
}

// noteUnproven remembers a loss of which nothing shows yet that the server has ended.
func (f *Front) noteUnproven(l loss) {
	f.history.Record(event.EndUnproven, l.id, "server", l.server.Name, "identity", l.request.String(),
		"serversUnreachable", strconv.FormatBool(f.links.ServersUnreachable()))
	f.endChecks.addLoss(l)
}

// proveEnd returns what shows that the server of a loss has ended, or "".
func (f *Front) proveEnd(l loss) (proof string) {
	check := f.awaitCheck(l)
	if !check.shows(l) {
		time.Sleep(time.Until(check.began.Add(endCheckAge)))
		check = f.awaitCheck(l)
	}
	if f.links.ServersUnreachable() {
		return ""
	}
	return check.proof
}

// awaitCheck returns the latest check of the server of a loss when it is done, and makes it if it is due.
func (f *Front) awaitCheck(l loss) *endCheck {
	check, fresh := f.endChecks.begin(time.Now(), processOf(l.server))
	if fresh {
		defer close(check.done)
		check.proof = f.findEnd(l.server, l.at)
		check.ended = time.Now()
		return check
	}
	<-check.done
	return check
}

// findEnd returns what shows that a server has ended, or "": it takes no connections, ends them, or another
// server answers at its address. A connection that is reset once proves nothing, nor do several while
// others are open: a server resets connections beyond the number that it takes. lostAt is when an answer
// of the server was lost.
func (f *Front) findEnd(server *registry.Server, lostAt time.Time) (proof string) {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	path := f.healthPath(server.Service)
	if path == "" {
		if f.backendClient.Connect(ctx, server.Address) != nil {
			return "connect"
		}
		return ""
	}
	for range endProbes {
		result, fields := f.probe(ctx, server.Address, path)
		switch {
		case result.Outcome.Reason == tamarackrun.SocketsExhausted:
			return ""
		case result.Connection == 0:
			return "connect"
		case result.Outcome == tamarackrun.Done && fields.Server != "" && fields.Server != server.Name:
			return "otherServer"
		case result.Sent && (result.Outcome.Reason != tamarackrun.AnswerLost || !endedConnection(result)):
			// What answers, even in part, has not ended.
			return ""
		}
	}
	if f.backendClient.HasOpen(server.Address, lostAt) {
		return ""
	}
	return "reset"
}

// endedConnection reports whether the answer, or a part of it, was lost because the connection has ended.
func endedConnection(result exchange.Result) bool {
	if !lostReasons[result.Outcome.Reason] {
		return false
	}
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(result.Err, cause) {
			return true
		}
	}
	return false
}

// noteEnd records that a server has ended and tells the holders of the request. proof names what shows it.
func (f *Front) noteEnd(l loss, proof string) {
	process := processOf(l.server)
	f.history.Record(event.ServerEnded, l.id, "server", l.server.Name, "identity", l.request.String(), "proof", proof)
	if known := f.crashes.Note(time.Now(), l.request, process, true); known != nil {
		f.tellRegion(known)
	}
	f.tellHolders(&wire.ServerEnded{Request: uint64(l.request), Process: process})
}

// repeatEnds tells the holders again of ends that are not yet known to all instances, and of those whose
// proof has come late.
func (f *Front) repeatEnds(now time.Time) {
	for _, l := range f.endChecks.takeEnded(now, f.registry.Replaced) {
		f.noteEnd(l, "record")
	}
	for _, known := range f.crashes.ToRepeat(now, f.members.HoldersChanged()) {
		for _, process := range known.Ended {
			f.tellHolders(&wire.ServerEnded{Request: known.Request, Process: process})
		}
		if len(known.Cleared) > 0 {
			f.tellHolders(&wire.ServerEnded{Request: known.Request, Answered: true, Cleared: known.Cleared})
		}
	}
}

// tellHolders sends a message to the holder of its request in each region.
func (f *Front) tellHolders(message *wire.ServerEnded) {
	regions := map[string]bool{}
	for _, region := range f.Identity.Regions {
		regions[region] = true
	}
	key := crash.Request(message.Request).String()
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
		f.crashes.Clear(time.Now(), request, message.Cleared)
		return
	}
	if known := f.crashes.Note(time.Now(), request, message.Process, false); known != nil {
		f.tellRegion(known)
	}
}

// tellRegion tells the instances of the region to refuse a request.
func (f *Front) tellRegion(known *wire.Suspect) {
	f.logSuspect(known)
	f.sendToMembers(&wire.InstanceMessage{Content: &wire.InstanceMessage_RequestRefusal{
		RequestRefusal: &wire.RequestRefusal{Request: known.Request, Suspect: known}}}, f.Identity.Region)
}
