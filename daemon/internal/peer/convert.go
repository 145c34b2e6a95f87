// Package peer sends control messages between hosts over twirp.
package peer

import (
	"github.com/gypsumgap/gypsumgap/core/membership"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
)

var toState = map[membership.State]peerapi.MemberState{
	membership.Alive:   peerapi.MemberState_MEMBER_STATE_ALIVE,
	membership.Suspect: peerapi.MemberState_MEMBER_STATE_SUSPECT,
	membership.Leaving: peerapi.MemberState_MEMBER_STATE_LEAVING,
	membership.Dead:    peerapi.MemberState_MEMBER_STATE_DEAD,
}

var fromState = map[peerapi.MemberState]membership.State{
	peerapi.MemberState_MEMBER_STATE_ALIVE:   membership.Alive,
	peerapi.MemberState_MEMBER_STATE_SUSPECT: membership.Suspect,
	peerapi.MemberState_MEMBER_STATE_LEAVING: membership.Leaving,
	peerapi.MemberState_MEMBER_STATE_DEAD:    membership.Dead,
}

// ToMembers converts members to their protobuf form.
func ToMembers(in []membership.Member) []*peerapi.Member {
	out := make([]*peerapi.Member, len(in))
	for i, m := range in {
		out[i] = &peerapi.Member{
			Name: m.Name, PeerAddress: m.PeerAddress, ForwardAddress: m.ForwardAddress,
			Zone: m.Zone, Region: m.Region, State: toState[m.State], Incarnation: m.Incarnation,
		}
	}
	return out
}

// FromMembers converts members from their protobuf form. It drops members
// without a name and members in an unknown state, which a newer release may
// send.
func FromMembers(in []*peerapi.Member) []membership.Member {
	out := make([]membership.Member, 0, len(in))
	for _, m := range in {
		state, ok := fromState[m.GetState()]
		if !ok || m.GetName() == "" {
			continue
		}
		out = append(out, membership.Member{
			Name: m.GetName(), PeerAddress: m.GetPeerAddress(), ForwardAddress: m.GetForwardAddress(),
			Zone: m.GetZone(), Region: m.GetRegion(), State: state, Incarnation: m.GetIncarnation(),
		})
	}
	return out
}
