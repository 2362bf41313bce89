package front

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"tamarackrun"
	"tamarackrun/internal/protocol/wire"
)

// countingStore counts the calls to the platform's store by collection and kind. Together with
// the counters of reports and record pages, they show what the control of the fleet costs.
type countingStore struct {
	tamarackrun.RecordStore
	scope tally.Scope
}

func (s *countingStore) count(call, collection string) {
	s.scope.Tagged(map[string]string{"call": call, "collection": collection}).Counter("store_calls").Inc(1)
}

func (s *countingStore) Read(ctx context.Context, collection tamarackrun.Collection) (tamarackrun.Page, error) {
	s.count("read", collection.String())
	return s.RecordStore.Read(ctx, collection)
}

func (s *countingStore) Watch(ctx context.Context, collection tamarackrun.Collection, after tamarackrun.Position, wait time.Duration) (tamarackrun.Page, error) {
	s.count("watch", collection.String())
	return s.RecordStore.Watch(ctx, collection, after, wait)
}

func (s *countingStore) Announce(ctx context.Context, name string, instance tamarackrun.InstanceRecord) error {
	s.count("announce", tamarackrun.Instances.String())
	return s.RecordStore.Announce(ctx, name, instance)
}

func (s *countingStore) Withdraw(ctx context.Context, name string) error {
	s.count("withdraw", tamarackrun.Instances.String())
	return s.RecordStore.Withdraw(ctx, name)
}

func (s *countingStore) SaveSuspect(ctx context.Context, suspect tamarackrun.SuspectRecord) error {
	s.count("save", tamarackrun.Suspects.String())
	return s.RecordStore.SaveSuspect(ctx, suspect)
}

func (s *countingStore) RemoveSuspect(ctx context.Context, request uint64) error {
	s.count("remove", tamarackrun.Suspects.String())
	return s.RecordStore.RemoveSuspect(ctx, request)
}

// countMessage counts the bytes of the datagrams to other instances by kind.
func (f *Front) countMessage(message *wire.InstanceMessage, bytes int) {
	kind := "token"
	switch message.Content.(type) {
	case *wire.InstanceMessage_Report:
		kind = "report"
	case *wire.InstanceMessage_DomainDigest:
		kind = "domainDigest"
	case *wire.InstanceMessage_FleetDigest:
		kind = "fleetDigest"
	case *wire.InstanceMessage_ServerEnded, *wire.InstanceMessage_RequestRefusal, *wire.InstanceMessage_Suspect:
		kind = "serverEnd"
	}
	f.scope.Tagged(map[string]string{"kind": kind}).Counter("datagram_bytes").Inc(int64(bytes))
}
