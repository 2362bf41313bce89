package document

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func teamSection(team string) string {
	return fmt.Sprintf("[%s/team/%s]\noperatorKeyHash = %s\n", team, team, strings.Repeat(fmt.Sprintf("%02x", team[0]), 32))
}

func organisation(team, name string, rate int) string {
	return fmt.Sprintf("[%s/organisation/%s]\nrate = %d\nburst = 10\n", team, name, rate)
}

// twoTeams is a document with sections of the teams a and b.
var twoTeams = "; shared\n\n" + teamSection("a") + "\n; first of a\n" + organisation("a", "a1", 1) + "\n" +
	teamSection("b") + organisation("b", "b1", 1) + "# below b1\n\n" + organisation("a", "a2", 1)

func replace(text string, pairs ...string) string {
	return strings.NewReplacer(pairs...).Replace(text)
}

// Guards against a merge that loses a change, lets a team change another team's
// sections, or rewrites comments, order, line endings or the byte order mark.
func TestMerge(t *testing.T) {
	a1Faster := replace(twoTeams, organisation("a", "a1", 1), organisation("a", "a1", 5))
	b1Faster := replace(twoTeams, organisation("b", "b1", 1), organisation("b", "b1", 7))
	both := replace(a1Faster, organisation("b", "b1", 1), organisation("b", "b1", 7))
	crlf := func(s string) string { return strings.ReplaceAll(s, "\n", "\r\n") }
	for name, c := range map[string]struct {
		current, edited, team string
		want                  string
		conflicts             []string
		problem               string
	}{
		"nothing":                       {twoTeams, twoTeams, "a", twoTeams, nil, ""},
		"own change":                    {twoTeams, a1Faster, "a", a1Faster, nil, ""},
		"both teams":                    {b1Faster, a1Faster, "a", both, nil, ""},
		"both teams in the other order": {a1Faster, b1Faster, "b", both, nil, ""},
		"same change twice":             {a1Faster, a1Faster, "a", a1Faster, nil, ""},
		"conflict": {a1Faster, replace(twoTeams, organisation("a", "a1", 1), organisation("a", "a1", 6)), "a", "",
			[]string{"a/organisation/a1"}, ""},
		"conflict with a removal": {replace(twoTeams, organisation("a", "a2", 1), ""), replace(twoTeams,
			organisation("a", "a2", 1), organisation("a", "a2", 2)), "a", "", []string{"a/organisation/a2"}, ""},
		"removal against a change": {a1Faster, replace(twoTeams, organisation("a", "a1", 1), ""), "a", "",
			[]string{"a/organisation/a1"}, ""},
		"other team's section": {twoTeams, b1Faster, "a", "", nil, "only team b may change it"},
		"other team's section missing": {twoTeams, replace(twoTeams, organisation("b", "b1", 1)+"# below b1\n\n", ""), "a", "", nil,
			"is missing; only team b may change it"},
		"new section of another team": {twoTeams, twoTeams + organisation("b", "b9", 1), "a", "", nil, "only team b may change it"},
		"key of another team": {twoTeams, replace(twoTeams, teamSection("b"),
			replace(teamSection("b"), "6262", "6363")), "a", "", nil, "only team b may change it"},
		"last team removed": {twoTeams, "", AnyTeam, "", nil, "the last team is missing"},
		"new team":          {twoTeams, twoTeams + teamSection("c"), "a", twoTeams + teamSection("c"), nil, ""},
		"comment of the own section": {b1Faster, replace(twoTeams, "; first of a", "; first of a, renamed"), "a",
			replace(b1Faster, "; first of a", "; first of a, renamed"), nil, ""},
		"line endings of the editor": {b1Faster, crlf(a1Faster), "a", "; shared\n\n" + crlf(teamSection("a")+"\n; first of a\n"+
			organisation("a", "a1", 5)+"\n") + teamSection("b") + organisation("b", "b1", 7) + "# below b1\n\n" +
			crlf(organisation("a", "a2", 1)), nil, ""},
		"byte order mark in force":      {"\ufeff" + b1Faster, a1Faster, "a", "\ufeff" + both, nil, ""},
		"byte order mark of the editor": {b1Faster, "\ufeff" + a1Faster, "a", both, nil, ""},
		"new section in its place": {b1Faster, replace(twoTeams, "\n; first of a", "\n"+organisation("a", "a0", 1)+"; first of a"), "a",
			replace(b1Faster, "\n; first of a", "\n"+organisation("a", "a0", 1)+"; first of a"), nil, ""},
		"new order": {b1Faster, replace(twoTeams, "; first of a\n"+organisation("a", "a1", 1)+"\n", organisation("a", "a2", 1),
			organisation("a", "a2", 1), "; first of a\n"+organisation("a", "a1", 1)+"\n"), "a",
			replace(b1Faster, "; first of a\n"+organisation("a", "a1", 1)+"\n", organisation("a", "a2", 1),
				organisation("a", "a2", 1), "; first of a\n"+organisation("a", "a1", 1)+"\n"), nil, ""},
		"no line ending at the end": {b1Faster, strings.TrimSuffix(twoTeams, "\n") + "\n[a/organisation/a3]\nrate = 1\nburst = 1", "a",
			b1Faster + "[a/organisation/a3]\nrate = 1\nburst = 1", nil, ""},
		"undefined reference": {b1Faster, twoTeams + "[a/key/k]\norganisation = gone\nhash = " + strings.Repeat("ab", 32) + "\n", "a", "", nil,
			`edited.ini:22: [a/key/k] organisation = "gone"`},
	} {
		t.Run(name, func(t *testing.T) {
			m := Merge([]byte(twoTeams), []byte(c.current), []byte(c.edited), c.team, "edited.ini")
			var conflicts []string
			for _, k := range m.Conflicts {
				conflicts = append(conflicts, k.Section)
			}
			if diff := cmp.Diff(c.conflicts, conflicts); diff != "" {
				t.Errorf("conflicts (-want +got):\n%s", diff)
			}
			if c.problem != "" {
				if len(m.Problems) != 1 || !strings.Contains(m.Problems[0].String(), c.problem) {
					t.Errorf("problems %v, want one with %q", m.Problems, c.problem)
				}
				return
			}
			if diff := cmp.Diff([]Problem(nil), m.Problems); diff != "" {
				t.Errorf("problems (-want +got):\n%s", diff)
			}
			if c.conflicts == nil {
				if diff := cmp.Diff(c.want, string(m.Text)); diff != "" {
					t.Errorf("text (-want +got):\n%s", diff)
				}
			}
		})
	}
}

// Guards against a first document that is not stored byte for byte.
func TestMergeOfTheFirstDocument(t *testing.T) {
	text := "\ufeff" + strings.ReplaceAll(twoTeams, "\n", "\r\n")
	m := Merge(nil, nil, []byte(text), AnyTeam, "f")
	if diff := cmp.Diff(text, string(m.Text)); diff != "" || len(m.Problems) > 0 {
		t.Errorf("problems %v, text (-want +got):\n%s", m.Problems, diff)
	}
}

// Guards against a split that loses bytes.
func TestSplitKeepsAllBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOf(rapid.SampledFrom([]string{"[a/b/c]", "[d]", "; x", "#", "\n", "\r\n", " ", "a = b", "\ufeff", "]", "["}))
		text := strings.Join(parts.Draw(t, "parts"), "")
		preamble, sections := Split([]byte(text))
		joined := preamble
		for _, s := range sections {
			joined += s.Text
		}
		if diff := cmp.Diff(text, joined); diff != "" {
			t.Errorf("text (-want +got):\n%s", diff)
		}
	})
}

// Guards against a result that depends on which of two teams applies its changes first,
// and against a merge that alters sections that a team did not change.
func TestMergesOfTwoTeamsCommute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		edit := func(team, label string) string {
			var b strings.Builder
			preamble, sections := Split([]byte(twoTeams))
			b.WriteString(preamble)
			for _, s := range sections {
				if s.Team() == team && strings.Contains(s.Name, "organisation") {
					switch rapid.IntRange(0, 3).Draw(t, label+s.Name) {
					case 0:
						continue
					case 1:
						s.Text = strings.Replace(s.Text, "rate = 1\n", fmt.Sprintf("rate = %d\n", rapid.IntRange(2, 9).Draw(t, label+"rate")), 1)
					case 2:
						s.Text += "; note\n" + organisation(team, team+"new"+s.Name[len(s.Name)-1:], 3)
					}
				}
				b.WriteString(s.Text)
			}
			return b.String()
		}
		byA, byB := edit("a", "a"), edit("b", "b")
		merge := func(current, edited, team string) string {
			m := Merge([]byte(twoTeams), []byte(current), []byte(edited), team, "f")
			if len(m.Conflicts) > 0 || len(m.Problems) > 0 {
				t.Fatalf("conflicts %v, problems %v, want none", m.Conflicts, m.Problems)
			}
			return string(m.Text)
		}
		ab, ba := merge(byA, byB, "b"), merge(byB, byA, "a")
		sections := func(text, team string) []string {
			var own []string
			_, all := Split([]byte(text))
			for _, s := range all {
				if s.Team() == team {
					own = append(own, s.Text)
				}
			}
			slices.Sort(own)
			return own
		}
		for team, edited := range map[string]string{"a": byA, "b": byB} {
			want := sections(edited, team)
			if diff := cmp.Diff(want, sections(ab, team)); diff != "" {
				t.Errorf("team %s, a first (-want +got):\n%s", team, diff)
			}
			if diff := cmp.Diff(want, sections(ba, team)); diff != "" {
				t.Errorf("team %s, b first (-want +got):\n%s", team, diff)
			}
		}
	})
}
