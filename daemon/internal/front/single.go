package front

import (
	"context"
	"time"

	"github.com/gypsumgap/gypsumgap/core/admission"
	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/retry"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

const (
	// defaultTimeout limits a statement where its route sets no limit.
	defaultTimeout = 5 * time.Second
	// retryPause follows a refusal by a busy backend server.
	retryPause = 15 * time.Millisecond
	// classQueue bounds the statements of one priority that wait for a connection
	// to one backend server.
	classQueue = 64
	// priorities is the number of priorities that are told apart.
	priorities = 4
	// replyMargin is the part of the time limit that is kept for the refusal of a
	// statement that found no server, so that it arrives within the limit.
	replyMargin = 100 * time.Millisecond
)

// classes are the admission classes of the priorities.
var classes = func() (out [priorities]*admission.Class) {
	for i := range out {
		out[i] = &admission.Class{Name: string(rune('0' + i)), Priority: i + 1, QueueLimit: classQueue}
	}
	return out
}()

func classOf(r *catalog.Route) *admission.Class {
	return classes[min(max(r.Priority, 0), priorities-1)]
}

// run is the progress of one statement.
type run struct {
	ss      *session
	route   *catalog.Route
	group   *backend.Group
	ctx     context.Context
	began   time.Time
	limit   time.Time
	tried   map[*backend.Pool]bool
	outcome Outcome
}

// newRun starts the clock of a statement. The limit is kept on the steady clock.
func (ss *session) newRun(route *catalog.Route, g *backend.Group, id string) (*run, context.CancelFunc) {
	timeout := route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	limit := time.Now().Add(timeout)
	ctx, cancel := context.WithDeadline(context.Background(), limit.Add(-min(replyMargin, timeout/4)))
	r := &run{
		ss: ss, route: route, group: g, ctx: ctx, began: ss.server.options.Now(), limit: limit,
		tried: map[*backend.Pool]bool{}, outcome: Outcome{ID: id, Route: route},
	}
	return r, cancel
}

func (r *run) finish(a statement.Answer) statement.Answer {
	r.outcome.Code, r.outcome.Detail = a.Code, a.Detail
	r.outcome.Took = r.ss.server.options.Now().Sub(r.began)
	r.outcome.ConfigVersion = r.ss.server.version()
	if r.outcome.FailedOrSlow() {
		r.outcome.Health = r.group.Health()
	}
	r.ss.server.options.Recorder.Statement(r.outcome)
	return a
}

func (r *run) used(p *backend.Pool) {
	r.outcome.Attempts++
	r.outcome.Server = p.Server().ID
	r.outcome.Replica = r.group.Primary() != p
}

// pause waits before another attempt; it reports false if no time is left.
func (r *run) pause() bool { return retry.Sleep(r.ctx, retryPause) == nil }

// single runs a statement that is a transaction of its own.
func (ss *session) single(u unit) statement.Answer {
	route, g := ss.server.options.Catalog.Route(ss.database)
	if route == nil {
		return refuse(statement.NoDatabase, "no route for this database")
	}
	r, cancel := ss.newRun(route, g, u.statement.ID)
	defer cancel()
	if u.writes {
		return r.finish(r.write(u))
	}
	r.outcome.Read = true
	if route.Consistency == catalog.Primary {
		return r.finish(r.readPrimary(u))
	}
	return r.finish(r.readAnywhere(u))
}

// onPrimary makes attempts on the primary until one is final or no time is left,
// and returns the answer of the last.
func (r *run) onPrimary(attempt func(*backend.Pool) (a statement.Answer, final bool)) statement.Answer {
	for {
		p, err := r.group.WaitPrimary(r.ctx)
		if err != nil {
			return refuse(statement.Busy, "service has no primary that answers")
		}
		if a, final := attempt(p); final || !r.pause() {
			return a
		}
	}
}

// onFresh makes attempts on servers whose log is fresh enough for a read that
// began at the given time, each server once, until one is final. It reports
// false if none was.
func (r *run) onFresh(began time.Time, attempt func(p *backend.Pool, after group.Position) (final bool)) bool {
	for {
		after, ok := r.ss.required(r.route, r.group, began)
		if !ok {
			return false
		}
		p := r.group.SelectForRead(r.tried)
		if p == nil {
			return false
		}
		r.tried[p] = true
		if attempt(p, after) {
			return true
		}
	}
}

func notRun(why string) statement.Answer {
	return refuse(statement.Busy, "statement did not run: "+why)
}

// write runs a single write on the primary. It is sent again only after an
// answer that says it did not run.
func (r *run) write(u unit) statement.Answer {
	return r.onPrimary(func(p *backend.Pool) (statement.Answer, bool) { return r.writeOn(p, u) })
}

func (r *run) writeOn(p *backend.Pool, u unit) (a statement.Answer, final bool) {
	c, err := p.Acquire(r.ctx, classOf(r.route))
	if err != nil {
		return refuse(statement.Busy, err.Error()), r.ctx.Err() != nil
	}
	r.used(p)
	sent := r.ss.server.options.Now()
	a, mayRun, err := r.exchange(c, u)
	switch {
	case err != nil && mayRun:
		return refuse(statement.InDoubt, err.Error()), true
	case err != nil:
	case a.Code == statement.OK:
		r.committed(p, sent, a.Position)
		return a, true
	case a.Code == statement.ReadOnly:
		r.group.RecordNotPrimary(p)
	case !a.Code.NotExecuted() || a.Code == statement.MalformedStatement:
		return a, true
	}
	return notRun(a.Code.String()), false
}

// exchange sets the connection up, runs the unit on it and gives it back.
func (r *run) exchange(c *backend.Conn, u unit) (statement.Answer, bool, error) {
	setup := c.SessionSetup(r.ss.values, u.prepare)
	answers, sent, err := c.Exchange(r.limit, append(setup, u.statement)...)
	c.Release(err == nil && answers[len(answers)-1].State == statement.Idle)
	if err != nil {
		return statement.Answer{}, sent, err
	}
	return answers[len(answers)-1], sent, nil
}

// readPrimary runs a read inside a transaction of its own on the primary,
// because a server that was replaced still answers plain reads.
func (r *run) readPrimary(u unit) statement.Answer {
	return r.onPrimary(func(p *backend.Pool) (statement.Answer, bool) {
		a, final := r.readOnPrimary(p, u)
		if !final {
			a = notRun(a.Detail)
		}
		return a, final
	})
}

// readOnPrimary makes one attempt; done tells that the answer is final.
func (r *run) readOnPrimary(p *backend.Pool, u unit) (a statement.Answer, done bool) {
	c, err := p.Acquire(r.ctx, classOf(r.route))
	if err != nil {
		return refuse(statement.Busy, err.Error()), r.ctx.Err() != nil
	}
	r.used(p)
	if code, err := r.open(c, u.prepare, statement.Statement{Kind: statement.Begin}); err != nil || code != statement.OK {
		return refuse(statement.Busy, "transaction could not begin"), false
	}
	u.statement.MinPosition = group.Position{}
	answers, _, err := c.Exchange(r.limit, u.statement, statement.Statement{Kind: statement.Rollback})
	c.Release(err == nil && answers[len(answers)-1].State == statement.Idle)
	if len(answers) == 0 {
		return r.readFailed(err)
	}
	a = answers[0]
	switch {
	case a.Code == statement.OK, a.Code == statement.MalformedStatement:
		return a, true
	case a.Code == statement.ReadOnly:
		r.group.RecordNotPrimary(p)
	case !a.Code.NotExecuted():
		return a, r.outcome.Attempts > 1
	}
	return a, false
}

// open sets the session values, prepares a statement unless it is nil, and
// begins a transaction. The connection is given back unless the transaction has
// begun.
func (r *run) open(c *backend.Conn, prepare *statement.Statement, begin statement.Statement) (statement.Code, error) {
	p := c.Pool()
	sent := r.ss.server.options.Now()
	answers, _, err := c.Exchange(r.limit, append(c.SessionSetup(r.ss.values, prepare), begin)...)
	if err != nil {
		c.Release(false)
		return statement.Busy, err
	}
	last := answers[len(answers)-1]
	if last.Code != statement.OK {
		c.Release(last.State == statement.Idle)
		if last.Code == statement.ReadOnly {
			r.group.RecordNotPrimary(p)
		}
		return last.Code, nil
	}
	if begin.Kind == statement.Begin {
		r.group.ConfirmPrimary(p, sent, last.Position)
	}
	return statement.OK, nil
}

// readFailed answers a read whose connection broke: it is tried again while
// there is time, since a read may run twice.
func (r *run) readFailed(err error) (statement.Answer, bool) {
	if time.Now().After(r.limit.Add(-replyMargin)) {
		return refuse(statement.Timeout, err.Error()), true
	}
	return refuse(statement.Busy, err.Error()), false
}

// required returns the position that a log must hold for a read that began at
// the given time; false if no sample of the primary is young enough.
func (ss *session) required(r *catalog.Route, g *backend.Group, began time.Time) (group.Position, bool) {
	position, ok := g.Freshness.LowestCovering(began.Add(-r.MaxStaleness))
	if !ok {
		return group.Position{}, false
	}
	if r.Consistency == catalog.ReadYourWrites {
		position = later(position, ss.written[r.Service])
	}
	return position, true
}

func later(a, b group.Position) group.Position {
	if a.Compare(b) >= 0 {
		return a
	}
	return b
}

// readAnywhere runs a read on any server whose log is fresh enough, and on the
// primary if there is none or no sample is young enough.
func (r *run) readAnywhere(u unit) (a statement.Answer) {
	done := r.onFresh(r.began, func(p *backend.Pool, after group.Position) (final bool) {
		u.statement.MinPosition = after
		a, final = r.readOn(p, u)
		return final
	})
	if done {
		return a
	}
	return r.readPrimary(u)
}

func (r *run) readOn(p *backend.Pool, u unit) (statement.Answer, bool) {
	c, err := p.Acquire(r.ctx, classOf(r.route))
	if err != nil {
		return refuse(statement.Busy, err.Error()), r.ctx.Err() != nil
	}
	r.used(p)
	a, _, err := r.exchange(c, u)
	if err != nil {
		return r.readFailed(err)
	}
	switch {
	case a.Code == statement.OK, a.Code == statement.MalformedStatement:
		return a, true
	default:
		// A read that failed is repeated on another server; readPrimary gives the
		// final answer when all were tried.
		return a, false
	}
}
