package front

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumgap/gypsumgap/core/statement"
)

// A drain ends the sessions of a host that is stopping. From its start on, new sessions
// are refused, so callers that still come try another host at once, and the drain ends
// with the last session. A load balancer may send callers to a stopping host until its
// process has ended, for example when most hosts of an availability zone are stopping.
//
// A statement that has been read is always answered. When the time of the drain is up,
// statements that wait for a backend server are refused, and those whose answer is
// missing are answered by the drain.

const (
	// drainPollInterval is the time between checks of the sessions during a drain.
	drainPollInterval = 20 * time.Millisecond
	// endOfWaitTime is how long statements have to refuse themselves once their waits
	// for a backend server have been ended.
	endOfWaitTime = 50 * time.Millisecond
	// cutTimeout bounds the wait for callers that do not read their answers.
	cutTimeout = 50 * time.Millisecond
	// stoppingReason is the detail of refusals during a drain.
	stoppingReason = "host is stopping"
)

// Drain refuses new sessions, and ends each open one once it is idle outside a
// transaction. After rollbackAfter it rolls back open transactions that are idle, and
// when ctx ends it ends the statements that still run. It returns the number of
// statements ended that way.
func (s *Server) Drain(ctx context.Context, rollbackAfter time.Time) int {
	s.mu.Lock()
	s.draining = true
	s.mu.Unlock()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for s.endIdle(time.Now().After(rollbackAfter)) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return s.cutAll()
		}
	}
	return 0
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// endIdle ends idle sessions and returns the number of sessions that were open.
func (s *Server) endIdle(rollBack bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ss := range s.sessions {
		ss.endIfIdle(rollBack)
	}
	return len(s.sessions)
}

// cutAll ends all sessions and returns the number of statements that it answered.
func (s *Server) cutAll() int {
	s.endWaits()
	time.Sleep(endOfWaitTime)
	var count atomic.Int64
	var answers sync.WaitGroup
	for _, ss := range s.openSessions() {
		answers.Go(func() {
			if ss.cut() {
				count.Add(1)
			}
		})
	}
	written := make(chan struct{})
	go func() {
		answers.Wait()
		close(written)
	}()
	select {
	case <-written:
	case <-time.After(cutTimeout):
	}
	return int(count.Load())
}

func (s *Server) openSessions() []*session {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Keys(s.sessions))
}

// cut ends the session and reports whether a statement was running, which it answers.
// An answer that is being written is left alone, and a session without a statement ends
// itself.
func (ss *session) cut() bool {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	ss.ended = true
	switch ss.phase {
	case answering:
		return false
	case idle:
		ss.conn.Interrupt()
		return false
	}
	ss.phase = answering
	ss.server.options.Recorder.StatementCut(ss.running.ID, ss.database, ss.cutAnswer.Code)
	_ = ss.conn.Answer(ss.cutAnswer)
	_ = ss.conn.Close()
	return true
}

// answerIfCut returns the answer to a statement that is cut while it runs. Only a
// commit and a write outside a transaction can take effect after their session.
func (ss *session) answerIfCut(st statement.Statement) statement.Answer {
	commits := st.Kind == statement.Write || st.Kind == statement.Execute && ss.prepared[st.Name].writes
	if ss.tx != nil {
		commits = st.Kind == statement.Commit
	}
	if commits {
		return refuse(statement.InDoubt, stoppingReason)
	}
	return ss.answerIfNotRun()
}

// answerIfNotRun returns the answer to a statement that is read after the session was
// ended.
func (ss *session) answerIfNotRun() statement.Answer {
	if ss.tx == nil {
		return refuse(statement.Busy, stoppingReason)
	}
	a := refuse(statement.Aborted, stoppingReason)
	a.State = statement.Aborting
	return a
}
