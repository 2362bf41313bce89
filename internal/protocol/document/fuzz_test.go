package document

import (
	"os"
	"testing"
)

// Guards against panics, a split that loses bytes, a merge that accepts an invalid
// document, and a merge without changes that alters the document.
func FuzzParse(f *testing.F) {
	for _, file := range []string{"sundarban", "hollowmere"} {
		text, err := os.ReadFile("../../../deployments/" + file + "/document.ini")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte(twoTeams))
	// A header without a name, which fuzzing found.
	f.Add([]byte("0\n[]"))
	f.Add([]byte("\ufeff[a/region/r]\r\nlinkMegabits = `1`\r\n[x"))
	f.Fuzz(func(t *testing.T, text []byte) {
		preamble, sections := Split(text)
		joined := preamble
		for _, s := range sections {
			joined += s.Text
		}
		if joined != string(text) {
			t.Fatalf("split of %q gives %q", text, joined)
		}
		_, problems := Parse("f", text)
		m := Merge(text, text, text, AnyTeam, "f")
		if len(problems) > 0 {
			if len(m.Problems) == 0 {
				t.Fatalf("merge accepts %q, which has %v", text, problems)
			}
			return
		}
		if string(m.Text) != string(text) || len(m.Changed) > 0 {
			t.Fatalf("merge without changes turns %q into %q", text, m.Text)
		}
	})
}
