package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is how long a machine stands still.
	freezeTime = 5 * time.Second
	// killAfter is the time from the start of the freeze to the loss of the other machine. Machines report to each
	// other several times in it.
	killAfter = 500 * time.Millisecond
	// lookupClients is the number of callers, each of which asks the directory again after lookupPause, the time for
	// which it may keep an answer.
	lookupClients = 60
	lookupPause   = 2 * time.Second
	// detectionSlack is the time beyond contactTime after which no answer may name a dead machine, and maxLateAnswers
	// the number of answers that may.
	detectionSlack = 3 * time.Second
	maxLateAnswers = 3
)

// lookup asks the directory of an instance for the instances near a zone.
func (in *instance) lookup(zone string) ([]string, error) {
	query := url.Values{"name": {"h.example"}, "region": {zones[zone]}, "zone": {zone}}
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := c.Get("http://" + in.ip + ":8385/resolve?" + query.Encode())
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer.Addresses, err
}

// playDirectory lets one machine stand still while another one of its zone is lost for good, and looks which machines the
// directory of a third one names.
func playDirectory(w *world) (int, error) {
	address, err := w.serveStore()
	if err != nil {
		return failed, err
	}
	if err := w.configure([]string{"logbook"}, route{prefix: "/logs/", service: "logbook", safe: true, attempts: 2, timeout: 5 * time.Second}); err != nil {
		return failed, err
	}
	if err := w.startBackends("logbook", 6, "-work", "50ms"); err != nil {
		return failed, err
	}
	if err := w.startInstances(address, "wolverhampton", "wolverhampton", "worcester", "leicester", "newark"); err != nil {
		return failed, err
	}
	time.Sleep(contactTime)
	frozen, lost, asked := w.instances[0], w.instances[1], w.instances[2]
	freeze, kill := w.trouble && os.Getenv("ONLY") != "kill", w.trouble && os.Getenv("ONLY") != "freeze"
	var mu sync.Mutex
	var killedAt time.Time
	late, all := 0, 0
	done := make(chan struct{})
	var group sync.WaitGroup
	for i := range lookupClients {
		group.Go(func() {
			time.Sleep(lookupPause * time.Duration(i) / lookupClients)
			for {
				addresses, err := asked.lookup("worcester")
				w.note("answer of %s: %v, error %v", asked.name, addresses, err)
				mu.Lock()
				all++
				if err == nil && !killedAt.IsZero() && slices.Contains(addresses, lost.ip+":8389") && slices.Contains(addresses, asked.ip+":8389") {
					if after := time.Since(killedAt); after > contactTime+detectionSlack {
						late++
						w.note("an answer of %s names %s, which was killed %.3f s before: %v", asked.name, lost.name, after.Seconds(), addresses)
					}
				}
				mu.Unlock()
				select {
				case <-done:
					return
				case <-time.After(lookupPause):
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	if freeze {
		w.note("%s stands still", frozen.name)
		frozen.signal(syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() {
			frozen.signal(syscall.SIGCONT)
			w.note("%s goes on", frozen.name)
		})
	}
	time.Sleep(killAfter)
	if kill {
		lost.kill()
		w.note("%s is killed and does not come back", lost.name)
		mu.Lock()
		killedAt = time.Now()
		mu.Unlock()
	}
	time.Sleep(14 * time.Second)
	close(done)
	group.Wait()
	w.note("%d answers; %d named the machine later than %s after it was killed; %d are allowed", all, late, contactTime+detectionSlack, maxLateAnswers)
	switch {
	case all == 0:
		return failed, fmt.Errorf("%s answered no question", asked.name)
	case late > maxLateAnswers:
		return broken, nil
	}
	return held, nil
}

// signal sends a signal to the process.
func (in *instance) signal(s syscall.Signal) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.process != nil {
		_ = in.process.Signal(s)
	}
}
