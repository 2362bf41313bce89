// Package soak runs instances as processes under randomised disturbances and
// checks the users' rules against what callers and backend servers see.
package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"
)

// options are the options of the command.
type options struct {
	seeds, jobs  int
	firstSeed    uint64
	file         string
	binary, logs string
	length       time.Duration
}

// NewCommand returns the sub-command soak.
func NewCommand() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use:   "soak",
		Short: "Disturb real processes at random and check the rules",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return o.run(c.OutOrStdout()) },
	}
	f := c.Flags()
	f.IntVar(&o.seeds, "seeds", 5, "number of seeds")
	f.Uint64Var(&o.firstSeed, "first", 0, "first seed; 0 takes it from the clock")
	f.StringVar(&o.file, "file", "", "run the seeds of this file instead: one in each line, followed by its cause")
	f.IntVar(&o.jobs, "jobs", 4, "seeds that run at a time, each with 3 processes")
	f.StringVar(&o.binary, "binary", "bin/tamarackrun", "the built program")
	f.StringVar(&o.logs, "logs", "", "directory for the logs of seeds that fail; empty keeps none")
	f.DurationVar(&o.length, "length", 24*time.Second, "time of one seed")
	return c
}

func (o *options) run(out io.Writer) error {
	if minLength := 2 * (recoveryTime + bounds.DetectionBound); o.length < minLength || o.jobs < 1 || o.jobs > 32 {
		return fmt.Errorf("--length = %v must be at least %v and --jobs = %d from 1 to 32", o.length, minLength, o.jobs)
	}
	seeds, err := o.seedList()
	if err != nil {
		return err
	}
	if o.binary, err = filepath.Abs(o.binary); err != nil {
		return err
	}
	queue := make(chan uint64)
	go func() {
		defer close(queue)
		for _, seed := range seeds {
			queue <- seed
		}
	}()
	var group sync.WaitGroup
	var mu sync.Mutex
	failed := 0
	for i := range min(o.jobs, len(seeds)) {
		group.Go(func() {
			for seed := range queue {
				r, err := o.runSeed(i, seed)
				mu.Lock()
				if err != nil {
					_, _ = fmt.Fprintf(out, "seed %d: not run: %v\n", seed, err)
				} else {
					r.write(out)
				}
				if err != nil || len(r.violations) > 0 {
					failed++
				}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	_, _ = fmt.Fprintf(out, "%d seeds, %d failed\n", len(seeds), failed)
	if failed > 0 {
		return errors.New("the soak found a broken rule or could not run a seed")
	}
	return nil
}

// seedList returns the seeds of the file or, without a file, consecutive ones.
func (o *options) seedList() ([]uint64, error) {
	var seeds []uint64
	if o.file == "" {
		first := o.firstSeed
		if first == 0 {
			first = uint64(time.Now().Unix())
		}
		for i := range o.seeds {
			seeds = append(seeds, first+uint64(i))
		}
		return seeds, nil
	}
	f, err := os.Open(o.file)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	for s := bufio.NewScanner(f); s.Scan(); {
		field, _, _ := strings.Cut(strings.TrimSpace(s.Text()), " ")
		if field == "" || field[0] == '#' {
			continue
		}
		seed, err := strconv.ParseUint(field, 10, 64)
		if err != nil {
			return nil, fmt.Errorf("file %s: seed %q must be an integer from 0 to 2^64-1", o.file, field)
		}
		seeds = append(seeds, seed)
	}
	return seeds, nil
}

// runSeed runs one seed in a directory of its own. Seeds that run at the same time
// have different job numbers.
func (o *options) runSeed(job int, seed uint64) (report, error) {
	directory, err := os.MkdirTemp("", "tamarackrun-soak-")
	if err != nil {
		return report{}, err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	// With the process id, soaks that run at the same time rarely use the same
	// addresses.
	h, cleanup, err := newHarness(os.Getpid()%100*32+job, o.binary, directory)
	if err != nil {
		return report{}, err
	}
	r := h.run(seed, o.length)
	cleanup()
	if len(r.violations) > 0 && o.logs != "" {
		if err := os.CopyFS(filepath.Join(o.logs, fmt.Sprint("seed-", seed)), os.DirFS(directory)); err != nil {
			return r, err
		}
	}
	return r, nil
}

// maxShownViolations bounds the violations that are printed for one seed.
const maxShownViolations = 12

func (r *report) write(out io.Writer) {
	verdict := "kept"
	if len(r.violations) > 0 {
		verdict = fmt.Sprint(len(r.violations), " broken")
	}
	_, _ = fmt.Fprintf(out, "seed %d: %d requests, %.1f%% served, %.1f%% at the end, %d disturbances, %s\n",
		r.seed, r.requests, 100*r.served, 100*r.servedAtEnd, len(r.disturbances), verdict)
	for i, v := range r.violations {
		if i == maxShownViolations {
			_, _ = fmt.Fprintln(out, "\tand more")
			break
		}
		_, _ = fmt.Fprintf(out, "\t%s: %s\n", v.rule, v.text)
	}
}
