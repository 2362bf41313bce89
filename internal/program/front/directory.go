package front

import (
	"time"
)

const (
	// lookupLifetime is how long callers may use the addresses of a look-up. It
	// bounds how long they keep connecting to a dead instance.
	lookupLifetime = 2 * time.Second
	// maxAddresses is the largest number of addresses in an answer.
	maxAddresses = 64
)

// Ready reports whether the instance takes callers.
func (f *Front) Ready() bool { return f.members.IsReady() && !f.leaving.Load() }

// Lookup returns the addresses of the serving instances in the caller's region,
// or of the serving instances in other regions if there is none, and how long
// the caller may use them.
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
