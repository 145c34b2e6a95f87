package route

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumgap/gypsumgap/core/admission"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/replication"
	"github.com/gypsumgap/gypsumgap/core/retry"
)

const (
	// connectRetry is the pause after a failed connect, and while the term of a
	// session token or read barrier has no primary yet.
	connectRetry = 25 * time.Millisecond
	// replicaAttempts is the number of replicas tried before the primary.
	replicaAttempts = 2
	// ageDivisor reserves a quarter of the accepted age for the wait for a
	// connection, because the data ages meanwhile.
	ageDivisor = 4
	// maxBarrierReads is the number of reads that may wait for a read barrier,
	// which happens before admission. It allows 25,000 reads/s with a round trip
	// of 40 ms between regions.
	maxBarrierReads = 1000
)

// OwnerConfig configures an OwnerRouter.
type OwnerConfig struct {
	Database string
	// Slots lists the slots of the replication group, to which spare
	// connections are opened in advance.
	Slots   []group.Slot
	Policy  *Policy
	Monitor replication.Monitor
	// Dial opens connections to the backend servers.
	Dial DialFunc
	// PeerLimit returns this owner's share of the connection limit of each
	// backend server. It must not block.
	PeerLimit func() int
	// TotalLimit bounds the connections to all slots together; nil means that
	// only PeerLimit applies.
	TotalLimit func() int
	// CheckStatement distinguishes slow statements from stalled connections;
	// nil disables the check.
	CheckStatement StatementCheck
	// Recorder may be nil.
	Recorder Recorder
}

// OwnerRouter assigns connections to the backend servers of one database to its
// transactions. It is safe for concurrent use.
//
// Each slot has its own admission limiter for replica reads, so that reads that
// wait for a replica use no capacity of the primary. The limiter of the primary
// is not bound to a slot: it follows the role, and requests wait in it while no
// primary is known.
type OwnerRouter struct {
	cfg          OwnerConfig
	policy       atomic.Pointer[Policy]
	pools        *Pools
	stalls       stallDetector
	primary      *admission.Limiter
	replicas     sync.Map // group.SlotID to *admission.Limiter
	budget       *admission.RetryBudget
	barrierWaits atomic.Int64    // number of reads that wait for a barrier
	lastTerm     atomic.Uint64   // term of lastPrimary
	closing      context.Context // done after Close
	close        context.CancelFunc
	tasks        sync.WaitGroup

	mu              sync.Mutex
	slots           []group.Slot
	lastPrimary     group.Slot // the most recent known primary
	awaitingPrimary bool       // awaitPrimary runs in a goroutine
	paused          bool       // by Pause or Quiesce, until Resume
	draining        map[group.SlotID]bool
}

// pending is a request that waits for a connection.
type pending struct {
	request       Request
	policy        *Policy
	class         *classPolicy
	start         time.Time
	deadline      time.Time
	required      group.Position // position that the server must have applied
	requiredKnown bool           // required comes from the session token
}

// isReadOnly reports whether the request is read-only.
func (q *pending) isReadOnly() bool { return q.class.read || q.request.ReadOnly }

// maxAge returns the greatest age of data that the request accepts; 0 means that
// it needs current data.
func (q *pending) maxAge() time.Duration {
	if !q.class.read {
		return 0
	}
	return q.class.maxAge
}

// refusal is an error that refuses a request for a counted reason.
type refusal struct {
	kind   RefusalReason
	reason string
	err    error
}

func (r *refusal) Error() string { return describe("refused", r.reason, r.err) }

func (r *refusal) Unwrap() error { return r.err }

var (
	errBarrierNewer   = errors.New("the primary is of an older term than the barrier")
	errPrimaryChanged = errors.New("the primary is changing")
)

// NewOwnerRouter returns a router for one database. The caller must close it.
func NewOwnerRouter(cfg OwnerConfig) *OwnerRouter {
	if cfg.Recorder == nil {
		cfg.Recorder = nopRecorder{}
	}
	o := &OwnerRouter{
		cfg:      cfg,
		primary:  admission.NewLimiter(cfg.PeerLimit),
		budget:   admission.NewRetryBudget(),
		slots:    cfg.Slots,
		draining: make(map[group.SlotID]bool),
	}
	o.policy.Store(cfg.Policy)
	o.pools = NewPools(PoolsConfig{
		Dial:       cfg.Dial,
		PeerLimit:  cfg.PeerLimit,
		TotalLimit: cfg.TotalLimit,
		OnFailure:  o.connectionFailed,
	})
	o.closing, o.close = context.WithCancel(context.Background())
	o.tasks.Go(o.maintain)
	return o
}

// SetPolicy replaces the policy for subsequent requests.
func (o *OwnerRouter) SetPolicy(p *Policy) { o.policy.Store(p) }

// Close refuses waiting and subsequent requests. Connections in use are closed
// when they are released.
func (o *OwnerRouter) Close() {
	o.mu.Lock()
	o.close()
	o.mu.Unlock()
	o.closeLimiters()
	o.pools.Close()
	o.tasks.Wait()
}

func (o *OwnerRouter) closeLimiters() {
	o.primary.Close()
	for _, l := range o.replicas.Range {
		l.(*admission.Limiter).Close()
	}
}

func (o *OwnerRouter) connectionFailed(t Target, _ error) {
	o.cfg.Monitor.ReportFailure(group.SlotID(t.Peer))
}

// Begin implements Router.
func (o *OwnerRouter) Begin(ctx context.Context, r Request) (Tx, error) {
	now := time.Now()
	policy := o.policy.Load()
	class := policy.class(r.Class)
	o.budget.Deposit()
	q := pending{request: r, policy: policy, class: class, start: now, deadline: class.deadlineOf(&r, now)}
	tx, err := o.begin(ctx, &q)
	if err != nil {
		return nil, refuse(ctx, o.cfg.Recorder, class.labels, err)
	}
	o.cfg.Recorder.Began(class.labels, tx.path, time.Since(now))
	return tx, nil
}

// refuse records a refusal and returns it as a *NotRunError.
func refuse(ctx context.Context, rec Recorder, l Labels, err error) error {
	r := classify(ctx, err)
	rec.Refused(l, r.kind)
	return &NotRunError{Reason: r.reason, Err: r.err}
}

// classify returns the refusal for an error of begin; ctx is the caller's
// context, without the deadline of the request.
func classify(ctx context.Context, err error) *refusal {
	var r *refusal
	var refused *admission.RefusedError
	switch {
	case errors.As(err, &r):
		return r
	case errors.As(err, &refused):
		return refusalOf(refused)
	case ctx.Err() != nil:
		return &refusal{kind: RefusedCanceled, reason: "the caller gave up", err: err}
	case errors.Is(err, replication.ErrStopped), errors.Is(err, ErrPoolClosed):
		return &refusal{kind: RefusedStopped, reason: "this host no longer serves the database", err: err}
	default:
		return &refusal{kind: RefusedDeadline, reason: "no connection before the deadline", err: err}
	}
}

func refusalOf(err *admission.RefusedError) *refusal {
	switch err.Reason {
	case admission.QueueFull:
		return &refusal{kind: RefusedQueue, reason: "too many requests of its class wait", err: err}
	case admission.Closed:
		return &refusal{kind: RefusedStopped, reason: "this host no longer serves the database", err: err}
	default:
		return &refusal{kind: RefusedDeadline, reason: "its deadline cannot be met", err: err}
	}
}

func (o *OwnerRouter) begin(ctx context.Context, q *pending) (*ownerTx, error) {
	var err error
	q.required, q.requiredKnown, err = ParseToken(q.request.Token, o.cfg.Database)
	if err != nil {
		return nil, &refusal{kind: RefusedToken, reason: "session token not accepted", err: err}
	}
	if q.maxAge() == 0 {
		// Without a maximum age the read needs current data. A session token does
		// not cover the writes of other sessions, so a read barrier is needed.
		q.requiredKnown = false
	}
	if tx := o.tryBegin(q); tx != nil {
		return tx, nil
	}
	ctx, cancel := context.WithDeadline(ctx, q.deadline)
	defer cancel()
	switch {
	case !q.isReadOnly():
		return o.beginPrimary(ctx, q, 0, PathPrimary)
	case q.requiredKnown:
		return o.beginKnownRead(ctx, q)
	default:
		return o.beginBarrierRead(ctx, q)
	}
}

// tryBegin returns nil if the request would have to wait. It avoids the cost of a
// context with a deadline in the common case.
func (o *OwnerRouter) tryBegin(q *pending) *ownerTx {
	if !q.isReadOnly() {
		slot, term, ok := o.currentPrimary()
		if !ok || term < q.required.Term {
			return nil
		}
		return o.tryStart(q, o.primary, slot, term, PathPrimary)
	}
	if !q.requiredKnown {
		return nil
	}
	slot, ok := o.cfg.Monitor.PickReplica(q.required, q.maxAge())
	if !ok {
		return nil
	}
	return o.tryStart(q, o.replicaLimiter(slot.ID), slot, 0, PathReplica)
}

// tryStart returns nil if the request is not admitted at once or no connection is
// idle.
func (o *OwnerRouter) tryStart(q *pending, l *admission.Limiter, slot group.Slot, term group.Term, path Path) *ownerTx {
	tx := o.newTx(q, l, path)
	if !l.TryAcquire(&tx.ticket) {
		return nil
	}
	tx.slot, tx.term = slot.ID, term
	tx.conn = o.pools.tryGet(o.target(slot, q))
	if tx.conn == nil {
		l.Cancel(&tx.ticket)
		return nil
	}
	return tx
}

// connect waits for a connection to the slot for an admitted transaction. On
// failure it cancels the admission.
func (o *OwnerRouter) connect(ctx context.Context, q *pending, tx *ownerTx, slot group.Slot) error {
	conn, err := o.pools.get(ctx, o.target(slot, q))
	if err != nil {
		tx.limiter.Cancel(&tx.ticket)
		return err
	}
	tx.conn = conn
	tx.slot = slot.ID
	return nil
}

// beginPrimary waits for a primary and a connection to it. The primary's term
// must be at least that of the barrier and of the token: a newer primary has
// every acknowledged commit of older terms. As nothing has been sent yet, the
// request can wait for another primary after a failure.
func (o *OwnerRouter) beginPrimary(ctx context.Context, q *pending, barrier group.Term, path Path) (*ownerTx, error) {
	for {
		if _, term, ok := o.currentPrimary(); ok && term < barrier {
			return nil, errBarrierNewer
		}
		tx, err := o.startPrimary(ctx, q, barrier, path)
		var refused *admission.RefusedError
		switch {
		case err == nil:
			return tx, nil
		case errors.As(err, &refused), errors.Is(err, ErrPoolClosed), errors.Is(err, errBarrierNewer):
			return nil, err
		}
		if retry.Sleep(ctx, connectRetry) != nil {
			return nil, err
		}
	}
}

// startPrimary waits for admission, which includes waiting for a primary, and
// then for a connection.
func (o *OwnerRouter) startPrimary(ctx context.Context, q *pending, barrier group.Term, path Path) (*ownerTx, error) {
	tx := o.newTx(q, o.primary, path)
	if err := tx.limiter.Acquire(ctx, &tx.ticket); err != nil {
		return nil, fmt.Errorf("wait for a primary and a connection: %w", err)
	}
	slot, term, err := o.primaryFor(q, barrier)
	if err != nil {
		tx.limiter.Cancel(&tx.ticket)
		return nil, err
	}
	if err := o.connect(ctx, q, tx, slot); err != nil {
		return nil, err
	}
	if _, now, ok := o.cfg.Monitor.Primary(); !ok || now != term {
		tx.abandon()
		return nil, errPrimaryChanged
	}
	tx.term = term
	return tx, nil
}

// primaryFor returns the primary and its term if it may serve the request.
func (o *OwnerRouter) primaryFor(q *pending, barrier group.Term) (group.Slot, group.Term, error) {
	slot, term, ok := o.currentPrimary()
	switch {
	case !ok:
		return slot, term, errPrimaryChanged
	case term < barrier:
		return slot, term, errBarrierNewer
	case term < q.required.Term:
		return slot, term, fmt.Errorf("the session has seen term %d, the primary is of term %d", q.required.Term, term)
	default:
		return slot, term, nil
	}
}

func (o *OwnerRouter) target(slot group.Slot, q *pending) Target {
	return o.slotTarget(slot, q.request.User)
}

func (o *OwnerRouter) slotTarget(slot group.Slot, user string) Target {
	return Target{Peer: string(slot.ID), Address: slot.Address, User: user, Database: o.cfg.Database}
}

func (o *OwnerRouter) newTx(q *pending, l *admission.Limiter, path Path) *ownerTx {
	class := &q.class.primary
	if path == PathReplica {
		class = &q.class.replica
	}
	return &ownerTx{
		router:   o,
		limiter:  l,
		ticket:   admission.Ticket{Class: class, Deadline: q.deadline},
		required: q.required,
		class:    q.class,
		policy:   q.policy,
		readOnly: q.isReadOnly(),
		keyed:    q.request.Key != "",
		path:     path,
		start:    q.start,
	}
}
