package backend

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/statement"
)

// On platforms that do not stop a replaced primary, a host uses primaries only
// while its write lease allows it; see package writelease.

const (
	// writeLeaseWait is how long a statement waits for the write lease of the host.
	// A host without a lease is usually cut off from all other hosts, and the
	// caller is better served elsewhere.
	writeLeaseWait = 500 * time.Millisecond
	// drainPollInterval is the time between checks of outstanding statements on
	// revoked servers.
	drainPollInterval = 10 * time.Millisecond
	// lostAnswerAge is the age of the server's last answer above which outstanding
	// statements are not waited for. A server that is alive answers probes sooner.
	lostAnswerAge = time.Second
)

// ErrNoWriteLease means that the write lease does not allow the use of the
// primary. Nothing was sent.
var ErrNoWriteLease = errors.New("host holds no write lease for the primary")

func (g *Group) hasWriteLease() bool {
	lease := g.options.WriteLease
	return lease == nil || lease.Valid(g.options.Now())
}

// checkUse returns nil if a statement may be sent to the server as the primary. It fails
// with ErrNoWriteLease or ErrSuspended.
func (g *Group) checkUse(p *Pool) error {
	lease := g.options.WriteLease
	switch {
	case lease != nil && !lease.Allows(g.options.Now(), g.name, p.primaryTerm()):
		return ErrNoWriteLease
	case g.isSuspended(p):
		return ErrSuspended
	default:
		return nil
	}
}

// isRevoked reports whether no server may be used as the primary of the term; 0
// stands for an unknown term.
func (g *Group) isRevoked(term group.Term) bool {
	lease := g.options.WriteLease
	return lease != nil && lease.IsRevoked(g.name, term)
}

// primaryTerm returns the highest term in which this host verified the server as
// the primary, or 0.
func (p *Pool) primaryTerm() group.Term { return group.Term(p.verifiedTerm.Load()) }

// ApplyRevocations forgets the primary if its term has been revoked. It must be called
// after each change of the revocations.
func (g *Group) ApplyRevocations() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if p := g.primary; p != nil && g.isRevoked(p.primaryTerm()) {
		g.setPrimary(nil)
	}
}

// verifyTerm asks a server that accepts transactions for the term that it leads.
// The position of its log does not show the term before the first commit. It fails
// with errNotPrimary if the term is revoked, as that of a replaced primary that
// has not noticed it.
func (g *Group) verifyTerm(deadline time.Time, p *Pool, exchange exchangeFunc) error {
	answers, _, err := exchange(deadline, statement.Statement{Kind: statement.Status})
	if err != nil {
		return err
	}
	status, err := p.backends.ParseStatus(answers[0])
	if err != nil {
		return err
	}
	if !status.Primary || g.isRevoked(status.Term) {
		g.RecordNotPrimary(p)
		return errNotPrimary
	}
	p.raiseTerm(status.Term)
	return nil
}

// raiseTerm records that the server was verified as the primary of the term.
func (p *Pool) raiseTerm(term group.Term) {
	for {
		old := p.verifiedTerm.Load()
		if uint64(term) <= old || p.verifiedTerm.CompareAndSwap(old, uint64(term)) {
			return
		}
	}
}

// HighestTerm returns the highest term of the service known to this host.
func (g *Group) HighestTerm() group.Term {
	g.mu.Lock()
	defer g.mu.Unlock()
	term := g.term
	for _, p := range g.pools {
		term = max(term, p.primaryTerm())
	}
	for _, p := range g.retiringPools {
		term = max(term, p.primaryTerm())
	}
	return term
}

// verifyClaims probes servers that registered as the primary although their term
// is unknown or revoked. They are used once the probe shows a higher term.
func (g *Group) verifyClaims(claims []*Pool) {
	for _, p := range claims {
		if !p.verifyingClaim.CompareAndSwap(false, true) {
			continue
		}
		go func() {
			defer p.verifyingClaim.Store(false)
			_ = g.verifyPrimary(p, false)
		}()
	}
}

// DrainRevoked waits until no statement is outstanding on revoked servers, and
// reports whether that was so before ctx ended. Statements on a server that does
// not answer are not waited for.
func (g *Group) DrainRevoked(ctx context.Context) bool {
	return poll(ctx, func() bool { return !g.hasOutstandingOnRevoked() })
}

func (g *Group) hasOutstandingOnRevoked() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.options.Now()
	retiring := g.retiringPools[:0]
	for _, p := range g.retiringPools {
		if p.outstanding.Load() > 0 {
			retiring = append(retiring, p)
		}
	}
	g.retiringPools = retiring
	for _, p := range g.pools {
		if g.isOutstandingOnRevoked(p, now) {
			return true
		}
	}
	for _, p := range retiring {
		if g.isOutstandingOnRevoked(p, now) {
			return true
		}
	}
	return false
}

func (g *Group) isOutstandingOnRevoked(p *Pool, now time.Time) bool {
	return p.hasOutstanding(now) && g.isRevoked(p.primaryTerm())
}
