package route

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumgap/gypsumgap/core/config"
)

// maxHops is the number of hosts that may forward a request. A second hop
// happens while hosts differ on who owns a database; more would be a loop.
const maxHops = 2

const (
	// ownerRetry is how long an owner host counts as unreachable after a failed
	// connect, and how often its return is looked for while none is reachable.
	ownerRetry        = time.Second
	noOwnerRetry      = 50 * time.Millisecond
	ownerDialTimeout  = 500 * time.Millisecond
	maxWithoutOwner   = 1000
	defaultOwnerLimit = 128
	defaultTotalLimit = 1024
)

// Host is a host that owns a database.
type Host struct {
	Name string
	// ForwardAddress is the host:port that takes statements from other hosts.
	ForwardAddress string
	Zone           string
	// Self says that it is the host that asks.
	Self bool
}

// Owners lists the owner hosts of a database, the preferred one first.
type Owners interface {
	Owners(database string) []Host
}

// EntryConfig configures an EntryRouter.
type EntryConfig struct {
	Owners Owners
	// Local returns the router of a database that this host owns, or nil if it
	// does not serve the database yet.
	Local func(database string) Router
	// Policy returns the policy of a database's service, or nil.
	Policy func(database string) *Policy
	// Dial opens a connection to the owner host named by the target's Peer.
	Dial DialFunc
	// OwnerLimit bounds the connections to one owner host and TotalLimit those
	// to all; zero takes defaults.
	OwnerLimit int
	TotalLimit int
	// Recorder may be nil.
	Recorder Recorder
}

// EntryRouter gives transactions on any database a connection: to a backend
// server if this host owns the database, otherwise to an owner host.
type EntryRouter struct {
	cfg      EntryConfig
	pools    *Pools
	unlisted *Policy      // of databases whose service is not known here
	waiting  atomic.Int64 // requests that found no reachable owner

	mu   sync.Mutex
	down map[string]time.Time // when each unreachable owner may be tried again
}

// NewEntryRouter returns a router for all databases. It must be closed.
func NewEntryRouter(cfg EntryConfig) *EntryRouter {
	if cfg.Recorder == nil {
		cfg.Recorder = discard{}
	}
	if cfg.OwnerLimit <= 0 {
		cfg.OwnerLimit = defaultOwnerLimit
	}
	if cfg.TotalLimit <= 0 {
		cfg.TotalLimit = defaultTotalLimit
	}
	return &EntryRouter{
		cfg:      cfg,
		unlisted: NewPolicy(&config.Service{}),
		down:     make(map[string]time.Time),
		pools: NewPools(PoolsConfig{
			Dial:        cfg.Dial,
			PeerLimit:   func() int { return cfg.OwnerLimit },
			TotalLimit:  func() int { return cfg.TotalLimit },
			DialTimeout: ownerDialTimeout,
		}),
	}
}

// Close refuses waiting and further requests to other hosts. Local routers are
// closed by their owner.
func (e *EntryRouter) Close() { e.pools.Close() }

// Maintain closes connections that were idle too long. The owner of the router
// calls it every second or so.
func (e *EntryRouter) Maintain() { e.pools.Maintain() }

func (e *EntryRouter) policy(database string) *Policy {
	if e.cfg.Policy != nil {
		if p := e.cfg.Policy(database); p != nil {
			return p
		}
	}
	return e.unlisted
}

// Begin implements Router.
func (e *EntryRouter) Begin(ctx context.Context, r Request) (Tx, error) {
	owners := e.cfg.Owners.Owners(r.Database)
	if local := e.local(owners, r.Database); local != nil {
		return local.Begin(ctx, r)
	}
	now := time.Now()
	class := e.policy(r.Database).class(r.Class)
	if r.Hops >= maxHops {
		err := &refusal{kind: RefusedHops, reason: fmt.Sprintf("forwarded %d times without reaching an owner of the database", r.Hops)}
		return nil, refuse(ctx, e.cfg.Recorder, class.labels, err)
	}
	tx, err := e.forward(ctx, &r, class, now)
	if err != nil {
		return nil, refuse(ctx, e.cfg.Recorder, class.labels, err)
	}
	e.cfg.Recorder.Began(class.labels, PathForward, time.Since(now))
	return tx, nil
}

// local returns the local router if this host is among the owners.
func (e *EntryRouter) local(owners []Host, database string) Router {
	for _, h := range owners {
		if h.Self {
			return e.cfg.Local(database)
		}
	}
	return nil
}

func (e *EntryRouter) forward(ctx context.Context, r *Request, class *classPolicy, now time.Time) (Tx, error) {
	ctx, cancel := context.WithDeadline(ctx, class.deadlineOf(r, now))
	defer cancel()
	tx, err := e.tryOwners(ctx, r, class, now)
	if tx != nil || err != nil {
		return tx, err
	}
	if e.waiting.Add(1) > maxWithoutOwner {
		e.waiting.Add(-1)
		return nil, &refusal{kind: RefusedQueue, reason: "no owner of the database is reachable and too many requests wait for one"}
	}
	defer e.waiting.Add(-1)
	for tx == nil && err == nil {
		if err := sleep(ctx, noOwnerRetry); err != nil {
			return nil, fmt.Errorf("no owner of the database is reachable: %w", err)
		}
		tx, err = e.tryOwners(ctx, r, class, now)
	}
	return tx, err
}

// tryOwners tries the owners in order and returns nil if none is reachable.
func (e *EntryRouter) tryOwners(ctx context.Context, r *Request, class *classPolicy, now time.Time) (Tx, error) {
	owners := e.cfg.Owners.Owners(r.Database)
	if local := e.local(owners, r.Database); local != nil {
		return local.Begin(ctx, *r)
	}
	for _, h := range owners {
		if h.Self || e.isDown(h.Name) {
			continue
		}
		t := Target{Peer: h.Name, Address: h.ForwardAddress, User: r.User, Database: r.Database}
		c, err := e.pools.get(ctx, t)
		switch {
		case err == nil:
			return &forwardTx{router: e, conn: c, class: class, start: now}, nil
		case ctx.Err() != nil, errors.Is(err, ErrPoolClosed):
			return nil, err
		}
		e.markDown(h.Name)
	}
	return nil, nil
}

func (e *EntryRouter) isDown(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	until, ok := e.down[name]
	if ok && !time.Now().Before(until) {
		delete(e.down, name)
		ok = false
	}
	return ok
}

// markDown makes requests use another owner for a while.
func (e *EntryRouter) markDown(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down[name] = time.Now().Add(ownerRetry)
}

// forwardTx implements Tx on a connection to an owner host.
type forwardTx struct {
	router   *EntryRouter
	conn     *pooled
	class    *classPolicy
	start    time.Time
	released atomic.Bool
}

// Conn implements Tx.
func (t *forwardTx) Conn() Conn { return t.conn.conn }

// Forwarded implements Tx.
func (t *forwardTx) Forwarded() bool { return true }

// Finish implements Tx. The owner host has confirmed the transaction before it
// answered, and reported the token.
func (t *forwardTx) Finish(context.Context) (string, error) {
	t.router.cfg.Recorder.Finished(t.class.labels, time.Since(t.start))
	return "", nil
}

// MayRepeat implements Tx. The idle connections to the owner are closed, as
// they have probably failed too; the repeated request then finds out whether
// the owner is reachable.
func (t *forwardTx) MayRepeat() bool {
	t.router.pools.closeUnused(t.conn.pool, 0)
	return t.class.repeatable
}

// Release implements Tx.
func (t *forwardTx) Release(clean bool) {
	if !t.released.CompareAndSwap(false, true) {
		return
	}
	t.router.pools.put(t.conn, clean)
}
