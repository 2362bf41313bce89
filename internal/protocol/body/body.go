// Package body reads the bodies of HTTP/1 messages from a connection, up to their ends and no byte more.
package body

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http/httputil"

	"tamarackrun/internal/protocol/field"
)

// maxTrailerBytes bounds the fields behind a body in chunks.
const maxTrailerBytes = 4 << 10

// Sized returns a body of a length above 0. Its Read returns io.ErrUnexpectedEOF if the body is incomplete.
func Sized(reader *bufio.Reader, length int64) io.ReadCloser {
	return io.NopCloser(&sizedBody{reader, length})
}

// Chunked returns a body in chunks. Its Read returns io.EOF only when the fields behind the body have been read, which are
// dropped, and a *field.Error if they are not valid.
func Chunked(reader *bufio.Reader) io.ReadCloser {
	return io.NopCloser(&chunkedBody{chunks: httputil.NewChunkedReader(reader), reader: reader})
}

// sizedBody is a body of known length.
type sizedBody struct {
	reader io.Reader
	// left is the number of bytes that are still to be read.
	left int64
}

// Read returns io.ErrUnexpectedEOF if the body is incomplete.
func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.reader.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	switch {
	case b.left == 0:
		return n, io.EOF
	case errors.Is(err, io.EOF):
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in chunks with the fields behind it, which are dropped.
type chunkedBody struct {
	chunks io.Reader
	reader *bufio.Reader
	// ended is true when the fields have been read.
	ended bool
}

// Read returns io.EOF only when the fields behind the body have been read.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if err := readTrailer(&io.LimitedReader{R: b.reader, N: maxTrailerBytes}); err != nil {
		return n, err
	}
	b.ended = true
	return n, io.EOF
}

// readTrailer reads the fields behind a chunked body and no byte more.
func readTrailer(reader *io.LimitedReader) error {
	var text []byte
	for one := make([]byte, 1); !endsFields(text); text = append(text, one[0]) {
		switch _, err := io.ReadFull(reader, one); {
		case reader.N == 0:
			return &field.Error{Problem: "a long trailer", Text: string(text)}
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
	_, err := field.Read(bufio.NewReader(bytes.NewReader(text)))
	return err
}

// endsFields reports whether the text ends with an empty line. Behind a body in chunks, lines end with CRLF.
func endsFields(text []byte) bool {
	return string(text) == "\r\n" || bytes.HasSuffix(text, []byte("\r\n\r\n"))
}
