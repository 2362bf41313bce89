package front

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/crash"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/wire"
)

// trialTimeout bounds the question whether a refused request may be tried.
const trialTimeout = 500 * time.Millisecond

// obtainTrial reports whether this instance may send a refused request to one server, left being the time
// until some instance may. One instance of the fleet decides that.
func (f *Front) obtainTrial(ctx context.Context, identity crash.Request, left time.Duration) bool {
	if f.crashes.TakePermission(identity) {
		return true
	}
	if left > 0 || !f.crashes.Ask(time.Now(), identity) {
		return false
	}
	holder, self, ok := f.members.Holder(identity.String(), "")
	switch {
	case self:
		return f.grantTrial(identity) != nil
	case !ok:
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	reply, err := f.mesh.Call(ctx, holder.String(), &wire.Envelope{Kind: &wire.Envelope_TrialQuery{TrialQuery: &wire.TrialQuery{Request: uint64(identity)}}})
	if err != nil {
		f.history.Record(event.TrialUndecided, "", "identity", identity.String(), "holder", holder.String(), "error", err.Error())
		return false
	}
	f.learnSuspect(reply.GetTrial().GetSuspect())
	return reply.GetTrial().GetGranted()
}

// grantTrial decides whether some instance may try a refused request, and tells the fleet before that is
// done. It returns what is known of the request, or nil.
func (f *Front) grantTrial(identity crash.Request) *wire.Suspect {
	known := f.crashes.Grant(time.Now(), identity)
	if known != nil {
		f.sendToMembers(&wire.InstanceMessage{Content: &wire.InstanceMessage_Suspect{Suspect: known}}, "")
	}
	return known
}

// sendToMembers sends a message to the other instances of a region, or to all if the region is empty.
func (f *Front) sendToMembers(message *wire.InstanceMessage, region string) {
	var addresses []netip.AddrPort
	for _, m := range f.members.Members() {
		if m.Name == f.Identity.Name || region != "" && m.Region != region {
			continue
		}
		if address, err := netip.ParseAddrPort(m.ReportAddress); err == nil {
			addresses = append(addresses, address)
		}
	}
	f.sendMessage(message, addresses...)
}

// handleRefusal learns from a holder which request to refuse.
func (f *Front) handleRefusal(message *wire.RequestRefusal) {
	known := message.Suspect
	if known == nil {
		known = &wire.Suspect{Request: message.Request, Ended: crash.UnnamedEnds(crash.Request(message.Request))}
	}
	f.learnSuspect(known)
}

// learnSuspect adds what another instance knows of a request, or what is in the store. It reports whether
// any of it is new.
func (f *Front) learnSuspect(known *wire.Suspect) bool {
	merged := f.crashes.Merge(time.Now(), known)
	if merged != nil {
		f.logSuspect(merged)
	}
	return merged != nil
}

// logSuspect records what is known of a request.
func (f *Front) logSuspect(known *wire.Suspect) {
	request := crash.Request(known.Request)
	_, left := f.crashes.Refused(time.Now(), request)
	f.history.Record(event.RequestSuspected, "", "identity", request.String(), "ended", strconv.Itoa(len(known.Ended)),
		"cleared", strconv.Itoa(len(known.Cleared)), "trials", strconv.Itoa(len(known.Trials)), "for", left.Round(time.Millisecond).String())
}

// suspectReads holds, by the address of an instance, the hash of the facts about refused requests that this
// instance has asked it for last.
type suspectReads struct {
	mu     sync.Mutex
	hashes map[string]uint64
}

// begin reports whether the instance at the address has not been asked for these facts.
func (s *suspectReads) begin(address string, hash uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hashes[address] == hash {
		return false
	}
	if s.hashes == nil {
		s.hashes = map[string]uint64{}
	}
	s.hashes[address] = hash
	return true
}

// failed makes begin allow another try.
func (s *suspectReads) failed(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.hashes, address)
}

// compareSuspects asks another instance for what it knows of refused requests if that differs from what
// this one knows, by the hash in its report.
func (f *Front) compareSuspects(address string, hash uint64) {
	if hash == f.crashes.Hash() || !f.suspectReads.begin(address, hash) {
		return
	}
	go func() {
		defer f.recoverPanic("read of refused requests", nil)
		if err := f.askForSuspects(context.Background(), address, false); err != nil {
			f.suspectReads.failed(address)
			f.history.Record(event.SuspectsUnread, "", "peer", address, "error", err.Error())
		}
	}()
}

// askForSuspects learns what another instance knows of refused requests, or of those that were refused before
// it started too if complete is true.
func (f *Front) askForSuspects(ctx context.Context, address string, complete bool) error {
	reply, err := f.mesh.Call(ctx, address, &wire.Envelope{Kind: &wire.Envelope_SuspectQuery{SuspectQuery: &wire.SuspectQuery{}}})
	if err != nil {
		return err
	}
	list := reply.GetSuspectList()
	for _, known := range list.GetSuspects() {
		f.learnSuspect(known)
	}
	if complete && !list.GetComplete() {
		return errSuspectsIncomplete
	}
	return nil
}

// serveSuspects answers another instance's question for the refused requests.
func (f *Front) serveSuspects(stream tamarackrun.Stream) {
	list := &wire.SuspectList{Suspects: f.crashes.Shared(time.Now()), Complete: f.suspectsKnown.Load()}
	// An error means that the asking instance has gone.
	_ = stream.Send(&wire.Envelope{Kind: &wire.Envelope_SuspectList{SuspectList: list}})
}

// serveTrial answers another instance's question for a trial.
func (f *Front) serveTrial(query *wire.TrialQuery, stream tamarackrun.Stream) {
	known := f.grantTrial(crash.Request(query.Request))
	// An error means that the asking instance has gone. The trial counts all the same.
	_ = stream.Send(&wire.Envelope{Kind: &wire.Envelope_Trial{Trial: &wire.Trial{Granted: known != nil, Suspect: known}}})
}
