package control

import (
	"time"

	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/replication"
	"github.com/gypsumgap/gypsumgap/daemon/internal/board"
)

func databaseStatus(g *board.Group) *peerapi.DatabaseStatus {
	view := g.Tracker.View()
	last := g.Driver.State().Last
	out := &peerapi.DatabaseStatus{
		Database:         g.Ref.Database.Name,
		Service:          g.Ref.Service.Name,
		Term:             uint64(view.Term),
		ConnectionsUsed:  uint32(g.Router.MaxOpenConnections()),
		ConnectionsLimit: uint32(g.Share()),
		LastAction:       string(last.Action),
		LastReason:       last.Reason,
		OwnerRank:        uint32(g.Rank),
	}
	if !last.At.IsZero() {
		out.LastActionUnixMs = uint64(last.At.UnixMilli())
	}
	if view.Primary >= 0 {
		out.PrimarySlot = string(view.Slots[view.Primary].Slot.ID)
	}
	now := time.Now()
	for i, s := range view.Slots {
		out.Slots = append(out.Slots, slotStatus(s, i == view.Primary, now))
	}
	return out
}

func slotStatus(s replication.SlotView, primary bool, now time.Time) *peerapi.SlotStatus {
	out := &peerapi.SlotStatus{
		Slot:           string(s.Slot.ID),
		Zone:           s.Slot.Zone,
		Role:           string(s.Status.Role),
		AcceptedTerm:   uint64(s.Status.AcceptedTerm),
		ReceivedTerm:   uint64(s.Status.Received.Term),
		ReceivedOffset: s.Status.Received.Offset,
		AppliedTerm:    uint64(s.Status.Applied.Term),
		AppliedOffset:  s.Status.Applied.Offset,
		Leaving:        s.Status.Leaving,
		Reachable:      s.Reachable,
		Connections:    uint32(s.Status.Connections),
	}
	if !primary && !s.FreshAsOf.IsZero() {
		out.AgeMs = uint64(max(now.Sub(s.FreshAsOf), 0).Milliseconds())
	}
	return out
}
