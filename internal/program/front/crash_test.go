package front

import (
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"tamarackrun"
	"tamarackrun/internal/state/history"
	"tamarackrun/internal/state/registry"
	"tamarackrun/internal/state/sla"
	"tamarackrun/internal/transport/exchange"
)

// Guards against the end of a server that is not noticed because a connection was reset shortly before, while the server
// was still there: the check of that loss shows nothing about a later one.
func TestEarlierCheckDoesNotHideEnd(t *testing.T) {
	f := New(sla.Terms{}.WithDefaults())
	f.history = &history.History{Logger: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, Scope: tally.NoopScope}
	client, closeClient := exchange.New()
	defer closeClient()
	f.backendClient = client
	backend := httptest.NewServer(nil)
	server := &registry.Server{Name: "s", ServerRecord: tamarackrun.ServerRecord{Address: backend.Listener.Addr().String()}}
	f.checkEnd(loss{time.Now(), "a", 1, server})
	if !f.crashes.Empty() {
		t.Error("a server that takes connections counts as ended")
	}
	backend.Close()
	f.checkEnd(loss{time.Now(), "b", 2, server})
	if f.crashes.Empty() {
		t.Error("the end of the server is not noticed")
	}
}
