package failover

import (
	"fmt"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// missTolerance is by how much the time between two missed probes may fall short
// of ProbeSuspect while both count. Probes overlap with the tracker's refresh
// rounds, and counting both would shorten the detection time.
const missTolerance = 10 * time.Millisecond

// suspicion is the evidence that the primary has failed.
type suspicion struct {
	// since is when the first miss became known, or zero if there is no suspicion.
	since time.Time
	// misses counts probes without an answer.
	misses int
	// lastMissSentAt is when the last probe counted in misses was sent.
	lastMissSentAt time.Time
	// refusals counts refused connections.
	refusals int
	// lastRefusalSentAt is when the last connection counted in refusals was
	// attempted.
	lastRefusalSentAt time.Time
	// confirmedAt is when the evidence became sufficient, or zero before.
	confirmedAt time.Time
	// peerAskedAt is when the other owner was last asked for its view.
	peerAskedAt time.Time
	// awaitingPeer is true until the latest request to the other owner ends.
	awaitingPeer bool
	// peerAsked is true once a request to the other owner has ended.
	peerAsked bool
	// hasPeerView reports whether peerView holds an answer.
	hasPeerView bool
	// peerView is the latest answer of the other owner; it is valid if hasPeerView
	// is true.
	peerView PeerView
}

func (m *Machine) handleProbeAnswered(now time.Time, e ProbeAnswered) {
	s := &m.slots[e.Slot]
	m.observeTerm(e.Status.AcceptedTerm)
	if s.known && (e.Sent.Before(s.statusSentAt) || e.Status.AcceptedTerm < s.status.AcceptedTerm) {
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

// recordMiss adds a missed probe of the primary to the suspicion. The first one
// makes the machine probe every slot.
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

// updatePrimary determines the primary from the answers of the slots. If it has
// changed, the evidence against the old one is dropped.
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

// highestPrimary returns the slot that reports to be primary at the highest term
// and has written to its log at that term. If two slots report the same term,
// which a group must not allow, neither is trusted and ok is false.
func (m *Machine) highestPrimary() (slot int, term group.Term, ok bool) {
	for i := range m.slots {
		st := m.slots[i].status
		if !m.slots[i].known || st.Role != group.Primary || st.Received.Term != st.AcceptedTerm {
			continue
		}
		switch {
		case st.AcceptedTerm > term:
			slot, term, ok = i, st.AcceptedTerm, true
		case st.AcceptedTerm == term:
			ok = false
		}
	}
	return slot, term, ok
}

// countNewerTerms returns the number of slots that accepted a term above the
// given one.
func (m *Machine) countNewerTerms(term group.Term) int {
	n := 0
	for i := range m.slots {
		if m.slots[i].known && m.slots[i].status.AcceptedTerm > term {
			n++
		}
	}
	return n
}

// isReachable reports whether the slot answered within the idle interval plus
// ProbeSuspect, and has not missed a probe that was sent later.
func (m *Machine) isReachable(now time.Time, i int) bool {
	s := &m.slots[i]
	return s.known && s.statusSentAt.After(s.lastMissSentAt) && now.Sub(s.statusReceivedAt) <= m.idleInterval()+m.cfg.ProbeSuspect
}

// countReachable returns the number of reachable slots, apart from except, whose
// last answered probe was sent at since or later.
func (m *Machine) countReachable(now time.Time, except int, since time.Time) int {
	n := 0
	for i := range m.slots {
		if i != except && m.isReachable(now, i) && !m.slots[i].statusSentAt.Before(since) {
			n++
		}
	}
	return n
}

// checkGroup decides what to do while neither an attempt nor a switchover is in
// progress. A primary cannot commit if a newer term leaves it without a quorum.
func (m *Machine) checkGroup(now time.Time) {
	missing := m.primary < 0 || m.countNewerTerms(m.primaryTerm) > len(m.slots)-m.quorum()
	if !missing {
		m.noPrimarySince = time.Time{}
		m.checkPrimary(now)
		return
	}
	m.checkMissingPrimary(now)
}

// checkMissingPrimary starts an attempt if the group remains without a primary
// that can commit, either because it is new or because a driver fenced it and did
// not complete its attempt. A newer term from another driver restarts the wait,
// since that driver may be about to promote.
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

// checkPrimary starts an attempt if the primary is cut off or has failed, and
// otherwise repairs the other slots.
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

// askPeer asks the other owner for its view, at most once per ProbeSuspect.
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

// shouldFailOver reports whether the suspicion justifies an attempt now. Enough
// slots for a promotion must have answered since it arose: fencing fewer would
// only take replicas away from a primary that may be healthy.
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

// isPrimaryCutOff reports whether commits stall because the primary has lost the
// connection to its replicas while enough of them answer this host. Replicas that
// still receive from the primary are only slow, and a promotion would not help.
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

// isFollowing reports whether the slot is a replica of the primary at its term.
func (m *Machine) isFollowing(i int) bool {
	st := m.slots[i].status
	return st.Role == group.Replica && st.AcceptedTerm == m.primaryTerm && st.Upstream == m.cfg.Slots[m.primary].Address
}

// idleInterval is the time between probes of a healthy group.
func (m *Machine) idleInterval() time.Duration {
	return m.cfg.ProbeIdle + m.cfg.ProbeIdle/idleMarginDivisor
}

// sendDueProbes sends the status requests that are due. Each slot has at most one
// in flight.
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

// nextProbeAt returns when the next probe of the slot is due.
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

// urgentProbeInterval is the shortest time between requested probes of a slot.
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

// isUnstable reports whether the state of the group may change at any moment, so
// that all slots are probed at the suspect interval.
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
