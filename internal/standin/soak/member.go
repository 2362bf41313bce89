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

// member is one instance: a process of the product.
type member struct {
	settings standin.Settings
	binary   string
	// directory holds the settings file and the logs.
	directory string
	store     *link
	// failed takes what the process must not do.
	failed func(rule, text string)

	mu      sync.Mutex
	process *process
	starts  int
	// pauses counts SIGSTOP, and paused says that the latest still holds.
	pauses int
	paused bool
}

// process is one life of a member.
type process struct {
	command *exec.Cmd
	// ended is closed when the process is gone.
	ended chan struct{}
	// told says that the process was asked to end or killed.
	told bool
}

func (m *member) path() string { return filepath.Join(m.directory, m.settings.Name+".toml") }

// start starts a process unless one runs.
func (m *member) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		return nil
	}
	if err := os.WriteFile(m.path(), []byte(m.settings.Text()), 0o600); err != nil {
		return err
	}
	m.starts++
	log, err := os.Create(filepath.Join(m.directory, fmt.Sprintf("%s.%d.log", m.settings.Name, m.starts)))
	if err != nil {
		return err
	}
	c := exec.Command(m.binary, "front")
	c.Env = append(os.Environ(), platform.SettingsVariable+"="+m.path())
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return err
	}
	p := &process{command: c, ended: make(chan struct{})}
	m.process, m.paused = p, false
	go func() {
		err := c.Wait()
		_ = log.Close()
		m.mu.Lock()
		if !p.told {
			m.failed("EXIT", fmt.Sprintf("%s ended by itself: %v", m.settings.Name, err))
		}
		if m.process == p {
			m.process = nil
		}
		m.mu.Unlock()
		close(p.ended)
	}()
	return nil
}

// mustStart starts the member again and reports a failure.
func (m *member) mustStart() {
	if err := m.start(); err != nil {
		m.failed("SOAK", fmt.Sprintf("cannot start %s: %v", m.settings.Name, err))
	}
}

// signal sends a signal to the running process, if there is one, and returns it.
// Told signals end the process.
func (m *member) signal(s syscall.Signal, told bool) *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process == nil {
		return nil
	}
	m.process.told = m.process.told || told
	if s == syscall.SIGSTOP {
		m.pauses++
	}
	if s == syscall.SIGSTOP || s == syscall.SIGCONT {
		m.paused = s == syscall.SIGSTOP
	}
	_ = m.process.command.Process.Signal(s)
	return m.process
}

// kill ends the process at once and waits for its end.
func (m *member) kill() {
	if p := m.signal(syscall.SIGKILL, true); p != nil {
		<-p.ended
	}
}

// terminate asks the process to end and waits; one that exceeds the users' time
// is killed.
func (m *member) terminate() {
	pausesBefore, pausedBefore := m.pauseState()
	p := m.signal(syscall.SIGTERM, true)
	if p == nil {
		return
	}
	select {
	case <-p.ended:
	case <-time.After(m.settings.Bounds.StopGrace):
		if pauses, paused := m.pauseState(); pauses == pausesBefore && !paused && !pausedBefore {
			m.failed("STOP", m.settings.Name+" runs on after its time to stop")
		}
		m.kill()
	}
}

func (m *member) pauseState() (pauses int, paused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.pauses, m.paused
}
