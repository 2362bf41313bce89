package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"tamarackrun/platform/standin"
)

const (
	// lateBody is the length of the bodies, in bytes. The example of fleetbench wire allows 64 MiB.
	lateBody = 1 << 20
	// lateWork is how long an upstream works on a request. It reads the body at the end of that time.
	lateWork    = 4 * time.Second
	lateCallers = 4
	lateTimeout = 8 * time.Second
	// stopAfter is the time from the sending of the requests to the SIGTERM.
	stopAfter = 600 * time.Millisecond
)

// lateReader checks LOST around a SIGTERM with upstreams that read long bodies late. With READ=early they read them
// at once and work as long.
func lateReader(binary, record string, trouble bool) (bool, error) {
	d, err := newDeployment(binary, record, nil)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.configure("unsafe", lateTimeout)
	early := os.Getenv("READ") == "early"
	var mu sync.Mutex
	runs := map[string]string{}
	for i := range 4 {
		v, err := d.addServer(i+1, "stamps", []string{"a1", "b1"}[i%2])
		if err != nil {
			return false, err
		}
		v.SetBehaviour(func(w http.ResponseWriter, r *http.Request) bool {
			id := r.Header.Get("X-Request-Id")
			d.logf("%s begins to run %s", v.ID(), id)
			mu.Lock()
			runs[id] = "at work"
			mu.Unlock()
			body := ""
			if early {
				body = v.Execute(r)
			}
			time.Sleep(lateWork)
			if !early {
				body = v.Execute(r)
			}
			d.logf("%s ends its run of %s, with a body of %d bytes", v.ID(), id, len(body))
			mu.Lock()
			runs[id] = "ended"
			mu.Unlock()
			w.Header().Set("X-Response-Signature", standin.Signature(v.ID(), id))
			_, _ = fmt.Fprint(w, len(body))
			return true
		})
	}
	for _, zone := range []string{"a1", "b1"} {
		if err := d.addFront(zone, d.address); err != nil {
			return false, err
		}
	}
	if err := d.awaitReady(); err != nil {
		return false, err
	}
	lost := 0
	var stoppedAt time.Time
	var group sync.WaitGroup
	for i := range lateCallers {
		group.Go(func() {
			c, err := d.dial(d.fronts[0])
			if err != nil {
				return
			}
			defer c.close()
			id := fmt.Sprint("order-", i)
			d.logf("client sends %s", id)
			reply, err := c.send(standin.Call{ID: id, Method: http.MethodPost, Target: "/order/1", Body: strings.Repeat("x", lateBody), Timeout: lateTimeout})
			mu.Lock()
			defer mu.Unlock()
			d.logf("client gets %d, signature %q, error %v; the upstream's run: %s", reply.Status, reply.Signature, err, runs[id])
			// The upstream would end before the last sixth of grace-s, the route's timeout and the time budget.
			if reply.Signature == "" && runs[id] == "at work" && !stoppedAt.IsZero() && time.Since(stoppedAt) < graceTime*5/6 {
				lost++
			}
		})
	}
	time.Sleep(stopAfter)
	if trouble {
		mu.Lock()
		stoppedAt = time.Now()
		mu.Unlock()
		d.terminate(d.fronts[0])
	}
	group.Wait()
	d.logf("%d of %d requests were broken off while their upstreams were at work, after the SIGTERM", lost, lateCallers)
	return lost == 0, nil
}
