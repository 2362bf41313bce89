package instance

import (
	"context"
	"encoding/binary"
	"errors"
	"math"
	"sort"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"tamarackrun"
	"tamarackrun/internal/coordination/ticket"
	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/frame"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/ledger"
)

const (
	// ledgerPrefix starts the names of sealed ledgers in the platform.
	ledgerPrefix = "ledger/"
	// sealedPartLines keeps a part below the platform's limit of 1 MB: a line
	// takes at most 48 bytes.
	sealedPartLines = 16384
	// sealedPeers bounds the peers that get the ledger directly. Others read
	// the platform's copy.
	sealedPeers = 16
	// maxSealedLines bounds the memory for sealed ledgers to about 17 MiB.
	maxSealedLines = 1 << 17
	// absentLifetime is how long the platform is not asked again for a ledger
	// that it did not have.
	absentLifetime = time.Second
	// sealAttempts bounds the delay of a planned stop in an outage to about 12 s.
	sealAttempts = 3
)

// errSealedDiffers says that the platform holds another ledger of the same name.
var errSealedDiffers = errors.New("the platform holds a different sealed ledger")

// sealedPart is one immutable part of the ledger of a stopped incarnation.
type sealedPart struct {
	from, until uint64
	key         []byte
	lines       map[uint64]*wire.LedgerEntry
}

// sealedLedger is the ledger of a stopped incarnation. Its parts are sound each
// by itself.
type sealedLedger struct {
	parts []sealedPart
	lines int
	// added is when the first part came.
	added time.Duration
}

// sealedLedgers are the sealed ledgers that this instance holds.
type sealedLedgers struct {
	in *Instance

	mu      sync.Mutex
	ledgers map[string]*sealedLedger
	lines   int
	absent  map[string]time.Duration
}

func newSealedLedgers(in *Instance) *sealedLedgers {
	return &sealedLedgers{in: in, ledgers: map[string]*sealedLedger{}, absent: map[string]time.Duration{}}
}

func (s *sealedLedgers) get(incarnation string) (sealedLedger, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.ledgers[incarnation]
	if l == nil {
		return sealedLedger{}, false
	}
	return *l, true
}

// add keeps a part. Parts that are already known are left as they are, since
// all copies are equal.
func (s *sealedLedgers) add(message *wire.SealLedger) {
	part := sealedPart{from: message.From, until: message.Until, key: message.Key, lines: map[uint64]*wire.LedgerEntry{}}
	for _, e := range message.Entries {
		part.lines[e.Sequence] = e
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.ledgers[message.Incarnation]
	if l == nil {
		l = &sealedLedger{added: s.in.clock.Now()}
		s.ledgers[message.Incarnation] = l
	}
	for _, p := range l.parts {
		if p.from == part.from {
			return
		}
	}
	// Readers hold copies of the slice, so that it is replaced, not changed.
	l.parts = append(append([]sealedPart{}, l.parts...), part)
	l.lines += len(part.lines)
	s.lines += len(part.lines)
	s.forget()
	s.in.history.Record(event.LedgerReceived, "", "incarnation", message.Incarnation, "lines", strconv.Itoa(len(part.lines)))
}

// forget drops ledgers whose tickets have all expired long ago, and the oldest
// ones over the bound. The platform's copy remains.
func (s *sealedLedgers) forget() {
	for {
		oldest, at := "", time.Duration(math.MaxInt64)
		for name, l := range s.ledgers {
			if l.added < at {
				oldest, at = name, l.added
			}
		}
		stale := s.in.clock.Now()-at >= ticket.Lifetime+ledger.KeepAfterExpiry
		if oldest == "" || !stale && s.lines <= maxSealedLines || len(s.ledgers) == 1 {
			return
		}
		s.lines -= s.ledgers[oldest].lines
		delete(s.ledgers, oldest)
	}
}

// load reads a sealed ledger from the platform.
func (s *sealedLedgers) load(ctx context.Context, incarnation string) (sealedLedger, bool) {
	now := s.in.clock.Now()
	s.mu.Lock()
	at, known := s.absent[incarnation]
	s.mu.Unlock()
	if known && now-at < absentLifetime {
		return sealedLedger{}, false
	}
	objects, err := s.in.store.List(ctx, ledgerPrefix+incarnation)
	for _, o := range objects {
		message := &wire.SealLedger{}
		if proto.Unmarshal(o.Value, message) == nil && message.Incarnation == incarnation {
			s.add(message)
		}
	}
	if l, ok := s.get(incarnation); ok {
		return l, true
	}
	if err == nil {
		s.noteAbsent(incarnation, now)
	}
	return sealedLedger{}, false
}

func (s *sealedLedgers) noteAbsent(incarnation string, now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, at := range s.absent {
		if now-at >= absentLifetime {
			delete(s.absent, name)
		}
	}
	s.absent[incarnation] = now
}

// answer answers a request with a ticket of the stopped incarnation.
func (l sealedLedger) answer(text string, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	var t ticket.Ticket
	ok := false
	if len(l.parts) > 0 {
		t, ok = ticket.Verify(l.parts[0].key, text)
	}
	if !ok || !ticketMatches(t, request) {
		return tamarackrun.Refused(tamarackrun.TicketInvalid)
	}
	for _, p := range l.parts {
		if t.Sequence >= p.from && t.Sequence < p.until {
			return p.answer(t, request, answer)
		}
	}
	// The part is missing, or the issuer no longer had the record.
	return tamarackrun.Uncertain(tamarackrun.RecordDropped)
}

func (p sealedPart) answer(t ticket.Ticket, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	line := p.lines[t.Sequence]
	if line == nil {
		return tamarackrun.Refused(tamarackrun.TicketSealed)
	}
	if line.BodyHash != shortHash(requestHash(request)) {
		return tamarackrun.Refused(tamarackrun.TicketReused)
	}
	outcome, ok := frame.ParseOutcome(line.Outcome, line.Reason)
	if !ok {
		return tamarackrun.Uncertain(tamarackrun.RecordDropped)
	}
	if outcome.Kind != tamarackrun.Ran {
		return outcome
	}
	return replay(answer, &ledger.Answer{Status: int(line.Status), StatusOnly: true})
}

func shortHash(hash [32]byte) uint64 { return binary.BigEndian.Uint64(hash[:]) }

// sealParts converts a sealed ledger to messages of limited size.
func sealParts(incarnation string, key []byte, lines []ledger.SealedRecord, floor, next uint64) []*wire.SealLedger {
	sort.Slice(lines, func(i, j int) bool { return lines[i].Sequence < lines[j].Sequence })
	var parts []*wire.SealLedger
	part := &wire.SealLedger{Incarnation: incarnation, Key: key, From: floor}
	for _, l := range lines {
		if l.Sequence < floor {
			continue
		}
		if len(part.Entries) == sealedPartLines {
			part.Until = l.Sequence
			parts = append(parts, part)
			part = &wire.SealLedger{Incarnation: incarnation, Key: key, From: l.Sequence}
		}
		part.Entries = append(part.Entries, &wire.LedgerEntry{Sequence: l.Sequence, Outcome: uint32(l.Outcome.Kind),
			Reason: string(l.Outcome.Reason), Status: uint32(l.Status), BodyHash: shortHash(l.Hash)})
	}
	part.Until = next
	return append(parts, part)
}

// seal ends the issuer in a planned stop: it waits for running orders and
// leaves the outcomes to peers and the platform.
func (tr *ticketedRequests) seal(ctx context.Context) {
	tr.ledger.Close()
	for ctx.Err() == nil && tr.ledger.Running() > 0 {
		waiting.Pause(ctx, shutdownPollInterval)
	}
	lines, floor := tr.ledger.Seal()
	parts := sealParts(tr.in.incarnation, tr.issuer.Key(), lines, floor, tr.issuer.Next())
	var group sync.WaitGroup
	sent := 0
	for _, m := range tr.in.roster.Members() {
		if m.Listing.Name != tr.in.Settings.Name && m.Reachable && sent < sealedPeers {
			sent++
			group.Go(func() { tr.sendSealed(m.Listing.PeerAddress, parts) })
		}
	}
	group.Go(func() { tr.storeSealed(parts) })
	group.Wait()
	tr.in.history.Record(event.LedgerSealed, "", "lines", strconv.Itoa(len(lines)), "peers", strconv.Itoa(sent))
}

func (tr *ticketedRequests) sendSealed(address string, parts []*wire.SealLedger) {
	for _, p := range parts {
		for range sealAttempts {
			reply, err := tr.in.mesh.Call(context.Background(), address, &wire.Envelope{Kind: &wire.Envelope_SealLedger{SealLedger: p}})
			if err == nil && reply.GetAck() != nil {
				break
			}
			waiting.Pause(context.Background(), resolveInterval)
		}
	}
}

func (tr *ticketedRequests) storeSealed(parts []*wire.SealLedger) {
	for n, p := range parts {
		name := ledgerPrefix + p.Incarnation
		if n > 0 {
			name += "/" + strconv.Itoa(n)
		}
		value, err := proto.MarshalOptions{Deterministic: true}.Marshal(p)
		if err == nil {
			err = tr.storePart(name, value)
		}
		if err != nil {
			tr.in.history.Record(event.LedgerNotStored, "", "object", name, "error", err.Error())
		}
	}
}

// storePart writes one object. After a lost answer the object is read back.
func (tr *ticketedRequests) storePart(name string, value []byte) error {
	var err error
	for range sealAttempts {
		if _, err = tr.in.store.Put(context.Background(), name, value, 0); err == nil {
			return nil
		}
		if object, readErr := tr.in.store.Get(context.Background(), name); readErr == nil {
			if string(object.Value) == string(value) {
				return nil
			}
			return errSealedDiffers
		}
		waiting.Pause(context.Background(), resolveInterval)
	}
	return err
}
