package soak

import (
	"sync"
	"time"
)

// scope is what a trouble affects.
type scope int

const (
	// atServer affects one server or its link.
	atServer scope = iota
	// atMember affects one instance or its link to the store.
	atMember
	// atStore affects all instances.
	atStore
)

// trouble is a span of time in which something was harmed or changed.
type trouble struct {
	kind   string
	target string
	scope  scope
	member int
	// planned troubles are what operators do on purpose.
	planned  bool
	from, to time.Time
}

// overlaps says whether the trouble is in a span; one without an end goes on.
func (t *trouble) overlaps(from, to time.Time) bool {
	return t.from.Before(to) && (t.to.IsZero() || t.to.After(from))
}

// troubles is the record of what was done. It is safe for concurrent use.
type troubles struct {
	mu   sync.Mutex
	list []*trouble
}

func (l *troubles) begin(t trouble) *trouble {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.from = time.Now()
	l.list = append(l.list, &t)
	return &t
}

func (l *troubles) end(t *trouble) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t.to = time.Now()
}

// any says whether a trouble of which the function is true is in a span.
func (l *troubles) any(from, to time.Time, f func(*trouble) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.list {
		if t.overlaps(from, to) && f(t) {
			return true
		}
	}
	return false
}

// inTouch says whether an instance was in touch all through a span, as the
// users' rules define it.
func (l *troubles) inTouch(member int, from, to time.Time) bool {
	return !l.any(from.Add(-bounds.DetectionBound), to, func(t *trouble) bool {
		return t.scope == atStore && !t.planned || t.scope == atMember && t.member == member
	})
}

// calm says that nothing but planned work was done in a span and shortly
// before.
func (l *troubles) calm(from, to time.Time) bool {
	return !l.any(from.Add(-bounds.DetectionBound), to, func(t *trouble) bool { return !t.planned })
}

// planned says whether planned work was done in a span.
func (l *troubles) planned(from, to time.Time) bool {
	return l.any(from, to, func(t *trouble) bool { return t.planned })
}
