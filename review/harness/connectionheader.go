package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"time"

	"tamarackrun/platform/standin"
)

const (
	// headerRequests is the number of requests of the case at each machine.
	headerRequests = 10
	requestPause   = 50 * time.Millisecond
)

// runConnectionHeader sends requests whose header Connection names X-Tenant. It checks that the
// upstreams still get the tenant that holds the client's key (UNASKED).
func runConnectionHeader(ctx context.Context, d *deployment, trouble bool) (string, error) {
	connection := "keep-alive"
	if trouble {
		connection = "keep-alive, X-Tenant"
	}
	for i, m := range d.machines {
		if err := sendWithConnectionHeader(ctx, d, m, i, connection); err != nil {
			return "", err
		}
	}
	ran, wrong := 0, 0
	for _, runs := range d.allRuns() {
		for _, e := range runs {
			ran++
			if e.tenant != tenant {
				wrong++
			}
		}
	}
	d.record.add("%d requests ran, %d of them with another X-Tenant than %s", ran, wrong, tenant)
	if ran == 0 {
		return "", fmt.Errorf("no request ran")
	}
	if wrong > 0 {
		return fmt.Sprintf("UNASKED: %d of %d requests ran with an X-Tenant that isn't the tenant of the client's key", wrong, ran), nil
	}
	return "", nil
}

// sendWithConnectionHeader sends requests, one after the other on one connection, and reads their
// answers.
func sendWithConnectionHeader(ctx context.Context, d *deployment, m *machine, number int, connection string) error {
	c, err := net.Dial("tcp", m.front)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for i := 0; i < headerRequests && ctx.Err() == nil; i++ {
		id := fmt.Sprintf("h%d-%d", number, i)
		_, err := fmt.Fprintf(c, "POST /stamp/%d HTTP/1.1\r\nHost: %s\r\nConnection: %s\r\nX-Request-Id: %s\r\nX-Deadline-Millis: 4000\r\n"+
			"Authorization: Token %s\r\nContent-Length: 2\r\n\r\nok", i, standin.Host, connection, id, tenantKey)
		if err != nil {
			return err
		}
		reply, err := standin.ReadReply(reader, "POST")
		if err != nil {
			return err
		}
		d.record.add("client sent %s to %s with \"Connection: %s\" and got %d", id, m.name, connection, reply.Status)
		time.Sleep(requestPause)
	}
	return nil
}
