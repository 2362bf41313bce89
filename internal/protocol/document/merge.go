package document

import (
	"slices"
	"strings"
)

// Preamble is the section name of a conflict in the text before the first section.
const Preamble = "(before the first section)"

// AnyTeam is the team of an author who may change all sections.
const AnyTeam = ""

// inForceFile is the file name in problems of sections that the author did not edit.
const inForceFile = "document in force"

// Conflict is a section that the author and another operator both changed.
type Conflict struct {
	Section string `json:"section"`
	// Base, InForce and Edited are the section's texts in the three documents; an
	// empty one means that the section does not exist.
	Base    string `json:"base"`
	InForce string `json:"inForce"`
	Edited  string `json:"edited"`
}

// MergeResult is the result of a merge. Text is valid only if there are neither
// conflicts nor problems.
type MergeResult struct {
	Text      []byte
	Conflicts []Conflict
	Problems  []Problem
	// Changed holds the names of the sections that the author changed.
	Changed []string
}

// mergedSection is a section of the merged document and the file from which it was
// taken.
type mergedSection struct {
	Section
	file string
}

// merger merges the sections of three documents: base is the version that the author
// edited, current the one in force, and edited the author's.
type merger struct {
	// team is the author's team.
	team string
	// file is the name of the edited document in problems.
	file                                          string
	baseSections, currentSections, editedSections []Section
	base, current, edited                         map[string]Section
	result                                        MergeResult
}

// Merge applies the changes that a team made between base and edited to current, the
// document in force. Sections of other teams keep their bytes. The result is checked as
// a whole.
func Merge(base, current, edited []byte, team, file string) MergeResult {
	if problems := checkText(file, edited); len(problems) > 0 {
		return MergeResult{Problems: problems}
	}
	m := &merger{team: team, file: file}
	basePreamble, currentPreamble, editedPreamble := "", "", ""
	basePreamble, m.baseSections = Split(base)
	currentPreamble, m.currentSections = Split(current)
	editedPreamble, m.editedSections = Split(edited)
	m.base, m.current, m.edited = byName(m.baseSections), byName(m.currentSections), byName(m.editedSections)
	preamble := m.mergePreamble(basePreamble, currentPreamble, editedPreamble)
	changed := m.findChanges()
	if len(m.result.Conflicts) > 0 || len(m.result.Problems) > 0 {
		return m.result
	}
	m.render(preamble, m.arrange(changed))
	return m.result
}

// byName returns the sections by their names.
func byName(sections []Section) map[string]Section {
	m := map[string]Section{}
	for _, s := range sections {
		m[s.Name] = s
	}
	return m
}

// mergePreamble merges the text before the first section, which all teams share.
func (m *merger) mergePreamble(base, current, edited string) string {
	mark := ""
	if strings.HasPrefix(current, byteOrderMark) || len(m.currentSections) == 0 && strings.HasPrefix(edited, byteOrderMark) {
		mark = byteOrderMark
	}
	return mark + m.mergePreambleText(strings.TrimPrefix(base, byteOrderMark), strings.TrimPrefix(current, byteOrderMark),
		strings.TrimPrefix(edited, byteOrderMark))
}

// mergePreambleText returns the preamble without the byte order mark: the edited one if
// the author changed it, otherwise the one in force. It reports a conflict if both were
// changed.
func (m *merger) mergePreambleText(base, current, edited string) string {
	switch {
	case normalised(base) == normalised(edited) && len(m.currentSections) > 0:
		return current
	case normalised(base) != normalised(current) && normalised(current) != normalised(edited):
		m.result.Conflicts = append(m.result.Conflicts, Conflict{Preamble, base, current, edited})
	}
	return edited
}

// findChanges returns the sections that the author changed and may change. It reports
// conflicts and changes of other teams' sections.
func (m *merger) findChanges() map[string]bool {
	changed := map[string]bool{}
	var names []string
	for _, list := range [][]Section{m.editedSections, m.baseSections} {
		for _, s := range list {
			if !slices.Contains(names, s.Name) {
				names = append(names, s.Name)
			}
		}
	}
	for _, name := range names {
		base, edited, current := m.base[name].Text, m.edited[name].Text, m.current[name].Text
		own := m.mayChange(name)
		// Line endings and blank lines count only in sections that the author owns.
		if normalised(base) == normalised(edited) && (!own || base == edited) {
			continue
		}
		if !own {
			m.reportForeignChange(name)
			continue
		}
		contentChanged := normalised(base) != normalised(edited)
		if normalised(current) != normalised(base) && normalised(current) != normalised(edited) {
			if contentChanged {
				m.result.Conflicts = append(m.result.Conflicts, Conflict{name, base, current, edited})
			}
			continue
		}
		if current != edited {
			changed[name] = true
			m.result.Changed = append(m.result.Changed, name)
		}
	}
	return changed
}

// mayChange reports whether the author may change a section: one of the author's team,
// or one of a new team, which has no sections in the other documents yet.
func (m *merger) mayChange(name string) bool {
	team := Section{Name: name}.Team()
	if m.team == AnyTeam || m.team == team {
		return true
	}
	owned := func(s Section) bool { return s.Team() == team }
	return !slices.ContainsFunc(m.baseSections, owned) && !slices.ContainsFunc(m.currentSections, owned)
}

// reportForeignChange reports a change of another team's section.
func (m *merger) reportForeignChange(name string) {
	line := m.edited[name].Line
	team := Section{Name: name}.Team()
	what := "differs from the base version"
	if line == 0 {
		line, what = 1, "is missing"
	}
	m.result.Problems = append(m.result.Problems, Problem{File: m.file, Line: line, Section: name,
		Message: what + "; only team " + team + " may change it (team " + m.team + " applies). " +
			"Comments belong to the section that they stand directly above or below"})
}

// arrange returns the sections of the result in order: those in force with the author's
// changes, and each new section behind the one that it follows in the edited document.
// The author's sections are then put into the edited order.
func (m *merger) arrange(changed map[string]bool) []mergedSection {
	var sections []mergedSection
	for _, s := range m.currentSections {
		e, kept := m.edited[s.Name]
		switch {
		case changed[s.Name] && kept:
			sections = append(sections, mergedSection{e, m.file})
		case !changed[s.Name]:
			sections = append(sections, mergedSection{s, inForceFile})
		}
	}
	previous := ""
	for _, s := range m.editedSections {
		if _, have := m.current[s.Name]; !have && changed[s.Name] {
			at := slices.IndexFunc(sections, func(o mergedSection) bool { return o.Name == previous }) + 1
			sections = slices.Insert(sections, at, mergedSection{s, m.file})
		}
		previous = s.Name
	}
	return m.reorder(sections)
}

// reorder puts the author's sections into the edited order if the author changed it.
// They use the places that they already have, so that other sections do not move.
func (m *merger) reorder(sections []mergedSection) []mergedSection {
	commonOrder := func(list []Section, other map[string]Section) []string {
		var names []string
		for _, s := range list {
			if _, both := other[s.Name]; both && m.mayChange(s.Name) {
				names = append(names, s.Name)
			}
		}
		return names
	}
	if slices.Equal(commonOrder(m.baseSections, m.edited), commonOrder(m.editedSections, m.base)) {
		return sections
	}
	position := map[string]int{}
	for n, s := range m.editedSections {
		position[s.Name] = n
	}
	var places []int
	var own []mergedSection
	for n, o := range sections {
		if _, ok := position[o.Name]; ok && m.mayChange(o.Name) {
			places, own = append(places, n), append(own, o)
		}
	}
	slices.SortStableFunc(own, func(a, b mergedSection) int { return position[a.Name] - position[b.Name] })
	for n, place := range places {
		sections[place] = own[n]
	}
	m.result.Changed = append(m.result.Changed, "order of sections")
	return sections
}

// render joins the sections to the resulting text and checks it. The problems get the
// file and line of the section's source, so that the author can find them.
func (m *merger) render(preamble string, sections []mergedSection) {
	text := preamble
	if len(sections) > 0 {
		text = preambleWithFinalLineEnding(preamble)
	}
	starts := make([]int, len(sections))
	for n, s := range sections {
		starts[n] = strings.Count(text, "\n") + 1
		if n < len(sections)-1 {
			s.Text = withFinalLineEnding(s.Text)
		}
		text += s.Text
	}
	m.result.Text = []byte(text)
	_, problems := Parse(m.file, m.result.Text)
	hasTeam := func(s Section) bool { return strings.HasPrefix(s.Name, s.Team()+"/team/") }
	if slices.ContainsFunc(m.currentSections, hasTeam) && !slices.ContainsFunc(sections, func(o mergedSection) bool { return hasTeam(o.Section) }) {
		problems = append(problems, Problem{File: m.file, Line: 1,
			Message: "the last team is missing; without a section [TEAM/team/TEAM] no team could apply again"})
	}
	for _, p := range problems {
		for n := len(sections) - 1; n >= 0; n-- {
			if starts[n] <= p.Line {
				p.File, p.Line = sections[n].file, sections[n].Line+p.Line-starts[n]
				break
			}
		}
		m.result.Problems = append(m.result.Problems, p)
	}
}

// preambleWithFinalLineEnding is withFinalLineEnding for a preamble, to which a byte
// order mark alone counts as empty.
func preambleWithFinalLineEnding(text string) string {
	if text == byteOrderMark {
		return text
	}
	return withFinalLineEnding(text)
}
