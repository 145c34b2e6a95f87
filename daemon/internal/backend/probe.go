package backend

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/gypsumgap/gypsumgap/core/admission"
	"github.com/gypsumgap/gypsumgap/core/statement"
)

// The timing of probes of the primary.
const (
	// ProbeInterval is the age of the last proof of leadership after which a host
	// probes; the holder of the promotion duty takes HolderProbeInterval.
	ProbeInterval       = 600 * time.Millisecond
	HolderProbeInterval = 250 * time.Millisecond
	// probeTimeout bounds one probe, overdue is the age of the last answer after
	// which a host that waits for another one probes.
	probeTimeout = 250 * time.Millisecond
	overdue      = 300 * time.Millisecond
	// suspectMisses and suspectRefusals raise a suspicion.
	suspectMisses   = 2
	suspectRefusals = 2
	// searchInterval separates probes of all servers while no primary is known.
	searchInterval = 200 * time.Millisecond
	// provedLately is the age of a proof of leadership up to which a host says that
	// it reaches the primary.
	provedLately = time.Second
	// useMemory is how long after its last use a host that does not hold the
	// promotion duty watches the primary of a service: with many services most are
	// used by few hosts.
	useMemory = 3 * time.Second
	// probeQueue bounds the probes that wait for a connection.
	probeQueue = 1
)

// probeClass lets probes go before statements.
var probeClass = &admission.Class{Name: "probe", Priority: 0, QueueLimit: probeQueue, MayUseReserve: true}

// probes is the evidence against the primary.
type probes struct {
	running  bool
	last     time.Time
	misses   int
	refusals int
}

func (p *probes) reset() { p.misses, p.refusals = 0, 0 }

func (p *probes) suspects() bool { return p.misses >= suspectMisses || p.refusals >= suspectRefusals }

// Tick starts the probes that are due. A suspicion is followed up also if the
// service is no longer used, since it is reported. It must be called several times a second.
func (g *Group) ProbeIfDue(holder bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Now()
	interval := g.probeInterval(now, holder)
	suspicious := g.probes.misses+g.probes.refusals > 0
	if !holder && !suspicious && !g.usedLately(now) {
		return
	}
	if g.probes.running || now.Sub(g.probes.last) < min(searchInterval, interval) {
		return
	}
	if g.primary == nil {
		g.begin(now, g.search)
		return
	}
	unanswered := g.primary.outstanding.Load() > 0 && now.Sub(g.primary.LastAnswer()) > overdue
	relayed := !holder && now.Sub(g.relayed) < relayedLife && !g.troubled(now)
	proved := now.Sub(g.verified) < interval || relayed
	if proved && !suspicious && !unanswered {
		return
	}
	p, lost := g.primary, g.probes.suspects()
	g.begin(now, func() {
		if lost {
			go g.search()
		}
		g.check(p, suspicious || unanswered)
	})
}

// usedLately reports whether a statement, or another host, lately looked for a
// server.
func (g *Group) usedLately(now time.Time) bool {
	return now.Sub(time.Unix(0, g.used.Load())) <= useMemory
}

func (g *Group) probeInterval(now time.Time, holder bool) time.Duration {
	switch {
	case holder:
		return HolderProbeInterval
	case g.askedLately(now):
		return relayProbeInterval
	default:
		return ProbeInterval
	}
}

func (g *Group) begin(now time.Time, probe func()) {
	g.probes.running, g.probes.last = true, now
	go func() {
		probe()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.probes.running = false
	}()
}

// Look returns what the host knows of the primary, and whether it can tell if it
// reaches it. A host that does not probe the primary, since it does not use the
// service or has the samples of another host, probes it now.
func (g *Group) ObservePrimary() (h Health, known bool) {
	now := g.options.Now()
	used := now.Sub(time.Unix(0, g.used.Swap(now.UnixNano()))) <= useMemory
	h = g.Health()
	g.mu.Lock()
	p, watched := g.primary, used && now.Sub(g.relayed) >= relayedLife
	g.mu.Unlock()
	proved := now.Sub(h.VerifiedAt) < provedLately
	if p == nil || h.Suspected || watched || used && proved {
		return h, h.Suspected || p != nil && proved
	}
	err := g.prove(p, true)
	if err == nil || errors.Is(err, errNotLeading) {
		return g.Health(), true
	}
	h.Suspected = !closedAtOnce(err)
	return h, h.Suspected
}

// search asks every server whether it leads.
func (g *Group) search() {
	done := make(chan struct{})
	pools := g.Pools()
	for _, p := range pools {
		go func() {
			_ = g.prove(p, false)
			done <- struct{}{}
		}()
	}
	for range pools {
		<-done
	}
}

// check probes the primary and counts what speaks against it.
func (g *Group) check(p *Pool, fresh bool) {
	started := g.options.Now()
	err := g.prove(p, fresh)
	if err == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary != p || g.verified.After(started) {
		return
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		g.probes.refusals++
	case errors.Is(err, errFull), errors.Is(err, errRemoved), p.LastAnswer().After(started):
		// The server was not asked, or it answers others.
	case closedAtOnce(err):
	default:
		g.probes.misses++
	}
}

// closedAtOnce reports whether the server closed a new connection, as one does
// that has more connections than it may have.
func closedAtOnce(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF)
}

var errNotLeading = errors.New("backend server does not lead")

// prove begins and ends an empty transaction, which only a leading server
// accepts. With fresh set, or if no connection of the pool is free, it takes a
// connection of its own. Where connections are scarce, the pool opens none for
// probes.
func (g *Group) prove(p *Pool, fresh bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if conn := p.takeStanding(); conn != nil {
		err := g.ask(ctx, p, conn)
		if err == nil && p.keepStanding(conn) {
			return nil
		}
		_ = conn.Close()
		if err == nil || errors.Is(err, errNotLeading) || ctx.Err() != nil {
			return err
		}
	}
	if !fresh && !(g.scarce.Load() && !p.hasIdle()) {
		deadline, _ := ctx.Deadline()
		ticket := &admission.Ticket{Class: probeClass, Deadline: deadline}
		if p.limiter.TryAcquire(ticket) {
			c, err := p.take(ctx)
			if err != nil {
				p.limiter.Cancel(ticket)
				return err
			}
			c.ticket = ticket
			return g.proveOn(ctx, c)
		}
	}
	conn, err := p.backends.Dial(ctx, p.Server())
	if err != nil {
		var refused *statement.RefusedError
		if errors.As(err, &refused) {
			p.hear()
		}
		return err
	}
	p.group.options.Recorder.ConnectionOpened(g.name)
	err = g.ask(ctx, p, conn)
	if err != nil || !g.keepsStanding() || !p.keepStanding(conn) {
		_ = conn.Close()
	}
	return err
}

func (g *Group) proveOn(ctx context.Context, c *Conn) error {
	used := c.idleSince
	err := g.ask(ctx, c.pool, c.conn)
	c.probed = used
	c.Release(err == nil || errors.Is(err, errNotLeading))
	return err
}

func (g *Group) ask(ctx context.Context, p *Pool, conn statement.Conn) error {
	deadline, _ := ctx.Deadline()
	sent := g.options.Now()
	answers, _, err := conn.Exchange(deadline, statement.Statement{Kind: statement.Begin}, statement.Statement{Kind: statement.Rollback})
	if err != nil {
		return err
	}
	p.hear()
	if answers[0].Code != statement.OK {
		g.RecordNotPrimary(p)
		return errNotLeading
	}
	g.ConfirmPrimary(p, sent, answers[0].Position)
	return nil
}

// Order sends an order to a server on a connection of its own and returns the
// server's report.
func (p *Pool) SendCommand(ctx context.Context, order statement.Statement) (statement.ServerStatus, error) {
	conn, err := p.backends.Dial(ctx, p.Server())
	if err != nil {
		return statement.ServerStatus{}, err
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	answers, _, err := conn.Exchange(deadline, order)
	if err != nil {
		return statement.ServerStatus{}, err
	}
	p.hear()
	return p.backends.ParseStatus(answers[0])
}
