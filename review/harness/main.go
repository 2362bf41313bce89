// Command harness runs the scripted cases of the review. Each case starts the real program on
// loopback addresses, with stand-ins for the platform's store, the upstreams and the clients, and
// checks one rule from what they have seen.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// maxLength bounds the time of a case.
const maxLength = 110 * time.Second

// caseFunc runs a case and returns what broke the rule, or "" if it held. An error means that the
// case could not run. Without trouble, it leaves out the disruption.
type caseFunc func(ctx context.Context, d *deployment, trouble bool) (broken string, err error)

// reviewCase is a case with the options of its deployment.
type reviewCase struct {
	options options
	run     caseFunc
}

var cases = map[string]reviewCase{
	"connection-header": {options{}, runConnectionHeader},
	"early-hangup":      {options{}, runEarlyHangup},
	"failed-run":        {options{stampers: 8}, runFailedRun},
	"smuggled":          {options{}, runSmuggled},
	"restored-lifetime": {options{work: map[string]time.Duration{"stamp": time.Second}}, runRestoredLifetime},
}

// recorder writes the file that shows what was sent, answered and run. It is safe for concurrent
// use.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// add writes one line with the time since the start.
func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// runCase runs a case, writes record.txt into the folder and returns the exit code.
func runCase(name, folder string, trouble bool) int {
	c, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "there is no case", name)
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	record := &recorder{file: file, began: time.Now()}
	record.add("case %s, with the disruption: %t", name, trouble)
	broken, err := runDeployed(c, record, trouble)
	switch {
	case err != nil:
		record.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case broken != "":
		record.add("BROKEN: %s", broken)
		fmt.Println("broken:", broken)
		return exitBroken
	}
	record.add("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// runDeployed starts a deployment, runs the case on it and ends all its processes.
func runDeployed(c reviewCase, record *recorder, trouble bool) (broken string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxLength)
	defer cancel()
	d, cleanup, err := newDeployment(ctx, record, c.options)
	defer func() { err = errors.Join(err, cleanup()) }()
	if err != nil {
		return "", err
	}
	return c.run(ctx, d, trouble)
}
