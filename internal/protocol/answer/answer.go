// Package answer decides what is a valid HTTP/1 answer, for all readers of answers: of backend servers, of the
// platform's stores and of other instances. http.ReadResponse accepts more, such as status 000, blanks in the names of
// fields and fields that go on in the next line.
package answer

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"tamarackrun/internal/protocol/body"
	"tamarackrun/internal/protocol/field"
)

const (
	// minStatus and maxStatus bound the status of an answer (RFC 9110, section 15).
	minStatus, maxStatus = 100, 599
	// maxInterim bounds the number of interim answers before an answer.
	maxInterim = 8
)

// ErrInterim is the error of too many interim answers.
var ErrInterim = fmt.Errorf("there are more than %d interim answers", maxInterim)

// InvalidError is the error of bytes that are no valid answer.
type InvalidError struct {
	// Problem says what is wrong, and Text is the text with the fault, which is at most maxErrorText
	// bytes long.
	Problem, Text string
}

// maxErrorText bounds the text of an error, for logs.
const maxErrorText = 100

func invalid(problem, text string) error {
	return &InvalidError{problem, text[:min(len(text), maxErrorText)]}
}

// Error returns a message with the problem and the text.
func (e *InvalidError) Error() string { return fmt.Sprintf("the answer has %s: %q", e.Problem, e.Text) }

// Read reads the head of an answer to a request with the method and returns the answer, whose body reads on from
// the reader. It skips interim answers. The error is an *InvalidError if the head is not valid; io.ErrUnexpectedEOF,
// if it is incomplete; ErrInterim, or an error of the reader. The reader limits the length of the head.
func Read(reader *bufio.Reader, method string) (*http.Response, error) {
	for range maxInterim + 1 {
		a, err := readHead(reader)
		if err != nil {
			return nil, err
		}
		switch {
		case a.StatusCode == http.StatusSwitchingProtocols:
			return nil, invalid("a change of protocol that nobody asked for", a.Status)
		case a.StatusCode/100 == 1:
			continue
		}
		if err := setBody(a, reader, method); err != nil {
			return nil, err
		}
		return a, nil
	}
	return nil, ErrInterim
}

// Check returns an *InvalidError if a final answer may not have the status or the header.
func Check(status int, header http.Header) error {
	if status < http.StatusOK || status > maxStatus {
		return invalid("an invalid status", strconv.Itoa(status))
	}
	if err := field.Check(header); err != nil {
		return invalidField(err)
	}
	return checkJoined(header)
}

// checkJoined returns an *InvalidError if another answer begins within the header.
func checkJoined(header http.Header) error {
	for _, values := range header {
		if i := slices.IndexFunc(values, containsStatusLine); i >= 0 {
			return invalid("the head of another answer in a field", values[i])
		}
	}
	return nil
}

// invalidField returns an *InvalidError for the error of an invalid field, and other errors unchanged.
func invalidField(err error) error {
	var f *field.Error
	if errors.As(err, &f) {
		return invalid(f.Problem, f.Text)
	}
	return err
}

// readHead reads one head. The answer has no body yet.
func readHead(reader *bufio.Reader) (*http.Response, error) {
	line, err := field.ReadLine(reader)
	if err != nil {
		return nil, err
	}
	a, err := parseStatusLine(line)
	if err != nil {
		return nil, err
	}
	if a.Header, err = field.Read(reader); err != nil {
		return nil, invalidField(err)
	}
	return a, checkJoined(a.Header)
}

// parseStatusLine returns an answer with the status that a line names. The reason may be missing.
func parseStatusLine(line string) (*http.Response, error) {
	version, rest, _ := strings.Cut(line, " ")
	digits, reason, _ := strings.Cut(rest, " ")
	status, err := strconv.ParseUint(digits, 10, 16)
	switch {
	case version != "HTTP/1.0" && version != "HTTP/1.1", err != nil, len(digits) != 3, !field.IsText(reason),
		status < minStatus, status > maxStatus:
		return nil, invalid("an invalid status line", line)
	case containsStatusLine(reason):
		return nil, invalid("the head of another answer in its status line", line)
	}
	a := &http.Response{Proto: version, ProtoMajor: 1, StatusCode: int(status), Status: rest}
	if version == "HTTP/1.1" {
		a.ProtoMinor = 1
	}
	return a, nil
}

// setBody sets the body of an answer, its length, its encoding, and whether the connection ends with it.
func setBody(a *http.Response, reader *bufio.Reader, method string) error {
	a.Close = hasToken(a.Header, "Connection", "close") || a.ProtoMinor == 0 && !hasToken(a.Header, "Connection", "keep-alive")
	length, err := contentLength(a.Header["Content-Length"])
	if err != nil {
		return err
	}
	encodings := a.Header["Transfer-Encoding"]
	delete(a.Header, "Transfer-Encoding")
	chunked := len(encodings) == 1 && strings.EqualFold(encodings[0], "chunked") && a.ProtoMinor == 1
	switch {
	case len(encodings) > 0 && !chunked:
		return invalid("an unknown transfer encoding", strings.Join(encodings, ", "))
	case method == http.MethodHead || a.StatusCode == http.StatusNoContent || a.StatusCode == http.StatusNotModified:
		// The length, if there is one, is that of the body which another request would get.
		a.Body = http.NoBody
	case chunked:
		if length >= 0 {
			// What the length covers may be another thing than the chunks (RFC 9112, section 6.1).
			delete(a.Header, "Content-Length")
			a.Close = true
		}
		a.ContentLength, a.TransferEncoding = -1, encodings
		a.Body = body.Chunked(reader)
	case length == 0:
		a.Body = http.NoBody
	case length > 0:
		a.ContentLength, a.Body = length, body.Sized(reader, length)
	default:
		a.ContentLength, a.Close, a.Body = -1, true, io.NopCloser(reader)
	}
	return nil
}

// contentLength returns the length that the lines name, or -1 if there are none.
func contentLength(lines []string) (int64, error) {
	if len(lines) == 0 {
		return -1, nil
	}
	for _, l := range lines {
		if l != lines[0] {
			return 0, invalid("several lengths", strings.Join(lines, ", "))
		}
	}
	n, err := strconv.ParseUint(lines[0], 10, 63)
	if err != nil {
		return 0, invalid("an invalid length", lines[0])
	}
	return int64(n), nil
}

// hasToken reports whether a field holds a token in its list.
func hasToken(header http.Header, name, token string) bool {
	for _, line := range header[textproto.CanonicalMIMEHeaderKey(name)] {
		for _, part := range strings.Split(line, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// statusLine matches the beginning of an answer.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-9][0-9]{2}`)

// containsStatusLine reports whether another answer begins in the text. A server that cuts an answer off and goes on
// with another one, such as the copy of an earlier refusal, joins their fields into one head. If the cut is between two
// fields or in the name of one, the head is not valid in any case.
func containsStatusLine(text string) bool {
	// The expression takes several times as long.
	return strings.Contains(text, "HTTP/1.") && statusLine.MatchString(text)
}
