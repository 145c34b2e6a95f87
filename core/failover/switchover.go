package failover

import (
	"errors"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// switchover is a planned change of primary: hold new transactions, let the
// running ones end, wait until the successor has received the whole log, then
// fence and promote.
type switchover struct {
	// id is the ID of the SwitchoverRequest; it is valid if requested is true.
	id uint64
	// requested is true if a SwitchoverRequest started the switchover, and false if
	// it is automatic.
	requested bool
	// to is the slot to promote.
	to     int
	reason string
	// holdID is the attempt ID of the Hold command.
	holdID uint64
	// drainedAt is when the running transactions had ended or their time-out had
	// passed, or zero before.
	drainedAt time.Time
	// from is the slot of the primary that is replaced.
	from int
	// term is the term of the primary that is replaced.
	term group.Term
}

func (m *Machine) handleSwitchoverRequest(now time.Time, e SwitchoverRequest) {
	sw := &switchover{id: e.ID, requested: true, reason: "requested"}
	if err := m.selectTarget(now, sw, e.To); err != nil {
		m.emit(SwitchoverResult{ID: e.ID, Err: err})
		return
	}
	m.startSwitchover(now, sw)
}

// selectTarget sets sw.to to the slot to promote, or returns why no switchover is
// possible.
func (m *Machine) selectTarget(now time.Time, sw *switchover, to group.SlotID) error {
	if m.rank == NotOwner {
		return ErrNotOwner
	}
	if m.attempt != nil || m.switchover != nil || !m.heldSince.IsZero() {
		return ErrChangeInProgress
	}
	if m.primary < 0 || !m.suspicion.since.IsZero() {
		return ErrNoPrimary
	}
	sw.to = m.selectCandidate(now, to)
	if sw.to < 0 {
		return ErrNoSuccessor
	}
	return nil
}

// selectCandidate returns the wanted slot if it can take over, or -1. If wanted is
// empty, it returns the replica with the longest log that can take over, and
// prefers replicas in the primary's region.
func (m *Machine) selectCandidate(now time.Time, wanted group.SlotID) int {
	best := -1
	for i := range m.slots {
		if i == m.primary || !m.isReachable(now, i) || !m.isFollowing(i) || m.slots[i].status.Leaving {
			continue
		}
		if wanted != "" && m.cfg.Slots[i].ID != wanted {
			continue
		}
		if best < 0 || m.isPreferred(i, best) {
			best = i
		}
	}
	return best
}

// isPreferred reports whether slot i is a better successor than slot best: one in
// the primary's region before others, then the one with the longer log.
func (m *Machine) isPreferred(i, best int) bool {
	home := m.cfg.Slots[m.primary].Region
	a, b := m.cfg.Slots[i].Region == home, m.cfg.Slots[best].Region == home
	if a != b {
		return a
	}
	return hasLongerLog(m.slots[i].status, m.slots[best].status)
}

// replaceLeavingPrimary starts a switchover if the primary is about to stop.
func (m *Machine) replaceLeavingPrimary(now time.Time) {
	if !m.heldSince.IsZero() {
		return
	}
	if !m.slots[m.primary].status.Leaving || !m.isReachable(now, m.primary) {
		m.leavingSince = time.Time{}
		return
	}
	if m.leavingSince.IsZero() {
		m.leavingSince = now
	}
	if !m.deadlinePassed(now, m.leavingSince.Add(m.rankWait())) || !m.deadlinePassed(now, m.nextAutoSwitchover) {
		return
	}
	to := m.selectCandidate(now, "")
	m.nextAutoSwitchover = now.Add(autoSwitchoverInterval)
	if to >= 0 {
		m.startSwitchover(now, &switchover{to: to, reason: "primary is leaving"})
	}
}

func (m *Machine) startSwitchover(now time.Time, sw *switchover) {
	m.lastAttemptID++
	sw.holdID, sw.from, sw.term = m.lastAttemptID, m.primary, m.primaryTerm
	m.switchover = sw
	m.heldSince = now
	m.record(now, ActionSwitchover, sw.to, sw.term, sw.reason)
	m.emit(Hold{Attempt: sw.holdID, Timeout: drainTimeout})
}

func (m *Machine) handleDrained(now time.Time, e Drained) {
	sw := m.switchover
	if sw == nil || sw.holdID != e.Attempt || !sw.drainedAt.IsZero() {
		return
	}
	sw.drainedAt = now
	m.slots[sw.from].probeRequested = true
	m.slots[sw.to].probeRequested = true
}

// advanceSwitchover starts the attempt once the transactions have ended and the
// successor has caught up. It aborts the switchover if the primary changes or the
// successor takes too long.
func (m *Machine) advanceSwitchover(now time.Time) {
	sw := m.switchover
	if m.primary != sw.from || m.primaryTerm != sw.term {
		m.abortSwitchover(now, ErrNoPrimary)
		return
	}
	if sw.drainedAt.IsZero() {
		if m.deadlinePassed(now, m.heldSince.Add(drainTimeout)) {
			m.handleDrained(now, Drained{Attempt: sw.holdID})
		}
		return
	}
	if m.hasCaughtUp(sw) {
		m.startAttempt(now, sw.reason, sw.to, -1)
		return
	}
	if m.deadlinePassed(now, sw.drainedAt.Add(catchUpTimeout)) {
		m.abortSwitchover(now, ErrSuccessorBehind)
		return
	}
	m.slots[sw.to].probeRequested = true
	m.slots[sw.from].probeRequested = m.slots[sw.from].probeRequested || m.slots[sw.from].statusSentAt.Before(sw.drainedAt)
}

// hasCaughtUp reports whether the successor has received everything that the
// primary had written by the time its transactions had ended.
func (m *Machine) hasCaughtUp(sw *switchover) bool {
	if sw.to == sw.from {
		return true
	}
	from, to := &m.slots[sw.from], &m.slots[sw.to]
	return !from.statusSentAt.Before(sw.drainedAt) && to.status.Received.Covers(from.status.Received)
}

// completeSwitchover prepares the answer to the request. It is sent when the held
// transactions are released.
func (m *Machine) completeSwitchover(a *attempt) {
	sw := m.switchover
	m.switchover = nil
	if sw.requested {
		m.pendingResult = &SwitchoverResult{ID: sw.id, Slot: m.cfg.Slots[a.successor].ID, Term: a.term}
	}
}

// abortSwitchover ends the switchover without success. If slots were already
// fenced, transactions stay held for the failover that follows.
func (m *Machine) abortSwitchover(now time.Time, err error) {
	sw := m.switchover
	m.switchover = nil
	m.record(now, ActionAbandon, sw.to, sw.term, err.Error())
	if sw.requested {
		m.emit(SwitchoverResult{ID: sw.id, Err: err})
	}
	if !errors.Is(err, ErrSwitchoverIncomplete) {
		m.releaseTransactions(now)
	}
}

// releaseTransactions lets the held transactions start and answers the switchover
// request, if there is one.
func (m *Machine) releaseTransactions(now time.Time) {
	if m.heldSince.IsZero() {
		return
	}
	if m.pendingResult != nil {
		m.pendingResult.Paused = now.Sub(m.heldSince)
		m.emit(*m.pendingResult)
	}
	m.heldSince, m.pendingResult = time.Time{}, nil
	m.emit(Release{})
}

// enforceMaxHold releases transactions that were held for too long.
func (m *Machine) enforceMaxHold(now time.Time) {
	if !m.heldSince.IsZero() && m.deadlinePassed(now, m.heldSince.Add(maxHold)) {
		m.releaseTransactions(now)
	}
}
