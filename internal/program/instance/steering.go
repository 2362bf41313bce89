package instance

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/home"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/frame"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/configuration"
	"tamarackrun/internal/state/roster"
)

// hintLimit is the age above which a load report is ignored.
const hintLimit = 3 * time.Second

// Steer runs one request of a caller.
func (in *Instance) Steer(r *http.Request, id string, body []byte, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	guard := in.guardKey(r, answer)
	outcome := guard.finish(id, in.steer(r.WithContext(guard.ctx), id, body, guard))
	in.history.CountOutcome("entry", outcome)
	switch outcome.Kind {
	case tamarackrun.Ran:
		in.history.Record(event.RequestFinished, id)
	case tamarackrun.NotRun:
		in.history.Record(event.RequestRefused, id, "reason", string(outcome.Reason))
	default:
		in.history.Record(event.RequestUncertain, id, "reason", string(outcome.Reason))
	}
	return outcome
}

func (in *Instance) steer(r *http.Request, id string, body []byte, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	c := in.snapshot.Load()
	if c == nil {
		return withoutLedger(r, tamarackrun.NotReady)
	}
	route, found, known := c.RouteOf(r.Method, r.URL.Path)
	if !found {
		if known {
			return tamarackrun.Refused(tamarackrun.MethodForbidden)
		}
		return tamarackrun.Refused(tamarackrun.RouteUnknown)
	}
	organisation, outcome := in.authenticate(c, route, r)
	if outcome != tamarackrun.Done {
		return outcome
	}
	if keyInBody(r, body) {
		return tamarackrun.Refused(tamarackrun.KeyInBody)
	}
	request := tamarackrun.Request{
		ID: id, Organisation: organisation, Route: route.Name, Service: route.Service,
		OriginRegion: c.RegionOf(in.Settings.FailureDomain), Method: r.Method, Target: r.URL.RequestURI(),
		Header: forwardedHeader(r.Header, route), Body: body, Idempotent: route.Idempotent,
		Deadline: in.clock.Now() + in.timeout(r, route),
	}
	if !route.Idempotent {
		return in.orders.accept(r, request, answer)
	}
	if organisation != "" {
		if outcome := in.rates.admit(r.Context(), organisation, request.Deadline); outcome != tamarackrun.Done {
			return outcome
		}
	}
	in.history.Record(event.RequestAccepted, id, "organisation", organisation, "route", route.Name)
	return in.attempt(r.Context(), c, route, request, answer)
}

// timeout is the route's, or the caller's if that is shorter.
func (in *Instance) timeout(r *http.Request, route configuration.Route) time.Duration {
	millis, err := strconv.Atoi(r.Header.Get("Tamarackrun-Timeout-Ms"))
	if err != nil || millis < 0 {
		return route.Timeout
	}
	return min(route.Timeout, time.Duration(millis)*time.Millisecond)
}

// attempt dispatches a request until it ran or no further attempt is allowed.
func (in *Instance) attempt(ctx context.Context, c *configuration.Snapshot, route configuration.Route, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	tried := map[string]bool{}
	outcome := tamarackrun.Refused(tamarackrun.NoHealthyServer)
	guarded := &firstAnswer{AnswerWriter: answer}
	for n := 1; n <= route.Attempts; n++ {
		server, homeName, ok := in.chooseServer(c, request, tried)
		if !ok {
			return outcome
		}
		tried[server] = true
		if n > 1 {
			in.history.Record(event.RequestRetried, request.ID, "reason", string(outcome.Reason), "server", server)
			in.history.CountOutcome("retry", outcome)
		}
		request.Server, request.Attempt = server, fmt.Sprintf("%s.%d", request.ID, n)
		outcome = in.dispatchTo(ctx, homeName, request, guarded)
		retriable := outcome.Kind == tamarackrun.NotRun || outcome.Kind == tamarackrun.Unknown && request.Idempotent
		if !retriable || guarded.began || ctx.Err() != nil || in.clock.Now() >= request.Deadline {
			return outcome
		}
	}
	return outcome
}

// firstAnswer notes whether an answer began, after which no retry is possible.
type firstAnswer struct {
	tamarackrun.AnswerWriter
	began bool
}

func (f *firstAnswer) Head(status int, header http.Header) error {
	f.began = true
	return f.AnswerWriter.Head(status, header)
}

// dispatchTo sends a request to the home of its server.
func (in *Instance) dispatchTo(ctx context.Context, homeName string, request tamarackrun.Request, answer tamarackrun.AnswerWriter) tamarackrun.Outcome {
	if !request.Idempotent {
		return in.orders.dispatchOrder(ctx, homeName, request, answer)
	}
	if homeName == in.Settings.Name {
		return in.homes.Dispatch(ctx, request, answer)
	}
	member, ok := in.roster.Member(homeName)
	if !ok || !member.Reachable {
		return tamarackrun.Refused(tamarackrun.HomeUnreachable)
	}
	ctx, cancel := context.WithTimeout(ctx, request.Deadline-in.clock.Now())
	defer cancel()
	stream, err := in.mesh.Open(ctx, member.Listing.PeerAddress)
	if err != nil {
		return tamarackrun.Refused(tamarackrun.HomeUnreachable)
	}
	defer func() { _ = stream.Close() }()
	message := &wire.Envelope{Kind: &wire.Envelope_Dispatch{Dispatch: frame.FromRequest(request, in.clock.Now())}}
	if stream.Send(message) != nil {
		return tamarackrun.Uncertain(tamarackrun.HomeLost)
	}
	outcome, _ := frame.ReceiveAnswer(stream, answer)
	return outcome
}

// candidate is a server that could run a request.
type candidate struct {
	server, home string
	near         int
	busy         float64
}

// chooseServer returns the better of two random candidates among the nearest
// that have room.
func (in *Instance) chooseServer(c *configuration.Snapshot, request tamarackrun.Request, tried map[string]bool) (server, homeName string, ok bool) {
	members := in.roster.Members()
	var candidates []candidate
	for _, v := range c.ServersOf(request.Service) {
		if !tried[v.Name] {
			if found, usable := in.candidate(c, v, members); usable {
				candidates = append(candidates, found)
			}
		}
	}
	if len(candidates) == 0 {
		return "", "", false
	}
	sort.SliceStable(candidates, func(i, j int) bool { return candidates[i].near < candidates[j].near })
	n := 1
	for n < len(candidates) && candidates[n].near == candidates[0].near {
		n++
	}
	first, second := candidates[rand.IntN(n)], candidates[rand.IntN(n)]
	if second.busy < first.busy {
		first = second
	}
	return first.server, first.home, true
}

// candidate ranks a server: first those of the own region with room, then
// others with room, then the full ones in the same order.
func (in *Instance) candidate(c *configuration.Snapshot, v configuration.Server, members []roster.Member) (candidate, bool) {
	owner := home.Of(c, v, members)
	if owner == "" {
		return candidate{}, false
	}
	found := candidate{server: v.Name, home: owner}
	if c.RegionOf(v.Domain) != c.RegionOf(in.Settings.FailureDomain) {
		found.near = 1
	}
	load, age, ok := in.roster.Load(owner, v.Name)
	if !ok || age > hintLimit {
		return found, true
	}
	if load.Leaving || load.Ejected {
		return candidate{}, false
	}
	found.busy = float64(load.InFlight+load.Queued) / float64(max(1, load.Slots))
	if found.busy >= 1 {
		found.near += 2
	}
	return found, true
}
