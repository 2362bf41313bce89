// Package measure measures what the code costs and computes from it the capacity
// at the target size of the design page (docs/design.md). A daemon is an entry
// instance.
package measure

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// Run runs the command that args name and returns its exit code. The further
// commands need the stand-ins, which this package must not import.
func Run(args []string, out, errOut io.Writer, identities Identities, further ...*cobra.Command) int {
	root := &cobra.Command{Use: "measure", Short: "Measure the cost of the code", SilenceUsage: true, SilenceErrors: true}
	root.SetOut(out)
	root.SetErr(errOut)
	root.SetArgs(args)
	root.AddCommand(newCapacity(identities))
	root.AddCommand(further...)
	if err := root.Execute(); err != nil {
		_, _ = fmt.Fprintln(errOut, "measure: "+err.Error())
		return 1
	}
	return 0
}

func newCapacity(identities Identities) *cobra.Command {
	var file string
	c := &cobra.Command{
		Use:   "capacity",
		Short: "Measure slopes and print the capacity table of the target size",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			m, err := measureAll(identities)
			if err != nil {
				return eris.Wrap(err, "cannot measure")
			}
			var text bytes.Buffer
			if err := newPage(m, targetInputs()).write(&text); err != nil {
				return eris.Wrap(err, "cannot write the page")
			}
			if file != "" {
				return os.WriteFile(file, text.Bytes(), 0o644)
			}
			_, err = c.OutOrStdout().Write(text.Bytes())
			return err
		},
	}
	c.Flags().StringVar(&file, "write", "", "write the page to this file instead of printing it")
	return c
}
