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
	// commitAttempts and commitDelay bound the time in which a write whose
	// answer was lost is repeated: about 7 s if each attempt fails at once.
	commitAttempts = 8
	commitDelay    = 250 * time.Millisecond
	// maxAncestors bounds the walk to the version that an operator edited.
	maxAncestors = 500
)

// Manifest names the chunks of one accepted document.
type Manifest struct {
	// Chunks are the SHA-256 hashes of the parts of the document, in order, or
	// those of the parts of a list of these hashes.
	Chunks []string `json:"chunks"`
	// Listed says that Chunks are those of a list. A program that does not know
	// the field refuses the list, since it is no document.
	Listed bool   `json:"listed,omitempty"`
	Author string `json:"author"`
	// Base is the version that this one replaced.
	Base int64 `json:"base"`
	// Nonce tells whose write took effect when the answer was lost.
	Nonce string `json:"nonce"`
	// Parent is the hash of the chunk that holds the replaced manifest; it is
	// empty for the first one.
	Parent string `json:"parent,omitempty"`
}

// HashError says that a chunk's content does not have its hash.
type HashError struct{ Hash string }

// Error names the chunk.
func (e *HashError) Error() string { return "chunk " + e.Hash + " has another content" }

// UnknownOutcomeError says that it is not known whether a write took effect.
type UnknownOutcomeError struct{ Cause error }

// Error says what to do.
func (e *UnknownOutcomeError) Error() string {
	return "it is not known whether the document was accepted; apply it again, which is harmless: " + e.Cause.Error()
}

// Unwrap returns the error of the latest attempt.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// VersionError says that a version is not among the ancestors that can be read.
type VersionError struct{ Version int64 }

// Error names the version.
func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d of the document is unknown or too old", e.Version)
}

// ChunkName returns the object name of a chunk.
func ChunkName(hash string) string { return chunkPrefix + hash }

// HashFromName returns the hash in the object name of a chunk.
func HashFromName(name string) (string, bool) { return strings.CutPrefix(name, chunkPrefix) }

// HashOf returns the name of a content.
func HashOf(content []byte) string {
	sum := sha256.Sum256(content)
	return hex.EncodeToString(sum[:])
}

// Decode reads a manifest.
func Decode(value []byte) (Manifest, error) {
	var m Manifest
	err := json.Unmarshal(value, &m)
	return m, err
}

// Read returns the latest document and its version, or version 0 if there is
// none.
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
	text, err = joinFrom(ctx, store, m)
	return object.Version, text, err
}

func joinFrom(ctx context.Context, store tamarackrun.ObjectStore, m Manifest) ([]byte, error) {
	return Join(m, fetchFrom(ctx, store))
}

func fetchFrom(ctx context.Context, store tamarackrun.ObjectStore) Fetch {
	return func(hash string) ([]byte, error) {
		chunk, err := store.Get(ctx, ChunkName(hash))
		return chunk.Value, err
	}
}

// ReadVersion returns the document of an earlier version; version 0 is empty.
func ReadVersion(ctx context.Context, store tamarackrun.ObjectStore, version int64) ([]byte, error) {
	if version == 0 {
		return nil, nil
	}
	var found Manifest
	err := walk(ctx, store, func(v int64, m Manifest) bool {
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
	return joinFrom(ctx, store, found)
}

// walk visits the latest manifest and its ancestors while visit returns true.
func walk(ctx context.Context, store tamarackrun.ObjectStore, visit func(version int64, m Manifest) bool) error {
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

// Write stores a document as the version after base. It returns
// tamarackrun.ErrConflict if another write was accepted first, and
// *UnknownError if that cannot be settled.
func Write(ctx context.Context, store tamarackrun.ObjectStore, text []byte, author string, base int64) (int64, error) {
	return write(ctx, store, text, author, base, wait)
}

// waiter pauses between attempts; it returns false if there shall be no more.
type waiter func(ctx context.Context, d time.Duration) bool

func write(ctx context.Context, store tamarackrun.ObjectStore, text []byte, author string, base int64, wait waiter) (int64, error) {
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
		dropStored(parts, current.Value, fetchFrom(ctx, store))
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

// dropStored removes the parts that the replaced manifest names, which are in
// the store already. Without the list all parts are written, which is harmless.
func dropStored(parts map[string][]byte, replaced []byte, fetch Fetch) {
	m, err := Decode(replaced)
	if err != nil {
		return
	}
	for _, hash := range m.Chunks {
		delete(parts, hash)
	}
	if hashes, err := m.hashes(fetch); err == nil {
		for _, hash := range hashes {
			delete(parts, hash)
		}
	}
}

// putChunk writes a chunk. A conflict means that it is there already, since its
// name is its content.
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

// commit writes the manifest. A write whose answer was lost is repeated, which
// is harmless under its condition: a conflict then says that the first try or
// another writer succeeded, and the nonce tells which.
func commit(ctx context.Context, store tamarackrun.ObjectStore, value []byte, m Manifest, wait waiter) (int64, error) {
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
		version, err := find(ctx, store, m)
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

func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// find returns the version at which the manifest was accepted, or 0. Others may
// have replaced it since.
func find(ctx context.Context, store tamarackrun.ObjectStore, m Manifest) (int64, error) {
	var found int64
	err := walk(ctx, store, func(version int64, other Manifest) bool {
		if other.Nonce == m.Nonce {
			found = version
		}
		return found == 0 && version > m.Base
	})
	return found, err
}
