package demo

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"syscall"
	"time"

	"tamarackrun/internal/standin/caller"
	"tamarackrun/internal/standin/server"
	"tamarackrun/internal/state/configuration"
)

const (
	callersPerOrganisation = 2
	// callerPause keeps the callers of an organisation below the smallest rate of
	// a deployment.
	callerPause    = 250 * time.Millisecond
	requestTimeout = 10 * time.Second
)

// sendLoad sends mixed requests while an instance is killed, a backend server
// is drained and another instance is stopped.
func (d *Demo) sendLoad(ctx context.Context) (*report, error) {
	loadContext, cancel := context.WithTimeout(ctx, d.Load)
	defer cancel()
	r := newReport()
	var group sync.WaitGroup
	for _, o := range d.organisationNames() {
		for n := range callersPerOrganisation {
			group.Go(func() { d.runCaller(loadContext, r, o, n) })
		}
	}
	disturbances := []struct {
		// fraction is the part of the load's duration after which act is called.
		fraction float64
		what     string
		act      func() error
	}{
		{0.25, "killed instance entry-3", func() error { return d.processes["entry-3"].Signal(syscall.SIGKILL) }},
		{0.45, "draining one backend server", d.drainServer},
		{0.6, "planned stop of instance entry-5", func() error { return d.processes["entry-5"].Signal(syscall.SIGTERM) }},
	}
	start := time.Now()
	for _, disturbance := range disturbances {
		time.Sleep(time.Until(start.Add(time.Duration(disturbance.fraction * float64(d.Load)))))
		if ctx.Err() != nil {
			break
		}
		_, _ = fmt.Fprintf(d.Out, "%4.1f s: %s\n", time.Since(start).Seconds(), disturbance.what)
		if err := disturbance.act(); err != nil {
			return nil, err
		}
	}
	group.Wait()
	return r, ctx.Err()
}

// drainServer makes the first backend server announce that it is leaving.
func (d *Demo) drainServer() error {
	return d.put(d.sortedServers()[0].Address, "/switch/faults", server.Faults{Draining: true, WorkMillis: 5})
}

func (d *Demo) organisationNames() []string {
	var names []string
	for name := range d.snapshot.Organisations {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// runCaller sends requests of one caller on all routes in turn.
func (d *Demo) runCaller(ctx context.Context, r *report, organisation string, number int) {
	var seeds []string
	for _, l := range d.listings {
		seeds = append(seeds, l.CallerAddress)
	}
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	c := &caller.Caller{Key: "demo-key-" + organisation, Seeds: seeds, Client: client}
	for i := 0; ctx.Err() == nil; i++ {
		route := d.snapshot.Routes[i%len(d.snapshot.Routes)]
		order := fmt.Sprintf("%s-%d-%d", organisation, number, i)
		// A request in flight at the end of the load is not cancelled.
		r.add(route, order, d.sendOne(context.WithoutCancel(ctx), c, route, order))
		time.Sleep(callerPause)
	}
}

// sendOne sends an idempotent request to an idempotent route and an order with a
// ticket to any other route.
func (d *Demo) sendOne(ctx context.Context, c *caller.Caller, route configuration.Route, order string) caller.Result {
	if route.Idempotent {
		return c.Send(ctx, http.MethodGet, route.Path+"/"+order, nil, nil)
	}
	return c.SendOrder(ctx, route.Name, http.MethodPost, route.Path, []byte(order))
}
