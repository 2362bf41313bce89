package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"tamarackrun/platform/standin"
)

const (
	// crashStream is the random stream of the requests that end their servers, of which a seed has
	// fewer than maxCrashing.
	crashStream = 1 << 23
	maxCrashing = 3
	// crashPrefix begins the targets of these requests. Each is sent by crashCallers callers.
	crashPrefix  = "/read/crash-"
	crashCallers = 2
	// A server that has ended is back after minDown to maxDown.
	minDown, maxDown = 300 * time.Millisecond, 2500 * time.Millisecond
	// allowedEnds is the number of servers that may end before the request is stopped, and
	// allowedTries how often it may be sent after that, bounds.DetectionBound later.
	allowedEnds, allowedTries = 3, 3
)

// crashServers sends the same request again and again, through all instances, until the seed ends. Each server
// that runs it ends.
func crashServers(ctx context.Context, h *harness, r *rand.Rand, _ time.Duration) {
	target, key := fmt.Sprint(crashPrefix, r.Uint64()), h.pickKey(r, free)
	var group sync.WaitGroup
	for i := range crashCallers {
		source := rand.New(rand.NewPCG(r.Uint64(), 0))
		group.Go(func() {
			for sent := 0; ctx.Err() == nil; sent++ {
				instance := source.IntN(len(h.instances))
				address, _, _ := h.instances[instance].settings.Addresses()
				if c, err := net.DialTimeout("tcp", address, time.Second); err == nil {
					h.exchange(c, bufio.NewReader(c), []*call{{route: "read", idempotent: true, organisation: free, instance: instance,
						Call: standin.Call{ID: fmt.Sprintf("%s-%d-%d", target, i, sent), Method: http.MethodGet, Target: target, Key: key,
							Timeout: requestTimeout}}})
					_ = c.Close()
				}
				h.pauseCaller(ctx, source)
			}
		})
	}
	group.Wait()
}

// crashing reports whether the request ends its servers.
func (c *call) crashing() bool { return strings.HasPrefix(c.Target, crashPrefix) }

// endServer ends the server with the id, which runs a request of crashServers, and starts it again later.
func (h *harness) endServer(id string) {
	i := slices.IndexFunc(h.backends, func(b *backend) bool { return b.id() == id })
	if i < 0 {
		// It has ended already.
		return
	}
	b := h.backends[i]
	d := h.disturbances.begin(disturbance{name: "ended by a request", target: b.name, scope: atServer})
	defer h.disturbances.end(d)
	b.crash()
	time.Sleep(minDown + rand.N(maxDown-minDown))
	b.restarting.Lock()
	defer b.restarting.Unlock()
	if b.id() == id {
		h.store.RemoveServer(id)
		h.noteLeave(id)
		b.mustStart()
	}
}

// checkCrashing checks that a request under which servers end is hardly sent any more by connected
// instances (BUDGET).
func (h *harness) checkCrashing(calls []*call) {
	ends, byTarget := map[string][]time.Time{}, map[string][]*call{}
	for _, c := range calls {
		if !c.crashing() {
			continue
		}
		byTarget[c.Target] = append(byTarget[c.Target], c)
		for _, v := range c.executions {
			ends[c.Target] = append(ends[c.Target], v.at)
		}
	}
	for target, at := range ends {
		if len(at) < allowedEnds {
			continue
		}
		slices.SortFunc(at, time.Time.Compare)
		from, tries := at[allowedEnds-1].Add(bounds.DetectionBound), 0
		for _, c := range byTarget[target] {
			for _, v := range c.executions {
				if c.sent.After(from) && h.disturbances.connected(c.instance, v.at, v.at) && h.disturbances.connected(v.sender, v.at, v.at) {
					tries++
				}
			}
		}
		if tries > allowedTries {
			h.history.addViolationLocked("BUDGET", "%s ended %d servers, %d of them after it should have been refused", target, len(at), tries)
		}
	}
}
