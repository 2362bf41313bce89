package instance

import (
	"sync/atomic"
	"time"

	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/transport/peer"
)

// refusalEventInterval limits the events about refused connections, so that a
// process that connects in a loop does not fill the history.
const refusalEventInterval = time.Second

// setUpPeerTLS sets up TLS for connections between instances unless the
// settings allow plain ones.
func (in *Instance) setUpPeerTLS() error {
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

// nameAt returns the name of the instance whose listed peer address this is.
func (in *Instance) nameAt(address string) (string, bool) {
	for _, m := range in.roster.Members() {
		if m.Listing.PeerAddress == address {
			return m.Listing.Name, true
		}
	}
	return "", false
}
