// Package records keeps what an instance knows of a collection of the platform's store, so
// that it can answer other instances in the store's place.
package records

import (
	"context"
	"sync"
	"time"

	"tamarackrun"
)

// maxChanges bounds the number of changes that are kept for watches. A watch from an earlier
// revision gets the whole collection.
const maxChanges = 4096

// Collection is a copy of one collection with its latest changes. It is safe for concurrent
// use.
type Collection struct {
	mu sync.Mutex
	// complete is true once the whole collection was applied.
	complete bool
	records  map[string]tamarackrun.Record
	// position is that of the latest page; it only grows.
	position tamarackrun.Position
	// changes holds the latest pages in the order of their positions, and changeCount the
	// number of their records. A watch from a position before first, or from an earlier era,
	// gets the whole collection.
	changes     []tamarackrun.Page
	changeCount int
	first       tamarackrun.Position
	// changed is closed and replaced with each page.
	changed chan struct{}
}

// New returns a collection of which nothing is known.
func New() *Collection {
	return &Collection{records: map[string]tamarackrun.Record{}, changed: make(chan struct{})}
}

// Apply adds a page. It ignores a page that is older than the latest one: the records of an
// instance that was behind must not bring back what was removed since. It also ignores changes
// of a later era, which say nothing about the other records.
func (c *Collection) Apply(page tamarackrun.Page) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if page.Position.Before(c.position) || !page.Full && page.Position.Era != c.position.Era {
		return
	}
	if page.Full {
		clear(c.records)
		c.complete, c.changes, c.changeCount, c.first = true, nil, 0, page.Position
	}
	if !c.complete {
		return
	}
	for _, r := range page.Records {
		switch old, ok := c.records[r.Name]; {
		case ok && r.Position.Before(old.Position):
		case r.Removed:
			delete(c.records, r.Name)
		default:
			c.records[r.Name] = r
		}
	}
	if !page.Full && len(page.Records) > 0 {
		c.changes = append(c.changes, page)
		c.changeCount += len(page.Records)
		for c.changeCount > maxChanges {
			c.first = c.changes[0].Position
			c.changeCount -= len(c.changes[0].Records)
			c.changes = c.changes[1:]
		}
	}
	c.position = page.Position
	close(c.changed)
	c.changed = make(chan struct{})
}

// Read returns the whole collection. It waits until it is known or the context ends.
func (c *Collection) Read(ctx context.Context) (tamarackrun.Page, error) {
	for {
		c.mu.Lock()
		if c.complete {
			defer c.mu.Unlock()
			return c.full(), nil
		}
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return tamarackrun.Page{}, ctx.Err()
		}
	}
}

// full returns a page with all records. The caller holds c.mu.
func (c *Collection) full() tamarackrun.Page {
	page := tamarackrun.Page{Full: true, Position: c.position}
	for _, r := range c.records {
		page.Records = append(page.Records, r)
	}
	return page
}

// Watch returns the changes after a position as soon as there are any, or an empty page with
// that position after the time wait. If the changes are not known, it returns the whole
// collection.
func (c *Collection) Watch(ctx context.Context, after tamarackrun.Position, wait time.Duration) (tamarackrun.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		c.mu.Lock()
		page, ok := c.since(after)
		changed := c.changed
		c.mu.Unlock()
		if ok {
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return tamarackrun.Page{Position: after}, nil
		case <-ctx.Done():
			return tamarackrun.Page{}, ctx.Err()
		}
	}
}

// since returns the changes after a position, and whether there are any. The caller holds
// c.mu.
func (c *Collection) since(after tamarackrun.Position) (tamarackrun.Page, bool) {
	if !c.complete || !after.Before(c.position) {
		return tamarackrun.Page{}, false
	}
	if after.Before(c.first) {
		return c.full(), true
	}
	page := tamarackrun.Page{Position: c.position}
	for _, change := range c.changes {
		if !after.Before(change.Position) {
			continue
		}
		page.Reconnected = page.Reconnected || change.Reconnected
		page.Records = append(page.Records, change.Records...)
	}
	return page, len(page.Records) > 0
}
