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

// Timeouts and limits of probes.
const (
	// ProbeInterval is the age at which a host renews its proof that a server is
	// the primary by a probe.
	ProbeInterval = 600 * time.Millisecond
	// HolderProbeInterval replaces ProbeInterval on the holder of the promotion
	// duty.
	HolderProbeInterval = 250 * time.Millisecond
	// probeTimeout bounds one probe.
	probeTimeout = 250 * time.Millisecond
	// answerOverdue is the age of the server's last answer above which a host that
	// waits for an answer sends a probe.
	answerOverdue = 300 * time.Millisecond
	// suspectMisses is the number of unanswered probes that make a primary
	// suspected.
	suspectMisses = 2
	// suspectRefusals is the number of refused connections that make a primary
	// suspected.
	suspectRefusals = 2
	// searchInterval is the time between probes of all servers while no primary is
	// known.
	searchInterval = 200 * time.Millisecond
	// maxProofAge is the age of the last proof up to which a host reports the
	// primary as reachable.
	maxProofAge = time.Second
	// useWindow is how long after the last use of a service a host that does not
	// hold the promotion duty keeps probing its primary. If there are many
	// services, most of them are used by few hosts.
	useWindow = 3 * time.Second
	// probeQueueLimit is the number of probes that may wait for a connection.
	probeQueueLimit = 1
)

// probeClass admits probes before statements.
var probeClass = &admission.Class{Name: "probe", Priority: 0, QueueLimit: probeQueueLimit, MayUseReserve: true}

// probeState is the state of the probes of a primary, and the failures since it
// last answered.
type probeState struct {
	running     bool
	lastStarted time.Time
	// misses counts the unanswered probes.
	misses int
	// refusals counts the refused connections.
	refusals int
}

func (p *probeState) reset() { p.misses, p.refusals = 0, 0 }

func (p *probeState) isSuspected() bool {
	return p.misses >= suspectMisses || p.refusals >= suspectRefusals
}

// ProbeIfDue starts the probes that are due. It must be called several times a
// second. holdsDuty is true if this host holds the promotion duty. A primary
// with failed probes is probed even if the service is no longer used, because
// the suspicion is reported to other hosts.
func (g *Group) ProbeIfDue(holdsDuty bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Now()
	interval := g.probeInterval(now, holdsDuty)
	hasFailures := g.probes.misses+g.probes.refusals > 0
	if !holdsDuty && !hasFailures && !g.isRecentlyUsed(now) {
		return
	}
	if g.probes.running || now.Sub(g.probes.lastStarted) < min(searchInterval, interval) {
		return
	}
	if g.primary == nil {
		g.startProbe(now, g.probeAllServers)
		return
	}
	unanswered := g.primary.outstanding.Load() > 0 && now.Sub(g.primary.LastAnswer()) > answerOverdue
	relayed := !holdsDuty && now.Sub(g.relayedSampleAt) < relayedSampleMaxAge && !g.hasRecentFailure(now)
	recentlyVerified := now.Sub(g.verifiedAt) < interval || relayed
	if recentlyVerified && !hasFailures && !unanswered {
		return
	}
	p, suspected := g.primary, g.probes.isSuspected()
	g.startProbe(now, func() {
		if suspected {
			go g.probeAllServers()
		}
		g.probePrimary(p, hasFailures || unanswered)
	})
}

// isRecentlyUsed reports whether a statement or another host needed a server of
// the group within useWindow.
func (g *Group) isRecentlyUsed(now time.Time) bool {
	return now.Sub(time.Unix(0, g.lastUsed.Load())) <= useWindow
}

func (g *Group) probeInterval(now time.Time, holdsDuty bool) time.Duration {
	switch {
	case holdsDuty:
		return HolderProbeInterval
	case g.servesSamples(now):
		return relayProbeInterval
	default:
		return ProbeInterval
	}
}

func (g *Group) startProbe(now time.Time, probe func()) {
	g.probes.running, g.probes.lastStarted = true, now
	go func() {
		probe()
		g.mu.Lock()
		defer g.mu.Unlock()
		g.probes.running = false
	}()
}

// ObservePrimary returns the state of the primary, and known, which reports
// whether this host can tell if it reaches the primary. A host that does not
// probe the primary regularly, because it does not use the service or obtains
// samples from another host, probes it now.
func (g *Group) ObservePrimary() (h Health, known bool) {
	now := g.options.Now()
	recentlyUsed := now.Sub(time.Unix(0, g.lastUsed.Swap(now.UnixNano()))) <= useWindow
	h = g.Health()
	g.mu.Lock()
	p, isMonitored := g.primary, recentlyUsed && now.Sub(g.relayedSampleAt) >= relayedSampleMaxAge
	g.mu.Unlock()
	recentlyVerified := now.Sub(h.VerifiedAt) < maxProofAge
	if p == nil || h.Suspected || isMonitored || recentlyUsed && recentlyVerified {
		return h, h.Suspected || p != nil && recentlyVerified
	}
	err := g.verifyPrimary(p, true)
	if err == nil || errors.Is(err, errNotPrimary) {
		return g.Health(), true
	}
	h.Suspected = !isConnectionReset(err)
	return h, h.Suspected
}

// probeAllServers probes every server in parallel to find the primary.
func (g *Group) probeAllServers() {
	done := make(chan struct{})
	pools := g.Pools()
	for _, p := range pools {
		go func() {
			_ = g.verifyPrimary(p, false)
			done <- struct{}{}
		}()
	}
	for range pools {
		<-done
	}
}

// probePrimary probes the primary and counts a failure.
func (g *Group) probePrimary(p *Pool, newConn bool) {
	started := g.options.Now()
	err := g.verifyPrimary(p, newConn)
	if err == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.primary != p || g.verifiedAt.After(started) {
		return
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		g.probes.refusals++
	case errors.Is(err, errDialPaused), errors.Is(err, errRemoved), p.LastAnswer().After(started):
		// The server was not asked, or it answers other statements.
	case isConnectionReset(err):
	default:
		g.probes.misses++
	}
}

// isConnectionReset reports whether the server closed a new connection at once,
// as servers do that exceed their connection limit.
func isConnectionReset(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, io.EOF)
}

var errNotPrimary = errors.New("backend server is not the primary")

// verifyPrimary begins and rolls back an empty transaction, which only a
// primary accepts. It uses a new connection if newConn is true or the pool has
// no free one. If connections are scarce, the pool does not open any for
// probes.
func (g *Group) verifyPrimary(p *Pool, newConn bool) error {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if conn := p.takeProbeConn(); conn != nil {
		err := g.sendProbe(ctx, p, conn.Exchange)
		if err == nil && p.storeProbeConn(conn) {
			return nil
		}
		_ = conn.Close()
		if err == nil || errors.Is(err, errNotPrimary) || ctx.Err() != nil {
			return err
		}
	}
	if !newConn && !(g.connectionsScarce.Load() && !p.hasIdle()) {
		deadline, _ := ctx.Deadline()
		ticket := &admission.Ticket{Class: probeClass, Deadline: deadline}
		if p.limiter.TryAcquire(ticket) {
			c, err := p.idleOrNewConn(ctx)
			if err != nil {
				p.limiter.Cancel(ticket)
				return err
			}
			c.ticket = ticket
			return g.verifyOnPooled(ctx, c)
		}
	}
	conn, err := p.backends.Dial(ctx, p.Server())
	if err != nil {
		var refused *statement.RefusedError
		if errors.As(err, &refused) {
			p.recordAnswer()
		}
		return err
	}
	p.group.options.Recorder.ConnectionOpened(g.name)
	err = g.sendProbe(ctx, p, conn.Exchange)
	if err != nil || !g.keepsProbeConn() || !p.storeProbeConn(conn) {
		_ = conn.Close()
	}
	return err
}

func (g *Group) verifyOnPooled(ctx context.Context, c *Conn) error {
	idleSince := c.idleSince
	err := g.sendProbe(ctx, c.pool, c.transmit)
	c.idleBeforeProbe = idleSince
	c.Release()
	return err
}

// exchangeFunc is Exchange of a statement.Conn.
type exchangeFunc func(deadline time.Time, statements ...statement.Statement) ([]statement.Answer, bool, error)

// sendProbe begins and rolls back an empty transaction. It fails with errNotPrimary if
// the server refuses either of them.
func (g *Group) sendProbe(ctx context.Context, p *Pool, exchange exchangeFunc) error {
	deadline, _ := ctx.Deadline()
	sent, leased := g.options.Now(), g.checkUse(p) == nil
	answers, _, err := exchange(deadline, statement.Statement{Kind: statement.Begin}, statement.Statement{Kind: statement.Rollback})
	if err != nil {
		return err
	}
	p.recordAnswer()
	if answers[0].Code != statement.OK || answers[1].State != statement.Idle {
		g.RecordNotPrimary(p)
		return errNotPrimary
	}
	if g.isRevoked(max(answers[0].Position.Term, p.primaryTerm())) {
		if err := g.verifyTerm(deadline, p, exchange); err != nil {
			return err
		}
	}
	g.confirmPrimary(p, sent, answers[0].Position, leased)
	return nil
}

// SendCommand sends a command to the server on a separate connection and
// returns the server's status. The deadline of ctx bounds the exchange.
func (p *Pool) SendCommand(ctx context.Context, command statement.Statement) (statement.ServerStatus, error) {
	conn, err := p.backends.Dial(ctx, p.Server())
	if err != nil {
		return statement.ServerStatus{}, err
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	answers, _, err := conn.Exchange(deadline, command)
	if err != nil {
		return statement.ServerStatus{}, err
	}
	p.recordAnswer()
	return p.backends.ParseStatus(answers[0])
}
