// Package property runs property tests with a fixed seed, so that they are
// repeatable.
package property

import (
	"flag"
	"os"
	"testing"
)

// Main is the TestMain of packages with property tests.
func Main(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
