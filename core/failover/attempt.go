package failover

import (
	"errors"
	"fmt"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// attempt is one try to promote a primary at one term.
type attempt struct {
	id        uint64
	term      group.Term
	reason    string
	startedAt time.Time
	// target is the slot to promote if it is safe, and exclude the slot to avoid;
	// -1 means none.
	target, exclude int
	// grants holds the status of each slot that granted the fence.
	grants map[int]group.Status
	// failed holds the slots that refused the fence or did not answer.
	failed map[int]bool
	// quorumAt is when there were enough grants for a promotion, or zero before.
	quorumAt time.Time
	// successor is the slot that was sent the promotion, -1 before.
	successor int
	// tries is how often the promotion was sent.
	tries int
	// promotionInFlight is true while the answer to a promotion is outstanding.
	promotionInFlight bool
	// retryAt is when the promotion is sent again if no answer is outstanding.
	retryAt time.Time
}

// startAttempt fences every slot at a new term.
func (m *Machine) startAttempt(now time.Time, reason string, target, exclude int) {
	m.lastAttemptID++
	m.highestTerm++
	m.noPrimaryTerm = m.highestTerm
	m.attempt = &attempt{
		id: m.lastAttemptID, term: m.highestTerm, reason: reason, startedAt: now,
		target: target, exclude: exclude, successor: -1,
		grants: map[int]group.Status{}, failed: map[int]bool{},
	}
	m.record(now, ActionFence, -1, m.highestTerm, reason)
	for i := range m.slots {
		m.emit(SendOrder{Attempt: m.lastAttemptID, Order: OrderFence, Slot: i, Term: m.highestTerm})
	}
	m.advanceAttempt(now)
}

func (m *Machine) handleOrderCompleted(now time.Time, e OrderCompleted) {
	if e.Err == nil {
		m.recordOrderStatus(now, e)
	}
	a := m.attempt
	if a == nil || a.id != e.Attempt {
		return
	}
	switch e.Order {
	case OrderFence:
		m.handleFenceResult(a, e)
	case OrderPromote:
		m.handlePromoteResult(now, a, e)
	}
}

// recordOrderStatus stores the status in the answer to an order, which is as
// recent as the answer to a probe.
func (m *Machine) recordOrderStatus(now time.Time, e OrderCompleted) {
	s := &m.slots[e.Slot]
	m.observeTerm(e.Status.AcceptedTerm)
	if s.known && e.Status.AcceptedTerm < s.status.AcceptedTerm {
		return
	}
	s.known, s.status, s.statusSentAt, s.statusReceivedAt = true, e.Status, later(s.statusSentAt, e.Sent), now
	s.probeRequested = true
}

func (m *Machine) handleFenceResult(a *attempt, e OrderCompleted) {
	if a.successor >= 0 {
		return
	}
	if e.Err != nil {
		a.failed[e.Slot] = true
		m.slots[e.Slot].probeRequested = true
		return
	}
	a.grants[e.Slot] = e.Status
}

// advanceAttempt chooses the successor once there are enough grants, and abandons
// the attempt when there cannot be enough or fenceTimeout has passed.
func (m *Machine) advanceAttempt(now time.Time) {
	a := m.attempt
	if a.successor >= 0 {
		m.advancePromotion(now, a)
		return
	}
	if len(m.slots)-len(a.failed) < m.fenceQuorum() {
		m.abandonAttempt(now, "too few slots granted the fence")
		return
	}
	if len(a.grants) >= m.fenceQuorum() {
		m.choosePrimary(now, a)
		return
	}
	if m.deadlinePassed(now, a.startedAt.Add(fenceTimeout)) {
		m.abandonAttempt(now, "too few slots answered the fence in time")
	}
}

// choosePrimary promotes a slot once no outstanding grant can change the choice, or
// the grace period for outstanding grants has passed.
func (m *Machine) choosePrimary(now time.Time, a *attempt) {
	if a.quorumAt.IsZero() {
		a.quorumAt = now
	}
	if m.isAwaitingGrant(a) && !m.deadlinePassed(now, a.quorumAt.Add(grantGracePeriod)) {
		return
	}
	a.successor = m.selectSuccessor(a)
	m.sendPromotion(now, a)
}

// isAwaitingGrant reports whether a grant that could change the choice is outstanding.
func (m *Machine) isAwaitingGrant(a *attempt) bool {
	for i := range m.slots {
		_, granted := a.grants[i]
		if !granted && !a.failed[i] && i != a.exclude {
			return true
		}
	}
	return false
}

// selectSuccessor returns the slot to promote: the target if it is safe,
// otherwise the safe slot with the longest log that is neither leaving nor
// excluded, otherwise the slot with the longest log of all.
func (m *Machine) selectSuccessor(a *attempt) int {
	if a.target >= 0 && m.isSafe(a, a.target) {
		return a.target
	}
	best, fallback := -1, -1
	for i := range m.slots {
		st, granted := a.grants[i]
		if !granted {
			continue
		}
		if fallback < 0 || hasLongerLog(st, a.grants[fallback]) {
			fallback = i
		}
		if st.Leaving || i == a.exclude || !m.isSafe(a, i) {
			continue
		}
		if best < 0 || hasLongerLog(st, a.grants[best]) {
			best = i
		}
	}
	if best < 0 {
		return fallback
	}
	return best
}

func hasLongerLog(a, b group.Status) bool { return a.Received.Compare(b.Received) > 0 }

// isSafe reports whether the log of the slot covers the logs of g granting slots,
// with g being group.FenceQuorum. Together these hold every durable commit.
func (m *Machine) isSafe(a *attempt, slot int) bool {
	st, granted := a.grants[slot]
	if !granted {
		return false
	}
	n := 0
	for _, o := range a.grants {
		if st.Received.Covers(o.Received) {
			n++
		}
	}
	return n >= m.fenceQuorum()
}

func (m *Machine) sendPromotion(now time.Time, a *attempt) {
	a.tries++
	a.promotionInFlight = true
	m.emit(SendOrder{Attempt: a.id, Order: OrderPromote, Slot: a.successor, Term: a.term})
	m.record(now, ActionPromote, a.successor, a.term, a.reason)
}

// handlePromoteResult handles the result of a promotion. A promotion without an
// answer may have taken effect, so at this term only the same slot may be asked
// again.
func (m *Machine) handlePromoteResult(now time.Time, a *attempt, e OrderCompleted) {
	a.promotionInFlight = false
	if e.Err == nil {
		m.completeAttempt(now, a)
		return
	}
	if !errors.Is(e.Err, group.ErrNoAnswer) || a.tries >= maxPromoteTries {
		m.abandonAttempt(now, fmt.Sprintf("promotion failed: %v", e.Err))
		return
	}
	a.retryAt = now.Add(promoteRetryInterval)
}

// advancePromotion sends a promotion without an answer again.
func (m *Machine) advancePromotion(now time.Time, a *attempt) {
	if !a.promotionInFlight && m.deadlinePassed(now, a.retryAt) {
		m.sendPromotion(now, a)
	}
}

// completeAttempt orders the other slots to follow the new primary.
func (m *Machine) completeAttempt(now time.Time, a *attempt) {
	m.attempt = nil
	m.noPrimarySince = time.Time{}
	m.updatePrimary(now)
	for i := range m.slots {
		if i != a.successor {
			m.sendFollow(now, i, a.successor, a.term)
		}
	}
	m.emit(Refresh{Term: a.term})
	m.requestAllProbes()
	if m.switchover != nil {
		m.completeSwitchover(a)
	}
}

// abandonAttempt ends the attempt without success. The next one starts after a
// random delay, so that competing owners do not keep fencing each other's attempts.
func (m *Machine) abandonAttempt(now time.Time, reason string) {
	a := m.attempt
	m.attempt = nil
	m.record(now, ActionAbandon, a.successor, a.term, reason)
	mean := min(minBackoff<<min(m.failedAttempts, 8), maxBackoff)
	m.failedAttempts++
	m.nextAttemptAt = now.Add(mean/2 + time.Duration(m.cfg.Rand.Int64N(int64(mean))))
	m.noPrimarySince = now.Add(-m.minDetectionTime() - m.rankWait())
	m.requestAllProbes()
	m.scheduleWake(m.nextAttemptAt)
	if m.switchover != nil {
		m.abortSwitchover(now, ErrSwitchoverIncomplete)
	}
}
