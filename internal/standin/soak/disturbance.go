package soak

import (
	"sync"
	"time"
)

// scope is what a disturbance affects.
type scope int

const (
	// atServer affects one server or its link.
	atServer scope = iota
	// atInstance affects one instance or its link to the store.
	atInstance
	// atStore affects all instances.
	atStore
	// atLinks affects the links of one instance to all servers. The users' rules hold for it as before.
	atLinks
)

// disturbance is a time span in which a fault was injected or an operation was
// carried out.
type disturbance struct {
	// name and target appear in the texts of violations.
	name   string
	target string
	scope  scope
	// instance is the index of the instance if the scope is atInstance or atLinks.
	instance int
	// planned marks what operators do on purpose, such as a restart.
	planned  bool
	from, to time.Time
}

// overlaps reports whether the disturbance overlaps the span. Its own field to is
// zero until it has ended.
func (d *disturbance) overlaps(from, to time.Time) bool {
	return d.from.Before(to) && (d.to.IsZero() || d.to.After(from))
}

// disturbanceLog holds the disturbances of a seed. It is safe for concurrent use.
type disturbanceLog struct {
	mu   sync.Mutex
	list []*disturbance
}

// begin adds a disturbance that begins now.
func (l *disturbanceLog) begin(d disturbance) *disturbance {
	l.mu.Lock()
	defer l.mu.Unlock()
	d.from = time.Now()
	l.list = append(l.list, &d)
	return &d
}

func (l *disturbanceLog) end(d *disturbance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d.to = time.Now()
}

// any reports whether a disturbance for which f is true overlaps the span.
func (l *disturbanceLog) any(from, to time.Time, f func(*disturbance) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range l.list {
		if d.overlaps(from, to) && f(d) {
			return true
		}
	}
	return false
}

// connected reports whether neither the instance nor its access to the store was
// disturbed in the span or bounds.DetectionBound before it. This is how the users'
// rules define an instance that is in touch. Planned disturbances of the store do
// not count.
func (l *disturbanceLog) connected(instance int, from, to time.Time) bool {
	return !l.any(from.Add(-bounds.DetectionBound), to, func(d *disturbance) bool {
		return d.scope == atStore && !d.planned || d.scope == atInstance && d.instance == instance
	})
}

// onlyPlanned reports whether no unplanned disturbance overlaps the span or
// bounds.DetectionBound before it.
func (l *disturbanceLog) onlyPlanned(from, to time.Time) bool {
	return !l.any(from.Add(-bounds.DetectionBound), to, func(d *disturbance) bool { return !d.planned })
}

// anyPlanned reports whether a planned disturbance overlaps the span.
func (l *disturbanceLog) anyPlanned(from, to time.Time) bool {
	return l.any(from, to, func(d *disturbance) bool { return d.planned })
}
