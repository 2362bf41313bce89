package frame

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"

	"tamarackrun/internal/protocol/wire"
)

// Guards against panics, buffers larger than MaxSize, and messages that change when they
// are written and read again.
func FuzzRead(f *testing.F) {
	var b bytes.Buffer
	_ = Write(&b, &wire.Envelope{Kind: &wire.Envelope_Fetch{Fetch: &wire.Fetch{Hash: "abc"}}})
	f.Add(b.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 9, 1})
	f.Fuzz(func(t *testing.T, content []byte) {
		message, err := Read(bytes.NewReader(content))
		var size *SizeError
		switch {
		case errors.As(err, &size) && size.Size <= MaxSize:
			t.Fatalf("size %d is refused, although it is at most MaxSize", size.Size)
		case err != nil:
			return
		}
		var again bytes.Buffer
		if err := Write(&again, message); err != nil {
			t.Fatal(err)
		}
		copied, err := Read(&again)
		if err != nil || !proto.Equal(message, copied) {
			t.Fatalf("read again: %v, error %v, want %v", copied, err, message)
		}
		if _, err := Read(&again); !errors.Is(err, io.EOF) {
			t.Fatalf("bytes are left: %v", err)
		}
	})
}
