package writelease

import (
	"time"

	"github.com/gypsumgap/gypsumgap/core/lease"
)

// RestoredStore is what a host knows about a store that went back to an older copy of
// itself, when it decides whether it may declare the stored revocations complete.
type RestoredStore struct {
	// HadLease is true if the host had a valid write lease when it first saw the present
	// era of the store. It then knows every revocation on which a promotion rests.
	HadLease bool
	// HoldsDuty is true if the host holds the promotion duty in that era, and
	// UnknownPredecessor if an earlier holder may be unknown to it.
	HoldsDuty, UnknownPredecessor bool
	// SinceSeen is the time since the host first saw the era.
	SinceSeen time.Duration
}

const (
	// formerHolderTime is how long after a restore a former holder may still order a
	// promotion: until its lease has expired, and the call has arrived.
	formerHolderTime = lease.Duration + 800*time.Millisecond
	// knowledgeWaitTime is how long a holder that had no lease leaves it to other hosts
	// to write back what they know.
	knowledgeWaitTime = 5 * time.Second
)

// MayDeclareComplete reports whether the host may declare the stored revocations
// complete after it has written back those that it knows.
func (r RestoredStore) MayDeclareComplete() bool {
	isLastHolder := r.HoldsDuty && !r.UnknownPredecessor
	switch {
	case r.HadLease && isLastHolder:
		return true
	case r.HadLease:
		return r.SinceSeen >= formerHolderTime
	default:
		return r.HoldsDuty && r.SinceSeen >= knowledgeWaitTime
	}
}
