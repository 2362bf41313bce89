package document

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// Guards against duplicate client blocks that are accepted and unique ones that are
// rejected: the problems must equal those of a map from each block to its first list.
func TestDuplicateClientBlocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := "[t/region/r]\n[t/domain/d]\nregion = r\n[t/site/s]\ndomain = d\n[t/fleet/fleet]\nstoreRegion = r\n"
		first, want, line := map[string]string{}, []string(nil), 7
		for n := range rapid.IntRange(0, 5).Draw(t, "lists") {
			name := fmt.Sprint("c", n)
			blocks := rapid.SliceOfN(rapid.SampledFrom([]string{"10.0.0.0/8", "10.0.0.0/9", "::/8", "::/9", "0.0.0.0/8"}), 1, 4).Draw(t, "blocks")
			line += 3
			var found []string
			for _, b := range blocks {
				if other, ok := first[b]; ok {
					found = append(found, fmt.Sprintf("f:%d: %s is already used by clients %q", line, b, other))
					continue
				}
				first[b] = name
			}
			want = append(want, found...)
			text += fmt.Sprintf("[t/clients/%s]\nsite = s\nblocks = %s\n", name, strings.Join(blocks, ", "))
		}
		var got []string
		_, problems := Parse("f", []byte(text))
		for _, p := range problems {
			got = append(got, fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Message))
		}
		slices.Sort(want)
		slices.Sort(got)
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("problems (-want +got):\n%s", diff)
		}
	})
}
