package demo

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// child is a process that the demo started.
type child struct {
	command *exec.Cmd
	ended   chan struct{}
}

func (d *Demo) start(name, program string, args ...string) error {
	c := &child{command: exec.Command(filepath.Join(d.Binaries, program), args...), ended: make(chan struct{})}
	log, err := os.Create(filepath.Join(d.directory, name+".log"))
	if err != nil {
		return err
	}
	c.command.Stderr = log
	// The kernel ends the children if the demo itself is killed.
	c.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.command.Start(); err != nil {
		return fmt.Errorf("%s did not start: %w", name, err)
	}
	go func() {
		_ = c.command.Wait()
		_ = log.Close()
		close(c.ended)
	}()
	d.processes[name] = c
	return nil
}

func (c *child) pid() int { return c.command.Process.Pid }

func (c *child) signal(s os.Signal) { _ = c.command.Process.Signal(s) }

// waitUntil waits for the end of the process and kills it after the limit.
func (c *child) waitUntil(limit time.Time) {
	select {
	case <-c.ended:
	case <-time.After(time.Until(limit)):
		_ = c.command.Process.Kill()
		<-c.ended
	}
}

func putJSON(url string, content []byte) error {
	request, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(content))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		return errors.New(response.Status)
	}
	return nil
}
