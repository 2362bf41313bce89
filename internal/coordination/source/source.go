// Package source decides from where an instance reads the records of the platform: from the
// platform's store, or from the reader of its failure domain, an instance that reads the store
// for the others. The calls to the store then grow with the number of failure domains and not
// with the number of instances.
package source

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/protocol/event"
)

const (
	// pollInterval is how often a running watch checks whether the reader is still the same.
	pollInterval = 100 * time.Millisecond
	// readTimeout bounds a read from a reader, which may not know the collection yet and then
	// waits until it does.
	readTimeout = 3 * time.Second
	// avoidTime is how long a reader that failed is not asked.
	avoidTime = 2 * time.Second
	// catchUpPause is the shortest time between two catch-ups of a collection.
	catchUpPause = 2 * time.Second
	// probeInterval is the average time between two calls to a store that does not answer,
	// while another instance reads it.
	probeInterval = 2 * time.Second
	// hedgeDelay is how long the store may take to answer a read before another instance is
	// asked too. A slow store answers within 0.25 s and a round trip of 0.11 s.
	hedgeDelay = 400 * time.Millisecond
	// collectionCount is the number of values of tamarackrun.Collection.
	collectionCount = 4
)

// errOld is returned for a page of a reader that knows less than this instance, and errBehind for
// one that lacks a change of which this instance has heard.
var (
	errOld    = errors.New("the reader's records are older than those of this instance")
	errBehind = errors.New("the reader's records lack a reported change")
)

// Source implements tamarackrun.RecordReader. It is safe for concurrent use.
type Source struct {
	// The exported fields are set before the first call.

	// Store is the platform's store.
	Store tamarackrun.RecordReader
	// Reader returns the address of the reader of this instance, or "" if this instance reads
	// the store itself.
	Reader func() string
	// RemoteReader returns the address of a reader of another failure domain, or "". It is
	// asked when the store does not answer this instance in time. It may be nil.
	RemoteReader func() string
	// Known returns the position up to which the instance knows a collection. No reader's page
	// before it is accepted, so that nothing comes back that was removed.
	Known func(collection tamarackrun.Collection) tamarackrun.Position
	// Reported returns the position of the latest change of a collection that other instances
	// have reported. A reader's whole collection must contain it. It may be nil.
	Reported func(collection tamarackrun.Collection) tamarackrun.Position
	// OnAnswer is called when the store has answered this instance. It may be nil.
	OnAnswer func()
	// Dial returns the records of the reader at an address.
	Dial     func(address string) tamarackrun.RecordReader
	Recorder tamarackrun.Recorder

	mu sync.Mutex
	// latest is the address of the latest source of each collection, "" for the store.
	latest [collectionCount]string
	// avoidUntil holds the times until which readers are not asked, by address.
	avoidUntil map[string]time.Time
	// catchUp is true for the collections whose next watch asks the store. cancels holds the
	// function that ends the running watch of a reader, and caughtUp the time of the latest
	// catch-up.
	catchUp  [collectionCount]bool
	cancels  [collectionCount]context.CancelFunc
	caughtUp [collectionCount]time.Time
	// storeUnreachable is true if the latest call to the store failed.
	storeUnreachable bool
}

// StoreUnreachable reports whether the store does not answer this instance, as far as it has
// asked.
func (s *Source) StoreUnreachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeUnreachable
}

// ReadsStore reports whether the instance reads the collection from the store.
func (s *Source) ReadsStore(collection tamarackrun.Collection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latest[collection] == "" && s.Known(collection) != tamarackrun.Position{}
}

// noteStore records whether a call to the store succeeded. A call that this instance has
// cancelled shows nothing.
func (s *Source) noteStore(ctx context.Context, err error) {
	if err != nil && ctx.Err() != nil {
		return
	}
	// A store that has dropped its history does answer.
	unreachable := err != nil && !errors.Is(err, tamarackrun.ErrHistoryGone)
	s.mu.Lock()
	s.storeUnreachable = unreachable
	s.mu.Unlock()
	if !unreachable && s.OnAnswer != nil {
		s.OnAnswer()
	}
}

// Run asks the store again at times while another instance reads it and unreachable returns
// true, until the context ends. Until the store answers, the instance is no reader.
func (s *Source) Run(ctx context.Context, unreachable func() bool) {
	for ctx.Err() == nil {
		waiting.Pause(ctx, probeInterval/2+rand.N(probeInterval))
		if unreachable() && s.Reader() != "" {
			probeCtx, cancel := context.WithTimeout(ctx, readTimeout)
			_, err := s.Store.Read(probeCtx, tamarackrun.Evacuations)
			cancel()
			s.noteStore(ctx, err)
		}
	}
}

// usable returns the address of a reader, or "" if it failed recently.
func (s *Source) usable(address string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().Before(s.avoidUntil[address]) {
		return ""
	}
	return address
}

// reader returns the address of the reader to ask for the collection, or "" for the store.
func (s *Source) reader(collection tamarackrun.Collection) string {
	address := s.usable(s.Reader())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest[collection] != address {
		s.latest[collection] = address
		s.Recorder.Record(event.SourceChanged, "", "collection", collection.String(), "reader", address)
	}
	return address
}

// avoid makes the following calls not ask a reader for avoidTime.
func (s *Source) avoid(address string, collection tamarackrun.Collection, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.avoidUntil == nil {
		s.avoidUntil = map[string]time.Time{}
	}
	s.avoidUntil[address] = time.Now().Add(avoidTime)
	s.Recorder.Record(event.ReaderFailed, "", "collection", collection.String(), "reader", address, "error", err.Error())
}

// check returns an error if a reader's whole collection must not replace what the instance knows.
func (s *Source) check(collection tamarackrun.Collection, page tamarackrun.Page) error {
	switch {
	case page.Position.Before(s.Known(collection)):
		return errOld
	case s.Reported != nil && page.Position.Before(s.Reported(collection)):
		return errBehind
	}
	return nil
}

// Read returns all records of a collection.
func (s *Source) Read(ctx context.Context, collection tamarackrun.Collection) (tamarackrun.Page, error) {
	if address := s.reader(collection); address != "" {
		readerCtx, cancel := context.WithTimeout(ctx, readTimeout)
		page, err := s.Dial(address).Read(readerCtx, collection)
		cancel()
		if err == nil {
			err = s.check(collection, page)
		}
		if err == nil {
			page.Reader = address
			return page, nil
		}
		if ctx.Err() != nil {
			return tamarackrun.Page{}, ctx.Err()
		}
		s.avoid(address, collection, err)
	}
	return s.ReadStore(ctx, collection)
}

// ReadStore returns all records of a collection from the store, or from a reader of another
// failure domain if the store does not answer in time and that reader knows as much as this
// instance. A store that is silent towards this instance only would hold up the read until it
// times out.
func (s *Source) ReadStore(ctx context.Context, collection tamarackrun.Collection) (tamarackrun.Page, error) {
	type result struct {
		page    tamarackrun.Page
		err     error
		address string
	}
	fromStore, fromReader := make(chan result, 1), make(chan result, 1)
	go func() {
		page, err := s.readProtected(ctx, s.Store, collection)
		s.noteStore(ctx, err)
		fromStore <- result{page, err, ""}
	}()
	readerCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	for {
		select {
		case r := <-fromStore:
			return r.page, r.err
		case r := <-fromReader:
			if r.err == nil {
				r.err = s.check(collection, r.page)
			}
			if r.err == nil {
				r.page.Reader = r.address
				return r.page, nil
			}
			s.avoid(r.address, collection, r.err)
		case <-hedge.C:
			if s.RemoteReader == nil {
				continue
			}
			if address := s.usable(s.RemoteReader()); address != "" {
				go func() {
					page, err := s.readProtected(readerCtx, s.Dial(address), collection)
					fromReader <- result{page, err, address}
				}()
			}
		}
	}
}

// readProtected reads a collection and returns a panic as an error. A panic on a goroutine of its
// own would end the process.
func (s *Source) readProtected(ctx context.Context, from tamarackrun.RecordReader, collection tamarackrun.Collection) (page tamarackrun.Page, err error) {
	defer func() {
		if value := recover(); value != nil {
			event.RecordPanic(s.Recorder, "read "+collection.String(), value)
			err = fmt.Errorf("the read of the records panicked: %v", value)
		}
	}()
	return from.Read(ctx, collection)
}

// Watch returns the changes of a collection after a position as soon as there are any, or an
// empty page after the time wait or when the reader changes.
func (s *Source) Watch(ctx context.Context, collection tamarackrun.Collection, after tamarackrun.Position, wait time.Duration) (tamarackrun.Page, error) {
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	// A catch-up that is requested from here on cancels the watch.
	s.mu.Lock()
	catchUp := s.catchUp[collection]
	s.catchUp[collection], s.cancels[collection] = false, cancel
	s.mu.Unlock()
	address := s.reader(collection)
	from := s.Store
	fromStore := address == "" || catchUp
	if !fromStore {
		from = s.Dial(address)
	} else if address != "" {
		wait = 0
	}
	stop := s.cancelOnChange(watchCtx, cancel, address)
	page, err := from.Watch(watchCtx, collection, after, wait)
	stop()
	if fromStore {
		s.noteStore(watchCtx, err)
	}
	switch {
	case ctx.Err() != nil:
		return tamarackrun.Page{}, ctx.Err()
	case watchCtx.Err() != nil:
		// The reader has changed, or the collection is read from the store next.
		return tamarackrun.Page{Position: after}, nil
	case fromStore:
		return page, err
	case err == nil && page.Position.Before(after):
		err = errOld
	}
	if err != nil {
		s.avoid(address, collection, err)
		return tamarackrun.Page{Position: after}, nil
	}
	page.Reader = address
	return page, nil
}

// cancelOnChange calls cancel when the reader is no longer the one at the address. The
// returned function ends the check.
func (s *Source) cancelOnChange(ctx context.Context, cancel context.CancelFunc, address string) (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				if s.usable(s.Reader()) != address {
					cancel()
					return
				}
			case <-done:
				return
			case <-ctx.Done():
				return
			}
		}
	}()
	return func() { close(done) }
}

// CatchUp makes the next watch of a collection ask the store, because the reader has not
// delivered a change that others know. It returns false if the instance asks the store
// already or did so recently.
func (s *Source) CatchUp(collection tamarackrun.Collection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.latest[collection] == "" || time.Since(s.caughtUp[collection]) < catchUpPause {
		return false
	}
	s.caughtUp[collection], s.catchUp[collection] = time.Now(), true
	if s.cancels[collection] != nil {
		s.cancels[collection]()
	}
	return true
}
