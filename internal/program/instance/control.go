package instance

import (
	"context"
	"encoding/hex"
	"errors"
	"sort"

	"tamarackrun"
	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/protocol/manifest"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/transport/operator"
)

// bootstrapTeam may apply any section before the document defines teams.
const bootstrapTeam = "bootstrap"

// Authorised returns the team of an operator key.
func (in *Instance) Authorised(key string) (team string, ok bool) {
	hash := document.HashKey(key)
	if c := in.snapshot.Load(); c != nil {
		for name, t := range c.Teams {
			if t.OperatorKeyHash == hash {
				return name, true
			}
		}
	}
	if in.Settings.BootstrapKeyHash == hex.EncodeToString(hash[:]) {
		return bootstrapTeam, true
	}
	return "", false
}

// Ready says whether the instance serves callers.
func (in *Instance) Ready() bool { return in.snapshot.Load() != nil && !in.leaving.Load() }

// Apply checks a document and makes it the version after base.
func (in *Instance) Apply(ctx context.Context, team string, base int64, text []byte) (operator.ApplyResult, error) {
	if _, problems := document.Parse("document", text); len(problems) > 0 {
		return operator.ApplyResult{Problems: problems}, nil
	}
	version, err := manifest.Write(ctx, in.store, text, team, base)
	return operator.ApplyResult{Version: version}, err
}

// Document returns the document in the platform.
func (in *Instance) Document(ctx context.Context) (version int64, text []byte, err error) {
	object, err := in.store.Get(ctx, manifest.ObjectName)
	if errors.Is(err, tamarackrun.ErrNotFound) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	m, err := manifest.Decode(object.Value)
	if err != nil {
		return 0, nil, err
	}
	text, err = manifest.Join(m, func(hash string) ([]byte, error) {
		chunk, err := in.store.Get(ctx, manifest.ChunkName(hash))
		return chunk.Value, err
	})
	return object.Version, text, err
}

// Explain collects the events of a request from all instances.
func (in *Instance) Explain(ctx context.Context, request string) (events []*wire.EventRecord, silent []string) {
	events = in.history.Of(request)
	for _, m := range in.roster.Members() {
		if m.Listing.Name == in.Settings.Name {
			continue
		}
		reply, err := in.mesh.Call(ctx, m.Listing.PeerAddress, &wire.Envelope{Kind: &wire.Envelope_Explain{
			Explain: &wire.Explain{Request: request}}})
		if err != nil || reply.GetReport() == nil {
			silent = append(silent, m.Listing.Name)
			continue
		}
		events = append(events, reply.GetReport().Events...)
	}
	sort.SliceStable(events, func(i, j int) bool { return events[i].WallMillis < events[j].WallMillis })
	return events, silent
}

// statusReport is what `tamarackrun status` shows.
type statusReport struct {
	Instance             string         `json:"instance"`
	ConfigurationVersion int64          `json:"configurationVersion"`
	Members              []memberReport `json:"members"`
}

type memberReport struct {
	Name                 string             `json:"name"`
	Reachable            bool               `json:"reachable"`
	Serving              bool               `json:"serving"`
	Incarnation          string             `json:"incarnation,omitempty"`
	ConfigurationVersion uint64             `json:"configurationVersion"`
	Servers              []*wire.ServerLoad `json:"servers,omitempty"`
}

// Status reports the fleet as this instance sees it.
func (in *Instance) Status(context.Context) any {
	report := statusReport{Instance: in.Settings.Name}
	if c := in.snapshot.Load(); c != nil {
		report.ConfigurationVersion = c.Version
	}
	for _, m := range in.roster.Members() {
		report.Members = append(report.Members, memberReport{m.Listing.Name, m.Reachable, m.Serving(),
			m.State.GetIncarnation(), m.State.GetConfigurationVersion(), m.State.GetServers()})
	}
	return report
}
