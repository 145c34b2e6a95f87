package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/core/succession"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// Timeouts and limits of a promotion.
const (
	// commandTimeout bounds a command to a backend server.
	commandTimeout = 500 * time.Millisecond
	// promoteTimeout bounds one call to the platform.
	promoteTimeout = 800 * time.Millisecond
	// promoteAttempts is the maximum number of calls for one promotion.
	promoteAttempts = 4
	// promoteRetryPause is the pause between these calls.
	promoteRetryPause = 150 * time.Millisecond
	// catchUpTimeout bounds the wait for the successor to receive the commits that
	// the former primary made before it stepped down.
	catchUpTimeout = 600 * time.Millisecond
	// catchUpPollInterval is the pause between status queries during that wait.
	catchUpPollInterval = 20 * time.Millisecond
)

// promotion is one replacement of a primary.
type promotion struct {
	group  *backend.Group
	reason succession.Reason
	// isPlanned is true if the primary can be asked to step down, so that the replicas
	// need not be paused.
	isPlanned bool
	// isRecorded is true if the record of the service shows this replacement.
	isRecorded bool
	primary    *backend.Pool
	// replaced is the ID of the primary or, if none is known now, of the last one; empty if
	// none ever was.
	replaced string
	// term is the highest known term of the service.
	term group.Term
	// replicas are asked for their logs.
	replicas []replicaLog
	// syncReplicas is the number of replicas that must receive a commit before it
	// is acknowledged.
	syncReplicas int
	// holders are the logs that may hold acknowledged commits.
	holders      commitHolders
	order        objects.Promotion
	promoter     objects.Promoter
	store        objects.Store
	isSameRegion func(zone string) bool
	// suspension precedes the choice of the successor; nil if there is nothing to suspend.
	suspension *suspension
	// endSuspension makes all hosts use a server again; nil if there are no suspensions.
	endSuspension func(ctx context.Context, server string)
	// paused is true once replicas were told to pause.
	paused bool
	// revocation precedes the order; nil if the platform stops replaced primaries.
	revocation *revocation
	// holdsDuty reports whether this host still holds the duty; nil if the platform
	// checks fencing tokens and commits do not wait for replicas.
	holdsDuty func() bool
	log       *logrus.Entry
	// replies holds the last reply of each of the replicas; nil for those that gave none.
	replies []*backend.LogReply
	// answered is the number of replicas that replied last, and doubts are their doubtful
	// replies.
	answered int
	doubts   doubts
	// logEnd is the end of the primary's log when it stepped down; zero if it did not. A
	// replica that has it has every acknowledged commit.
	logEnd group.Position
	// unresolved is true if the outcome of a call is unknown, so that the order
	// may still be executed, and unfinished if that of an earlier replacement may be.
	unresolved, unfinished bool
	// lastOrdered is the ID of the server of the last order without an answer.
	lastOrdered string
}

// errNoSuccessor means that no successor was chosen. Nothing was ordered.
var errNoSuccessor = errors.New("no replica can safely be promoted")

// errNotRecorded means that a successor can be chosen once the replacement is recorded.
// Nothing was changed.
var errNotRecorded = errors.New("replacement of the primary is not recorded yet")

// run replaces the primary. If that fails, replicas that it paused resume and hosts use
// the primary again, unless an order may still be carried out: its server lacks what
// others receive from now on.
func (p *promotion) run(ctx context.Context) error {
	err := p.replace(ctx)
	if err == nil && p.endSuspension != nil {
		// A former primary that leads again may still be suspended.
		p.endSuspension(ctx, p.order.Server)
	}
	if err == nil || !p.paused || p.unresolved || p.unfinished {
		return err
	}
	p.resumeReplicas(ctx)
	if p.suspension != nil {
		p.suspension.end(ctx)
	}
	return err
}

// replace chooses the successor and orders its promotion.
func (p *promotion) replace(ctx context.Context) error {
	best, err := p.firstChoice(ctx)
	if err != nil {
		return err
	}
	switch {
	case p.revocation != nil:
		if best, err = p.revokePrimary(ctx); err != nil {
			return err
		}
	case p.isPlanned:
		if best, err = p.demotePrimary(ctx, best); err != nil && p.syncReplicas > 0 {
			return err
		}
	}
	if err := p.confirmLogs(ctx, best); err != nil {
		return err
	}
	p.order.Server = best.ID
	p.log.WithFields(logrus.Fields{"event": "promotion_ordered", "server": best.ID, "received": best.Received.String(),
		"answered": p.answered}).Info("successor chosen; ordering its promotion")
	return p.requestPromotion(ctx)
}

// firstChoice returns the replica that would be promoted now.
func (p *promotion) firstChoice(ctx context.Context) (succession.Replica, error) {
	if p.pausesReplicas() && !p.unfinished {
		// Without a successor, nothing is recorded, suspended or paused.
		best, err := p.chooseSuccessor(p.ask(ctx, statement.Statement{Kind: statement.Status}))
		if err != nil {
			return best, err
		}
		if !p.isRecorded {
			return best, errNotRecorded
		}
	}
	if p.suspension != nil {
		p.suspension.begin(ctx)
	}
	if p.isPlanned && p.syncReplicas > 0 && p.primary != nil {
		if p.unfinished {
			p.resumeReplicas(ctx)
		}
		return p.awaitFollower(ctx)
	}
	return p.chooseSuccessor(p.queryReplicas(ctx))
}

// awaitFollower waits until a candidate has what a primary has now that can be asked to
// step down, for catchUpTimeout at most. Such a candidate will also have the rest once the
// primary has stepped down. Without one, the primary must not step down, since nothing may
// be able to replace it.
func (p *promotion) awaitFollower(ctx context.Context) (succession.Replica, error) {
	commandCtx, cancel := context.WithTimeout(ctx, commandTimeout)
	status, err := p.primary.SendCommand(commandCtx, statement.Statement{Kind: statement.Status})
	cancel()
	if err != nil {
		return p.chooseSuccessor(p.queryReplicas(ctx))
	}
	for until := time.Now().Add(catchUpTimeout); ; time.Sleep(catchUpPollInterval) {
		best, ok := succession.Longest(p.queryReplicas(ctx))
		if ok && best.Received.Compare(status.Received) >= 0 {
			return best, nil
		}
		if !time.Now().Before(until) {
			return best, fmt.Errorf("%w: none follows the primary", errNoSuccessor)
		}
	}
}

// chooseSuccessor returns the replica to promote. It fails with errNoSuccessor if an
// acknowledged commit may be missing in the logs of the replicas that replied.
//
// A reply may be from a process that has started without the log it was asked for. That log
// counts as lost, at the latest when the connection was opened.
//
// A lost log has received no commit since its loss. A log that reaches the position which
// the primary had after that holds everything that the lost one could hold, so its reply
// is not needed.
func (p *promotion) chooseSuccessor(replicas []succession.Replica) (succession.Replica, error) {
	if best, ok := succession.Longest(replicas); ok && p.logEnd != (group.Position{}) && best.Received.Compare(p.logEnd) >= 0 {
		return best, nil
	}
	lost, lostAt := p.holders.lost+p.doubts.count, p.holders.lostAt
	if p.doubts.lostAt.After(lostAt) {
		lostAt = p.doubts.lostAt
	}
	needed := p.requiredReplies(p.holders.servers + lost)
	if best, ok := succession.Successor(replicas, needed); ok {
		return best, nil
	}
	if lost > 0 {
		best, ok := succession.Successor(replicas, p.requiredReplies(p.holders.servers))
		position, known := p.group.Freshness.LowestCovering(lostAt)
		if ok && known && best.Received.Compare(position) >= 0 {
			return best, nil
		}
	}
	return succession.Replica{}, fmt.Errorf("%w: got %d replies, need %d, of which %d for lost logs and %d for doubtful replies, and no longer log of a leaving server",
		errNoSuccessor, len(replicas), needed, p.holders.lost, p.doubts.count)
}

// confirmLogs fails with errNoSuccessor if a server has registered that was not asked, or
// a replica may have started again without its log before it replied, while its entry in
// the store had not arrived here. Neither matters if the successor has all that the primary
// had when it stepped down.
func (p *promotion) confirmLogs(ctx context.Context, best succession.Replica) error {
	if p.syncReplicas == 0 || p.logEnd != (group.Position{}) && best.Received.Compare(p.logEnd) >= 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := p.store.List(ctx, objects.Servers, false)
	if err != nil {
		return fmt.Errorf("%w: entries of the replicas could not be read: %w", errNoSuccessor, err)
	}
	asked := map[logID]bool{}
	for _, r := range p.replicas {
		asked[logOf(r.server)] = true
	}
	registered := map[logID]bool{}
	for _, o := range list.Objects {
		if o.Server == nil || o.Server.Service != p.group.Name() {
			continue
		}
		registered[logOf(*o.Server)] = true
		if !asked[logOf(*o.Server)] && o.Server.ID != p.replaced {
			return fmt.Errorf("%w: server %s has registered since", errNoSuccessor, o.Server.ID)
		}
	}
	for _, r := range p.replicas {
		if r.isRegistered && !registered[logOf(r.server)] {
			return fmt.Errorf("%w: server %s has started again or left", errNoSuccessor, r.server.ID)
		}
	}
	return nil
}

// requiredReplies returns the number of replicas that must reply if so many servers may
// hold acknowledged commits. It guarantees that every commit that syncReplicas replicas
// received before it was acknowledged is in the log of one that replies.
func (p *promotion) requiredReplies(holders int) int {
	if p.syncReplicas == 0 {
		return 1
	}
	return max(holders-p.syncReplicas, 1)
}

// pausesReplicas reports whether replication is paused before the successor is
// chosen.
func (p *promotion) pausesReplicas() bool {
	return p.syncReplicas > 0 && !p.isPlanned
}

// demotePrimary makes the primary a replica, so that it accepts no more
// commits, and waits until a candidate has received everything that it
// committed.
func (p *promotion) demotePrimary(ctx context.Context, best succession.Replica) (succession.Replica, error) {
	if p.primary == nil {
		return best, errNoSuccessor
	}
	if err := p.stepDown(ctx); err != nil {
		return best, err
	}
	return p.awaitCatchUp(ctx, best)
}

// stepDown tells the primary to step down and records the end of its log.
func (p *promotion) stepDown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	status, err := p.primary.SendCommand(ctx, statement.Statement{Kind: statement.Demote, Term: p.term + 1})
	if err != nil {
		p.log.WithField("event", "step_down_failed").WithError(err).Warn("primary did not accept the command to step down")
		return err
	}
	p.logEnd = status.Received
	return nil
}

// awaitCatchUp waits until a candidate has received all that the primary had when it
// stepped down, for catchUpTimeout at most, and returns the best candidate. It fails with
// errNoSuccessor if commits wait for replicas and the candidate may lack one.
func (p *promotion) awaitCatchUp(ctx context.Context, best succession.Replica) (succession.Replica, error) {
	var err error
	until := time.Now().Add(catchUpTimeout)
	for best.Received.Compare(p.logEnd) < 0 && time.Now().Before(until) {
		time.Sleep(catchUpPollInterval)
		var next succession.Replica
		if next, err = p.chooseSuccessor(p.queryReplicas(ctx)); err == nil {
			best = next
		}
	}
	if p.syncReplicas == 0 {
		return best, nil
	}
	return best, err
}

// revokePrimary makes all hosts stop using the primary, and returns the candidate
// with the longest log after that.
func (p *promotion) revokePrimary(ctx context.Context) (succession.Replica, error) {
	p.revocation.term = p.term
	if err := p.revocation.run(ctx); err != nil {
		return succession.Replica{}, err
	}
	p.logEnd = p.revocation.finalPosition()
	if p.logEnd == (group.Position{}) && p.reason == succession.PrimaryDraining && p.primary != nil && p.syncReplicas > 0 {
		// The hosts confirmed before the primary answered. Without the end of its log, the
		// replies of other servers would be needed.
		_ = p.stepDown(ctx)
	}
	best, err := p.chooseSuccessor(p.queryReplicas(ctx))
	if err != nil {
		return best, fmt.Errorf("after the revocation: %w", err)
	}
	if best, err = p.awaitCatchUp(ctx, best); err != nil {
		return best, err
	}
	if !p.holdsDuty() {
		return best, fmt.Errorf("%w: promotion duty may have been taken over", errNotRevoked)
	}
	return best, nil
}

// confirmSuccessor fails with errNoSuccessor if commits wait for replicas and the server
// that is ordered may have started again without its log since it was chosen. The order
// would make the new process the primary.
func (p *promotion) confirmSuccessor(ctx context.Context) error {
	if p.syncReplicas == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	for i, r := range p.replicas {
		before := p.replies[i]
		if r.server.ID != p.order.Server || before == nil {
			continue
		}
		reply, err := r.send(ctx, statement.Statement{Kind: statement.Status})
		if err == nil && reply.ConnectedAt.Equal(before.ConnectedAt) {
			return nil
		}
	}
	return fmt.Errorf("%w: server %s may have started again since it was chosen", errNoSuccessor, p.order.Server)
}

// requestPromotion repeats the order until its outcome is known, at most
// promoteAttempts times. A call without an answer may still be executed, so no
// other server may be named with the same token.
func (p *promotion) requestPromotion(ctx context.Context) error {
	var err error
	for try := range promoteAttempts {
		if try > 0 {
			time.Sleep(promoteRetryPause)
			if err := p.confirmSuccessor(ctx); err != nil {
				return err
			}
		}
		if p.holdsDuty != nil && !p.holdsDuty() {
			return fmt.Errorf("%w: promotion duty may have been taken over", errNotRevoked)
		}
		callCtx, cancel := context.WithTimeout(ctx, promoteTimeout)
		err = p.promoter.Promote(callCtx, p.order)
		cancel()
		switch {
		case err == nil, errors.Is(err, objects.ErrRefused):
			return err
		case errors.Is(err, objects.ErrRateLimited), errors.Is(err, objects.ErrUnavailable):
		default:
			p.unresolved = true
		}
	}
	return err
}
