package front

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/core/statement/statementtest"
)

// runInTestEnv runs a test in virtual time.
func runInTestEnv(t *testing.T, o statementtest.Options, test func(*testEnv)) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, o)
		defer env.close()
		time.Sleep(300 * time.Millisecond)
		test(env)
	})
}

// Guards against a read on a replica that lacks the session's own write.
func TestSessionReadsItsOwnWrites(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		env.service.SetLag("s2", 2*time.Second)
		env.service.SetLag("s3", 2*time.Second)
		c := env.connect("c", ownWritesDatabase)
		c.want(statement.OK, write("x", "1"))
		c.wantRows(read("x"), "1")
		c.want(statement.OK, ofKind(statement.Begin))
		c.want(statement.OK, write("x", "2"))
		c.want(statement.OK, ofKind(statement.Commit))
		c.wantRows(read("x"), "2")
		c.want(statement.OK, ofKind(statement.BeginRead))
		c.wantRows(read("x"), "2")
		c.want(statement.OK, ofKind(statement.Commit))
	})
}

// Guards against a read that misses a commit of another session that is older
// than the staleness bound of the route.
func TestBoundedReadSeesOldCommits(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		env.service.SetReplicationPaused("s2", true)
		env.service.SetReplicationPaused("s3", true)
		c := env.connect("c", primaryDatabase)
		c.want(statement.OK, write("x", "1"))
		time.Sleep(testStaleness + time.Millisecond)
		env.connect("d", boundedDatabase).wantRows(read("x"), "1")
		env.connect("e", ownWritesDatabase).wantRows(read("x"), "1")
	})
}

// Guards against reads that go to the primary although replicas are fresh.
func TestReplicasServeReads(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		c := env.connect("c", boundedDatabase)
		onReplica := 0
		for range 20 {
			sig, err := statementtest.ParseSignature(c.want(statement.OK, read("x")).Signature)
			if err != nil {
				t.Fatal(err)
			}
			if sig.Server != "s1" {
				onReplica++
			}
			time.Sleep(50 * time.Millisecond)
		}
		if onReplica < 18 {
			t.Errorf("replicas served %d of 20 reads, want at least 18", onReplica)
		}
	})
}

// Guards against a read that is served by a replaced primary while the host
// still considers it the primary.
func TestPrimaryReadAfterPromotion(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		c := env.connect("c", primaryDatabase)
		c.want(statement.OK, write("x", "1"))
		time.Sleep(100 * time.Millisecond)
		env.catalogFrozen.Store(true)
		env.promote("s2", 1)
		sig, err := statementtest.ParseSignature(c.want(statement.OK, read("x")).Signature)
		if err != nil {
			t.Fatal(err)
		}
		if sig.Server != "s2" {
			t.Errorf("server %s answered the read, want s2", sig.Server)
		}
	})
}

// Guards against repeating a write that may have been executed, after its
// answer was lost.
func TestLostAnswerLeavesOutcomeUnknown(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		env.service.LoseAnswers("s1", 1)
		c := env.connect("c", primaryDatabase)
		st := write("x", "1")
		st.ID = "write"
		c.want(statement.InDoubt, st)
		if n := env.service.ExecutionCount("write"); n != 1 {
			t.Errorf("write was executed %d times, want once", n)
		}
	})
}

// Guards against a wrong outcome when the answer to a commit is lost: a commit
// of writes is in doubt, and one without writes is reported as aborted.
func TestLostCommit(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		c := env.connect("c", primaryDatabase)
		c.want(statement.OK, ofKind(statement.Begin))
		c.want(statement.OK, write("x", "1"))
		env.service.LoseAnswers("s1", 1)
		c.want(statement.InDoubt, ofKind(statement.Commit))
		c.want(statement.OK, ofKind(statement.Begin))
		c.wantRows(read("x"), "1")
		env.service.LoseAnswers("s1", 1)
		if a := c.want(statement.Aborted, ofKind(statement.Commit)); a.State != statement.Idle {
			t.Errorf("got state %d after a failed commit, want idle", a.State)
		}
	})
}

// Guards against refusing a statement because the server was busy for a moment,
// and against executing a write twice by retrying it.
func TestBusyServerIsAskedAgain(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		env.service.RefuseBusy("s1", 3)
		c := env.connect("c", primaryDatabase)
		st := write("x", "1")
		st.ID = "write"
		c.want(statement.OK, st)
		if n := env.service.ExecutionCount("write"); n != 1 {
			t.Errorf("write was executed %d times, want once", n)
		}
	})
}

// Guards against effects of a failed transaction, and against a transaction
// state that would let its caller continue.
func TestFailedTransactionKeepsNothing(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		c := env.connect("c", primaryDatabase)
		c.want(statement.OK, ofKind(statement.Begin))
		c.want(statement.OK, write("x", "1"))
		env.service.RefuseBusy("s1", 1)
		if a := c.want(statement.Busy, write("x", "2")); a.State != statement.Aborting {
			t.Errorf("got state %d after a refusal in a transaction, want aborting", a.State)
		}
		c.want(statement.MalformedStatement, write("x", "3"))
		c.want(statement.Aborted, ofKind(statement.Commit))
		time.Sleep(100 * time.Millisecond)
		if got := env.service.Committed(); len(got) != 0 {
			t.Errorf("got commits %v, want none", got)
		}
	})
}

// Guards against writes that remain open, or are committed, after their caller
// disconnects.
func TestCallerLeavesInTransaction(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		c := env.connect("c", primaryDatabase)
		c.want(statement.OK, ofKind(statement.Begin))
		c.want(statement.OK, write("x", "1"))
		_ = c.Close()
		time.Sleep(100 * time.Millisecond)
		d := env.connect("d", primaryDatabase)
		d.wantRows(read("x"))
		if got := env.service.Committed(); len(got) != 0 {
			t.Errorf("got commits %v, want none", got)
		}
	})
}

// Guards against callers that keep a connection occupied while their
// transactions are idle.
func TestIdleTransactionIsRolledBack(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		c := env.connect("c", primaryDatabase)
		c.want(statement.OK, ofKind(statement.Begin))
		c.want(statement.OK, write("x", "1"))
		time.Sleep(3100 * time.Millisecond)
		c.want(statement.Aborted, ofKind(statement.Commit))
		c.wantRows(read("x"))
	})
}

// Guards against rejecting a well-formed statement as malformed because its
// transaction was rolled back after the previous answer.
func TestStatementAfterUnreportedRollback(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		c := env.connect("c", primaryDatabase)
		c.want(statement.OK, ofKind(statement.Begin))
		c.want(statement.OK, write("x", "1"))
		time.Sleep(3100 * time.Millisecond)
		if a := c.want(statement.Aborted, write("x", "2")); a.State != statement.Aborting {
			t.Errorf("got state %d, want aborting", a.State)
		}
		c.want(statement.MalformedStatement, write("x", "3"))
		c.want(statement.OK, ofKind(statement.Rollback))
		c.wantRows(read("x"))
	})
}

// Guards against session values and prepared statements that leak between
// sessions that share a connection.
func TestSessionsShareConnections(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		env.group.SetService(catalog.Service{Name: "service", ConnectionLimit: 1}, 1) // One connection a server.
		c, d := env.connect("c", primaryDatabase), env.connect("d", primaryDatabase)
		c.want(statement.OK, set("v", "c"))
		d.want(statement.OK, set("w", "d"))
		c.want(statement.OK, prepare("s", "shape-read", false))
		d.want(statement.OK, prepare("s", "shape-write", true))
		for i := range 6 {
			value := string(rune('0' + i))
			if got := values(t, d.want(statement.OK, execute("s", "x "+value))); got != "w=d" {
				t.Errorf("got session values %q for d, want w=d", got)
			}
			a := c.want(statement.OK, execute("s", "x"))
			if got := values(t, a); got != "v=c" {
				t.Errorf("got session values %q for c, want v=c", got)
			}
			if len(a.Rows) != 1 || a.Rows[0] != value {
				t.Errorf("got rows %q, want %q", a.Rows, value)
			}
		}
		c.want(statement.OK, statement.Statement{Kind: statement.Deallocate, Name: "s"})
		c.want(statement.UnknownName, execute("s", "x"))
	})
}

func values(t *testing.T, a statement.Answer) string {
	t.Helper()
	sig, err := statementtest.ParseSignature(a.Signature)
	if err != nil {
		t.Fatal(err)
	}
	return sig.Values
}

// Guards against statements that wait without a limit, or fail at once, during
// a failover.
func TestStatementsWaitForPrimary(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		c := env.connect("c", primaryDatabase)
		c.want(statement.OK, write("x", "1"))
		time.Sleep(100 * time.Millisecond)
		env.service.Crash("s1")
		time.AfterFunc(200*time.Millisecond, func() { env.service.Promote(context.Background(), promotion("s2", 1)) })
		began := time.Now()
		for c.do(write("x", "2")).Code != statement.OK {
			if time.Since(began) > 5*time.Second {
				t.Fatal("no write was accepted for 5 s")
			}
		}
		c.wantRows(read("x"), "2")
		env.service.Crash("s2")
		env.service.Crash("s3")
		time.Sleep(time.Second)
		began = time.Now()
		if a := c.do(write("x", "3")); a.Code != statement.Busy {
			t.Errorf("got %s for a write without any server, want busy", a.Code)
		}
		if took := time.Since(began); took > testTimeout {
			t.Errorf("refusal took %s, want at most %s", took, testTimeout)
		}
	})
}

// Guards against telling callers that a database does not exist before the host
// knows the configuration.
func TestCallersWaitForConfiguration(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		config := env.config.Load()
		env.config.Store(nil)
		time.AfterFunc(500*time.Millisecond, func() { env.config.Store(config) })
		c := env.connect("c", primaryDatabase)
		c.want(statement.OK, write("x", "1"))
		env.config.Store(nil)
		d := env.connect("d", primaryDatabase)
		time.Sleep(2 * time.Second)
		if got := d.refusal(); got != statement.Busy {
			t.Errorf("caller without a configuration was refused with %s, want busy", got)
		}
		env.config.Store(config)
		e := env.connect("e", "no such database")
		if got := e.refusal(); got != statement.NoDatabase {
			t.Errorf("caller of an unknown database was refused with %s, want no_database", got)
		}
	})
}

// Guards against a drain that aborts transactions too early or leaves sessions
// open.
func TestDrain(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		idle, open, stuck := env.connect("idle", primaryDatabase), env.connect("open", primaryDatabase), env.connect("stuck", primaryDatabase)
		idle.want(statement.OK, read("x"))
		for _, c := range []*caller{open, stuck} {
			c.want(statement.OK, ofKind(statement.Begin))
			c.want(statement.OK, write(c.name, "1"))
		}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		cut := make(chan int)
		go func() { cut <- env.server.Drain(ctx, time.Now().Add(3*time.Second)) }()
		time.Sleep(time.Second)
		if !idle.isClosed() {
			t.Error("idle session is still open after 1 s")
		}
		open.want(statement.OK, ofKind(statement.Commit))
		time.Sleep(2500 * time.Millisecond)
		if !open.isClosed() {
			t.Error("session is still open after its transaction ended")
		}
		stuck.want(statement.Aborted, ofKind(statement.Commit))
		if n := <-cut; n != 0 {
			t.Errorf("drain closed %d sessions at its deadline, want none", n)
		}
	})
}

// Guards against a statement that has arrived but was not read yet when a drain
// closes the session, so that the caller gets no answer.
func TestDrainAnswersStatementsThatHaveArrived(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		c := env.connect("busy", primaryDatabase)
		c.unread.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		cut := make(chan int)
		go func() { cut <- env.server.Drain(ctx, time.Now().Add(3*time.Second)) }()
		time.Sleep(100 * time.Millisecond)
		c.want(statement.OK, read("x"))
		if n := <-cut; n != 0 || !c.isClosed() {
			t.Errorf("drain closed %d sessions at its deadline and the session is closed: %t; want none and true", n, c.isClosed())
		}
	})
}

// Guards against a drain that closes a session between the moment at which its
// statement is read and the one at which it begins to run: the caller gets no answer
// (LOST).
func TestDrainAnswersStatementThatIsBeingRead(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		c := env.connect("busy", primaryDatabase)
		c.readTime = 100 * time.Millisecond
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		cut := make(chan int)
		time.AfterFunc(50*time.Millisecond, func() { cut <- env.server.Drain(ctx, time.Now().Add(3*time.Second)) })
		c.want(statement.OK, read("x"))
		if n := <-cut; n != 0 || !c.isClosed() {
			t.Errorf("drain closed %d sessions at its deadline and the session is closed: %t; want none and true", n, c.isClosed())
		}
	})
}

// Guards against a drain that waits for connections on which no session was
// started.
func TestDrainDoesNotWaitForSilentConnections(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		env.server.running.Add(1)
		go func() {
			defer env.server.running.Done()
			time.Sleep(4 * time.Second)
		}()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		began := time.Now()
		env.server.Drain(ctx, time.Now().Add(3*time.Second))
		if took := time.Since(began); took > time.Second {
			t.Errorf("drain without sessions took %s, want at most 1s", took)
		}
	})
}

// Guards against sending writes to a primary that is known not to answer, which
// would leave their outcome in doubt.
func TestWritesAreNotSentToSilentPrimary(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		c := env.connect("c", primaryDatabase)
		c.want(statement.OK, write("x", "1"))
		env.service.Hang("s1")
		time.Sleep(2 * time.Second)
		c.want(statement.Busy, write("x", "2"))
		env.service.Start("s1")
		time.Sleep(time.Second)
		c.want(statement.OK, write("x", "3"))
	})
}
