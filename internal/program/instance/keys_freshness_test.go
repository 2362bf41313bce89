package instance

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"github.com/uber-go/tally/v4"

	"tamarackrun"
	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/history"
	"tamarackrun/internal/state/roster"
)

// fixedClock is a clock that always returns the same time.
type fixedClock time.Duration

func (c fixedClock) Now() time.Duration { return time.Duration(c) }

// A request loads a snapshot; then a version that withdraws its key is applied.
// The request must not take the proof of the new version as a proof of the old
// one. After a pause of the process, the proof of the old version has expired,
// so only this sequence lets the withdrawn key through.
func TestProofOfANewerVersionDoesNotCoverAnOlderSnapshot(t *testing.T) {
	const now = fixedClock(time.Hour)
	hash := document.HashKey("tea-key")
	snapshot := func(version int64, key configuration.Key) *configuration.Snapshot {
		return &configuration.Snapshot{Version: version, Keys: map[[32]byte]configuration.Key{hash: key},
			Routes: []configuration.Route{{Name: "browse", CutOffRule: configuration.RefuseWhenCutOff}}}
	}
	granted := configuration.Key{Organisation: "tea"}
	for name, c := range map[string]struct {
		present configuration.Key
		proof   time.Duration
		want    tamarackrun.Outcome
	}{
		"valid":                         {granted, now.Now(), tamarackrun.Done},
		"withdrawn in between":          {configuration.Key{Organisation: "tea", Withdrawn: true}, now.Now(), tamarackrun.Refused(tamarackrun.KeyWithdrawn)},
		"moved to another organisation": {configuration.Key{Organisation: "tin"}, now.Now(), tamarackrun.Refused(tamarackrun.KeyWithdrawn)},
		"proof expired":                 {granted, now.Now() - 14*time.Second, tamarackrun.Refused(tamarackrun.CutOff)},
	} {
		in := &Instance{clock: now, history: &history.History{Logger: &log.Logger{Level: log.FatalLevel}, Scope: tally.NoopScope}}
		in.roster = roster.New(tamarackrun.Listing{Name: "entry-1"}, now)
		in.freshness = newFreshnessTracker(in)
		in.freshness.addProof(c.proof)
		in.snapshot.Store(snapshot(2, c.present))
		loaded := snapshot(1, granted)
		r, _ := http.NewRequest(http.MethodGet, "/browse/a", nil)
		r.Header.Set("Tamarackrun-Key", "tea-key")
		_, got := in.authenticate(loaded, loaded.Routes[0], r)
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: outcome (-want +got):\n%s", name, diff)
		}
	}
}
