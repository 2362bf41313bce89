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

// line is a header or an assignment; the INI library keeps no line numbers.
type line struct {
	section, key, value string
	line                int
}

// scanLines returns the headers, with an empty key, and the assignments.
func scanLines(text string) []line {
	var found []line
	section := ""
	for n, l := range strings.Split(strings.TrimPrefix(text, byteOrderMark), "\n") {
		l = strings.TrimSpace(l)
		if l == "" || comment(l) {
			continue
		}
		if name, ok := header(l); ok {
			section = name
			found = append(found, line{section, "", "", n + 1})
			continue
		}
		key, value, ok := strings.Cut(l, "=")
		if !ok {
			// An empty key with a value is neither header nor assignment.
			key, value = "", l
		}
		found = append(found, line{section, strings.TrimSpace(key), strings.TrimSpace(value), n + 1})
	}
	return found
}

func checkText(file string, text []byte) []Problem {
	whole := string(text)
	return checkLines(file, whole, scanLines(whole))
}

// checkLines reports what the INI library would read in another way than it
// looks: sections and keys given twice, of which it keeps the last value,
// quoted values over several lines, and lines that are neither header,
// assignment nor comment.
func checkLines(file, text string, lines []line) []Problem {
	var problems []Problem
	add := func(l line, format string, args ...any) {
		problems = append(problems, Problem{File: file, Line: l.line, Section: l.section, Key: l.key, Message: fmt.Sprintf(format, args...)})
	}
	for n, l := range strings.Split(strings.TrimPrefix(text, byteOrderMark), "\n") {
		l = strings.TrimSuffix(l, "\r")
		if !utf8.ValidString(l) || strings.ContainsFunc(l, func(c rune) bool { return unicode.IsControl(c) && c != '\t' || c == '\ufeff' }) {
			add(line{line: n + 1}, "the line holds a control character or is not UTF-8")
		}
	}
	type name struct{ section, key string }
	seen := map[name]int{}
	for _, l := range lines {
		if l.key == "" && l.value != "" || l.key != "" && !validKey(l.key) {
			add(line{l.section, "", "", l.line}, "the line is neither [TEAM/KIND/NAME], KEY = VALUE nor a comment on its own line")
			continue
		}
		if strings.HasPrefix(l.value, "`") || strings.HasPrefix(l.value, `"""`) {
			add(l, "a value must not begin with a quotation over several lines")
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
		seen[k] = l.line
	}
	return problems
}

func validKey(key string) bool {
	for _, c := range key {
		if (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}

// checkTeams reports teams that nobody could act for. A document without any
// team belongs to the bootstrap key.
func (b *builder) checkTeams() {
	c := b.snapshot
	if len(c.Teams) == 0 {
		return
	}
	reported := map[string]bool{}
	for _, section := range b.taken {
		team := Section{Name: section}.Team()
		if _, ok := c.Teams[team]; !ok && !reported[team] {
			reported[team] = true
			b.p.add(section, "", fmt.Sprintf("team %q has no section [%s/team/%s]", team, team, team))
		}
	}
	owners := map[[32]byte]string{}
	for name, t := range c.Teams {
		if other, ok := owners[t.OperatorKeyHash]; ok {
			b.p.add(b.taken["team/"+name], "operatorKeyHash", fmt.Sprintf("is the same as that of team %q", other))
		}
		owners[t.OperatorKeyHash] = name
	}
}

// checkUnique reports values that must not occur twice.
func (b *builder) checkUnique() {
	c := b.snapshot
	type use struct{ kind, key, value string }
	first := map[use]string{}
	once := func(kind, name, key, value string) {
		u := use{kind, key, value}
		if other, ok := first[u]; ok {
			b.usedTwice(kind, name, key, value, other)
			return
		}
		first[u] = name
	}
	for _, v := range c.Servers {
		once("server", v.Name, "address", v.Address)
	}
	for _, r := range c.Routes {
		for _, m := range r.Methods {
			once("route", r.Name, "path", m+" "+r.Path)
		}
	}
	b.checkBlocks()
}

func (b *builder) usedTwice(kind, name, key, value, other string) {
	b.p.add(b.taken[kind+"/"+name], key, fmt.Sprintf("%s is already used by %s %q", value, kind, other))
}

// checkBlocks reports client blocks that occur twice. It sorts positions, since
// a map with the text of 470,000 blocks took a third of the memory of parsing.
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
		b.usedTwice("clients", clients[all[n].list].Name, "blocks", block(all[n]).String(), clients[all[first].list].Name)
	}
}
