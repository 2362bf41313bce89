package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"time"
)

// resumeLimit bounds the wait for the threads of a process to go on. It is long
// because the host may be busy.
const resumeLimit = 10 * time.Second

// Process is a child process.
type Process struct {
	// LogFile is the file that standard error is appended to.
	LogFile string

	command *exec.Cmd
	// ended is closed when the process has ended. command.ProcessState is set
	// before.
	ended chan struct{}
}

// StartProcess starts a program, which is killed when this process ends.
func StartProcess(logFile, program string, args ...string) (*Process, error) {
	p := &Process{LogFile: logFile, command: exec.Command(program, args...), ended: make(chan struct{})}
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p.command.Stderr = log
	// The kernel kills the child even if this process is killed. The child has a process
	// group of its own: in the group of this process a paused child would get SIGHUP and
	// SIGCONT when the shell that started this process ends.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
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

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal. The error is os.ErrProcessDone if the process has ended.
func (p *Process) Signal(s os.Signal) error {
	if err := p.command.Process.Signal(s); err != nil {
		return fmt.Errorf("cannot send signal %v to process %d: %w", s, p.PID(), err)
	}
	return nil
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// Pause stops the process until Resume. It returns when all threads have stopped:
// the signal takes effect with a delay, in which a thread may still begin a
// request. It returns an error if the process has ended.
func (p *Process) Pause() error {
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	for {
		if stopped, running := p.countThreads(); running == 0 {
			if stopped == 0 {
				return fmt.Errorf("process %d has ended instead of stopping", p.PID())
			}
			return nil
		}
		time.Sleep(time.Millisecond)
	}
}

// countThreads counts the threads by whether they are stopped. Those that have
// ended do not count.
func (p *Process) countThreads() (stopped, running int) {
	for _, t := range p.threads() {
		switch t.state {
		case "T":
			stopped++
		case "Z", "X", "":
		default:
			running++
		}
	}
	return stopped, running
}

// Resume continues a paused process. It returns when no thread is stopped, and an
// error if that takes longer than resumeLimit or the process has ended.
func (p *Process) Resume() error {
	if err := p.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	for limit := time.Now().Add(resumeLimit); ; time.Sleep(time.Millisecond) {
		stopped, running := p.countThreads()
		if stopped == 0 && running > 0 {
			return nil
		}
		if p.hasEnded() {
			return fmt.Errorf("process %d ended while it was paused: %v", p.PID(), p.command.ProcessState)
		}
		if time.Now().After(limit) {
			return fmt.Errorf("process %d has %d stopped and %d other threads %v after SIGCONT", p.PID(), stopped, running, resumeLimit)
		}
	}
}

// Wait waits for the end of the process and reports whether it came within the
// limit. After the limit the process is killed.
func (p *Process) Wait(limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		p.Kill()
		return false
	}
}
