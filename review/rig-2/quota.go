package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// organisationRate and organisationBurst are the organisation's limit, and quotaWindow, quotaOverage and quotaSlack the
	// bounds in the settings.
	organisationRate, organisationBurst = 40, 10
	quotaWindow                         = 5 * time.Second
	quotaOverage, quotaSlack            = 0.1, 20
	// calmTime is the time between the departure of an instance and the organisation's burst, which lasts burstTime. Each
	// instance gets a request every burstPause.
	calmTime, burstTime = 8 * time.Second, 12 * time.Second
	burstPause          = 25 * time.Millisecond
)

// playQuota lets one of four instances leave for good, and then sends three times an organisation's limit to the others.
func playQuota(w *world) (int, error) {
	address, err := w.serveStore()
	if err != nil {
		return failed, err
	}
	w.rate, w.burst = organisationRate, organisationBurst
	if err := w.configure([]string{"logbook"}, route{prefix: "/logs/", service: "logbook", safe: true, attempts: 1, timeout: 4 * time.Second}); err != nil {
		return failed, err
	}
	if err := w.startBackends("logbook", 6, "-work", "20ms"); err != nil {
		return failed, err
	}
	if err := w.startInstances(address, "wolverhampton", "wolverhampton", "leicester", "newark"); err != nil {
		return failed, err
	}
	time.Sleep(contactTime)
	staying, leaving := w.instances[:3], w.instances[3]
	if w.trouble {
		leaving.signal(syscall.SIGTERM)
		w.note("%s gets SIGTERM and does not come back", leaving.name)
	} else {
		staying = w.instances
	}
	time.Sleep(calmTime)
	w.note("the organisation sends %.0f requests a second to %d instances", float64(len(staying))/burstPause.Seconds(), len(staying))
	var mu sync.Mutex
	statuses := map[int]int{}
	var group sync.WaitGroup
	for end := time.Now().Add(burstTime); time.Now().Before(end); time.Sleep(burstPause) {
		for _, in := range staying {
			group.Go(func() {
				status, _ := w.send(in, call{id: newID(), method: http.MethodGet, path: "/logs/" + newID(), timeout: requestTimeout})
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
	}
	group.Wait()
	w.note("answers by status: %v", statuses)
	return w.judgeQuota()
}

// judgeQuota checks the rule: no window has more runs than the organisation's limit allows.
func (w *world) judgeQuota() (int, error) {
	all, err := w.runs()
	if err != nil {
		return failed, err
	}
	if len(all) == 0 {
		return failed, fmt.Errorf("no request has run")
	}
	slices.SortFunc(all, func(a, b run) int { return a.at.Compare(b.at) })
	allowed := int((organisationRate*quotaWindow.Seconds()+organisationBurst)*(1+quotaOverage) + quotaSlack)
	most, from, first := 0, time.Time{}, 0
	for i, r := range all {
		for r.at.Sub(all[first].at) > quotaWindow {
			first++
		}
		if n := i - first + 1; n > most {
			most, from = n, all[first].at
		}
	}
	w.note("%d runs; the most in %s are %d, from %.3f s on; %d are allowed", len(all), quotaWindow, most, from.Sub(w.began).Seconds(), allowed)
	if most > allowed {
		return broken, nil
	}
	return held, nil
}
