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
	// maxPartRecords keeps a part below the platform's object limit of 1 MB: a
	// record takes at most 48 bytes.
	maxPartRecords = 16384
	// maxSealPeers limits the number of peers that get the ledger directly. Others
	// read the platform's copy.
	maxSealPeers = 16
	// maxSealedRecords limits the memory for sealed ledgers to about 17 MiB.
	maxSealedRecords = 1 << 17
	// absentLifetime is how long the platform is not asked again for a ledger that
	// it did not have.
	absentLifetime = time.Second
	// sealAttempts limits the delay of a graceful shutdown in an outage to about
	// 12 s.
	sealAttempts = 3
)

// errSealedDiffers is returned if the platform holds a different ledger of the
// same name.
var errSealedDiffers = errors.New("the platform holds a different sealed ledger")

// sealedPart is one immutable part of the ledger of a stopped incarnation. It
// covers the tickets with sequence numbers in [from, until).
type sealedPart struct {
	from, until uint64
	key         []byte
	records     map[uint64]*wire.LedgerEntry
}

// sealedLedger is the ledger of a stopped incarnation. Each part is usable
// without the others.
type sealedLedger struct {
	parts   []sealedPart
	records int
	// added is when the first part was received.
	added time.Duration
}

// sealedLedgers holds sealed ledgers by incarnation. absent holds the time at
// which the platform was found not to have the ledger of an incarnation.
type sealedLedgers struct {
	in *Instance

	mu      sync.Mutex
	ledgers map[string]*sealedLedger
	records int
	absent  map[string]time.Duration
}

func newSealedLedgers(in *Instance) *sealedLedgers {
	return &sealedLedgers{in: in, ledgers: map[string]*sealedLedger{}, absent: map[string]time.Duration{}}
}

// get returns the sealed ledger of an incarnation if it is in memory.
func (s *sealedLedgers) get(incarnation string) (sealedLedger, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.ledgers[incarnation]
	if l == nil {
		return sealedLedger{}, false
	}
	return *l, true
}

// add stores a part. A part that is already known is left as it is, because all
// copies are equal.
func (s *sealedLedgers) add(message *wire.SealLedger) {
	part := sealedPart{from: message.From, until: message.Until, key: message.Key, records: map[uint64]*wire.LedgerEntry{}}
	for _, e := range message.Entries {
		part.records[e.Sequence] = e
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
	// Readers hold copies of the slice, so it is replaced instead of changed.
	l.parts = append(append([]sealedPart{}, l.parts...), part)
	l.records += len(part.records)
	s.records += len(part.records)
	s.evict()
	s.in.history.Record(event.LedgerReceived, "", "incarnation", message.Incarnation, "lines", strconv.Itoa(len(part.records)))
}

// evict drops ledgers whose tickets all expired long ago, and the oldest ones
// while there are more than maxSealedRecords records. A ledger that is the only
// one left stays. The platform's copies remain.
func (s *sealedLedgers) evict() {
	for {
		oldest, at := "", time.Duration(math.MaxInt64)
		for name, l := range s.ledgers {
			if l.added < at {
				oldest, at = name, l.added
			}
		}
		stale := s.in.clock.Now()-at >= ticket.Lifetime+ledger.KeepAfterExpiry
		if oldest == "" || !stale && s.records <= maxSealedRecords || len(s.ledgers) == 1 {
			return
		}
		s.records -= s.ledgers[oldest].records
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

// noteAbsent records that the platform has no ledger of the incarnation.
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
func (l sealedLedger) answer(ticketText string, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	var t ticket.Ticket
	ok := false
	if len(l.parts) > 0 {
		t, ok = ticket.Verify(l.parts[0].key, ticketText)
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

// answer answers a request whose ticket belongs to this part.
func (p sealedPart) answer(t ticket.Ticket, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	record := p.records[t.Sequence]
	if record == nil {
		return tamarackrun.Refused(tamarackrun.TicketSealed)
	}
	if record.BodyHash != hashPrefix(requestHash(request)) {
		return tamarackrun.Refused(tamarackrun.TicketReused)
	}
	outcome, ok := frame.ParseOutcome(record.Outcome, record.Reason)
	if !ok {
		return tamarackrun.Uncertain(tamarackrun.RecordDropped)
	}
	if outcome.Kind != tamarackrun.Ran {
		return outcome
	}
	return replay(answer, &ledger.Answer{Status: int(record.Status), StatusOnly: true})
}

// hashPrefix returns the first 8 bytes of a hash.
func hashPrefix(hash [32]byte) uint64 { return binary.BigEndian.Uint64(hash[:]) }

// splitLedger converts a sealed ledger to messages of limited size.
func splitLedger(incarnation string, key []byte, records []ledger.SealedRecord, floor, next uint64) []*wire.SealLedger {
	sort.Slice(records, func(i, j int) bool { return records[i].Sequence < records[j].Sequence })
	var parts []*wire.SealLedger
	part := &wire.SealLedger{Incarnation: incarnation, Key: key, From: floor}
	for _, record := range records {
		if record.Sequence < floor {
			continue
		}
		if len(part.Entries) == maxPartRecords {
			part.Until = record.Sequence
			parts = append(parts, part)
			part = &wire.SealLedger{Incarnation: incarnation, Key: key, From: record.Sequence}
		}
		part.Entries = append(part.Entries, &wire.LedgerEntry{Sequence: record.Sequence, Outcome: uint32(record.Outcome.Kind),
			Reason: string(record.Outcome.Reason), Status: uint32(record.Status), BodyHash: hashPrefix(record.Hash)})
	}
	part.Until = next
	return append(parts, part)
}

// seal stops the issuer in a graceful shutdown: it waits for running requests
// and copies their outcomes to peers and the platform.
func (tr *ticketedRequests) seal(ctx context.Context) {
	tr.ledger.Close()
	for ctx.Err() == nil && tr.ledger.Running() > 0 {
		waiting.Pause(ctx, shutdownPollInterval)
	}
	records, floor := tr.ledger.Seal()
	parts := splitLedger(tr.in.incarnation, tr.issuer.Key(), records, floor, tr.issuer.Next())
	var group sync.WaitGroup
	sent := 0
	for _, m := range tr.in.roster.Members() {
		if m.Listing.Name != tr.in.Settings.Name && m.Reachable && sent < maxSealPeers {
			sent++
			group.Go(func() { tr.sendSealed(m.Listing.PeerAddress, parts) })
		}
	}
	group.Go(func() { tr.storeSealed(parts) })
	group.Wait()
	tr.in.history.Record(event.LedgerSealed, "", "lines", strconv.Itoa(len(records)), "peers", strconv.Itoa(sent))
}

// sendSealed sends the parts of the sealed ledger to the peer at an address.
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

// storeSealed writes the parts of the sealed ledger to the platform.
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

// storePart writes one object. After a lost answer, it reads the object back.
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
