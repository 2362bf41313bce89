// Package sweep writes the capacity page from the journal entry of a sweep of the users' bench,
// which plays one day at several sizes of a deployment.
package sweep

import (
	"bytes"
	"encoding/json"
	"os"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
)

// NewCommand returns the command "sweep", which prints or writes the capacity page.
func NewCommand() *cobra.Command {
	var entryFile, pageFile string
	c := &cobra.Command{
		Use:   "sweep",
		Short: "Write the capacity page from the journal entry of a sweep",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			e, err := readEntry(entryFile)
			if err != nil {
				return err
			}
			var text bytes.Buffer
			if err := writePage(&text, e); err != nil {
				return eris.Wrap(err, "cannot write the page")
			}
			if pageFile != "" {
				return os.WriteFile(pageFile, text.Bytes(), 0o644)
			}
			_, err = c.OutOrStdout().Write(text.Bytes())
			return err
		},
	}
	c.Flags().StringVar(&entryFile, "entry", "", "the journal entry of the sweep")
	c.Flags().StringVar(&pageFile, "write", "", "write the page to this file instead of printing it")
	_ = c.MarkFlagRequired("entry")
	return c
}

// entry is the journal entry of a sweep.
type entry struct {
	ID   string `json:"id"`
	Verb string `json:"cmd"`
	Site string `json:"site"`
	Days []day  `json:"days"`
}

// day is one size of the sweep.
type day struct {
	Instances int     `json:"balancers"`
	Servers   int     `json:"servers"`
	Served    float64 `json:"served"`
	// Rules holds the broken rules.
	Rules map[string]any `json:"rules"`
	// Prices holds triples of a name, a quantity and the worth that it costs.
	Prices [][3]any `json:"prices"`
}

// quantity returns the quantity of a price, or 0.
func (d day) quantity(name string) float64 {
	for _, p := range d.Prices {
		if p[0] == name {
			q, _ := p[1].(float64)
			return q
		}
	}
	return 0
}

// readEntry reads and checks a journal entry.
func readEntry(file string) (entry, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return entry{}, eris.Wrap(err, "cannot read the journal entry")
	}
	var e entry
	if err := json.Unmarshal(text, &e); err != nil {
		return entry{}, eris.Wrapf(err, "journal entry %s", file)
	}
	if e.Verb != "sweep" || len(e.Days) < minSizes {
		return entry{}, eris.Errorf("journal entry %s is of %q with %d days; want a sweep with at least %d", file, e.Verb, len(e.Days), minSizes)
	}
	for _, d := range e.Days {
		if d.Instances == 0 || d.quantity(machineSeconds) == 0 {
			return entry{}, eris.Errorf("journal entry %s has a day without instances", file)
		}
	}
	return e, nil
}
