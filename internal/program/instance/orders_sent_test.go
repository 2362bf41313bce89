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

// Guards against an order whose second attempt is lost at the own home and that
// is then called notRun, because the home of the first attempt, which refused
// it, is asked instead.
func TestLocalAttemptForgetsSentOne(t *testing.T) {
	meter, closeMeter := metrics.New("self")
	defer closeMeter()
	in := &Instance{Settings: settings.Settings{Name: "self"}, clock: boottime.Clock{}, incarnation: "self-1"}
	in.history = &history.History{Instance: "self", Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, Scope: meter.Scope}
	in.homes = newHomes(in)
	o := newOrders(in)
	o.sent["order"] = sentAttempt{id: "order.1@peer-1", home: "peer", incarnation: "peer-1"}
	outcome := o.dispatchOrder(t.Context(), "self", tamarackrun.Request{ID: "order", Attempt: "order.2"}, nil)
	if diff := cmp.Diff(tamarackrun.Refused(tamarackrun.NotReady), outcome); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	if sent, ok := o.sent["order"]; ok {
		t.Errorf("attempt %s answers for the order", sent.id)
	}
}
