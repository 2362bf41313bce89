package front

import (
	"context"
	"errors"
	"time"

	"tamarackrun"
	"tamarackrun/internal/protocol/recordpage"
	"tamarackrun/internal/protocol/wire"
)

const (
	// maxQueryWait bounds how long a query waits for a change, so that queries of instances
	// that are gone end.
	maxQueryWait = 30 * time.Second
	// sourceWait is how long a query waits until this instance reads the collection from the
	// store. Instances don't change their reader at the same moment.
	sourceWait = 500 * time.Millisecond
	// firstReadWait is how long a query for a whole collection waits until this instance has
	// read it. After a restart of the whole fleet that takes a few pages of the store's list;
	// without the wait each instance of the failure domain would read them too.
	firstReadWait = 2 * time.Second
	// sourcePoll is how often a query checks whether this instance reads the store.
	sourcePoll = 50 * time.Millisecond
	// queryMargin is how much longer than its wait a query may take.
	queryMargin = time.Second
)

// errReaderBehind is the answer to an instance that knows of a change which this one has not found
// in the store.
var errReaderBehind = errors.New("its records lack the change that is asked for")

// remoteReader implements tamarackrun.RecordReader by queries to the reader at an address.
type remoteReader struct {
	front   *Front
	address string
}

// Read returns all records of a collection, with all changes that were reported to this instance.
func (r *remoteReader) Read(ctx context.Context, collection tamarackrun.Collection) (tamarackrun.Page, error) {
	reported := r.front.verifier.Reported(collection)
	return r.query(ctx, collection, &wire.RecordQuery{Collection: uint32(collection), Full: true, Era: reported.Era, After: reported.Revision})
}

// Watch returns the changes after a position.
func (r *remoteReader) Watch(ctx context.Context, collection tamarackrun.Collection, after tamarackrun.Position, wait time.Duration) (tamarackrun.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+queryMargin)
	defer cancel()
	return r.query(ctx, collection, &wire.RecordQuery{Collection: uint32(collection), Era: after.Era, After: after.Revision,
		WaitMillis: uint32(wait.Milliseconds())})
}

func (r *remoteReader) query(ctx context.Context, collection tamarackrun.Collection, query *wire.RecordQuery) (tamarackrun.Page, error) {
	reply, err := r.front.mesh.Call(ctx, r.address, &wire.Envelope{Kind: &wire.Envelope_RecordQuery{RecordQuery: query}})
	if err != nil {
		return tamarackrun.Page{}, err
	}
	page := reply.GetRecordPage()
	switch {
	case page == nil:
		return tamarackrun.Page{}, errors.New("the reader's reply is not a page of records")
	case page.Problem != "":
		return tamarackrun.Page{}, errors.New("the reader can't answer: " + page.Problem)
	}
	return recordpage.Decode(page, func(encoded []byte, removed bool) tamarackrun.Record {
		return r.front.Store.Decode(collection, encoded, removed)
	})
}

// ServePeer serves the request of another instance.
func (f *Front) ServePeer(ctx context.Context, first *wire.Envelope, stream tamarackrun.Stream) {
	defer f.recoverPanic("peer request", nil)
	switch kind := first.Kind.(type) {
	case *wire.Envelope_RecordQuery:
		f.serveRecordQuery(ctx, kind.RecordQuery, stream)
	case *wire.Envelope_ClockQuery:
		// An error means that the asking instance has gone.
		_ = stream.Send(&wire.Envelope{Kind: &wire.Envelope_ProcessClock{ProcessClock: f.processClock()}})
	case *wire.Envelope_SuspectQuery:
		f.serveSuspects(stream)
	case *wire.Envelope_TrialQuery:
		f.serveTrial(kind.TrialQuery, stream)
	case *wire.Envelope_Delegate:
		f.serveDelegate(ctx, kind.Delegate, stream)
	}
}

func (f *Front) serveRecordQuery(ctx context.Context, query *wire.RecordQuery, stream tamarackrun.Stream) {
	page, err := f.answerQuery(ctx, query)
	if err != nil {
		page = &wire.RecordPage{Problem: err.Error()}
	}
	f.scope.Counter("record_pages").Inc(1)
	f.scope.Counter("record_page_bytes").Inc(int64(len(page.Records)))
	// An error means that the asking instance has gone.
	_ = stream.Send(&wire.Envelope{Kind: &wire.Envelope_RecordPage{RecordPage: page}})
}

// answerQuery returns the page for a query. An instance that does not read the store itself
// gives no answer: two instances that read through each other would learn nothing new.
func (f *Front) answerQuery(ctx context.Context, query *wire.RecordQuery) (*wire.RecordPage, error) {
	collection := tamarackrun.Collection(query.Collection)
	known := f.known[collection]
	if known == nil {
		return nil, errors.New("unknown collection")
	}
	wait := sourceWait
	if query.Full {
		wait = firstReadWait
	}
	for deadline := time.Now().Add(wait); !f.source.ReadsStore(collection); time.Sleep(sourcePoll) {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return nil, errors.New("it does not read the store itself")
		}
	}
	after := tamarackrun.Position{Era: query.Era, Revision: query.After}
	if query.Full {
		if f.source.StoreUnreachable() {
			return nil, errors.New("the store does not answer it")
		}
		ctx, cancel := context.WithTimeout(ctx, firstReadWait)
		defer cancel()
		page, err := known.Read(ctx)
		if err == nil && page.Position.Before(after) {
			if err = f.readFor(ctx, collection, after); err == nil {
				page, err = known.Read(ctx)
			}
		}
		if err != nil {
			return nil, err
		}
		return f.encodeWhole(collection, page)
	}
	page, err := known.Watch(ctx, after, min(maxQueryWait, time.Duration(query.WaitMillis)*time.Millisecond))
	if err != nil {
		return nil, err
	}
	return recordpage.Encode(page)
}

// encodeWhole returns the message for a whole collection. It keeps the latest one, which all
// instances of the failure domain ask for after a restart of the fleet.
func (f *Front) encodeWhole(collection tamarackrun.Collection, page tamarackrun.Page) (*wire.RecordPage, error) {
	f.encodedMutex.Lock()
	defer f.encodedMutex.Unlock()
	if encoded := f.encoded[collection]; encoded != nil && encoded.Era == page.Position.Era && encoded.Revision == page.Position.Revision {
		return encoded, nil
	}
	encoded, err := recordpage.Encode(page)
	if err != nil {
		return nil, err
	}
	f.encoded[collection] = encoded
	return encoded, nil
}
