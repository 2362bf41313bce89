package instance

import (
	"bytes"
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"tamarackrun/internal/protocol/manifest"
)

// An instance must fetch only chunks that it does not hold, and it must be able
// to pass on those that it took from memory.
func TestCachingFetchReadsOnlyMissingChunks(t *testing.T) {
	var text []byte
	for n := range 20_000 {
		text = fmt.Appendf(text, "[base/organisation/organisation-%05d]\nrate = %d\n", n, n%97)
	}
	_, old := manifest.Split(text)
	changed := append([]byte("[base/organisation/added]\nrate = 1\n"), text...)
	m, chunks := manifest.Split(changed)
	s := newConfigSync(&Instance{})
	s.encoded.Store(&encodedVersion{chunks: old})
	var fetched atomic.Int32
	next := &encodedVersion{chunks: map[string][]byte{}}
	joined, err := manifest.Join(m, s.cachingFetch(t.Context(), next, func(_ context.Context, hash string) ([]byte, error) {
		fetched.Add(1)
		return chunks[hash], nil
	}))
	if err != nil || !bytes.Equal(joined, changed) {
		t.Fatalf("joined %d bytes, error %v; want the changed document and no error", len(joined), err)
	}
	if n := fetched.Load(); n > 4 || len(next.chunks) != len(chunks) {
		t.Errorf("%d of %d chunks fetched, %d held", n, len(chunks), len(next.chunks))
	}
}
