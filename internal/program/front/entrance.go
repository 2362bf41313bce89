package front

import (
	"time"
)

const (
	// lookupLifetime is how long callers may use an answer of the directory.
	// It bounds how long they come to a dead instance.
	lookupLifetime = 2 * time.Second
	// maxAddresses is the number of addresses that a caller takes.
	maxAddresses = 64
)

// Ready says whether the instance takes callers.
func (f *Front) Ready() bool { return f.members.IsReady() && !f.leaving.Load() }

// Lookup names the instances of the caller's region that serve, or those of all
// regions if there is none.
func (f *Front) Lookup(region string) ([]string, time.Duration) {
	near, far := []string{}, []string{}
	for _, m := range f.members.Members() {
		switch {
		case !m.Alive || !m.Ready || m.Leaving:
		case m.Region == region:
			near = append(near, m.CallerAddress)
		default:
			far = append(far, m.CallerAddress)
		}
	}
	if len(near) == 0 {
		near = far
	}
	return near[:min(len(near), maxAddresses)], min(lookupLifetime, f.terms.Load().LookupLifetime)
}
