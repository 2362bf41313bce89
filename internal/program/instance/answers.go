package instance

import (
	"net/http"

	"tamarackrun"
	"tamarackrun/internal/state/ledger"
	"tamarackrun/internal/transport/caller"
)

// recorder keeps the answer of an order for repeats. It passes nothing on to
// the live caller until the answer is complete or too large to keep, so that
// the outcome is recorded before the caller sees it.
type recorder struct {
	live     tamarackrun.AnswerWriter
	status   int
	header   http.Header
	body     []byte
	complete bool
	// streaming says that the answer is too large to keep and goes on directly.
	streaming bool
	// dead says that the live caller takes no more. The answer is still read,
	// since its end decides the outcome.
	dead bool
}

func (r *recorder) Head(status int, header http.Header) error {
	r.status, r.header = status, header
	return nil
}

func (r *recorder) Body(piece []byte) error {
	if !r.streaming {
		r.body = append(r.body, piece...)
		if len(r.body) <= ledger.MaxStoredAnswer {
			return nil
		}
		r.streaming = true
		r.dead = r.live.Head(r.status, r.header) != nil
		piece, r.body = r.body, nil
	}
	r.dead = r.dead || r.live.Body(piece) != nil
	return nil
}

func (r *recorder) End() error {
	r.complete = true
	return nil
}

// stored returns what the ledger keeps. status is used if no answer arrived.
func (r *recorder) stored(status int) *ledger.Answer {
	if r.status != 0 {
		status = r.status
	}
	a := &ledger.Answer{Status: status, Header: r.header, Body: r.body}
	if !r.complete || r.streaming || headerSize(r.header) > ledger.MaxStoredAnswer {
		return &ledger.Answer{Status: status, StatusOnly: true}
	}
	return a
}

func headerSize(header http.Header) int {
	n := 0
	for name, values := range header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	return n
}

// conclude gives the live caller the answer of an order that ran.
func (r *recorder) conclude(stored *ledger.Answer) tamarackrun.Outcome {
	switch {
	case r.streaming && r.dead:
		return tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
	case r.streaming && !r.complete:
		return tamarackrun.Uncertain(tamarackrun.AnswerTruncated)
	case r.streaming:
		return end(r.live)
	case r.complete:
		return write(r.live, r.status, r.header, r.body)
	}
	// The home reported that the order ran, but its answer was lost.
	return replay(r.live, stored)
}

// replay gives a kept answer to a repeated request.
func replay(answer tamarackrun.AnswerWriter, kept *ledger.Answer) tamarackrun.Outcome {
	header, mark := http.Header{}, caller.AnswerOmitted
	if !kept.StatusOnly {
		header, mark = kept.Header.Clone(), caller.AnswerStored
	}
	if header == nil {
		header = http.Header{}
	}
	header.Set(caller.AnswerHeader, mark)
	status := kept.Status
	if status == 0 {
		status = http.StatusOK
	}
	return write(answer, status, header, kept.Body)
}

func write(answer tamarackrun.AnswerWriter, status int, header http.Header, body []byte) tamarackrun.Outcome {
	if answer.Head(status, header) != nil {
		return tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
	}
	for len(body) > 0 {
		n := min(len(body), maxPiece)
		if answer.Body(body[:n]) != nil {
			return tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
		}
		body = body[n:]
	}
	return end(answer)
}

func end(answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	if answer.End() != nil {
		return tamarackrun.Uncertain(tamarackrun.AnswerCancelled)
	}
	return tamarackrun.Done
}

// tolerantWriter goes on after the link to the issuer broke, so that the home
// reads the whole answer and knows the outcome.
type tolerantWriter struct {
	tamarackrun.AnswerWriter
	status int
	dead   bool
}

func (t *tolerantWriter) Head(status int, header http.Header) error {
	t.status = status
	t.dead = t.AnswerWriter.Head(status, header) != nil
	return nil
}

func (t *tolerantWriter) Body(piece []byte) error {
	t.dead = t.dead || t.AnswerWriter.Body(piece) != nil
	return nil
}

func (t *tolerantWriter) End() error {
	if !t.dead {
		_ = t.AnswerWriter.End()
	}
	return nil
}
