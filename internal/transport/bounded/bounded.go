// Package bounded reads messages from peers that may send bytes without end.
package bounded

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"tamarackrun/internal/state/memory"
)

const (
	// minChunk is the first size of the buffer of a body, in bytes. The buffer grows
	// by half, so that its memory stays below three times the bytes that arrived.
	minChunk = 4 << 10
	// maxTrusted bounds the memory that an announced length takes before the bytes
	// arrive.
	maxTrusted = 256 << 10
)

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
	// exceeded is the error of the latest read that failed since Begin; nil if none did.
	exceeded error
}

// Begin starts to count. buffered is the number of bytes of the head that were read
// before.
func (h *HeadReader) Begin(buffered int) {
	h.bytes, h.lines, h.active, h.exceeded = int64(buffered), 0, true, nil
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
	return n, err
}

// ReadBody reads a body of at most limit bytes and reserves its size in the budget.
// expected is the length that the peer has announced, or negative if it has announced
// none. The caller releases the returned number of bytes when it drops the body.
// After an error nothing is reserved.
func ReadBody(r io.Reader, expected, limit int64, budget *memory.Budget) (body []byte, reserved int64, err error) {
	defer func() {
		if err != nil {
			budget.Release(reserved)
			reserved = 0
		}
	}()
	if expected > limit {
		return nil, 0, &LimitError{"body", limit, "bytes"}
	}
	chunk := int64(minChunk)
	if expected >= 0 {
		// One byte more shows the end of the body without another chunk.
		chunk = min(expected+1, maxTrusted)
	}
	for {
		if len(body) == cap(body) {
			if !budget.Reserve(chunk) {
				return nil, reserved, ErrNoMemory
			}
			reserved += chunk
			body = append(make([]byte, 0, int64(len(body))+chunk), body...)
			chunk = max(minChunk, int64(cap(body)/2))
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, reserved, &LimitError{"body", limit, "bytes"}
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return body, reserved, nil
		case err != nil:
			return body, reserved, err
		}
	}
}
