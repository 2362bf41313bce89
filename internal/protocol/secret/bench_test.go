package secret

import (
	"crypto/sha256"
	"testing"
)

// BenchmarkFinder measures the check of the URL and headers of a typical request.
func BenchmarkFinder(b *testing.B) {
	f := Finder{Presented: "fleet-key-tea-0123456789", Known: func(w string) bool { return sha256.Sum256([]byte(w)) == [32]byte{} }}
	texts := []string{"/browse/items/1234?page=2&sort=name&filter=red%20tins", "application/json, text/html;q=0.9",
		"Mozilla/5.0 (X11; Linux x86_64) AppleWebKit/537.36 (KHTML, like Gecko) Chrome/126.0 Safari/537.36", "en-GB,en;q=0.8", "application/json"}
	for b.Loop() {
		for _, t := range texts {
			if f.In(t) {
				b.Fatal("a key was found")
			}
		}
	}
}
