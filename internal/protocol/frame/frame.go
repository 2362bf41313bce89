// Package frame reads and writes the messages between instances, each with a prefix of its
// length, and converts requests and answers to and from messages.
package frame

import (
	"encoding/binary"
	"fmt"
	"io"

	"google.golang.org/protobuf/proto"

	"tamarackrun/internal/protocol/wire"
)

// MaxSize is the largest size of an encoded message in bytes. A request with a body of
// 1 MiB and headers of 32 KiB fits.
const MaxSize = 1<<20 + 128<<10

// SizeError is returned for a message that is larger than MaxSize.
type SizeError struct{ Size int }

// Error names the size and the limit.
func (e *SizeError) Error() string {
	return fmt.Sprintf("message of %d bytes is larger than %d bytes", e.Size, MaxSize)
}

// Write writes one message with a single call of w.Write.
func Write(w io.Writer, message *wire.Envelope) error {
	buffer, err := proto.MarshalOptions{}.MarshalAppend(make([]byte, 4, 512), message)
	if err != nil {
		return err
	}
	if len(buffer)-4 > MaxSize {
		return &SizeError{len(buffer) - 4}
	}
	binary.BigEndian.PutUint32(buffer, uint32(len(buffer)-4))
	_, err = w.Write(buffer)
	return err
}

// Read reads one message.
func Read(r io.Reader) (*wire.Envelope, error) {
	var prefix [4]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if size > MaxSize {
		return nil, &SizeError{int(size)}
	}
	buffer := make([]byte, size)
	if _, err := io.ReadFull(r, buffer); err != nil {
		return nil, err
	}
	message := &wire.Envelope{}
	if err := proto.Unmarshal(buffer, message); err != nil {
		return nil, err
	}
	return message, nil
}
