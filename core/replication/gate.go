// Package replication tracks the positions of a group's slots and decides from
// them which commits are durable and which slot may serve a read.
package replication

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// Monitor is what traffic needs of a database's tracker. All methods are safe for
// concurrent use. The waiting ones fail with the context's error, or with
// ErrTermChanged, or with ErrStopped once the tracker has stopped.
type Monitor interface {
	// Primary returns the slot and term of the current primary; ok is false
	// while none is known. It does not block.
	Primary() (slot group.Slot, term group.Term, ok bool)
	// WaitPrimary blocks until a primary is known that accepts writes.
	WaitPrimary(ctx context.Context) (group.Slot, group.Term, error)
	// WaitDurable blocks until every commit that the primary of term t had
	// completed before the call is durable, and returns a position that covers them.
	WaitDurable(ctx context.Context, t group.Term) (group.Position, error)
	// Barrier blocks until a round of status requests that started after the
	// call has enough answers, and returns a position that covers every commit
	// acknowledged before the call, by any host.
	Barrier(ctx context.Context) (group.Position, error)
	// PickReplica chooses a replica that has applied need and whose data is at
	// most maxAge old; maxAge 0 places no bound on age. It does not block.
	PickReplica(need group.Position, maxAge time.Duration) (group.Slot, bool)
	// WaitReplica is PickReplica, but waits until a replica qualifies.
	WaitReplica(ctx context.Context, need group.Position, maxAge time.Duration) (group.Slot, error)
	// ReportAnswer tells that the slot just answered a statement, as a free heartbeat.
	ReportAnswer(slot group.SlotID)
	// ReportFailure tells that a connection to the slot failed or is overdue.
	ReportFailure(slot group.SlotID)
}

// The ways in which a wait on a Gate ends without success.
var (
	ErrTermChanged = errors.New("the group has a newer term")
	ErrStopped     = errors.New("the tracker has stopped")
)
