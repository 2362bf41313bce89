// Package rendezvous ranks candidates for a key by hash (rendezvous hashing), so
// that all instances agree on the ranking without messages.
package rendezvous

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

// Score returns the score of a candidate for a key. Callers choose the candidate with
// the highest score or sort all candidates by their scores.
func Score(key, candidate string) uint64 { return xxhash.Sum64String(key + "\x00" + candidate) }

// Hash returns the hash of a name for Mix, its xxHash.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Mix returns the score of a candidate for a key from their hashes. It allocates nothing, for
// callers that score hundreds of candidates for each request. The scores differ from those of
// Score.
func Mix(key, candidate uint64) uint64 {
	// The finalizer of SplitMix64 spreads the bits.
	x := key ^ bits.RotateLeft64(candidate, 32)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
