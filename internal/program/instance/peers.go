package instance

import (
	"context"
	"time"

	"tamarackrun"
	"tamarackrun/internal/coordination/home"
	"tamarackrun/internal/coordination/waiting"
	"tamarackrun/internal/protocol/event"
	"tamarackrun/internal/protocol/wire"
	"tamarackrun/internal/state/roster"
)

const (
	// heartbeatInterval is the time between two heartbeats to a member, and
	// heartbeatTimeout bounds the wait for the reply to one.
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second
	// rosterPollInterval is the time between two reads of the platform's list of
	// instances.
	rosterPollInterval = time.Second
)

// ServePeer serves one exchange that a peer opened.
func (in *Instance) ServePeer(ctx context.Context, first *wire.Envelope, stream tamarackrun.Stream) {
	switch kind := first.Kind.(type) {
	case *wire.Envelope_Heartbeat:
		in.roster.AddFromHeartbeat(kind.Heartbeat.State)
		_ = stream.Send(&wire.Envelope{Kind: &wire.Envelope_HeartbeatReply{
			HeartbeatReply: &wire.HeartbeatReply{State: in.peerState()}}})
	case *wire.Envelope_Dispatch:
		in.serveDispatch(ctx, kind.Dispatch, stream)
	case *wire.Envelope_Borrow:
		_ = stream.Send(&wire.Envelope{Kind: &wire.Envelope_Loan{Loan: in.rateLimiter.lend(kind.Borrow)}})
	case *wire.Envelope_Fetch:
		_ = stream.Send(in.configSync.serveFetch(kind.Fetch.Hash))
	case *wire.Envelope_Explain:
		_ = stream.Send(&wire.Envelope{Kind: &wire.Envelope_Report{
			Report: &wire.Report{Events: in.history.Events(kind.Explain.Request)}}})
	default:
		in.ticketed.servePeer(ctx, first, stream)
	}
}

// pollRoster reads the platform's list of instances at intervals.
func (in *Instance) pollRoster(ctx context.Context) {
	for ctx.Err() == nil {
		if list, err := in.store.Instances(ctx); err == nil {
			in.roster.Update(list)
			in.homeServers.setPlatformList(list)
			in.homeServers.wake()
		}
		waiting.Pause(ctx, rosterPollInterval)
	}
}

// sendHeartbeats sends this instance's state to every other member and gets the
// member's state in return.
func (in *Instance) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		in.publishState()
		for _, m := range in.roster.Members() {
			if m.Listing.Name != in.Settings.Name {
				go in.heartbeat(ctx, m)
			}
		}
		waiting.Pause(ctx, heartbeatInterval)
	}
}

// heartbeat sends one heartbeat to a member and applies the reply.
func (in *Instance) heartbeat(ctx context.Context, m roster.Member) {
	limited, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sent := in.clock.Now()
	reply, err := in.mesh.Probe(limited, m.Listing.PeerAddress, &wire.Envelope{Kind: &wire.Envelope_Heartbeat{
		Heartbeat: &wire.Heartbeat{State: in.peerState()}}})
	if state := reply.GetHeartbeatReply().GetState(); err == nil && state.GetName() == m.Listing.Name {
		becameReachable := in.roster.RecordHeartbeat(m.Listing.Name, state, sent)
		if becameReachable || home.AffectsTable(m.State, state) {
			in.homeServers.wake()
		}
		if becameReachable {
			in.history.Record(event.PeerReachable, "", "peer", m.Listing.Name, "incarnation", state.Incarnation)
		}
		in.freshness.addPeerProof(state, sent)
		in.configSync.fetchFromPeer(ctx, m.Listing.PeerAddress, int64(state.ConfigurationVersion))
		return
	}
	if m.Reachable && in.clock.Now()-m.LastHeartbeat > roster.UnreachableAfter {
		in.history.Record(event.PeerUnreachable, "", "peer", m.Listing.Name)
	}
}
