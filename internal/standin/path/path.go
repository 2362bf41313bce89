// Package path measures what the way through entry instances adds to the
// latency of a request.
package path

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/standin/caller"
	"tamarackrun/internal/standin/fleet"
)

const (
	maxDuration  = 20 * time.Second
	warmRequests = 200
	// The histograms hold microseconds.
	longest = 10_000_000
	digits  = 3
	target  = "/browse/path"
	// rate is far above what one caller sends, so that no request waits.
	rate = 1_000_000
)

// NewCommand returns the sub-command path.
func NewCommand() *cobra.Command {
	var binary string
	var duration time.Duration
	c := &cobra.Command{
		Use:   "path",
		Short: "Measure the latency that instances add to a request on loopback",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if duration <= 0 || duration > maxDuration {
				return fmt.Errorf("the duration must be above 0 and at most %v", maxDuration)
			}
			return run(c.Context(), c.OutOrStdout(), binary, duration)
		},
	}
	c.Flags().StringVar(&binary, "binary", "bin/tamarackrun", "the built program")
	c.Flags().DurationVar(&duration, "duration", 16*time.Second, "time of all requests together")
	return c
}

// way is one way to the backend server.
type way struct {
	name    string
	address string
	caller  *caller.Caller
	latency *hdrhistogram.Histogram
	failed  int
}

func newWay(name, address string, c *caller.Caller) *way {
	return &way{name: name, address: address, caller: c, latency: hdrhistogram.New(1, longest, digits)}
}

func (w *way) send(ctx context.Context, record bool) {
	result := w.caller.SendTo(ctx, w.address, http.MethodGet, target, nil, nil)
	switch {
	case !record:
	case result.Err != nil || result.Status != http.StatusOK:
		w.failed++
	default:
		_ = w.latency.RecordValue(max(1, result.Elapsed.Microseconds()))
	}
}

// run measures with plain links and then with TLS, each for half of the time.
func run(ctx context.Context, out io.Writer, binary string, duration time.Duration) error {
	if ctx == nil {
		ctx = context.Background()
	}
	binary, err := filepath.Abs(binary)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(out, "%d cores, one request at a time, ways alternate; latency in us\n", runtime.NumCPU())
	_, _ = fmt.Fprintf(out, "%-34s %8s %8s %8s %8s %13s %7s\n", "way", "requests", "median", "p90", "p99", "added median", "failed")
	for _, secured := range []bool{false, true} {
		ways, err := measure(ctx, binary, secured, duration/2)
		if err != nil {
			return err
		}
		direct := ways[0].latency.ValueAtQuantile(50)
		for _, w := range ways {
			median := w.latency.ValueAtQuantile(50)
			_, _ = fmt.Fprintf(out, "%-34s %8d %8d %8d %8d %13d %7d\n", w.name, w.latency.TotalCount(), median,
				w.latency.ValueAtQuantile(90), w.latency.ValueAtQuantile(99), median-direct, w.failed)
		}
	}
	return nil
}

func measure(ctx context.Context, binary string, secured bool, duration time.Duration) ([]*way, error) {
	directory, err := os.MkdirTemp("", "tamarackrun-path-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	f, cleanup, err := fleet.Start(ctx, fleet.Options{Directory: directory, Binary: binary, Instances: 2, Regions: []int{2},
		TLS: secured, Organisations: map[string]fleet.Rate{"tea": {Rate: rate, Burst: rate}}, Services: []fleet.Service{
			{Name: "browse", Servers: 1, Slots: 3, Route: "methods = GET\nidempotent = yes"}}})
	if err != nil {
		return nil, err
	}
	defer cleanup()
	snapshot, problems := document.Parse("document of the fleet", []byte(f.Document))
	if len(problems) > 0 {
		return nil, fmt.Errorf("invalid document: %v", problems[0])
	}
	link := "plain link"
	if secured {
		link = "TLS link"
	}
	// The server is in the failure domain of the first instance, its home.
	ways := []*way{
		newWay("direct call", snapshot.Servers["browse-01"].Address, f.Caller("tea")),
		newWay("one instance, the home", f.Instances[0].Listing.CallerAddress, f.Caller("tea")),
		newWay("two instances, "+link, f.Instances[1].Listing.CallerAddress, f.Caller("tea")),
	}
	for range warmRequests {
		for _, w := range ways {
			w.send(ctx, false)
		}
	}
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		for _, w := range ways {
			w.send(ctx, true)
		}
	}
	return ways, nil
}
