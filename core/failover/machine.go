// Package failover decides when a replication group gets a new primary, and
// which slot becomes it.
//
// A slot is the place of one backend server in the group. A host that acts on a
// database is an owner of it; a database can have several owners at a time.
//
// Machine is a deterministic state machine for one database that takes events
// and returns commands. To change the primary, it fences the slots at a term one
// above the highest that it knows: a slot that grants the fence accepts no order
// of an older term from then on. Let g be group.FenceQuorum. With g grants every
// durable commit is in the log of a granting slot, and no second driver can have
// g grants at that term. Any granting slot whose log is at least as long as those
// of g granting slots may then be promoted. The machine takes the longest log
// unless that slot is leaving or is the primary being replaced. At most one slot
// is ever sent a promotion at a term. Safety depends on terms alone; clocks only
// decide when to act.
//
// Driver runs the commands and passes the results back as events.
package failover

import (
	"math/rand/v2"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

const (
	// rankDelay is how much longer each owner waits before it acts than the owner
	// of the next lower rank, so that normally only one of them does.
	rankDelay = 400 * time.Millisecond
	// refusalInterval is the shortest time between two refused connections that
	// both count as evidence against the primary.
	refusalInterval = 100 * time.Millisecond
	// fenceTimeout limits the time from the first fence of an attempt until it has
	// enough grants.
	fenceTimeout = 500 * time.Millisecond
	// grantGracePeriod is how long an attempt with enough grants waits for further
	// slots. Promoting a longer log leaves fewer callers with an unknown outcome.
	grantGracePeriod = 50 * time.Millisecond
	// promoteRetryInterval is the wait before a promotion without an answer is
	// sent again.
	promoteRetryInterval = 100 * time.Millisecond
	// maxPromoteTries limits how often a promotion is sent.
	maxPromoteTries = 4
	// minBackoff is the lower limit of the mean delay after a failed attempt, which
	// doubles with each failure in a row.
	minBackoff = 200 * time.Millisecond
	// maxBackoff is the upper limit of that mean delay.
	maxBackoff = 2 * time.Second
	// followInterval is the shortest time between follow orders to the same slot.
	followInterval = 500 * time.Millisecond
	// repairDelay is how long a slot may stay at a newer term than the primary, or
	// at an older log term, before it is repaired.
	repairDelay = time.Second
	// drainTimeout limits the wait for running transactions in a switchover.
	drainTimeout = 150 * time.Millisecond
	// catchUpTimeout limits the wait until the successor has received the whole log
	// of the old primary.
	catchUpTimeout = 100 * time.Millisecond
	// catchUpProbeInterval is the shortest time between probes during the wait that
	// catchUpTimeout limits.
	catchUpProbeInterval = time.Millisecond
	// maxHold is how long transactions are held at most. They are then released
	// even if there is no primary.
	maxHold = 2 * time.Second
	// autoSwitchoverInterval is the shortest time between automatic switchovers.
	autoSwitchoverInterval = time.Second
	// idleMarginDivisor sets the fraction by which the idle probe interval is
	// extended, 1/8 of it. The tracker refreshes all positions at the unextended
	// interval, and its requests then serve as the probes.
	idleMarginDivisor = 8
)

// Config configures a Machine.
type Config struct {
	// Slots are the slots of the group; there must be at least one.
	Slots []group.Slot
	// ProbeIdle is the interval between probes of a slot, 1 s by default.
	// ProbeSuspect, 250 ms by default, replaces it while the primary is suspected or
	// missing; it is also the time-out of a probe.
	ProbeIdle, ProbeSuspect time.Duration
	// Misses is the number of missed probes that confirms a suspicion; 3 by
	// default.
	Misses int
	// Rand is the source of random retry delays. It must not be nil.
	Rand *rand.Rand
}

// Machine is the failover state machine of one database. It is not safe for
// concurrent use.
type Machine struct {
	cfg     Config
	rank    int
	hasPeer bool
	slots   []slotInfo
	// highestTerm is the highest term in any answer, or used in any order.
	highestTerm group.Term

	// primary is the index of the primary's slot, or -1 if none is known.
	primary int
	// primaryTerm is the term of the primary.
	primaryTerm group.Term
	suspicion   suspicion
	// commitStall is the latest CommitStalled event.
	commitStall CommitStalled
	// commitStalledAt is when commitStall was received.
	commitStalledAt time.Time
	// noPrimarySince is since when the group has had no primary that can commit.
	noPrimarySince time.Time
	// noPrimaryTerm is the highest term at noPrimarySince, or the term of an attempt
	// started since. A higher term restarts the wait from noPrimarySince.
	noPrimaryTerm group.Term
	// newerTermSince is since when a slot has been at a newer term than the primary.
	newerTermSince time.Time

	// lastAttemptID is the last ID given to an attempt or a hold of transactions.
	lastAttemptID uint64
	// attempt is the attempt in progress, or nil.
	attempt *attempt
	// nextAttemptAt is the earliest time of the next attempt.
	nextAttemptAt time.Time
	// failedAttempts counts the failed attempts in a row.
	failedAttempts int

	switchover *switchover
	// leavingSince is since when the primary has reported that it is leaving.
	leavingSince time.Time
	// nextAutoSwitchover is the earliest time of the next automatic switchover.
	nextAutoSwitchover time.Time
	// heldSince is since when transactions are held, or zero if they are not.
	heldSince time.Time
	// pendingResult answers the switchover request once transactions are released.
	pendingResult *SwitchoverResult
	commands      []Command
	deadline      time.Time
}

// slotInfo is what the machine knows about one slot.
type slotInfo struct {
	// known is true once the slot has reported a status.
	known bool
	// status is the latest status; it is valid if known is true.
	status group.Status
	// statusSentAt is when the request that status answers was sent.
	statusSentAt time.Time
	// statusReceivedAt is when status was received.
	statusReceivedAt time.Time
	// lastMissSentAt is when the last missed probe was sent.
	lastMissSentAt time.Time
	lastHeartbeat  time.Time
	probeInFlight  bool
	lastProbeAt    time.Time
	// probeRequested is true if a probe is due before the regular interval ends.
	probeRequested bool
	// lastFollowAt is when the slot was last ordered to follow.
	lastFollowAt time.Time
	// notFollowingSince is since when the slot has not received from the primary.
	notFollowingSince time.Time
}

// New returns a machine that is not an owner until it gets an
// OwnershipChanged event.
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

// Step processes an event and returns the commands to run, in order. The value
// of now must not decrease from call to call.
func (m *Machine) Step(now time.Time, ev Event) []Command {
	m.commands, m.deadline = nil, time.Time{}
	m.handleEvent(now, ev)
	m.updatePrimary(now)
	m.advance(now)
	m.sendDueProbes(now)
	m.enforceMaxHold(now)
	return m.commands
}

// NextDeadline returns when Step must be called with a Tick if no event comes
// earlier, or the zero time if there is no deadline.
func (m *Machine) NextDeadline() time.Time { return m.deadline }

// Primary returns the index and the term of the slot that the machine knows as
// the primary, whether or not it answers. It returns false if no primary is known.
func (m *Machine) Primary() (slot int, term group.Term, ok bool) {
	return m.primary, m.primaryTerm, m.primary >= 0
}

// LastAnswer returns when the slot last answered a probe or other traffic, or the
// zero time if it never did.
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

// advance continues the attempt or switchover in progress. If there is none, an
// owner checks whether the group needs one.
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

// setOwnership changes the rank. A host that is no longer an owner aborts a
// switchover that has not fenced any slot. It completes an attempt that has begun
// to fence, because that may have stopped the old primary.
func (m *Machine) setOwnership(now time.Time, e OwnershipChanged) {
	m.rank, m.hasPeer = e.Rank, e.HasPeer
	if m.rank == NotOwner && m.switchover != nil && m.attempt == nil {
		m.abortSwitchover(now, ErrNotOwner)
	}
}

func (m *Machine) observeTerm(t group.Term) { m.highestTerm = max(m.highestTerm, t) }

// scheduleWake makes NextDeadline return t or an earlier time.
func (m *Machine) scheduleWake(t time.Time) {
	if m.deadline.IsZero() || t.Before(m.deadline) {
		m.deadline = t
	}
}

// deadlinePassed reports whether t has come, and otherwise schedules a wake-up at t.
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

func (m *Machine) quorum() int      { return group.CommitQuorum(len(m.slots)) }
func (m *Machine) fenceQuorum() int { return group.FenceQuorum(len(m.slots)) }

// minDetectionTime is the shortest silence of a primary that confirms a suspicion.
func (m *Machine) minDetectionTime() time.Duration {
	return time.Duration(m.cfg.Misses) * m.cfg.ProbeSuspect
}

// rankWait is how long this owner leaves to the owners of lower ranks to act.
func (m *Machine) rankWait() time.Duration { return time.Duration(max(m.rank, 0)) * rankDelay }
