package failover

import (
	"fmt"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// missMargin is how much earlier than the suspected interval a probe may be
// sent and still count as a miss of its own. Probes and refresh rounds overlap,
// and counting both would shorten the detection time.
const missMargin = 10 * time.Millisecond

// suspicion is the evidence against the watched primary.
type suspicion struct {
	// since is when the first miss became known; zero for no suspicion.
	since time.Time
	// misses counts probes without an answer; lastMiss is when the last was sent.
	misses   int
	lastMiss time.Time
	// refusals counts refused connections; lastRefusal is when the last was tried.
	refusals    int
	lastRefusal time.Time
	// raised is when the evidence became sufficient.
	raised time.Time
	// asked is when the other owner was last asked, tried says that one question
	// has ended, and view is the latest answer if viewed.
	asked  time.Time
	asking bool
	tried  bool
	viewed bool
	view   PeerView
}

func (m *Machine) answered(now time.Time, e ProbeAnswered) {
	s := &m.slots[e.Slot]
	m.learn(e.Status.Accepted)
	if s.known && (e.Sent.Before(s.sent) || e.Status.Accepted < s.status.Accepted) {
		return
	}
	s.known, s.status, s.sent, s.answered = true, e.Status, e.Sent, now
	s.probing = false
	if e.Slot == m.watched && !e.Sent.Before(m.suspicion.lastMiss) {
		m.suspicion = suspicion{}
	}
}

func (m *Machine) missed(now time.Time, e ProbeMissed) {
	s := &m.slots[e.Slot]
	s.probing, s.wanted = false, false
	if e.Sent.After(s.missed) {
		s.missed = e.Sent
	}
	if e.Slot != m.watched || e.Sent.Before(s.sent) || e.Sent.Before(s.heard) {
		return
	}
	m.suspect(now, e)
}

// suspect counts a miss of the primary, and asks every slot and the other owner.
func (m *Machine) suspect(now time.Time, e ProbeMissed) {
	p := &m.suspicion
	if p.since.IsZero() {
		p.since = now
		m.wantAll()
	}
	if p.misses == 0 || !e.Sent.Before(p.lastMiss.Add(m.cfg.ProbeSuspect-missMargin)) {
		p.misses++
		p.lastMiss = e.Sent
	}
	if e.Refused && (p.refusals == 0 || !e.Sent.Before(p.lastRefusal.Add(refusalGap))) {
		p.refusals++
		p.lastRefusal = e.Sent
	}
	if p.raised.IsZero() && (p.misses >= m.cfg.Misses || p.refusals >= 2) {
		p.raised = now
	}
}

func (m *Machine) heard(e Heartbeat) {
	s := &m.slots[e.Slot]
	if e.At.After(s.heard) {
		s.heard = e.At
	}
	if e.Slot == m.watched && e.At.After(m.suspicion.since) {
		m.suspicion = suspicion{}
	}
}

func (m *Machine) stall(now time.Time, e CommitStalled) {
	m.stalled, m.stalledAt = e, now
	m.wantAll()
}

func (m *Machine) wantAll() {
	for i := range m.slots {
		m.slots[i].wanted = true
	}
}

// watch finds the primary in the answers and drops the evidence against another one.
func (m *Machine) watch(now time.Time) {
	slot, term, ok := m.highestPrimary()
	if !ok {
		slot, term = -1, 0
	}
	if slot == m.watched && term == m.watchedTerm {
		return
	}
	m.watched, m.watchedTerm = slot, term
	m.suspicion = suspicion{}
	m.stalled, m.straySince = CommitStalled{}, time.Time{}
	if ok {
		m.failures, m.notBefore = 0, time.Time{}
	}
}

// highestPrimary returns the slot that claims to be primary at the highest
// term. Two claims of one term break the group's contract; neither is trusted.
func (m *Machine) highestPrimary() (slot int, term group.Term, ok bool) {
	for i := range m.slots {
		st := m.slots[i].status
		if !m.slots[i].known || st.Role != group.Primary || st.Received.Term != st.Accepted {
			continue
		}
		switch {
		case st.Accepted > term:
			slot, term, ok = i, st.Accepted, true
		case st.Accepted == term:
			ok = false
		}
	}
	return slot, term, ok
}

// newer counts the slots that accepted a term above the given one.
func (m *Machine) newer(term group.Term) int {
	n := 0
	for i := range m.slots {
		if m.slots[i].known && m.slots[i].status.Accepted > term {
			n++
		}
	}
	return n
}

// reachable reports whether the slot answered lately, and not before its last miss.
func (m *Machine) reachable(now time.Time, i int) bool {
	s := &m.slots[i]
	return s.known && s.sent.After(s.missed) && now.Sub(s.answered) <= m.idleInterval()+m.cfg.ProbeSuspect
}

func (m *Machine) reachableOthers(now time.Time, except int, since time.Time) int {
	n := 0
	for i := range m.slots {
		if i != except && m.reachable(now, i) && !m.slots[i].sent.Before(since) {
			n++
		}
	}
	return n
}

// judge looks at the group while nothing is in progress.
func (m *Machine) judge(now time.Time) {
	vacant := m.watched < 0 || m.newer(m.watchedTerm) > len(m.slots)-m.quorum()
	if !vacant {
		m.vacantSince = time.Time{}
		m.judgePrimary(now)
		return
	}
	m.judgeVacancy(now)
}

// judgeVacancy acts if the group stays without a primary that can commit: it
// is new, or a driver fenced it and did not finish. A term that another driver
// raises starts the wait anew, since that driver may be about to promote.
func (m *Machine) judgeVacancy(now time.Time) {
	if m.reachableOthers(now, -1, time.Time{}) < m.fenceQuorum() {
		m.vacantSince = time.Time{}
		return
	}
	if m.vacantSince.IsZero() || m.seen > m.vacantSeen {
		m.vacantSince, m.vacantSeen = now, m.seen
		m.wantAll()
	}
	if m.passed(now, m.vacantSince.Add(m.detection()+m.rankWait())) && m.passed(now, m.notBefore) {
		m.begin(now, "no primary", -1, -1)
	}
}

func (m *Machine) judgePrimary(now time.Time) {
	if m.cutOff(now) {
		if m.passed(now, m.notBefore) {
			m.begin(now, "primary is cut off from its replicas", -1, m.watched)
		}
		return
	}
	if m.suspicion.since.IsZero() {
		m.repair(now)
		return
	}
	m.askPeer(now)
	if m.confirmed(now) {
		m.begin(now, m.suspicionReason(), -1, m.watched)
	}
}

func (m *Machine) suspicionReason() string {
	if m.suspicion.refusals >= 2 {
		return fmt.Sprintf("primary refused %d connections", m.suspicion.refusals)
	}
	return fmt.Sprintf("primary missed %d probes", m.suspicion.misses)
}

func (m *Machine) askPeer(now time.Time) {
	p := &m.suspicion
	if !m.peer || p.asking {
		return
	}
	if !p.asked.IsZero() && !m.passed(now, p.asked.Add(m.cfg.ProbeSuspect)) {
		return
	}
	p.asked, p.asking = now, true
	m.emit(AskPeer{})
}

// confirmed reports whether the suspicion justifies acting now. Slots that
// answered since it arose must suffice for a promotion: fencing fewer would only
// take replicas away from a primary that may be well.
func (m *Machine) confirmed(now time.Time) bool {
	p := &m.suspicion
	if p.raised.IsZero() {
		return false
	}
	if m.peer && !p.tried {
		return false
	}
	if p.viewed && p.view.Reachable {
		return false
	}
	if m.reachableOthers(now, m.watched, p.since) < m.fenceQuorum() {
		return false
	}
	return m.passed(now, p.raised.Add(m.rankWait())) && m.passed(now, m.notBefore)
}

// cutOff reports whether commits stall because the primary has lost its
// replicas while enough of them answer here. Replicas that still hear from the
// primary are merely slow, and a promotion would not help.
func (m *Machine) cutOff(now time.Time) bool {
	if m.stalled.For < m.detection() || now.Sub(m.stalledAt) > 2*m.cfg.ProbeSuspect {
		return false
	}
	fresh := m.stalledAt.Add(-m.cfg.ProbeSuspect)
	if m.reachableOthers(now, m.watched, fresh) < m.fenceQuorum() {
		return false
	}
	hearing := 0
	for i := range m.slots {
		if i != m.watched && m.follows(i) && m.slots[i].status.ReceivingAge < 2*m.cfg.ProbeSuspect {
			hearing++
		}
	}
	return hearing < m.quorum()-1
}

// follows reports whether the slot receives from the watched primary at its term.
func (m *Machine) follows(i int) bool {
	st := m.slots[i].status
	return st.Role == group.Replica && st.Accepted == m.watchedTerm && st.Upstream == m.cfg.Slots[m.watched].Address
}

func (m *Machine) idleInterval() time.Duration {
	return m.cfg.ProbeIdle + m.cfg.ProbeIdle/ageMargin
}

// probe sends the status requests that are due.
func (m *Machine) probe(now time.Time) {
	if m.rank == NotOwner && m.attempt == nil && m.change == nil {
		return
	}
	for i := range m.slots {
		s := &m.slots[i]
		if s.probing || !m.passed(now, m.probeDue(i)) {
			continue
		}
		s.probing, s.wanted, s.probed = true, false, now
		m.emit(Probe{Slot: i})
	}
}

func (m *Machine) probeDue(i int) time.Time {
	s := &m.slots[i]
	switch {
	case i == m.watched && m.suspicion.refusals == 1:
		return later(m.suspicion.lastRefusal.Add(refusalGap), s.probed.Add(refusalGap/4))
	case s.wanted:
		return s.probed.Add(m.urgentGap())
	case m.alarmed():
		return s.probed.Add(m.cfg.ProbeSuspect)
	case s.answered.After(s.probed):
		return s.answered.Add(m.idleInterval())
	default:
		return s.probed.Add(m.idleInterval())
	}
}

func (m *Machine) urgentGap() time.Duration {
	if m.change != nil {
		return catchUpGap
	}
	return refusalGap
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// alarmed reports whether the state of the group may change at any moment.
func (m *Machine) alarmed() bool {
	return m.watched < 0 || !m.suspicion.since.IsZero() || m.attempt != nil || !m.vacantSince.IsZero()
}

func (m *Machine) viewed(e PeerView) {
	p := &m.suspicion
	p.asking, p.tried, p.viewed, p.view = false, true, e.OK, e
	if e.Term > m.seen {
		m.wantAll()
	}
	m.learn(e.Term)
}
