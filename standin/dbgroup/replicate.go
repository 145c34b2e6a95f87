package dbgroup

import (
	"context"
	"fmt"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/standin/dbgroup/internal/sqlite"
)

// arrival is the time at which the received log reached an offset.
type arrival struct {
	offset uint64
	at     time.Time
}

// receiverView is a snapshot of a replica's state, taken before it fetches records.
type receiverView struct {
	term     group.Term
	epoch    uint64
	upstream *Slot
	end      uint64
	terms    []termStart
	changed  <-chan struct{}
}

// receiveLoop fetches records from the upstream until ctx ends.
func (s *Slot) receiveLoop(ctx context.Context) {
	for ctx.Err() == nil {
		wait, ownChanged, upstreamChanged := s.receiveOnce(ctx)
		if wait == 0 {
			continue
		}
		waitAny(ctx, wait, ownChanged, upstreamChanged)
	}
}

// waitAny waits until one of the channels is closed, the time has passed or ctx ends.
func waitAny(ctx context.Context, wait time.Duration, ownChanged, upstreamChanged <-chan struct{}) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ownChanged:
	case <-upstreamChanged:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// receiveOnce receives the records that are due. It returns the maximum time to
// wait before the next call, and the channels that end the wait early when closed.
func (s *Slot) receiveOnce(ctx context.Context) (time.Duration, <-chan struct{}, <-chan struct{}) {
	view, following := s.currentReceiverView()
	if !following || !canReplicate(view.upstream, s) {
		return replicationHeartbeatInterval, view.changed, nil
	}
	response := view.upstream.fetchFor(view)
	switch {
	case !response.ok:
		return replicationHeartbeatInterval, view.changed, response.changed
	case response.rebuild:
		s.rebuild(ctx, view)
		return replicationHeartbeatInterval, view.changed, response.changed
	case response.common < view.end:
		if !s.discardTail(ctx, view, response.common) {
			s.rebuild(ctx, view)
		}
		return 0, nil, nil
	}
	due, wait := s.dueRecords(response.records, view.upstream)
	s.receive(view, due)
	switch {
	case len(due) > 0:
		return 0, nil, nil
	case wait > 0:
		// Records arrive in order, so a newer record on the upstream need not end
		// the wait for those in flight.
		return min(wait, replicationHeartbeatInterval), view.changed, nil
	}
	return replicationHeartbeatInterval, view.changed, response.changed
}

// currentReceiverView returns a snapshot of the state, and whether the slot is a
// running replica whose upstream exists.
func (s *Slot) currentReceiverView() (receiverView, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	view := receiverView{
		term: s.acceptedTerm, epoch: s.epoch,
		upstream: s.group.slotAt(s.upstream),
		end:      s.log.end.Offset, terms: s.log.terms,
		changed: s.changed,
	}
	return view, s.running && s.role == group.Replica && view.upstream != nil
}

// fetchResponse is the response of a primary to a replica that fetches records.
type fetchResponse struct {
	// ok is false if the slot is not the primary of the replica's term.
	ok bool
	// common is the last offset up to which both logs are equal.
	common uint64
	// rebuild is true if a record that the replica needs is no longer in memory.
	rebuild bool
	records []*record
	changed <-chan struct{}
}

// fetchFor returns the records that follow the common part of this log and the
// replica's. The response is not ok unless the slot is the primary of the
// replica's term.
func (s *Slot) fetchFor(replica receiverView) fetchResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	response := fetchResponse{changed: s.changed}
	if !s.running || s.role != group.Primary || s.acceptedTerm != replica.term {
		return response
	}
	response.ok = true
	response.common = commonOffset(s.log.terms, s.log.end.Offset, replica.terms, replica.end)
	records, retained := s.log.recordsAfter(response.common, replicationBatchRecords)
	response.records, response.rebuild = records, !retained
	return response
}

// dueRecords returns the records that have passed the link with its latency and,
// if some are still in flight, the time until the next one arrives.
func (s *Slot) dueRecords(records []*record, from *Slot) ([]*record, time.Duration) {
	delay := s.group.opts.Latency.OneWay(from.zone, s.zone)
	now := time.Now()
	for i, r := range records {
		if wait := r.committed.Add(delay).Sub(now); wait > 0 {
			return records[:i], wait
		}
	}
	return records, 0
}

// receive appends records unless the epoch has changed since the view was taken.
func (s *Slot) receive(view receiverView, records []*record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != view.epoch || !s.running {
		return
	}
	s.lastContact = time.Now()
	if len(records) == 0 {
		return
	}
	for _, r := range records {
		s.log.append(r)
	}
	s.arrivals = append(s.arrivals, arrival{s.log.end.Offset, s.lastContact})
	s.wakeLoopsLocked()
}

// discardTail drops the records after the offset from the log. It returns false
// if some of them have been applied or the record at the offset is no longer in
// memory; the database must then be rebuilt.
func (s *Slot) discardTail(ctx context.Context, view receiverView, common uint64) bool {
	if !s.writer.acquire(nil, nil, ctx.Done()) {
		return true
	}
	defer s.writer.release()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != view.epoch {
		return true
	}
	if s.applied.Offset > common || !s.log.truncate(common) {
		return false
	}
	for i := range s.arrivals {
		s.arrivals[i].offset = min(s.arrivals[i].offset, common)
	}
	s.logger.WithField("position", s.log.end).Info("log_truncated")
	return true
}

// rebuild replaces the database with a copy of the upstream's. Client connections
// are closed first, because they have the old database open.
func (s *Slot) rebuild(ctx context.Context, view receiverView) {
	if !s.writer.acquire(nil, nil, ctx.Done()) {
		return
	}
	defer s.writer.release()
	defer s.endRebuild()
	if !s.beginRebuild(view) {
		return
	}
	path := s.group.path("slot-%d-%d.db", s.index, s.generation)
	copied, ok := view.upstream.copyTo(path, view.term)
	if ok {
		s.finishRebuild(view, path, copied)
	}
}

func (s *Slot) endRebuild() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rebuilding = false
}

// beginRebuild terminates the client connections and waits until they have ended.
// It returns false if the epoch has changed.
func (s *Slot) beginRebuild(view receiverView) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != view.epoch || !s.running {
		return false
	}
	s.rebuilding = true
	s.generation++
	for s.clientConnections > 0 {
		for _, session := range s.sessions {
			if session.counted {
				session.terminate(fatal(codeAdminShutdown, messageAdminShutdown))
			}
		}
		changed := s.clientConnections
		s.mu.Unlock()
		s.waitForConnectionsBelow(changed)
		s.mu.Lock()
	}
	return s.epoch == view.epoch
}

// waitForConnectionsBelow waits until fewer client connections than limit are open.
func (s *Slot) waitForConnectionsBelow(limit int) {
	for {
		s.mu.Lock()
		now := s.clientConnections
		s.mu.Unlock()
		if now < limit {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// databaseCopy holds the log and the applied position of a copied database file.
type databaseCopy struct {
	log     replicationLog
	applied group.Position
}

// copyTo copies the database to the path. It returns false if the slot is not the
// primary of the term or the copy fails.
func (s *Slot) copyTo(path string, term group.Term) (databaseCopy, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.running || s.role != group.Primary || s.acceptedTerm != term {
		return databaseCopy{}, false
	}
	if err := s.adminDB.Exec(fmt.Sprintf("VACUUM INTO '%s'", path)); err != nil {
		s.logger.WithError(err).Error("copy_failed")
		return databaseCopy{}, false
	}
	return databaseCopy{log: s.log.clone(), applied: s.applied}, true
}

// finishRebuild opens the copied database, unless the epoch has changed.
func (s *Slot) finishRebuild(view receiverView, path string, copied databaseCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != view.epoch {
		return
	}
	s.closeDatabase()
	s.path = path
	if err := s.openDatabase(); err != nil {
		panic(fmt.Sprintf("dbgroup: slot %s cannot open the database copy: %v", s.id, err))
	}
	s.log, s.applied, s.arrivals = copied.log, copied.applied, nil
	s.lastContact = time.Now()
	// Clear the flag together with the new position: a slot whose status shows
	// that position must accept connections.
	s.rebuilding = false
	s.wakeLoopsLocked()
	s.logger.WithField("position", s.log.end).Info("slot_rebuilt")
}

// applyLoop applies received records, each after the apply lag, until ctx ends.
func (s *Slot) applyLoop(ctx context.Context) {
	for ctx.Err() == nil {
		records, epoch, wait, changed := s.recordsDueToApply()
		if len(records) == 0 {
			waitAny(ctx, wait, changed, nil)
			continue
		}
		s.applyIfCurrent(ctx, records, epoch)
	}
}

// recordsDueToApply returns the records whose apply lag has passed, the epoch they
// belong to, and how long to wait and on which channel if there are none.
func (s *Slot) recordsDueToApply() (records []*record, epoch uint64, wait time.Duration, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed = s.changed
	if !s.running || s.role != group.Replica || s.network.Load().frozen {
		return nil, 0, replicationHeartbeatInterval, changed
	}
	for len(s.arrivals) > 0 && s.arrivals[0].offset <= s.applied.Offset {
		s.arrivals = s.arrivals[1:]
	}
	lag, now, upTo := s.settings.Load().applyLag, time.Now(), s.applied.Offset
	for _, a := range s.arrivals {
		if wait = a.at.Add(lag).Sub(now); wait > 0 {
			break
		}
		upTo = a.offset
	}
	limit := min(int(upTo-s.applied.Offset), replicationBatchRecords)
	records, _ = s.log.recordsAfter(s.applied.Offset, limit)
	if wait <= 0 {
		wait = replicationHeartbeatInterval
	}
	return records, s.epoch, wait, changed
}

// applyIfCurrent applies records unless the epoch has changed.
func (s *Slot) applyIfCurrent(ctx context.Context, records []*record, epoch uint64) {
	if !s.writer.acquire(nil, nil, ctx.Done()) {
		return
	}
	defer s.writer.release()
	s.mu.Lock()
	current := s.epoch == epoch
	s.mu.Unlock()
	if !current {
		return
	}
	s.applyRecords(records)
}

// applyRecords applies the records in one transaction; the caller holds the writer lock.
func (s *Slot) applyRecords(records []*record) {
	if len(records) == 0 {
		return
	}
	if err := s.apply.run(records); err != nil {
		// The primary ran the same statements without an error, so either the
		// stand-in has a defect or a statement is not deterministic.
		s.logger.WithError(err).Error("apply_failed")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applied = records[len(records)-1].pos
}

// applier runs replicated statements and caches their prepared form.
type applier struct {
	db         *sqlite.DB
	statements map[string]*sqlite.Stmt
}

func newApplier(db *sqlite.DB) *applier {
	return &applier{db: db, statements: map[string]*sqlite.Stmt{}}
}

func (a *applier) close() {
	a.finalizeStatements()
	a.db.Close()
}

func (a *applier) finalizeStatements() {
	for sql, stmt := range a.statements {
		stmt.Finalize()
		delete(a.statements, sql)
	}
}

// run applies the records in one transaction. It continues after a failed
// statement and returns the first error.
func (a *applier) run(records []*record) error {
	if err := a.db.Exec("BEGIN IMMEDIATE"); err != nil {
		return err
	}
	var firstErr error
	for _, r := range records {
		for _, stmt := range r.stmts {
			if err := a.exec(stmt); err != nil && firstErr == nil {
				firstErr = fmt.Errorf("position %s: %s: %w", r.pos, stmt.sql, err)
			}
		}
	}
	if err := a.db.Exec("COMMIT"); err != nil && firstErr == nil {
		firstErr = err
	}
	return firstErr
}

func (a *applier) exec(s statement) error {
	stmt, ok := a.statements[s.sql]
	if !ok {
		if len(a.statements) >= statementCacheSize {
			a.finalizeStatements()
		}
		var err error
		if stmt, err = a.db.Prepare(s.sql); err != nil {
			return err
		}
		a.statements[s.sql] = stmt
	}
	for i, arg := range s.args {
		if err := stmt.Bind(i+1, arg); err != nil {
			return err
		}
	}
	return stmt.Run()
}
