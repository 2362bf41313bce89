package fleet_test

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"tamarackrun/internal/standin/fleet"
)

// endLimit bounds the wait for a killed process to end. It is long because the host
// may be busy.
const endLimit = 30 * time.Second

func startSleep(t *testing.T) *fleet.Process {
	t.Helper()
	p, err := fleet.StartProcess(filepath.Join(t.TempDir(), "sleep.log"), "sleep", "600")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	return p
}

// A process that was not stopped or did not go on must not pass for one that was or
// did: a test that relies on it then fails far from the cause, or tests nothing.
func TestPauseAndResumeReportTheirEffect(t *testing.T) {
	t.Parallel()
	p := startSleep(t)
	if err := p.Pause(); err != nil {
		t.Fatal(err)
	}
	if state := p.State(); !strings.Contains(state, "State:\tT (stopped)") || !strings.Contains(state, "state T, processor") {
		t.Errorf("state of a paused process: %s", state)
	}
	if err := p.Resume(); err != nil {
		t.Fatal(err)
	}
	if state := p.State(); strings.Contains(state, "state T") || !strings.Contains(state, "SigBlk:") {
		t.Errorf("state of a resumed process: %s", state)
	}
	if err := p.Pause(); err != nil {
		t.Fatal(err)
	}
	if err := p.Signal(syscall.SIGKILL); err != nil {
		t.Fatal(err)
	}
	if !p.Wait(endLimit) {
		t.Errorf("the killed process did not end: %s", p.State())
	}
	for name, act := range map[string]func() error{"Pause": p.Pause, "Resume": p.Resume} {
		if err := act(); !errors.Is(err, os.ErrProcessDone) {
			t.Errorf("%s of an ended process: error %v, want %v", name, err, os.ErrProcessDone)
		}
	}
	if state := p.State(); !strings.Contains(state, "has ended: signal: killed") {
		t.Errorf("state of a killed process: %s", state)
	}
}

// A paused process must stay paused when its process group loses its last parent in
// the session, such as the shell that started the tests in the background. The kernel
// then sends SIGHUP and SIGCONT to a group with a stopped process.
func TestPauseOutlastsShell(t *testing.T) {
	t.Parallel()
	closing, held, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = held.Close() }()
	shell := exec.Command("sh", "-c", `"$0" & wait`, os.Args[0])
	shell.Env = append(os.Environ(), pauseVariable+"="+filepath.Join(t.TempDir(), "sleep.log"))
	shell.ExtraFiles = []*os.File{closing}
	shell.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	output, err := shell.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := shell.Start(); err != nil {
		t.Fatal(err)
	}
	_ = closing.Close()
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(line))
	if err != nil {
		t.Fatalf("the process was not paused: %s", line)
	}
	if err := shell.Process.Kill(); err != nil {
		t.Fatal(err)
	}
	if _, err := shell.Process.Wait(); err != nil {
		t.Fatal(err)
	}
	// The signals have been sent when the end of the shell is reported.
	for range 20 {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil || !strings.Contains(string(stat), ") T ") {
			t.Fatalf("the paused process is not stopped after the end of the shell: error %v, %s", err, stat)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// A process that does not follow SIGQUIT must be told apart by whether it was
// stopped.
func TestDumpReportsStoppedProcess(t *testing.T) {
	t.Parallel()
	running, paused := startSleep(t), startSleep(t)
	if err := running.Dump(); err != nil {
		t.Error(err)
	}
	if err := paused.Pause(); err != nil {
		t.Fatal(err)
	}
	if err := paused.Dump(); err == nil || !strings.HasSuffix(err.Error(), "but after a further SIGCONT") {
		t.Errorf("dump of a paused process: error %v", err)
	}
}
