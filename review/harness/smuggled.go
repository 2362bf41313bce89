package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"
	"time"

	"tamarackrun/platform/standin"
)

// smuggleRequests is the number of requests of the case at each machine.
const smuggleRequests = 5

// runSmuggled sends requests whose body holds the text of another request. Their Content-Length
// covers the body; with trouble they also have Transfer-Encoding. The case checks that the request
// in the body doesn't run (UNASKED).
func runSmuggled(ctx context.Context, d *deployment, trouble bool) (string, error) {
	hidden := map[string]bool{}
	for i, m := range d.machines {
		for n := 0; n < smuggleRequests && ctx.Err() == nil; n++ {
			id := fmt.Sprintf("outer%d-%d", i, n)
			hidden["hidden-"+id] = true
			if err := sendSmuggled(d, m, id, trouble); err != nil {
				return "", err
			}
		}
	}
	ran, outer := 0, 0
	for id := range d.allRuns() {
		if hidden[id] {
			ran++
		} else {
			outer++
		}
	}
	d.record.add("%d requests and %d requests from inside their bodies ran", outer, ran)
	if outer == 0 && ran == 0 && !trouble {
		return "", fmt.Errorf("no request ran")
	}
	if ran > 0 {
		return fmt.Sprintf("UNASKED: %d requests ran that were smuggled inside the body of another one", ran), nil
	}
	return "", nil
}

// sendSmuggled sends one request on a connection of its own and reads what comes back.
func sendSmuggled(d *deployment, m *machine, id string, trouble bool) error {
	c, err := net.Dial("tcp", m.front)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	var inner strings.Builder
	call := standin.Call{ID: "hidden-" + id, Method: "POST", Target: "/stamp/hidden-" + id, Key: tenantKey, Body: "x", Timeout: 4 * time.Second}
	if err := call.Write(&inner); err != nil {
		return err
	}
	body, encoding := "0\r\n\r\n"+inner.String(), ""
	if trouble {
		encoding = "Transfer-Encoding: chunked\r\n"
	}
	_, err = fmt.Fprintf(c, "POST /stamp/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Millis: 4000\r\nAuthorization: Token %s\r\n"+
		"%sContent-Length: %d\r\n\r\n%s", id, standin.Host, id, tenantKey, encoding, len(body), body)
	if err != nil {
		return err
	}
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	reader := bufio.NewReader(c)
	for {
		reply, err := standin.ReadReply(reader, "POST")
		if err != nil {
			d.record.add("client of %s reads no further answer from %s: %v", id, m.name, err)
			return nil
		}
		d.record.add("client of %s gets %d for %s from %s, the connection closes: %t", id, reply.Status, reply.ID, m.name, reply.Closes)
	}
}
