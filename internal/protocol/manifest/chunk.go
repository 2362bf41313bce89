package manifest

import (
	"bytes"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// minChunk and chunkSize bound the size of a chunk. The average is about
	// 5 KB: with a document of 9.5 MB a change costs a chunk and about as much
	// in lists of hashes, where larger chunks cost more bytes and smaller ones
	// more calls to the platform.
	minChunk  = 2 << 10
	chunkSize = 16 << 10
	// sectionOdds and wordOdds are the parts of sections and of words in lists
	// at which a chunk begins. Sections have about 100 bytes, words about 20.
	sectionOdds = 32
	wordOdds    = 160
	// listOdds and maxList are the same for the parts of a list of hashes. They
	// are large because the manifest, which names the parts, is read every 2 s,
	// and a part only after a change.
	listOdds = 128
	maxList  = 512
	// maxDirect is the most chunks that a manifest names itself.
	maxDirect = 64
	// maxFetches bounds the chunks that are fetched at a time. A document has
	// about 2000 chunks at the target size, and a round trip may take 110 ms.
	maxFetches = 16
)

// Fetch returns the content of a hash. Join calls it for several hashes at a
// time.
type Fetch func(hash string) ([]byte, error)

// Split returns a manifest with the chunks of a document, and the content of
// all parts by hash. Borders depend on the text next to them only, so that an
// edit leaves most chunks as they are.
func Split(text []byte) (Manifest, map[string][]byte) {
	parts, hashes := map[string][]byte{}, []string{}
	add := func(part []byte) {
		hash := HashOf(part)
		parts[hash], hashes = part, append(hashes, hash)
	}
	for len(text) > 0 {
		n := border(text)
		add(text[:n])
		text = text[n:]
	}
	if len(hashes) <= maxDirect {
		return Manifest{Chunks: hashes}, parts
	}
	chunks := hashes
	hashes = nil
	for len(chunks) > 0 {
		n := listBorder(chunks)
		add([]byte(strings.Join(chunks[:n], "\n")))
		chunks = chunks[n:]
	}
	return Manifest{Chunks: hashes, Listed: true}, parts
}

// border returns the size of the first chunk of a text.
func border(text []byte) int {
	limit := min(chunkSize, len(text))
	for n := minChunk; n < limit; n++ {
		switch {
		case text[n] == '[' && text[n-1] == '\n' && chosen(text[n:], "\n", sectionOdds):
			return n
		case text[n-1] == ' ' && text[n-2] == ',' && chosen(text[n:], ",\n", wordOdds):
			return n
		}
	}
	return limit
}

// chosen decides by the text up to one of the ends.
func chosen(text []byte, ends string, odds uint64) bool {
	text = text[:min(len(text), minChunk)]
	if n := bytes.IndexAny(text, ends); n >= 0 {
		text = text[:n]
	}
	return xxhash.Sum64(text)%odds == 0
}

func listBorder(hashes []string) int {
	limit := min(maxList, len(hashes))
	for n := 1; n < limit; n++ {
		if xxhash.Sum64String(hashes[n])%listOdds == 0 {
			return n
		}
	}
	return limit
}

// hashes returns the hashes of the chunks of the document.
func (m Manifest) hashes(fetch Fetch) ([]string, error) {
	if !m.Listed {
		return m.Chunks, nil
	}
	lists, err := fetchAll(m.Chunks, fetch)
	return strings.Split(string(bytes.Join(lists, []byte("\n"))), "\n"), err
}

// Join reads all chunks with fetch, checks their hashes and returns the
// document.
func Join(m Manifest, fetch Fetch) ([]byte, error) {
	hashes, err := m.hashes(fetch)
	if err != nil {
		return nil, err
	}
	chunks, err := fetchAll(hashes, fetch)
	if err != nil {
		return nil, err
	}
	return bytes.Join(chunks, nil), nil
}

// fetchAll returns the contents of the hashes, in order. After an error no more
// are fetched.
func fetchAll(hashes []string, fetch Fetch) ([][]byte, error) {
	contents := make([][]byte, len(hashes))
	var mu sync.Mutex
	var failed error
	next := 0
	take := func() (int, bool) {
		mu.Lock()
		defer mu.Unlock()
		next++
		return next - 1, failed == nil && next <= len(hashes)
	}
	work := func() {
		for n, ok := take(); ok; n, ok = take() {
			content, err := fetch(hashes[n])
			if err == nil && HashOf(content) != hashes[n] {
				err = &HashError{hashes[n]}
			}
			mu.Lock()
			if contents[n] = content; err != nil && failed == nil {
				failed = err
			}
			mu.Unlock()
		}
	}
	var group sync.WaitGroup
	for range min(maxFetches, len(hashes)) {
		group.Go(work)
	}
	group.Wait()
	return contents, failed
}
