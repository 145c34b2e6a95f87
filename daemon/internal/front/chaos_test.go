package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/core/statement/statementtest"
)

const (
	chaosSeeds    = 30
	chaosDuration = 20 * time.Second
	chaosCallers  = 6
	chaosPause    = 60 * time.Millisecond
	// minChaosWrites is the minimum number of writes that must succeed, so that
	// the test does not pass if nothing is served.
	minChaosWrites = 50
)

// Do implements statementtest.Caller.
func (c *caller) Do(st statement.Statement) (statement.Answer, error) { return c.do(st), nil }

// injectFaults injects random faults into the servers and promotes random
// servers until the given time.
func (env *testEnv) injectFaults(rng *rand.Rand, until time.Time) {
	ids := []string{"s1", "s2", "s3"}
	token := uint64(1)
	for time.Now().Before(until) {
		time.Sleep(time.Duration(200+rng.IntN(1200)) * time.Millisecond)
		id := ids[rng.IntN(len(ids))]
		switch rng.IntN(8) {
		case 0:
			env.service.Crash(id)
		case 1:
			env.service.Hang(id)
		case 2:
			env.service.SetReplicationPaused(id, true)
		case 3:
			env.service.SetLag(id, time.Duration(1+rng.IntN(2000))*time.Millisecond)
		case 4:
			env.service.LoseAnswers(id, 1+rng.IntN(2))
		case 5:
			env.service.RefuseBusy(id, 1+rng.IntN(5))
		default:
			token++
			_ = env.service.Promote(context.Background(), promotion(id, token))
		}
		if rng.IntN(2) == 0 {
			env.service.Heal()
		}
		env.catalogFrozen.Store(rng.IntN(3) == 0)
	}
	env.service.Heal()
	env.catalogFrozen.Store(false)
}

// Guards against stale reads, writes that run twice, refused statements that
// take effect, and session values of other callers. Servers crash, stop
// answering, lag, lose answers and change roles, and at times the host learns
// nothing of it from the store.
func TestPromisesUnderFaults(t *testing.T) {
	for seed := range uint64(chaosSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runChaos(t, seed, false) })
	}
}

// forwardedChaosSeeds is the number of seeds with forwarded statements.
const forwardedChaosSeeds = 10

// Guards against the same where other hosts own the connections, run the
// statements, and at times do not answer or stop.
func TestPromisesOfForwardedStatementsUnderFaults(t *testing.T) {
	for seed := range uint64(forwardedChaosSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runChaos(t, seed, true) })
	}
}

func runChaos(t *testing.T, seed uint64, forwarded bool) {
	synctest.Test(t, func(t *testing.T) {
		env := newTestEnv(t, serviceOptions)
		defer env.close()
		if forwarded {
			env.addOwners(rand.New(rand.NewPCG(seed, 2000)))
		}
		env.group.SetService(catalog.Service{Name: "service", ConnectionLimit: 4}, 1)
		time.Sleep(300 * time.Millisecond)
		h := statementtest.NewHistory(env.service, testStaleness, chaosPause)
		until := time.Now().Add(chaosDuration)
		var running sync.WaitGroup
		for i := range chaosCallers {
			name := fmt.Sprintf("c%d", i)
			kind := []catalog.Consistency{catalog.Primary, catalog.BoundedStaleness, catalog.ReadYourWrites}[i%3]
			c := env.connect(name, []string{primaryDatabase, boundedDatabase, ownWritesDatabase}[i%3])
			running.Go(func() { h.RunCaller(c, name, kind, rand.New(rand.NewPCG(seed, uint64(i))), until) })
		}
		running.Go(func() { env.injectFaults(rand.New(rand.NewPCG(seed, 1000)), until) })
		running.Wait()
		time.Sleep(2 * time.Second)
		if counts, _, _ := h.Attempts(); counts[statement.OK] < minChaosWrites {
			t.Errorf("only %d writes succeeded; outcomes: %v", counts[statement.OK], counts)
		}
		for _, p := range h.Violations() {
			t.Error(p)
		}
	})
}
