// Package secret finds callers' keys in parts of a request where they must not
// be.
package secret

import (
	"encoding/base64"
	"strings"
)

// maxRounds bounds the repeated decoding of URL escapes.
const maxRounds = 4

// maxBase64 bounds base64 inside base64: a second level made the check of a header
// of 29 KiB take 33 ms.
const maxBase64 = 1

// minRun is the length from which runs are decoded: keys are 52 characters, of
// which base64 makes 70. Decoding shorter runs made the check of a request six
// times slower.
const minRun = 64

// base64Group is the number of characters that base64 decodes together.
const base64Group = 4

// minLength is the length from which words are taken for keys that did not come
// with the request. Keys are 52 characters; hashing every short word took more
// than half of the time of a check.
const minLength = 8

// Finder looks for the key that came with a request and for all keys whose
// hashes are known.
type Finder struct {
	// Presented is the key that came with the request, or empty.
	Presented string
	// Known says whether a word is a key, by its hash.
	Known func(word string) bool
}

// In says whether the text holds a key, as it stands, with URL escapes or in
// base64 such as that of Basic authorisation.
func (f Finder) In(text string) bool { return f.inDepth(text, maxBase64) }

func (f Finder) inDepth(text string, depth int) bool {
	for range maxRounds {
		if f.inPlain(text) || depth > 0 && f.inBase64(text, depth-1) {
			return true
		}
		decoded := unescape(text)
		if decoded == text {
			return false
		}
		text = decoded
	}
	// A text that still has escapes after all rounds is refused, since a
	// server could decode it further. What base64 gave may be anything.
	return depth == maxBase64
}

func (f Finder) inPlain(text string) bool {
	if f.Presented != "" && strings.Contains(text, f.Presented) {
		return true
	}
	// The whole text covers keys that hold separators.
	if f.known(text) {
		return true
	}
	for _, part := range strings.FieldsFunc(text, func(c rune) bool { return strings.ContainsRune("&;,= \t\"", c) }) {
		if part != text && f.known(part) || f.anyWord(part) {
			return true
		}
	}
	return false
}

// inBase64 decodes all runs of both alphabets. A run may begin with other text,
// such as a path's /, so that each of the four positions is tried.
func (f Finder) inBase64(text string, depth int) bool {
	for _, alphabet := range []struct {
		extra    string
		encoding *base64.Encoding
	}{{"+/", base64.RawStdEncoding}, {"-_", base64.RawURLEncoding}} {
		runs := strings.FieldsFunc(text, func(c rune) bool {
			return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && !strings.ContainsRune(alphabet.extra, c)
		})
		for _, run := range runs {
			for start := 0; start < base64Group && len(run)-start >= minRun; start++ {
				part := run[start:]
				if len(part)%base64Group == 1 {
					part = part[:len(part)-1]
				}
				decoded, err := alphabet.encoding.DecodeString(part)
				if err == nil && f.inDepth(string(decoded), depth) {
					return true
				}
			}
		}
	}
	return false
}

func (f Finder) known(word string) bool { return len(word) >= minLength && f.Known(word) }

func (f Finder) anyWord(part string) bool {
	if len(part) < minLength {
		return false
	}
	words := strings.FieldsFunc(part, func(c rune) bool {
		return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_'
	})
	for _, w := range words {
		if w != part && f.known(w) {
			return true
		}
	}
	return false
}

// unescape decodes %XX once and leaves everything else, so that malformed
// escapes do not hide the well-formed ones beside them.
func unescape(text string) string {
	if !strings.Contains(text, "%") {
		return text
	}
	var b strings.Builder
	for i := 0; i < len(text); i++ {
		if text[i] == '%' && i+2 < len(text) {
			high, low := hexDigit(text[i+1]), hexDigit(text[i+2])
			if high >= 0 && low >= 0 {
				b.WriteByte(byte(high<<4 | low))
				i += 2
				continue
			}
		}
		b.WriteByte(text[i])
	}
	return b.String()
}

func hexDigit(c byte) int {
	switch {
	case c >= '0' && c <= '9':
		return int(c - '0')
	case c >= 'a' && c <= 'f':
		return int(c-'a') + 10
	case c >= 'A' && c <= 'F':
		return int(c-'A') + 10
	}
	return -1
}
