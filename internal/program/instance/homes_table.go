package instance

import (
	"context"

	"tamarackrun/internal/coordination/home"
	"tamarackrun/internal/state/configuration"
)

// wake makes runTableUpdates check the placement.
func (h *homeServers) wake() {
	select {
	case h.wakeup <- struct{}{}:
	default:
	}
}

// runTableUpdates replaces the table when peers or the platform's list changed
// the placement. Members that fall silent need no wake-up: requests check
// whether the chosen home is reachable.
func (h *homeServers) runTableUpdates(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h.wakeup:
			if c := h.in.snapshot.Load(); c != nil {
				h.refreshTable(c)
			}
		}
	}
}

// currentTable returns the table for requests. Only the first requests after a
// new configuration may have to build it.
func (h *homeServers) currentTable(c *configuration.Snapshot) *home.Table {
	if t := h.table.Load(); t != nil && t.Configuration.Version >= c.Version {
		return t
	}
	return h.refreshTable(c)
}

// refreshTable returns the table of the present members and of the
// configuration, or of a later one that is already in force.
func (h *homeServers) refreshTable(c *configuration.Snapshot) *home.Table {
	h.tableMu.Lock()
	defer h.tableMu.Unlock()
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
