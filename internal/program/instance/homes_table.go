package instance

import (
	"context"

	"tamarackrun/internal/coordination/home"
	"tamarackrun/internal/state/configuration"
)

// wake has the placement checked soon.
func (h *homes) wake() {
	select {
	case h.woken <- struct{}{}:
	default:
	}
}

// keepTable replaces the placement when peers or the platform's list changed it.
// Members that fall silent need no wake: requests check the home they chose.
func (h *homes) keepTable(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.woken:
			if c := h.in.snapshot.Load(); c != nil {
				h.refresh(c)
			}
		}
	}
}

// placement returns the table for requests. Only the first requests after a new
// configuration may have to build it.
func (h *homes) placement(c *configuration.Snapshot) *home.Table {
	if t := h.table.Load(); t != nil && t.Configuration.Version >= c.Version {
		return t
	}
	return h.refresh(c)
}

// refresh returns the table of the present members and of the configuration, or
// of a later one that is already in force.
func (h *homes) refresh(c *configuration.Snapshot) *home.Table {
	h.building.Lock()
	defer h.building.Unlock()
	t, members := h.table.Load(), h.in.roster.Members()
	if t != nil && t.Configuration.Version > c.Version {
		c = t.Configuration
	}
	if t == nil || !t.Matches(c, members) {
		t = home.NewTable(c, members, h.in.Settings.Name)
		h.table.Store(t)
	}
	return t
}
