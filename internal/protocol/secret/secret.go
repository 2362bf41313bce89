// Package secret finds callers' keys in the parts of a request in which they must not
// occur, such as the URL.
package secret

import (
	"encoding/base64"
	"strings"
)

// maxUnescapeRounds bounds the repeated decoding of URL escapes.
const maxUnescapeRounds = 4

// maxBase64Depth bounds the decoding of base64 inside base64. With a second level the
// check of a header of 29 KiB took 33 ms.
const maxBase64Depth = 1

// minBase64Run is the smallest length of a run of base64 characters that is decoded. A key
// has 52 characters, which are 70 in base64. Decoding shorter runs made the check of a
// request six times slower.
const minBase64Run = 64

// base64Group is the number of base64 characters that encode one group of bytes.
const base64Group = 4

// minKeyLength is the smallest length of a word that is hashed and compared with the known
// keys. A key has 52 characters; hashing every short word took more than half of the time
// of a check.
const minKeyLength = 8

// Finder searches texts for the key that came with a request and for all keys whose hashes
// are known.
type Finder struct {
	// Presented is the key that came with the request, or empty.
	Presented string
	// Known reports whether a word is a key, by its hash.
	Known func(word string) bool
}

// In reports whether the text contains a key, either literally, with URL escapes, or in
// base64, as in Basic authorisation. It also returns true for a text with too many levels
// of URL escapes.
func (f Finder) In(text string) bool { return f.inAtDepth(text, maxBase64Depth) }

// inAtDepth is In for a text in which up to depth levels of base64 are decoded.
func (f Finder) inAtDepth(text string, depth int) bool {
	for range maxUnescapeRounds {
		if f.inText(text) || depth > 0 && f.inBase64(text, depth-1) {
			return true
		}
		decoded := unescape(text)
		if decoded == text {
			return false
		}
		text = decoded
	}
	// A text that still has escapes after all rounds is rejected, since a server could
	// decode it further. This does not apply to decoded base64, which may be any bytes.
	return depth == maxBase64Depth
}

// inText reports whether the text contains a key literally.
func (f Finder) inText(text string) bool {
	if f.Presented != "" && strings.Contains(text, f.Presented) {
		return true
	}
	// The whole text is checked too, since a key may contain separators.
	if f.isKnown(text) {
		return true
	}
	for _, part := range strings.FieldsFunc(text, func(c rune) bool { return strings.ContainsRune("&;,= \t\"", c) }) {
		if part != text && f.isKnown(part) || f.hasKnownWord(part) {
			return true
		}
	}
	return false
}

// inBase64 reports whether a run of base64 characters, of either alphabet, decodes to a
// text with a key. A run may begin with other text, such as the / of a path, so the
// first four positions are tried as its start.
func (f Finder) inBase64(text string, depth int) bool {
	for _, alphabet := range []struct {
		extra    string
		encoding *base64.Encoding
	}{{"+/", base64.RawStdEncoding}, {"-_", base64.RawURLEncoding}} {
		runs := strings.FieldsFunc(text, func(c rune) bool {
			return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && !strings.ContainsRune(alphabet.extra, c)
		})
		for _, run := range runs {
			for start := 0; start < base64Group && len(run)-start >= minBase64Run; start++ {
				part := run[start:]
				if len(part)%base64Group == 1 {
					part = part[:len(part)-1]
				}
				decoded, err := alphabet.encoding.DecodeString(part)
				if err == nil && f.inAtDepth(string(decoded), depth) {
					return true
				}
			}
		}
	}
	return false
}

// isKnown reports whether a word is a known key.
func (f Finder) isKnown(word string) bool { return len(word) >= minKeyLength && f.Known(word) }

// hasKnownWord reports whether one of the words in a part of the text is a key.
func (f Finder) hasKnownWord(part string) bool {
	if len(part) < minKeyLength {
		return false
	}
	words := strings.FieldsFunc(part, func(c rune) bool {
		return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '-' && c != '_'
	})
	for _, w := range words {
		if w != part && f.isKnown(w) {
			return true
		}
	}
	return false
}

// unescape decodes each %XX once and keeps everything else, so that malformed escapes do
// not hide valid ones next to them.
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

// hexDigit returns the value of a hexadecimal digit, or -1 for another character.
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
