// Package objectstore is a client of the platform's object store over HTTP.
package objectstore

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
	"tamarackrun/internal/transport/dialer"
	"tamarackrun/internal/transport/httpclient"
)

const (
	// maxValueSize is the largest value that the platform holds, in bytes.
	maxValueSize = 1 << 20
	// maxAnswerSize is the largest answer that is read, in bytes.
	maxAnswerSize = 64 << 20
	callTimeout   = 2 * time.Second
	// watchTimeout bounds a watch without a change. On a lost connection an
	// unchanged object can't be told from a missing answer.
	watchTimeout = 10 * time.Second
	// versionHeader carries the version of an object.
	versionHeader = "Object-Version"
)

// Client is a tamarackrun.ObjectStore.
type Client struct {
	base   string
	client *http.Client
}

// StatusError is returned if the platform answers with an unexpected status.
type StatusError struct{ Status int }

// Error returns a message with the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered with status %d", e.Status)
}

// New returns a client of the platform at the base URL. The clean-up function
// closes idle connections.
func New(base string) (*Client, func(), error) {
	if _, err := url.Parse(base); err != nil {
		return nil, nil, err
	}
	transport := &httpclient.Transport{DialContext: dialer.New(callTimeout).DialContext, MaxIdle: 4, IdleTimeout: 5 * time.Second, RepeatsReads: true}
	return &Client{base: base, client: &http.Client{Transport: transport}}, transport.CloseIdle, nil
}

// answer is a complete answer of the platform.
type answer struct {
	status  int
	header  http.Header
	content []byte
}

// call sends one call to the platform.
func (c *Client) call(ctx context.Context, timeout time.Duration, method, path string, body []byte, header http.Header) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize))
	return answer{response.StatusCode, response.Header, content}, err
}

func objectPath(name string) string { return "/objects/" + name }

// object converts the answer to a call on an object.
func (a answer) object(name string) (tamarackrun.Object, error) {
	switch a.status {
	case http.StatusOK:
	case http.StatusNotFound:
		return tamarackrun.Object{}, tamarackrun.ErrNotFound
	case http.StatusConflict:
		return tamarackrun.Object{}, tamarackrun.ErrConflict
	case http.StatusNotModified:
		return tamarackrun.Object{}, tamarackrun.ErrUnchanged
	default:
		return tamarackrun.Object{}, &StatusError{a.status}
	}
	version, err := strconv.ParseInt(a.header.Get(versionHeader), 10, 64)
	if err != nil {
		return tamarackrun.Object{}, fmt.Errorf("the platform's answer has no valid object version: %w", err)
	}
	return tamarackrun.Object{Name: name, Version: version, Value: a.content}, nil
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, name string) (tamarackrun.Object, error) {
	a, err := c.call(ctx, callTimeout, http.MethodGet, objectPath(name), nil, nil)
	if err != nil {
		return tamarackrun.Object{}, err
	}
	return a.object(name)
}

// Put writes an object if it has the expected version. The platform checks the version,
// so a request that the HTTP client sent twice takes effect at most once.
func (c *Client) Put(ctx context.Context, name string, value []byte, expected int64) (tamarackrun.Object, error) {
	if len(value) > maxValueSize {
		return tamarackrun.Object{}, fmt.Errorf("value of %d bytes is larger than %d bytes", len(value), maxValueSize)
	}
	header := http.Header{"If-Version": {strconv.FormatInt(expected, 10)}}
	a, err := c.call(ctx, callTimeout, http.MethodPut, objectPath(name), value, header)
	if err != nil {
		return tamarackrun.Object{}, err
	}
	a.content = value
	return a.object(name)
}

// Watch waits for a version of an object above after.
func (c *Client) Watch(ctx context.Context, name string, after int64) (tamarackrun.Object, error) {
	path := fmt.Sprintf("%s?after=%d&waitMs=%d", objectPath(name), after, watchTimeout.Milliseconds())
	a, err := c.call(ctx, watchTimeout+callTimeout, http.MethodGet, path, nil, nil)
	if err != nil {
		return tamarackrun.Object{}, err
	}
	return a.object(name)
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

// getJSON decodes the JSON at a path into target.
func (c *Client) getJSON(ctx context.Context, path string, target any) error {
	a, err := c.call(ctx, callTimeout, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if a.status != http.StatusOK {
		return &StatusError{a.status}
	}
	return json.Unmarshal(a.content, target)
}
