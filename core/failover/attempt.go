package failover

import (
	"errors"
	"fmt"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// attempt is one try to install a primary at one term.
type attempt struct {
	id     uint64
	term   group.Term
	reason string
	began  time.Time
	// target is the slot to prefer, exclude the one to avoid; -1 for none.
	target, exclude int
	// grants holds the status of each granting slot, failed the slots that did not grant.
	grants map[int]group.Status
	failed map[int]bool
	// enough is when the grants became sufficient.
	enough time.Time
	// chosen is the slot that was sent the promotion, -1 before.
	chosen  int
	tries   int
	pending bool
	retryAt time.Time
}

// begin fences every slot at a new term.
func (m *Machine) begin(now time.Time, reason string, target, exclude int) {
	m.attempts++
	m.seen++
	m.vacantSeen = m.seen
	m.attempt = &attempt{
		id: m.attempts, term: m.seen, reason: reason, began: now,
		target: target, exclude: exclude, chosen: -1,
		grants: map[int]group.Status{}, failed: map[int]bool{},
	}
	m.record(now, ActionFence, -1, m.seen, reason)
	for i := range m.slots {
		m.emit(SendOrder{Attempt: m.attempts, Order: OrderFence, Slot: i, Term: m.seen})
	}
	m.advanceAttempt(now)
}

func (m *Machine) ordered(now time.Time, e OrderCompleted) {
	if e.Err == nil {
		m.orderDone(now, e)
	}
	a := m.attempt
	if a == nil || a.id != e.Attempt {
		return
	}
	switch e.Order {
	case OrderFence:
		m.fenced(a, e)
	case OrderPromote:
		m.promoted(now, a, e)
	}
}

// orderDone takes the slot's report, which is as good as an answer to a probe.
func (m *Machine) orderDone(now time.Time, e OrderCompleted) {
	s := &m.slots[e.Slot]
	m.learn(e.Status.Accepted)
	if s.known && e.Status.Accepted < s.status.Accepted {
		return
	}
	s.known, s.status, s.sent, s.answered = true, e.Status, later(s.sent, e.Sent), now
	s.wanted = true
}

func (m *Machine) fenced(a *attempt, e OrderCompleted) {
	if a.chosen >= 0 {
		return
	}
	if e.Err != nil {
		a.failed[e.Slot] = true
		m.slots[e.Slot].wanted = true
		return
	}
	a.grants[e.Slot] = e.Status
}

func (m *Machine) advanceAttempt(now time.Time) {
	a := m.attempt
	if a.chosen >= 0 {
		m.advancePromotion(now, a)
		return
	}
	if len(m.slots)-len(a.failed) < m.fenceQuorum() {
		m.abandon(now, "too few slots granted the term")
		return
	}
	if len(a.grants) >= m.fenceQuorum() {
		m.choose(now, a)
		return
	}
	if m.passed(now, a.began.Add(fenceTimeout)) {
		m.abandon(now, "too few slots answered the fence")
	}
}

// choose promotes a slot once no further grant is worth waiting for.
func (m *Machine) choose(now time.Time, a *attempt) {
	if a.enough.IsZero() {
		a.enough = now
	}
	if m.awaitsGrant(a) && !m.passed(now, a.enough.Add(grantGrace)) {
		return
	}
	a.chosen = m.successor(a)
	m.sendPromotion(now, a)
}

// awaitsGrant reports whether a slot whose grant could change the choice is outstanding.
func (m *Machine) awaitsGrant(a *attempt) bool {
	for i := range m.slots {
		_, granted := a.grants[i]
		if !granted && !a.failed[i] && i != a.exclude {
			return true
		}
	}
	return false
}

// successor returns the slot to promote: the target if it is safe, else the
// safe slot with the longest log that is neither leaving nor to be avoided,
// else the one with the longest log of all.
func (m *Machine) successor(a *attempt) int {
	if a.target >= 0 && m.safe(a, a.target) {
		return a.target
	}
	best, fallback := -1, -1
	for i := range m.slots {
		st, granted := a.grants[i]
		if !granted {
			continue
		}
		if fallback < 0 || longer(st, a.grants[fallback]) {
			fallback = i
		}
		if st.Leaving || i == a.exclude || !m.safe(a, i) {
			continue
		}
		if best < 0 || longer(st, a.grants[best]) {
			best = i
		}
	}
	if best < 0 {
		return fallback
	}
	return best
}

func longer(a, b group.Status) bool { return a.Received.Compare(b.Received) > 0 }

// safe reports whether the slot's log covers those of g granting slots, which
// among them hold every durable commit.
func (m *Machine) safe(a *attempt, slot int) bool {
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
	a.pending = true
	m.emit(SendOrder{Attempt: a.id, Order: OrderPromote, Slot: a.chosen, Term: a.term})
	m.record(now, ActionPromote, a.chosen, a.term, a.reason)
}

// promoted handles the result of a promotion. Without an answer the promotion
// may have taken effect, so only the same slot may be asked again at this term.
func (m *Machine) promoted(now time.Time, a *attempt, e OrderCompleted) {
	a.pending = false
	if e.Err == nil {
		m.installed(now, a)
		return
	}
	if !errors.Is(e.Err, group.ErrNoAnswer) || a.tries >= promoteTries {
		m.abandon(now, fmt.Sprintf("promotion failed: %v", e.Err))
		return
	}
	a.retryAt = now.Add(promoteRetryGap)
}

func (m *Machine) advancePromotion(now time.Time, a *attempt) {
	if !a.pending && m.passed(now, a.retryAt) {
		m.sendPromotion(now, a)
	}
}

// installed orders the other slots to follow the new primary.
func (m *Machine) installed(now time.Time, a *attempt) {
	m.attempt = nil
	m.vacantSince = time.Time{}
	m.watch(now)
	for i := range m.slots {
		if i != a.chosen {
			m.follow(now, i, a.chosen, a.term)
		}
	}
	m.emit(Refresh{Term: a.term})
	m.wantAll()
	if m.change != nil {
		m.completeChange(a)
	}
}

// abandon gives the attempt up and waits a random time, so that rivals do not
// override each other in turn.
func (m *Machine) abandon(now time.Time, why string) {
	a := m.attempt
	m.attempt = nil
	m.record(now, ActionAbandon, a.chosen, a.term, why)
	mean := min(firstBackoff<<min(m.failures, 8), lastBackoff)
	m.failures++
	m.notBefore = now.Add(mean/2 + time.Duration(m.cfg.Rand.Int64N(int64(mean))))
	m.vacantSince = now.Add(-m.detection() - m.rankWait())
	m.wantAll()
	m.wake(m.notBefore)
	if m.change != nil {
		m.endChange(now, ErrSwitchoverIncomplete)
	}
}
