package dbgroup_test

import (
	"sync"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/standin/dbgroup"
)

// farFuture is a duration that does not pass during a test.
const farFuture = 24 * time.Hour

// TestReplication guards against writes that a replica accepts, and against a replica
// that does not receive the records of the primary.
func TestReplication(t *testing.T) {
	g := startGroup(t, nil)
	exec(t, connect(t, g.Slot(0)), insertJob, 1, "a")
	awaitApplied(t, g.Slot(2), g.Slot(0).Status().Received)
	replica := connect(t, g.Slot(2))
	if n := count(t, replica, "card = 'a'"); n != 1 {
		t.Fatalf("got %d rows on the replica, want 1", n)
	}
	_, err := replica.Exec(background, insertJob, 2, "b")
	wantCode(t, err, "25006")
}

// TestApplyLag guards against records that are applied before the lag has passed, which
// would hide violations of read-your-writes from tests.
func TestApplyLag(t *testing.T) {
	g := startGroup(t, func(o *dbgroup.Options) { o.ApplyLag = farFuture })
	exec(t, connect(t, g.Slot(0)), insertJob, 1, "a")
	written := g.Slot(0).Status().Received
	await(t, "the replica has received", func() bool { return g.Slot(1).Status().Received == written })
	if applied := g.Slot(1).Status().Applied; applied.Covers(written) {
		t.Fatalf("got applied position %s, want it to be delayed by the apply lag", applied)
	}
	g.Slot(1).SetApplyLag(0)
	awaitApplied(t, g.Slot(1), written)
}

// TestGroupCommands guards against commands that succeed in violation of the group contract: a
// second fence at a term, a promotion at a term that was not accepted, or a second
// primary in a term.
func TestGroupCommands(t *testing.T) {
	g := startGroup(t, nil)
	s := g.Slot(1)
	if _, err := s.Fence(1); err == nil {
		t.Fatal("fence at the accepted term succeeded, want an error")
	}
	_, err := s.Fence(3)
	requireNoError(t, group.Status{}, err)
	if _, err := s.Fence(3); err == nil {
		t.Fatal("second fence at a term succeeded, want an error")
	}
	if _, err := s.Promote(background, 2); err == nil {
		t.Fatal("promotion at a lower term succeeded, want an error")
	}
	if _, err := s.Promote(background, 4); err == nil {
		t.Fatal("promotion at a term that was not accepted succeeded, want an error")
	}
	before := s.Status().Received
	status, err := s.Promote(background, 3)
	requireNoError(t, status, err)
	if want := (group.Position{Term: 3, Offset: before.Offset + 1}); status.Received != want || status.Applied != want {
		t.Fatalf("after the promotion got received %v and applied %v, want %v", status.Received, status.Applied, want)
	}
	again, err := s.Promote(background, 3)
	requireNoError(t, again, err)
	if again.Received != status.Received {
		t.Fatal("repeated promotion appended a second record")
	}
	mustSucceed := func(status group.Status, err error) { requireNoError(t, status, err) }
	mustSucceed(g.Slot(2).Follow(3, s.Address()))
	if _, err := g.Slot(2).Promote(background, 3); err == nil {
		t.Fatal("promotion of a replica of the term succeeded, want an error")
	}
	if _, err := g.Slot(2).Follow(2, g.Slot(0).Address()); err == nil {
		t.Fatal("follow at a lower term succeeded, want an error")
	}
	awaitApplied(t, g.Slot(2), status.Received)
}

// TestFenceStopsCommits guards against a commit that a fenced primary still acknowledges.
func TestFenceStopsCommits(t *testing.T) {
	g := startGroup(t, nil)
	c := connect(t, g.Slot(0))
	tx, err := c.Begin(background)
	if err != nil {
		t.Fatal(err)
	}
	exec(t, c, insertJob, 1, "a")
	_, err = g.Slot(0).Fence(2)
	requireNoError(t, group.Status{}, err)
	wantCode(t, tx.Commit(background), "25006")
	_, err = c.Exec(background, insertJob, 2, "b")
	wantCode(t, err, "25006")
	if n := count(t, c, "true"); n != 0 {
		t.Fatalf("got %d rows of rejected commits, want 0", n)
	}
}

// TestFollowEndsOpenTransaction guards against a transaction that is left open on a former
// primary, holds the writer lock and so prevents the slot from following.
func TestFollowEndsOpenTransaction(t *testing.T) {
	g := startGroup(t, func(o *dbgroup.Options) { o.WriterIdleLimit = farFuture })
	c := connect(t, g.Slot(0))
	exec(t, c, "BEGIN")
	exec(t, c, insertJob, 1, "open")
	for _, s := range []*dbgroup.Slot{g.Slot(1), g.Slot(2)} {
		_, err := s.Fence(2)
		requireNoError(t, group.Status{}, err)
	}
	_, err := g.Slot(1).Promote(background, 2)
	requireNoError(t, group.Status{}, err)
	_, err = g.Slot(0).Follow(2, g.Slot(1).Address())
	requireNoError(t, group.Status{}, err)
	awaitApplied(t, g.Slot(0), g.Slot(1).Status().Received)
	_, err = c.Exec(background, "COMMIT")
	wantCode(t, err, "57P01")
}

// TestFencedReplicaReceivesNothing guards against a fenced replica that still receives
// records from the primary of an older term.
func TestFencedReplicaReceivesNothing(t *testing.T) {
	g := startGroup(t, nil)
	_, err := g.Slot(1).Fence(2)
	requireNoError(t, group.Status{}, err)
	before := g.Slot(1).Status().Received
	exec(t, connect(t, g.Slot(0)), insertJob, 1, "a")
	await(t, "the other replica has received", func() bool {
		return g.Slot(2).Status().Received == g.Slot(0).Status().Received
	})
	if now := g.Slot(1).Status().Received; now != before {
		t.Fatalf("fenced slot received records up to %v", now)
	}
}

// TestDivergedPrimaryFollows guards against unreplicated writes that survive on a former
// primary when it follows the new one, and against records of the new term that it
// does not receive.
func TestDivergedPrimaryFollows(t *testing.T) {
	g := startGroup(t, nil)
	old, next := g.Slot(0), g.Slot(1)
	exec(t, connect(t, old), insertJob, 1, "shared")
	awaitApplied(t, next, old.Status().Received)
	old.CutSlots(1, 2)
	exec(t, connect(t, old), insertJob, 2, "only on the old primary")
	for _, s := range []*dbgroup.Slot{next, g.Slot(2)} {
		_, err := s.Fence(2)
		requireNoError(t, group.Status{}, err)
	}
	_, err := next.Promote(background, 2)
	requireNoError(t, group.Status{}, err)
	exec(t, connect(t, next), insertJob, 2, "of the new term")
	if role := old.Status().Role; role != group.Primary {
		t.Fatalf("got role %s on the cut-off primary, want primary", role)
	}
	old.CutSlots()
	for _, s := range []*dbgroup.Slot{old, g.Slot(2)} {
		_, err := s.Follow(2, next.Address())
		requireNoError(t, group.Status{}, err)
		awaitApplied(t, s, next.Status().Received)
		c := connect(t, s)
		if count(t, c, "card = 'of the new term'") != 1 || count(t, c, "true") != 2 {
			t.Fatalf("rows on %s differ from those on the new primary", s.ID())
		}
	}
}

// TestUnappliedTailIsDropped guards against an unnecessary rebuild of the database, or a
// wrong log, when a replica only has to drop records that it has received and not
// applied. The connection that stays open would be closed by a rebuild.
func TestUnappliedTailIsDropped(t *testing.T) {
	g := startGroup(t, nil)
	ahead, behind := g.Slot(1), g.Slot(2)
	ahead.SetApplyLag(farFuture)
	g.Slot(0).CutSlots(2)
	exec(t, connect(t, g.Slot(0)), insertJob, 1, "lost")
	await(t, "one replica is ahead", func() bool { return ahead.Status().Received == g.Slot(0).Status().Received })
	g.Slot(0).Kill()
	_, err := behind.Fence(2)
	requireNoError(t, group.Status{}, err)
	_, err = behind.Promote(background, 2)
	requireNoError(t, group.Status{}, err)
	kept := connect(t, ahead)
	_, err = ahead.Follow(2, behind.Address())
	requireNoError(t, group.Status{}, err)
	await(t, "the replica has the new log", func() bool { return ahead.Status().Received == behind.Status().Received })
	ahead.SetApplyLag(0)
	awaitApplied(t, ahead, behind.Status().Received)
	if n := count(t, kept, "true"); n != 0 {
		t.Fatalf("got %d rows of dropped records, want 0", n)
	}
}

// TestRestartKeepsTermAndCommits guards against a restarted slot that loses commits or its
// accepted term: it would then accept a fence at the same term from a second host.
func TestRestartKeepsTermAndCommits(t *testing.T) {
	g := startGroup(t, nil)
	exec(t, connect(t, g.Slot(0)), insertJob, 1, "a")
	for _, s := range []*dbgroup.Slot{g.Slot(0), g.Slot(1)} {
		before := s.Status()
		s.Kill()
		if _, err := tryConnect(s); err == nil {
			t.Fatal("killed slot accepted a connection")
		}
		if err := s.Restart(); err != nil {
			t.Fatal(err)
		}
		if after := s.Status(); after.Role != before.Role || after.AcceptedTerm != before.AcceptedTerm || !after.Received.Covers(before.Received) {
			t.Fatalf("before the restart got status %+v, after it %+v; want the same role and term, and no record lost", before, after)
		}
	}
	exec(t, connect(t, g.Slot(0)), insertJob, 2, "b")
	awaitApplied(t, g.Slot(1), g.Slot(0).Status().Received)
	_, err := g.Slot(1).Fence(9)
	requireNoError(t, group.Status{}, err)
	g.Slot(1).Kill()
	if err := g.Slot(1).Restart(); err != nil {
		t.Fatal(err)
	}
	if _, err := g.Slot(1).Fence(9); err == nil {
		t.Fatal("fence at the accepted term succeeded after a restart, want an error")
	}
}

// TestKillUndoesOpenTransaction guards against a crash that leaves part of a transaction, or
// the writer lock, behind.
func TestKillUndoesOpenTransaction(t *testing.T) {
	g := startGroup(t, nil)
	c := connect(t, g.Slot(0))
	exec(t, c, "BEGIN")
	exec(t, c, insertJob, 1, "open")
	g.Slot(0).Kill()
	if err := g.Slot(0).Restart(); err != nil {
		t.Fatal(err)
	}
	after := connect(t, g.Slot(0))
	if n := count(t, after, "true"); n != 0 {
		t.Fatalf("got %d rows of a transaction that did not commit, want 0", n)
	}
	exec(t, after, insertJob, 1, "again")
}

// Guards against concurrent restarts of a killed slot, of which all but one find its
// address in use.
func TestConcurrentRestarts(t *testing.T) {
	s := startGroup(t, nil).Slot(1)
	s.Kill()
	var running sync.WaitGroup
	for range 4 {
		running.Go(func() {
			if err := s.Restart(); err != nil {
				t.Error(err)
			}
		})
	}
	running.Wait()
	if !s.Running() {
		t.Error("slot does not run after its restart")
	}
}
