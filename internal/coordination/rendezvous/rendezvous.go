// Package rendezvous ranks candidates for a key by hash, so that all instances
// agree without a message (rendezvous hashing).
package rendezvous

import "github.com/cespare/xxhash/v2"

// Score is the rank of a candidate for a key; the highest one wins.
func Score(key, candidate string) uint64 { return xxhash.Sum64String(key + "\x00" + candidate) }
