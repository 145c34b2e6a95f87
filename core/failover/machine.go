// Package failover decides when a group gets a new primary, and which.
//
// Machine is a deterministic state machine for one database: events in, commands
// out. A change of primary fences the slots at a term one above the highest
// seen. With g grants (group.FenceQuorum) every durable commit is in the log of
// a granting slot, and no second driver can have g grants at that term. Any
// granting slot whose log is at least as long as those of g granting slots may
// then be promoted; the machine takes the longest unless that slot is leaving or
// is the primary being replaced. At most one slot is ever sent a promotion at
// a term. Safety rests on terms alone; clocks only decide when to act.
//
// Driver runs the commands and feeds the results back.
package failover

import (
	"math/rand/v2"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

const (
	// rankDelay is the head start of each owner over the next.
	rankDelay = 400 * time.Millisecond
	// refusalGap separates the two refused connections that raise a suspicion.
	refusalInterval = 100 * time.Millisecond
	// fenceTimeout bounds an attempt from its first fence to enough grants.
	fenceTimeout = 500 * time.Millisecond
	// grantGrace is how long an attempt with enough grants waits for further
	// slots, whose longer log spares callers unknown outcomes.
	grantGracePeriod = 50 * time.Millisecond
	// promoteRetryGap separates repetitions of a promotion without an answer.
	promoteRetryInterval = 100 * time.Millisecond
	maxPromoteTries      = 4
	// firstBackoff and lastBackoff bound the mean delay after a failed attempt.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// followGap separates follow orders to the same slot.
	followInterval = 500 * time.Millisecond
	// strayAfter is how long a slot may stay at a newer term than the primary,
	// or at an older log term, before it is repaired.
	repairDelay = time.Second
	// holdBound is the longest wait for running transactions in a switchover.
	drainTimeout = 150 * time.Millisecond
	// catchUpBound is the longest wait for the successor to receive everything.
	catchUpTimeout = 100 * time.Millisecond
	// catchUpGap separates probes during that wait.
	catchUpProbeInterval = time.Millisecond
	// holdLimit releases held transactions even if no primary was found.
	maxHold = 2 * time.Second
	// autoRetry separates automatic switchovers that fail.
	autoSwitchoverInterval = time.Second
	// ageMargin stretches the idle probe interval, so that the tracker's refresh
	// rounds at that interval serve as the probes.
	idleMarginDivisor = 8
)

// Config configures a Machine.
type Config struct {
	// Slots are the slots of the group; there must be at least one.
	Slots []group.Slot
	// ProbeIdle and ProbeSuspect separate probes; Misses of them raise a
	// suspicion. Zero values take 1 s, 250 ms and 3.
	ProbeIdle, ProbeSuspect time.Duration
	Misses                  int
	// Rand supplies the randomness of delays.
	Rand *rand.Rand
}

// Machine is the failover state machine of one database. It is not safe for
// concurrent use.
type Machine struct {
	cfg     Config
	rank    int
	hasPeer bool
	slots   []slotInfo
	// seen is the highest term in any answer or order.
	highestTerm group.Term

	primary         int
	primaryTerm     group.Term
	suspicion       suspicion
	commitStall     CommitStalled
	commitStalledAt time.Time
	noPrimarySince  time.Time
	noPrimaryTerm   group.Term
	newerTermSince  time.Time

	lastAttemptID  uint64
	attempt        *attempt
	nextAttemptAt  time.Time
	failedAttempts int

	switchover         *switchover
	leavingSince       time.Time
	nextAutoSwitchover time.Time
	heldSince          time.Time
	// finished answers the switchover request once transactions are released.
	pendingResult *SwitchoverResult
	commands      []Command
	deadline      time.Time
}

// slotInfo is what the machine knows of one slot.
type slotInfo struct {
	known             bool
	status            group.Status
	statusSentAt      time.Time
	statusReceivedAt  time.Time
	lastMissSentAt    time.Time
	lastHeartbeat     time.Time
	probeInFlight     bool
	lastProbeAt       time.Time
	probeRequested    bool
	lastFollowAt      time.Time
	notFollowingSince time.Time
}

// New returns a machine that is not an owner until it gets an Owner event.
func New(c Config) *Machine {
	if c.ProbeIdle <= 0 {
		c.ProbeIdle = time.Second
	}
	if c.ProbeSuspect <= 0 {
		c.ProbeSuspect = 250 * time.Millisecond
	}
	if c.Misses <= 0 {
		c.Misses = 3
	}
	return &Machine{cfg: c, rank: NotOwner, primary: -1, slots: make([]slotInfo, len(c.Slots))}
}

// Step takes an event and returns the commands to run, in order. Events must be
// given in the order of now.
func (m *Machine) Step(now time.Time, ev Event) []Command {
	m.commands, m.deadline = nil, time.Time{}
	m.handleEvent(now, ev)
	m.updatePrimary(now)
	m.advance(now)
	m.sendDueProbes(now)
	m.enforceMaxHold(now)
	return m.commands
}

// NextDeadline returns when Step is to be called with a Tick if no event comes
// before; the zero time for never.
func (m *Machine) NextDeadline() time.Time { return m.deadline }

// Primary returns the index of the slot that is the primary as far as the
// machine knows, whether or not it answers, and its term.
func (m *Machine) Primary() (slot int, term group.Term, ok bool) {
	return m.primary, m.primaryTerm, m.primary >= 0
}

// LastAnswer returns when the slot last answered; the zero time for never.
func (m *Machine) LastAnswer(slot int) time.Time {
	s := &m.slots[slot]
	if s.lastHeartbeat.After(s.statusReceivedAt) {
		return s.lastHeartbeat
	}
	return s.statusReceivedAt
}

func (m *Machine) handleEvent(now time.Time, ev Event) {
	switch e := ev.(type) {
	case ProbeAnswered:
		m.handleProbeAnswered(now, e)
	case ProbeMissed:
		m.handleProbeMissed(now, e)
	case Heartbeat:
		m.handleHeartbeat(e)
	case TrafficFailed:
		m.slots[e.Slot].probeRequested = true
	case CommitStalled:
		m.handleCommitStalled(now, e)
	case PeerView:
		m.handlePeerView(e)
	case OrderCompleted:
		m.handleOrderCompleted(now, e)
	case Drained:
		m.handleDrained(now, e)
	case Refreshed:
		if m.switchover == nil && m.attempt == nil && e.Term >= m.primaryTerm {
			m.releaseTransactions(now)
		}
	case SwitchoverRequest:
		m.handleSwitchoverRequest(now, e)
	case OwnershipChanged:
		m.setOwnership(now, e)
	}
}

// advance lets the activity in progress, or the absence of one, take its next step.
func (m *Machine) advance(now time.Time) {
	switch {
	case m.attempt != nil:
		m.advanceAttempt(now)
	case m.switchover != nil:
		m.advanceSwitchover(now)
	case m.rank != NotOwner:
		m.checkGroup(now)
	}
}

// own changes the rank. A host that stops owning the database gives up a
// switchover that has not fenced anything; a fencing attempt is completed,
// because it may have stopped the old primary.
func (m *Machine) setOwnership(now time.Time, e OwnershipChanged) {
	m.rank, m.hasPeer = e.Rank, e.HasPeer
	if m.rank == NotOwner && m.switchover != nil && m.attempt == nil {
		m.abortSwitchover(now, ErrNotOwner)
	}
}

func (m *Machine) observeTerm(t group.Term) { m.highestTerm = max(m.highestTerm, t) }

// wake makes NextDeadline at most t.
func (m *Machine) scheduleWake(t time.Time) {
	if m.deadline.IsZero() || t.Before(m.deadline) {
		m.deadline = t
	}
}

// passed reports whether t has come, and otherwise asks to be woken then.
func (m *Machine) deadlinePassed(now, t time.Time) bool {
	if now.Before(t) {
		m.scheduleWake(t)
		return false
	}
	return true
}

func (m *Machine) emit(c Command) { m.commands = append(m.commands, c) }

func (m *Machine) record(now time.Time, a Action, slot int, term group.Term, reason string) {
	r := Record{At: now, Action: a, Reason: reason, Term: term}
	if slot >= 0 {
		r.Slot = m.cfg.Slots[slot].ID
	}
	m.emit(r)
}

func (m *Machine) quorum() int      { return group.Quorum(len(m.slots)) }
func (m *Machine) fenceQuorum() int { return group.FenceQuorum(len(m.slots)) }

// detection is the shortest silence that raises a suspicion.
func (m *Machine) minDetectionTime() time.Duration {
	return time.Duration(m.cfg.Misses) * m.cfg.ProbeSuspect
}

func (m *Machine) rankWait() time.Duration { return time.Duration(max(m.rank, 0)) * rankDelay }
