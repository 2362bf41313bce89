package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"sync"
	"time"
)

const (
	spoiledCallers  = 8
	spoiledRequests = 150
	// spoiledPause keeps the callers below the organisation's limit.
	spoiledPause = 60 * time.Millisecond
)

// statusLine matches the first line of a response (RFC 9112, section 4; RFC 9110, section 15: 100 to 999 with a first
// digit that names a class).
var statusLine = regexp.MustCompile(`^HTTP/1\.[01] [1-9][0-9]{2} `)

// playSpoiled sends requests to servers some of whose answers are bytes that are no response, and looks whether callers
// get responses.
func playSpoiled(w *world) (int, error) {
	flags := []string{"-work", "20ms"}
	if w.trouble {
		flags = append(flags, "-spoiled", "0.05")
	}
	address, err := w.serveStore()
	if err != nil {
		return failed, err
	}
	if err := w.configure([]string{"logbook", "certifier"},
		route{prefix: "/logs/", service: "logbook", safe: true, attempts: 2, timeout: 4 * time.Second},
		route{prefix: "/stamps/", service: "certifier", attempts: 2, timeout: 4 * time.Second}); err != nil {
		return failed, err
	}
	// Half of the servers spoil answers.
	for _, service := range []string{"logbook", "certifier"} {
		if err := w.startBackends(service, 3, flags...); err != nil {
			return failed, err
		}
		if err := w.startBackends(service, 3, "-work", "20ms"); err != nil {
			return failed, err
		}
	}
	if err := w.startInstances(address, "wolverhampton", "leicester", "newark"); err != nil {
		return failed, err
	}
	time.Sleep(contactTime)
	var mu sync.Mutex
	lines, invalid := map[string]int{}, 0
	var group sync.WaitGroup
	for i := range spoiledCallers {
		group.Go(func() {
			for j := range spoiledRequests {
				in, c := w.instances[(i+j)%len(w.instances)], call{id: newID(), method: http.MethodGet, path: "/logs/" + newID(), timeout: requestTimeout}
				if j%2 == 1 {
					c.method, c.path, c.body = http.MethodPost, "/stamps/"+newID(), "batch"
				}
				line, err := w.firstLine(in, c)
				mu.Lock()
				lines[strings.TrimRight(line, "\r\n")]++
				if err == nil && !statusLine.MatchString(line) {
					invalid++
					w.note("%s %s %s: the caller gets %q from %s", c.method, c.path, c.id, line, in.name)
				}
				mu.Unlock()
				time.Sleep(spoiledPause)
			}
		})
	}
	group.Wait()
	w.note("first lines of answers: %v", lines)
	w.note("%d answers to callers are no responses", invalid)
	if len(lines) == 0 || lines[""] == spoiledCallers*spoiledRequests {
		return failed, fmt.Errorf("no answers")
	}
	if invalid > 0 {
		return broken, nil
	}
	return held, nil
}

// firstLine sends a request on a new connection and returns the first line that comes back.
func (w *world) firstLine(in *instance, c call) (string, error) {
	conn, err := w.dial(in, c)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	line, err := bufio.NewReader(conn).ReadString('\n')
	w.note("sent %s %s %s to %s, first line %q, error %v", c.id, c.method, c.path, in.name, line, err)
	if errors.Is(err, io.EOF) {
		return line, nil
	}
	return line, err
}
