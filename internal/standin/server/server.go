// Package server is a stand-in for a backend server with slots, draining and a
// record of every execution.
package server

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Faults are the faults that can be injected, and the time that requests take.
type Faults struct {
	// Draining announces that the server is leaving.
	Draining bool `json:"draining"`
	// FailAll answers every request with status 500.
	FailAll bool `json:"failAll"`
	// ShedAll makes the server refuse every request as if all slots were taken.
	ShedAll bool `json:"shedAll"`
	// MisleadHealth makes the health check report "ready" and load 0 in any case.
	MisleadHealth bool `json:"misleadHealth"`
	// DropAnswers is the number of requests that run but whose connection is
	// closed without an answer.
	DropAnswers int `json:"dropAnswers"`
	// TruncateAnswers is the number of answers that are cut off in the middle.
	TruncateAnswers int `json:"truncateAnswers"`
	// WorkMillis is the time that a request takes.
	WorkMillis int `json:"workMillis"`
	// StreamMillis is how long the server sends short pieces before the rest of the
	// answer.
	StreamMillis int `json:"streamMillis"`
	// ColdMillis is added to WorkMillis for the first ColdRequests requests.
	ColdMillis   int `json:"coldMillis"`
	ColdRequests int `json:"coldRequests"`
}

// Execution is one request that the server ran.
type Execution struct {
	Method       string      `json:"method"`
	Target       string      `json:"target"`
	Organisation string      `json:"organisation"`
	Header       http.Header `json:"header"`
	Body         string      `json:"body"`
	// At is when the request began to run.
	At time.Time `json:"at"`
}

// Record holds the requests that the server ran and the number of those it refused.
type Record struct {
	Executions []Execution `json:"executions"`
	// Shed is the number of requests that were refused because all slots were taken.
	Shed int `json:"shed"`
	// MostInFlight is the largest number of requests that ran at the same time.
	MostInFlight int `json:"mostInFlight"`
	// Cancelled is the number of requests whose sender went away while they ran.
	Cancelled int `json:"cancelled"`
}

// Server is the stand-in. It implements http.Handler.
type Server struct {
	// Name and Slots are set before the first request. Slots is the number of
	// requests that may run at the same time.
	Name  string
	Slots int

	mu       sync.Mutex
	faults   Faults
	record   Record
	inFlight int
	mux      *http.ServeMux
}

// New returns a backend server.
func New(name string, slots int) *Server {
	s := &Server{Name: name, Slots: slots, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /health", s.health)
	s.mux.HandleFunc("PUT /switch/faults", s.setFaults)
	s.mux.HandleFunc("GET /switch/record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Record()) })
	s.mux.HandleFunc("/", s.serveWork)
	return s
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Record returns a copy of the record.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.record
	record.Executions = append([]Execution{}, s.record.Executions...)
	return record
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, load := "ready", float64(s.inFlight)/float64(s.Slots)
	if s.faults.Draining {
		state = "draining"
	}
	if s.faults.MisleadHealth {
		state, load = "ready", 0
	}
	writeJSON(w, map[string]any{"state": state, "load": load})
}

// acquireSlot takes a slot, records the execution and returns the faults that apply
// to it. It returns false if all slots are taken.
func (s *Server) acquireSlot(r *http.Request, body string) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= s.Slots || s.faults.ShedAll {
		s.record.Shed++
		return s.faults, false
	}
	s.inFlight++
	s.record.MostInFlight = max(s.record.MostInFlight, s.inFlight)
	f := s.faults
	if len(s.record.Executions) < f.ColdRequests {
		f.WorkMillis += f.ColdMillis
	}
	s.record.Executions = append(s.record.Executions, Execution{r.Method, r.URL.RequestURI(),
		r.Header.Get("Tamarackrun-Organisation"), r.Header.Clone(), body, time.Now()})
	if s.faults.DropAnswers > 0 {
		s.faults.DropAnswers--
	} else if s.faults.TruncateAnswers > 0 {
		s.faults.TruncateAnswers--
	}
	return f, true
}

func (s *Server) releaseSlot() {
	s.mu.Lock()
	s.inFlight--
	s.mu.Unlock()
}

// serveWork runs a request and answers it. Without a free slot it answers with
// status 503 and X-Not-Run.
func (s *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Tamarackrun-Request-Id", r.Header.Get("Tamarackrun-Request-Id"))
	f, ok := s.acquireSlot(r, string(body))
	if f.Draining {
		w.Header().Set("X-Draining", "true")
	}
	if !ok {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	select {
	case <-time.After(time.Duration(f.WorkMillis) * time.Millisecond):
	case <-r.Context().Done():
		s.mu.Lock()
		s.record.Cancelled++
		s.mu.Unlock()
		return
	}
	answer := fmt.Sprintf("%s ran %s %s: %s\n", s.Name, r.Method, r.URL.RequestURI(), body)
	switch {
	case f.DropAnswers > 0:
		panic(http.ErrAbortHandler)
	case f.TruncateAnswers > 0:
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	case f.FailAll:
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	stream(w, r, time.Duration(f.StreamMillis)*time.Millisecond)
	_, _ = io.WriteString(w, answer)
}

// streamInterval is the time between two pieces of a streamed answer.
const streamInterval = 50 * time.Millisecond

// stream sends a short piece every streamInterval for the duration.
func stream(w http.ResponseWriter, r *http.Request, duration time.Duration) {
	for start := time.Now(); time.Since(start) < duration && r.Context().Err() == nil; time.Sleep(streamInterval) {
		_, _ = io.WriteString(w, "piece\n")
		w.(http.Flusher).Flush()
	}
}
