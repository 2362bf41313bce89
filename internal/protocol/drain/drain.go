// Package drain reads the operators' requests to drain backend servers, instances, failure
// domains and regions.
package drain

import (
	"encoding/json"
	"strings"

	"tamarackrun"
)

// Prefix is the prefix of the names of the objects that request a drain.
const Prefix = "drain/"

// Kinds of targets. An object's name may have a kind before the target's name, as in
// server/NAME; without a kind it concerns everything with that name.
const (
	Server   = "server"
	Instance = "instance"
	Domain   = "domain"
	Region   = "region"
)

// Targets is the set of names that are to be drained, with or without a kind. It is
// immutable.
type Targets struct{ names map[string]bool }

// Read returns the targets of the objects below Prefix. An object requests a drain unless
// its value is JSON with "leaving": false. This cancels the drain, since the platform has
// no call that removes an object.
func Read(objects []tamarackrun.Object) Targets {
	targets := Targets{map[string]bool{}}
	for _, o := range objects {
		var value struct {
			Leaving *bool `json:"leaving"`
		}
		if json.Unmarshal(o.Value, &value) == nil && value.Leaving != nil && !*value.Leaving {
			continue
		}
		targets.names[strings.TrimPrefix(o.Name, Prefix)] = true
	}
	return targets
}

// Leaving reports whether the target with the kind and the name is to be drained.
func (t Targets) Leaving(kind, name string) bool { return t.names[name] || t.names[kind+"/"+name] }
