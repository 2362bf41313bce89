package instance

import (
	"io"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"tamarackrun"
	"tamarackrun/internal/protocol/settings"
	"tamarackrun/internal/state/boottime"
	"tamarackrun/internal/state/history"
	"tamarackrun/internal/state/metrics"
)

// The second attempt of a request runs at this instance itself and is lost. The
// outcome must not come from the home of the first attempt, which refused it
// and would answer notRun.
func TestLocalAttemptReplacesSentOne(t *testing.T) {
	meter, closeMeter := metrics.New("self")
	defer closeMeter()
	in := &Instance{Settings: settings.Settings{Name: "self"}, clock: boottime.Clock{}, incarnation: "self-1"}
	in.history = &history.History{Instance: "self", Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, Scope: meter.Scope}
	in.homeServers = newHomeServers(in)
	tr := newTicketedRequests(in)
	tr.latest["order"] = sentAttempt{id: "order.1@peer-1", home: "peer", incarnation: "peer-1"}
	outcome := tr.dispatch(t.Context(), "self", tamarackrun.Request{ID: "order", Attempt: "order.2"}, nil)
	if diff := cmp.Diff(tamarackrun.Refused(tamarackrun.NotReady), outcome); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	if sent, ok := tr.latest["order"]; ok {
		t.Errorf("attempt %s answers for the order", sent.id)
	}
}
