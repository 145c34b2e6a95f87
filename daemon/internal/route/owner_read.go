package route

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/gypsumgap/gypsumgap/core/admission"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/replication"
	"github.com/gypsumgap/gypsumgap/core/retry"
)

// replicaLimiter returns the admission limiter for reads on a slot.
func (o *OwnerRouter) replicaLimiter(id group.SlotID) *admission.Limiter {
	if l, ok := o.replicas.Load(id); ok {
		return l.(*admission.Limiter)
	}
	l, _ := o.replicas.LoadOrStore(id, admission.NewLimiter(o.cfg.PeerLimit))
	return l.(*admission.Limiter)
}

// beginKnownRead serves a read whose session token gives the position that it
// must see.
func (o *OwnerRouter) beginKnownRead(ctx context.Context, q *pending) (*ownerTx, error) {
	tx, err := o.beginReplica(ctx, q)
	if err != nil || tx != nil {
		return tx, err
	}
	return o.beginPrimary(ctx, q, 0, PathPrimaryRead)
}

// beginBarrierRead serves a read of a session that may have written through any
// host: the barrier covers every commit acknowledged so far. A primary of an
// older term than the barrier cannot serve the read; then a change of primary is
// in progress and a new barrier is needed.
func (o *OwnerRouter) beginBarrierRead(ctx context.Context, q *pending) (*ownerTx, error) {
	for {
		barrier, err := o.readBarrier(ctx)
		if err == nil {
			if barrier.Covers(q.required) {
				q.required = barrier
			}
			tx, err := o.beginCovering(ctx, q)
			if !errors.Is(err, errBarrierNewer) {
				return tx, err
			}
		} else if !errors.Is(err, replication.ErrTermChanged) {
			return nil, fmt.Errorf("read barrier: %w", err)
		}
		if err := retry.Sleep(ctx, connectRetry); err != nil {
			return nil, err
		}
	}
}

// readBarrier waits for a position that covers every commit acknowledged before
// the call.
func (o *OwnerRouter) readBarrier(ctx context.Context) (group.Position, error) {
	defer o.barrierWaits.Add(-1)
	if o.barrierWaits.Add(1) > maxBarrierReads {
		return group.Position{}, &refusal{kind: RefusedQueue, reason: "too many reads wait for a read barrier"}
	}
	return o.cfg.Monitor.Barrier(ctx)
}

// beginCovering serves a read from a slot that has applied the barrier. It
// fails with errBarrierNewer if the primary is of an older term than the barrier.
func (o *OwnerRouter) beginCovering(ctx context.Context, q *pending) (*ownerTx, error) {
	tx, err := o.beginReplica(ctx, q)
	if err != nil || tx != nil {
		return tx, err
	}
	return o.beginPrimary(ctx, q, q.required.Term, PathPrimaryRead)
}

// beginReplica returns nil if no replica qualifies within the replica wait, or
// none that qualifies can be reached. A read that the limiter of its replica
// refuses does not go to the primary: overload of replicas must not spread to
// the primary.
func (o *OwnerRouter) beginReplica(ctx context.Context, q *pending) (*ownerTx, error) {
	wait := q.maxAge() / ageDivisor
	for range replicaAttempts {
		slot, err := o.waitReplica(ctx, q, q.maxAge()-wait)
		if err != nil {
			return nil, err
		}
		if slot.ID == "" {
			return nil, nil
		}
		tx, err := o.startReplica(ctx, wait, q, slot)
		var refused *admission.RefusedError
		switch {
		case err == nil:
			return tx, nil
		case errors.As(err, &refused), errors.Is(err, ErrPoolClosed):
			return nil, err
		case ctx.Err() != nil:
			return nil, err
		}
	}
	return nil, nil
}

// startReplica waits for admission and a connection, for at most wait; 0 means
// until the deadline of ctx.
func (o *OwnerRouter) startReplica(ctx context.Context, wait time.Duration, q *pending, slot group.Slot) (*ownerTx, error) {
	if wait != 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, wait)
		defer cancel()
	}
	tx := o.newTx(q, o.replicaLimiter(slot.ID), PathReplica)
	if err := tx.limiter.Acquire(ctx, &tx.ticket); err != nil {
		return nil, err
	}
	if err := o.connect(ctx, q, tx, slot); err != nil {
		return nil, err
	}
	return tx, nil
}

// waitReplica returns the zero slot if no replica qualifies within the replica
// wait.
func (o *OwnerRouter) waitReplica(ctx context.Context, q *pending, maxAge time.Duration) (group.Slot, error) {
	if slot, ok := o.cfg.Monitor.PickReplica(q.required, maxAge); ok {
		return slot, nil
	}
	waitCtx, cancel := context.WithTimeout(ctx, q.policy.replicaWait)
	defer cancel()
	slot, err := o.cfg.Monitor.WaitReplica(waitCtx, q.required, maxAge)
	switch {
	case err == nil:
		return slot, nil
	case errors.Is(err, replication.ErrStopped):
		return group.Slot{}, err
	default:
		return group.Slot{}, ctx.Err()
	}
}
