package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"tamarackrun"
	transport "tamarackrun/internal/transport/caller"
)

const (
	// maxRepeats is how many times an order whose outcome is unknown is repeated
	// with its ticket. Together with repeatPause the repeats cover the 2 s until
	// heartbeats notice a silent instance. It also bounds the rounds over the
	// instances in which a ticket is requested.
	maxRepeats  = 8
	repeatPause = 500 * time.Millisecond
)

// Tickets requests tickets for a route from one instance.
func (c *Caller) Tickets(ctx context.Context, address, route string, count int) ([]string, Result) {
	target := fmt.Sprintf("/v1/tickets?route=%s&count=%d", url.QueryEscape(route), count)
	result := c.SendTo(ctx, address, http.MethodPost, target, nil, nil)
	var answer struct {
		Tickets []string `json:"tickets"`
	}
	if result.Err == nil && result.Status == http.StatusOK {
		result.Err = json.Unmarshal([]byte(result.Body), &answer)
	}
	return answer.Tickets, result
}

// SendWithTicket sends an order with a ticket to one instance.
func (c *Caller) SendWithTicket(ctx context.Context, address, ticket, method, target string, body []byte) Result {
	return c.SendTo(ctx, address, method, target, body, http.Header{transport.TicketHeader: {ticket}})
}

// SendOrder requests a ticket for the route and sends an order with it. While the
// outcome is unknown, it repeats the order with the same ticket through the
// instances in turn.
func (c *Caller) SendOrder(ctx context.Context, route, method, target string, body []byte) Result {
	start := time.Now()
	result := Result{Err: errors.New("no entry instance is known")}
	for range maxRepeats {
		for _, address := range c.instanceAddresses(ctx) {
			tickets, refusal := c.Tickets(ctx, address, route, 1)
			if len(tickets) == 0 {
				result = refusal
				continue
			}
			result = c.SendWithTicket(ctx, address, tickets[0], method, target, body)
			if result.Err != nil && dialFailed(result.Err) {
				// The order was not sent and the ticket stays unused.
				continue
			}
			result = c.repeat(ctx, result, tickets[0], method, target, body)
			result.Elapsed = time.Since(start)
			return result
		}
		if result.Err == nil && result.Reason != string(tamarackrun.Leaving) && result.Reason != string(tamarackrun.NotReady) {
			break
		}
		c.expireCache()
		time.Sleep(repeatPause)
	}
	result.Elapsed = time.Since(start)
	return result
}

// repeat sends the order again while its outcome is unknown.
func (c *Caller) repeat(ctx context.Context, result Result, ticket, method, target string, body []byte) Result {
	for n := 0; n < maxRepeats && ctx.Err() == nil; n++ {
		if result.Err == nil && result.Outcome != tamarackrun.Unknown.String() {
			break
		}
		time.Sleep(repeatPause)
		c.expireCache()
		instances := c.instanceAddresses(ctx)
		if len(instances) == 0 {
			continue
		}
		next := c.SendWithTicket(ctx, instances[n%len(instances)], ticket, method, target, body)
		if next.Err != nil && result.Err == nil {
			// Prefer an answer with the outcome unknown to no answer.
			continue
		}
		result = next
	}
	return result
}
