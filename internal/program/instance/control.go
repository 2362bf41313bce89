package instance

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"sort"
	"strconv"
	"strings"

	"tamarackrun"
	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/protocol/document"
	"tamarackrun/internal/protocol/drain"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/manifest"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/transport/operator"
)

// Authorised returns the team of an operator key. The bootstrap key is valid
// only until the document defines teams.
func (in *Instance) Authorised(key string) (team string, ok bool) {
	hash := document.HashKey(key)
	c := in.snapshot.Load()
	if c != nil {
		for name, t := range c.Teams {
			if t.OperatorKeyHash == hash {
				return name, true
			}
		}
	}
	if (c == nil || len(c.Teams) == 0) && in.Settings.BootstrapKeyHash == hex.EncodeToString(hash[:]) {
		return document.BootstrapTeam, true
	}
	return "", false
}

// Ready reports whether the instance serves callers.
func (in *Instance) Ready() bool { return in.snapshot.Load() != nil && !in.leaving.Load() }

// Apply merges a document with the one in force and stores the result. If
// another operator stores a version in between, the merge is repeated with the
// new version and the same base.
func (in *Instance) Apply(ctx context.Context, request operator.ApplyRequest) (operator.ApplyResult, error) {
	for {
		version, current, err := manifest.Read(ctx, in.configSync.cachedStore())
		if err != nil {
			return operator.ApplyResult{}, err
		}
		if request.Base == operator.InForce {
			request.Base = version
		}
		base := current
		if request.Base != version {
			if base, err = manifest.ReadVersion(ctx, in.configSync.cachedStore(), request.Base); err != nil {
				return operator.ApplyResult{}, err
			}
		}
		result, err := in.applyOver(ctx, request, base, version, current)
		if !errors.Is(err, tamarackrun.ErrConflict) || ctx.Err() != nil {
			return result, err
		}
	}
}

// applyOver merges with one version and returns tamarackrun.ErrConflict if that
// is no longer the latest one.
func (in *Instance) applyOver(ctx context.Context, request operator.ApplyRequest, base []byte, version int64, current []byte) (operator.ApplyResult, error) {
	team, refusal := mergeTeam(request, version, current)
	if refusal != nil {
		return operator.ApplyResult{Problems: []document.Problem{*refusal}}, nil
	}
	merged := document.Merge(base, current, request.Text, team, request.File)
	if len(merged.Problems) > 0 || len(merged.Conflicts) > 0 {
		return operator.ApplyResult{Problems: merged.Problems, Conflicts: merged.Conflicts}, nil
	}
	if version > 0 && bytes.Equal(merged.Text, current) {
		return operator.ApplyResult{Version: version}, nil
	}
	accepted, err := manifest.Write(ctx, in.configSync.cachedStore(), merged.Text, request.Team, version)
	if err != nil {
		return operator.ApplyResult{}, err
	}
	in.history.Record(event.ConfigurationApplied, "", "team", request.Team, "base", strconv.FormatInt(request.Base, 10),
		"version", strconv.FormatInt(accepted, 10))
	return operator.ApplyResult{Version: accepted, Changed: merged.Changed}, nil
}

// mergeTeam returns the team whose rights apply to a request, or the problem of a
// request with the bootstrap key that is no longer valid. The bootstrap key may
// apply the first document, and later ones while no team is defined. No other key
// can apply the first document, because documents define the keys of the teams.
func mergeTeam(request operator.ApplyRequest, version int64, current []byte) (string, *document.Problem) {
	if request.Team != document.BootstrapTeam {
		return request.Team, nil
	}
	if version > 0 {
		if snapshot, problems := document.Parse("", current); len(problems) > 0 || len(snapshot.Teams) > 0 {
			return "", &document.Problem{File: request.File, Line: 1,
				Message: "the bootstrap key may apply a document only until the document in force defines teams"}
		}
	}
	return document.AnyTeam, nil
}

// Document returns a version of the document. While the platform is
// unavailable, it returns the version that is in force at this instance.
func (in *Instance) Document(ctx context.Context, version int64) (found int64, text []byte, err error) {
	if version != operator.InForce {
		text, err = manifest.ReadVersion(ctx, in.configSync.cachedStore(), version)
		return version, text, err
	}
	found, text, err = manifest.Read(ctx, in.configSync.cachedStore())
	if inForce := in.configSync.encoded.Load(); err != nil && inForce != nil {
		m, decodeErr := manifest.Decode(inForce.manifest)
		if decodeErr != nil {
			return 0, nil, decodeErr
		}
		text, err = manifest.Join(m, func(hash string) ([]byte, error) { return inForce.chunks[hash], nil })
		return inForce.version, text, err
	}
	return found, text, err
}

// drainRecord is the content of the object drain/NAME.
type drainRecord struct {
	Leaving bool   `json:"leaving"`
	Team    string `json:"team"`
}

// Drain writes the object drain/NAME. A write whose answer was lost is
// repeated, which is safe because the content is the same.
func (in *Instance) Drain(ctx context.Context, team, name string, undo bool) error {
	if !in.drainable(name) {
		return &operator.TargetError{Name: name, Allowed: "the name of a backend server, instance, failure domain or region, also as " +
			"server/NAME, instance/NAME, domain/NAME or region/NAME"}
	}
	value, err := json.Marshal(drainRecord{!undo, team})
	if err != nil {
		return err
	}
	for {
		object, err := in.store.Get(ctx, drain.Prefix+name)
		if err != nil && !errors.Is(err, tamarackrun.ErrNotFound) {
			return err
		}
		var current drainRecord
		if json.Unmarshal(object.Value, &current) == nil && current.Leaving == !undo && object.Version > 0 || object.Version == 0 && undo {
			return nil
		}
		if _, err = in.store.Put(ctx, drain.Prefix+name, value, object.Version); err == nil {
			in.history.Record(event.DrainRequested, "", "name", name, "undo", strconv.FormatBool(undo), "team", team)
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		waiting.Pause(ctx, storeRetryDelay)
	}
}

// drainable reports whether a server, failure domain, region or instance of
// that name, or of that KIND/NAME, exists.
func (in *Instance) drainable(name string) bool {
	kind, rest, ok := strings.Cut(name, "/")
	if ok {
		name = rest
	} else {
		kind = ""
	}
	c := in.snapshot.Load()
	if c == nil {
		return false
	}
	_, server := c.Servers[name]
	_, domain := c.Domains[name]
	_, region := c.Regions[name]
	_, member := in.roster.Member(name)
	known := map[string]bool{"server": server, "domain": domain, "region": region, "instance": member}
	return known[kind] || kind == "" && (server || domain || region || member)
}

// DeclareLost tells only this instance that a region is lost, so that it does
// not take the region's silence for a partition.
func (in *Instance) DeclareLost(region string, undo bool) error {
	c := in.snapshot.Load()
	if c == nil {
		return &operator.TargetError{Name: region, Allowed: "nothing before a configuration is in force"}
	}
	if _, ok := c.Regions[region]; !ok || region == c.RegionOf(in.Settings.FailureDomain) {
		return &operator.TargetError{Name: region, Allowed: "the name of another region than the instance's own"}
	}
	for _, m := range in.roster.Members() {
		if !undo && m.Reachable && c.RegionOf(m.Listing.FailureDomain) == region {
			return &operator.TargetError{Name: region, Allowed: "a region of which no instance can be reached; " + m.Listing.Name + " answers"}
		}
	}
	in.freshness.setRegionLost(region, !undo)
	return nil
}

// Explain collects the events of a request from all instances. It also returns
// the names of the instances that did not answer.
func (in *Instance) Explain(ctx context.Context, request string) (events []*wire.EventRecord, silent []string) {
	events = in.history.Events(request)
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

// Status reports the fleet as this instance sees it.
func (in *Instance) Status(context.Context) operator.Status {
	report := operator.Status{Instance: in.Settings.Name, ConfigurationVersion: in.version(),
		Freshness: in.freshness.evaluate().String(), ProofAge: ageText(in.freshness.proofAge()), LostRegions: in.freshness.lostRegions(),
		UnreadableVersion: in.configSync.unreadableVersion()}
	for _, m := range in.roster.Members() {
		report.Members = append(report.Members, operator.Member{
			Name: m.Listing.Name, FailureDomain: m.Listing.FailureDomain, Reachable: m.Reachable, Serving: m.Serving(),
			CutOff: m.State.GetCutOff(), Incarnation: m.State.GetIncarnation(),
			ConfigurationVersion: m.State.GetConfigurationVersion(), Servers: m.State.GetServers()})
	}
	return report
}
