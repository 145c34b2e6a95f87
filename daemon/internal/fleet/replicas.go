package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/core/succession"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// replicaLog is a replica that a promotion asks for its log.
type replicaLog struct {
	server catalog.Server
	// mayLead is false if the replica cannot be promoted: it is about to stop, or its
	// entry has lapsed. Its log may hold commits that those which can lack.
	mayLead bool
	// isRegistered is false if the entry of the server has lapsed.
	isRegistered bool
	// provenAt is when the connection was opened that is known to reach the process of the
	// log; zero if none is.
	provenAt time.Time
	send     func(context.Context, statement.Statement) (backend.LogReply, error)
}

// replicaLogs returns the replicas to ask about the successor of a primary. Where commits
// wait for replicas, these are all whose logs may hold acknowledged commits.
func (c *controller) replicaLogs(g *backend.Group, s *successionState, primary string) []replicaLog {
	var out []replicaLog
	mayLead := map[string]bool{}
	for _, p := range c.candidates(g, s, primary) {
		mayLead[p.Server().ID] = true
		if !c.waitsForReplicas(g.Name()) {
			out = append(out, replicaLog{server: p.Server(), mayLead: true, isRegistered: true, send: sendOnce(p)})
		}
	}
	if !c.waitsForReplicas(g.Name()) {
		return out
	}
	c.trackLogs(g)
	for id, session := range c.logSessions {
		if server := session.Server(); server.Service == g.Name() && server.ID != primary {
			r := c.servers[server.ID]
			out = append(out, replicaLog{server: server, mayLead: mayLead[server.ID] && logOf(r.server) == id,
				isRegistered: r != nil && r.missingSince.IsZero() && logOf(r.server) == id, provenAt: c.logProofs[id], send: session.Send})
		}
	}
	return out
}

// sendOnce returns a function that sends a command over a connection of its own.
func sendOnce(p *backend.Pool) func(context.Context, statement.Statement) (backend.LogReply, error) {
	return func(ctx context.Context, command statement.Statement) (backend.LogReply, error) {
		status, err := p.SendCommand(ctx, command)
		return backend.LogReply{ServerStatus: status}, err
	}
}

// doubts are the replies that may be from processes which have started without the logs
// for which they were asked. Each such log counts as lost when the connection was opened.
type doubts struct {
	count int
	// lostAt is when the last of the logs was lost, at the latest.
	lostAt time.Time
}

func (d *doubts) add(connectedAt time.Time) {
	d.count++
	if connectedAt.After(d.lostAt) {
		d.lostAt = connectedAt
	}
}

// queryReplicas returns the state of the replicas that reply. If commits wait for
// replicas, it pauses replication first, so that no commit is acknowledged after the
// choice that the successor lacks.
func (p *promotion) queryReplicas(ctx context.Context) []succession.Replica {
	if p.pausesReplicas() {
		p.paused = true
		return p.ask(ctx, statement.Statement{Kind: statement.Pause, Term: p.term + 1})
	}
	return p.ask(ctx, statement.Statement{Kind: statement.Status})
}

// ask sends a command to the replicas and returns the state of those that reply.
func (p *promotion) ask(ctx context.Context, command statement.Statement) []succession.Replica {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	replies := make([]*backend.LogReply, len(p.replicas))
	var commands sync.WaitGroup
	for i, r := range p.replicas {
		commands.Go(func() {
			if reply, err := r.send(ctx, command); err == nil {
				replies[i] = &reply
			}
		})
	}
	commands.Wait()
	var out []succession.Replica
	p.doubts = doubts{}
	for i, reply := range replies {
		if reply == nil {
			continue
		}
		if r := p.replicas[i]; p.syncReplicas > 0 && (r.provenAt.IsZero() || !r.provenAt.Equal(reply.ConnectedAt)) {
			p.doubts.add(reply.ConnectedAt)
		}
		p.term = max(p.term, reply.Term, reply.Received.Term)
		// A replaced primary that has not noticed it cannot be promoted.
		if p.revocation == nil || !reply.Primary {
			out = append(out, p.describe(p.replicas[i], reply.Received))
		}
	}
	p.replies, p.answered = replies, len(out)
	return out
}

// describe returns the report of a replica for the choice of the successor.
func (p *promotion) describe(r replicaLog, received group.Position) succession.Replica {
	return succession.Replica{ID: r.server.ID, Received: received, SameRegion: p.isSameRegion(r.server.Zone),
		Ordered: p.unfinished && r.server.ID == p.lastOrdered, Leaving: !r.mayLead}
}

// resumeReplicas resumes replication after a promotion failed, because commits
// wait for the replicas.
func (p *promotion) resumeReplicas(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	var commands sync.WaitGroup
	for _, r := range p.replicas {
		commands.Go(func() {
			if _, err := r.send(ctx, statement.Statement{Kind: statement.Resume}); err != nil {
				p.log.WithFields(logrus.Fields{"event": "resume_failed", "server": r.server.ID}).WithError(err).
					Warn("replication could not be resumed; the replica may still be paused")
			}
		})
	}
	commands.Wait()
}
