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

	"tamarackrun"
)

// ObjectName is the name of the manifest in the platform.
const ObjectName = "configuration/manifest"

const (
	chunkPrefix = "configuration/chunk/"
	// chunkSize keeps chunks below the platform's limit of 1 MB.
	chunkSize = 900_000
)

// Manifest names the chunks of one accepted document.
type Manifest struct {
	// Chunks are the SHA-256 hashes of the parts of the document, in order.
	Chunks []string `json:"chunks"`
	Author string   `json:"author"`
	// Base is the version that the author edited.
	Base int64 `json:"base"`
	// Nonce tells whose write took effect when the answer was lost.
	Nonce string `json:"nonce"`
}

// HashError says that a chunk's content does not have its hash.
type HashError struct{ Hash string }

// Error names the chunk.
func (e *HashError) Error() string { return "chunk " + e.Hash + " has another content" }

// ChunkName returns the object name of a chunk.
func ChunkName(hash string) string { return chunkPrefix + hash }

// Decode reads a manifest.
func Decode(value []byte) (Manifest, error) {
	var m Manifest
	err := json.Unmarshal(value, &m)
	return m, err
}

// Split returns the chunks of a document and their hashes.
func Split(text []byte) (hashes []string, chunks [][]byte) {
	for len(text) > 0 {
		n := min(chunkSize, len(text))
		hash := sha256.Sum256(text[:n])
		hashes, chunks = append(hashes, hex.EncodeToString(hash[:])), append(chunks, text[:n])
		text = text[n:]
	}
	return hashes, chunks
}

// Join reads all chunks with fetch, checks their hashes and returns the
// document.
func Join(m Manifest, fetch func(hash string) ([]byte, error)) ([]byte, error) {
	var text []byte
	for _, hash := range m.Chunks {
		chunk, err := fetch(hash)
		if err != nil {
			return nil, err
		}
		if sum := sha256.Sum256(chunk); hex.EncodeToString(sum[:]) != hash {
			return nil, &HashError{hash}
		}
		text = append(text, chunk...)
	}
	return text, nil
}

// Write stores a document as the version after base. It returns
// tamarackrun.ErrConflict if another write was accepted first. A write whose
// answer was lost is resolved by reading the manifest back.
func Write(ctx context.Context, store tamarackrun.ObjectStore, text []byte, author string, base int64) (int64, error) {
	hashes, chunks := Split(text)
	for i, hash := range hashes {
		_, err := store.Put(ctx, ChunkName(hash), chunks[i], 0)
		// A conflict means that the chunk is there already; its name is its
		// content.
		if err != nil && !errors.Is(err, tamarackrun.ErrConflict) {
			if _, readErr := store.Get(ctx, ChunkName(hash)); readErr != nil {
				return 0, err
			}
		}
	}
	m := Manifest{Chunks: hashes, Author: author, Base: base, Nonce: rand.Text()}
	value, err := json.Marshal(m)
	if err != nil {
		return 0, err
	}
	object, err := store.Put(ctx, ObjectName, value, base)
	if err == nil || errors.Is(err, tamarackrun.ErrConflict) {
		return object.Version, err
	}
	return readBack(ctx, store, m, err)
}

func readBack(ctx context.Context, store tamarackrun.ObjectStore, m Manifest, cause error) (int64, error) {
	object, err := store.Get(ctx, ObjectName)
	if err != nil {
		return 0, fmt.Errorf("the state of the write is unknown: %w", cause)
	}
	current, err := Decode(object.Value)
	if err == nil && current.Nonce == m.Nonce {
		return object.Version, nil
	}
	if object.Version > m.Base {
		return 0, tamarackrun.ErrConflict
	}
	return 0, cause
}
