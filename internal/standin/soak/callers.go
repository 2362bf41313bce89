package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"tamarackrun/platform/standin"
)

const (
	// callerCount is the number of callers. Each has one connection at a time.
	callerCount    = 24
	requestTimeout = time.Second
	// maxPause is the longest wait between two batches of a caller.
	maxPause = 160 * time.Millisecond
	// maxPipelined is the largest number of requests that a caller sends before
	// it reads their replies.
	maxPipelined = 4
	// objectCount is the number of different objects in targets and affinity keys.
	objectCount = 40
)

// runCaller sends the requests of one caller, which keeps each connection until
// the connection ends.
func (h *harness) runCaller(ctx context.Context, r *rand.Rand, number int) {
	sent := 0
	for ctx.Err() == nil {
		instance := r.IntN(len(h.instances))
		address, _, _ := h.instances[instance].settings.Addresses()
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			h.pauseCaller(ctx, r)
			continue
		}
		reader := bufio.NewReader(c)
		for ctx.Err() == nil {
			batch := h.newBatch(r, number, instance, sent)
			sent += len(batch)
			if !h.exchange(c, reader, batch) || !h.exchangeAgain(c, reader, batch) || !h.exchangeRepeats(c, reader, batch, number) {
				break
			}
			h.pauseCaller(ctx, r)
		}
		_ = c.Close()
	}
}

// pauseCaller waits up to maxPause, or less while speedup is above 1.
func (h *harness) pauseCaller(ctx context.Context, r *rand.Rand) {
	h.mu.Lock()
	speedup := h.speedup
	h.mu.Unlock()
	if h.storms.Load() > 0 {
		speedup = max(speedup, stormSpeedup)
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(r.Int64N(int64(maxPause))) / time.Duration(speedup)):
	}
}

// newBatch returns the requests that are sent at once. Only idempotent ones are
// pipelined.
func (h *harness) newBatch(r *rand.Rand, number, instance, sent int) []*call {
	organisation := free
	if r.IntN(4) == 0 {
		organisation = limited
	}
	next := func(route, method string, idempotent bool, body string) *call {
		sent++
		return &call{route: route, idempotent: idempotent, organisation: organisation, instance: instance, Call: standin.Call{
			ID: fmt.Sprintf("c%d-%d", number, sent), Method: method,
			Target: fmt.Sprintf("/%s/%d?n=%d", route, r.IntN(objectCount), sent), Key: h.pickKey(r, organisation),
			Object: fmt.Sprint(r.IntN(objectCount)), Body: body, Timeout: requestTimeout}}
	}
	if r.IntN(3) == 0 {
		return []*call{next("order", http.MethodPost, false, strings.Repeat("x", 1+r.IntN(3000)))}
	}
	var list []*call
	for range 1 + r.IntN(maxPipelined) {
		route := "read"
		if r.IntN(3) == 0 {
			route = "move"
		}
		list = append(list, next(route, http.MethodGet, true, ""))
	}
	return list
}

// exchange sends a batch and reads its replies. It reports whether the connection
// can take another batch.
func (h *harness) exchange(c net.Conn, reader *bufio.Reader, batch []*call) bool {
	var text bytes.Buffer
	for _, v := range batch {
		// Writes to a bytes.Buffer do not fail.
		_ = v.Write(&text)
		h.history.recordRequest(v)
	}
	_ = c.SetDeadline(time.Now().Add(routeTimeout + lateSlack + 200*time.Millisecond))
	if _, err := c.Write(text.Bytes()); err != nil {
		// The instance may have read only some of the requests.
		h.history.recordEnd(batch, true, true)
		return false
	}
	for i, v := range batch {
		reply, err := standin.ReadReply(reader, v.Method)
		if err != nil {
			h.history.recordEnd(batch[i:i+1], !errors.Is(err, os.ErrDeadlineExceeded), false)
			// Pipelined requests behind one without a reply count as not read.
			h.history.recordEnd(batch[i+1:], true, true)
			return false
		}
		h.history.recordReply(v, reply)
		if reply.Closes {
			h.history.recordEnd(batch[i+1:], true, true)
			return false
		}
	}
	if reader.Buffered() > 0 {
		h.history.addViolation("MIXED", "bytes follow the last answer of a connection")
		return false
	}
	return true
}
