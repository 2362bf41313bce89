package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"tamarackrun/platform/standin"
)

const (
	// failedOrders is the number of orders of the case, and greyTime how long the upstream fails
	// requests.
	failedOrders = 120
	greyTime     = 6 * time.Second
)

// runFailedRun lets one upstream of three run every second of its requests and then fail with an
// answer that does not say that it has not run. It checks that no client is told that such a
// request has not run (REFUSED). Clients repeat what they are told has not run, once.
func runFailedRun(ctx context.Context, d *deployment, trouble bool) (string, error) {
	v := d.upstreams[len(d.upstreams)-1]
	v.setFailing(trouble)
	time.AfterFunc(greyTime, func() { v.setFailing(false) })
	c := &clients{d: d}
	refused, served := map[string]int{}, 0
	orders := map[string]int{}
	for i := 0; i < failedOrders && ctx.Err() == nil; i++ {
		for attempt := range 2 {
			id := fmt.Sprintf("order%d-%d", i, attempt)
			e := &exchange{id: id, machine: d.machines[i%len(d.machines)], sent: time.Now()}
			c.send(e, standin.Call{ID: id, Method: http.MethodPost, Target: fmt.Sprintf("/stamp/order%d", i), Key: tenantKey, Timeout: 4 * time.Second})
			if !standin.PromisesNotRun(e.status) {
				if e.status == http.StatusOK {
					served++
				}
				break
			}
			refused[id] = e.status
		}
	}
	broken := 0
	for id, runs := range d.allRuns() {
		orders[runs[0].target] += len(runs)
		if status, ok := refused[id]; ok {
			broken++
			d.record.add("%s got %d and has run", id, status)
		}
	}
	twice := 0
	for _, n := range orders {
		if n > 1 {
			twice++
		}
	}
	d.record.add("%d of %d orders were served; %d requests were refused as not run, of which %d have run; %d orders ran more than once, since their client repeated them",
		served, failedOrders, len(refused), broken, twice)
	switch {
	case served == 0:
		return "", fmt.Errorf("no order was served")
	case broken > 0:
		return fmt.Sprintf("REFUSED: %d requests of an unsafe route were answered 503 and have run; %d orders ran twice, since their clients believed it", broken, twice), nil
	}
	return "", nil
}

// setFailing sets whether the upstream fails every second request after it has run it.
func (v *upstream) setFailing(failing bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.failing = failing
}
