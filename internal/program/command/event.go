package command

import (
	"tamarackrun"
	"tamarackrun/internal/protocol/event"
)

func eventName(id uint32) string {
	d, _ := event.Lookup(tamarackrun.EventID(id))
	return d.Name
}
