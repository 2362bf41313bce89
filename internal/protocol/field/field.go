// Package field reads the fields of HTTP/1 messages, and decides which are valid (RFC 9110, section 5, and RFC 9112, section 5). The
// readers of net/http allow blanks in names and fields that go on in the next line.
package field

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Error is the error of an invalid field.
type Error struct {
	// Problem says what is wrong with the field, and Text is the text with the fault.
	Problem, Text string
}

// Error returns a message with the problem and the text.
func (e *Error) Error() string { return fmt.Sprintf("%s: %q", e.Problem, e.Text) }

// Check returns an *Error if a message may not have the header.
func Check(header http.Header) error {
	for name, values := range header {
		if !isToken(name) {
			return &Error{"a field with an invalid name", name}
		}
		for _, v := range values {
			if !IsText(v) {
				return &Error{"a field with an invalid value", v}
			}
		}
	}
	return nil
}

// Read reads and checks fields up to an empty line. A line that begins with a blank, by which older versions of
// HTTP go on with the field before it, is a field with an invalid name.
func Read(reader *bufio.Reader) (http.Header, error) {
	header := http.Header{}
	for {
		line, err := ReadLine(reader)
		if err != nil {
			return nil, err
		}
		if line == "" {
			return header, Check(header)
		}
		name, value, ok := strings.Cut(line, ":")
		if !ok {
			return nil, &Error{"a line that is no field", line}
		}
		header.Add(name, strings.Trim(value, " \t"))
	}
}

// ReadLine reads a line without its end, which is CRLF or LF. The error is io.ErrUnexpectedEOF if it has no end.
func ReadLine(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return "", err
	}
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), nil
}

// isToken reports whether the text is a token (RFC 9110, section 5.6.2), as the name of a field must be.
func isToken(text string) bool {
	for i := range len(text) {
		c := text[i]
		isLetter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !isLetter && (c < '0' || c > '9') && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return text != ""
}

// IsText reports whether the text holds no control bytes but tabs. Bytes that are not ASCII are allowed.
func IsText(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
