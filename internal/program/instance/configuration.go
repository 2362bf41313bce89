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
	// readInterval is the time from the start of one read of the manifest to the
	// start of the next. Each read proves that the configuration is current.
	readInterval = 2 * time.Second
)

// encodedVersion is an accepted version of the configuration in the form in
// which peers fetch it.
type encodedVersion struct {
	version  int64
	manifest []byte
	chunks   map[string][]byte
}

// chunk returns the chunk with the hash, if the version contains it.
func (e *encodedVersion) chunk(hash string) ([]byte, bool) {
	if e == nil {
		return nil, false
	}
	chunk, ok := e.chunks[hash]
	return chunk, ok
}

// chunkCache is the platform's store, but returns the chunks of the version in
// force from memory. A document of the target size has about 2000 chunks, and
// all of them are needed to apply a change.
type chunkCache struct {
	tamarackrun.ObjectStore
	encoded *encodedVersion
}

// Get returns a chunk from memory if possible, else an object from the store.
func (s chunkCache) Get(ctx context.Context, name string) (tamarackrun.Object, error) {
	if hash, ok := manifest.HashFromName(name); ok {
		if chunk, have := s.encoded.chunk(hash); have {
			return tamarackrun.Object{Name: name, Version: 1, Value: chunk}, nil
		}
	}
	return s.ObjectStore.Get(ctx, name)
}

// cachedStore returns the store, with the chunks of the version in force taken from
// memory.
func (s *configSync) cachedStore() tamarackrun.ObjectStore {
	return chunkCache{s.in.store, s.encoded.Load()}
}

// configSync fetches new versions of the configuration from the store or from
// peers, applies them and serves them to peers.
type configSync struct {
	in *Instance
	// encoded is the version in force; it changes together with the instance's
	// snapshot.
	encoded atomic.Pointer[encodedVersion]
	// reachable is set if the latest call to the store was answered.
	reachable atomic.Bool

	// fetching is set while a version is being fetched from a peer.
	fetching atomic.Bool

	// mu is held while a version is accepted.
	mu sync.Mutex
	// rejected is the highest version that could not be read.
	rejected atomic.Int64
}

func newConfigSync(in *Instance) *configSync {
	s := &configSync{in: in}
	s.reachable.Store(true)
	return s
}

// chunkSource returns the chunk with a hash. The caller checks the content.
type chunkSource func(ctx context.Context, hash string) ([]byte, error)

// fromStore is a chunkSource that reads the store.
func (s *configSync) fromStore(ctx context.Context, hash string) ([]byte, error) {
	chunk, err := s.in.store.Get(ctx, manifest.ChunkName(hash))
	return chunk.Value, err
}

// fromPeer returns a source that asks the peer first and then the store.
func (s *configSync) fromPeer(address string) chunkSource {
	return func(ctx context.Context, hash string) ([]byte, error) {
		reply, err := s.in.mesh.Call(ctx, address, fetchMessage(hash))
		if c := reply.GetChunk(); err == nil && c.GetFound() && hasHash(c.Value, hash) {
			return c.Value, nil
		}
		return s.fromStore(ctx, hash)
	}
}

// hasHash reports whether hash is the SHA-256 of the value in hexadecimal digits.
func hasHash(value []byte, hash string) bool {
	sum := sha256.Sum256(value)
	return hex.EncodeToString(sum[:]) == hash
}

// fetchMessage returns the request to a peer for the chunk with the hash, or for
// the manifest if hash is "".
func fetchMessage(hash string) *wire.Envelope {
	return &wire.Envelope{Kind: &wire.Envelope_Fetch{Fetch: &wire.Fetch{Hash: hash}}}
}

// watchManifest accepts each new version of the manifest that a watch of the
// store returns.
func (s *configSync) watchManifest(ctx context.Context) {
	for ctx.Err() == nil {
		object, err := s.in.store.Watch(ctx, manifest.ObjectName, s.in.version())
		s.recordStoreState(ctx, err)
		if err == nil {
			err = s.accept(ctx, object.Version, object.Value, s.fromStore)
		}
		if err != nil && !errors.Is(err, tamarackrun.ErrUnchanged) {
			waiting.Pause(ctx, storeRetryDelay)
		}
	}
}

// pollManifest reads the manifest at intervals, because a watch that has gone
// silent cannot be told from a configuration that does not change.
func (s *configSync) pollManifest(ctx context.Context) {
	for ctx.Err() == nil {
		sent := s.in.clock.Now()
		object, err := s.in.store.Get(ctx, manifest.ObjectName)
		s.recordStoreState(ctx, err)
		if err == nil {
			err = s.accept(ctx, object.Version, object.Value, s.fromStore)
		} else if !errors.Is(err, tamarackrun.ErrNotFound) {
			s.in.freshness.readFailed(sent)
		}
		if err == nil && s.in.version() == object.Version {
			s.in.freshness.addProof(sent)
		}
		waiting.Pause(ctx, readInterval-(s.in.clock.Now()-sent))
	}
}

// recordStoreState records when the store becomes unreachable or reachable.
func (s *configSync) recordStoreState(ctx context.Context, err error) {
	failed := err != nil && !errors.Is(err, tamarackrun.ErrUnchanged) && !errors.Is(err, tamarackrun.ErrNotFound)
	if ctx.Err() != nil || s.reachable.Swap(!failed) == !failed {
		return
	}
	if failed {
		s.in.history.Record(event.StoreUnreachable, "", "error", err.Error())
	} else {
		s.in.history.Record(event.StoreReachable, "")
	}
}

// fetchFromPeer fetches a version that a peer reported, if it is higher than
// the version in force. While another peer is being asked it does nothing; the
// next heartbeat comes soon.
func (s *configSync) fetchFromPeer(ctx context.Context, address string, version int64) {
	if version <= s.in.version() || !s.fetching.CompareAndSwap(false, true) {
		return
	}
	defer s.fetching.Store(false)
	reply, err := s.in.mesh.Call(ctx, address, fetchMessage(""))
	if c := reply.GetChunk(); err == nil && c.GetFound() {
		_ = s.accept(ctx, int64(c.Version), c.Value, s.fromPeer(address))
	}
}

// serveFetch returns the manifest of the version in force if hash is "", else
// the chunk with the hash.
func (s *configSync) serveFetch(hash string) *wire.Envelope {
	chunk := &wire.Chunk{}
	if inForce := s.encoded.Load(); inForce != nil {
		chunk.Version = uint64(inForce.version)
		if hash == "" {
			chunk.Value, chunk.Found = inForce.manifest, true
		} else {
			chunk.Value, chunk.Found = inForce.chunks[hash]
		}
	}
	return &wire.Envelope{Kind: &wire.Envelope_Chunk{Chunk: chunk}}
}

// accept applies a version if it is higher than the one in force.
func (s *configSync) accept(ctx context.Context, version int64, encoded []byte, source chunkSource) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version <= s.in.version() {
		return nil
	}
	m, err := manifest.Decode(encoded)
	if err != nil {
		return s.reject(version, err)
	}
	next := &encodedVersion{version: version, manifest: encoded, chunks: map[string][]byte{}}
	text, err := manifest.Join(m, s.cachingFetch(ctx, next, source))
	if err != nil {
		return err
	}
	snapshot, problems := document.Parse("stored document", text)
	if len(problems) > 0 {
		return s.reject(version, errors.New(problems[0].String()))
	}
	versioned := snapshot.WithVersion(version)
	s.encoded.Store(next)
	s.in.snapshot.Store(&versioned)
	s.in.history.Record(event.ConfigurationAccepted, "", "version", strconv.FormatInt(version, 10))
	s.in.rateLimiter.setLimits(&versioned)
	s.in.homeServers.reconcile(&versioned)
	s.in.publishState()
	return nil
}

// cachingFetch returns a fetch function that takes the chunks of the version in
// force from memory and others from the source, and adds all of them to next.
func (s *configSync) cachingFetch(ctx context.Context, next *encodedVersion, source chunkSource) manifest.Fetch {
	current := s.encoded.Load()
	var mu sync.Mutex
	return func(hash string) ([]byte, error) {
		chunk, have := current.chunk(hash)
		var err error
		if !have {
			chunk, err = source(ctx, hash)
		}
		mu.Lock()
		defer mu.Unlock()
		next.chunks[hash] = chunk
		return chunk, err
	}
}

// reject records, once, a version that cannot be read. The version in force
// gets no further proof: the unreadable version may withdraw keys, so requests
// with a key must be refused once the latest proof is too old.
func (s *configSync) reject(version int64, err error) error {
	if version > s.rejected.Load() {
		s.rejected.Store(version)
		s.in.history.Record(event.ConfigurationRejected, "", "version", strconv.FormatInt(version, 10), "error", err.Error())
		s.in.history.Record(event.ProofWithheld, "", "version", strconv.FormatInt(version, 10),
			"refusesAfter", freshness.RefuseAfter.String())
	}
	return err
}

// unreadableVersion returns the stored version that could not be read and that
// no later version replaced, or 0.
func (s *configSync) unreadableVersion() int64 {
	if version := s.rejected.Load(); version > s.in.version() {
		return version
	}
	return 0
}

// version returns the version of the configuration in force, or 0.
func (in *Instance) version() int64 {
	if c := in.snapshot.Load(); c != nil {
		return c.Version
	}
	return 0
}
