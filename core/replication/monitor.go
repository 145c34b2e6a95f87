// Package replication tracks the log positions of the slots of a group. From
// them it decides which commits are durable and which slot may serve a read.
package replication

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// Monitor is the view that request routing has of the replication state of one
// database. All methods are safe for concurrent use. Those that block fail with
// the error of the context, with ErrTermChanged, or with ErrStopped once the
// monitor has stopped.
type Monitor interface {
	// Primary returns the slot and term of the current primary; ok is false
	// while none is known. It does not block.
	Primary() (slot group.Slot, term group.Term, ok bool)
	// WaitPrimary blocks until a primary that accepts writes is known.
	WaitPrimary(ctx context.Context) (group.Slot, group.Term, error)
	// WaitDurable blocks until every commit that the primary of term t had
	// completed before the call is durable, and returns a position that covers them.
	WaitDurable(ctx context.Context, t group.Term) (group.Position, error)
	// Barrier blocks until enough slots have answered status requests that were
	// sent after the call, and returns a position that covers every commit
	// acknowledged before the call, by any host.
	Barrier(ctx context.Context) (group.Position, error)
	// PickReplica chooses a replica that has applied need and whose data is at
	// most maxAge old; maxAge 0 sets no bound. It returns false if none
	// qualifies. It does not block.
	PickReplica(need group.Position, maxAge time.Duration) (group.Slot, bool)
	// WaitReplica chooses a replica like PickReplica, but blocks until one
	// qualifies.
	WaitReplica(ctx context.Context, need group.Position, maxAge time.Duration) (group.Slot, error)
	// ReportAnswer records that the slot has just answered a statement, which
	// serves as a heartbeat at no cost.
	ReportAnswer(slot group.SlotID)
	// ReportFailure records that a connection to the slot failed or that an
	// answer is overdue.
	ReportFailure(slot group.SlotID)
}

// The errors of a Monitor, besides those of the context.
var (
	// ErrTermChanged reports that the commits of a wait can no longer be shown to
	// be durable, because a newer term has replaced theirs.
	ErrTermChanged = errors.New("group has accepted a newer term")
	// ErrStopped reports that the monitor no longer follows the group.
	ErrStopped = errors.New("replication monitor has stopped")
)
