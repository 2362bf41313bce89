// Package platform is a small stand-in for the platform's service: an object
// API with versions, conditional updates and watches, and a list of instances.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"tamarackrun"
)

const maxValue = 1 << 20

// Faults are the failures that the stand-in can show.
type Faults struct {
	// Outage refuses all calls.
	Outage bool `json:"outage"`
	// DelayMillis holds every call up.
	DelayMillis int `json:"delayMillis"`
	// LoseAnswers is the number of writes that take effect while their answer
	// is lost.
	LoseAnswers int `json:"loseAnswers"`
	// SilentWatches leaves watches without an answer.
	SilentWatches bool `json:"silentWatches"`
	// ListLagMillis is the lag of the list of instances.
	ListLagMillis int `json:"listLagMillis"`
}

// Counts are the calls served, by kind. A waiting watch counts once.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
}

// Server is the stand-in. It is an http.Handler.
type Server struct {
	mu       sync.Mutex
	objects  map[string]tamarackrun.Object
	changed  chan struct{}
	faults   Faults
	counts   Counts
	listings []listingVersion
	mux      *http.ServeMux
}

type listingVersion struct {
	since time.Time
	list  []tamarackrun.Listing
}

// New returns an empty store.
func New() *Server {
	s := &Server{objects: map[string]tamarackrun.Object{}, changed: make(chan struct{}), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /objects/{name...}", s.limited(s.get))
	s.mux.HandleFunc("PUT /objects/{name...}", s.limited(s.put))
	s.mux.HandleFunc("GET /list", s.limited(s.list))
	s.mux.HandleFunc("GET /instances", s.limited(s.instances))
	// The switch calls belong to tests and the demo, not to the API.
	s.mux.HandleFunc("PUT /switch/faults", s.setFaults)
	s.mux.HandleFunc("PUT /switch/instances", s.setInstances)
	s.mux.HandleFunc("GET /switch/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	return s
}

// ServeHTTP serves the API.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Counts returns the calls served so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetInstances replaces the list of instances, which readers see after the lag.
func (s *Server) SetInstances(list []tamarackrun.Listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listings = append(s.listings, listingVersion{time.Now(), list})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (s *Server) limited(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
		if f.Outage {
			panic(http.ErrAbortHandler)
		}
		next(w, r)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	watch := err == nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	s.mu.Lock()
	silent := s.faults.SilentWatches && watch
	if watch {
		s.counts.Watches++
	} else {
		s.counts.Reads++
	}
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		object, ok := s.objects[name]
		changed := s.changed
		s.mu.Unlock()
		if !watch || ok && object.Version > after {
			writeObject(w, object, ok)
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timer.C:
			w.WriteHeader(http.StatusNotModified)
			return
		}
	}
}

func writeObject(w http.ResponseWriter, object tamarackrun.Object, ok bool) {
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Object-Version", strconv.FormatInt(object.Version, 10))
	_, _ = w.Write(object.Value)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	expected, err2 := strconv.ParseInt(r.Header.Get("If-Version"), 10, 64)
	if err != nil || err2 != nil || len(value) > maxValue {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name := r.PathValue("name")
	s.mu.Lock()
	s.counts.Writes++
	current := s.objects[name]
	if current.Version != expected {
		s.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	object := tamarackrun.Object{Name: name, Version: expected + 1, Value: value}
	s.objects[name] = object
	close(s.changed)
	s.changed = make(chan struct{})
	lose := s.faults.LoseAnswers > 0
	if lose {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeObject(w, object, true)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	s.mu.Lock()
	s.counts.Reads++
	objects := []tamarackrun.Object{}
	for name, object := range s.objects {
		if strings.HasPrefix(name, prefix) {
			objects = append(objects, object)
		}
	}
	s.mu.Unlock()
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	writeJSON(w, objects)
}

func (s *Server) instances(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Reads++
	visible := []tamarackrun.Listing{}
	for i, v := range s.listings {
		lag := time.Duration(s.faults.ListLagMillis) * time.Millisecond
		if i == 0 || time.Since(v.since) >= lag {
			visible = v.list
		}
	}
	writeJSON(w, visible)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) setInstances(w http.ResponseWriter, r *http.Request) {
	var list []tamarackrun.Listing
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.SetInstances(list)
}
