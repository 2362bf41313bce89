package soak

import (
	"bufio"
	"context"
	"math/rand/v2"
	"net"
	"time"
)

const (
	// stormStream is the random stream of the storms, of which a seed has fewer than maxStorms.
	stormStream = 1 << 25
	maxStorms   = 3
	// In a storm, callers pause stormSpeedup times shorter, and stormRepeaters in stormCallers of them repeat
	// refused requests at once, maxRepeats times each.
	stormSpeedup                 = 4
	stormRepeaters, stormCallers = 3, 5
	maxRepeats                   = 4
)

// disturbByStorms schedules storms.
func (h *harness) disturbByStorms(seed uint64, schedule func(*rand.Rand, kind)) {
	r := rand.New(rand.NewPCG(seed, stormStream))
	for range r.IntN(maxStorms) {
		schedule(r, storm)
	}
}

// storm makes callers ask more often, and most of them repeat refused requests at once.
func storm(ctx context.Context, h *harness, _ *rand.Rand, duration time.Duration) {
	d := h.disturbances.begin(disturbance{name: "storm of repeats", target: "callers", scope: atServer, planned: true})
	defer h.disturbances.end(d)
	h.storms.Add(1)
	defer h.storms.Add(-1)
	sleep(ctx, duration)
}

// exchangeRepeats sends refused requests of a batch again at once, each time with another id, while there is a storm
// and the caller is one of those that repeat. It reports whether the connection can take another batch.
func (h *harness) exchangeRepeats(c net.Conn, reader *bufio.Reader, batch []*call, number int) bool {
	for n := 0; n < maxRepeats && number%stormCallers < stormRepeaters && h.storms.Load() > 0; n++ {
		var again []*call
		for _, v := range batch {
			if v.status == 429 || v.status == 503 {
				again = append(again, v.repeated())
			}
		}
		if len(again) == 0 {
			return true
		}
		if !h.exchange(c, reader, again) {
			return false
		}
		batch = again
	}
	return true
}

// repeated returns the repeat of a request that was refused. Its id is longer by a letter.
func (c *call) repeated() *call {
	again := &call{Call: c.Call, route: c.route, idempotent: c.idempotent, organisation: c.organisation, instance: c.instance, repeat: true}
	again.ID = c.ID + "r"
	return again
}
