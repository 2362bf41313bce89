package policy

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/rotisserie/eris"

	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/state/configuration"
)

// instances is the number of entry instances of both users.
const instances = 7

// user is one of today's users with the sizes of its document.
type user struct {
	name string
	*configuration.Snapshot
	// main is the service whose requests must not be refused or wait.
	main string
	// batch is the service of the batch route, if it shares slots with main
	// in the measurement of classes.
	batch bool
}

func readUsers(directory string) ([]user, error) {
	users := []user{{name: "sundarban", main: "orders"}, {name: "hollowmere", main: "logbook", batch: true}}
	for i := range users {
		u := &users[i]
		file := filepath.Join(directory, u.name, "document.ini")
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, eris.Wrap(err, "cannot read the document")
		}
		snapshot, problems := document.Parse(file, text)
		if len(problems) > 0 {
			return nil, eris.New(fmt.Sprint(problems[0]))
		}
		u.Snapshot = snapshot
	}
	return users, nil
}

// slots is the number of slots of one server of the main service.
func (u user) slots() int { return u.Services[u.main].Slots }

func (u user) organisations() []configuration.Organisation {
	list := make([]configuration.Organisation, 0, len(u.Organisations))
	for _, name := range slices.Sorted(maps.Keys(u.Organisations)) {
		list = append(list, u.Organisations[name])
	}
	return list
}

func (u user) largest() configuration.Organisation {
	return slices.MaxFunc(u.organisations(), func(a, b configuration.Organisation) int { return int(a.Rate - b.Rate) })
}

func (u user) regions() []string { return slices.Sorted(maps.Keys(u.Regions)) }
