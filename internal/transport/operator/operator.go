// Package operator serves the control port over HTTP.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"tamarackrun"
	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/protocol/wire"
)

const (
	maxDocument   = 64 << 20
	headerTimeout = 5 * time.Second
	callTimeout   = 60 * time.Second
)

// ApplyResult is the answer to an apply.
type ApplyResult struct {
	// Version is the accepted version, or 0.
	Version  int64              `json:"version"`
	Problems []document.Problem `json:"problems,omitempty"`
	Message  string             `json:"message,omitempty"`
}

// Control is what an instance does for operators.
type Control interface {
	// Authorised returns the team of an operator key.
	Authorised(key string) (team string, ok bool)
	Ready() bool
	Apply(ctx context.Context, team string, base int64, text []byte) (ApplyResult, error)
	Document(ctx context.Context) (version int64, text []byte, err error)
	Explain(ctx context.Context, request string) (events []*wire.EventRecord, silent []string)
	Status(ctx context.Context) any
}

// Server is the control port.
type Server struct {
	// Control and Metrics are set before Run.
	Control Control
	Metrics http.Handler

	listener net.Listener
	server   *http.Server
}

// New listens on the address. The clean-up function closes the port.
func New(address string) (*Server, func(), error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, err
	}
	s := &Server{listener: listener, server: &http.Server{ReadHeaderTimeout: headerTimeout, ReadTimeout: callTimeout}}
	return s, func() { _ = s.server.Close(); _ = listener.Close() }, nil
}

// Run serves until the clean-up function is called.
func (s *Server) Run() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.Handle("GET /metrics", s.Metrics)
	mux.HandleFunc("POST /v1/apply", s.authorised(s.apply))
	mux.HandleFunc("GET /v1/document", s.authorised(s.document))
	mux.HandleFunc("GET /v1/explain/{request}", s.authorised(s.explain))
	mux.HandleFunc("GET /v1/status", s.authorised(s.status))
	s.server.Handler = mux
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

type handler func(w http.ResponseWriter, r *http.Request, team string)

func (s *Server) authorised(next handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		team, ok := s.Control.Authorised(r.Header.Get("Tamarackrun-Operator-Key"))
		if !ok {
			http.Error(w, "operator key is missing or unknown", http.StatusUnauthorized)
			return
		}
		next(w, r, team)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.Control.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request, team string) {
	base, err := strconv.ParseInt(r.URL.Query().Get("base"), 10, 64)
	if err != nil {
		http.Error(w, "parameter base must be a version number", http.StatusBadRequest)
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocument))
	if err != nil {
		http.Error(w, "document could not be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	result, err := s.Control.Apply(r.Context(), team, base, text)
	switch {
	case errors.Is(err, tamarackrun.ErrConflict):
		result.Message = "another document was accepted first"
		writeJSON(w, http.StatusConflict, result)
	case err != nil:
		result.Message = err.Error()
		writeJSON(w, http.StatusServiceUnavailable, result)
	case len(result.Problems) > 0:
		writeJSON(w, http.StatusUnprocessableEntity, result)
	default:
		writeJSON(w, http.StatusOK, result)
	}
}

func (s *Server) document(w http.ResponseWriter, r *http.Request, _ string) {
	version, text, err := s.Control.Document(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Document-Version", strconv.FormatInt(version, 10))
	_, _ = w.Write(text)
}

// Explanation is the answer to an explain.
type Explanation struct {
	Events []*wire.EventRecord `json:"events"`
	// Silent are the instances that did not answer.
	Silent []string `json:"silent,omitempty"`
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request, _ string) {
	events, silent := s.Control.Explain(r.Context(), r.PathValue("request"))
	writeJSON(w, http.StatusOK, Explanation{events, silent})
}

func (s *Server) status(w http.ResponseWriter, r *http.Request, _ string) {
	writeJSON(w, http.StatusOK, s.Control.Status(r.Context()))
}
