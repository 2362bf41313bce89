package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// healthPath is the path of health probes in the configuration.
const healthPath = "/healthz"

// Headers of the platform's pages.
const (
	headerRequestID   = "X-Request-Id"
	headerSignature   = "X-Response-Signature"
	headerNotExecuted = "X-Not-Executed"
)

// server is a backend server that runs as a process of its own. It processes slots requests at a time and queues
// as many again.
type server struct {
	id    string
	slots int
	work  time.Duration
	// crash says when the server ends under a request whose path contains poisonMark: beforeAnswer or withinAnswer;
	// empty means that it runs such a request like any other.
	crash string
	// spoiled is the part of the answers in place of which the server sends bytes that are no response.
	spoiled float64
	// fileName is the name in the header Content-Disposition of answers; empty means that they have none.
	fileName string
	// report is the file to which a line is appended for each run.
	report *os.File

	mu      sync.Mutex
	present int
	running chan struct{}
}

// poisonMark is a part of the path of requests that crash servers.
const poisonMark = "/poison"

// Values of server.crash.
const (
	beforeAnswer = "before"
	withinAnswer = "within"
)

// answerBytes is the length of an answer's body.
const answerBytes = 5000

// note appends a line to the report with one call, so that it is there when the process ends.
func (s *server) note(kind string, r *http.Request) {
	_, _ = fmt.Fprintf(s.report, "%d %s %s %s %s %s\n", time.Now().UnixMilli(), kind, s.id, r.Header.Get(headerRequestID), r.Method, r.RequestURI)
}

// enter counts a request. It returns false if the queue is full.
func (s *server) enter(change int) (ok bool, load string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if change > 0 && s.present >= 2*s.slots {
		return false, s.load()
	}
	s.present += change
	return true, s.load()
}

// load returns the value of X-Server-Load. The caller holds s.mu.
func (s *server) load() string {
	return strconv.Itoa(min(s.present, s.slots)) + "," + strconv.Itoa(max(0, s.present-s.slots)) + "," + strconv.Itoa(s.slots)
}

// ServeHTTP handles one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, header := r.Header.Get(headerRequestID), w.Header()
	if id != "" {
		header.Set(headerRequestID, id)
	}
	header.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == healthPath {
		header.Set("X-Instance-Id", s.id)
		header.Set("X-Cold-Remaining-Ms", "0")
		return
	}
	switch expected := r.Header.Get("X-Expect-Instance"); {
	case id == "":
		header.Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case expected != "" && expected != s.id:
		header.Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ok, load := s.enter(1)
	header.Set("X-Server-Load", load)
	if !ok {
		header.Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.enter(-1)
	s.running <- struct{}{}
	defer func() { <-s.running }()
	s.note("run", r)
	time.Sleep(s.work)
	poison := s.crash != "" && isPoison(r.URL.Path)
	if poison && s.crash == beforeAnswer {
		end()
	}
	answer := make([]byte, answerBytes)
	for i := range answer {
		answer[i] = 'a' + byte((i+len(body))%26)
	}
	header.Set(headerSignature, "signed-by-"+s.id+"-for-"+id)
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	if s.fileName != "" {
		header.Set("Content-Disposition", `attachment; filename="`+s.fileName+`"`)
	}
	if rand.Float64() < s.spoiled {
		s.spoil(w, id)
		return
	}
	if poison {
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		end()
	}
	_, _ = w.Write(answer)
}

// end ends the process, as a crash does.
func end() { os.Exit(1) }

// spoil sends bytes that are no response, since they have no status, and ends the connection.
func (s *server) spoil(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 000 \r\n%s: %s\r\nContent-Length: 2\r\nConnection: close\r\n\r\n??", headerRequestID, id)
	_ = conn.Close()
}
