package failover

import (
	"errors"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// change is a planned change of primary: hold new transactions, let the running
// ones end, wait until the successor has received everything, then fence and
// promote.
type change struct {
	id     uint64
	asked  bool
	to     int
	reason string
	hold   uint64
	// drained is when the held transactions had ended; zero before.
	drained time.Time
	// from and term are the primary that is replaced.
	from int
	term group.Term
}

func (m *Machine) request(now time.Time, e SwitchoverRequest) {
	c := &change{id: e.ID, asked: true, reason: "requested"}
	if err := m.prepare(now, c, e.To); err != nil {
		m.emit(SwitchoverResult{ID: e.ID, Err: err})
		return
	}
	m.startChange(now, c)
}

// prepare finds the successor, or the reason against a switchover.
func (m *Machine) prepare(now time.Time, c *change, to group.SlotID) error {
	if m.rank == NotOwner {
		return ErrNotOwner
	}
	if m.attempt != nil || m.change != nil || !m.heldAt.IsZero() {
		return ErrChangeInProgress
	}
	if m.watched < 0 || !m.suspicion.since.IsZero() {
		return ErrNoPrimary
	}
	c.to = m.candidate(now, to)
	if c.to < 0 {
		return ErrNoSuccessor
	}
	return nil
}

// candidate returns the wanted slot, or the replica with the longest log that
// can take over, preferring the primary's region; -1 if there is none.
func (m *Machine) candidate(now time.Time, wanted group.SlotID) int {
	best := -1
	for i := range m.slots {
		if i == m.watched || !m.reachable(now, i) || !m.follows(i) || m.slots[i].status.Leaving {
			continue
		}
		if wanted != "" && m.cfg.Slots[i].ID != wanted {
			continue
		}
		if best < 0 || m.preferred(i, best) {
			best = i
		}
	}
	return best
}

func (m *Machine) preferred(i, best int) bool {
	home := m.cfg.Slots[m.watched].Region
	a, b := m.cfg.Slots[i].Region == home, m.cfg.Slots[best].Region == home
	if a != b {
		return a
	}
	return longer(m.slots[i].status, m.slots[best].status)
}

// leave replaces a primary that is about to stop.
func (m *Machine) leave(now time.Time) {
	if !m.heldAt.IsZero() {
		return
	}
	if !m.slots[m.watched].status.Leaving || !m.reachable(now, m.watched) {
		m.leavingSince = time.Time{}
		return
	}
	if m.leavingSince.IsZero() {
		m.leavingSince = now
	}
	if !m.passed(now, m.leavingSince.Add(m.rankWait())) || !m.passed(now, m.autoAt) {
		return
	}
	to := m.candidate(now, "")
	m.autoAt = now.Add(autoRetry)
	if to >= 0 {
		m.startChange(now, &change{to: to, reason: "primary is leaving"})
	}
}

func (m *Machine) startChange(now time.Time, c *change) {
	m.attempts++
	c.hold, c.from, c.term = m.attempts, m.watched, m.watchedTerm
	m.change = c
	m.heldAt = now
	m.record(now, ActionSwitchover, c.to, c.term, c.reason)
	m.emit(Hold{Attempt: c.hold, Timeout: holdBound})
}

func (m *Machine) drained(now time.Time, e Drained) {
	c := m.change
	if c == nil || c.hold != e.Attempt || !c.drained.IsZero() {
		return
	}
	c.drained = now
	m.slots[c.from].wanted = true
	m.slots[c.to].wanted = true
}

func (m *Machine) advanceChange(now time.Time) {
	c := m.change
	if m.watched != c.from || m.watchedTerm != c.term {
		m.endChange(now, ErrNoPrimary)
		return
	}
	if c.drained.IsZero() {
		if m.passed(now, m.heldAt.Add(holdBound)) {
			m.drained(now, Drained{Attempt: c.hold})
		}
		return
	}
	if m.caughtUp(c) {
		m.begin(now, c.reason, c.to, -1)
		return
	}
	if m.passed(now, c.drained.Add(catchUpBound)) {
		m.endChange(now, ErrSuccessorBehind)
		return
	}
	m.slots[c.to].wanted = true
	m.slots[c.from].wanted = m.slots[c.from].wanted || m.slots[c.from].sent.Before(c.drained)
}

// caughtUp reports whether the successor has received what the primary had
// written when its transactions had ended.
func (m *Machine) caughtUp(c *change) bool {
	if c.to == c.from {
		return true
	}
	from, to := &m.slots[c.from], &m.slots[c.to]
	return !from.sent.Before(c.drained) && to.status.Received.Covers(from.status.Received)
}

// completeChange prepares the answer to the request; transactions are still held.
func (m *Machine) completeChange(a *attempt) {
	c := m.change
	m.change = nil
	if c.asked {
		m.finished = &SwitchoverResult{ID: c.id, Slot: m.cfg.Slots[a.chosen].ID, Term: a.term}
	}
}

// endChange gives the change up. After fencing, transactions stay held for the
// failover that follows.
func (m *Machine) endChange(now time.Time, err error) {
	c := m.change
	m.change = nil
	m.record(now, ActionAbandon, c.to, c.term, err.Error())
	if c.asked {
		m.emit(SwitchoverResult{ID: c.id, Err: err})
	}
	if !errors.Is(err, ErrSwitchoverIncomplete) {
		m.release(now)
	}
}

// release lets the held transactions start.
func (m *Machine) release(now time.Time) {
	if m.heldAt.IsZero() {
		return
	}
	if m.finished != nil {
		m.finished.Paused = now.Sub(m.heldAt)
		m.emit(*m.finished)
	}
	m.heldAt, m.finished = time.Time{}, nil
	m.emit(Release{})
}

// limitHold releases transactions that were held for too long.
func (m *Machine) limitHold(now time.Time) {
	if !m.heldAt.IsZero() && m.passed(now, m.heldAt.Add(holdLimit)) {
		m.release(now)
	}
}
