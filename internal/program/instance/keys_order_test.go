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

// fixedClock is a clock that stands.
type fixedClock time.Duration

func (c fixedClock) Now() time.Duration { return time.Duration(c) }

// Guards against a request that loaded a snapshot before a version with its key
// withdrawn came into force, and that then takes the proof of the new version as
// one of the old. After a pause the proof of the old version has lapsed, so that
// only this order of events lets the key through.
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
		"valid":                {granted, now.Now(), tamarackrun.Done},
		"withdrawn in between": {configuration.Key{Organisation: "tea", Withdrawn: true}, now.Now(), tamarackrun.Refused(tamarackrun.KeyWithdrawn)},
		"given to another":     {configuration.Key{Organisation: "tin"}, now.Now(), tamarackrun.Refused(tamarackrun.KeyWithdrawn)},
		"woken without proof":  {granted, now.Now() - 14*time.Second, tamarackrun.Refused(tamarackrun.CutOff)},
	} {
		in := &Instance{clock: now, history: &history.History{Logger: &log.Logger{Level: log.FatalLevel}, Scope: tally.NoopScope}}
		in.roster = roster.New(tamarackrun.Listing{Name: "entry-1"}, now)
		in.proofs = newProofs(in)
		in.proofs.add(c.proof)
		in.snapshot.Store(snapshot(2, c.present))
		loaded := snapshot(1, granted)
		r, _ := http.NewRequest(http.MethodGet, "/browse/a", nil)
		r.Header.Set("Tamarackrun-Key", "tea-key")
		_, got := in.authenticate(loaded, loaded.Routes[0], r)
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: (-want +got):\n%s", name, diff)
		}
	}
}
