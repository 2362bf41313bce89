package document

import (
	"strings"
)

const byteOrderMark = "\ufeff"

// Section is the text of one section: the comment lines directly above its
// header, the header, and everything up to the comments of the next section.
type Section struct {
	Name string
	Text string
	// Line is the number of the first line in its document.
	Line int
}

// Team returns the part of the name before the first slash.
func (s Section) Team() string {
	team, _, _ := strings.Cut(s.Name, "/")
	return team
}

// Split returns the text before the first section and all sections.
// A byte order mark belongs to the preamble. Nothing is lost: the concatenation
// of all texts is the document.
func Split(text []byte) (preamble string, sections []Section) {
	lines := strings.SplitAfter(string(text), "\n")
	// comments is the number of comment lines directly above the present one.
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
		name, isHeader := header(strings.TrimPrefix(line, byteOrderMark))
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
			if comment(line) {
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

// header returns the name of the section that a line begins.
func header(line string) (string, bool) {
	line = strings.TrimSpace(line)
	if len(line) < 2 || line[0] != '[' || line[len(line)-1] != ']' {
		return "", false
	}
	return strings.TrimSpace(line[1 : len(line)-1]), true
}

func comment(line string) bool {
	line = strings.TrimSpace(line)
	return line != "" && (line[0] == ';' || line[0] == '#')
}

// canonical is the form in which sections are compared: a change of line
// endings or blank lines is no change of content.
func canonical(text string) string {
	var lines []string
	for _, line := range strings.Split(text, "\n") {
		if line = strings.TrimSpace(line); line != "" {
			lines = append(lines, line)
		}
	}
	return strings.Join(lines, "\n")
}

// LineEnding returns the line ending that a text uses first.
func LineEnding(text string) string {
	if i := strings.IndexByte(text, '\n'); i > 0 && text[i-1] == '\r' {
		return "\r\n"
	}
	return "\n"
}

// terminated returns the text with a line ending at its end.
func terminated(text string) string {
	if text == "" || strings.HasSuffix(text, "\n") {
		return text
	}
	return text + LineEnding(text)
}

// AppendSection adds a section with the lines at the end of a document.
func AppendSection(text []byte, name string, lines ...string) []byte {
	ending := LineEnding(string(text))
	b := terminated(string(text))
	if b != "" {
		b += ending
	}
	for _, line := range append([]string{"[" + name + "]"}, lines...) {
		b += line + ending
	}
	return []byte(b)
}

// SetKey gives a key of a section a value. It says whether the section exists.
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

func setKey(text, key, value string) string {
	ending := LineEnding(text)
	assignment := key + " = " + value + ending
	lines := strings.SplitAfter(terminated(text), "\n")
	for n, line := range lines {
		if name, _, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == key && !comment(line) {
			lines[n] = assignment
			return strings.Join(lines, "")
		}
	}
	for n, line := range lines {
		if _, ok := header(line); ok {
			lines[n] += assignment
			break
		}
	}
	return strings.Join(lines, "")
}
