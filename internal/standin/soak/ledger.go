package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"tamarackrun/platform/standin"
)

// call is what the soak knows of one request.
type call struct {
	standin.Call
	route        string
	idempotent   bool
	organisation string
	member       int
	sent         time.Time
	// ended is when the reply was complete or the connection ended; zero if
	// neither came while the caller waited.
	ended  time.Time
	status int
	// closed says that the connection ended before a complete reply.
	closed bool
	// unread says that an earlier reply on the connection closed it, so that the
	// request counts as not read.
	unread bool
	runs   []run
}

// run is one run of a request at a server.
type run struct {
	server, service string
	at              time.Time
}

// violation is a broken rule.
type violation struct{ rule, text string }

// ledger holds all requests of a seed. It is safe for concurrent use.
type ledger struct {
	mu         sync.Mutex
	calls      map[string]*call
	violations []violation
}

func (l *ledger) fail(rule, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failLocked(rule, "%s", text)
}

func (l *ledger) failLocked(rule, format string, values ...any) {
	l.violations = append(l.violations, violation{rule, fmt.Sprintf(format, values...)})
}

func (l *ledger) send(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.sent = time.Now()
	l.calls[c.ID] = c
}

// ran takes what a server runs and checks that a caller asked for it.
func (l *ledger) ran(a standin.Execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.calls[a.ID]
	if c == nil {
		l.failLocked("UNASKED", "server %s runs %q, which no caller sent", a.Server, a.ID)
		return
	}
	c.runs = append(c.runs, run{a.Server, a.Service, time.Now()})
	if a.Method != c.Method || a.Target != c.Target || a.Body != c.Body {
		l.failLocked("UNASKED", "server %s runs %s as %s %s with %d bytes", a.Server, a.ID, a.Method, a.Target, len(a.Body))
	}
	if a.Organisation != c.organisation || a.Key != "" {
		l.failLocked("UNASKED", "server %s runs %s for %q, key passed on: %v", a.Server, a.ID, a.Organisation, a.Key != "")
	}
}

// reply takes what a caller got and checks that it is the answer of the
// request.
func (l *ledger) reply(c *call, r standin.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.ended, c.status = time.Now(), r.Status
	if r.Signature == "" {
		if r.Status/100 == 2 {
			l.failLocked("MIXED", "%s gets %d without a server's signature", c.ID, r.Status)
		}
		return
	}
	signed := slices.ContainsFunc(c.runs, func(v run) bool { return r.Signature == standin.Signature(v.server, c.ID) })
	if !signed || r.ID != c.ID || r.Status/100 == 2 && r.Body != standin.Answer(c.Method, c.Target, c.Body) {
		l.failLocked("MIXED", "%s gets %d of %s, signed %q, body %q", c.ID, r.Status, r.ID, r.Signature, strings.ToValidUTF8(r.Body, "?"))
	}
}

// end takes calls whose connection ended without a reply, or whose caller has
// waited in vain.
func (l *ledger) end(calls []*call, closed, unread bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range calls {
		if closed {
			c.ended = time.Now()
		}
		c.closed, c.unread = closed, unread
	}
}
