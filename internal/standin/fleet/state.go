package fleet

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

const (
	// stateInterval separates the two readings of the threads' times.
	stateInterval = 500 * time.Millisecond
	// dumpLimit bounds the wait for a process to write the stacks of its goroutines
	// and end.
	dumpLimit = 3 * time.Second
)

// stateFields are the lines of /proc/PID/status that State shows: whether the
// process is stopped or traced, by whom, and which signals wait or are blocked.
var stateFields = []string{"State", "PPid", "TracerPid", "Threads", "SigPnd", "ShdPnd", "SigBlk", "SigIgn", "SigCgt"}

// thread is the state of one thread from /proc.
type thread struct {
	id string
	// state is the letter of the state, such as T for stopped, and processor the
	// number of the last processor. Both are empty if the thread ended while it was
	// read.
	state, processor string
}

// The fields of /proc/PID/stat after the program's name, from 0 on.
const (
	statState     = 0
	statProcessor = 36
)

// threads returns the threads of the process, none if it has ended.
func (p *Process) threads() []thread {
	directories, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", p.PID()))
	threads := make([]thread, 0, len(directories))
	for _, directory := range directories {
		t := thread{id: filepath.Base(directory)}
		text, _ := os.ReadFile(filepath.Join(directory, "stat"))
		// The first two fields are the id and the program's name in parentheses.
		_, rest, _ := bytes.Cut(text, []byte(") "))
		if fields := strings.Fields(string(rest)); len(fields) > statProcessor {
			t.state, t.processor = fields[statState], fields[statProcessor]
		}
		threads = append(threads, t)
	}
	return threads
}

// State returns what /proc says of the process, of its threads and of the machine's
// load: the state, the signals, the processor of each thread, where it waits in the
// kernel, and its time on a processor in ns, its time runnable without one in ns and
// its turns, twice in stateInterval. A thread in state R whose turns stay the same
// waits for a processor. Of a process that has ended it returns how it ended.
func (p *Process) State() string {
	if p.hasEnded() {
		return fmt.Sprintf("process %d has ended: %v", p.PID(), p.command.ProcessState)
	}
	before := map[string]string{}
	for _, t := range p.threads() {
		before[t.id] = p.readThread(t, "schedstat")
	}
	time.Sleep(stateInterval)
	var b strings.Builder
	fmt.Fprintf(&b, "process %d at %s, load %s, %s\n", p.PID(), time.Now().Format(time.RFC3339Nano), readLine("/proc/loadavg"), readLine("/proc/pressure/cpu"))
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		fmt.Fprintln(&b, err)
	}
	for line := range strings.Lines(string(status)) {
		if name, _, _ := strings.Cut(line, ":"); slices.Contains(stateFields, name) {
			b.WriteString(line)
		}
	}
	for _, t := range p.threads() {
		fmt.Fprintf(&b, "thread %s: state %s, processor %s, wchan %s, schedstat %s, before %s, syscall %s\n", t.id, t.state, t.processor,
			p.readThread(t, "wchan"), p.readThread(t, "schedstat"), before[t.id], p.readThread(t, "syscall"))
	}
	return b.String()
}

// readThread returns the first line of a file of a thread in /proc, or the error.
func (p *Process) readThread(t thread, name string) string {
	return readLine(fmt.Sprintf("/proc/%d/task/%s/%s", p.PID(), t.id, name))
}

// readLine returns the first line of a file, or the error.
func readLine(file string) string {
	text, err := os.ReadFile(file)
	if err != nil {
		return err.Error()
	}
	line, _, _ := strings.Cut(string(text), "\n")
	return line
}

// Dump makes the process write the stacks of its goroutines to LogFile and end. A
// process that does not follow SIGQUIT gets SIGCONT, and the error says whether
// that helped, which shows whether it was stopped. There is no error if the process
// has ended already.
func (p *Process) Dump() error {
	if p.hasEnded() {
		return nil
	}
	if err := p.Signal(syscall.SIGQUIT); err != nil {
		return err
	}
	if p.endsWithin(dumpLimit) {
		return nil
	}
	err := fmt.Errorf("process %d did not end within %v of SIGQUIT", p.PID(), dumpLimit)
	if signalErr := p.Signal(syscall.SIGCONT); signalErr != nil {
		return errors.Join(err, signalErr)
	}
	if p.endsWithin(dumpLimit) {
		return fmt.Errorf("%w, but after a further SIGCONT", err)
	}
	return fmt.Errorf("%w, nor after a further SIGCONT", err)
}

// hasEnded reports whether the process has ended.
func (p *Process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// endsWithin waits for the end of the process and reports whether it came within
// the limit.
func (p *Process) endsWithin(limit time.Duration) bool {
	select {
	case <-p.ended:
		return true
	case <-time.After(limit):
		return false
	}
}
