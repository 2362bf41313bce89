package pipeline

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// isOpen reports whether the server answers a request on the connection.
func (c *client) isOpen(t *testing.T, g *gatedHandler) bool {
	t.Helper()
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(c, get("/probe")); err != nil {
		return false
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return false
	}
	<-g.arrived
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.Body.Close() == nil
}

// Guards against a process that callers' idle connections leave without file descriptors, so that it takes no new
// connections and reaches no server: in a storm of repeats, each on a new connection, callers leave thousands of them open.
// Connections with a request stay, and a caller that finds no room learns it at once.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	s, g := newServer(t)
	var evicted atomic.Int64
	s.MaxConnections, s.OnEvict = 4, func(n int) { evicted.Add(int64(n)) }
	go func() { _ = s.Run() }()
	first := dial(t, s)
	g.release("/probe")
	busy := dial(t, s)
	busy.send(t, get("/busy"))
	<-g.arrived
	connections := []*client{first}
	for range 6 {
		connections = append(connections, dial(t, s))
		if !connections[len(connections)-1].isOpen(t, g) {
			t.Fatalf("connection %d is not served", len(connections))
		}
	}
	g.release("/busy")
	if got, _ := busy.readAnswer(t); got != "/busy" {
		t.Errorf("the request on a busy connection got %q", got)
	}
	// Evicted connections end in the background.
	limit := time.Now().Add(testTimeout)
	for s.ConnectionCount() > s.MaxConnections && time.Now().Before(limit) {
		time.Sleep(time.Millisecond)
	}
	if n := s.ConnectionCount(); n > s.MaxConnections || evicted.Load() == 0 {
		t.Errorf("%d connections are open and %d were evicted, want at most %d open", n, evicted.Load(), s.MaxConnections)
	}
	if first.isOpen(t, g) {
		t.Error("the connection that was idle the longest is open")
	}
	if !connections[6].isOpen(t, g) {
		t.Error("the latest connection is closed")
	}
}

// Guards against connections that wait unread when all others have requests: their callers would wait instead of
// trying another instance.
func TestConnectionWithoutRoomIsClosedAtOnce(t *testing.T) {
	s, g := newServer(t)
	s.MaxConnections = 2
	go func() { _ = s.Run() }()
	first, second := dial(t, s), dial(t, s)
	for _, c := range []*client{first, second} {
		c.send(t, get("/busy"))
		<-g.arrived
	}
	third := dial(t, s)
	if _, err := third.reader.ReadByte(); err == nil {
		t.Error("the connection is served")
	}
	g.release("/busy")
	for _, c := range []*client{first, second} {
		if got, _ := c.readAnswer(t); got != "/busy" {
			t.Errorf("answer %q", got)
		}
	}
}
