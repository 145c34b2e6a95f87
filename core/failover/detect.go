package failover

import (
	"fmt"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// missMargin is how much earlier than the suspected interval a probe may be
// sent and still count as a miss of its own. Probes and refresh rounds overlap,
// and counting both would shorten the detection time.
const missTolerance = 10 * time.Millisecond

// suspicion is the evidence against the watched primary.
type suspicion struct {
	// since is when the first miss became known; zero for no suspicion.
	since time.Time
	// misses counts probes without an answer; lastMiss is when the last was sent.
	misses         int
	lastMissSentAt time.Time
	// refusals counts refused connections; lastRefusal is when the last was tried.
	refusals          int
	lastRefusalSentAt time.Time
	// raised is when the evidence became sufficient.
	confirmedAt time.Time
	// asked is when the other owner was last asked, tried says that one question
	// has ended, and view is the latest answer if viewed.
	peerAskedAt  time.Time
	awaitingPeer bool
	peerAsked    bool
	hasPeerView  bool
	peerView     PeerView
}

func (m *Machine) handleProbeAnswered(now time.Time, e ProbeAnswered) {
	s := &m.slots[e.Slot]
	m.observeTerm(e.Status.Accepted)
	if s.known && (e.Sent.Before(s.statusSentAt) || e.Status.Accepted < s.status.Accepted) {
		return
	}
	s.known, s.status, s.statusSentAt, s.statusReceivedAt = true, e.Status, e.Sent, now
	s.probeInFlight = false
	if e.Slot == m.primary && !e.Sent.Before(m.suspicion.lastMissSentAt) {
		m.suspicion = suspicion{}
	}
}

func (m *Machine) handleProbeMissed(now time.Time, e ProbeMissed) {
	s := &m.slots[e.Slot]
	s.probeInFlight, s.probeRequested = false, false
	if e.Sent.After(s.lastMissSentAt) {
		s.lastMissSentAt = e.Sent
	}
	if e.Slot != m.primary || e.Sent.Before(s.statusSentAt) || e.Sent.Before(s.lastHeartbeat) {
		return
	}
	m.recordMiss(now, e)
}

// suspect counts a miss of the primary, and asks every slot and the other owner.
func (m *Machine) recordMiss(now time.Time, e ProbeMissed) {
	p := &m.suspicion
	if p.since.IsZero() {
		p.since = now
		m.requestAllProbes()
	}
	if p.misses == 0 || !e.Sent.Before(p.lastMissSentAt.Add(m.cfg.ProbeSuspect-missTolerance)) {
		p.misses++
		p.lastMissSentAt = e.Sent
	}
	if e.Refused && (p.refusals == 0 || !e.Sent.Before(p.lastRefusalSentAt.Add(refusalInterval))) {
		p.refusals++
		p.lastRefusalSentAt = e.Sent
	}
	if p.confirmedAt.IsZero() && (p.misses >= m.cfg.Misses || p.refusals >= 2) {
		p.confirmedAt = now
	}
}

func (m *Machine) handleHeartbeat(e Heartbeat) {
	s := &m.slots[e.Slot]
	if e.At.After(s.lastHeartbeat) {
		s.lastHeartbeat = e.At
	}
	if e.Slot == m.primary && e.At.After(m.suspicion.since) {
		m.suspicion = suspicion{}
	}
}

func (m *Machine) handleCommitStalled(now time.Time, e CommitStalled) {
	m.commitStall, m.commitStalledAt = e, now
	m.requestAllProbes()
}

func (m *Machine) requestAllProbes() {
	for i := range m.slots {
		m.slots[i].probeRequested = true
	}
}

// watch finds the primary in the answers and drops the evidence against another one.
func (m *Machine) updatePrimary(now time.Time) {
	slot, term, ok := m.highestPrimary()
	if !ok {
		slot, term = -1, 0
	}
	if slot == m.primary && term == m.primaryTerm {
		return
	}
	m.primary, m.primaryTerm = slot, term
	m.suspicion = suspicion{}
	m.commitStall, m.newerTermSince = CommitStalled{}, time.Time{}
	if ok {
		m.failedAttempts, m.nextAttemptAt = 0, time.Time{}
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
func (m *Machine) countNewerTerms(term group.Term) int {
	n := 0
	for i := range m.slots {
		if m.slots[i].known && m.slots[i].status.Accepted > term {
			n++
		}
	}
	return n
}

// reachable reports whether the slot answered lately, and not before its last miss.
func (m *Machine) isReachable(now time.Time, i int) bool {
	s := &m.slots[i]
	return s.known && s.statusSentAt.After(s.lastMissSentAt) && now.Sub(s.statusReceivedAt) <= m.idleInterval()+m.cfg.ProbeSuspect
}

func (m *Machine) countReachable(now time.Time, except int, since time.Time) int {
	n := 0
	for i := range m.slots {
		if i != except && m.isReachable(now, i) && !m.slots[i].statusSentAt.Before(since) {
			n++
		}
	}
	return n
}

// judge looks at the group while nothing is in progress.
func (m *Machine) checkGroup(now time.Time) {
	vacant := m.primary < 0 || m.countNewerTerms(m.primaryTerm) > len(m.slots)-m.quorum()
	if !vacant {
		m.noPrimarySince = time.Time{}
		m.checkPrimary(now)
		return
	}
	m.checkMissingPrimary(now)
}

// judgeVacancy acts if the group stays without a primary that can commit: it
// is new, or a driver fenced it and did not finish. A term that another driver
// raises starts the wait anew, since that driver may be about to promote.
func (m *Machine) checkMissingPrimary(now time.Time) {
	if m.countReachable(now, -1, time.Time{}) < m.fenceQuorum() {
		m.noPrimarySince = time.Time{}
		return
	}
	if m.noPrimarySince.IsZero() || m.highestTerm > m.noPrimaryTerm {
		m.noPrimarySince, m.noPrimaryTerm = now, m.highestTerm
		m.requestAllProbes()
	}
	if m.deadlinePassed(now, m.noPrimarySince.Add(m.minDetectionTime()+m.rankWait())) && m.deadlinePassed(now, m.nextAttemptAt) {
		m.startAttempt(now, "no primary", -1, -1)
	}
}

func (m *Machine) checkPrimary(now time.Time) {
	if m.isPrimaryCutOff(now) {
		if m.deadlinePassed(now, m.nextAttemptAt) {
			m.startAttempt(now, "primary is cut off from its replicas", -1, m.primary)
		}
		return
	}
	if m.suspicion.since.IsZero() {
		m.repairSlots(now)
		return
	}
	m.askPeer(now)
	if m.shouldFailOver(now) {
		m.startAttempt(now, m.suspicionReason(), -1, m.primary)
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
	if !m.hasPeer || p.awaitingPeer {
		return
	}
	if !p.peerAskedAt.IsZero() && !m.deadlinePassed(now, p.peerAskedAt.Add(m.cfg.ProbeSuspect)) {
		return
	}
	p.peerAskedAt, p.awaitingPeer = now, true
	m.emit(AskPeer{})
}

// confirmed reports whether the suspicion justifies acting now. Slots that
// answered since it arose must suffice for a promotion: fencing fewer would only
// take replicas away from a primary that may be well.
func (m *Machine) shouldFailOver(now time.Time) bool {
	p := &m.suspicion
	if p.confirmedAt.IsZero() {
		return false
	}
	if m.hasPeer && !p.peerAsked {
		return false
	}
	if p.hasPeerView && p.peerView.Reachable {
		return false
	}
	if m.countReachable(now, m.primary, p.since) < m.fenceQuorum() {
		return false
	}
	return m.deadlinePassed(now, p.confirmedAt.Add(m.rankWait())) && m.deadlinePassed(now, m.nextAttemptAt)
}

// cutOff reports whether commits stall because the primary has lost its
// replicas while enough of them answer here. Replicas that still hear from the
// primary are merely slow, and a promotion would not help.
func (m *Machine) isPrimaryCutOff(now time.Time) bool {
	if m.commitStall.For < m.minDetectionTime() || now.Sub(m.commitStalledAt) > 2*m.cfg.ProbeSuspect {
		return false
	}
	fresh := m.commitStalledAt.Add(-m.cfg.ProbeSuspect)
	if m.countReachable(now, m.primary, fresh) < m.fenceQuorum() {
		return false
	}
	hearing := 0
	for i := range m.slots {
		if i != m.primary && m.isFollowing(i) && m.slots[i].status.ReceivingAge < 2*m.cfg.ProbeSuspect {
			hearing++
		}
	}
	return hearing < m.quorum()-1
}

// follows reports whether the slot receives from the watched primary at its term.
func (m *Machine) isFollowing(i int) bool {
	st := m.slots[i].status
	return st.Role == group.Replica && st.Accepted == m.primaryTerm && st.Upstream == m.cfg.Slots[m.primary].Address
}

func (m *Machine) idleInterval() time.Duration {
	return m.cfg.ProbeIdle + m.cfg.ProbeIdle/idleMarginDivisor
}

// probe sends the status requests that are due.
func (m *Machine) sendDueProbes(now time.Time) {
	if m.rank == NotOwner && m.attempt == nil && m.switchover == nil {
		return
	}
	for i := range m.slots {
		s := &m.slots[i]
		if s.probeInFlight || !m.deadlinePassed(now, m.nextProbeAt(i)) {
			continue
		}
		s.probeInFlight, s.probeRequested, s.lastProbeAt = true, false, now
		m.emit(Probe{Slot: i})
	}
}

func (m *Machine) nextProbeAt(i int) time.Time {
	s := &m.slots[i]
	switch {
	case i == m.primary && m.suspicion.refusals == 1:
		return later(m.suspicion.lastRefusalSentAt.Add(refusalInterval), s.lastProbeAt.Add(refusalInterval/4))
	case s.probeRequested:
		return s.lastProbeAt.Add(m.urgentProbeInterval())
	case m.isUnstable():
		return s.lastProbeAt.Add(m.cfg.ProbeSuspect)
	case s.statusReceivedAt.After(s.lastProbeAt):
		return s.statusReceivedAt.Add(m.idleInterval())
	default:
		return s.lastProbeAt.Add(m.idleInterval())
	}
}

func (m *Machine) urgentProbeInterval() time.Duration {
	if m.switchover != nil {
		return catchUpProbeInterval
	}
	return refusalInterval
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// alarmed reports whether the state of the group may change at any moment.
func (m *Machine) isUnstable() bool {
	return m.primary < 0 || !m.suspicion.since.IsZero() || m.attempt != nil || !m.noPrimarySince.IsZero()
}

func (m *Machine) handlePeerView(e PeerView) {
	p := &m.suspicion
	p.awaitingPeer, p.peerAsked, p.hasPeerView, p.peerView = false, true, e.OK, e
	if e.Term > m.highestTerm {
		m.requestAllProbes()
	}
	m.observeTerm(e.Term)
}
