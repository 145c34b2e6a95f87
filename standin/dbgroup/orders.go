package dbgroup

import (
	"context"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// Status returns the slot's report of itself.
func (s *Slot) Status() group.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status()
}

// status is Status for a caller that holds mu.
func (s *Slot) status() group.Status {
	settings := s.settings.Load()
	status := group.Status{
		Role: s.role, AcceptedTerm: s.accepted,
		Received: s.log.end, Applied: s.applied,
		Leaving: settings.leaving, Connections: s.clientConnections, ConnectionLimit: settings.connectionLimit,
		Upstream: s.upstream,
	}
	if s.role == group.Replica && !s.lastContact.IsZero() {
		status.ReceivingAge = time.Since(s.lastContact)
	}
	return status
}

func preconditionErrorf(format string, args ...any) error {
	return failf(codeNotInPrerequisite, format, args...)
}

// Fence accepts a term above the accepted one and stops commits and reception.
// It fails, with SQLSTATE 55000, if the term is not above it.
func (s *Slot) Fence(t group.Term) (group.Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t <= s.accepted {
		return s.status(), preconditionErrorf("fence at term %d: term %d is accepted", t, s.accepted)
	}
	s.changeRole(group.Fenced, t, "")
	return s.status(), nil
}

// changeRole changes the role; the caller holds mu.
func (s *Slot) changeRole(role group.Role, t group.Term, upstream string) {
	s.role, s.accepted, s.upstream = role, t, upstream
	s.epoch++
	s.lastContact = time.Now()
	s.saveState()
	s.wakeLoopsLocked()
	s.logger.WithField("role", role).WithField("term", t).Info("role_changed")
}

// Promote makes a slot that is fenced at the term the primary, applies all it
// has received and starts the term with a record. On the primary of the term
// it changes nothing and succeeds, so that an order can be repeated after a
// lost answer. It fails, with SQLSTATE 55000, in other states.
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

func (s *Slot) precheckPromotion(t group.Term) (status group.Status, done bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role == group.Primary && s.accepted == t {
		return s.status(), true, nil
	}
	return s.status(), false, s.checkPromotable(t)
}

// checkPromotable checks that the slot is fenced at the term; the caller holds mu.
// A replica at the term is refused, because another slot is its primary.
func (s *Slot) checkPromotable(t group.Term) error {
	if s.accepted != t {
		return preconditionErrorf("promote at term %d: term %d is accepted", t, s.accepted)
	}
	if s.role != group.Fenced {
		return preconditionErrorf("promote at term %d: the slot is %s, not fenced", t, s.role)
	}
	return nil
}

// applyReceived applies the rest of the log; the caller holds the writer lock.
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

// Follow makes the slot receive from the primary of the term, which is at
// least the accepted one. The part of its log that the primary lacks is
// discarded. It fails, with SQLSTATE 55000, for a lower term, on the primary
// of the term, and for an address that is not another slot's.
func (s *Slot) Follow(t group.Term, primary string) (group.Status, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	upstream := s.group.slotAt(primary)
	switch {
	case t < s.accepted:
		return s.status(), preconditionErrorf("follow at term %d: term %d is accepted", t, s.accepted)
	case s.role == group.Primary && t == s.accepted:
		return s.status(), preconditionErrorf("follow at term %d: the slot is its primary", t)
	case upstream == nil || upstream == s:
		return s.status(), preconditionErrorf("follow %s: no other slot has this address", primary)
	}
	if s.role == group.Replica && t == s.accepted && primary == s.upstream {
		return s.status(), nil
	}
	s.changeRole(group.Replica, t, primary)
	return s.status(), nil
}
