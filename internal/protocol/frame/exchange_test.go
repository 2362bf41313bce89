package frame

import (
	"bytes"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

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
		{Outcome: uint32(tamarackrun.Ran), Status: http.StatusOK, Header: []*wire.HeaderField{{Name: "Some Name", Value: []byte("1")}}},
	} {
		message := &wire.Envelope{Kind: &wire.Envelope_AnswerHead{AnswerHead: head}}
		outcome, began := ReceiveAnswer(oneMessage{message: message}, headRecorder{t: t})
		if outcome != tamarackrun.Uncertain(tamarackrun.HomeLost) || !began {
			t.Errorf("%v: outcome %s, began %v, want an unknown one that began", head, outcome, began)
		}
	}
}

// Guards against requests and answers that can't be sent to another instance because HTTP allows bytes that are no UTF-8, such as a
// file name in Latin-1 (RECOVER: the answers of requests that had run were lost on the way from a delegate).
func TestMessagesCarryAnyBytes(t *testing.T) {
	const text = "M\xfcnchen"
	header := http.Header{"Content-Disposition": {`attachment; filename="` + text + `"`}}
	for _, message := range []*wire.Envelope{
		{Kind: &wire.Envelope_Delegated{Delegated: &wire.Delegated{Header: HeaderFields(header)}}},
		{Kind: &wire.Envelope_Delegate{Delegate: &wire.Delegate{Id: []byte(text), Target: []byte("/" + text), Host: []byte(text), Object: []byte(text), Header: HeaderFields(header)}}},
		{Kind: &wire.Envelope_Dispatch{Dispatch: FromRequest(tamarackrun.Request{Target: "/" + text, Header: header}, 0)}},
		{Kind: &wire.Envelope_AnswerHead{AnswerHead: &wire.AnswerHead{Header: HeaderFields(header)}}},
	} {
		var b bytes.Buffer
		if err := Write(&b, message); err != nil {
			t.Errorf("%v: %v", message, err)
			continue
		}
		if got, err := Read(&b); err != nil || !proto.Equal(message, got) {
			t.Errorf("read %v, error %v, want %v", got, err, message)
		}
	}
	if diff := cmp.Diff(header, Header(HeaderFields(header))); diff != "" {
		t.Errorf("header (-want +got):\n%s", diff)
	}
}
