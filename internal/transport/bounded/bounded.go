// Package bounded reads messages from peers that may send bytes without end.
package bounded

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"

	"tamarackrun/internal/state/memory"
)

const (
	// firstPiece and piece are the sizes of the first buffer and of the following ones of a body
	// whose length is not known or not trusted, in bytes.
	firstPiece = 4 << 10
	piece      = 64 << 10
	// maxTrusted bounds the memory that an announced length takes before the bytes
	// arrive.
	maxTrusted = 256 << 10
)

// pieces holds unused buffers of the size piece. Bodies without end would otherwise leave garbage
// faster than it is collected.
var pieces = sync.Pool{New: func() any { return new([piece]byte) }}

// ErrNoMemory is returned if the memory that the process has for bodies is used up.
// It says nothing about the peer.
var ErrNoMemory = errors.New("the process has no memory left for bodies")

// LimitError is returned if a peer has sent more than is allowed.
type LimitError struct {
	// Part names what is too large, such as "body".
	Part  string
	Limit int64
	// Unit is the unit of Limit, such as "bytes".
	Unit string
}

// Error returns a message with the limit.
func (e *LimitError) Error() string {
	return fmt.Sprintf("the %s is longer than %d %s", e.Part, e.Limit, e.Unit)
}

// HeadReader passes bytes on from another reader. Between Begin and End it fails once
// the bytes or lines of a message's head exceed their limits.
type HeadReader struct {
	// Reader, MaxBytes and MaxLines are set before the first Begin.
	Reader   io.Reader
	MaxBytes int64
	MaxLines int

	bytes  int64
	lines  int
	active bool
	// line is the start of the present line, as far as it may name a length, and lengthSeen is true
	// once a line has.
	line       []byte
	lengthSeen bool
	// exceeded is the error of the latest read that failed since Begin; nil if none did.
	exceeded error
}

// Begin starts to count. The reader reads from h, and its buffer holds the bytes of the head that were
// read before.
func (h *HeadReader) Begin(reader *bufio.Reader) {
	// Peek returns no error for bytes that are in the buffer.
	buffered, _ := reader.Peek(reader.Buffered())
	h.bytes, h.lines, h.active, h.exceeded = int64(len(buffered)), 0, true, nil
	h.line, h.lengthSeen = h.line[:0], false
	h.scan(buffered)
}

// lengthField is the start of a line that announces the length of a body.
const lengthField = "content-length"

// LengthSeen reports whether a line since Begin announces the length of a body. Parsers drop it beside
// chunked encoding. Lines that were read together with the head count too.
func (h *HeadReader) LengthSeen() bool { return h.lengthSeen }

// scan looks for a line that announces a length.
func (h *HeadReader) scan(p []byte) {
	for len(p) > 0 && !h.lengthSeen {
		line, rest, ended := bytes.Cut(p, []byte{'\n'})
		if missing := len(lengthField) - len(h.line); missing > 0 {
			h.line = append(h.line, line[:min(missing, len(line))]...)
			h.lengthSeen = strings.EqualFold(string(h.line), lengthField)
		}
		if ended {
			h.line = h.line[:0]
		}
		p = rest
	}
}

// Exceeded returns the limit that was exceeded since Begin, or nil. Parsers that take the
// bytes before the limit for a whole line report another error.
func (h *HeadReader) Exceeded() error { return h.exceeded }

// End stops counting, so that a body of any length can follow.
func (h *HeadReader) End() { h.active = false }

// Read implements io.Reader. The limits are checked before each read: bytes that
// arrive together with the end of the head may belong to the body.
func (h *HeadReader) Read(p []byte) (int, error) {
	if !h.active {
		return h.Reader.Read(p)
	}
	if h.bytes >= h.MaxBytes {
		h.exceeded = &LimitError{"head", h.MaxBytes, "bytes"}
	} else if h.lines >= h.MaxLines {
		h.exceeded = &LimitError{"head", int64(h.MaxLines), "lines"}
	}
	if h.exceeded != nil {
		return 0, h.exceeded
	}
	n, err := h.Reader.Read(p)
	h.bytes += int64(n)
	h.lines += bytes.Count(p[:n], []byte{'\n'})
	h.scan(p[:n])
	return n, err
}

// ReadBody reads a body of at most limit bytes and reserves its size in the budget.
// expected is the length that the peer has announced, or negative if it has announced
// none. The caller releases the returned number of bytes when it drops the body.
// After an error nothing is reserved.
func ReadBody(r io.Reader, expected, limit int64, budget *memory.Budget) (body []byte, reserved int64, err error) {
	if expected > limit {
		return nil, 0, &LimitError{"body", limit, "bytes"}
	}
	first := int64(firstPiece)
	if expected >= 0 {
		// One byte more shows the end of the body without another piece.
		first = min(expected+1, maxTrusted)
	}
	if !budget.Reserve(first) {
		return nil, 0, ErrNoMemory
	}
	body, err = fill(r, make([]byte, first))
	switch {
	case int64(len(body)) > limit:
		err = &LimitError{"body", limit, "bytes"}
	case errors.Is(err, errFull) && expected > 0:
		return readAnnounced(r, body, expected, budget)
	case errors.Is(err, errFull):
		return readPieces(r, body, limit, budget)
	}
	if err != nil {
		budget.Release(first)
		return body, 0, err
	}
	return body, first, nil
}

// readAnnounced reads the rest of a body of an announced length whose first bytes are in a buffer that
// is reserved.
func readAnnounced(r io.Reader, first []byte, expected int64, budget *memory.Budget) (body []byte, reserved int64, err error) {
	defer budget.Release(int64(len(first)))
	if !budget.Reserve(expected + 1) {
		return nil, 0, ErrNoMemory
	}
	whole := make([]byte, expected+1)
	rest, err := fill(r, whole[copy(whole, first):])
	if errors.Is(err, errFull) {
		err = &LimitError{"body", expected, "bytes"}
	}
	if err != nil {
		budget.Release(expected + 1)
		return nil, 0, err
	}
	return whole[:len(first)+len(rest)], expected + 1, nil
}

// readPieces reads the rest of a body of unknown length whose first bytes are in a buffer that is reserved. The pieces
// are joined when the body is complete.
func readPieces(r io.Reader, first []byte, limit int64, budget *memory.Budget) (body []byte, reserved int64, err error) {
	var rest []*[piece]byte
	length, held := int64(len(first)), int64(len(first))
	defer func() {
		for _, p := range rest {
			pieces.Put(p)
		}
		budget.Release(held)
	}()
	for err = errFull; errors.Is(err, errFull); {
		if !budget.Reserve(piece) {
			return nil, 0, ErrNoMemory
		}
		held += piece
		p := pieces.Get().(*[piece]byte)
		rest = append(rest, p)
		var filled []byte
		filled, err = fill(r, p[:])
		if length += int64(len(filled)); length > limit {
			return nil, 0, &LimitError{"body", limit, "bytes"}
		}
	}
	if err != nil {
		return nil, 0, err
	}
	if !budget.Reserve(length) {
		return nil, 0, ErrNoMemory
	}
	body = append(make([]byte, 0, length), first...)
	for _, p := range rest {
		body = append(body, p[:min(piece, length-int64(len(body)))]...)
	}
	return body, length, nil
}

// errFull is returned by fill if the reader may have further bytes.
var errFull = errors.New("the buffer is full")

// fill reads until the buffer is full, and then returns errFull, or until the end, and then returns no
// error.
func fill(r io.Reader, buffer []byte) ([]byte, error) {
	n := 0
	for n < len(buffer) {
		m, err := r.Read(buffer[n:])
		n += m
		switch {
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return buffer[:n], nil
		case err != nil:
			return buffer[:n], err
		}
	}
	return buffer, errFull
}
