package instance

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/freshness"
	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/manifest"
	"tamarackrun/internal/protocol/wire"
)

const (
	// storeRetryDelay is the pause after a failed call to the platform.
	storeRetryDelay = 500 * time.Millisecond
	// readInterval is the time from one read of the manifest to the next. Each
	// read proves that the configuration is current.
	readInterval = 2 * time.Second
)

// held is an accepted version in the form in which peers may ask for it.
type held struct {
	version  int64
	manifest []byte
	chunks   map[string][]byte
}

func (h *held) chunk(hash string) ([]byte, bool) {
	if h == nil {
		return nil, false
	}
	chunk, ok := h.chunks[hash]
	return chunk, ok
}

// chunkCache is the platform's store without reads of the chunks in force. A
// document of the target size has about 2000 chunks, and to apply a change all
// of them are read.
type chunkCache struct {
	tamarackrun.ObjectStore
	held *held
}

// Get returns a chunk from memory, or an object from the store.
func (s chunkCache) Get(ctx context.Context, name string) (tamarackrun.Object, error) {
	if hash, ok := manifest.HashFromName(name); ok {
		if chunk, have := s.held.chunk(hash); have {
			return tamarackrun.Object{Name: name, Version: 1, Value: chunk}, nil
		}
	}
	return s.ObjectStore.Get(ctx, name)
}

func (f *follower) cached() tamarackrun.ObjectStore { return chunkCache{f.in.store, f.held.Load()} }

// follower puts new versions of the configuration in force.
type follower struct {
	in *Instance
	// held changes together with the instance's snapshot.
	held atomic.Pointer[held]
	// reachable says that the latest call to the store was answered.
	reachable atomic.Bool

	// learning says that a version is being fetched from a peer.
	learning atomic.Bool

	// mu allows one acceptance at a time.
	mu sync.Mutex
	// rejected is the highest version that could not be read.
	rejected atomic.Int64
}

func newFollower(in *Instance) *follower {
	f := &follower{in: in}
	f.reachable.Store(true)
	return f
}

// chunkSource returns the content of a hash. The content is checked by the
// caller.
type chunkSource func(ctx context.Context, hash string) ([]byte, error)

func (f *follower) fromStore(ctx context.Context, hash string) ([]byte, error) {
	chunk, err := f.in.store.Get(ctx, manifest.ChunkName(hash))
	return chunk.Value, err
}

// fromPeer asks the peer first and then the store.
func (f *follower) fromPeer(address string) chunkSource {
	return func(ctx context.Context, hash string) ([]byte, error) {
		reply, err := f.in.mesh.Call(ctx, address, fetchMessage(hash))
		if c := reply.GetChunk(); err == nil && c.GetFound() && hasHash(c.Value, hash) {
			return c.Value, nil
		}
		return f.fromStore(ctx, hash)
	}
}

func hasHash(value []byte, hash string) bool {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:]) == hash
}

func fetchMessage(hash string) *wire.Envelope {
	return &wire.Envelope{Kind: &wire.Envelope_Fetch{Fetch: &wire.Fetch{Hash: hash}}}
}

// watch follows the manifest in the platform.
func (f *follower) watch(ctx context.Context) {
	for ctx.Err() == nil {
		object, err := f.in.store.Watch(ctx, manifest.ObjectName, f.in.version())
		f.noteStore(ctx, err)
		if err == nil {
			err = f.accept(ctx, object.Version, object.Value, f.fromStore)
		}
		if err != nil && !errors.Is(err, tamarackrun.ErrUnchanged) {
			waiting.Pause(ctx, storeRetryDelay)
		}
	}
}

// read reads the manifest again and again: a watch that is silent looks like a
// configuration that does not change.
func (f *follower) read(ctx context.Context) {
	for ctx.Err() == nil {
		sent := f.in.clock.Now()
		object, err := f.in.store.Get(ctx, manifest.ObjectName)
		f.noteStore(ctx, err)
		if err == nil {
			err = f.accept(ctx, object.Version, object.Value, f.fromStore)
		} else if !errors.Is(err, tamarackrun.ErrNotFound) {
			f.in.proofs.storeFailed(sent)
		}
		if err == nil && f.in.version() == object.Version {
			f.in.proofs.add(sent)
		}
		waiting.Pause(ctx, readInterval-(f.in.clock.Now()-sent))
	}
}

// noteStore records changes of the store's state.
func (f *follower) noteStore(ctx context.Context, err error) {
	failed := err != nil && !errors.Is(err, tamarackrun.ErrUnchanged) && !errors.Is(err, tamarackrun.ErrNotFound)
	if ctx.Err() != nil || f.reachable.Swap(!failed) == !failed {
		return
	}
	if failed {
		f.in.history.Record(event.StoreUnreachable, "", "error", err.Error())
	} else {
		f.in.history.Record(event.StoreReachable, "")
	}
}

// learn asks a peer for a version that it reported, if that is higher than the
// own one. While another peer is being asked it does nothing; the next heartbeat
// comes soon.
func (f *follower) learn(ctx context.Context, address string, version int64) {
	if version <= f.in.version() || !f.learning.CompareAndSwap(false, true) {
		return
	}
	defer f.learning.Store(false)
	reply, err := f.in.mesh.Call(ctx, address, fetchMessage(""))
	if c := reply.GetChunk(); err == nil && c.GetFound() {
		_ = f.accept(ctx, int64(c.Version), c.Value, f.fromPeer(address))
	}
}

// serveFetch answers a peer.
func (f *follower) serveFetch(hash string) *wire.Envelope {
	chunk := &wire.Chunk{}
	if h := f.held.Load(); h != nil {
		chunk.Version = uint64(h.version)
		if hash == "" {
			chunk.Value, chunk.Found = h.manifest, true
		} else {
			chunk.Value, chunk.Found = h.chunks[hash]
		}
	}
	return &wire.Envelope{Kind: &wire.Envelope_Chunk{Chunk: chunk}}
}

// accept puts a version in force if it is higher than the present one.
func (f *follower) accept(ctx context.Context, version int64, encoded []byte, source chunkSource) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version <= f.in.version() {
		return nil
	}
	m, err := manifest.Decode(encoded)
	if err != nil {
		return f.reject(version, err)
	}
	h := &held{version: version, manifest: encoded, chunks: map[string][]byte{}}
	text, err := manifest.Join(m, f.collect(ctx, h, source))
	if err != nil {
		return err
	}
	snapshot, problems := document.Parse("stored document", text)
	if len(problems) > 0 {
		return f.reject(version, errors.New(problems[0].String()))
	}
	versioned := snapshot.WithVersion(version)
	f.held.Store(h)
	f.in.snapshot.Store(&versioned)
	f.in.history.Record(event.ConfigurationAccepted, "", "version", strconv.FormatInt(version, 10))
	f.in.rates.share(&versioned)
	f.in.homeServers.reconcile(&versioned)
	f.in.publishState()
	return nil
}

// collect returns a fetch that takes the chunks of the version in force from
// memory, others from the source, and adds all of them to h.
func (f *follower) collect(ctx context.Context, h *held, source chunkSource) manifest.Fetch {
	old := f.held.Load()
	var mu sync.Mutex
	return func(hash string) ([]byte, error) {
		chunk, have := old.chunk(hash)
		var err error
		if !have {
			chunk, err = source(ctx, hash)
		}
		mu.Lock()
		defer mu.Unlock()
		h.chunks[hash] = chunk
		return chunk, err
	}
}

// reject records a version that cannot be read, once. The version in force gets
// no further proof: the unreadable version may withdraw keys, so that keyed
// requests have to be refused once the latest proof is too old.
func (f *follower) reject(version int64, err error) error {
	if version > f.rejected.Load() {
		f.rejected.Store(version)
		f.in.history.Record(event.ConfigurationRejected, "", "version", strconv.FormatInt(version, 10), "error", err.Error())
		f.in.history.Record(event.ProofWithheld, "", "version", strconv.FormatInt(version, 10),
			"refusesAfter", freshness.RefuseAfter.String())
	}
	return err
}

// unreadable returns the stored version that could not be read and that no
// later version replaced, or 0.
func (f *follower) unreadable() int64 {
	if version := f.rejected.Load(); version > f.in.version() {
		return version
	}
	return 0
}

// version returns the version in force, or 0.
func (in *Instance) version() int64 {
	if c := in.snapshot.Load(); c != nil {
		return c.Version
	}
	return 0
}
