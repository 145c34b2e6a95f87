package failover

import (
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// follow orders the slot to follow the primary at the term.
func (m *Machine) follow(now time.Time, slot, primary int, term group.Term) {
	m.slots[slot].followed = now
	m.emit(SendOrder{Order: OrderFollow, Slot: slot, Term: term, Primary: m.cfg.Slots[primary].Address})
}

// repair looks after the slots of a primary that is well.
func (m *Machine) repair(now time.Time) {
	for i := range m.slots {
		if i != m.watched && m.reachable(now, i) {
			m.repairSlot(now, i)
		}
	}
	m.repairStray(now)
	if m.change == nil && m.attempt == nil {
		m.leave(now)
	}
}

// repairSlot orders a slot that does not receive from the primary to follow it.
// A higher rank leaves the owner before it time to do so.
func (m *Machine) repairSlot(now time.Time, i int) {
	s := &m.slots[i]
	if s.status.Accepted > m.watchedTerm || (m.follows(i) && s.status.Received.Term == m.watchedTerm) {
		s.behind = time.Time{}
		return
	}
	if s.behind.IsZero() {
		s.behind = now
		s.wanted = true // another owner may repair it meanwhile
	}
	patience := m.rankWait()
	if m.follows(i) {
		// The order was accepted; the log arrives at the replica's own pace.
		patience += strayAfter
	}
	if m.passed(now, s.behind.Add(patience)) && m.passed(now, s.followed.Add(followGap)) {
		m.follow(now, i, m.watched, m.watchedTerm)
		m.record(now, ActionFollow, i, m.watchedTerm, "slot does not receive from the primary")
	}
}

// repairStray raises the group's term if a slot has accepted a newer one than
// the primary's, as a driver without a quorum leaves it. Such a slot refuses to
// follow, so the group would lack a replica.
func (m *Machine) repairStray(now time.Time) {
	if m.newer(m.watchedTerm) == 0 || !m.heldAt.IsZero() {
		m.straySince = time.Time{}
		return
	}
	if m.straySince.IsZero() {
		m.straySince = now
	}
	if m.passed(now, m.straySince.Add(strayAfter+m.rankWait())) && m.passed(now, m.autoAt) && m.passed(now, m.notBefore) {
		m.autoAt = now.Add(autoRetry)
		m.startChange(now, &change{to: m.watched, reason: "a slot has a newer term than the primary"})
	}
}
