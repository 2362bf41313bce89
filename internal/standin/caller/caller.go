// Package caller is a stand-in for callers: it looks up entry instances, caches
// the answer for its lifetime and sends requests.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"tamarackrun/internal/coordination/lookup"
	transport "tamarackrun/internal/transport/caller"
)

// Result is the result of one request.
type Result struct {
	Outcome string
	Reason  string
	ID      string
	Status  int
	Body    string
	// Answer is set on the answer to a repeated ticket: "stored" if it is the
	// whole first answer, "omitted" if only its status was kept.
	Answer string
	// Err is set if no complete answer arrived.
	Err error
	// Elapsed is the time from the sending to the end of the answer.
	Elapsed time.Duration
}

// Caller sends requests of one organisation. It is safe for concurrent use.
type Caller struct {
	// Key is the organisation's key; empty sends none.
	Key string
	// Seeds are the addresses of the instances to ask for the first look-up.
	Seeds  []string
	Client *http.Client

	mu      sync.Mutex
	cached  lookup.Answer
	expires time.Time
}

// instanceAddresses returns the addresses of the cached look-up answer, or of a new
// one if it has expired.
func (c *Caller) instanceAddresses(ctx context.Context) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Now().Before(c.expires) {
		return addresses(c.cached)
	}
	for _, seed := range append(addresses(c.cached), c.Seeds...) {
		if answer, err := c.Lookup(ctx, seed); err == nil && len(answer.Instances) > 0 {
			c.cached = answer
			c.expires = time.Now().Add(time.Duration(answer.LifetimeMillis) * time.Millisecond)
			break
		}
	}
	return addresses(c.cached)
}

func addresses(a lookup.Answer) []string {
	var list []string
	for _, i := range a.Instances {
		list = append(list, i.Address)
	}
	return list
}

// Lookup asks one instance which instances to use.
func (c *Caller) Lookup(ctx context.Context, address string) (lookup.Answer, error) {
	var answer lookup.Answer
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/lookup", nil)
	if err != nil {
		return answer, err
	}
	response, err := c.Client.Do(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("look-up at %s answered with status %d, want %d", address, response.StatusCode, http.StatusOK)
	}
	return answer, json.NewDecoder(response.Body).Decode(&answer)
}

// Send sends one request to the first instance of the look-up answer. If no
// connection can be established, the next instance is tried; after any other
// error the request is not repeated.
func (c *Caller) Send(ctx context.Context, method, target string, body []byte, header http.Header) Result {
	result := Result{Err: fmt.Errorf("no entry instance is known")}
	for _, address := range c.instanceAddresses(ctx) {
		result = c.SendTo(ctx, address, method, target, body, header)
		if result.Err == nil || !dialFailed(result.Err) {
			break
		}
		c.expireCache()
	}
	return result
}

// expireCache makes the next request look up the instances again.
func (c *Caller) expireCache() {
	c.mu.Lock()
	c.expires = time.Time{}
	c.mu.Unlock()
}

// SendTo sends one request to one instance.
func (c *Caller) SendTo(ctx context.Context, address, method, target string, body []byte, header http.Header) Result {
	start := time.Now()
	// The body cannot be rewound, so that http.Transport does not retry the
	// request by itself.
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+target, io.MultiReader(bytes.NewReader(body)))
	if err != nil {
		return Result{Err: err}
	}
	request.ContentLength = int64(len(body))
	if len(body) == 0 {
		request.Body = nil
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if c.Key != "" {
		request.Header.Set("Tamarackrun-Key", c.Key)
	}
	response, err := c.Client.Do(request)
	if err != nil {
		return Result{Err: err, Elapsed: time.Since(start)}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return Result{
		Outcome: response.Header.Get(transport.OutcomeHeader),
		Reason:  response.Header.Get(transport.ReasonHeader),
		ID:      response.Header.Get(transport.RequestIDHeader),
		Status:  response.StatusCode,
		Body:    string(content),
		Answer:  response.Header.Get(transport.AnswerHeader),
		Err:     err,
		Elapsed: time.Since(start),
	}
}
