package fleet_test

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"testing"

	"tamarackrun/internal/standin/fleet"
)

// pauseVariable holds the log file of a process that a run of the test binary
// pauses instead of running tests.
const pauseVariable = "TAMARACKRUN_TEST_PAUSE"

func TestMain(m *testing.M) {
	if log := os.Getenv(pauseVariable); log != "" {
		pauseUntilClosed(log)
		return
	}
	os.Exit(m.Run())
}

// pauseUntilClosed pauses a process, prints its id and kills it when descriptor 3
// is closed.
func pauseUntilClosed(log string) {
	// The kernel sends SIGHUP before SIGCONT.
	signal.Ignore(syscall.SIGHUP)
	p, err := fleet.StartProcess(log, "sleep", "600")
	if err == nil {
		defer p.Kill()
		err = p.Pause()
	}
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(p.PID())
	_, _ = io.Copy(io.Discard, os.NewFile(3, "closed at the end"))
}
