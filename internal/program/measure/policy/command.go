// Package policy compares each policy with a baseline, in virtual time and with the
// same seed and load. The code of the product makes the decisions; servers, links
// and demand are simulated.
package policy

import (
	"slices"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// Measure runs all experiments on the users' documents in a directory.
func Measure(seed uint64, directory string) (Table, error) {
	users, err := readUsers(directory)
	if err != nil {
		return Table{}, err
	}
	experiments := []func(uint64, user) []Row{fairnessRows, choiceRows, shiftRows, rateRows, drainRows}
	parts := make([][]Row, len(experiments)*len(users))
	var group sync.WaitGroup
	for i := range parts {
		group.Go(func() { parts[i] = experiments[i/len(users)](seed, users[i%len(users)]) })
	}
	group.Wait()
	return Table{seed, slices.Concat(parts...)}, nil
}

// NewCommand returns the sub-command policy, which prints the table.
func NewCommand() *cobra.Command {
	var seed uint64
	var output, directory string
	c := &cobra.Command{
		Use:   "policy",
		Short: "Compare each policy with its baseline",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if output != "text" && output != "json" {
				return eris.Errorf("--output = %q must be text or json", output)
			}
			t, err := Measure(seed, directory)
			if err != nil {
				return err
			}
			if output == "json" {
				return t.WriteJSON(c.OutOrStdout())
			}
			return t.WriteText(c.OutOrStdout())
		},
	}
	c.Flags().Uint64Var(&seed, "seed", 7, "seed of the load and of the decisions")
	c.Flags().StringVar(&output, "output", "text", "text or json")
	c.Flags().StringVar(&directory, "deployments", "deployments", "directory of the users' documents")
	return c
}
