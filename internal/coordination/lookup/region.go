package lookup

import (
	"net/netip"

	"tamarackrun/internal/state/clientblock"
)

// Region returns the region of the client's site, or "" if no block contains the
// client.
func (t *Table) Region(client netip.Addr) string {
	m := t.places.blocks.Find(client)
	if m.Site == clientblock.NoSite {
		return ""
	}
	return t.places.regions[t.places.siteDomain[m.Site]]
}
