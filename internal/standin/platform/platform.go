// Package platform is a stand-in for the platform's service: an object API with
// versions, conditional updates and watches, and a list of instances.
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

// maxValueBytes is the largest size of a stored value.
const maxValueBytes = 1 << 20

// Faults are the faults that can be injected.
type Faults struct {
	// Outage closes the connection of every call without an answer.
	Outage bool `json:"outage"`
	// DelayMillis delays every call.
	DelayMillis int `json:"delayMillis"`
	// LoseAnswers is the number of writes that take effect but whose answer is
	// lost.
	LoseAnswers int `json:"loseAnswers"`
	// SilentWatches leaves watches without an answer.
	SilentWatches bool `json:"silentWatches"`
	// ListLagMillis is how late changes of the list of instances become visible.
	ListLagMillis int `json:"listLagMillis"`
}

// Counts holds the numbers of calls by kind. A watch counts once, however long it
// waits.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
}

// Server is the stand-in. It implements http.Handler.
type Server struct {
	mu      sync.Mutex
	objects map[string]tamarackrun.Object
	// changed is closed and replaced at each write, which wakes the watches.
	changed chan struct{}
	faults  Faults
	counts  Counts
	// listVersions holds all versions of the list of instances, the oldest first.
	listVersions []listVersion
	mux          *http.ServeMux
}

// listVersion is a list of instances with the time at which it was set.
type listVersion struct {
	since time.Time
	list  []tamarackrun.Listing
}

// New returns a server without objects and instances.
func New() *Server {
	s := &Server{objects: map[string]tamarackrun.Object{}, changed: make(chan struct{}), mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /objects/{name...}", s.withFaults(s.get))
	s.mux.HandleFunc("PUT /objects/{name...}", s.withFaults(s.put))
	s.mux.HandleFunc("GET /list", s.withFaults(s.list))
	s.mux.HandleFunc("GET /instances", s.withFaults(s.instances))
	// The paths below /switch are for tests and the demo. The platform's API does
	// not have them.
	s.mux.HandleFunc("PUT /switch/faults", s.setFaults)
	s.mux.HandleFunc("PUT /switch/instances", s.setInstances)
	s.mux.HandleFunc("GET /switch/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	return s
}

// ServeHTTP serves one call of the API.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Counts returns the numbers of calls so far.
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
	s.listVersions = append(s.listVersions, listVersion{time.Now(), list})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// withFaults applies the outage and the delay to a handler.
func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
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
	waitMillis, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
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
	timer := time.NewTimer(time.Duration(waitMillis) * time.Millisecond)
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

// writeObject answers with an object, or with status 404 if ok is false.
func writeObject(w http.ResponseWriter, object tamarackrun.Object, ok bool) {
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Object-Version", strconv.FormatInt(object.Version, 10))
	_, _ = w.Write(object.Value)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	expected, versionErr := strconv.ParseInt(r.Header.Get("If-Version"), 10, 64)
	if err != nil || versionErr != nil || len(value) > maxValueBytes {
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
	loseAnswer := s.faults.LoseAnswers > 0
	if loseAnswer {
		s.faults.LoseAnswers--
	}
	s.mu.Unlock()
	if loseAnswer {
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
	for i, v := range s.listVersions {
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
