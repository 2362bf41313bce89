package event

import (
	"flag"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "write docs/events.md")

const page = "../../../docs/events.md"

// Guards against a page docs/events.md that differs from the catalogue.
func TestPageMatchesCatalogue(t *testing.T) {
	if *update {
		if err := os.WriteFile(page, []byte(Markdown()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Markdown(), string(text)); diff != "" {
		t.Errorf("docs/events.md is not up to date; run `make events` (-want +got):\n%s", diff)
	}
}

// Guards against numbers that are out of order or used twice, names that are used twice,
// and levels that the logger does not know, with which it would log nothing.
func TestCatalogueIsConsistent(t *testing.T) {
	levels := map[string]bool{"debug": true, "info": true, "warn": true, "error": true}
	names := map[string]bool{}
	for i, d := range Catalogue {
		if i > 0 && d.ID <= Catalogue[i-1].ID {
			t.Errorf("TR%d follows TR%d, want increasing numbers", d.ID, Catalogue[i-1].ID)
		}
		if names[d.Name] || !levels[d.Level] || d.Meaning == "" {
			t.Errorf("TR%d: name %q given twice, level %q unknown or meaning empty", d.ID, d.Name, d.Level)
		}
		names[d.Name] = true
	}
}
