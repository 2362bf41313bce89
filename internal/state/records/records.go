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

// Collection is a copy of one collection with its latest changes. All pages that an instance gets
// of a collection, from whatever source, are merged here, so that what it believes and what it
// answers others is the same. It is safe for concurrent use.
type Collection struct {
	mu sync.Mutex
	// complete is true once the whole collection was applied.
	complete bool
	records  map[string]tamarackrun.Record
	// removed holds the positions of the removals in changes, by name.
	removed map[string]tamarackrun.Position
	// whole is the position of the latest whole collection, and position that of the latest page
	// that was whole or changed something; both only grow. The position of a watch without changes
	// does not count: a store may go on to later positions without delivering a change.
	whole, position tamarackrun.Position
	// changes holds the latest pages in the order of their positions, and changeCount the
	// number of their records. A watch from a position before first, or from an earlier era,
	// gets the whole collection.
	changes     []tamarackrun.Page
	changeCount int
	first       tamarackrun.Position
	// changed is closed and replaced with each page that changes something.
	changed chan struct{}
}

// Update is what a page has changed in a copy.
type Update struct {
	// Page is the page without the records that the copy had already, or that are older than
	// what it had. It is an empty page of the copy's position if the whole page is.
	Page tamarackrun.Page
	// Changed reports whether a record was added, replaced or removed, and Vanished whether a
	// record was removed because the whole collection does not have it.
	Changed, Vanished bool
}

// New returns a collection of which nothing is known.
func New() *Collection {
	return &Collection{records: map[string]tamarackrun.Record{}, removed: map[string]tamarackrun.Position{}, changed: make(chan struct{})}
}

// Position returns the position up to which the copy is known to be complete.
func (c *Collection) Position() tamarackrun.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position
}

// Apply merges a page and returns what it has changed. It ignores a whole collection that is older
// than the copy, and a record that is older than what the copy has of its name: nothing that was
// removed comes back, and no earlier removal ends what came later. It also ignores changes of a later
// era, which say nothing about the other records. Reconnected is set in the returned page if the
// page is the first one of a later era.
func (c *Collection) Apply(page tamarackrun.Page) Update {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case page.Full && !page.Position.Before(c.position):
		return c.replace(page)
	case !page.Full && c.complete && page.Position.Era == c.position.Era:
		return c.merge(page)
	}
	return Update{Page: tamarackrun.Page{Position: c.position, Reconnected: page.Reconnected}}
}

// replace makes the page the copy. The caller holds c.mu.
func (c *Collection) replace(page tamarackrun.Page) Update {
	page.Reconnected = page.Reconnected || c.complete && c.position.Era < page.Position.Era
	u := Update{Page: page, Changed: !c.complete}
	records := make(map[string]tamarackrun.Record, len(page.Records))
	for _, r := range page.Records {
		old, ok := c.records[r.Name]
		u.Changed = u.Changed || !ok || old.Position != r.Position
		records[r.Name] = r
	}
	for name := range c.records {
		if _, ok := records[name]; !ok {
			u.Changed, u.Vanished = true, true
		}
	}
	c.complete, c.records, c.changes, c.changeCount = true, records, nil, 0
	c.whole, c.position, c.first = page.Position, page.Position, page.Position
	clear(c.removed)
	c.wake()
	return u
}

// merge adds the changes of the page. The caller holds c.mu.
func (c *Collection) merge(page tamarackrun.Page) Update {
	fresh := make([]tamarackrun.Record, 0, len(page.Records))
	for _, r := range page.Records {
		if !c.isNew(r) {
			continue
		}
		fresh = append(fresh, r)
		if r.Removed {
			delete(c.records, r.Name)
			c.removed[r.Name] = r.Position
		} else {
			delete(c.removed, r.Name)
			c.records[r.Name] = r
		}
	}
	page.Records = fresh
	if len(fresh) == 0 {
		return Update{Page: page}
	}
	c.position = tamarackrun.Latest(c.position, page.Position)
	kept := page
	kept.Position = c.position
	c.changes = append(c.changes, kept)
	c.changeCount += len(fresh)
	for c.changeCount > maxChanges {
		c.dropOldest()
	}
	c.wake()
	return Update{Page: page, Changed: true}
}

// dropOldest forgets the oldest page of changes. The caller holds c.mu.
func (c *Collection) dropOldest() {
	oldest := c.changes[0]
	c.first, c.changes = oldest.Position, c.changes[1:]
	c.changeCount -= len(oldest.Records)
	for _, r := range oldest.Records {
		if c.removed[r.Name] == r.Position {
			delete(c.removed, r.Name)
		}
	}
}

// isNew reports whether the record is later than what the copy knows of its name. A removal may have
// the position of the record that it removes. A record without a name or a position can't be
// compared. The caller holds c.mu.
func (c *Collection) isNew(r tamarackrun.Record) bool {
	if r.Name == "" || r.Position.Revision == 0 {
		return true
	}
	if old, ok := c.records[r.Name]; ok {
		return old.Position.Before(r.Position) || r.Removed && old.Position == r.Position
	}
	return tamarackrun.Latest(c.whole, c.removed[r.Name]).Before(r.Position)
}

// wake ends the waits for a change. The caller holds c.mu.
func (c *Collection) wake() {
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
