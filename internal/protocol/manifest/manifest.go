// Package manifest stores the operators' document in the platform as
// content-addressed chunks under one versioned manifest.
package manifest

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"tamarackrun"
)

// ObjectName is the name of the manifest in the platform.
const ObjectName = "configuration/manifest"

const (
	chunkPrefix = "configuration/chunk/"
	// commitAttempts and commitDelay bound the time for which a write is repeated
	// after its answer was lost: about 7 s if each attempt fails at once. The delay
	// grows by commitDelay with each attempt.
	commitAttempts = 8
	commitDelay    = 250 * time.Millisecond
	// maxAncestors bounds the number of manifests that are read to find an earlier
	// version, such as the one that an operator edited.
	maxAncestors = 500
)

// Manifest lists the chunks of one accepted version of the document.
type Manifest struct {
	// Chunks holds the SHA-256 hashes of the document's chunks, in order, or those of
	// the parts of a list of these hashes.
	Chunks []string `json:"chunks"`
	// Listed is true if Chunks holds the hashes of a list's parts. A program that does
	// not know the field rejects the list, since it is not a valid document.
	Listed bool `json:"listed,omitempty"`
	// Author is the team that applied the document.
	Author string `json:"author"`
	// Base is the version that this one replaced.
	Base int64 `json:"base"`
	// Nonce is unique to a write. It tells a writer whose answer was lost whether its
	// own write took effect.
	Nonce string `json:"nonce"`
	// Parent is the hash of the chunk that holds the replaced manifest; it is empty
	// for the first manifest.
	Parent string `json:"parent,omitempty"`
}

// HashError is returned if a chunk's content does not match its hash.
type HashError struct{ Hash string }

// Error names the chunk.
func (e *HashError) Error() string {
	return "the content of chunk " + e.Hash + " does not match its hash"
}

// UnknownOutcomeError is returned if it is not known whether a write took effect.
type UnknownOutcomeError struct{ Cause error }

// Error says what the operator can do.
func (e *UnknownOutcomeError) Error() string {
	return "it is not known whether the document was accepted; apply it again, which is harmless: " + e.Cause.Error()
}

// Unwrap returns the error of the latest attempt.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// VersionError is returned for a version that is not among the latest maxAncestors.
type VersionError struct{ Version int64 }

// Error names the version.
func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d of the document does not exist or is not among the latest %d", e.Version, maxAncestors)
}

// ChunkName returns the object name of a chunk.
func ChunkName(hash string) string { return chunkPrefix + hash }

// HashFromName returns the hash in the object name of a chunk, and whether the name is
// that of a chunk.
func HashFromName(name string) (string, bool) { return strings.CutPrefix(name, chunkPrefix) }

// HashOf returns the SHA-256 hash of a content in hexadecimal digits.
func HashOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Decode decodes the value of a manifest object.
func Decode(value []byte) (Manifest, error) {
	var m Manifest
	err := json.Unmarshal(value, &m)
	return m, err
}

// Read returns the latest document and its version, or version 0 if there is none.
func Read(ctx context.Context, store tamarackrun.ObjectStore) (version int64, text []byte, err error) {
	object, err := store.Get(ctx, ObjectName)
	if errors.Is(err, tamarackrun.ErrNotFound) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	m, err := Decode(object.Value)
	if err != nil {
		return 0, nil, err
	}
	text, err = joinFromStore(ctx, store, m)
	return object.Version, text, err
}

// joinFromStore returns the document of a manifest.
func joinFromStore(ctx context.Context, store tamarackrun.ObjectStore, m Manifest) ([]byte, error) {
	return Join(m, fetchFromStore(ctx, store))
}

// fetchFromStore returns a Fetch that reads chunks from the store.
func fetchFromStore(ctx context.Context, store tamarackrun.ObjectStore) Fetch {
	return func(hash string) ([]byte, error) {
		chunk, err := store.Get(ctx, ChunkName(hash))
		return chunk.Value, err
	}
}

// ReadVersion returns the document of the latest or an earlier version. Version 0 is
// empty.
func ReadVersion(ctx context.Context, store tamarackrun.ObjectStore, version int64) ([]byte, error) {
	if version == 0 {
		return nil, nil
	}
	var found Manifest
	err := walkVersions(ctx, store, func(v int64, m Manifest) bool {
		if v == version {
			found = m
		}
		return v > version
	})
	if err != nil {
		return nil, err
	}
	if found.Nonce == "" {
		return nil, &VersionError{version}
	}
	return joinFromStore(ctx, store, found)
}

// walkVersions calls visit for the latest manifest and its ancestors, newest first, as
// long as visit returns true.
func walkVersions(ctx context.Context, store tamarackrun.ObjectStore, visit func(version int64, m Manifest) bool) error {
	object, err := store.Get(ctx, ObjectName)
	if err != nil {
		return err
	}
	version, value := object.Version, object.Value
	for range maxAncestors {
		m, err := Decode(value)
		if err != nil {
			return err
		}
		if !visit(version, m) || m.Parent == "" {
			return nil
		}
		parent, err := store.Get(ctx, ChunkName(m.Parent))
		if err != nil {
			return err
		}
		if HashOf(parent.Value) != m.Parent {
			return &HashError{m.Parent}
		}
		version, value = m.Base, parent.Value
	}
	return nil
}

// Write stores a document as the version after base and returns that version. The error
// is tamarackrun.ErrConflict if another write was accepted first, and
// *UnknownOutcomeError if it cannot be found out whether this one was.
func Write(ctx context.Context, store tamarackrun.ObjectStore, text []byte, author string, base int64) (int64, error) {
	return write(ctx, store, text, author, base, wait)
}

// waitFunc waits between two attempts. It reports whether the next one may be made.
type waitFunc func(ctx context.Context, d time.Duration) bool

// write is Write with a function that waits between two attempts.
func write(ctx context.Context, store tamarackrun.ObjectStore, text []byte, author string, base int64, wait waitFunc) (int64, error) {
	m, parts := Split(text)
	m.Author, m.Base, m.Nonce = author, base, rand.Text()
	if base > 0 {
		current, err := store.Get(ctx, ObjectName)
		if err != nil {
			return 0, err
		}
		if current.Version != base {
			return 0, tamarackrun.ErrConflict
		}
		dropStored(parts, current.Value, fetchFromStore(ctx, store))
		m.Parent = HashOf(current.Value)
		parts[m.Parent] = current.Value
	}
	for _, hash := range slices.Sorted(maps.Keys(parts)) {
		if err := putChunk(ctx, store, hash, parts[hash]); err != nil {
			return 0, err
		}
	}
	value, err := json.Marshal(m)
	if err != nil {
		return 0, err
	}
	return commit(ctx, store, value, m, wait)
}

// dropStored removes the parts that the replaced manifest names, which the store has
// already. If the list of hashes cannot be fetched, all other parts are written again,
// which is harmless.
func dropStored(parts map[string][]byte, replaced []byte, fetch Fetch) {
	m, err := Decode(replaced)
	if err != nil {
		return
	}
	for _, hash := range m.Chunks {
		delete(parts, hash)
	}
	if hashes, err := m.documentHashes(fetch); err == nil {
		for _, hash := range hashes {
			delete(parts, hash)
		}
	}
}

// putChunk writes a chunk. A conflict means that the store has it already, since its
// name is the hash of its content.
func putChunk(ctx context.Context, store tamarackrun.ObjectStore, hash string, content []byte) error {
	_, err := store.Put(ctx, ChunkName(hash), content, 0)
	if err == nil || errors.Is(err, tamarackrun.ErrConflict) {
		return nil
	}
	if _, readErr := store.Get(ctx, ChunkName(hash)); readErr != nil {
		return err
	}
	return nil
}

// commit writes the manifest and returns its version. A write whose answer was lost is
// repeated, which is harmless because it is conditional on the base version: a conflict
// means that an earlier attempt or another writer succeeded, and the nonce tells which.
func commit(ctx context.Context, store tamarackrun.ObjectStore, value []byte, m Manifest, wait waitFunc) (int64, error) {
	var cause error
	for n := range commitAttempts {
		if n > 0 && !wait(ctx, time.Duration(n)*commitDelay) {
			break
		}
		object, err := store.Put(ctx, ObjectName, value, m.Base)
		if err == nil {
			return object.Version, nil
		}
		cause = err
		if !errors.Is(err, tamarackrun.ErrConflict) {
			continue
		}
		version, err := findAccepted(ctx, store, m)
		if err == nil && version == 0 {
			return 0, tamarackrun.ErrConflict
		}
		if err == nil {
			return version, nil
		}
		cause = err
	}
	return 0, &UnknownOutcomeError{cause}
}

// wait waits for a duration. It reports whether the duration passed before the
// context ended.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// findAccepted returns the version at which the manifest was accepted, or 0 if it was
// not. Later writes may have replaced it since.
func findAccepted(ctx context.Context, store tamarackrun.ObjectStore, m Manifest) (int64, error) {
	var found int64
	err := walkVersions(ctx, store, func(version int64, other Manifest) bool {
		if other.Nonce == m.Nonce {
			found = version
		}
		return found == 0 && version > m.Base
	})
	return found, err
}
