package instance_test

import (
	"fmt"
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"tamarackrun/internal/program/command"
	"tamarackrun/internal/standin/fleet"
)

// binary is the path of the built program. The tests of this package run it as
// separate processes, so that they can kill and pause them.
var binary string

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	// This call never runs. It makes the test binary depend on the program's code,
	// so that go test runs the tests again after changes to the program. The
	// linker leaves out a package that is only imported, and go test then used
	// cached results.
	if len(os.Args) == 0 {
		return command.Run(nil, os.Stdout, os.Stderr)
	}
	directory, err := os.MkdirTemp("", "tamarackrun-test-")
	if err == nil {
		defer func() { _ = os.RemoveAll(directory) }()
		binary, err = fleet.Build(directory)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// startFleet starts a fleet that ends with the test. By default it has three
// instances, two regions, and the services browse (idempotent) and order
// (non-idempotent).
func startFleet(t *testing.T, o fleet.Options) *fleet.Fleet {
	t.Helper()
	o.Directory, o.Binary = t.TempDir(), binary
	if o.Instances == 0 {
		o.Instances = 3
	}
	if o.Regions == nil {
		o.Regions = []int{2, 1}
	}
	if o.Services == nil {
		o.Services = []fleet.Service{
			{Name: "browse", Servers: 3, Slots: 3, Route: "methods = GET\nidempotent = yes"},
			{Name: "order", Servers: 3, Slots: 3, Route: "methods = POST\nidempotent = no"},
		}
	}
	if o.Organisations == nil {
		o.Organisations = map[string]fleet.Rate{"tea": {Rate: 1000, Burst: 1000}}
	}
	f, cleanup, err := fleet.Start(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		defer cleanup()
		if !t.Failed() {
			return
		}
		// The state of all processes is read first: the end of one process changes
		// what the others do.
		for _, i := range f.Instances {
			t.Logf("state of %s: %s", i.Listing.Name, i.State())
		}
		for _, i := range f.Instances {
			if err := i.Dump(); err != nil {
				t.Logf("%s: %v", i.Listing.Name, err)
			}
			log, err := os.ReadFile(i.LogFile)
			t.Logf("log of %s (error %v):\n%s", i.Listing.Name, err, log)
		}
	})
	return f
}

// expectSignaled fails the test if a process was not stopped, continued or
// terminated. The test then does not test what it is meant to.
func expectSignaled(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Error(err)
	}
}

// A request must reach a backend server through any entry instance, and the
// answer must come back complete.
func TestServesThroughEveryInstance(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleet.Options{})
	c := f.Caller("tea")
	for n, i := range f.Instances {
		target := fmt.Sprintf("/browse/%d", n)
		r := c.SendTo(t.Context(), i.Listing.CallerAddress, "GET", target, nil, nil)
		if diff := cmp.Diff("ran", r.Outcome); diff != "" || r.Err != nil {
			t.Errorf("%s: outcome (-want +got):\n%s%+v", i.Listing.Name, diff, r)
		}
	}
}
