// Package path measures the latency that entry instances add to a request.
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
	maxDuration    = 20 * time.Second
	warmUpRequests = 200
	// maxLatencyMicros is the largest latency that the histograms hold, in
	// microseconds.
	maxLatencyMicros  = 10_000_000
	significantDigits = 3
	target            = "/browse/path"
	// unlimitedRate is far above the rate of one caller, so that no request waits.
	unlimitedRate = 1_000_000
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
				return fmt.Errorf("--duration = %v must be above 0 and at most %v", duration, maxDuration)
			}
			return run(c.Context(), c.OutOrStdout(), binary, duration)
		},
	}
	c.Flags().StringVar(&binary, "binary", "bin/tamarackrun", "the built program")
	c.Flags().DurationVar(&duration, "duration", 16*time.Second, "time of all requests together")
	return c
}

// requestPath is one path to the backend server, with the latencies of its requests
// and the number of those that failed.
type requestPath struct {
	name    string
	address string
	caller  *caller.Caller
	latency *hdrhistogram.Histogram
	failed  int
}

func newRequestPath(name, address string, c *caller.Caller) *requestPath {
	return &requestPath{name: name, address: address, caller: c, latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
}

// send sends one request and, if record is true, records its result.
func (p *requestPath) send(ctx context.Context, record bool) {
	result := p.caller.SendTo(ctx, p.address, http.MethodGet, target, nil, nil)
	switch {
	case !record:
	case result.Err != nil || result.Status != http.StatusOK:
		p.failed++
	default:
		_ = p.latency.RecordValue(max(1, result.Elapsed.Microseconds()))
	}
}

// run measures with plain connections between instances and then with TLS, each for
// half of the duration.
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
	for _, useTLS := range []bool{false, true} {
		paths, err := measure(ctx, binary, useTLS, duration/2)
		if err != nil {
			return err
		}
		direct := paths[0].latency.ValueAtQuantile(50)
		for _, p := range paths {
			median := p.latency.ValueAtQuantile(50)
			_, _ = fmt.Fprintf(out, "%-34s %8d %8d %8d %8d %13d %7d\n", p.name, p.latency.TotalCount(), median,
				p.latency.ValueAtQuantile(90), p.latency.ValueAtQuantile(99), median-direct, p.failed)
		}
	}
	return nil
}

// measure sends requests on all paths in turn. The first path is the direct one.
func measure(ctx context.Context, binary string, useTLS bool, duration time.Duration) ([]*requestPath, error) {
	directory, err := os.MkdirTemp("", "tamarackrun-path-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	f, cleanup, err := fleet.Start(ctx, fleet.Options{
		Directory: directory, Binary: binary, Instances: 2, Regions: []int{2}, TLS: useTLS,
		Organisations: map[string]fleet.Rate{"tea": {Rate: unlimitedRate, Burst: unlimitedRate}},
		Services:      []fleet.Service{{Name: "browse", Servers: 1, Slots: 3, Route: "methods = GET\nidempotent = yes"}},
	})
	if err != nil {
		return nil, err
	}
	defer cleanup()
	snapshot, problems := document.Parse("document of the fleet", []byte(f.Document))
	if len(problems) > 0 {
		return nil, fmt.Errorf("invalid document: %v", problems[0])
	}
	link := "plain link"
	if useTLS {
		link = "TLS link"
	}
	// The first instance is the home of the server, as it is the one in the
	// server's failure domain.
	paths := []*requestPath{
		newRequestPath("direct call", snapshot.Servers["browse-01"].Address, f.Caller("tea")),
		newRequestPath("one instance, the home", f.Instances[0].Listing.CallerAddress, f.Caller("tea")),
		newRequestPath("two instances, "+link, f.Instances[1].Listing.CallerAddress, f.Caller("tea")),
	}
	for range warmUpRequests {
		for _, p := range paths {
			p.send(ctx, false)
		}
	}
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		for _, p := range paths {
			p.send(ctx, true)
		}
	}
	return paths, nil
}
