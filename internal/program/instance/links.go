package instance

import (
	"sync/atomic"
	"time"

	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/transport/peer"
)

// refusalEventInterval bounds the events about refused links, so that a process
// that connects in a loop does not fill the history.
const refusalEventInterval = time.Second

// secureLinks sets up TLS for the links unless the settings allow plain ones.
func (in *Instance) secureLinks() error {
	s := in.Settings
	if s.Insecure {
		return nil
	}
	identity, err := peer.NewIdentity(s.Name, s.AuthorityFile, s.CertificateFile, s.KeyFile)
	if err != nil {
		return err
	}
	in.mesh.Identity, in.mesh.NameAt = identity, in.nameAt
	var next atomic.Int64
	in.mesh.OnRefused = func(remote string, err error) {
		now, after := int64(in.clock.Now()), next.Load()
		if now >= after && next.CompareAndSwap(after, now+int64(refusalEventInterval)) {
			in.history.Record(event.PeerRefused, "", "remote", remote, "error", err.Error())
		}
	}
	return nil
}

// nameAt returns the name of the instance that is listed at a peer address.
func (in *Instance) nameAt(address string) (string, bool) {
	for _, m := range in.roster.Members() {
		if m.Listing.PeerAddress == address {
			return m.Listing.Name, true
		}
	}
	return "", false
}
