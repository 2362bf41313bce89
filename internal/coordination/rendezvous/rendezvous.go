// Package rendezvous ranks candidates for a key by hash (rendezvous hashing), so
// that all instances agree on the ranking without messages.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Score returns the score of a candidate for a key. Callers choose the candidate with
// the highest score or sort all candidates by their scores.
func Score(key, candidate string) uint64 { return xxhash.Sum64String(key + "\x00" + candidate) }
