// Package platform is the client of the platform's object API over HTTP.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"tamarackrun"
)

const (
	// maxValue is the largest value that the platform holds, in bytes.
	maxValue    = 1 << 20
	maxList     = 64 << 20
	callTimeout = 2 * time.Second
	// watchBound ends a watch that says nothing, since a silent connection
	// looks like an unchanged object.
	watchBound = 10 * time.Second
	// versionHeader carries the version of an object.
	versionHeader = "Object-Version"
)

// Client is an ObjectStore.
type Client struct {
	base   string
	client *http.Client
}

// StatusError is an answer of the platform that the client does not expect.
type StatusError struct{ Status int }

// Error names the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered with status %d", e.Status)
}

// New returns a client of the platform at the base URL. The clean-up function
// closes idle connections.
func New(base string) (*Client, func(), error) {
	if _, err := url.Parse(base); err != nil {
		return nil, nil, err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 5 * time.Second}
	return &Client{base: base, client: &http.Client{Transport: transport}}, transport.CloseIdleConnections, nil
}

// reply is a whole answer of the platform.
type reply struct {
	status  int
	header  http.Header
	content []byte
}

func (c *Client) call(ctx context.Context, limit time.Duration, method, path string, body []byte, header http.Header) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxList))
	return reply{response.StatusCode, response.Header, content}, err
}

func objectPath(name string) string { return "/objects/" + name }

func (r reply) object(name string) (tamarackrun.Object, error) {
	switch r.status {
	case http.StatusOK:
	case http.StatusNotFound:
		return tamarackrun.Object{}, tamarackrun.ErrNotFound
	case http.StatusConflict:
		return tamarackrun.Object{}, tamarackrun.ErrConflict
	case http.StatusNotModified:
		return tamarackrun.Object{}, tamarackrun.ErrUnchanged
	default:
		return tamarackrun.Object{}, &StatusError{r.status}
	}
	version, err := strconv.ParseInt(r.header.Get(versionHeader), 10, 64)
	if err != nil {
		return tamarackrun.Object{}, fmt.Errorf("platform sent no object version: %w", err)
	}
	return tamarackrun.Object{Name: name, Version: version, Value: r.content}, nil
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, name string) (tamarackrun.Object, error) {
	r, err := c.call(ctx, callTimeout, http.MethodGet, objectPath(name), nil, nil)
	if err != nil {
		return tamarackrun.Object{}, err
	}
	return r.object(name)
}

// Put writes an object under the condition that its version is expected. The
// platform enforces the condition, so a request that the HTTP client sent twice
// takes effect at most once.
func (c *Client) Put(ctx context.Context, name string, value []byte, expected int64) (tamarackrun.Object, error) {
	if len(value) > maxValue {
		return tamarackrun.Object{}, fmt.Errorf("value of %d bytes is larger than %d bytes", len(value), maxValue)
	}
	header := http.Header{"If-Version": {strconv.FormatInt(expected, 10)}}
	r, err := c.call(ctx, callTimeout, http.MethodPut, objectPath(name), value, header)
	if err != nil {
		return tamarackrun.Object{}, err
	}
	r.content = value
	return r.object(name)
}

// Watch waits for a version above after.
func (c *Client) Watch(ctx context.Context, name string, after int64) (tamarackrun.Object, error) {
	path := fmt.Sprintf("%s?after=%d&waitMs=%d", objectPath(name), after, watchBound.Milliseconds())
	r, err := c.call(ctx, watchBound+callTimeout, http.MethodGet, path, nil, nil)
	if err != nil {
		return tamarackrun.Object{}, err
	}
	return r.object(name)
}

// List returns all objects whose names start with prefix.
func (c *Client) List(ctx context.Context, prefix string) ([]tamarackrun.Object, error) {
	var objects []tamarackrun.Object
	return objects, c.getJSON(ctx, "/list?prefix="+url.QueryEscape(prefix), &objects)
}

// Instances returns the platform's list of instances.
func (c *Client) Instances(ctx context.Context) ([]tamarackrun.Listing, error) {
	var listings []tamarackrun.Listing
	return listings, c.getJSON(ctx, "/instances", &listings)
}

func (c *Client) getJSON(ctx context.Context, path string, target any) error {
	r, err := c.call(ctx, callTimeout, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if r.status != http.StatusOK {
		return &StatusError{r.status}
	}
	return json.Unmarshal(r.content, target)
}
