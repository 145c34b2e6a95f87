// Package writelease keeps the writes of all hosts away from a replaced primary
// on platforms that do not stop it: there, a primary that is cut off from its
// successor continues to accept writes.
//
// Each host may use primaries only while it holds a write lease. The lease covers
// all services and is renewed by a proof: a consistent read of the stored
// revocations, or the word of the holder of the promotion duty, each made no
// longer than Duration ago. Hosts pass proofs on to each other with their ages
// and with the revocations known at the time, so most hosts need no call to the
// store. While the store is down, the holder vouches for VouchPeriod after its
// last renewal.
//
// Before a primary is replaced, the holder stores a revocation of it, sends the
// revocation to the other hosts and waits until Progress.Complete: the primary has
// stepped down, or every host has confirmed the revocation, or every lease that
// was renewed without knowledge of the revocation has expired. A revocation covers
// all servers of a service up to a term, since a holder need not know every server
// that believes to be the primary. The successor leads a higher term. Revocations
// are merged by taking the higher term and are never withdrawn, so the order in
// which they arrive does not matter.
//
// The store may go back to an older copy of itself and forget revocations and
// registrations. Proofs and registrations belong to an era of the store, see
// objects.Revision, and a proof renews the lease of a host only if both are of the
// same era. A lease that was renewed before keeps its duration, so the holder waits
// for it. Revocations that hosts remember are written back before the store proves
// leases again.
//
// Times are those of one host's clock, which must also advance while the host is
// suspended. The clocks of hosts are never compared: ages count from when the
// request for a proof was sent.
package writelease

import (
	"maps"
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// The timing of write leases.
const (
	// Duration is how long a proof allows a host to use primaries.
	Duration = 2500 * time.Millisecond
	// SendMargin is the time beyond Duration that the holder waits, so that
	// statements sent at the end of a lease have been executed.
	SendMargin = 500 * time.Millisecond
	// VouchPeriod is how long after its last renewal of the promotion lease a
	// holder vouches that it has ordered no promotion.
	VouchPeriod = 10 * time.Second
	// RenewInterval is the time between renewals of a lease.
	RenewInterval = 600 * time.Millisecond
	// RegistrationValidity is how long after the last renewal of its registration
	// a host may use primaries. A holder counts hosts that have not renewed theirs
	// for longer as dead.
	RegistrationValidity = 70 * time.Second
)

// Revocations holds the highest revoked term by service. No server may be used as
// the primary of the service in that term or an earlier one.
type Revocations map[string]group.Term

// Merge adds the revocations of other.
func (r Revocations) Merge(other Revocations) {
	for service, term := range other {
		r[service] = max(r[service], term)
	}
}

// Contains reports whether the term of the service is revoked. Term 0 stands for
// an unknown term.
func (r Revocations) Contains(service string, term group.Term) bool {
	revoked, known := r[service]
	return known && term <= revoked
}

// Proof is a proof that no primary was replaced without the revocations.
type Proof struct {
	// RequestedAt is not later than the time at which the proof was made.
	RequestedAt time.Time
	// Era is the era of the store in which it was made.
	Era uint64
	// Revoked holds the revocations known at the time.
	Revoked Revocations
}

// Lease is the write lease of one host. It is safe for concurrent use.
type Lease struct {
	mu sync.Mutex
	// proof is the latest proof of the latest era, to be passed on.
	proof Proof
	// renewedAt is the time of the latest proof that renewed the lease.
	renewedAt time.Time
	revoked   Revocations
	// registeredEra is the era in which the registration was written.
	registeredEra uint64
	// registeredAt is when the last successful write of the registration was sent.
	registeredAt time.Time
	// registeredSince is when the host was first known to be registered, without a
	// gap of RegistrationValidity since. Earlier proofs are not accepted: a holder
	// may have listed the hosts before, and not have asked this one.
	registeredSince time.Time
}

// New returns a lease that has not been renewed yet.
func New() *Lease { return &Lease{revoked: Revocations{}} }

// SetRegistered records a successful write of the host's registration, which was
// sent and confirmed at the given times, in an era of the store.
func (l *Lease) SetRegistered(sentAt, confirmedAt time.Time, era uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case era < l.registeredEra:
		return
	case sentAt.Sub(l.registeredAt) >= RegistrationValidity:
		l.registeredSince = confirmedAt
		l.renewedAt = time.Time{}
	case era > l.registeredEra:
		l.registeredSince = confirmedAt
	}
	l.registeredAt, l.registeredEra = sentAt, era
}

// IsRegistered reports whether the registration of the host is valid.
func (l *Lease) IsRegistered(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.registeredAt) < RegistrationValidity
}

// Renew extends the lease by a proof and records the revocations that came with
// it. A proof from before the registration, or of another era, does not extend it.
func (l *Lease) Renew(p Proof) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked.Merge(p.Revoked)
	if p.Era > l.proof.Era || p.Era == l.proof.Era && p.RequestedAt.After(l.proof.RequestedAt) {
		l.proof = Proof{RequestedAt: p.RequestedAt, Era: p.Era}
	}
	if p.Era == l.registeredEra && !p.RequestedAt.Before(l.registeredSince) && p.RequestedAt.After(l.renewedAt) {
		l.renewedAt = p.RequestedAt
	}
}

// Revoke records revocations.
func (l *Lease) Revoke(revoked Revocations) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revoked.Merge(revoked)
}

// Allows reports whether a statement may be sent now to a server that is the
// primary of the service in the term; 0 if its term is unknown.
func (l *Lease) Allows(now time.Time, service string, term group.Term) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.valid(now) && !l.revoked.Contains(service, term)
}

// Valid reports whether the host may use primaries that are not revoked.
func (l *Lease) Valid(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.valid(now)
}

func (l *Lease) valid(now time.Time) bool {
	return now.Sub(l.renewedAt) < Duration && now.Sub(l.registeredAt) < RegistrationValidity
}

// IsRevoked reports whether the term of the service is revoked.
func (l *Lease) IsRevoked(service string, term group.Term) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revoked.Contains(service, term)
}

// Age returns the age of the latest proof.
func (l *Lease) Age(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Sub(l.proof.RequestedAt)
}

// Proof returns the latest proof with all known revocations, to be passed on to
// another host.
func (l *Lease) Proof() Proof {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Proof{RequestedAt: l.proof.RequestedAt, Era: l.proof.Era, Revoked: maps.Clone(l.revoked)}
}

// CanVouch reports whether a holder that last renewed the promotion lease at
// renewedAt may prove the leases of other hosts by its word.
func CanVouch(now, renewedAt time.Time) bool { return now.Sub(renewedAt) < VouchPeriod }

// Progress is what the holder knows about the spread of a revocation.
type Progress struct {
	// SteppedDown is true if the primary confirmed that it is a replica now.
	SteppedDown bool
	// RecordedAt is when both the store and the holder had recorded the revocation;
	// zero before that.
	RecordedAt time.Time
	// HostsListed is true if the hosts were listed after RecordedAt, and Unconfirmed
	// the number of them that have not confirmed the revocation.
	HostsListed bool
	Unconfirmed int
	// SilentPredecessor is true if an earlier holder that may still vouch has not
	// confirmed the revocation. PredecessorsConfirmedAt is when the last of them
	// did; zero if there was none.
	SilentPredecessor       bool
	PredecessorsConfirmedAt time.Time
	// EraSeenAt is when this host first saw the present era of the store. The list lacks
	// hosts that the store has forgotten, whose leases may be valid for Duration more.
	EraSeenAt time.Time
	// TookOverAt is when this host took over the promotion duty.
	TookOverAt time.Time
}

// Complete reports whether no host will use the revoked primary any more.
func (p Progress) Complete(now time.Time) bool {
	switch {
	case p.SteppedDown:
		return true
	case p.RecordedAt.IsZero():
		return false
	case p.HostsListed && p.Unconfirmed == 0 && now.Sub(p.EraSeenAt) >= Duration+SendMargin:
		return true
	default:
		return now.Sub(p.lastProofAt()) >= Duration+SendMargin
	}
}

// lastProofAt returns the time after which no host or store can have proved a
// lease without knowledge of the revocation.
func (p Progress) lastProofAt() time.Time {
	last := p.RecordedAt
	if p.PredecessorsConfirmedAt.After(last) {
		last = p.PredecessorsConfirmedAt
	}
	if vouchEnd := p.TookOverAt.Add(VouchPeriod); p.SilentPredecessor && vouchEnd.After(last) {
		last = vouchEnd
	}
	return last
}
