package route

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/replication"
)

// connectRetry is the pause after a failed connect, or while a term that a
// token or barrier names has no primary yet.
const connectRetry = 25 * time.Millisecond

// OwnerConfig configures an OwnerRouter.
type OwnerConfig struct {
	Database string
	// Slots lists the group, for connections that are opened ahead of need.
	Slots  []group.Slot
	Policy *Policy
	Gate   replication.Gate
	Dial   DialFunc
	// Limit returns the owner's share of the connections to each backend
	// server. It may not block.
	Limit func() int
	// TotalLimit bounds the connections to all slots together; nil allows
	// Limit for each slot.
	TotalLimit func() int
	// Recorder may be nil.
	Recorder Recorder
}

// OwnerRouter gives transactions on one database connections to its backend
// servers. It is safe for concurrent use.
type OwnerRouter struct {
	cfg    OwnerConfig
	policy atomic.Pointer[Policy]
	pools  *Pools
}

// pending is a request on its way to a connection.
type pending struct {
	request  Request
	policy   *Policy
	class    *classPolicy
	start    time.Time
	deadline time.Time
	need     group.Position // what the session has seen, as far as known
	known    bool           // need comes from the session's token
}

// reads reports whether the request changes nothing.
func (q *pending) reads() bool { return q.class.read || q.request.ReadOnly }

// refusal is a reason to refuse a request, with its kind for counting.
type refusal struct {
	kind   Refusal
	reason string
	err    error
}

func (r *refusal) Error() string { return describe("refused", r.reason, r.err) }

func (r *refusal) Unwrap() error { return r.err }

// errRebarrier says that the primary is not of the barrier's term.
var errRebarrier = errors.New("the primary is not of the barrier's term")

// NewOwnerRouter returns a router for one database. It must be closed.
func NewOwnerRouter(cfg OwnerConfig) *OwnerRouter {
	if cfg.Recorder == nil {
		cfg.Recorder = discard{}
	}
	o := &OwnerRouter{cfg: cfg}
	o.policy.Store(cfg.Policy)
	o.pools = NewPools(PoolsConfig{
		Dial:       cfg.Dial,
		PeerLimit:  cfg.Limit,
		TotalLimit: cfg.TotalLimit,
		Failed:     o.connectionFailed,
	})
	return o
}

// SetPolicy replaces the policy for requests that begin later.
func (o *OwnerRouter) SetPolicy(p *Policy) { o.policy.Store(p) }

// Close refuses waiting and further requests. Connections in use are closed
// when they are released.
func (o *OwnerRouter) Close() { o.pools.Close() }

func (o *OwnerRouter) connectionFailed(t Target, _ error) {
	o.cfg.Gate.ReportFailure(group.SlotID(t.Peer))
}

// Begin implements Router.
func (o *OwnerRouter) Begin(ctx context.Context, r Request) (Tx, error) {
	now := time.Now()
	policy := o.policy.Load()
	class := policy.class(r.Class)
	q := pending{request: r, policy: policy, class: class, start: now, deadline: class.deadlineOf(&r, now)}
	tx, err := o.begin(ctx, &q)
	if err != nil {
		return nil, refuse(ctx, o.cfg.Recorder, class.labels, err)
	}
	o.cfg.Recorder.Began(class.labels, tx.path, time.Since(now))
	return tx, nil
}

// refuse counts a refusal and makes it a NotRunError.
func refuse(ctx context.Context, rec Recorder, l Labels, err error) error {
	r := classify(ctx, err)
	rec.Refused(l, r.kind)
	return &NotRunError{Reason: r.reason, Err: r.err}
}

// classify finds the reason of a failure to begin, given the caller's context.
func classify(ctx context.Context, err error) *refusal {
	var r *refusal
	switch {
	case errors.As(err, &r):
		return r
	case ctx.Err() != nil:
		return &refusal{kind: RefusedCanceled, reason: "the caller gave up", err: err}
	case errors.Is(err, replication.ErrStopped), errors.Is(err, ErrPoolClosed):
		return &refusal{kind: RefusedStopped, reason: "this host no longer serves the database", err: err}
	default:
		return &refusal{kind: RefusedDeadline, reason: "no connection before the deadline", err: err}
	}
}

func (o *OwnerRouter) begin(ctx context.Context, q *pending) (*ownerTx, error) {
	var err error
	q.need, q.known, err = ParseToken(q.request.Token, o.cfg.Database)
	if err != nil {
		return nil, &refusal{kind: RefusedToken, reason: "session token not accepted", err: err}
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	switch {
	case !q.reads():
		return o.beginPrimary(ctx, q, 0, PathPrimary)
	case q.known:
		return o.beginKnownRead(ctx, q)
	default:
		return o.beginBarrierRead(ctx, q)
	}
}

// beginKnownRead serves a read whose session says what it has seen.
func (o *OwnerRouter) beginKnownRead(ctx context.Context, q *pending) (*ownerTx, error) {
	tx, err := o.beginReplica(ctx, q)
	if err != nil || tx != nil {
		return tx, err
	}
	return o.beginPrimary(ctx, q, 0, PathPrimaryRead)
}

// beginBarrierRead serves a read of a session that may have written anywhere:
// the barrier covers every commit acknowledged so far. The primary serves it
// only if the barrier is of its own term; otherwise a change of primary is
// under way and a new barrier is needed.
func (o *OwnerRouter) beginBarrierRead(ctx context.Context, q *pending) (*ownerTx, error) {
	for {
		barrier, err := o.cfg.Gate.Barrier(ctx)
		if errors.Is(err, replication.ErrTermChanged) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("read barrier: %w", err)
		}
		q.need = barrier
		tx, err := o.beginReplica(ctx, q)
		if err != nil || tx != nil {
			return tx, err
		}
		tx, err = o.beginPrimary(ctx, q, barrier.Term, PathPrimaryRead)
		if !errors.Is(err, errRebarrier) {
			return tx, err
		}
		if err := sleep(ctx, connectRetry); err != nil {
			return nil, err
		}
	}
}

// beginReplica returns nil if no replica qualifies within the replica wait.
func (o *OwnerRouter) beginReplica(ctx context.Context, q *pending) (*ownerTx, error) {
	slot, ok := o.cfg.Gate.PickReplica(q.need, q.class.maxAge)
	if !ok {
		waitCtx, cancel := context.WithTimeout(ctx, q.policy.replicaWait)
		defer cancel()
		var err error
		slot, err = o.cfg.Gate.WaitReplica(waitCtx, q.need, q.class.maxAge)
		if errors.Is(err, replication.ErrStopped) {
			return nil, err
		}
		if err != nil {
			return nil, ctx.Err()
		}
	}
	conn, err := o.pools.get(ctx, o.target(slot, q))
	if err != nil {
		if errors.Is(err, ErrPoolClosed) {
			return nil, err
		}
		return nil, ctx.Err()
	}
	return o.newTx(q, conn, slot, 0, PathReplica), nil
}

// beginPrimary waits for a primary and a connection to it. The primary's term
// must be that of the barrier if one is given, and at least the token's.
func (o *OwnerRouter) beginPrimary(ctx context.Context, q *pending, barrier group.Term, path Path) (*ownerTx, error) {
	for {
		slot, term, err := o.waitPrimary(ctx, q.need.Term)
		if err != nil {
			return nil, err
		}
		if barrier != 0 && term != barrier {
			return nil, errRebarrier
		}
		conn, err := o.pools.get(ctx, o.target(slot, q))
		if err == nil && o.isPrimary(term) {
			return o.newTx(q, conn, slot, term, path), nil
		}
		if err == nil {
			o.pools.put(conn, true)
			continue
		}
		if errors.Is(err, ErrPoolClosed) {
			return nil, err
		}
		// Nothing was sent, so the request may wait for another primary.
		if err := sleep(ctx, connectRetry); err != nil {
			return nil, err
		}
	}
}

func (o *OwnerRouter) isPrimary(term group.Term) bool {
	_, t, ok := o.cfg.Gate.Primary()
	return ok && t == term
}

// waitPrimary waits for a primary of at least the given term.
func (o *OwnerRouter) waitPrimary(ctx context.Context, atLeast group.Term) (group.Slot, group.Term, error) {
	for {
		slot, term, ok := o.cfg.Gate.Primary()
		if !ok {
			var err error
			slot, term, err = o.cfg.Gate.WaitPrimary(ctx)
			if err != nil {
				return slot, term, fmt.Errorf("wait for a primary: %w", err)
			}
		}
		if term >= atLeast {
			return slot, term, nil
		}
		if err := sleep(ctx, connectRetry); err != nil {
			return slot, term, fmt.Errorf("wait for the primary of term %d: %w", atLeast, err)
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (o *OwnerRouter) target(slot group.Slot, q *pending) Target {
	return Target{Peer: string(slot.ID), Address: slot.Address, User: q.request.User, Database: o.cfg.Database}
}

func (o *OwnerRouter) newTx(q *pending, c *pooled, slot group.Slot, term group.Term, path Path) *ownerTx {
	return &ownerTx{
		router: o,
		conn:   c,
		slot:   slot.ID,
		term:   term,
		need:   q.need,
		class:  q.class,
		policy: q.policy,
		reads:  q.reads(),
		path:   path,
		start:  q.start,
	}
}

// ownerTx implements Tx on a connection to a backend server.
type ownerTx struct {
	router   *OwnerRouter
	conn     *pooled
	slot     group.SlotID
	term     group.Term // of the primary; 0 on a replica
	need     group.Position
	class    *classPolicy
	policy   *Policy
	reads    bool
	path     Path
	start    time.Time
	released atomic.Bool
}

// Conn implements Tx.
func (t *ownerTx) Conn() Conn { return t.conn.conn }

// Forwarded implements Tx.
func (t *ownerTx) Forwarded() bool { return false }

// Finish implements Tx. It waits at most the service's commit timeout. A read
// on a replica needs no confirmation, as the replica's position was known
// before the read began.
func (t *ownerTx) Finish(ctx context.Context) (string, error) {
	o := t.router
	if t.path == PathReplica {
		o.cfg.Recorder.Finished(t.class.labels, time.Since(t.start))
		return "", nil
	}
	ctx, cancel := context.WithTimeout(ctx, t.policy.commitTimeout)
	defer cancel()
	p, err := o.cfg.Gate.WaitDurable(ctx, t.term)
	if err == nil && t.reads && !p.Covers(t.need) {
		err = fmt.Errorf("the group's position %v is behind %v, which the session has seen", p, t.need)
	}
	if err != nil {
		return "", t.unconfirmed(err)
	}
	o.cfg.Recorder.Finished(t.class.labels, time.Since(t.start))
	if t.reads {
		return "", nil
	}
	return FormatToken(o.cfg.Database, p), nil
}

func (t *ownerTx) unconfirmed(err error) error {
	rec := t.router.cfg.Recorder
	if t.reads {
		rec.StaleRead(t.class.labels)
		return &StaleReadError{Reason: "the primary could not be confirmed after the read", Err: err}
	}
	rec.OutcomeUnknown(t.class.labels)
	return &UnknownOutcomeError{Reason: "the commit is not known to be durable", Err: err}
}

// MayRepeat implements Tx.
func (t *ownerTx) MayRepeat() bool {
	t.router.cfg.Gate.ReportFailure(t.slot)
	return t.class.repeatable
}

// Release implements Tx.
func (t *ownerTx) Release(clean bool) {
	if !t.released.CompareAndSwap(false, true) {
		return
	}
	if clean {
		t.router.cfg.Gate.ReportAnswer(t.slot)
	}
	t.router.pools.put(t.conn, clean)
}
