package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// Process is a process that this program started.
type Process struct {
	// LogFile holds what the process wrote to standard error.
	LogFile string

	command *exec.Cmd
	ended   chan struct{}
}

// StartProcess starts a program.
func StartProcess(logFile, program string, args ...string) (*Process, error) {
	p := &Process{LogFile: logFile, command: exec.Command(program, args...), ended: make(chan struct{})}
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p.command.Stderr = log
	// The kernel ends the child if this program is killed.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("%s did not start: %w", program, err)
	}
	go func() {
		_ = p.command.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	return p, nil
}

// PID returns the process number.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(s os.Signal) { _ = p.command.Process.Signal(s) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// Pause freezes the process until Resume.
func (p *Process) Pause() { p.Signal(syscall.SIGSTOP) }

// Resume wakes a paused process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

// Wait waits for the end of the process. After the limit it kills the process
// and returns false.
func (p *Process) Wait(limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		p.Kill()
		return false
	}
}
