package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"tamarackrun/platform/standin"
)

// minStatus and maxStatus bound the status of a reply.
const minStatus, maxStatus = 200, 599

// call is one request with what its caller and the servers saw of it.
type call struct {
	standin.Call
	route        string
	idempotent   bool
	organisation string
	instance     int
	// repeat reports whether the caller has sent the request before, with another id.
	repeat bool
	sent   time.Time
	// ended is when the reply was complete or the connection ended; zero if
	// neither happened while the caller waited.
	ended  time.Time
	status int
	// closed means that the connection ended before a complete reply.
	closed bool
	// unread means that the connection ended at an earlier request, so that this
	// one counts as not read by the instance.
	unread     bool
	executions []execution
}

// execution is one execution of a request at a backend server.
type execution struct {
	server, service string
	at              time.Time
	// sender is the index of the instance that has sent the request to the server.
	sender int
}

// turnedAway is a request of an instance that a server has not run and after which it wants no more from
// the instance until a time.
type turnedAway struct {
	server    string
	sender    int
	at, until time.Time
}

// violation describes a broken rule. The rule is named as in the users' rules; SOAK
// marks a failure of the soak itself.
type violation struct{ rule, text string }

// history holds the requests and violations of a seed. It is safe for concurrent
// use.
type history struct {
	mu         sync.Mutex
	calls      map[string]*call
	violations []violation
	turnedAway []turnedAway
}

func (h *history) addViolation(rule, text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.addViolationLocked(rule, "%s", text)
}

// addViolationLocked adds a violation. The caller holds h.mu.
func (h *history) addViolationLocked(rule, format string, values ...any) {
	h.violations = append(h.violations, violation{rule, fmt.Sprintf(format, values...)})
}

// recordRequest records a request that its caller is about to send.
func (h *history) recordRequest(c *call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.sent = time.Now()
	h.calls[c.ID] = c
}

// checkRefused checks that an order which its caller sends again after a refusal has not run (REFUSED).
func (h *history) checkRefused(c *call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(c.executions) > 0 {
		h.addViolationLocked("REFUSED", "%s got %d, ran at %s and is sent again", c.ID, c.status, c.executions[0].server)
	}
	c.status, c.ended = 0, time.Time{}
}

// recordExecution records a request that a server runs and checks that it is as a
// caller sent it. sender is the index of the instance that has sent it to the server.
func (h *history) recordExecution(x standin.Execution, sender int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.calls[x.ID]
	if c == nil {
		h.addViolationLocked("UNASKED", "server %s runs %q, which no caller sent", x.Server, x.ID)
		return
	}
	c.executions = append(c.executions, execution{x.Server, x.Service, time.Now(), sender})
	if x.Method != c.Method || x.Target != c.Target || x.Body != c.Body {
		h.addViolationLocked("UNASKED", "server %s runs %s as %s %s with %d bytes", x.Server, x.ID, x.Method, x.Target, len(x.Body))
	}
	if x.Organisation != c.organisation || x.Key != "" {
		h.addViolationLocked("UNASKED", "server %s runs %s for %q, key passed on: %v", x.Server, x.ID, x.Organisation, x.Key != "")
	}
}

// recordTurnedAway records a request that a server turns away now.
func (h *history) recordTurnedAway(server string, sender int, rest time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.turnedAway = append(h.turnedAway, turnedAway{server, sender, now, now.Add(rest)})
}

// recordReply records the reply that a caller got and checks that it belongs to
// the request.
func (h *history) recordReply(c *call, r standin.Reply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c.ended, c.status = time.Now(), r.Status
	if r.Status < minStatus || r.Status > maxStatus {
		h.addViolationLocked("MIXED", "%s gets the status %d", c.ID, r.Status)
	}
	if r.Signature == "" {
		if r.Status/100 == 2 {
			h.addViolationLocked("MIXED", "%s gets %d without a server's signature", c.ID, r.Status)
		}
		return
	}
	signed := slices.ContainsFunc(c.executions, func(v execution) bool { return r.Signature == standin.Signature(v.server, c.ID) })
	if !signed || r.ID != c.ID || r.Status/100 == 2 && r.Body != standin.Answer(c.Method, c.Target, c.Body) {
		h.addViolationLocked("MIXED", "%s gets %d of %s, signed %q, body %q", c.ID, r.Status, r.ID, r.Signature, strings.ToValidUTF8(r.Body, "?"))
	}
}

// recordEnd records calls without a reply, whose connection ended or whose caller
// timed out.
func (h *history) recordEnd(calls []*call, closed, unread bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range calls {
		if closed {
			c.ended = time.Now()
		}
		c.closed, c.unread = closed, unread
	}
}
