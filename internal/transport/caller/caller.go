// Package caller serves callers over HTTP/1 and HTTP/2.
package caller

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"path"
	"strings"
	"time"

	"tamarackrun"
	"tamarackrun/internal/protocol/hopheader"
)

// Headers of answers.
const (
	OutcomeHeader   = "Tamarackrun-Outcome"
	ReasonHeader    = "Tamarackrun-Reason"
	RequestIDHeader = "Tamarackrun-Request-Id"
	// AnswerHeader is set on answers to requests with a ticket that was used
	// before. It is AnswerStored if the answer is the whole first answer, and
	// AnswerOmitted if only the status was stored.
	AnswerHeader  = "Tamarackrun-Answer"
	AnswerStored  = "stored"
	AnswerOmitted = "omitted"
)

// Headers of requests.
const (
	// TicketHeader carries the ticket of a non-idempotent request, by which the
	// system recognises a repetition.
	TicketHeader = "Tamarackrun-Ticket"
	// TryHeader carries the number of the try with a ticket, from 1. A caller
	// raises it to send a request again for which the system answered that it did
	// not run.
	TryHeader = "Tamarackrun-Try"
)

// Limits of requests and connections.
const (
	// MaxBody and maxHeader bound the sizes of a body and of all headers, in bytes.
	MaxBody             = 1 << 20
	maxHeader           = 32 << 10
	headerTimeout       = 5 * time.Second
	bodyTimeout         = 10 * time.Second
	defaultWriteTimeout = 10 * time.Second
	idleTimeout         = 30 * time.Second
	maxConnections      = 4096
	// maxBodyMemory bounds the memory for request bodies, in bytes. Without it,
	// 4,096 connections times MaxBody would be 4 GiB.
	maxBodyMemory = 64 << 20
	// maxStreams bounds the number of requests that run at a time on one HTTP/2
	// connection.
	maxStreams = 100
)

// Steerer chooses where a caller's request runs and has it run there.
type Steerer interface {
	// Steer runs a request and writes its answer. It uses answer by the rules of
	// tamarackrun.Dispatcher.
	Steer(r *http.Request, id string, body []byte, answer tamarackrun.AnswerWriter) tamarackrun.Outcome
	// Refused returns the outcome of a request that is refused before Steer. It is
	// unknown if the request has a ticket with which it may have run before.
	Refused(r *http.Request, id string, reason tamarackrun.Reason) tamarackrun.Outcome
}

// Server serves the callers' port.
type Server struct {
	// Steerer, Lookup and Tickets handle requests, look-ups of instances and
	// requests for tickets. They are set before Run.
	Steerer Steerer
	Lookup  http.Handler
	Tickets http.Handler
	// Leaving reports whether the instance is about to stop. Each answer then closes
	// its connection. It is set before Run.
	Leaving func() bool
	// WriteTimeout bounds the write of each piece of an answer. A caller that
	// does not read would hold a slot of a backend server. New sets it to 10 s.
	WriteTimeout time.Duration

	listener    net.Listener
	server      *http.Server
	lastRequest requestTime
	bodyBudget  byteBudget
}

// New listens on the address, with TLS if tlsConfig is not nil. The clean-up function
// closes the listener and all connections.
func New(address string, tlsConfig *tls.Config) (*Server, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	s := &Server{
		listener:     limitListener(listener, maxConnections),
		WriteTimeout: defaultWriteTimeout,
		bodyBudget:   byteBudget{limit: maxBodyMemory},
	}
	s.server = &http.Server{
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		TLSConfig: tlsConfig, HTTP2: &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
	}
	return s, func() { _ = s.server.Close(); _ = listener.Close() }, nil
}

// Run serves until Shutdown or the clean-up function is called.
func (s *Server) Run() error {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/lookup", s.Lookup)
	mux.Handle("POST /v1/tickets", s.Tickets)
	mux.HandleFunc("/v1/", func(w http.ResponseWriter, _ *http.Request) {
		WriteOutcome(w, "", tamarackrun.Refused(tamarackrun.RouteUnknown))
	})
	mux.HandleFunc("/", s.steer)
	s.server.Handler = s.closeWhenLeaving(s.refuseUncleanPaths(mux))
	serve := func() error { return s.server.Serve(s.listener) }
	if s.server.TLSConfig != nil {
		serve = func() error { return s.server.ServeTLS(s.listener, "", "") }
	}
	err := serve()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Shutdown stops accepting connections and waits for running requests.
func (s *Server) Shutdown(ctx context.Context) error { return s.server.Shutdown(ctx) }

// closeWhenLeaving records the time of the request, and has the answer close the
// connection if the instance is leaving.
func (s *Server) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.lastRequest.update()
		if s.Leaving() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// refuseUncleanPaths refuses paths such as /a//b or /a/../b. http.ServeMux would
// answer with a redirect, which many clients follow with a GET even after a POST, and
// a backend server may resolve such a path to one of another route.
func (s *Server) refuseUncleanPaths(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		clean := path.Clean(r.URL.Path)
		if clean != "/" && strings.HasSuffix(r.URL.Path, "/") {
			clean += "/"
		}
		if !strings.HasPrefix(r.RequestURI, "/") || clean != r.URL.Path {
			id := rand.Text()
			WriteOutcome(w, id, s.Steerer.Refused(r, id, tamarackrun.Malformed))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// steer handles a request that is sent on to a backend server.
func (s *Server) steer(w http.ResponseWriter, r *http.Request) {
	id := rand.Text()
	size := reservedSize(r)
	if !s.bodyBudget.take(size) {
		WriteOutcome(w, id, s.Steerer.Refused(r, id, tamarackrun.BodiesFull))
		return
	}
	body, refusal := readBody(w, r)
	// The body is held until the request ends, since it may be sent again.
	s.bodyBudget.release(size - int64(len(body)))
	defer s.bodyBudget.release(int64(len(body)))
	if refusal != "" {
		WriteOutcome(w, id, s.Steerer.Refused(r, id, refusal))
		return
	}
	answer := &answerWriter{w: w, id: id, timeout: s.WriteTimeout}
	outcome := s.Steerer.Steer(r, id, body, answer)
	if !answer.began {
		WriteOutcome(w, id, outcome)
		return
	}
	if outcome.Kind != tamarackrun.Ran {
		// Aborts the connection, so that the caller sees that the answer is
		// incomplete.
		panic(http.ErrAbortHandler)
	}
}

// readBody reads the whole body, or returns the reason why the request is refused.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, tamarackrun.Reason) {
	if len(r.Header.Values("Upgrade")) > 0 || len(r.Trailer) > 0 {
		return nil, tamarackrun.Malformed
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case err == nil && len(r.Trailer) > 0:
		// Trailers that no Trailer header announced appear only after the body
		// was read.
		return nil, tamarackrun.Malformed
	case err == nil:
		return body, ""
	case errors.As(err, &tooLarge):
		return nil, tamarackrun.BodyTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, tamarackrun.BodyTimeout
	}
	return nil, tamarackrun.Malformed
}

// answerWriter writes an answer to the caller.
type answerWriter struct {
	w       http.ResponseWriter
	id      string
	timeout time.Duration
	began   bool
}

func (a *answerWriter) Head(status int, header http.Header) error {
	a.began = true
	for name, values := range header {
		if name == AnswerHeader || !strings.HasPrefix(name, "Tamarackrun-") {
			a.w.Header()[name] = values
		}
	}
	hopheader.Remove(a.w.Header())
	setOutcome(a.w, a.id, tamarackrun.Done)
	a.w.WriteHeader(status)
	return nil
}

func (a *answerWriter) Body(piece []byte) error {
	control := http.NewResponseController(a.w)
	_ = control.SetWriteDeadline(time.Now().Add(a.timeout))
	if _, err := a.w.Write(piece); err != nil {
		return err
	}
	return control.Flush()
}

// End removes the write deadline, which would otherwise apply to later answers on the
// connection.
func (a *answerWriter) End() error {
	return http.NewResponseController(a.w).SetWriteDeadline(time.Time{})
}

// setOutcome sets the headers for an outcome.
func setOutcome(w http.ResponseWriter, id string, o tamarackrun.Outcome) {
	w.Header().Set(OutcomeHeader, o.Kind.String())
	if o.Reason != "" {
		w.Header().Set(ReasonHeader, string(o.Reason))
	}
	if id != "" {
		w.Header().Set(RequestIDHeader, id)
	}
}

// WriteOutcome answers a request for which there is no answer of a backend server.
func WriteOutcome(w http.ResponseWriter, id string, o tamarackrun.Outcome) {
	setOutcome(w, id, o)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	status := Status(o)
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, o.String()+"\n")
}

// refusalStatus maps the reasons of refusals to a status. All other reasons have 503.
var refusalStatus = map[tamarackrun.Reason]int{
	tamarackrun.KeyMissing:      http.StatusUnauthorized,
	tamarackrun.KeyUnknown:      http.StatusUnauthorized,
	tamarackrun.KeyWithdrawn:    http.StatusUnauthorized,
	tamarackrun.KeyInURL:        http.StatusBadRequest,
	tamarackrun.KeyInBody:       http.StatusBadRequest,
	tamarackrun.RouteUnknown:    http.StatusNotFound,
	tamarackrun.RouteForbidden:  http.StatusForbidden,
	tamarackrun.MethodForbidden: http.StatusMethodNotAllowed,
	tamarackrun.RateExceeded:    http.StatusTooManyRequests,
	tamarackrun.TicketRequired:  http.StatusBadRequest,
	tamarackrun.TicketInvalid:   http.StatusBadRequest,
	tamarackrun.TicketExpired:   http.StatusBadRequest,
	tamarackrun.TicketReused:    http.StatusBadRequest,
	tamarackrun.TicketSealed:    http.StatusBadRequest,
	tamarackrun.BodyTooLarge:    http.StatusRequestEntityTooLarge,
	tamarackrun.Malformed:       http.StatusBadRequest,
}

// Status returns the HTTP status for an outcome without an answer of a backend server.
// Only unknown outcomes have 502.
func Status(o tamarackrun.Outcome) int {
	if o.Kind == tamarackrun.Unknown {
		return http.StatusBadGateway
	}
	if status, ok := refusalStatus[o.Reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
}
