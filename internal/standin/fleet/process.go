package fleet

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is a child process.
type Process struct {
	// LogFile is the file that standard error is appended to.
	LogFile string

	command *exec.Cmd
	// ended is closed when the process has ended.
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
	// The kernel kills the child even if this process is killed.
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

// PID returns the process id.
func (p *Process) PID() int { return p.command.Process.Pid }

// Signal sends a signal.
func (p *Process) Signal(s os.Signal) { _ = p.command.Process.Signal(s) }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.ended
}

// Pause stops the process until Resume. It returns when all threads have stopped:
// the signal takes effect with a delay, in which a thread may still begin a
// request.
func (p *Process) Pause() {
	p.Signal(syscall.SIGSTOP)
	for !p.stopped() {
		time.Sleep(time.Millisecond)
	}
}

// stopped reports whether all threads are stopped. A process that has ended counts
// as stopped.
func (p *Process) stopped() bool {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.PID()))
	for _, file := range files {
		text, err := os.ReadFile(file)
		// The state follows the program's name, which is in parentheses.
		_, rest, found := bytes.Cut(text, []byte(") "))
		if err == nil && found && !bytes.ContainsAny(rest[:1], "TZX") {
			return false
		}
	}
	return true
}

// Resume continues a paused process.
func (p *Process) Resume() { p.Signal(syscall.SIGCONT) }

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
