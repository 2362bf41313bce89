package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"tamarackrun/platform/standin"
)

// clientTimeout bounds the time of one request of a client.
const clientTimeout = 6 * time.Second

// exchange is one request of a client with its answer.
type exchange struct {
	id      string
	machine *machine
	sent    time.Time
	// ended is when the whole answer or the end of the connection was seen, and status the status of
	// the answer, or 0 if there was none.
	ended  time.Time
	status int
	// leaving reports whether the answer has the header Server-Leaving.
	leaving bool
}

// clients send requests to all machines at a steady rate, each on a connection of its own.
type clients struct {
	d     *deployment
	group sync.WaitGroup
	mu    sync.Mutex
	all   []*exchange
}

// run sends requests of the route until the context ends, and waits for their answers.
func (c *clients) run(ctx context.Context, method, route string, pause time.Duration) {
	for n := 0; ctx.Err() == nil; n++ {
		m := c.d.machines[n%len(c.d.machines)]
		e := &exchange{id: fmt.Sprintf("%s-%d", route, n), machine: m, sent: time.Now()}
		c.mu.Lock()
		c.all = append(c.all, e)
		c.mu.Unlock()
		c.group.Go(func() {
			c.send(e, standin.Call{ID: e.id, Method: method, Target: "/" + route + "/" + e.id, Key: tenantKey, Timeout: 4 * time.Second})
		})
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	c.group.Wait()
}

// send sends one request and reads its answer.
func (c *clients) send(e *exchange, call standin.Call) {
	status, leaving := 0, false
	conn, err := net.DialTimeout("tcp", e.machine.front, time.Second)
	if err == nil {
		defer func() { _ = conn.Close() }()
		_ = conn.SetDeadline(time.Now().Add(clientTimeout))
		err = call.Write(conn)
	}
	var response *http.Response
	if err == nil {
		response, err = http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: call.Method})
	}
	if err == nil {
		_ = response.Body.Close()
		status, leaving = response.StatusCode, response.Header.Get("Server-Leaving") != ""
	}
	c.mu.Lock()
	e.ended, e.status, e.leaving = time.Now(), status, leaving
	c.mu.Unlock()
	c.d.record.add("client sent %s to %s %.3f s ago and got %d, Server-Leaving %t", e.id, e.machine.name, time.Since(e.sent).Seconds(), status, leaving)
}
