package failover

import (
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// sendFollow orders the slot to follow the primary at the term.
func (m *Machine) sendFollow(now time.Time, slot, primary int, term group.Term) {
	m.slots[slot].lastFollowAt = now
	m.emit(SendOrder{Order: OrderFollow, Slot: slot, Term: term, Primary: m.cfg.Slots[primary].Address})
}

// repairSlots repairs the other slots of a healthy primary, and replaces the
// primary if it is leaving.
func (m *Machine) repairSlots(now time.Time) {
	for i := range m.slots {
		if i != m.primary && m.isReachable(now, i) {
			m.repairSlot(now, i)
		}
	}
	m.repairNewerTerm(now)
	if m.switchover == nil && m.attempt == nil {
		m.replaceLeavingPrimary(now)
	}
}

// repairSlot orders a slot that does not receive from the primary to follow it.
// An owner of a higher rank number waits longer, so that the one before it can do
// so first.
func (m *Machine) repairSlot(now time.Time, i int) {
	s := &m.slots[i]
	if s.status.AcceptedTerm > m.primaryTerm || (m.isFollowing(i) && s.status.Received.Term == m.primaryTerm) {
		s.notFollowingSince = time.Time{}
		return
	}
	if s.notFollowingSince.IsZero() {
		s.notFollowingSince = now
		s.probeRequested = true // another owner may have repaired it in the meantime
	}
	delay := m.rankWait()
	if m.isFollowing(i) {
		// The slot accepted the order, but may need time to receive the log.
		delay += repairDelay
	}
	if m.deadlinePassed(now, s.notFollowingSince.Add(delay)) && m.deadlinePassed(now, s.lastFollowAt.Add(followInterval)) {
		m.sendFollow(now, i, m.primary, m.primaryTerm)
		m.record(now, ActionFollow, i, m.primaryTerm, "slot does not receive from the primary")
	}
}

// repairNewerTerm promotes the primary again at a new term if a slot has accepted
// a newer term than the primary's. A driver that fenced a slot but got no quorum
// leaves it so. Such a slot refuses to follow, so the group would lack a replica.
func (m *Machine) repairNewerTerm(now time.Time) {
	if m.countNewerTerms(m.primaryTerm) == 0 || !m.heldSince.IsZero() {
		m.newerTermSince = time.Time{}
		return
	}
	if m.newerTermSince.IsZero() {
		m.newerTermSince = now
	}
	if m.deadlinePassed(now, m.newerTermSince.Add(repairDelay+m.rankWait())) && m.deadlinePassed(now, m.nextAutoSwitchover) && m.deadlinePassed(now, m.nextAttemptAt) {
		m.nextAutoSwitchover = now.Add(autoSwitchoverInterval)
		m.startSwitchover(now, &switchover{to: m.primary, reason: "a slot has a newer term than the primary"})
	}
}
