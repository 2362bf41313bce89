// Package policy measures each policy beside its baseline, in virtual time and
// with the same seed and load. The decisions are those of the product; servers,
// links and demand are small fakes.
package policy

import (
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// Measure runs all experiments on the documents of a directory.
func Measure(seed uint64, directory string) (Table, error) {
	users, err := readUsers(directory)
	if err != nil {
		return Table{}, err
	}
	t := Table{Seed: seed}
	for _, experiment := range []func(uint64, user) []Row{fairness} {
		for _, u := range users {
			t.Rows = append(t.Rows, experiment(seed, u)...)
		}
	}
	return t, nil
}

// NewCommand returns the command that prints the table.
func NewCommand() *cobra.Command {
	var seed uint64
	var output, directory string
	c := &cobra.Command{
		Use:   "policy",
		Short: "Compare each policy with its baseline",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if output != "text" && output != "json" {
				return eris.New("--output must be text or json")
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
