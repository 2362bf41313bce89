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

// instanceCount is the number of entry instances of each user.
const instanceCount = 7

// user is one of today's users with the configuration of its document.
type user struct {
	name string
	*configuration.Snapshot
	// mainService is the service that the experiments use, whose requests must
	// neither be refused nor wait.
	mainService string
	// hasBatch means that a batch route shares the slots of mainService, which
	// batchFairness measures.
	hasBatch bool
}

// readUsers reads the documents DIRECTORY/USER/document.ini.
func readUsers(directory string) ([]user, error) {
	users := []user{{name: "sundarban", mainService: "orders"}, {name: "hollowmere", mainService: "logbook", hasBatch: true}}
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

// slots returns the number of slots of one server of the main service.
func (u user) slots() int { return u.Services[u.mainService].Slots }

func (u user) organisations() []configuration.Organisation {
	list := make([]configuration.Organisation, 0, len(u.Organisations))
	for _, name := range slices.Sorted(maps.Keys(u.Organisations)) {
		list = append(list, u.Organisations[name])
	}
	return list
}

func (u user) largestOrganisation() configuration.Organisation {
	return slices.MaxFunc(u.organisations(), func(a, b configuration.Organisation) int { return int(a.Rate - b.Rate) })
}

func (u user) regions() []string { return slices.Sorted(maps.Keys(u.Regions)) }
