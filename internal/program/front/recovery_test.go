package front

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"tamarackrun"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/history"
	"tamarackrun/internal/state/sla"
	"tamarackrun/internal/transport/pipeline"
)

// panickingCodec panics when it decodes a request.
type panickingCodec struct{ tamarackrun.HeaderCodec }

func (panickingCodec) DecodeRequest(http.Header) tamarackrun.CallerFields { panic("unexpected header") }

func (panickingCodec) EncodeOutcome(outcome tamarackrun.Outcome, _ time.Duration) (int, http.Header) {
	return http.StatusBadGateway, http.Header{"Outcome": {outcome.String()}}
}

// Guards against one malformed request or message that ends the process and with it all
// running requests, and against the outcome "not run" for a request that may have run.
func TestPanicEndsOnlyOneRequest(t *testing.T) {
	f := New(sla.Terms{}.WithDefaults())
	f.history = &history.History{Logger: &log.Logger{Writer: log.IOWriter{Writer: io.Discard}}, Scope: tally.NoopScope}
	f.HeaderCodec = panickingCodec{}
	answer := f.Serve(t.Context(), pipeline.Call{Request: &http.Request{Header: http.Header{}}})
	if diff := cmp.Diff([]any{http.StatusBadGateway, "unknown: internalError"}, []any{answer.Status, answer.Header.Get("Outcome")}); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	// No part that handles messages is open yet, so each message panics.
	f.receive(&wire.InstanceMessage{Content: &wire.InstanceMessage_TokenGrant{}}, netip.AddrPort{})
	ctx, cancel := context.WithCancel(t.Context())
	rounds := 0
	f.keepRunning(ctx, "test", func(context.Context) {
		rounds++
		if rounds == 2 {
			cancel()
		}
		panic("unexpected record")
	})
	if rounds != 2 {
		t.Errorf("the task ran %d times, want 2", rounds)
	}
}
