package instance

import (
	"encoding/json"
	"net/http"
	"net/netip"

	"tamarackrun"
	"tamarackrun/internal/coordination/lookup"
	"tamarackrun/internal/transport/caller"
)

// serveLookup answers GET /v1/lookup. The query parameter client names another
// address than the connection's.
func (in *Instance) serveLookup(w http.ResponseWriter, r *http.Request) {
	c := in.snapshot.Load()
	if c == nil {
		caller.WriteOutcome(w, "", tamarackrun.Refused(tamarackrun.NotReady))
		return
	}
	text := r.URL.Query().Get("client")
	if text == "" {
		port, err := netip.ParseAddrPort(r.RemoteAddr)
		if err != nil {
			caller.WriteOutcome(w, "", tamarackrun.Refused(tamarackrun.Malformed))
			return
		}
		text = port.Addr().Unmap().String()
	}
	client, err := netip.ParseAddr(text)
	if err != nil {
		caller.WriteOutcome(w, "", tamarackrun.Refused(tamarackrun.Malformed))
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(lookup.Choose(c, in.roster.Members(), client))
}
