// Package lease elects the host that may perform a task, by a lease with a
// fencing token.
//
// A lease is one object in the store. Its holder renews it by conditional
// writes. Another host takes it over after it has seen the same revision for
// longer than Duration. The clocks of hosts are never compared. Each new holder,
// and each new incarnation of a holder, claims the lease by a conditional write.
// The token follows from the revision that this write replaced, so no two of them
// share a token.
// Duration only decides when to take over: a call that a former holder still sends
// is refused because of its token.
//
// The store may go back to an older copy of itself, see objects.Revision. A record
// that was claimed in an earlier era of the store holds no lease, since later
// holders may have been forgotten. The host whose own lease is still valid claims it
// again at once; no other host can have taken it over. Others wait for Duration.
//
// A holder that cannot reach the store continues with its token. It learns that
// it was replaced when one of its calls is refused or the store answers again.
package lease

import (
	"slices"
	"time"

	"github.com/gypsumgap/gypsumgap/core/objects"
)

// The timing of a lease.
const (
	// RenewInterval is the time between renewals.
	RenewInterval = time.Second
	// Duration is how long a lease is valid without a renewal.
	Duration = 2500 * time.Millisecond
	// ConfirmAge is the age of the last renewal beyond which a holder renews
	// before it acts, because it may have been suspended.
	ConfirmAge = 2 * time.Second
	// PredecessorPeriod is how long a holder keeps the names of earlier holders in
	// the record.
	PredecessorPeriod = 15 * time.Second
	// UnknownHolder stands in Record.Predecessors for holders that the store may have
	// forgotten when it went back to an older copy.
	UnknownHolder = "?"
	// maxPredecessors is the maximum number of names kept. Takeovers are at least
	// Duration apart, so more of them do not fit into PredecessorPeriod.
	maxPredecessors = 8
)

// Record is the stored form of a lease.
type Record struct {
	// Holder is the name of the holding host; empty if no host holds the lease.
	Holder string `json:"holder"`
	// Incarnation distinguishes successive processes of the same host.
	Incarnation string `json:"incarnation"`
	// Token is the fencing token.
	Token uint64 `json:"token"`
	// Era is the era of the store in which the holder took the lease.
	Era uint64 `json:"era,omitempty"`
	// Renewal increases with each write, so that a renewal changes the record.
	Renewal uint64 `json:"renewal"`
	// Predecessors holds the hosts that held the lease before and may not know yet
	// that they lost it. A holder removes them after PredecessorPeriod.
	Predecessors []string `json:"predecessors,omitempty"`
}

// Action is what the caller of Machine.Next has to do.
type Action int

// The actions.
const (
	// None means that nothing is due.
	None Action = iota
	// Write means to write the record if the stored revision is the expected one.
	Write
)

// Machine is the state of a lease as one host knows it. It is not safe for
// concurrent use. Its times must come from a clock that also advances while the
// host is suspended.
type Machine struct {
	host, incarnation string
	takeoverDelay     time.Duration

	record   Record
	revision objects.Revision
	known    bool
	// revisionSeenAt is when the revision was first seen.
	revisionSeenAt time.Time
	renewedAt      time.Time
	// claimedAt is when this process was first seen as the holder.
	claimedAt time.Time
	// raisePending is true from RaiseToken until a higher token is stored.
	raisePending bool
}

// New returns a machine for one process of a host. The delay is added to Duration
// before a takeover; it should differ between hosts, so that they do not all
// attempt it at the same time.
func New(host, incarnation string, delay time.Duration) *Machine {
	return &Machine{host: host, incarnation: incarnation, takeoverDelay: delay}
}

// Observe processes the stored record. Number 0 of the revision means that there is
// none. A revision older than the known one is ignored.
func (m *Machine) Observe(now time.Time, record Record, revision objects.Revision) {
	if m.known && revision < m.revision {
		return
	}
	if !m.known || revision != m.revision {
		m.revisionSeenAt = now
	}
	if record.Token != m.record.Token {
		m.raisePending = false
	}
	wasHolding := m.Holding()
	m.record, m.revision, m.known = record, revision, true
	if m.Holding() && !wasHolding {
		m.claimedAt = now
	}
	if !m.Holding() && !m.isOutdated() {
		m.renewedAt = time.Time{}
	}
}

// isOutdated reports whether the known record is from an earlier era of the store.
func (m *Machine) isOutdated() bool { return m.record.Era != m.revision.Era() }

// ObserveWrite processes a write that the store accepted. The lease counts as
// renewed at sent, when the write was sent.
func (m *Machine) ObserveWrite(now, sent time.Time, record Record, revision objects.Revision) {
	m.Observe(now, record, revision)
	if m.Holding() && m.revision == revision {
		m.renewedAt = sent
	}
}

// Holding reports whether this process is the holder according to the last known
// record.
func (m *Machine) Holding() bool {
	return m.known && m.record.Holder == m.host && m.record.Incarnation == m.incarnation && !m.isOutdated()
}

// Token returns the fencing token in the last known record.
func (m *Machine) Token() uint64 { return m.record.Token }

// Holder returns the name of the host that holds the lease, or an empty string if
// there is none.
func (m *Machine) Holder() string { return m.record.Holder }

// ClaimedAt returns when this process was first seen as the holder. It is valid
// while Holding.
func (m *Machine) ClaimedAt() time.Time { return m.claimedAt }

// RenewedAt returns when the last renewal was sent, or the zero time if a renewal
// is required.
func (m *Machine) RenewedAt() time.Time { return m.renewedAt }

// Era returns the era of the store in which the last known record was read.
func (m *Machine) Era() uint64 { return m.revision.Era() }

// Predecessors returns the names of the earlier holders in the last known record.
func (m *Machine) Predecessors() []string { return m.record.Predecessors }

// Confirmed reports whether this process holds the lease and renewed it within
// ConfirmAge.
func (m *Machine) Confirmed(now time.Time) bool {
	return m.Holding() && now.Sub(m.renewedAt) < ConfirmAge
}

// Expired reports whether this process last renewed the lease at least Duration
// ago, so that another host may hold it by now.
func (m *Machine) Expired(now time.Time) bool { return now.Sub(m.renewedAt) >= Duration }

// Next returns the write that is due and the revision that it must replace, or
// None if nothing is due.
func (m *Machine) Next(now time.Time) (Action, Record, objects.Revision) {
	if !m.known {
		return None, Record{}, 0
	}
	if m.Holding() {
		if m.raisePending {
			return Write, m.nextClaim(now), m.revision
		}
		if now.Sub(m.renewedAt) < RenewInterval {
			return None, Record{}, 0
		}
		next := m.record
		next.Renewal++
		if now.Sub(m.claimedAt) >= PredecessorPeriod {
			next.Predecessors = nil
		}
		return Write, next, m.revision
	}
	if !m.canTakeOver(now) {
		return None, Record{}, 0
	}
	return Write, m.nextClaim(now), m.revision
}

// canTakeOver reports whether this host may take the lease over. A lease without
// a holder is claimed after a quarter of the takeover delay, and one of an earlier
// process of this host at once. An outdated record does not tell who held the lease
// last.
func (m *Machine) canTakeOver(now time.Time) bool {
	if m.isOutdated() {
		return m.CanReclaim(now) || now.Sub(m.revisionSeenAt) >= Duration+m.takeoverDelay
	}
	switch m.record.Holder {
	case "":
		return now.Sub(m.revisionSeenAt) >= m.takeoverDelay/4
	case m.host:
		return true
	default:
		return now.Sub(m.revisionSeenAt) >= Duration+m.takeoverDelay
	}
}

// CanReclaim reports whether the store forgot that this process holds the lease, but
// no other host can have taken it over, since the last renewal is not older than
// Duration.
func (m *Machine) CanReclaim(now time.Time) bool {
	return m.known && m.isOutdated() && !m.renewedAt.IsZero() && !m.Expired(now)
}

// nextClaim returns the record by which this process takes the lease with a higher
// token.
func (m *Machine) nextClaim(now time.Time) Record {
	return Record{Holder: m.host, Incarnation: m.incarnation, Token: max(m.record.Token, uint64(m.revision)) + 1,
		Era: m.revision.Era(), Renewal: m.record.Renewal + 1, Predecessors: m.nextPredecessors(now)}
}

// nextPredecessors returns the predecessors of the next claim of this host.
func (m *Machine) nextPredecessors(now time.Time) []string {
	var out []string
	earlier := append(slices.Clone(m.record.Predecessors), m.record.Holder)
	if m.isOutdated() && m.record.Renewal > 0 && !m.CanReclaim(now) {
		earlier = append(earlier, UnknownHolder)
	}
	for _, name := range earlier {
		if name != "" && name != m.host && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out[max(0, len(out)-maxPredecessors):]
}

// RaiseToken makes the holder take a higher token with its next write, which is
// due at once. A call with the old token that is still in flight is then refused
// if it arrives after a call with the new token.
func (m *Machine) RaiseToken() { m.raisePending = true }

// Release returns the record that gives the lease up and the revision that the
// write must replace.
func (m *Machine) Release() (Record, objects.Revision) {
	return Record{Token: m.record.Token, Era: m.record.Era, Renewal: m.record.Renewal + 1, Predecessors: m.record.Predecessors}, m.revision
}

// RequireRenewal makes Confirmed false until the next renewal. It is called when a
// call of the holder was refused, which may mean that another host has taken over.
func (m *Machine) RequireRenewal() { m.renewedAt = time.Time{} }
