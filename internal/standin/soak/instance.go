package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"tamarackrun/platform"
	"tamarackrun/platform/standin"
)

// instance is an entry instance, which runs as a process.
type instance struct {
	settings standin.Settings
	binary   string
	// directory holds the settings file and the logs.
	directory string
	store     *link
	// onViolation is called when the process breaks a rule.
	onViolation func(rule, text string)

	mu      sync.Mutex
	process *process
	starts  int
	// pauses counts SIGSTOP signals. paused is true until the next SIGCONT.
	pauses int
	paused bool
}

// process is one run of an instance's program.
type process struct {
	command *exec.Cmd
	// ended is closed when the process has ended.
	ended chan struct{}
	// exitExpected means that the process was terminated or killed.
	exitExpected bool
}

func (in *instance) settingsFile() string {
	return filepath.Join(in.directory, in.settings.Name+".toml")
}

// start starts a process unless one is running.
func (in *instance) start() error {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.process != nil {
		return nil
	}
	if err := os.WriteFile(in.settingsFile(), []byte(in.settings.Text()), 0o600); err != nil {
		return err
	}
	in.starts++
	log, err := os.Create(filepath.Join(in.directory, fmt.Sprintf("%s.%d.log", in.settings.Name, in.starts)))
	if err != nil {
		return err
	}
	c := exec.Command(in.binary, "front", "--bind-server-connections")
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+in.settingsFile())
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	p := &process{command: c, ended: make(chan struct{})}
	in.process, in.paused = p, false
	go func() {
		err := c.Wait()
		_ = log.Close()
		in.mu.Lock()
		if !p.exitExpected {
			in.onViolation("EXIT", fmt.Sprintf("%s ended by itself: %v", in.settings.Name, err))
		}
		if in.process == p {
			in.process = nil
		}
		in.mu.Unlock()
		close(p.ended)
	}()
	return nil
}

// mustStart starts the instance again and reports a failure.
func (in *instance) mustStart() {
	if err := in.start(); err != nil {
		in.onViolation("SOAK", fmt.Sprintf("cannot start %s: %v", in.settings.Name, err))
	}
}

// signal sends a signal to the running process, if there is one, and returns the
// process. exitExpected is true for signals that end it.
func (in *instance) signal(s syscall.Signal, exitExpected bool) *process {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.process == nil {
		return nil
	}
	in.process.exitExpected = in.process.exitExpected || exitExpected
	if s == syscall.SIGSTOP {
		in.pauses++
	}
	if s == syscall.SIGSTOP || s == syscall.SIGCONT {
		in.paused = s == syscall.SIGSTOP
	}
	_ = in.process.command.Process.Signal(s)
	return in.process
}

// kill ends the process at once and waits for its end.
func (in *instance) kill() {
	if p := in.signal(syscall.SIGKILL, true); p != nil {
		<-p.ended
	}
}

// terminate sends SIGTERM and waits. A process that runs longer than StopGrace is
// killed, which is a violation unless it was paused.
func (in *instance) terminate() {
	pausesBefore, pausedBefore := in.pauseState()
	p := in.signal(syscall.SIGTERM, true)
	if p == nil {
		return
	}
	select {
	case <-p.ended:
	case <-time.After(in.settings.Bounds.StopGrace):
		if pauses, paused := in.pauseState(); pauses == pausesBefore && !paused && !pausedBefore {
			in.onViolation("STOP", in.settings.Name+" still runs after its time to stop")
		}
		in.kill()
	}
}

// pauseState returns the number of pauses so far and whether the process is paused.
func (in *instance) pauseState() (pauses int, paused bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.pauses, in.paused
}
