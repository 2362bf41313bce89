// Package drain reads the operators' orders that a backend server, an instance,
// a failure domain or a region is to leave.
package drain

import (
	"encoding/json"
	"strings"

	"tamarackrun"
)

// Prefix starts the names of the orders' objects.
const Prefix = "drain/"

// Kinds that a name may start with, to tell apart equal names. A name without
// a kind concerns everything that has it.
const (
	Server   = "server"
	Instance = "instance"
	Domain   = "domain"
	Region   = "region"
)

// Targets holds the names that are to leave. It is immutable.
type Targets struct{ names map[string]bool }

// Read takes the objects below Prefix. An object says that its name leaves,
// unless its value is JSON with "leaving": false: the platform has no call that
// removes an object.
func Read(objects []tamarackrun.Object) Targets {
	orders := Targets{map[string]bool{}}
	for _, o := range objects {
		var value struct {
			Leaving *bool `json:"leaving"`
		}
		if json.Unmarshal(o.Value, &value) == nil && value.Leaving != nil && !*value.Leaving {
			continue
		}
		orders.names[strings.TrimPrefix(o.Name, Prefix)] = true
	}
	return orders
}

// Leaving says that an order concerns the name of the kind.
func (o Targets) Leaving(kind, name string) bool { return o.names[name] || o.names[kind+"/"+name] }
