// Package history records the events of one instance: it keeps the latest ones in a
// ring buffer, logs them, and counts events and outcomes in the metrics.
package history

import (
	"fmt"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"tamarackrun"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/wire"
)

// Capacity is the number of events that are kept.
const Capacity = 16384

// History is a tamarackrun.Recorder.
type History struct {
	// Instance, Logger and Scope are set before the first Record.
	Instance string
	Logger   *log.Logger
	Scope    tally.Scope

	mu sync.Mutex
	// records is a ring buffer of the latest events; next is the number of events
	// recorded so far, and modulo Capacity the position of the next one.
	records [Capacity]*wire.EventRecord
	next    int
}

// Record stores, logs and counts an event. fields holds pairs of key and value.
func (h *History) Record(id tamarackrun.EventID, request string, fields ...string) {
	description, ok := event.Lookup(id)
	if !ok || len(fields)%2 != 0 {
		panic(fmt.Sprintf("event %d is not in the catalogue or its fields are not pairs of key and value", id))
	}
	record := &wire.EventRecord{Id: uint32(id), WallMillis: time.Now().UnixMilli(), Instance: h.Instance, Request: request}
	for i := 0; i < len(fields); i += 2 {
		record.Fields = append(record.Fields, &wire.EventField{Name: fields[i], Value: fields[i+1]})
	}
	h.mu.Lock()
	h.records[h.next%Capacity] = record
	h.next++
	h.mu.Unlock()
	h.Scope.Tagged(map[string]string{"event": description.Name}).Counter("events").Inc(1)
	h.log(description, record)
}

// log writes an event to the log if its level is enabled.
func (h *History) log(description event.Description, record *wire.EventRecord) {
	entry := h.Logger.WithLevel(log.ParseLevel(description.Level))
	if entry == nil {
		return
	}
	entry = entry.Str("event", fmt.Sprintf("TR%d", record.Id)).Str("name", description.Name)
	if record.Request != "" {
		entry = entry.Str("request", record.Request)
	}
	for _, f := range record.Fields {
		entry = entry.Str(f.Name, f.Value)
	}
	entry.Msg(description.Meaning)
}

// CountOutcome counts an outcome by the stage of the request, the kind and the
// reason.
func (h *History) CountOutcome(stage string, outcome tamarackrun.Outcome) {
	h.Scope.Tagged(map[string]string{
		"stage": stage, "outcome": outcome.Kind.String(), "reason": string(outcome.Reason),
	}).Counter("outcomes").Inc(1)
}

// Events returns the kept events of one request in the order in which they were
// recorded, or all kept events if request is empty.
func (h *History) Events(request string) []*wire.EventRecord {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []*wire.EventRecord
	for i := max(0, h.next-Capacity); i < h.next; i++ {
		if r := h.records[i%Capacity]; request == "" || r.Request == request {
			found = append(found, r)
		}
	}
	return found
}
