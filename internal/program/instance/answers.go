package instance

import (
	"net/http"

	"tamarackrun"
	"tamarackrun/internal/state/ledger"
	"tamarackrun/internal/transport/caller"
)

// answerRecorder keeps the answer to a ticketed request for repeats of it. It
// passes nothing on to the live caller until the answer is complete or too
// large to keep, so that the outcome is recorded before the caller sees it.
type answerRecorder struct {
	live     tamarackrun.AnswerWriter
	status   int
	header   http.Header
	body     []byte
	complete bool
	// streaming is set once the answer is too large to keep and is passed on as it
	// arrives.
	streaming bool
	// writeFailed is set once a write to the live caller failed. The answer is
	// still read to its end, because its end decides the outcome.
	writeFailed bool
}

func (r *answerRecorder) Head(status int, header http.Header) error {
	r.status, r.header = status, header
	return nil
}

func (r *answerRecorder) Body(piece []byte) error {
	if !r.streaming {
		r.body = append(r.body, piece...)
		if len(r.body) <= ledger.MaxStoredAnswer {
			return nil
		}
		r.streaming = true
		r.writeFailed = r.live.Head(r.status, r.header) != nil
		piece, r.body = r.body, nil
	}
	r.writeFailed = r.writeFailed || r.live.Body(piece) != nil
	return nil
}

func (r *answerRecorder) End() error {
	r.complete = true
	return nil
}

// ledgerAnswer returns what the ledger keeps: the whole answer, or only its
// status if the answer is incomplete or too large. status is used if no answer
// arrived.
func (r *answerRecorder) ledgerAnswer(status int) *ledger.Answer {
	if r.status != 0 {
		status = r.status
	}
	answer := &ledger.Answer{Status: status, Header: r.header, Body: r.body}
	if !r.complete || r.streaming || headerSize(r.header) > ledger.MaxStoredAnswer {
		return &ledger.Answer{Status: status, StatusOnly: true}
	}
	return answer
}

// headerSize returns the size of the names and values of a header in bytes.
func headerSize(header http.Header) int {
	n := 0
	for name, values := range header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// deliver gives the live caller the answer to a request that ran.
func (r *answerRecorder) deliver(stored *ledger.Answer) tamarackrun.Outcome {
	switch {
	case r.streaming && r.writeFailed:
		return tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
	case r.streaming && !r.complete:
		return tamarackrun.Uncertain(tamarackrun.AnswerTruncated)
	case r.streaming:
		return endAnswer(r.live)
	case r.complete:
		return writeAnswer(r.live, r.status, r.header, r.body)
	}
	// The home reported that the request ran, but its answer was lost.
	return replay(r.live, stored)
}

// replay answers a repeated request with the answer that the ledger keeps.
func replay(answer tamarackrun.AnswerWriter, stored *ledger.Answer) tamarackrun.Outcome {
	header, answerMark := http.Header{}, caller.AnswerOmitted
	if !stored.StatusOnly {
		header, answerMark = stored.Header.Clone(), caller.AnswerStored
	}
	if header == nil {
		header = http.Header{}
	}
	header.Set(caller.AnswerHeader, answerMark)
	status := stored.Status
	if status == 0 {
		status = http.StatusOK
	}
	return writeAnswer(answer, status, header, stored.Body)
}

// writeAnswer writes a complete answer and returns its outcome.
func writeAnswer(answer tamarackrun.AnswerWriter, status int, header http.Header, body []byte) tamarackrun.Outcome {
	if answer.Head(status, header) != nil {
		return tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
	}
	for len(body) > 0 {
		n := min(len(body), maxBodyPiece)
		if answer.Body(body[:n]) != nil {
			return tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
		}
		body = body[n:]
	}
	return endAnswer(answer)
}

// endAnswer ends an answer and returns its outcome.
func endAnswer(answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	if answer.End() != nil {
		return tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
	}
	return tamarackrun.Done
}

// tolerantWriter ignores write errors after the connection to the issuer broke,
// so that the home still reads the whole answer and learns the outcome.
type tolerantWriter struct {
	tamarackrun.AnswerWriter
	status      int
	writeFailed bool
}

func (t *tolerantWriter) Head(status int, header http.Header) error {
	t.status = status
	t.writeFailed = t.AnswerWriter.Head(status, header) != nil
	return nil
}

func (t *tolerantWriter) Body(piece []byte) error {
	t.writeFailed = t.writeFailed || t.AnswerWriter.Body(piece) != nil
	return nil
}

func (t *tolerantWriter) End() error {
	if !t.writeFailed {
		_ = t.AnswerWriter.End()
	}
	return nil
}
