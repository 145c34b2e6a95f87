package route

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumgap/gypsumgap/core/admission"
	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/retry"
)

// maxHops is the number of hosts that may forward a request. A second hop
// happens while hosts disagree about who owns a database; more indicate a loop.
const maxHops = 2

// MaintainInterval is the interval at which EntryRouter.Maintain must be called.
const MaintainInterval = 100 * time.Millisecond

const (
	// downOwnerProbeInterval is how often an owner host that is down is probed.
	// Requests use another owner until a probe succeeds, so that no request
	// waits for a failed probe.
	downOwnerProbeInterval = time.Second
	// outageTTL is how long the state of an owner host that is down is kept.
	outageTTL = time.Minute
	// noOwnerRetryInterval is the retry interval while no owner host is reachable.
	noOwnerRetryInterval = 50 * time.Millisecond
	// ownerDialTimeout allows four round trips between regions.
	ownerDialTimeout = 500 * time.Millisecond

	// Default limits. A database that is slow, for example during a failover,
	// can use a quarter of the connections to its owner host, and a slow owner
	// host an eighth of the connections to all owners.
	defaultDatabaseLimit = 64
	defaultOwnerLimit    = 256
	defaultTotalLimit    = 2048
)

// Host is an owner host of a database.
type Host struct {
	// Name is the unique name of the host.
	Name string
	// ForwardAddress is the host:port that accepts connections from other
	// hosts.
	ForwardAddress string
	// Zone is the host's availability zone.
	Zone string
	// Self reports whether this is the local host.
	Self bool
}

// Owners looks up the owner hosts of databases.
type Owners interface {
	// Owners returns the owner hosts of a database, the preferred one first. It
	// must not block.
	Owners(database string) []Host
}

// EntryConfig configures an EntryRouter.
type EntryConfig struct {
	// Owners looks up the owner hosts of a database.
	Owners Owners
	// Local returns the router of a database that this host owns, or nil if the
	// host does not serve the database yet.
	Local func(database string) Router
	// Policy returns the policy of a database's service, or nil if the service
	// is unknown.
	Policy func(database string) *Policy
	// Dial opens a connection to the owner host in the target's Peer.
	Dial DialFunc
	// DatabaseLimit bounds the concurrently forwarded requests of one database; 0
	// means 64.
	DatabaseLimit int
	// OwnerLimit bounds the connections to one owner host; 0 means 256.
	OwnerLimit int
	// TotalLimit bounds the connections to all owner hosts; 0 means 2048.
	TotalLimit int
	// Recorder may be nil.
	Recorder Recorder
}

// EntryRouter assigns connections to transactions on any database: to a backend
// server if this host owns the database, otherwise to an owner host. It is safe
// for concurrent use.
//
// A forwarded request is admitted twice, by the limiter of its database and by
// that of the owner host. Both order requests by class, so that a class of high
// priority does not queue behind lower ones for the same owner.
type EntryRouter struct {
	cfg             EntryConfig
	pools           *Pools
	owners          sync.Map       // host name to *admission.Limiter
	databases       sync.Map       // database name to *entryDatabase
	unknownDatabase *entryDatabase // for databases whose service is unknown
	defaultPolicy   *Policy

	watch   *ownerWatch
	probes  sync.WaitGroup
	closing context.Context
	stop    context.CancelFunc

	mu         sync.Mutex
	downOwners map[string]outage
}

// entryDatabase holds the admission state of one database on an entry host.
type entryDatabase struct {
	limiter *admission.Limiter
	budget  *admission.RetryBudget
}

// outage is the state of an owner host that could not be reached.
type outage struct {
	target    Target
	since     time.Time
	nextProbe time.Time // when to probe the host next
	nextTry   time.Time // earliest retry by a request while no owner is reachable
}

// NewEntryRouter returns a router for all databases. The caller must close it.
func NewEntryRouter(cfg EntryConfig) *EntryRouter {
	if cfg.Recorder == nil {
		cfg.Recorder = nopRecorder{}
	}
	setDefaultLimit(&cfg.DatabaseLimit, defaultDatabaseLimit)
	setDefaultLimit(&cfg.OwnerLimit, defaultOwnerLimit)
	setDefaultLimit(&cfg.TotalLimit, defaultTotalLimit)
	e := &EntryRouter{
		cfg:           cfg,
		defaultPolicy: NewPolicy(&config.Service{}),
		watch:         newOwnerWatch(),
		downOwners:    make(map[string]outage),
	}
	e.closing, e.stop = context.WithCancel(context.Background())
	e.unknownDatabase = e.newDatabase()
	e.pools = NewPools(PoolsConfig{
		Dial:        cfg.Dial,
		PeerLimit:   func() int { return cfg.OwnerLimit },
		TotalLimit:  func() int { return cfg.TotalLimit },
		DialTimeout: ownerDialTimeout,
	})
	return e
}

func setDefaultLimit(n *int, v int) {
	if *n <= 0 {
		*n = v
	}
}

func (e *EntryRouter) newDatabase() *entryDatabase {
	return &entryDatabase{
		limiter: admission.NewLimiter(func() int { return e.cfg.DatabaseLimit }),
		budget:  admission.NewRetryBudget(),
	}
}

// Close refuses waiting and subsequent requests to other hosts. It does not
// close the local routers.
func (e *EntryRouter) Close() {
	e.unknownDatabase.limiter.Close()
	for _, d := range e.databases.Range {
		d.(*entryDatabase).limiter.Close()
	}
	for _, l := range e.owners.Range {
		l.(*admission.Limiter).Close()
	}
	e.stop()
	e.probes.Wait()
	e.pools.Close()
}

// Maintain probes owner hosts whose responses are overdue, closes connections
// that exceed the idle timeout, and removes the state of unused hosts and
// databases, which would grow without bound as thousands of hosts are replaced
// per day. The owner of the router must call it every MaintainInterval.
func (e *EntryRouter) Maintain() {
	e.probeOwners()
	e.pools.Maintain()
	for name, l := range e.owners.Range {
		n, waiting := l.(*admission.Limiter).Load()
		if n+waiting+e.pools.OpenConnections(name.(string)) == 0 {
			e.owners.Delete(name)
		}
	}
	for name := range e.databases.Range {
		if e.cfg.Policy(name.(string)) == nil {
			e.databases.Delete(name)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.downOwners, func(_ string, o outage) bool { return time.Since(o.since) > outageTTL })
}

// lookup returns the policy and the limiters of a database.
func (e *EntryRouter) lookup(name string) (*Policy, *entryDatabase) {
	var p *Policy
	if e.cfg.Policy != nil {
		p = e.cfg.Policy(name)
	}
	if p == nil {
		return e.defaultPolicy, e.unknownDatabase
	}
	if d, ok := e.databases.Load(name); ok {
		return p, d.(*entryDatabase)
	}
	d, _ := e.databases.LoadOrStore(name, e.newDatabase())
	return p, d.(*entryDatabase)
}

// ownerLimiter returns the admission limiter of an owner host.
func (e *EntryRouter) ownerLimiter(name string) *admission.Limiter {
	if l, ok := e.owners.Load(name); ok {
		return l.(*admission.Limiter)
	}
	l, _ := e.owners.LoadOrStore(name, admission.NewLimiter(func() int { return e.cfg.OwnerLimit }))
	return l.(*admission.Limiter)
}

// Begin implements Router. The session that sends a forwarded request to its
// owner host increments the hop count.
func (e *EntryRouter) Begin(ctx context.Context, r Request) (Tx, error) {
	owners := e.cfg.Owners.Owners(r.Database)
	if local := e.local(owners, r.Database); local != nil {
		return local.Begin(ctx, r)
	}
	now := time.Now()
	policy, database := e.lookup(r.Database)
	class := policy.class(r.Class)
	database.budget.Deposit()
	if r.Hops >= maxHops {
		err := &refusal{kind: RefusedHops, reason: fmt.Sprintf("forwarded %d times without reaching an owner of the database", r.Hops)}
		return nil, refuse(ctx, e.cfg.Recorder, class.labels, err)
	}
	tx, err := e.forward(ctx, owners, &forwardTx{
		router:   e,
		request:  r,
		database: database,
		class:    class,
		start:    now,
	})
	var notRun *NotRunError
	switch {
	case errors.As(err, &notRun):
		// The local router, which took over meanwhile, has recorded the refusal.
		return nil, err
	case err != nil:
		return nil, refuse(ctx, e.cfg.Recorder, class.labels, err)
	}
	if tx.Forwarded() {
		e.cfg.Recorder.Began(class.labels, PathForward, time.Since(now))
	}
	return tx, nil
}

// local returns the local router if this host is an owner of the database, and
// nil otherwise.
func (e *EntryRouter) local(owners []Host, database string) Router {
	for _, h := range owners {
		if h.Self {
			return e.cfg.Local(database)
		}
	}
	return nil
}

// forward waits for a connection to an owner host, or for this host to become
// an owner.
func (e *EntryRouter) forward(ctx context.Context, owners []Host, t *forwardTx) (Tx, error) {
	deadline := t.class.deadlineOf(&t.request, t.start)
	t.databaseTicket = admission.Ticket{Class: &t.class.primary, Deadline: deadline}
	t.ownerTicket = t.databaseTicket
	if e.tryConnect(owners, t) {
		return t, nil
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := t.database.limiter.Acquire(ctx, &t.databaseTicket); err != nil {
		return nil, err
	}
	tx, err := e.waitOwner(ctx, owners, t)
	if tx != Tx(t) {
		t.database.limiter.Cancel(&t.databaseTicket)
	}
	return tx, err
}

// tryConnect reports whether it got a connection to the preferred owner without
// waiting. It avoids the cost of a context with a deadline in the common case.
func (e *EntryRouter) tryConnect(owners []Host, t *forwardTx) bool {
	if len(owners) == 0 || owners[0].Self || !e.isUp(owners[0].Name) {
		return false
	}
	if !t.database.limiter.TryAcquire(&t.databaseTicket) {
		return false
	}
	t.ownerLimiter = e.ownerLimiter(owners[0].Name)
	if t.ownerLimiter.TryAcquire(&t.ownerTicket) {
		t.conn = e.pools.tryGet(t.target(owners[0]))
		if t.conn != nil {
			e.watch.requestStarted(t.conn.pool.target)
			return true
		}
		t.ownerLimiter.Cancel(&t.ownerTicket)
	}
	t.database.limiter.Cancel(&t.databaseTicket)
	return false
}

// waitOwner tries the owners until one is reached or ctx ends. If this host becomes
// an owner meanwhile, the local router takes over.
func (e *EntryRouter) waitOwner(ctx context.Context, owners []Host, t *forwardTx) (Tx, error) {
	for {
		reached, err := e.tryOwners(ctx, owners, t)
		if err != nil {
			return nil, err
		}
		if reached {
			return t, nil
		}
		if err := retry.Sleep(ctx, noOwnerRetryInterval); err != nil {
			return nil, fmt.Errorf("no owner of the database is reachable: %w", err)
		}
		owners = e.cfg.Owners.Owners(t.request.Database)
		if local := e.local(owners, t.request.Database); local != nil {
			return local.Begin(ctx, t.request)
		}
	}
}

// tryOwners tries the owners in order of preference, those known to be down
// last. It reports whether one was reached.
func (e *EntryRouter) tryOwners(ctx context.Context, owners []Host, t *forwardTx) (bool, error) {
	for _, lastResort := range []bool{false, true} {
		for _, h := range owners {
			if h.Self || !e.mayTry(h.Name, lastResort) {
				continue
			}
			err := e.connect(ctx, h, t)
			if err == nil {
				return true, nil
			}
			var refused *admission.RefusedError
			if errors.As(err, &refused) || errors.Is(err, ErrPoolClosed) || ctx.Err() != nil {
				return false, err
			}
		}
	}
	return false, nil
}

// connect waits for a connection to one owner host.
func (e *EntryRouter) connect(ctx context.Context, h Host, t *forwardTx) error {
	limiter := e.ownerLimiter(h.Name)
	if err := limiter.Acquire(ctx, &t.ownerTicket); err != nil {
		return err
	}
	conn, err := e.pools.get(ctx, t.target(h))
	if err != nil {
		limiter.Cancel(&t.ownerTicket)
		if ctx.Err() == nil && !errors.Is(err, ErrPeerClosed) {
			e.markDown(t.target(h))
		}
		return err
	}
	e.markUp(h.Name)
	e.watch.requestStarted(t.target(h))
	t.conn = conn
	t.ownerLimiter = limiter
	return nil
}

func (e *EntryRouter) isUp(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, down := e.downOwners[name]
	return !down
}

// mayTry reports whether a request may try the host: without lastResort if it is
// not known to be down, with lastResort if it is down and no other request has
// tried it within the retry interval.
func (e *EntryRouter) mayTry(name string, lastResort bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	o, down := e.downOwners[name]
	if !down || !lastResort {
		return !down && !lastResort
	}
	now := time.Now()
	if now.Before(o.nextTry) {
		return false
	}
	o.nextTry = now.Add(noOwnerRetryInterval)
	e.downOwners[name] = o
	return true
}

// markDown makes requests use another owner until this one responds to a probe.
func (e *EntryRouter) markDown(t Target) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	o, down := e.downOwners[t.Peer]
	if !down {
		o.since = now
	}
	o.target, o.nextProbe, o.nextTry = t, now.Add(downOwnerProbeInterval), now.Add(noOwnerRetryInterval)
	e.downOwners[t.Peer] = o
}

// downOwnersDue returns the owners that are down and due for a probe.
func (e *EntryRouter) downOwnersDue(now time.Time) []Target {
	e.mu.Lock()
	defer e.mu.Unlock()
	var targets []Target
	for name, o := range e.downOwners {
		if now.Before(o.nextProbe) {
			continue
		}
		o.nextProbe = now.Add(downOwnerProbeInterval)
		e.downOwners[name] = o
		targets = append(targets, o.target)
	}
	return targets
}

func (e *EntryRouter) markUp(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.downOwners, name)
}

// forwardTx implements Tx on a connection to an owner host.
type forwardTx struct {
	router         *EntryRouter
	request        Request
	database       *entryDatabase
	class          *classPolicy
	start          time.Time
	conn           *pooledConn
	ownerLimiter   *admission.Limiter
	databaseTicket admission.Ticket // in the database's limiter
	ownerTicket    admission.Ticket // in ownerLimiter
	released       atomic.Bool
}

func (t *forwardTx) target(h Host) Target {
	return Target{Peer: h.Name, Address: h.ForwardAddress, User: t.request.User, Database: t.request.Database}
}

// Conn implements Tx.
func (t *forwardTx) Conn() Conn { return t.conn.conn }

// Forwarded implements Tx.
func (t *forwardTx) Forwarded() bool { return true }

// Finish implements Tx. The owner host confirmed the transaction and reported
// the session token before it responded.
func (t *forwardTx) Finish(context.Context) (string, error) {
	t.router.cfg.Recorder.Finished(t.class.labels, time.Since(t.start))
	return "", nil
}

// MayRetry implements Tx. It closes the idle connections to the owner, as they
// have probably failed too; the retry then opens a new one, which shows whether
// the owner is reachable.
func (t *forwardTx) MayRetry() bool {
	t.router.pools.closeUnused(t.conn.pool, 0)
	reads := t.class.read || t.request.ReadOnly
	return mayRetry(t.class, reads, t.request.Key != "", t.database.budget)
}

// Release implements Tx.
func (t *forwardTx) Release(clean bool) {
	if !t.released.CompareAndSwap(false, true) {
		return
	}
	t.router.watch.requestEnded(t.conn.pool.target.Peer, clean)
	t.router.pools.put(t.conn, clean)
	endAdmission(t.ownerLimiter, &t.ownerTicket, clean)
	endAdmission(t.database.limiter, &t.databaseTicket, clean)
}
