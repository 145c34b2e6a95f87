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
	refusalGap = 100 * time.Millisecond
	// fenceTimeout bounds an attempt from its first fence to enough grants.
	fenceTimeout = 500 * time.Millisecond
	// grantGrace is how long an attempt with enough grants waits for further
	// slots, whose longer log spares callers unknown outcomes.
	grantGrace = 50 * time.Millisecond
	// promoteRetryGap separates repetitions of a promotion without an answer.
	promoteRetryGap = 100 * time.Millisecond
	promoteTries    = 4
	// firstBackoff and lastBackoff bound the mean delay after a failed attempt.
	firstBackoff = 200 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// followGap separates follow orders to the same slot.
	followGap = 500 * time.Millisecond
	// strayAfter is how long a slot may stay at a newer term than the primary,
	// or at an older log term, before it is repaired.
	strayAfter = time.Second
	// holdBound is the longest wait for running transactions in a switchover.
	holdBound = 150 * time.Millisecond
	// catchUpBound is the longest wait for the successor to receive everything.
	catchUpBound = 100 * time.Millisecond
	// catchUpGap separates probes during that wait.
	catchUpGap = time.Millisecond
	// holdLimit releases held transactions even if no primary was found.
	holdLimit = 2 * time.Second
	// autoRetry separates automatic switchovers that fail.
	autoRetry = time.Second
	// ageMargin stretches the idle probe interval, so that the tracker's refresh
	// rounds at that interval serve as the probes.
	ageMargin = 8
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
	cfg   Config
	rank  int
	peer  bool
	slots []slotInfo
	// seen is the highest term in any answer or order.
	seen group.Term

	watched     int
	watchedTerm group.Term
	suspicion   suspicion
	stalled     CommitStalled
	stalledAt   time.Time
	vacantSince time.Time
	vacantSeen  group.Term
	straySince  time.Time

	attempts  uint64
	attempt   *attempt
	notBefore time.Time
	failures  int

	change       *change
	leavingSince time.Time
	autoAt       time.Time
	heldAt       time.Time
	// finished answers the switchover request once transactions are released.
	finished *SwitchoverResult
	out      []Command
	deadline time.Time
}

// slotInfo is what the machine knows of one slot.
type slotInfo struct {
	known    bool
	status   group.Status
	sent     time.Time
	answered time.Time
	missed   time.Time
	heard    time.Time
	probing  bool
	probed   time.Time
	wanted   bool
	followed time.Time
	behind   time.Time
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
	return &Machine{cfg: c, rank: NotOwner, watched: -1, slots: make([]slotInfo, len(c.Slots))}
}

// Step takes an event and returns the commands to run, in order. Events must be
// given in the order of now.
func (m *Machine) Step(now time.Time, ev Event) []Command {
	m.out, m.deadline = nil, time.Time{}
	m.take(now, ev)
	m.watch(now)
	m.advance(now)
	m.probe(now)
	m.limitHold(now)
	return m.out
}

// NextDeadline returns when Step is to be called with a Tick if no event comes
// before; the zero time for never.
func (m *Machine) NextDeadline() time.Time { return m.deadline }

// Primary returns the index of the slot that is the primary as far as the
// machine knows, whether or not it answers, and its term.
func (m *Machine) Primary() (slot int, term group.Term, ok bool) {
	return m.watched, m.watchedTerm, m.watched >= 0
}

// LastAnswer returns when the slot last answered; the zero time for never.
func (m *Machine) LastAnswer(slot int) time.Time {
	s := &m.slots[slot]
	if s.heard.After(s.answered) {
		return s.heard
	}
	return s.answered
}

func (m *Machine) take(now time.Time, ev Event) {
	switch e := ev.(type) {
	case ProbeAnswered:
		m.answered(now, e)
	case ProbeMissed:
		m.missed(now, e)
	case Heartbeat:
		m.heard(e)
	case TrafficFailed:
		m.slots[e.Slot].wanted = true
	case CommitStalled:
		m.stall(now, e)
	case PeerView:
		m.viewed(e)
	case OrderCompleted:
		m.ordered(now, e)
	case Drained:
		m.drained(now, e)
	case Refreshed:
		if m.change == nil && m.attempt == nil && e.Term >= m.watchedTerm {
			m.release(now)
		}
	case SwitchoverRequest:
		m.request(now, e)
	case OwnershipChanged:
		m.own(now, e)
	}
}

// advance lets the activity in progress, or the absence of one, take its next step.
func (m *Machine) advance(now time.Time) {
	switch {
	case m.attempt != nil:
		m.advanceAttempt(now)
	case m.change != nil:
		m.advanceChange(now)
	case m.rank != NotOwner:
		m.judge(now)
	}
}

// own changes the rank. A host that stops owning the database gives up a
// switchover that has not fenced anything; a fencing attempt is completed,
// because it may have stopped the old primary.
func (m *Machine) own(now time.Time, e OwnershipChanged) {
	m.rank, m.peer = e.Rank, e.HasPeer
	if m.rank == NotOwner && m.change != nil && m.attempt == nil {
		m.endChange(now, ErrNotOwner)
	}
}

func (m *Machine) learn(t group.Term) { m.seen = max(m.seen, t) }

// wake makes NextDeadline at most t.
func (m *Machine) wake(t time.Time) {
	if m.deadline.IsZero() || t.Before(m.deadline) {
		m.deadline = t
	}
}

// passed reports whether t has come, and otherwise asks to be woken then.
func (m *Machine) passed(now, t time.Time) bool {
	if now.Before(t) {
		m.wake(t)
		return false
	}
	return true
}

func (m *Machine) emit(c Command) { m.out = append(m.out, c) }

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
func (m *Machine) detection() time.Duration {
	return time.Duration(m.cfg.Misses) * m.cfg.ProbeSuspect
}

func (m *Machine) rankWait() time.Duration { return time.Duration(max(m.rank, 0)) * rankDelay }
