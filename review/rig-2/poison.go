package main

import (
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	poisonPath = "/logs" + poisonMark + "/batch-17"
	// maxLaterRetries is the number of retries that the rule allows.
	maxLaterRetries = 3
	poisonTime      = 30 * time.Second
	poisonInterval  = time.Second
	requestTimeout  = 4 * time.Second
)

// playPoison sends the same request again and again, under which each server ends within its answer, among
// other requests.
func playPoison(w *world) (int, error) {
	flags := []string{"-work", "50ms"}
	if w.trouble {
		when := withinAnswer
		if os.Getenv("CRASH") == beforeAnswer {
			when = beforeAnswer
		}
		flags = append(flags, "-crash", when)
	}
	address, err := w.serveStore()
	if err != nil {
		return failed, err
	}
	if err := w.configure([]string{"logbook"}, route{prefix: "/logs/", service: "logbook", safe: true, attempts: 2, timeout: 5 * time.Second}); err != nil {
		return failed, err
	}
	if err := w.startBackends("logbook", 12, flags...); err != nil {
		return failed, err
	}
	if err := w.startInstances(address, "wolverhampton", "leicester", "newark"); err != nil {
		return failed, err
	}
	// All instances are in touch from here on.
	time.Sleep(contactTime)
	var others sync.WaitGroup
	done := make(chan struct{})
	others.Go(func() { w.sendOthers(done) })
	for i, end := 0, time.Now().Add(poisonTime); time.Now().Before(end); i++ {
		in, c := w.instances[i%len(w.instances)], call{id: newID(), method: http.MethodGet, path: poisonPath, timeout: requestTimeout}
		// The record has what happened.
		_, _ = w.send(in, c)
		time.Sleep(poisonInterval)
	}
	close(done)
	others.Wait()
	return w.judgePoison()
}

// sendOthers sends other requests until done is closed.
func (w *world) sendOthers(done <-chan struct{}) {
	statuses := map[int]int{}
	for i := 0; ; i++ {
		select {
		case <-done:
			w.note("other requests by status, 0 without an answer: %v", statuses)
			return
		case <-time.After(50 * time.Millisecond):
		}
		status, _ := w.send(w.instances[i%len(w.instances)], call{id: newID(), method: http.MethodGet, path: "/logs/" + newID(), timeout: requestTimeout})
		statuses[status]++
	}
}

// judgePoison checks the rule: no more than three retries reach servers later than contactTime after the third crash.
func (w *world) judgePoison() (int, error) {
	all, err := w.runs()
	if err != nil {
		return failed, err
	}
	var poison []run
	for _, r := range all {
		if r.uri == poisonPath {
			poison = append(poison, r)
		}
	}
	w.note("%d runs of all requests, %d of the poison", len(all), len(poison))
	if !w.trouble {
		if len(poison) < int(poisonTime/(2*poisonInterval)) {
			return broken, nil
		}
		return held, nil
	}
	if len(poison) < 3 {
		return held, nil
	}
	later := 0
	for _, r := range poison[3:] {
		if r.at.Sub(poison[2].at) > contactTime {
			later++
		}
	}
	w.note("%d retries have reached servers later than %s after the third crash; %d are allowed", later, contactTime, maxLaterRetries)
	if later > maxLaterRetries {
		return broken, nil
	}
	return held, nil
}
