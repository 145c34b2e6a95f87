package fleet

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// The holder of the promotion duty keeps a session with each server whose log may hold
// acknowledged commits, also with one whose entry has lapsed: the entry shows whether a
// server reaches the store, the session whether it still runs and what it has received.
//
// A server that starts again under its ID without its log may reply before its new entry
// is seen. A reply therefore counts for the log whose entry is known only if it came over
// a connection that is proven to reach that log's process: a connection reaches one
// process for as long as it lasts.

const (
	// logPollTimeout bounds the poll of one log.
	logPollTimeout = 300 * time.Millisecond
	// lapseHeartbeats is the number of heartbeats without which an entry lapses, and
	// lapseMargin the time after that by which it is gone.
	lapseHeartbeats = 3
	lapseMargin     = 500 * time.Millisecond
	// minRestartTime is the shortest time in which a server that has just written its
	// entry ends and another process accepts connections in its place.
	minRestartTime = 250 * time.Millisecond
)

// updateProof records whether a connection is proven to reach the process of a log.
func (c *controller) updateProof(id logID, connectedAt time.Time) {
	if !c.logProofs[id].Equal(connectedAt) {
		delete(c.logProofs, id)
	}
	if c.isProven(id, connectedAt) {
		c.logProofs[id] = connectedAt
	}
}

// isProven reports whether the server with the known entry must have been alive after a
// connection to its address was opened: it wrote the entry after that, or just before, or
// the entry would have lapsed otherwise. An entry may outlive its server while the store
// does not answer.
func (c *controller) isProven(id logID, connectedAt time.Time) bool {
	r := c.servers[id.server]
	if r == nil || logOf(r.server) != id || !r.missingSince.IsZero() {
		return false
	}
	if connectedAt.Sub(r.writtenAt) <= minRestartTime {
		return true
	}
	if _, failing := c.failingSince[objects.Servers]; failing {
		return false
	}
	now, lapse := c.now(), lapseHeartbeats*c.heartbeatInterval+lapseMargin
	return now.Sub(connectedAt) >= lapse && now.Sub(c.serversRegainedAt) >= lapse && now.Sub(c.eraSeenAt) >= lapse
}

// trackLogs opens the sessions with the servers of a service and closes those with
// servers that count no more.
func (c *controller) trackLogs(g *backend.Group) {
	live := c.liveLogs(g.Name())
	for id, session := range c.logSessions {
		if server, isLive := live[id]; session.Server().Service == g.Name() && (!isLive || session.Server().Address != server.Address) {
			c.closeLogSession(id)
		}
	}
	for id, server := range live {
		if c.logSessions[id] == nil {
			c.logSessions[id] = g.NewLogSession(server)
		}
	}
}

// closeUnusedLogSessions closes the sessions with servers of services that were removed,
// or whose commits do not wait for replicas any more.
func (c *controller) closeUnusedLogSessions() {
	for id, session := range c.logSessions {
		if service := session.Server().Service; c.groups[service] == nil || !c.waitsForReplicas(service) {
			c.closeLogSession(id)
		}
	}
}

func (c *controller) closeLogSession(id logID) {
	// A command may be running.
	go c.logSessions[id].Close()
	delete(c.logSessions, id)
	delete(c.logProofs, id)
}

func (c *controller) closeLogSessions() {
	for id := range c.logSessions {
		c.closeLogSession(id)
	}
}

// logPoll is the answer of a server to the question for its log.
type logPoll struct {
	id    logID
	reply backend.LogReply
	err   error
}

// startLogPoll asks the servers of a service for the ends of their logs.
func (c *controller) startLogPoll(service string, g *backend.Group) {
	if c.now().Sub(c.logRecords.polledAt[service]) < logPollInterval {
		return
	}
	c.logRecords.polledAt[service] = c.now()
	c.trackLogs(g)
	sessions := map[logID]*backend.LogSession{}
	for id, s := range c.logSessions {
		if s.Server().Service == service {
			sessions[id] = s
		}
	}
	primary, lost := g.Health().Primary, c.lostLogsOf(service)
	c.runAsync(func(ctx context.Context) {
		polls := pollLogs(ctx, sessions)
		c.post(ctx, func() { c.applyLogPolls(g, primary, lost, polls) })
	})
}

// pollLogs sends a status query over each session.
func pollLogs(ctx context.Context, sessions map[logID]*backend.LogSession) []logPoll {
	ctx, cancel := context.WithTimeout(ctx, logPollTimeout)
	defer cancel()
	answers := make(chan logPoll, len(sessions))
	for id, s := range sessions {
		go func() {
			reply, err := s.Send(ctx, statement.Statement{Kind: statement.Status})
			answers <- logPoll{id, reply, err}
		}()
	}
	out := make([]logPoll, 0, len(sessions))
	for range sessions {
		out = append(out, <-answers)
	}
	return out
}

// applyLogPolls records which servers have ended, and forgets those of the lost logs that
// a replica covers. The log of the primary that was known when the logs were polled covers
// none, also if it has stepped down since: the commits would be in that log alone.
func (c *controller) applyLogPolls(g *backend.Group, primary string, lost map[logID]lostLog, polls []logPoll) {
	var longest group.Position
	for _, p := range polls {
		if p.err != nil {
			c.recordEnd(p.id, p.err)
			continue
		}
		c.recordLife(p.id)
		if c.logSessions[p.id] != nil {
			c.updateProof(p.id, p.reply.ConnectedAt)
			c.resumeForgotten(g.Name(), p)
		}
		if !p.reply.Primary && p.id.server != primary && p.reply.Received.Compare(longest) > 0 {
			longest = p.reply.Received
		}
	}
	if primary != "" {
		c.forgetCoveredLogs(g, lost, longest)
	}
}

// resumeForgotten resumes a replica that is paused although no replacement of the primary
// runs or is pending, because it could not be told so when one failed.
func (c *controller) resumeForgotten(service string, p logPoll) {
	s := c.successionOf(service)
	if p.reply.PauseTerm == 0 || p.reply.Primary || s.running || s.pending != nil {
		return
	}
	c.log.WithFields(logrus.Fields{"event": "replica_resumed", "service": service, "server": p.id.server}).
		Info("replica is paused although its primary is not being replaced; resuming it")
	session := c.logSessions[p.id]
	c.runAsync(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		_, _ = session.Send(ctx, statement.Statement{Kind: statement.Resume})
	})
}

// recordLife records that a server whose entry has lapsed replies, so that it may receive.
func (c *controller) recordLife(id logID) {
	if l, known := c.lostServers[id.server]; known && logOf(l.server) == id {
		l.lostAt = c.now()
		c.lostServers[id.server] = l
	}
}

// recordEnd records that a server that had announced its stop has ended, if the error of
// its session shows that no such process listens at its address any more. A server that
// crashed may come back with its log.
func (c *controller) recordEnd(id logID, err error) {
	l, known := c.lostServers[id.server]
	if known && logOf(l.server) == id && l.server.Draining && !l.isRegistered && hasEnded(err) {
		c.recordLoss(l.server)
	}
}

// hasEnded reports whether the error of a connection shows that the server does not run.
func hasEnded(err error) bool {
	var refused *statement.RefusedError
	return errors.Is(err, syscall.ECONNREFUSED) || errors.As(err, &refused) && refused.Code == statement.WrongServer
}
