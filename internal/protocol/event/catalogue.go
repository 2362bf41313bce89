package event

import (
	"fmt"
	"strings"
)

const catalogueHead = `# Events

Every refusal, retry, shift, ejection and change of shares is a numbered event. Instances log events and
keep the latest 16,384 for ` + "`tamarackrun explain`" + `. This page is written by ` + "`make events`" + ` from the catalogue in
internal/protocol/event; a test compares both.

| Event | Name | Level | Meaning |
|---|---|---|---|
`

// Markdown returns the content of the page docs/events.md.
func Markdown() string {
	var b strings.Builder
	b.WriteString(catalogueHead)
	for _, d := range Catalogue {
		fmt.Fprintf(&b, "| TR%d | %s | %s | %s |\n", d.ID, d.Name, d.Level, d.Meaning)
	}
	return b.String()
}
