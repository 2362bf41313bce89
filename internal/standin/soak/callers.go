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
	// callers is their number, each with one connection at a time.
	callers  = 24
	patience = time.Second
	// pause is the longest wait between two batches of a caller.
	pause = 160 * time.Millisecond
	// most requests that a caller sends before it reads their replies.
	mostPipelined = 4
	// objects is the number of those that calls are about.
	objects = 40
)

// call is one caller. It keeps its connection until that ends.
func (w *world) call(ctx context.Context, r *rand.Rand, number int) {
	sent := 0
	for ctx.Err() == nil {
		member := r.IntN(len(w.members))
		address, _, _ := w.members[member].settings.Addresses()
		c, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			w.wait(ctx, r)
			continue
		}
		reader := bufio.NewReader(c)
		for ctx.Err() == nil {
			batch := w.batch(r, number, member, sent)
			sent += len(batch)
			if !w.exchange(c, reader, batch) {
				break
			}
			w.wait(ctx, r)
		}
		_ = c.Close()
	}
}

func (w *world) wait(ctx context.Context, r *rand.Rand) {
	w.mu.Lock()
	burst := w.burst
	w.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(r.Int64N(int64(pause))) / time.Duration(burst)):
	}
}

// batch returns the requests that are sent at once. Only those that may run again
// are sent behind another.
func (w *world) batch(r *rand.Rand, number, member, sent int) []*call {
	organisation := free
	if r.IntN(4) == 0 {
		organisation = limited
	}
	next := func(route, method string, idempotent bool, body string) *call {
		sent++
		return &call{route: route, idempotent: idempotent, organisation: organisation, member: member, Call: standin.Call{
			ID: fmt.Sprintf("c%d-%d", number, sent), Method: method, Target: fmt.Sprintf("/%s/%d?n=%d", route, r.IntN(objects), sent),
			Key: w.anyKey(r, organisation), Object: fmt.Sprint(r.IntN(objects)), Body: body, Timeout: patience}}
	}
	if r.IntN(3) == 0 {
		return []*call{next("order", http.MethodPost, false, strings.Repeat("x", 1+r.IntN(3000)))}
	}
	var list []*call
	for range 1 + r.IntN(mostPipelined) {
		route := "read"
		if r.IntN(3) == 0 {
			route = "move"
		}
		list = append(list, next(route, http.MethodGet, true, ""))
	}
	return list
}

// exchange sends a batch and reads its replies. It says whether the connection
// takes another one.
func (w *world) exchange(c net.Conn, reader *bufio.Reader, batch []*call) bool {
	var text bytes.Buffer
	for _, v := range batch {
		// Writes to a buffer do not fail.
		_ = v.Write(&text)
		w.ledger.send(v)
	}
	_ = c.SetDeadline(time.Now().Add(routeTimeout + lateSlack + 200*time.Millisecond))
	if _, err := c.Write(text.Bytes()); err != nil {
		// The instance may have read the first requests only.
		w.ledger.end(batch, true, true)
		return false
	}
	for i, v := range batch {
		reply, err := standin.ReadReply(reader, v.Method)
		if err != nil {
			w.ledger.end(batch[i:i+1], !errors.Is(err, os.ErrDeadlineExceeded), false)
			// Requests behind one without an answer count as not read.
			w.ledger.end(batch[i+1:], true, true)
			return false
		}
		w.ledger.reply(v, reply)
		if reply.Closes {
			w.ledger.end(batch[i+1:], true, true)
			return false
		}
	}
	if reader.Buffered() > 0 {
		w.ledger.fail("MIXED", "bytes follow the last answer of a connection")
		return false
	}
	return true
}
