package backend

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/statement"
)

// If a service has fewer connections than its hosts need, some hosts own its
// connections, and the others have their statements run by an owner. Owners keep
// their connections open and queue the statements of several hosts for them, so a
// statement waits for a free connection rather than for a host that gives one up.

const (
	// ownerConnections is the number of connections to one server that an owner
	// needs, so that open transactions do not block the other statements.
	ownerConnections = 6
	// minOwners is the number of owners that a service has at least, so that it is
	// served when one of them is lost.
	minOwners = 2
	// maxOwnerTries is the number of owners that are asked in turn to run a
	// statement.
	maxOwnerTries = 3
	// failedOwnerPause is how long an owner that did not answer is asked after all
	// others. It doubles with each further failure, up to maxFailedOwnerPause.
	failedOwnerPause    = 2 * time.Second
	maxFailedOwnerPause = 32 * time.Second
	// refusedPause is the pause after an owner got no connection for a statement,
	// before the host tries again.
	refusedPause = 120 * time.Millisecond
	// ownerReserve is the part of the connections, as a divisor, that owners leave to
	// probes and commands.
	ownerReserve = 8
	// releaseTimeout bounds the request to give up a connection.
	releaseTimeout = time.Second
)

// Batch is a sequence of statements that one host runs for another.
type Batch struct {
	// Handle names the open transaction that the statements belong to; empty if
	// there is none.
	Handle string
	// Release rolls back the transaction and gives its connection up. The batch has
	// no statements.
	Release    bool
	Statements []statement.Statement
	// Session is the session that the statements require.
	Session Session
	// AsPrimary is true if only the primary may execute the statements.
	AsPrimary bool
	// Priority is that of the route; 0 is the most urgent.
	Priority int
	// Timeout bounds the execution, and IdleTimeout the time until the next batch of
	// the transaction.
	Timeout, IdleTimeout time.Duration
}

// BatchResult is the result of a batch.
type BatchResult struct {
	Answers []statement.Answer
	// Failure tells why statements were not answered; empty if all were.
	Failure string
	// MayRun is false if none of the statements was sent to the backend server.
	MayRun bool
	// Unavailable is true if the owner takes no statements now, and Overloaded if it
	// has more than its connections can serve in time.
	Unavailable, Overloaded bool
	// Handle names the transaction that is open now; empty if there is none.
	Handle string
}

// Owner is a host that runs statements for others.
type Owner interface {
	// Name returns the name of the host.
	Name() string
	// Execute runs a batch on a server of the service. It fails with an error that
	// wraps ErrNotSent if the owner did not get the batch.
	Execute(ctx context.Context, service, server string, b Batch) (BatchResult, error)
}

// The errors of forwarded statements.
var (
	// ErrNotSent means that the owner did not get the batch.
	ErrNotSent = errors.New("owner of the connections was not reached")
	// ErrOverloaded means that the owner has more statements than its connections can
	// serve before their deadlines. The statement was not sent, and another attempt
	// would not be served either.
	ErrOverloaded = errors.New("owner of the connections is overloaded")
	// errOwner is wrapped by the failures that an owner reports.
	errOwner = errors.New("owner of the connections")
	// errOwnerLost means that the owner did not answer.
	errOwnerLost = errors.New("owner of the connections did not answer")
)

// ownerList holds the owners of the connections of a service.
type ownerList struct {
	mu sync.Mutex
	// owners is empty if this host uses its own connections.
	owners []Owner
	// failures holds the owners that did not answer last time, by name.
	failures map[string]ownerFailure
}

// ownerFailure is the state of an owner that did not answer.
type ownerFailure struct {
	until time.Time
	pause time.Duration
}

// OwnerCount returns the number of owners that a service with the limit has in a
// fleet, or 0 if each host has enough connections of its own.
func OwnerCount(connectionLimit, hosts int) int {
	if hosts <= 1 || connectionLimit/hosts >= minShare {
		return 0
	}
	return max(min(minOwners, connectionLimit), connectionLimit/ownerConnections)
}

// ownerShare returns the number of connections to one server that an owner may
// have.
func ownerShare(connectionLimit, owners int) int {
	return max(1, (connectionLimit-connectionLimit/ownerReserve)/owners)
}

// SetTransactionIdleTimeout sets the time after which an idle transaction that runs
// on another host is rolled back there.
func (g *Group) SetTransactionIdleTimeout(d time.Duration) { g.transactionIdleTimeout.Store(int64(d)) }

// SetOwners sets the owners that run the statements of this host, in the order of
// preference; none if this host uses its own connections.
func (g *Group) SetOwners(owners []Owner) {
	g.owners.mu.Lock()
	defer g.owners.mu.Unlock()
	g.owners.owners = owners
}

// forwards reports whether other hosts run the statements of this one.
func (g *Group) forwards() bool {
	g.owners.mu.Lock()
	defer g.owners.mu.Unlock()
	return len(g.owners.owners) > 0
}

// candidates returns the owners to ask, those that failed lately last.
func (l *ownerList) candidates(now time.Time) []Owner {
	l.mu.Lock()
	defer l.mu.Unlock()
	var healthy, failed []Owner
	for _, o := range l.owners {
		if now.Before(l.failures[o.Name()].until) {
			failed = append(failed, o)
		} else {
			healthy = append(healthy, o)
		}
	}
	out := append(healthy, failed...)
	return out[:min(len(out), maxOwnerTries)]
}

func (l *ownerList) recordFailure(o Owner, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failures == nil {
		l.failures = map[string]ownerFailure{}
	}
	pause := min(max(2*l.failures[o.Name()].pause, failedOwnerPause), maxFailedOwnerPause)
	l.failures[o.Name()] = ownerFailure{until: now.Add(pause), pause: pause}
}

func (l *ownerList) recordAnswer(o Owner) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.failures, o.Name())
}

// remoteConn is the state of a Conn whose statements an owner runs.
type remoteConn struct {
	priority int
	// owner runs the open transaction with the handle; nil if there is none.
	owner  Owner
	handle string
	// lost is true if the transaction is no longer open on its owner.
	lost bool
}

// errTransactionLost means that the owner no longer holds the transaction.
var errTransactionLost = errors.New("transaction on the owner of the connections is lost")

// exchange has the statements run by an owner. Only the owner of an open
// transaction can continue it; otherwise the next owner is asked if one did not get
// the statements.
func (r *remoteConn) exchange(p *Pool, deadline time.Time, asPrimary bool, want Session, requests []statement.Statement) ([]statement.Answer, bool, error) {
	g := p.group
	if r.lost {
		// On another connection, the statement would run outside the transaction.
		return nil, false, errTransactionLost
	}
	batch := Batch{
		Handle: r.handle, Statements: requests, Session: want, AsPrimary: asPrimary, Priority: r.priority,
		IdleTimeout: time.Duration(g.transactionIdleTimeout.Load()),
	}
	owners := []Owner{r.owner}
	if r.handle == "" {
		owners = g.owners.candidates(g.options.Now())
	}
	err := ErrNotSent
	for _, o := range owners {
		batch.Timeout = time.Until(deadline)
		if batch.Timeout <= 0 {
			break
		}
		var result BatchResult
		result, err = r.execute(p, o, deadline, batch)
		if result.Unavailable || errors.Is(err, ErrNotSent) {
			g.owners.recordFailure(o, g.options.Now())
			continue
		}
		if err != nil {
			g.owners.recordFailure(o, g.options.Now())
			r.handle, r.lost = "", true
			return nil, true, err
		}
		g.owners.recordAnswer(o)
		r.owner, r.handle = o, result.Handle
		if result.Overloaded {
			return nil, false, fmt.Errorf("%w: %s", ErrOverloaded, result.Failure)
		}
		if result.Failure != "" {
			r.lost = batch.Handle != ""
			if !result.MayRun {
				time.Sleep(min(refusedPause, time.Until(deadline)))
			}
			return result.Answers, result.MayRun, fmt.Errorf("%w: %s", errOwner, result.Failure)
		}
		return result.Answers, result.MayRun, nil
	}
	r.handle, r.lost = "", batch.Handle != ""
	return nil, false, fmt.Errorf("%w: %w", ErrNoConnection, err)
}

func (r *remoteConn) execute(p *Pool, o Owner, deadline time.Time, b Batch) (BatchResult, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	result, err := o.Execute(ctx, p.group.name, p.Server().ID, b)
	switch {
	case err == nil || errors.Is(err, ErrNotSent):
		return result, err
	default:
		return result, fmt.Errorf("%w: %w", errOwnerLost, err)
	}
}

// release gives up the connection of an open transaction.
func (r *remoteConn) release(p *Pool) {
	if r.handle == "" {
		return
	}
	owner, batch := r.owner, Batch{Handle: r.handle, Release: true}
	r.handle = ""
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		// The owner releases the connection by itself after the idle timeout.
		_, _ = owner.Execute(ctx, p.group.name, p.Server().ID, batch)
	}()
}
