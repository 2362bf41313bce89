// Package server is a small stand-in for a backend server with slots, draining
// and a record of every execution.
package server

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// Faults are the failures that the stand-in can show.
type Faults struct {
	// Draining announces that the server is leaving.
	Draining bool `json:"draining"`
	// FailAll answers every request with status 500.
	FailAll bool `json:"failAll"`
	// MisleadHealth says "ready" and load 0 whatever the truth.
	MisleadHealth bool `json:"misleadHealth"`
	// DropAnswers runs this many requests and then closes the connection
	// without an answer.
	DropAnswers int `json:"dropAnswers"`
	// TruncateAnswers ends this many answers early.
	TruncateAnswers int `json:"truncateAnswers"`
	// WorkMillis is the time that a request takes.
	WorkMillis int `json:"workMillis"`
	// StreamMillis is the time over which the answer is sent in pieces.
	StreamMillis int `json:"streamMillis"`
	// ColdMillis is added while fewer than ColdRequests requests were served.
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
}

// Record is what the server saw.
type Record struct {
	Executions []Execution `json:"executions"`
	Shed       int         `json:"shed"`
	// MostInFlight is the most requests that ran at the same time.
	MostInFlight int `json:"mostInFlight"`
	Cancelled    int `json:"cancelled"`
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	// Name and Slots are set before the first request.
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
	s.mux.HandleFunc("/", s.work)
	return s
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Record returns a copy of what the server saw.
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

// begin takes a slot and returns the faults in force, or false to shed.
func (s *Server) begin(r *http.Request, body string) (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inFlight >= s.Slots {
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
		r.Header.Get("Tamarackrun-Organisation"), r.Header.Clone(), body})
	if s.faults.DropAnswers > 0 {
		s.faults.DropAnswers--
	} else if s.faults.TruncateAnswers > 0 {
		s.faults.TruncateAnswers--
	}
	return f, true
}

func (s *Server) end() {
	s.mu.Lock()
	s.inFlight--
	s.mu.Unlock()
}

func (s *Server) work(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f, ok := s.begin(r, string(body))
	if f.Draining {
		w.Header().Set("X-Draining", "true")
	}
	if !ok {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.end()
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

const streamInterval = 50 * time.Millisecond

// stream sends short pieces for the time.
func stream(w http.ResponseWriter, r *http.Request, d time.Duration) {
	for began := time.Now(); time.Since(began) < d && r.Context().Err() == nil; time.Sleep(streamInterval) {
		_, _ = io.WriteString(w, "piece\n")
		w.(http.Flusher).Flush()
	}
}
