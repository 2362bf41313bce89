// Package operator serves the control port, by which operators control an instance over
// HTTP.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/protocol/manifest"
	"tamarackrun/internal/protocol/wire"
)

const (
	// maxDocumentSize is the largest size of a document, in bytes.
	maxDocumentSize = 64 << 20
	headerTimeout   = 5 * time.Second
	readTimeout     = 60 * time.Second
)

// InForce is a version number that means the version in force.
const InForce int64 = -1

// ApplyRequest is a request to put a document in force.
type ApplyRequest struct {
	Team string
	// Base is the version that the document was edited from, or InForce.
	Base int64
	// File is the name of the document in problems.
	File string
	Text []byte
}

// ApplyResult is the answer to an ApplyRequest.
type ApplyResult struct {
	// Version is the version in force afterwards, or 0 if the document was not
	// accepted.
	Version int64 `json:"version"`
	// Changed holds the names of the sections that changed. If it is empty, the
	// version was in force before.
	Changed   []string            `json:"changed,omitempty"`
	Problems  []document.Problem  `json:"problems,omitempty"`
	Conflicts []document.Conflict `json:"conflicts,omitempty"`
	Message   string              `json:"message,omitempty"`
	// Unknown reports whether the document may have been accepted despite the
	// error in Message.
	Unknown bool `json:"unknown,omitempty"`
}

// TargetError is returned if a command can't be applied to the name that the operator
// gave.
type TargetError struct{ Name, Allowed string }

// Error returns a message with the name and the allowed names.
func (e *TargetError) Error() string {
	return fmt.Sprintf("%q is not a possible target; allowed is %s", e.Name, e.Allowed)
}

// Control carries out the operators' commands at an instance.
type Control interface {
	// Authorised returns the team of an operator key, and whether the key is
	// valid.
	Authorised(key string) (team string, ok bool)
	// Ready reports whether the instance takes callers.
	Ready() bool
	// Apply puts a document in force.
	Apply(ctx context.Context, request ApplyRequest) (ApplyResult, error)
	// Document returns a version of the document and its number. The version may
	// be InForce.
	Document(ctx context.Context, version int64) (found int64, text []byte, err error)
	// Drain requests the removal of a backend server, instance, failure domain or
	// region from service, or withdraws that request.
	Drain(ctx context.Context, team, name string, undo bool) error
	// DeclareLost tells this instance that a region is lost, or withdraws that.
	DeclareLost(region string, undo bool) error
	// Explain returns the events of a request from all instances, and the names
	// of the instances that did not answer.
	Explain(ctx context.Context, request string) (events []*wire.EventRecord, silent []string)
	// Status returns the state of the fleet as this instance knows it.
	Status(ctx context.Context) Status
}

// Server serves the control port.
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
	s := &Server{listener: listener, server: &http.Server{ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout}}
	return s, func() { _ = s.server.Close(); _ = listener.Close() }, nil
}

// Run serves until the clean-up function is called.
func (s *Server) Run() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.Handle("GET /metrics", s.Metrics)
	mux.HandleFunc("POST /v1/apply", s.authorised(s.apply))
	mux.HandleFunc("GET /v1/document", s.authorised(s.document))
	mux.HandleFunc("GET /v1/team", s.authorised(func(w http.ResponseWriter, _ *http.Request, team string) {
		writeJSON(w, http.StatusOK, Team{team})
	}))
	mux.HandleFunc("POST /v1/drain/{name...}", s.authorised(s.drain))
	mux.HandleFunc("POST /v1/lost/{name}", s.authorised(s.declareLost))
	mux.HandleFunc("GET /v1/explain/{request}", s.authorised(s.explain))
	mux.HandleFunc("GET /v1/status", s.authorised(s.status))
	s.server.Handler = mux
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Team is the answer to a request for the team of the operator key.
type Team struct {
	Team string `json:"team"`
}

// teamHandler handles a request of a team.
type teamHandler func(w http.ResponseWriter, r *http.Request, team string)

// authorised returns a handler that refuses requests without a valid operator key.
func (s *Server) authorised(next teamHandler) http.HandlerFunc {
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

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if !s.Control.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// versionParameter returns the version in a query parameter, or InForce if it is
// missing.
func versionParameter(r *http.Request, name string) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return InForce, nil
	}
	version, err := strconv.ParseInt(text, 10, 64)
	if err != nil || version < 0 {
		return 0, fmt.Errorf("parameter %s = %q must be a version number", name, text)
	}
	return version, nil
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request, team string) {
	base, err := versionParameter(r, "base")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxDocumentSize))
	if err != nil {
		http.Error(w, "document could not be read: "+err.Error(), http.StatusBadRequest)
		return
	}
	file := r.URL.Query().Get("file")
	if file == "" {
		file = "document"
	}
	result, err := s.Control.Apply(r.Context(), ApplyRequest{team, base, file, text})
	var unknown *manifest.UnknownOutcomeError
	switch {
	case err != nil:
		result.Message, result.Unknown = err.Error(), errors.As(err, &unknown)
		writeJSON(w, http.StatusServiceUnavailable, result)
	case len(result.Problems) > 0:
		writeJSON(w, http.StatusUnprocessableEntity, result)
	case len(result.Conflicts) > 0:
		result.Message = "another operator changed the same sections"
		writeJSON(w, http.StatusConflict, result)
	default:
		writeJSON(w, http.StatusOK, result)
	}
}

func (s *Server) document(w http.ResponseWriter, r *http.Request, _ string) {
	version, err := versionParameter(r, "version")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, text, err := s.Control.Document(r.Context(), version)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Document-Version", strconv.FormatInt(version, 10))
	_, _ = w.Write(text)
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request, team string) {
	answerCommand(w, s.Control.Drain(r.Context(), team, r.PathValue("name"), r.URL.Query().Get("undo") == "yes"))
}

func (s *Server) declareLost(w http.ResponseWriter, r *http.Request, _ string) {
	answerCommand(w, s.Control.DeclareLost(r.PathValue("name"), r.URL.Query().Get("undo") == "yes"))
}

// answerCommand answers a command on a named target.
func answerCommand(w http.ResponseWriter, err error) {
	var target *TargetError
	switch {
	case errors.As(err, &target):
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ok\n")
	}
}

// Status is the state of the fleet as one instance knows it.
type Status struct {
	Instance             string `json:"instance"`
	ConfigurationVersion int64  `json:"configurationVersion"`
	// Freshness says how current the instance's configuration is: fresh, storeOut
	// or cutOff.
	Freshness string `json:"freshness"`
	// ProofAge is the age of the latest proof that the configuration was current.
	ProofAge string `json:"proofAge"`
	// UnreadableVersion is a stored version that this instance can't decode. Since
	// the version may withdraw keys, the instance counts as cut off until a later
	// version replaces it.
	UnreadableVersion int64 `json:"unreadableVersion,omitempty"`
	// LostRegions are the regions that were declared lost at this instance.
	LostRegions []string `json:"lostRegions,omitempty"`
	Members     []Member `json:"members"`
}

// Member is an instance of the fleet.
type Member struct {
	Name                 string             `json:"name"`
	FailureDomain        string             `json:"failureDomain"`
	Reachable            bool               `json:"reachable"`
	Serving              bool               `json:"serving"`
	CutOff               bool               `json:"cutOff"`
	Incarnation          string             `json:"incarnation,omitempty"`
	ConfigurationVersion uint64             `json:"configurationVersion"`
	Servers              []*wire.ServerLoad `json:"servers,omitempty"`
}

// Explanation is the answer to GET /v1/explain. It holds the events of one request.
type Explanation struct {
	Events []*wire.EventRecord `json:"events"`
	// Silent holds the names of the instances that did not answer.
	Silent []string `json:"silent,omitempty"`
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request, _ string) {
	events, silent := s.Control.Explain(r.Context(), r.PathValue("request"))
	writeJSON(w, http.StatusOK, Explanation{events, silent})
}

func (s *Server) status(w http.ResponseWriter, r *http.Request, _ string) {
	writeJSON(w, http.StatusOK, s.Control.Status(r.Context()))
}
