package front

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/statement"
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
