package frame

import (
	"net/http"
	"testing"

	"tamarackrun"
	"tamarackrun/internal/protocol/wire"
)

// oneMessage is a stream with one message.
type oneMessage struct {
	tamarackrun.Stream
	message *wire.Envelope
}

func (m oneMessage) Receive() (*wire.Envelope, error) { return m.message, nil }

// headRecorder fails the test when an answer begins.
type headRecorder struct {
	tamarackrun.AnswerWriter
	t *testing.T
}

func (r headRecorder) Head(status int, header http.Header) error {
	r.t.Errorf("the answer begins with status %d and header %q", status, header)
	return nil
}

// Guards against an answer of a home, such as one of an earlier version, that no caller can read: with an invalid status or
// with an invalid name of a field.
func TestInvalidHeadsOfHomesAreNoAnswer(t *testing.T) {
	for _, head := range []*wire.AnswerHead{
		{Outcome: uint32(tamarackrun.Ran), Status: 20},
		{Outcome: uint32(tamarackrun.Ran), Status: 600},
		{Outcome: uint32(tamarackrun.Ran), Status: http.StatusOK, Header: []*wire.HeaderField{{Name: "Some Name", Value: "1"}}},
	} {
		message := &wire.Envelope{Kind: &wire.Envelope_AnswerHead{AnswerHead: head}}
		outcome, began := ReceiveAnswer(oneMessage{message: message}, headRecorder{t: t})
		if outcome != tamarackrun.Uncertain(tamarackrun.HomeLost) || !began {
			t.Errorf("%v: outcome %s, began %v, want an unknown one that began", head, outcome, began)
		}
	}
}
