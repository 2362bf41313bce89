package secret

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// Guards against a key that is not found because some of its characters have URL escapes,
// even repeated ones, or because of the characters next to it.
func TestFindsEscapedKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.StringMatching(`[A-Za-z0-9_-]{8,40}`).Draw(t, "key")
		hidden := key
		for range rapid.IntRange(0, maxUnescapeRounds-1).Draw(t, "rounds") {
			var b strings.Builder
			for _, c := range []byte(hidden) {
				if c == '%' || rapid.Bool().Draw(t, "escape") {
					fmt.Fprintf(&b, "%%%02X", c)
				} else {
					b.WriteByte(c)
				}
			}
			hidden = b.String()
		}
		text := rapid.SampledFrom([]string{"", "a=", "x/", "(", "a b;", `"`, "%zz&", "k:"}).Draw(t, "before") + hidden +
			rapid.SampledFrom([]string{"", "&b=c", "/x", ")", ";", `"`, "%", "=="}).Draw(t, "after")
		none := func(string) bool { return false }
		if !(Finder{Presented: key, Known: none}).In(text) {
			t.Errorf("presented key %q is not found in %q", key, text)
		}
		if !(Finder{Known: func(word string) bool { return word == key }}).In(text) {
			t.Errorf("known key %q is not found in %q", key, text)
		}
		if (Finder{Known: none}).In(text) {
			t.Errorf("a key is found in %q, where none is known", text)
		}
	})
}
