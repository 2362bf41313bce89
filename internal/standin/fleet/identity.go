package fleet

import (
	"tamarackrun/internal/transport/peer"
)

// Identities returns peer identities for the names, with certificates that one new
// authority has signed.
func Identities(directory string, names ...string) ([]*peer.Identity, error) {
	a, err := NewAuthority(directory)
	if err != nil {
		return nil, err
	}
	var identities []*peer.Identity
	for _, name := range names {
		if err := a.Issue(name); err != nil {
			return nil, err
		}
		certificate, key := a.files(name)
		i, err := peer.NewIdentity(name, a.File, certificate, key)
		if err != nil {
			return nil, err
		}
		identities = append(identities, i)
	}
	return identities, nil
}
