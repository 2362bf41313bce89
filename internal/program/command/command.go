// Package command implements the command line of tamarackrun.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"
	"github.com/spf13/cobra"

	"tamarackrun/internal/program/instance"
	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/protocol/settings"
)

// Exit codes.
const (
	exitDone = 0
	// exitFailed means that the command could not do its work.
	exitFailed = 1
	// exitInvalid means that the input is wrong and nothing changed.
	exitInvalid = 2
	// exitConflict means that another operator changed the same sections first
	// and nothing changed.
	exitConflict = 3
	// exitUnknown means that the change may or may not have been accepted.
	exitUnknown = 4
)

const rootHelp = `Steer calls to healthy backend servers across regions.

Exit codes:
  0  done
  1  the command could not do its work
  2  the input is wrong; nothing changed
  3  another operator changed the same sections; nothing changed
  4  it is not known whether the change was accepted; repeating it is harmless`

// codedError is an error with the exit code that the program ends with.
type codedError struct {
	code int
	err  error
}

func (e *codedError) Error() string { return e.err.Error() }
func (e *codedError) Unwrap() error { return e.err }

// errorWithCode returns an error with which the program ends with the exit code.
func errorWithCode(code int, format string, args ...any) error {
	return &codedError{code, fmt.Errorf(format, args...)}
}

// Run runs the command that args name and returns its exit code.
func Run(args []string, out, errOut io.Writer) int {
	root := newRoot(out, errOut)
	// Cobra parses the arguments before PersistentPreRun, so that an error
	// before it means invalid arguments.
	argumentsParsed := false
	root.PersistentPreRun = func(*cobra.Command, []string) { argumentsParsed = true }
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return exitDone
	}
	_, _ = fmt.Fprintln(errOut, "tamarackrun: "+err.Error())
	if !argumentsParsed {
		return exitInvalid
	}
	return exitCode(err)
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var c *codedError
	if errors.As(err, &c) {
		return c.code
	}
	return exitFailed
}

func newRoot(out, errOut io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:           "tamarackrun",
		Short:         "Steer calls to healthy backend servers across regions",
		Long:          rootHelp,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(out)
	root.SetErr(errOut)
	root.AddCommand(newServe(), newFront(), newCheck())
	root.AddCommand(newOperatorCommands()...)
	return root
}

func newServe() *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "serve -c FILE.ini",
		Short: "Run an entry instance",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			s, err := settings.Load(file)
			if err != nil {
				return &codedError{exitInvalid, err}
			}
			return serve(s, c.ErrOrStderr())
		},
	}
	c.Flags().StringVarP(&file, "config", "c", "", "settings file of the instance")
	_ = c.MarkFlagRequired("config")
	return c
}

// serve runs an instance until SIGTERM or SIGINT.
func serve(s settings.Settings, out io.Writer) error {
	logger := &log.Logger{Level: log.ParseLevel(s.LogLevel), Writer: log.IOWriter{Writer: out}}
	in, cleanup, err := instance.New(s, logger)
	if err != nil {
		return err
	}
	defer cleanup()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return in.Run(ctx)
}

func newCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE.ini",
		Short: "Check an operators' document without applying it",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			_, problems := document.Parse(args[0], text)
			for _, p := range problems {
				_, _ = fmt.Fprintln(c.OutOrStdout(), p.String())
			}
			if len(problems) > 0 {
				return errorWithCode(exitInvalid, "%d problems in %s", len(problems), args[0])
			}
			_, _ = fmt.Fprintln(c.OutOrStdout(), "ok")
			return nil
		},
	}
}
