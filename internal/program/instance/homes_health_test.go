package instance

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"tamarackrun/internal/coordination/home"
	"tamarackrun/internal/protocol/settings"
	"tamarackrun/internal/state/boottime"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/history"
	"tamarackrun/internal/state/metrics"
)

// A server writes the answer to a health check again when the next check is under way on the same connection.
// The copy must not hide that the server is leaving, or has restarted, since.
func TestCopiedHealthAnswerIsIgnored(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	var state atomic.Value
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				earlier := ""
				for reader := bufio.NewReader(conn); ; {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					body := fmt.Sprintf(`{"state":%q}`, state.Load())
					text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
					_, _ = io.WriteString(conn, earlier+text)
					earlier = text
				}
			}()
		}
	}()
	meter, closeMeter := metrics.New("self")
	defer closeMeter()
	in := &Instance{Settings: settings.Settings{Name: "self"}, clock: boottime.Clock{}}
	in.history = &history.History{Instance: "self", Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, Scope: meter.Scope}
	h := newHomeServers(in)
	s := newHomeServer(configuration.Server{Name: "server", Address: listener.Addr().String(), Slots: 1}, home.Ownership{}, in.clock)
	states := []string{"ready", "draining", "ready", "draining"}
	var leaving []bool
	for _, text := range states {
		state.Store(text)
		h.pollServer(t.Context(), "server", s)
		leaving = append(leaving, s.isLeaving(in.clock.Now()))
	}
	if diff := cmp.Diff([]bool{false, true, false, true}, leaving); diff != "" {
		t.Errorf("leaving after %v (-want +got):\n%s", states, diff)
	}
}
