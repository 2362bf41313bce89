package manifest

import (
	"bytes"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Limits of the content-defined chunks of a document and of lists of hashes.
const (
	// minChunkSize and maxChunkSize bound the size of a chunk in bytes. The average
	// is about 5 KB: with a document of 9.5 MB a change costs one chunk and about as
	// much in lists of hashes. Larger chunks cost more bytes, smaller ones more calls
	// to the platform.
	minChunkSize = 2 << 10
	maxChunkSize = 16 << 10
	// sectionOdds and wordOdds set how often a chunk begins: on average at one of 32
	// sections, which have about 100 bytes, and at one of 160 words of a list, which
	// have about 20.
	sectionOdds = 32
	wordOdds    = 160
	// listOdds and maxListLength set the same for lists of hashes: on average a part
	// begins at one of 128 hashes, and it has at most 512. Parts are large because the manifest,
	// which names the parts, is read every 2 s, and a part only after a change.
	listOdds      = 128
	maxListLength = 512
	// maxDirectChunks is the largest number of chunks that a manifest names itself.
	maxDirectChunks = 64
	// maxConcurrentFetches bounds the chunks that are fetched concurrently. A
	// document has about 2000 chunks at the target size, and a round trip may take
	// 110 ms.
	maxConcurrentFetches = 16
)

// Fetch returns the content with a hash. Join calls it concurrently.
type Fetch func(hash string) ([]byte, error)

// Split returns a manifest of a document's chunks, and the contents of all parts by
// their hashes: of the chunks and, for a large document, of the parts of the list of
// their hashes. The chunk boundaries depend only on the text next to them, so an edit
// leaves most chunks unchanged.
func Split(text []byte) (Manifest, map[string][]byte) {
	parts, hashes := map[string][]byte{}, []string{}
	add := func(part []byte) {
		hash := HashOf(part)
		parts[hash], hashes = part, append(hashes, hash)
	}
	for len(text) > 0 {
		n := findBoundary(text)
		add(text[:n])
		text = text[n:]
	}
	if len(hashes) <= maxDirectChunks {
		return Manifest{Chunks: hashes}, parts
	}
	chunks := hashes
	hashes = nil
	for len(chunks) > 0 {
		n := findListBoundary(chunks)
		add([]byte(strings.Join(chunks[:n], "\n")))
		chunks = chunks[n:]
	}
	return Manifest{Chunks: hashes, Listed: true}, parts
}

// findBoundary returns the size of the first chunk of a text. A chunk may end before a
// section header or before a word of a list.
func findBoundary(text []byte) int {
	limit := min(maxChunkSize, len(text))
	for n := minChunkSize; n < limit; n++ {
		switch {
		case text[n] == '[' && text[n-1] == '\n' && isBoundary(text[n:], "\n", sectionOdds):
			return n
		case text[n-1] == ' ' && text[n-2] == ',' && isBoundary(text[n:], ",\n", wordOdds):
			return n
		}
	}
	return limit
}

// isBoundary reports whether a chunk begins at the text, by a hash of the text up to the
// first of the characters in ends.
func isBoundary(text []byte, ends string, odds uint64) bool {
	text = text[:min(len(text), minChunkSize)]
	if n := bytes.IndexAny(text, ends); n >= 0 {
		text = text[:n]
	}
	return xxhash.Sum64(text)%odds == 0
}

// findListBoundary returns the length of the first part of a list of hashes.
func findListBoundary(hashes []string) int {
	limit := min(maxListLength, len(hashes))
	for n := 1; n < limit; n++ {
		if xxhash.Sum64String(hashes[n])%listOdds == 0 {
			return n
		}
	}
	return limit
}

// documentHashes returns the hashes of the document's chunks, in order.
func (m Manifest) documentHashes(fetch Fetch) ([]string, error) {
	if !m.Listed {
		return m.Chunks, nil
	}
	lists, err := fetchAll(m.Chunks, fetch)
	return strings.Split(string(bytes.Join(lists, []byte("\n"))), "\n"), err
}

// Join fetches the chunks of a manifest, checks them against their hashes and returns
// the document.
func Join(m Manifest, fetch Fetch) ([]byte, error) {
	hashes, err := m.documentHashes(fetch)
	if err != nil {
		return nil, err
	}
	chunks, err := fetchAll(hashes, fetch)
	if err != nil {
		return nil, err
	}
	return bytes.Join(chunks, nil), nil
}

// fetchAll returns the contents with the hashes, in order. After the first error it
// starts no further fetches and returns that error.
func fetchAll(hashes []string, fetch Fetch) ([][]byte, error) {
	contents := make([][]byte, len(hashes))
	var mu sync.Mutex
	var firstErr error
	next := 0
	take := func() (int, bool) {
		mu.Lock()
		defer mu.Unlock()
		next++
		return next - 1, firstErr == nil && next <= len(hashes)
	}
	worker := func() {
		for n, ok := take(); ok; n, ok = take() {
			content, err := fetch(hashes[n])
			if err == nil && HashOf(content) != hashes[n] {
				err = &HashError{hashes[n]}
			}
			mu.Lock()
			if contents[n] = content; err != nil && firstErr == nil {
				firstErr = err
			}
			mu.Unlock()
		}
	}
	var group sync.WaitGroup
	for range min(maxConcurrentFetches, len(hashes)) {
		group.Go(worker)
	}
	group.Wait()
	return contents, firstErr
}
