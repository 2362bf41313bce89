package lookup

import (
	"net/netip"

	"tamarackrun/internal/state/clientblock"
)

// Region returns the region of the client's site, or "" if no block contains the
// client.
func (t *Table) Region(client netip.Addr) string {
	m := t.locator.blocks.Find(client)
	if m.Site == clientblock.NoSite {
		return ""
	}
	return t.locator.regions[t.locator.siteDomain[m.Site]]
}
