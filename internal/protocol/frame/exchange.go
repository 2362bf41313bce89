package frame

import (
	"net/http"
	"time"

	"tamarackrun"
	"tamarackrun/internal/protocol/answer"
	"tamarackrun/internal/protocol/wire"
)

// HeaderFields converts HTTP headers to the fields of a message.
func HeaderFields(header http.Header) []*wire.HeaderField {
	var fields []*wire.HeaderField
	for name, values := range header {
		for _, v := range values {
			fields = append(fields, &wire.HeaderField{Name: name, Value: []byte(v)})
		}
	}
	return fields
}

// Header converts the fields of a message to HTTP headers.
func Header(fields []*wire.HeaderField) http.Header {
	header := http.Header{}
	for _, f := range fields {
		header.Add(f.Name, string(f.Value))
	}
	return header
}

// FromRequest converts a request to a message. now is the time on the local clock. The
// message holds durations relative to now, since the receiver's clock differs.
func FromRequest(r tamarackrun.Request, now time.Duration) *wire.Dispatch {
	var keyHash []byte
	if r.Organisation != "" {
		keyHash = r.KeyHash[:]
	}
	return &wire.Dispatch{
		KeyHash: keyHash, KeyVersion: uint64(r.KeyVersion),
		Id: r.ID, Attempt: r.Attempt, Organisation: r.Organisation, Route: r.Route, Service: r.Service,
		Server: r.Server, OriginRegion: r.OriginRegion, Method: r.Method, Target: []byte(r.Target),
		Header: HeaderFields(r.Header), Body: r.Body, Idempotent: r.Idempotent,
		RemainingMillis: uint64(max(0, r.Deadline-now).Milliseconds()),
		TokenAgeMillis:  uint64(max(0, now-r.Admitted).Milliseconds()),
	}
}

// ToRequest converts a message to a request. now is the time on the local clock.
func ToRequest(d *wire.Dispatch, now time.Duration) tamarackrun.Request {
	var keyHash [32]byte
	copy(keyHash[:], d.KeyHash)
	return tamarackrun.Request{
		KeyHash: keyHash, KeyVersion: int64(d.KeyVersion),
		ID: d.Id, Attempt: d.Attempt, Organisation: d.Organisation, Route: d.Route, Service: d.Service,
		Server: d.Server, OriginRegion: d.OriginRegion, Method: d.Method, Target: string(d.Target),
		Header: Header(d.Header), Body: d.Body, Idempotent: d.Idempotent,
		Deadline: now + time.Duration(d.RemainingMillis)*time.Millisecond,
		Admitted: now - time.Duration(d.TokenAgeMillis)*time.Millisecond,
	}
}

// ParseOutcome converts the fields of a message to an outcome. It reports whether they are
// valid, which they may not be in a message from a faulty or newer peer.
func ParseOutcome(kind uint32, reason string) (tamarackrun.Outcome, bool) {
	o := tamarackrun.Outcome{Kind: tamarackrun.OutcomeKind(kind), Reason: tamarackrun.Reason(reason)}
	known := kind == uint32(tamarackrun.Ran) || kind == uint32(tamarackrun.NotRun) || kind == uint32(tamarackrun.Unknown)
	return o, known && (reason == "") == (o.Kind == tamarackrun.Ran)
}

// AnswerSender is a tamarackrun.AnswerWriter that sends an answer over a stream.
type AnswerSender struct {
	stream tamarackrun.Stream
	// length is the number of bytes of the body that were sent.
	length uint64
	// began is true after Head was called.
	began bool
}

// NewAnswerSender returns a sender for one answer.
func NewAnswerSender(stream tamarackrun.Stream) *AnswerSender { return &AnswerSender{stream: stream} }

// Head sends the status and the headers.
func (s *AnswerSender) Head(status int, header http.Header) error {
	s.began = true
	return s.stream.Send(&wire.Envelope{Kind: &wire.Envelope_AnswerHead{AnswerHead: &wire.AnswerHead{
		Outcome: uint32(tamarackrun.Ran), Status: uint32(status), Header: HeaderFields(header)}}})
}

// Body sends a piece of the body.
func (s *AnswerSender) Body(piece []byte) error {
	s.length += uint64(len(piece))
	return s.stream.Send(&wire.Envelope{Kind: &wire.Envelope_AnswerBody{AnswerBody: &wire.AnswerBody{Piece: piece}}})
}

// End does nothing; Finish sends the end with the outcome.
func (s *AnswerSender) End() error { return nil }

// Finish sends the outcome: in a head if no answer was begun, otherwise in the end with
// the length of the body.
func (s *AnswerSender) Finish(o tamarackrun.Outcome) error {
	if !s.began {
		return s.stream.Send(&wire.Envelope{Kind: &wire.Envelope_AnswerHead{AnswerHead: &wire.AnswerHead{
			Outcome: uint32(o.Kind), Reason: string(o.Reason)}}})
	}
	return s.stream.Send(&wire.Envelope{Kind: &wire.Envelope_AnswerEnd{AnswerEnd: &wire.AnswerEnd{
		Outcome: uint32(o.Kind), Reason: string(o.Reason), Length: s.length}}})
}

// ReceiveAnswer reads an answer from a stream and writes it to writer. began reports
// whether the peer sent a head; if not, it is unknown whether the request ran and the
// reason of the outcome is HomeLost.
func ReceiveAnswer(stream tamarackrun.Stream, writer tamarackrun.AnswerWriter) (outcome tamarackrun.Outcome, began bool) {
	first, err := stream.Receive()
	head := first.GetAnswerHead()
	if err != nil || head == nil {
		return tamarackrun.Uncertain(tamarackrun.HomeLost), false
	}
	if head.Status == 0 {
		outcome, ok := ParseOutcome(head.Outcome, head.Reason)
		// A request that ran must have a status.
		if !ok || outcome.Kind == tamarackrun.Ran {
			return tamarackrun.Uncertain(tamarackrun.HomeLost), true
		}
		return outcome, true
	}
	status, header := int(head.Status), Header(head.Header)
	if answer.Check(status, header) != nil {
		return tamarackrun.Uncertain(tamarackrun.HomeLost), true
	}
	if writer.Head(status, header) != nil {
		return tamarackrun.Uncertain(tamarackrun.AnswerCancelled), true
	}
	return receiveBody(stream, writer), true
}

// receiveBody reads the body and the end of an answer whose head was written.
func receiveBody(stream tamarackrun.Stream, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	var length uint64
	for {
		message, err := stream.Receive()
		if err != nil {
			return tamarackrun.Uncertain(tamarackrun.AnswerTruncated)
		}
		if piece := message.GetAnswerBody(); piece != nil {
			length += uint64(len(piece.Piece))
			if answer.Body(piece.Piece) != nil {
				return tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
			}
			continue
		}
		end := message.GetAnswerEnd()
		if end == nil || end.Length != length {
			return tamarackrun.Uncertain(tamarackrun.AnswerTruncated)
		}
		outcome, ok := ParseOutcome(end.Outcome, end.Reason)
		// A request cannot have the outcome NotRun after its answer began.
		if !ok || outcome.Kind == tamarackrun.NotRun {
			return tamarackrun.Uncertain(tamarackrun.AnswerTruncated)
		}
		if outcome.Kind == tamarackrun.Ran && answer.End() != nil {
			return tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
		}
		return outcome
	}
}
