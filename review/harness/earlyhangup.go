package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"syscall"
	"time"
)

const (
	// hangupRounds is the number of planned restarts of each machine, and hangupDelay the time from
	// the start of a process to the signal.
	hangupRounds = 3
	hangupDelay  = time.Millisecond
	// restartDelay is the time after which the platform starts a process again that has ended.
	restartDelay = 300 * time.Millisecond
	// observeTime is how long a new process is watched for its end.
	observeTime = 700 * time.Millisecond
	// A day counts as a fault if on ownEndMachines machines processes end by themselves ownEnds
	// times.
	ownEndMachines, ownEnds = 2, 3
)

// runEarlyHangup restarts all machines in turn, as planned, and tells each new process at once that
// its settings file has changed. It checks how often processes end by themselves (Fault).
func runEarlyHangup(ctx context.Context, d *deployment, trouble bool) (string, error) {
	ends := map[*machine]int{}
	for range hangupRounds {
		for _, m := range d.machines {
			if ctx.Err() != nil {
				return "", ctx.Err()
			}
			ended, err := d.restartWithHangup(m, trouble)
			if err != nil {
				return "", err
			}
			if ended {
				ends[m]++
			}
		}
	}
	faulty, total := 0, 0
	for _, n := range ends {
		total += n
		if n >= ownEnds {
			faulty++
		}
	}
	d.record.add("%d of %d new processes ended by themselves; on %d of %d machines %d times or more",
		total, hangupRounds*len(d.machines), faulty, len(d.machines), ownEnds)
	if faulty >= ownEndMachines {
		return fmt.Sprintf("Fault: on %d of %d machines processes ended by themselves %d times", faulty, len(d.machines), ownEnds), nil
	}
	return "", nil
}

// restartWithHangup stops a machine's process as planned and starts the next one, to which it sends
// SIGHUP early or else when it is up. It reports whether the new process has ended, and then starts
// another one like the platform.
func (d *deployment) restartWithHangup(m *machine, early bool) (ended bool, err error) {
	m.stop()
	text, err := os.ReadFile(m.settings)
	if err != nil {
		return false, err
	}
	changed := strings.Replace(string(text), "bootstrap = true", "bootstrap = false", 1)
	if err := os.WriteFile(m.settings, []byte(changed), 0o600); err != nil {
		return false, err
	}
	if err := m.start(); err != nil {
		return false, err
	}
	if early {
		time.Sleep(hangupDelay)
	} else {
		time.Sleep(observeTime)
	}
	d.record.add("%s has started again and gets SIGHUP", m.name)
	if err := m.process.Process.Signal(syscall.SIGHUP); err != nil {
		return false, err
	}
	select {
	case <-m.ended:
	case <-time.After(observeTime):
		return false, nil
	}
	d.record.add("the process of %s has ended by itself: %v", m.name, m.process.ProcessState)
	time.Sleep(restartDelay)
	if err := m.start(); err != nil {
		return true, err
	}
	time.Sleep(observeTime)
	return true, nil
}
