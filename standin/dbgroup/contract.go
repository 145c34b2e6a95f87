package dbgroup

import (
	"context"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// Status returns the current status of the slot.
func (s *Slot) Status() group.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status()
}

// status implements Status; the caller holds mu.
func (s *Slot) status() group.Status {
	settings := s.settings.Load()
	status := group.Status{
		Role: s.role, AcceptedTerm: s.acceptedTerm,
		Received: s.log.end, Applied: s.applied,
		Leaving: settings.leaving, Connections: s.clientConnections, ConnectionLimit: settings.connectionLimit,
		Upstream: s.upstream,
	}
	if s.role == group.Replica && !s.lastContact.IsZero() {
		status.ReceivingAge = time.Since(s.lastContact)
	}
	return status
}

// preconditionErrorf returns an error with SQLSTATE 55000, which rejects a
// command of the group contract.
func preconditionErrorf(format string, args ...any) error {
	return failf(codeNotInPrerequisite, format, args...)
}

// Fence accepts a term higher than the accepted one and stops commits and the
// reception of records. It fails with SQLSTATE 55000 if the term is not higher.
func (s *Slot) Fence(t group.Term) (group.Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t <= s.acceptedTerm {
		return s.status(), preconditionErrorf("fence at term %d: term %d is accepted", t, s.acceptedTerm)
	}
	s.changeRole(group.Fenced, t, "")
	return s.status(), nil
}

// changeRole sets the role, the accepted term and the upstream, and starts a new
// epoch; the caller holds mu.
func (s *Slot) changeRole(role group.Role, t group.Term, upstream string) {
	s.role, s.acceptedTerm, s.upstream = role, t, upstream
	s.epoch++
	s.lastContact = time.Now()
	s.saveState()
	s.wakeLoopsLocked()
	s.logger.WithField("role", role).WithField("term", t).Info("role_changed")
}

// Promote makes a slot that is fenced at the term the primary: it applies all
// received records and appends the record that starts the term. On the primary
// of the term it succeeds without a change, so that the command can be retried
// after a lost response. It fails with SQLSTATE 55000 in any other state, and
// with the error of ctx if ctx ends first.
func (s *Slot) Promote(ctx context.Context, t group.Term) (group.Status, error) {
	if status, done, err := s.precheckPromotion(t); done || err != nil {
		return status, err
	}
	if !s.writer.acquire(nil, nil, ctx.Done()) {
		return group.Status{}, ctx.Err()
	}
	defer s.writer.release()
	s.applyReceived()
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkPromotable(t); err != nil {
		return s.status(), err
	}
	start := &record{pos: group.Position{Term: t, Offset: s.log.end.Offset + 1}, committed: time.Now()}
	s.log.append(start)
	s.applied = start.pos
	s.arrivals = nil
	s.changeRole(group.Primary, t, "")
	return s.status(), nil
}

// precheckPromotion checks, before the wait for the writer lock, whether Promote
// is permitted; done is true if the slot is the primary of the term already.
func (s *Slot) precheckPromotion(t group.Term) (status group.Status, done bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role == group.Primary && s.acceptedTerm == t {
		return s.status(), true, nil
	}
	return s.status(), false, s.checkPromotable(t)
}

// checkPromotable fails unless the slot is fenced at the term; the caller holds
// mu. A replica at the term is rejected, because another slot is its primary.
func (s *Slot) checkPromotable(t group.Term) error {
	if s.acceptedTerm != t {
		return preconditionErrorf("promote at term %d: term %d is accepted", t, s.acceptedTerm)
	}
	if s.role != group.Fenced {
		return preconditionErrorf("promote at term %d: the slot is %s, not fenced", t, s.role)
	}
	return nil
}

// applyReceived applies all records that have been received and not yet applied;
// the caller holds the writer lock.
func (s *Slot) applyReceived() {
	for {
		s.mu.Lock()
		records, _ := s.log.recordsAfter(s.applied.Offset, replicationBatchRecords)
		s.mu.Unlock()
		if len(records) == 0 {
			return
		}
		s.applyRecords(records)
	}
}

// Follow makes the slot a replica of the primary of the term, which must be at
// least the accepted term. Records that the primary lacks are discarded. It
// fails with SQLSTATE 55000 if the term is lower, if the slot is the primary of
// the term, or if no other slot has the address.
func (s *Slot) Follow(t group.Term, primary string) (group.Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	upstream := s.group.slotAt(primary)
	switch {
	case t < s.acceptedTerm:
		return s.status(), preconditionErrorf("follow at term %d: term %d is accepted", t, s.acceptedTerm)
	case s.role == group.Primary && t == s.acceptedTerm:
		return s.status(), preconditionErrorf("follow at term %d: the slot is its primary", t)
	case upstream == nil || upstream == s:
		return s.status(), preconditionErrorf("follow %s: no other slot has this address", primary)
	}
	if s.role == group.Replica && t == s.acceptedTerm && primary == s.upstream {
		return s.status(), nil
	}
	s.changeRole(group.Replica, t, primary)
	return s.status(), nil
}
