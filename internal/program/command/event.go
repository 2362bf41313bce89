package command

import (
	"tamarackrun"
	"tamarackrun/internal/protocol/event"
)

// eventName returns the name of an event, or "" for an unknown one.
func eventName(id uint32) string {
	d, _ := event.Lookup(tamarackrun.EventID(id))
	return d.Name
}
