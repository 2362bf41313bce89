package document

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The documents of both deployments must stay valid.
func TestDeployments(t *testing.T) {
	files, err := filepath.Glob("../../../deployments/*/document.ini")
	if err != nil || len(files) != 2 {
		t.Fatalf("found %d documents, error %v", len(files), err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		snapshot, problems := Parse(file, text)
		if diff := cmp.Diff([]Problem(nil), problems); diff != "" {
			t.Errorf("%s: problems (-want +got):\n%s", file, diff)
		} else if len(snapshot.Organisations) != 8 {
			t.Errorf("%s: %d organisations, want 8", file, len(snapshot.Organisations))
		}
	}
}
