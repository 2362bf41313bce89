package main

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"tamarackrun/platform/standin"
)

const (
	// drainBound is drain-s of the settings.
	drainBound = 2500 * time.Millisecond
	// The drill makes the store go away for drillAway. It comes back from a copy.
	drillAway = 2 * time.Second
	// downTime is how long the upstream is down when it starts again.
	downTime = 500 * time.Millisecond
)

// runRestoredLifetime lets an upstream start again under its id and then leave. The store comes
// back from a copy that holds the record of the first lifetime. The case checks that the upstream
// gets nothing more from machines that have passed on its word that it leaves (DRAIN).
func runRestoredLifetime(ctx context.Context, d *deployment, trouble bool) (string, error) {
	sending, stop := context.WithCancel(ctx)
	defer stop()
	c, ended := &clients{d: d}, make(chan struct{})
	go func() {
		defer close(ended)
		c.run(sending, "POST", "stamp", 40*time.Millisecond)
	}()
	v := d.upstreams[len(d.upstreams)-1]
	time.Sleep(time.Second)
	d.record.add("the store's copy is made")
	copied := d.store.Copy()

	d.record.add("upstream %s goes down", v.id)
	if err := v.stop(); err != nil {
		return "", err
	}
	time.Sleep(downTime)
	if err := v.start(v.address); err != nil {
		return "", err
	}
	d.register(v)
	d.record.add("upstream %s has started again under its id, born %d", v.id, v.born.UnixMilli())
	time.Sleep(2500 * time.Millisecond)

	v.leave()
	d.register(v)
	d.record.add("upstream %s leaves: its record is draining, and its answers have Server-Leaving", v.id)
	time.Sleep(3 * time.Second)

	if trouble {
		d.record.add("the store goes away")
		d.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	}
	time.Sleep(drillAway)
	if trouble {
		d.store.Restore(copied)
		d.store.SetFaults(standin.StoreFaults{})
		d.record.add("the store is back from the copy")
	}
	time.Sleep(4 * time.Second)
	stop()
	<-ended
	return judgeLeaving(d, c, v)
}

// judgeLeaving applies the rule to the requests that ran at a leaving upstream.
func judgeLeaving(d *deployment, c *clients, v *upstream) (string, error) {
	told := map[*machine]time.Time{}
	for _, e := range c.all {
		if at, ok := told[e.machine]; e.leaving && (!ok || e.ended.Before(at)) {
			told[e.machine] = e.ended
		}
	}
	if len(told) == 0 {
		return "", fmt.Errorf("no machine has passed on an answer with Server-Leaving")
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	ran := map[string]time.Time{}
	for _, e := range v.runs {
		ran[e.id] = e.began
	}
	late := 0
	for _, e := range c.all {
		at, ok := ran[e.id]
		heard, bound := told[e.machine]
		if !ok || !bound || !e.sent.After(heard.Add(drainBound)) {
			continue
		}
		late++
		d.record.add("%s was sent to %s %.3f s after that had passed on Server-Leaving of %s, which began to run it %.3f s later",
			e.id, e.machine.name, e.sent.Sub(heard).Seconds(), v.id, at.Sub(e.sent).Seconds())
	}
	if late > 0 {
		return fmt.Sprintf("DRAIN: %d requests, sent over %v after their machine had passed on an answer with Server-Leaving, ran at the upstream that leaves",
			late, drainBound), nil
	}
	return "", nil
}
