package control

import (
	"context"
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/gypsumgap/gypsumgap/core/confsync"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/membership"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/daemon/internal/peer"
)

// PeerServer serves the requests of other hosts and of operators.
type PeerServer struct {
	c *Controller
}

var (
	_ peerapi.Peer     = PeerServer{}
	_ peerapi.Operator = PeerServer{}
)

// Server returns the controller's service for other hosts and operators.
func (c *Controller) Server() PeerServer { return PeerServer{c} }

// Probe implements peerapi.Peer.
func (s PeerServer) Probe(ctx context.Context, r *peerapi.ProbeRequest) (*peerapi.ProbeResponse, error) {
	s.c.post(configEvent{confsync.PeerVersion{Peer: r.GetFrom(), Version: r.GetConfigVersion()}})
	reply := make(chan membership.Message, 1)
	s.c.post(probeReceived{
		message: membership.Message{
			From: r.GetFrom(), Updates: peer.FromMembers(r.GetUpdates()), Digest: r.GetMembersDigest(), RequestAll: r.GetAllMembers(),
		},
		reply: reply,
	})
	select {
	case m := <-reply:
		return &peerapi.ProbeResponse{
			Updates:       peer.ToMembers(m.Updates),
			ConfigVersion: s.c.configVersion.Load(),
			MembersDigest: m.Digest,
		}, nil
	case <-ctx.Done():
		return nil, twirp.InternalErrorWith(context.Cause(ctx))
	}
}

// IndirectProbe implements peerapi.Peer.
func (s PeerServer) IndirectProbe(ctx context.Context, r *peerapi.IndirectProbeRequest) (*peerapi.IndirectProbeResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.c.opts.Members.ProbeTimeout)
	defer cancel()
	_, err := s.c.peerClient.Probe(ctx, r.GetTarget(), &peerapi.ProbeRequest{
		From:    s.c.opts.Self.Name,
		Updates: peer.ToMembers([]membership.Member{s.c.board.View().Self}),
	})
	return &peerapi.IndirectProbeResponse{Reached: err == nil}, nil
}

// Observe implements peerapi.Peer.
func (s PeerServer) Observe(ctx context.Context, r *peerapi.ObserveRequest) (*peerapi.ObserveResponse, error) {
	g, ok := s.c.board.View().Groups[r.GetDatabase()]
	if !ok {
		return &peerapi.ObserveResponse{}, nil
	}
	seen := g.Driver.ProbePrimary(ctx)
	st := g.Driver.State()
	resp := &peerapi.ObserveResponse{Watching: seen.OK, PrimaryReachable: seen.Reachable, Term: uint64(seen.Term)}
	if st.Primary >= 0 {
		resp.PrimarySlot = string(g.Ref.Database.Slots[st.Primary].ID)
		resp.LastAnswerMs = uint64(time.Since(st.LastAnswer).Milliseconds())
	}
	return resp, nil
}

func groupTerm(r *peerapi.ObserveResponse) group.Term { return group.Term(r.GetTerm()) }

// Samples implements peerapi.Peer. It always fails, because only hosts that serve
// single statements have samples.
func (PeerServer) Samples(context.Context, *peerapi.SamplesRequest) (*peerapi.SamplesResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "owners of a database pass no samples on")
}

// Execute implements peerapi.Peer. It always fails, because these owners take
// statements on connections of their own protocol.
func (PeerServer) Execute(context.Context, *peerapi.ExecuteRequest) (*peerapi.ExecuteResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "owners of a database take no single statements")
}

// Follow implements peerapi.Peer. It always fails, because these hosts pass the
// configuration on by FetchConfig.
func (PeerServer) Follow(context.Context, *peerapi.FollowRequest) (*peerapi.FollowResponse, error) {
	return nil, twirp.NewError(twirp.Unimplemented, "owners of a database do not pass on the store's changes")
}

// WriteLease implements peerapi.Peer. It always fails, because the primaries of
// owned databases are fenced by their terms.
func (PeerServer) WriteLease(context.Context, *peerapi.WriteLeaseRequest) (*peerapi.WriteLeaseResponse, error) {
	return nil, errNoWriteLeases
}

// Suspend implements peerapi.Peer. It always fails: the owners of a database fence its
// servers.
func (PeerServer) Suspend(context.Context, *peerapi.SuspendRequest) (*peerapi.SuspendResponse, error) {
	return nil, errNoWriteLeases
}

// Revoke implements peerapi.Peer. It always fails, as WriteLease does.
func (PeerServer) Revoke(context.Context, *peerapi.RevokeRequest) (*peerapi.RevokeResponse, error) {
	return nil, errNoWriteLeases
}

var errNoWriteLeases = twirp.NewError(twirp.Unimplemented, "owners of a database need no write leases")

// Status implements peerapi.Operator.
func (s PeerServer) Status(_ context.Context, r *peerapi.StatusRequest) (*peerapi.StatusResponse, error) {
	v := s.c.board.View()
	state := "ready"
	switch {
	case v.Draining:
		state = "draining"
	case !v.ConfigReady:
		state = "no confirmed configuration"
	case v.Self.Joining():
		state = "platform not reached since the start"
	}
	resp := &peerapi.StatusResponse{
		Host:          v.Self.Name,
		Zone:          v.Self.Zone,
		State:         state,
		ConfigVersion: v.Config.Version(),
		Members:       peer.ToMembers(v.Members),
	}
	for _, g := range v.Groups {
		if r.GetService() == "" || r.GetService() == g.Ref.Service.Name {
			resp.Databases = append(resp.Databases, databaseStatus(g))
		}
	}
	return resp, nil
}

// FetchConfig implements peerapi.Peer.
func (s PeerServer) FetchConfig(_ context.Context, r *peerapi.FetchConfigRequest) (*peerapi.FetchConfigResponse, error) {
	return s.c.published.Load().Respond(r), nil
}

// Switchover implements peerapi.Operator.
func (s PeerServer) Switchover(ctx context.Context, r *peerapi.SwitchoverRequest) (*peerapi.SwitchoverResponse, error) {
	g, ok := s.c.board.View().Groups[r.GetDatabase()]
	if !ok {
		return nil, twirp.FailedPrecondition.Errorf("host %s does not own database %q", s.c.opts.Self.Name, r.GetDatabase())
	}
	f, err := g.Driver.Switchover(ctx, group.SlotID(r.GetToSlot()))
	if err != nil {
		return nil, twirp.FailedPrecondition.Errorf("switchover of %s: %w", r.GetDatabase(), err)
	}
	return &peerapi.SwitchoverResponse{
		Term:        uint64(f.Term),
		PrimarySlot: string(f.Slot),
		PausedMs:    uint64(f.Paused.Milliseconds()),
	}, nil
}

// Drain implements peerapi.Operator. It starts the drain and returns without
// waiting for its end.
func (s PeerServer) Drain(_ context.Context, r *peerapi.DrainRequest) (*peerapi.DrainResponse, error) {
	if s.c.opts.Drain == nil {
		return nil, twirp.InternalErrorWith(errors.New("host can't be drained by an operator"))
	}
	running := s.c.countConnections()
	s.c.opts.Drain(time.Duration(r.GetTimeoutSeconds()) * time.Second)
	return &peerapi.DrainResponse{Running: uint32(running)}, nil
}

// countConnections counts the connections that are in use or kept for reuse.
func (c *Controller) countConnections() int {
	n := 0
	for _, g := range c.board.View().Groups {
		n += g.Router.MaxOpenConnections()
	}
	return n
}
