package manifest

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// missingParts returns the number and size of the parts that an instance must fetch if it
// holds some already.
func missingParts(parts, held map[string][]byte) (count, size int) {
	for hash, part := range parts {
		if _, ok := held[hash]; !ok {
			count, size = count+1, size+len(part)
		}
	}
	return count, size
}

// sampleSections returns n sections, most of them small and every fiftieth with a list of
// up to 400 blocks.
func sampleSections(r *rand.Rand, n int) []string {
	var sections []string
	for i := range n {
		s := fmt.Sprintf("[base/organisation/organisation-%05d]\nrate = %d\nburst = 200\n", i, r.IntN(1000))
		if i%50 == 0 {
			s = fmt.Sprintf("[base/clients/clients-%05d]\nsite = s\nblocks = 10.0.0.0/24", i)
			for range r.IntN(400) {
				s += fmt.Sprintf(", 10.%d.%d.0/24", r.IntN(256), r.IntN(256))
			}
			s += "\n"
		}
		sections = append(sections, s)
	}
	return sections
}

// Guards against a joined document that differs, parts above the size limit, and edits
// that move chunk boundaries far away. An instance that holds an older version, even one
// from many versions ago, must fetch little for each section that was edited since.
func TestEditsChangeFewChunks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		sections := sampleSections(r, rapid.SampledFrom([]int{0, 1, 200, 2000}).Draw(t, "sections"))
		_, held := Split([]byte(strings.Join(sections, "")))
		edits := rapid.IntRange(1, 20).Draw(t, "edits")
		for n := range edits {
			at := r.IntN(len(sections) + 1)
			added := fmt.Sprintf("[base/organisation/added-%d]\nrate = 1\n", n)
			switch rapid.IntRange(0, 2).Draw(t, "edit") {
			case 0:
				sections = append(sections[:at:at], append([]string{added}, sections[at:]...)...)
			case 1:
				if at < len(sections) {
					sections = append(sections[:at:at], sections[at+1:]...)
				}
			default:
				if at < len(sections) {
					sections[at] = added
				}
			}
		}
		text := []byte(strings.Join(sections, ""))
		m, parts := Split(text)
		joined, err := Join(m, func(hash string) ([]byte, error) { return parts[hash], nil })
		if err != nil || !bytes.Equal(joined, text) {
			t.Fatalf("joined %d of %d bytes, error %v", len(joined), len(text), err)
		}
		for _, part := range parts {
			if len(part) > maxChunkSize {
				t.Fatalf("a part has %d bytes, want at most maxChunkSize", len(part))
			}
		}
		// After an edit a few boundaries may move until one coincides with an old one,
		// both in the text and in the list of hashes.
		if count, _ := missingParts(parts, held); count > 8*edits {
			t.Fatalf("%d edits change %d of %d parts", edits, count, len(parts))
		}
	})
}

// Guards against lists for small documents, which a program that does not know lists could
// not read, and against a list that such a program accepts as a document.
func TestListsOnlyForLargeDocuments(t *testing.T) {
	sections := sampleSections(rand.New(rand.NewPCG(1, 0)), 4000)
	if m, _ := Split([]byte(strings.Join(sections[:100], ""))); m.Listed {
		t.Errorf("%d chunks are in a list, want none in a small document", len(m.Chunks))
	}
	m, parts := Split([]byte(strings.Join(sections, "")))
	first := maps.Clone(parts)[m.Chunks[0]]
	if !m.Listed || bytes.ContainsAny(first, "[=#;") {
		t.Errorf("listed %v, the list begins with %q", m.Listed, first[:min(len(first), 20)])
	}
}
