package document

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"
)

// sourceLine is a header or an assignment with its line number, which the INI library
// does not keep.
type sourceLine struct {
	section, key, value string
	// number is counted from 1.
	number int
}

// scanLines returns the headers, the assignments, and the lines that are neither of
// them nor comments. A header has an empty key; a line that is neither has an empty
// key and the text as its value.
func scanLines(text string) []sourceLine {
	var found []sourceLine
	section := ""
	for n, l := range strings.Split(strings.TrimPrefix(text, byteOrderMark), "\n") {
		l = strings.TrimSpace(l)
		if l == "" || isComment(l) {
			continue
		}
		if name, ok := parseHeader(l); ok {
			section = name
			found = append(found, sourceLine{section, "", "", n + 1})
			continue
		}
		key, value, ok := strings.Cut(l, "=")
		if !ok {
			key, value = "", l
		}
		found = append(found, sourceLine{section, strings.TrimSpace(key), strings.TrimSpace(value), n + 1})
	}
	return found
}

// checkText reports the problems that checkLines finds in a document.
func checkText(file string, text []byte) []Problem {
	whole := string(text)
	return checkLines(file, whole, scanLines(whole))
}

// checkLines reports text that the INI library would read differently from how it
// looks: sections and keys given twice, of which the library keeps the last value,
// quoted values over several lines, lines that are neither header, assignment nor
// comment, and lines with control characters or invalid UTF-8.
func checkLines(file, text string, lines []sourceLine) []Problem {
	var problems []Problem
	add := func(l sourceLine, format string, args ...any) {
		problems = append(problems, Problem{File: file, Line: l.number, Section: l.section, Key: l.key, Message: fmt.Sprintf(format, args...)})
	}
	for n, l := range strings.Split(strings.TrimPrefix(text, byteOrderMark), "\n") {
		l = strings.TrimSuffix(l, "\r")
		if !utf8.ValidString(l) || strings.ContainsFunc(l, func(c rune) bool { return unicode.IsControl(c) && c != '\t' || c == '\ufeff' }) {
			add(sourceLine{number: n + 1}, "the line holds a control character or is not UTF-8")
		}
	}
	type name struct{ section, key string }
	seen := map[name]int{}
	for _, l := range lines {
		if l.key == "" && l.value != "" || l.key != "" && !validKey(l.key) {
			add(sourceLine{l.section, "", "", l.number}, "the line is neither [TEAM/KIND/NAME], KEY = VALUE nor a comment on its own line")
			continue
		}
		if strings.HasPrefix(l.value, "`") || strings.HasPrefix(l.value, `"""`) {
			add(l, "a value must not begin with ` or \"\"\", which start a quotation over several lines")
		}
		k := name{l.section, l.key}
		if first, ok := seen[k]; ok {
			what := "key"
			if l.key == "" {
				what = "section"
			}
			add(l, "%s given twice, first in line %d", what, first)
			continue
		}
		seen[k] = l.number
	}
	return problems
}

// validKey reports whether a key has only ASCII letters and digits.
func validKey(key string) bool {
	for _, c := range key {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}

// checkTeams reports sections of teams that have no operator key, and keys that two
// teams share. A document without any team section belongs to the bootstrap key.
func (b *builder) checkTeams() {
	c := b.snapshot
	if len(c.Teams) == 0 {
		return
	}
	reported := map[string]bool{}
	for _, section := range b.definedIn {
		team := Section{Name: section}.Team()
		if _, ok := c.Teams[team]; !ok && !reported[team] {
			reported[team] = true
			b.p.addProblem(section, "", fmt.Sprintf("team %q has no section [%s/team/%s]", team, team, team))
		}
	}
	owners := map[[32]byte]string{}
	for name, t := range c.Teams {
		if other, ok := owners[t.OperatorKeyHash]; ok {
			b.p.addProblem(b.definedIn["team/"+name], "operatorKeyHash", fmt.Sprintf("is the same as that of team %q", other))
		}
		owners[t.OperatorKeyHash] = name
	}
}

// checkUnique reports server addresses, routes and client blocks that occur twice.
func (b *builder) checkUnique() {
	c := b.snapshot
	type use struct{ kind, key, value string }
	first := map[use]string{}
	checkOnce := func(kind, name, key, value string) {
		u := use{kind, key, value}
		if other, ok := first[u]; ok {
			b.reportDuplicate(kind, name, key, value, other)
			return
		}
		first[u] = name
	}
	for _, v := range c.Servers {
		checkOnce("server", v.Name, "address", v.Address)
	}
	for _, r := range c.Routes {
		for _, m := range r.Methods {
			checkOnce("route", r.Name, "path", m+" "+r.Path)
		}
	}
	b.checkBlocks()
}

// reportDuplicate reports a value that another section of the kind already uses.
func (b *builder) reportDuplicate(kind, name, key, value, other string) {
	b.p.addProblem(b.definedIn[kind+"/"+name], key, fmt.Sprintf("%s is already used by %s %q", value, kind, other))
}

// checkBlocks reports client blocks that occur twice. It sorts positions instead of
// using a map, since a map with the text of 470,000 blocks took a third of the memory
// for parsing.
func (b *builder) checkBlocks() {
	type position struct{ list, block int32 }
	clients, total := b.snapshot.Clients, 0
	for l := range clients {
		total += len(clients[l].Blocks)
	}
	all := make([]position, 0, total)
	for l := range clients {
		for n := range clients[l].Blocks {
			all = append(all, position{int32(l), int32(n)})
		}
	}
	block := func(p position) netip.Prefix { return clients[p.list].Blocks[p.block] }
	slices.SortFunc(all, func(x, y position) int {
		a, b := block(x), block(y)
		if order := a.Addr().Compare(b.Addr()); order != 0 {
			return order
		}
		return cmp.Or(cmp.Compare(a.Bits(), b.Bits()), cmp.Compare(x.list, y.list), cmp.Compare(x.block, y.block))
	})
	first := 0
	for n := 1; n < len(all); n++ {
		if block(all[n]) != block(all[first]) {
			first = n
			continue
		}
		b.reportDuplicate("clients", clients[all[n].list].Name, "blocks", block(all[n]).String(), clients[all[first].list].Name)
	}
}
