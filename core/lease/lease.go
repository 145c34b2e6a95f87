// Package lease decides which host holds a duty.
//
// A lease is one object of the store. Its holder renews it by conditional
// writes; another host takes it over when it has seen the same revision for
// longer than the lease lasts. Clocks of hosts are never compared. Each new
// holder, and each new incarnation of a holder, raises the fencing token by a
// conditional write, so no two of them share a token. The duration only decides
// when to take over: whatever a former holder still sends is refused by its
// token.
//
// A holder that cannot reach the store goes on with its token. It learns that
// it was replaced from the refusal of its calls or when the store answers.
package lease

import "time"

// The timing of a lease.
const (
	// RenewInterval separates renewals.
	RenewInterval = time.Second
	// Duration is how long a lease lasts without a renewal.
	Duration = 2500 * time.Millisecond
	// ConfirmAge is the age of the last renewal beyond which a holder renews
	// before it acts, because it may have been suspended.
	ConfirmAge = 2 * time.Second
)

// Record is the stored form of a lease.
type Record struct {
	Holder string `json:"holder"`
	// Incarnation tells processes of the same host apart.
	Incarnation string `json:"incarnation"`
	Token       uint64 `json:"token"`
	// Renewal changes with each write, so that a renewal is visible.
	Renewal uint64 `json:"renewal"`
}

// Action is what the machine wants done.
type Action int

// The actions.
const (
	None Action = iota
	// Write asks to write the record under the expected revision.
	Write
)

// Machine is the lease as seen by one host. It is not safe for concurrent use.
// The times it is given must also count while the host is suspended.
type Machine struct {
	host, incarnation string
	takeoverDelay     time.Duration

	record   Record
	revision uint64
	known    bool
	// since is when the revision was first seen.
	revisionSeenAt time.Time
	renewedAt      time.Time
	// raise is set until a higher token is stored.
	raisePending bool
}

// New returns a machine for a host. The delay is added to the duration before
// a takeover, so that not all hosts attempt it at once.
func New(host, incarnation string, delay time.Duration) *Machine {
	return &Machine{host: host, incarnation: incarnation, takeoverDelay: delay}
}

// Observe takes the stored record; revision 0 means that there is none.
func (m *Machine) Observe(now time.Time, record Record, revision uint64) {
	if m.known && revision < m.revision {
		return
	}
	if !m.known || revision != m.revision {
		m.revisionSeenAt = now
	}
	if record.Token != m.record.Token {
		m.raisePending = false
	}
	m.record, m.revision, m.known = record, revision, true
}

// ObserveWrite takes the result of a write that was accepted; sent is when it was sent.
func (m *Machine) ObserveWrite(now, sent time.Time, record Record, revision uint64) {
	m.Observe(now, record, revision)
	if m.record.Holder == m.host && m.record.Incarnation == m.incarnation && m.revision == revision {
		m.renewedAt = sent
	}
}

// Holding reports whether this process is the holder as far as it knows.
func (m *Machine) Holding() bool {
	return m.known && m.record.Holder == m.host && m.record.Incarnation == m.incarnation
}

// Token returns the fencing token of the holder.
func (m *Machine) Token() uint64 { return m.record.Token }

// Holder returns the host that holds the lease; empty for none.
func (m *Machine) Holder() string { return m.record.Holder }

// Confirmed reports whether the lease was renewed lately.
func (m *Machine) Confirmed(now time.Time) bool {
	return m.Holding() && now.Sub(m.renewedAt) < ConfirmAge
}

// Expired reports whether the lease was not renewed for so long that another
// host may hold it by now.
func (m *Machine) Expired(now time.Time) bool { return now.Sub(m.renewedAt) >= Duration }

// Next returns the write that is due, with the revision to expect.
func (m *Machine) Next(now time.Time) (Action, Record, uint64) {
	if !m.known {
		return None, Record{}, 0
	}
	if m.Holding() {
		if m.raisePending {
			return Write, m.nextClaim(), m.revision
		}
		if now.Sub(m.renewedAt) < RenewInterval {
			return None, Record{}, 0
		}
		next := m.record
		next.Renewal++
		return Write, next, m.revision
	}
	if !m.canTakeOver(now) {
		return None, Record{}, 0
	}
	return Write, m.nextClaim(), m.revision
}

// vacant reports whether the lease may be taken over.
func (m *Machine) canTakeOver(now time.Time) bool {
	switch m.record.Holder {
	case "":
		return now.Sub(m.revisionSeenAt) >= m.takeoverDelay/4
	case m.host:
		return true
	default:
		return now.Sub(m.revisionSeenAt) >= Duration+m.takeoverDelay
	}
}

func (m *Machine) nextClaim() Record {
	return Record{Holder: m.host, Incarnation: m.incarnation, Token: m.record.Token + 1, Renewal: m.record.Renewal + 1}
}

// RaiseToken makes the holder take a higher token with its next write, which is due
// at once, so that a call with the present one that is still under way is
// refused when it arrives after a call with the new one.
func (m *Machine) RaiseToken() { m.raisePending = true }

// Release returns the write that gives the lease up.
func (m *Machine) Release() (Record, uint64) {
	return Record{Token: m.record.Token, Renewal: m.record.Renewal + 1}, m.revision
}

// RequireRenewal makes the holder renew before it acts again, because a call of its was
// refused.
func (m *Machine) RequireRenewal() { m.renewedAt = time.Time{} }
