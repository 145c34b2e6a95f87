package front

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/core/statement/statementtest"
)

// drainResult is the result of a drain.
type drainResult struct {
	cut  int
	took time.Duration
}

// startDrain starts a drain with the limits of a host whose stop timeout is 6 s.
func (env *testEnv) startDrain() <-chan drainResult {
	result := make(chan drainResult, 1)
	go func() {
		startedAt := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		cut := env.server.Drain(ctx, startedAt.Add(time.Second))
		result <- drainResult{cut, time.Since(startedAt)}
	}()
	return result
}

// Guards against a drain during which sessions keep beginning (LOST): it never ends by
// itself, and their statements are cut when its time is up.
func TestDrainEndsWhileCallersKeepComing(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		busy := env.connect("busy", primaryDatabase)
		busy.want(statement.OK, ofKind(statement.Begin))
		result := env.startDrain()
		for n := range 110 {
			time.Sleep(10 * time.Millisecond)
			c := env.connect(fmt.Sprintf("c%d", n), primaryDatabase)
			if !c.isClosed() || c.refused != statement.Busy {
				t.Fatalf("session that began %d ms after the drain is closed: %t, refused: %s; want it refused as busy at once", 10*(n+1), c.isClosed(), c.refused)
			}
		}
		busy.want(statement.Aborted, ofKind(statement.Commit))
		if r := <-result; r.cut != 0 || r.took > 1500*time.Millisecond {
			t.Errorf("drain took %s and cut %d statements, want at most 1.5s and none", r.took, r.cut)
		}
	})
}

// Guards against sessions that begin once the drain has ended, while the process still
// hands over its duties: nothing waits for their statements (LOST).
func TestNoSessionBeginsAfterDrain(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		<-env.startDrain()
		if c := env.connect("late", primaryDatabase); c.refused != statement.Busy {
			t.Errorf("session after the drain was refused as %s, want busy", c.refused)
		}
	})
}

// Guards against a caller that waits for the first configuration of a host that is
// already stopping.
func TestDrainRefusesCallersThatWaitForConfiguration(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		env.config.Store(nil)
		c := env.connect("early", primaryDatabase)
		<-env.startDrain()
		time.Sleep(2 * configurationPollInterval)
		if !c.isClosed() || c.refused != statement.Busy {
			t.Errorf("waiting session is closed: %t, refused: %s; want it refused as busy", c.isClosed(), c.refused)
		}
	})
}

// Guards against a statement that is cut without an answer when the time of the drain is
// up, and against a false promise about one whose outcome is open.
func TestEndOfDrainAnswersRunningStatements(t *testing.T) {
	options := serviceOptions
	options.StatementTime = 500 * time.Millisecond
	cases := []struct {
		name string
		do   func(c *caller) statement.Answer
		want statement.Code
	}{
		{"read", func(c *caller) statement.Answer { return c.do(read("x")) }, statement.Busy},
		{"write", func(c *caller) statement.Answer { return c.do(write("x", "1")) }, statement.InDoubt},
		{"write in a transaction", func(c *caller) statement.Answer {
			c.want(statement.OK, ofKind(statement.Begin))
			return c.do(write("y", "1"))
		}, statement.Aborted},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			runInTestEnv(t, options, func(env *testEnv) {
				c := env.connect("slow", primaryDatabase)
				c.want(statement.OK, read("warm"))
				cut := make(chan int, 1)
				time.AfterFunc(50*time.Millisecond, func() {
					ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
					defer cancel()
					cut <- env.server.Drain(ctx, time.Now().Add(time.Second))
				})
				if a := test.do(c); a.Code != test.want {
					t.Errorf("answer is %s (%s), want %s", a.Code, a.Detail, test.want)
				}
				if n := <-cut; n != 1 || !c.isClosed() {
					t.Errorf("drain cut %d statements and the session is closed: %t; want 1 and true", n, c.isClosed())
				}
			})
		})
	}
}

// Guards against a statement that still waits for a primary when the time of the drain
// is up: the host knows that it has not run, so the caller may repeat it elsewhere.
func TestEndOfDrainRefusesWaitingStatements(t *testing.T) {
	runInTestEnv(t, serviceOptions, func(env *testEnv) {
		c := env.connect("waiting", primaryDatabase)
		c.want(statement.OK, read("warm"))
		env.service.Crash("s1")
		time.Sleep(100 * time.Millisecond)
		cut := make(chan int, 1)
		time.AfterFunc(50*time.Millisecond, func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			cut <- env.server.Drain(ctx, time.Now().Add(time.Second))
		})
		c.want(statement.Busy, write("x", "1"))
		if n := <-cut; n != 0 {
			t.Errorf("drain cut %d statements, want none", n)
		}
	})
}

// Guards against a session that is ended between the moment at which its statement is
// read and the one at which it runs, without an answer (LOST).
func TestEndOfDrainAnswersStatementThatIsBeingRead(t *testing.T) {
	runInTestEnv(t, statementtest.Options{StatementTime: 5 * time.Millisecond}, func(env *testEnv) {
		c := env.connect("reading", primaryDatabase)
		c.readTime = 300 * time.Millisecond
		time.AfterFunc(50*time.Millisecond, func() {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			env.server.Drain(ctx, time.Now().Add(time.Second))
		})
		c.want(statement.Busy, read("x"))
	})
}
