package fleet_test

import (
	"errors"
	"os"
	"path/filepath"
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
