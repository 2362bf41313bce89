package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// strandedTime is how long the instance is cut off from all servers.
	strandedTime = 12 * time.Second
	// strandedCallers is the number of callers, each of which sends a request every strandedPause.
	strandedCallers = 9
	strandedPause   = 250 * time.Millisecond
)

// tries counts the first tries of callers at some instances.
type tries struct{ sent, served int }

// playStranded cuts one of three instances off from all servers, whose answers have a header with a letter that is not
// ASCII, and compares how often first tries are served there and at the others.
func playStranded(w *world) (int, error) {
	address, err := w.serveStore()
	if err != nil {
		return failed, err
	}
	if err := w.configure([]string{"logbook", "certifier"},
		route{prefix: "/logs/", service: "logbook", safe: true, attempts: 2, timeout: 4 * time.Second},
		route{prefix: "/stamps/", service: "certifier", attempts: 2, timeout: 4 * time.Second}); err != nil {
		return failed, err
	}
	for _, service := range []string{"logbook", "certifier"} {
		flags := []string{"-work", "50ms"}
		if os.Getenv("PLAIN") == "" {
			flags = append(flags, "-file-name", "caf\xe9.csv")
		}
		if err := w.startBackends(service, 6, flags...); err != nil {
			return failed, err
		}
	}
	const ownPort = serverPort + 1
	ways, err := w.newLinks(ownPort)
	if err != nil {
		return failed, err
	}
	ownStore, err := w.serveStoreFor(address, ownPort)
	if err != nil {
		return failed, err
	}
	w.storeOf = map[int]string{0: ownStore}
	if err := w.startInstances(address, "wolverhampton", "leicester", "newark"); err != nil {
		return failed, err
	}
	time.Sleep(contactTime)
	var mu sync.Mutex
	var began time.Time
	stranded, others, failures, unserved := tries{}, tries{}, map[string]int{}, []string(nil)
	done := make(chan struct{})
	var group sync.WaitGroup
	for i := range strandedCallers {
		group.Go(func() {
			for j := 0; ; j++ {
				select {
				case <-done:
					return
				case <-time.After(strandedPause):
				}
				in, c := w.instances[i%len(w.instances)], call{id: newID(), method: http.MethodGet, path: "/logs/" + newID(), timeout: requestTimeout}
				if j%2 == 1 {
					c.method, c.path, c.body = http.MethodPost, "/stamps/"+newID(), "batch"
				}
				sent := time.Now()
				status, err := w.send(in, c)
				mu.Lock()
				if !began.IsZero() && sent.Sub(began) > contactTime {
					t := &others
					if in == w.instances[0] {
						t = &stranded
					}
					t.sent++
					if err == nil && status/100 == 2 {
						t.served++
					} else {
						failures[fmt.Sprintf("%s at %s: status %d", c.method, in.name, status)]++
						unserved = append(unserved, c.id)
					}
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	began = time.Now()
	mu.Unlock()
	if w.trouble {
		w.note("%s is cut off from all servers", w.instances[0].name)
		if err := ways.setCut(true); err != nil {
			return failed, err
		}
	}
	time.Sleep(strandedTime)
	close(done)
	group.Wait()
	runs, err := w.runs()
	if err != nil {
		return failed, err
	}
	hasRun := map[string]bool{}
	for _, r := range runs {
		hasRun[r.request] = true
	}
	lostAnswers := 0
	for _, id := range unserved {
		if hasRun[id] {
			lostAnswers++
		}
	}
	w.note("failures: %v; %d of %d of these requests have run", failures, lostAnswers, len(unserved))
	w.note("first tries later than %s after the cut began: %d of %d served at the instance that is cut off, %d of %d at the others",
		contactTime, stranded.served, stranded.sent, others.served, others.sent)
	if stranded.sent == 0 || others.served == 0 {
		return failed, fmt.Errorf("no tries")
	}
	lost := stranded.sent - stranded.served
	if 3*stranded.served*others.sent < 2*others.served*stranded.sent && lost > 10+(stranded.sent+others.sent)/50 {
		return broken, nil
	}
	return held, nil
}
