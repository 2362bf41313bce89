package document

import (
	"strings"
)

const byteOrderMark = "\ufeff"

// Section is the text of one section: the comment lines directly above its header, the
// header, and all lines up to the comments of the next section.
type Section struct {
	Name string
	Text string
	// Line is the number of the first line in the document, from 1.
	Line int
}

// Team returns the team that owns the section, the part of the name before the first
// slash.
func (s Section) Team() string {
	team, _, _ := strings.Cut(s.Name, "/")
	return team
}

// Split returns the text before the first section and all sections. A byte order mark
// belongs to the preamble. The concatenation of all texts is the document.
func Split(text []byte) (preamble string, sections []Section) {
	lines := strings.SplitAfter(string(text), "\n")
	// comments is the number of comment lines directly above the current line.
	comments, current, start, inSection := 0, "", 1, false
	var b []string
	flush := func(next string, at int) {
		part := strings.Join(b, "")
		if !inSection {
			preamble = part
		} else {
			sections = append(sections, Section{current, part, start})
		}
		b, current, start, inSection = nil, next, at, true
	}
	for n, line := range lines {
		name, isHeader := parseHeader(strings.TrimPrefix(line, byteOrderMark))
		switch {
		case isHeader:
			above := append([]string{}, b[len(b)-comments:]...)
			b = b[:len(b)-comments]
			if n == 0 && strings.HasPrefix(line, byteOrderMark) {
				b, line = append(b, byteOrderMark), strings.TrimPrefix(line, byteOrderMark)
			}
			flush(name, n+1-comments)
			b = append(b, above...)
			b, comments = append(b, line), 0
		default:
			if isComment(line) {
				comments++
			} else {
				comments = 0
			}
			b = append(b, line)
		}
	}
	flush("", 0)
	return preamble, sections
}

// parseHeader returns the section name in a header, and whether the line is a header.
func parseHeader(line string) (string, bool) {
	line = strings.TrimSpace(line)
	if len(line) < 2 || line[0] != '[' || line[len(line)-1] != ']' {
		return "", false
	}
	return strings.TrimSpace(line[1 : len(line)-1]), true
}

// isComment reports whether a line is a comment.
func isComment(line string) bool {
	line = strings.TrimSpace(line)
	return line != "" && (line[0] == ';' || line[0] == '#')
}

// normalised returns a text without blank lines, line endings and surrounding spaces.
// Sections are compared in this form, so that a change of these is not a change of
// content.
func normalised(text string) string {
	var lines []string
	for _, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line != "" {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "\n")
}

// LineEnding returns the first line ending of a text, or a line feed if there is none.
func LineEnding(text string) string {
	if i := strings.IndexByte(text, '\n'); i > 0 && text[i-1] == '\r' {
		return "\r\n"
	}
	return "\n"
}

// withFinalLineEnding returns a text that ends with a line ending, unless it is empty.
func withFinalLineEnding(text string) string {
	if text == "" || strings.HasSuffix(text, "\n") {
		return text
	}
	return text + LineEnding(text)
}

// AppendSection returns a document with a section of the given lines added at its end.
func AppendSection(text []byte, name string, lines ...string) []byte {
	ending := LineEnding(string(text))
	b := withFinalLineEnding(string(text))
	if b != "" {
		b += ending
	}
	for _, line := range append([]string{"[" + name + "]"}, lines...) {
		b += line + ending
	}
	return []byte(b)
}

// SetKey returns a document in which a key of a section has the given value. It
// reports whether the section exists.
func SetKey(text []byte, name, key, value string) ([]byte, bool) {
	preamble, sections := Split(text)
	found := false
	b := preamble
	for _, s := range sections {
		if s.Name == name {
			s.Text, found = setKey(s.Text, key, value), true
		}
		b += s.Text
	}
	return []byte(b), found
}

// setKey replaces the assignment of a key in the text of a section, or adds one below
// the header.
func setKey(text, key, value string) string {
	ending := LineEnding(text)
	assignment := key + " = " + value + ending
	lines := strings.SplitAfter(withFinalLineEnding(text), "\n")
	for n, line := range lines {
		if name, _, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == key && !isComment(line) {
			lines[n] = assignment
			return strings.Join(lines, "")
		}
	}
	for n, line := range lines {
		if _, ok := parseHeader(line); ok {
			lines[n] += assignment
			break
		}
	}
	return strings.Join(lines, "")
}
