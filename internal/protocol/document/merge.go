package document

import (
	"slices"
	"strings"
)

// Preamble is the name under which conflicts report the text before the first
// section.
const Preamble = "(before the first section)"

// AnyTeam lets the author of a merge change all sections.
const AnyTeam = ""

// inForce stands for the file of sections that the author did not edit.
const inForce = "document in force"

// Conflict is a section that the author and another operator both changed.
type Conflict struct {
	Section string `json:"section"`
	// Base, InForce and Edited are the section's texts; an empty one means
	// that the section does not exist.
	Base    string `json:"base"`
	InForce string `json:"inForce"`
	Edited  string `json:"edited"`
}

// Merged is the result of a merge. The text is valid only if there are neither
// conflicts nor problems.
type Merged struct {
	Text      []byte
	Conflicts []Conflict
	Problems  []Problem
	// Changed are the names of the sections that the author changed.
	Changed []string
}

// origin is a section of the merged document with the file it came from.
type origin struct {
	Section
	file string
}

// merger holds the three documents of a merge, by section.
type merger struct {
	team                                   string
	file                                   string
	baseSections, currentSections, editedS []Section
	base, current, edited                  map[string]Section
	merged                                 Merged
}

// Merge applies the changes that a team made from base to edited to the
// document in force. Sections of other teams keep the bytes that are in force.
// The result is checked as a whole.
func Merge(base, current, edited []byte, team, file string) Merged {
	if problems := checkText(file, edited); len(problems) > 0 {
		return Merged{Problems: problems}
	}
	g := &merger{team: team, file: file}
	basePreamble, currentPreamble, editedPreamble := "", "", ""
	basePreamble, g.baseSections = Split(base)
	currentPreamble, g.currentSections = Split(current)
	editedPreamble, g.editedS = Split(edited)
	g.base, g.current, g.edited = byName(g.baseSections), byName(g.currentSections), byName(g.editedS)
	preamble := g.preamble(basePreamble, currentPreamble, editedPreamble)
	changed := g.changes()
	if len(g.merged.Conflicts) > 0 || len(g.merged.Problems) > 0 {
		return g.merged
	}
	g.render(preamble, g.arrange(changed))
	return g.merged
}

func byName(sections []Section) map[string]Section {
	m := map[string]Section{}
	for _, s := range sections {
		m[s.Name] = s
	}
	return m
}

// preamble merges the text before the first section, which all teams share.
func (g *merger) preamble(base, current, edited string) string {
	mark := ""
	if strings.HasPrefix(current, byteOrderMark) || len(g.currentSections) == 0 && strings.HasPrefix(edited, byteOrderMark) {
		mark = byteOrderMark
	}
	return mark + g.sharedComments(strings.TrimPrefix(base, byteOrderMark), strings.TrimPrefix(current, byteOrderMark),
		strings.TrimPrefix(edited, byteOrderMark))
}

func (g *merger) sharedComments(base, current, edited string) string {
	switch {
	case canonical(base) == canonical(edited) && len(g.currentSections) > 0:
		return current
	case canonical(base) != canonical(current) && canonical(current) != canonical(edited):
		g.merged.Conflicts = append(g.merged.Conflicts, Conflict{Preamble, base, current, edited})
	}
	return edited
}

// changes returns the sections that the author may change and did change, and
// notes conflicts.
func (g *merger) changes() map[string]bool {
	changed := map[string]bool{}
	var names []string
	for _, list := range [][]Section{g.editedS, g.baseSections} {
		for _, s := range list {
			if !slices.Contains(names, s.Name) {
				names = append(names, s.Name)
			}
		}
	}
	for _, name := range names {
		base, edited, current := g.base[name].Text, g.edited[name].Text, g.current[name].Text
		own := g.mayChange(name)
		if canonical(base) == canonical(edited) && (!own || base == edited) {
			continue
		}
		if !own {
			g.refuse(name)
			continue
		}
		contentChanged := canonical(base) != canonical(edited)
		if canonical(current) != canonical(base) && canonical(current) != canonical(edited) {
			if contentChanged {
				g.merged.Conflicts = append(g.merged.Conflicts, Conflict{name, base, current, edited})
			}
			continue
		}
		if current != edited {
			changed[name] = true
			g.merged.Changed = append(g.merged.Changed, name)
		}
	}
	return changed
}

// mayChange says whether the author may change a section: its own, and those of
// a new team, which nobody owns yet.
func (g *merger) mayChange(name string) bool {
	team := Section{Name: name}.Team()
	if g.team == AnyTeam || g.team == team {
		return true
	}
	owned := func(s Section) bool { return s.Team() == team }
	return !slices.ContainsFunc(g.baseSections, owned) && !slices.ContainsFunc(g.currentSections, owned)
}

func (g *merger) refuse(name string) {
	line := g.edited[name].Line
	team := Section{Name: name}.Team()
	what := "differs from the base version"
	if line == 0 {
		line, what = 1, "is missing"
	}
	g.merged.Problems = append(g.merged.Problems, Problem{File: g.file, Line: line, Section: name,
		Message: what + "; only team " + team + " may change it (team " + g.team + " applies). " +
			"Comments belong to the section that they stand directly above or below"})
}

// arrange returns the sections of the result in order: those in force with the
// author's changes, new ones behind the section that they follow in the edited
// document, and the author's own in the edited order.
func (g *merger) arrange(changed map[string]bool) []origin {
	var result []origin
	for _, s := range g.currentSections {
		e, kept := g.edited[s.Name]
		switch {
		case changed[s.Name] && kept:
			result = append(result, origin{e, g.file})
		case !changed[s.Name]:
			result = append(result, origin{s, inForce})
		}
	}
	previous := ""
	for _, s := range g.editedS {
		if _, have := g.current[s.Name]; !have && changed[s.Name] {
			at := slices.IndexFunc(result, func(o origin) bool { return o.Name == previous }) + 1
			result = slices.Insert(result, at, origin{s, g.file})
		}
		previous = s.Name
	}
	return g.reorder(result)
}

// reorder puts the author's sections into the edited order if the author
// changed their order, using the places that these sections have.
func (g *merger) reorder(result []origin) []origin {
	order := func(sections []Section, other map[string]Section) []string {
		var names []string
		for _, s := range sections {
			if _, both := other[s.Name]; both && g.mayChange(s.Name) {
				names = append(names, s.Name)
			}
		}
		return names
	}
	if slices.Equal(order(g.baseSections, g.edited), order(g.editedS, g.base)) {
		return result
	}
	position := map[string]int{}
	for n, s := range g.editedS {
		position[s.Name] = n
	}
	var places []int
	var own []origin
	for n, o := range result {
		if _, ok := position[o.Name]; ok && g.mayChange(o.Name) {
			places, own = append(places, n), append(own, o)
		}
	}
	slices.SortStableFunc(own, func(a, b origin) int { return position[a.Name] - position[b.Name] })
	for n, place := range places {
		result[place] = own[n]
	}
	g.merged.Changed = append(g.merged.Changed, "order of sections")
	return result
}

// render writes the result, checks it and names the places of its problems in
// the files that the author knows.
func (g *merger) render(preamble string, sections []origin) {
	text := preamble
	if len(sections) > 0 {
		text = terminatedPreamble(preamble)
	}
	starts := make([]int, len(sections))
	for n, s := range sections {
		starts[n] = strings.Count(text, "\n") + 1
		if n < len(sections)-1 {
			s.Text = terminated(s.Text)
		}
		text += s.Text
	}
	g.merged.Text = []byte(text)
	_, problems := Parse(g.file, g.merged.Text)
	hasTeam := func(s Section) bool { return strings.HasPrefix(s.Name, s.Team()+"/team/") }
	if slices.ContainsFunc(g.currentSections, hasTeam) && !slices.ContainsFunc(sections, func(o origin) bool { return hasTeam(o.Section) }) {
		problems = append(problems, Problem{File: g.file, Line: 1,
			Message: "the last team is missing; without a section [TEAM/team/TEAM] no team could apply again"})
	}
	for _, p := range problems {
		for n := len(sections) - 1; n >= 0; n-- {
			if starts[n] <= p.Line {
				p.File, p.Line = sections[n].file, sections[n].Line+p.Line-starts[n]
				break
			}
		}
		g.merged.Problems = append(g.merged.Problems, p)
	}
}

func terminatedPreamble(text string) string {
	if text == byteOrderMark {
		return text
	}
	return terminated(text)
}
