package front

import (
	"context"
	"fmt"
	"math"
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
)

// history records what callers were told, and checks their reads.
type history struct {
	w  *world
	mu sync.Mutex
	// acknowledged holds when each write was acknowledged, promised the writes of
	// which nothing may be kept.
	acknowledged map[string]time.Time
	promised     map[string]bool
	problems     []string
	counts       map[statement.Code]int
}

func (h *history) problem(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.problems = append(h.problems, fmt.Sprintf(format, args...))
}

// settle records the outcome of an attempt that wrote.
func (h *history) settle(code statement.Code, ids ...string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[code]++
	for _, id := range ids {
		switch code {
		case statement.OK:
			h.acknowledged[id] = time.Now()
		case statement.Busy, statement.Aborted, statement.Lagging, statement.ReadOnly:
			h.promised[id] = true
		}
	}
}

// required returns the writes that were acknowledged before the time, and are
// not rolled back by a promotion.
func (h *history) required(before time.Time) []string {
	kept := h.w.service.Seen(h.w.service.Primary(), math.MaxInt)
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for id, at := range h.acknowledged {
		if at.Before(before) && kept[id] {
			out = append(out, id)
		}
	}
	return out
}

// checkRead checks that a read that began at the time saw what it had to see.
// Reads during which the primary changed are left out, since what was rolled
// back is not known exactly.
func (h *history) checkRead(c *caller, a statement.Answer, began time.Time, own []string, promotions int) {
	if a.Code != statement.OK || h.w.service.Promotions() != promotions {
		return
	}
	sig, err := statementtest.ParseSignature(a.Signature)
	if err != nil {
		h.problem("%s: %v", c.name, err)
		return
	}
	if sig.Values != c.name+"=1" {
		h.problem("%s: statement ran with the session values %q", c.name, sig.Values)
	}
	before := began
	if c.database != onPrimary {
		before = began.Add(-testStaleness)
	}
	seen := h.w.service.Seen(sig.Server, sig.Length)
	for _, id := range h.required(before) {
		if !seen[id] {
			h.problem("%s: read at %s lacks write %s", c.name, sig.Server, id)
		}
	}
	if c.database != ownWrites {
		return
	}
	kept := h.w.service.Seen(h.w.service.Primary(), math.MaxInt)
	for _, id := range own {
		if kept[id] && !seen[id] {
			h.problem("%s: read at %s lacks the session's own write %s", c.name, sig.Server, id)
		}
	}
}

// load plays the operations of one caller until the time.
func (h *history) load(c *caller, rng *rand.Rand, until time.Time) {
	c.do(set(c.name, "1"))
	var own []string
	for n := 0; time.Now().Before(until); n++ {
		time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
		id := fmt.Sprintf("%s/%d", c.name, n)
		switch rng.IntN(5) {
		case 0:
			st := write("x", id)
			st.ID = id
			a := c.do(st)
			h.settle(a.Code, id)
			if a.Code == statement.OK {
				own = append(own, id)
			}
		case 1:
			if h.transaction(c, id, rng) {
				own = append(own, id+"a", id+"b")
			}
		default:
			promotions, began := h.w.service.Promotions(), time.Now()
			h.checkRead(c, c.do(read("x")), began, own, promotions)
		}
	}
}

// transaction writes twice and commits, or rolls back.
func (h *history) transaction(c *caller, id string, rng *rand.Rand) bool {
	if a := c.do(plain(statement.Begin)); a.Code != statement.OK {
		return false
	}
	ids := []string{id + "a", id + "b"}
	for _, id := range ids {
		st := write("y", id)
		st.ID = id
		if a := c.do(st); a.Code != statement.OK {
			h.settle(a.Code, ids...)
			c.do(plain(statement.Rollback))
			return false
		}
		time.Sleep(time.Duration(rng.IntN(30)) * time.Millisecond)
	}
	if rng.IntN(5) == 0 {
		c.do(plain(statement.Rollback))
		h.settle(statement.Aborted, ids...)
		return false
	}
	a := c.do(plain(statement.Commit))
	h.settle(a.Code, ids...)
	return a.Code == statement.OK
}

// faults harms servers until the time, and replaces primaries that are lost.
func (h *history) faults(rng *rand.Rand, until time.Time) {
	s := h.w.service
	ids := []string{"s1", "s2", "s3"}
	token := uint64(1)
	for time.Now().Before(until) {
		time.Sleep(time.Duration(200+rng.IntN(1200)) * time.Millisecond)
		id := ids[rng.IntN(len(ids))]
		switch rng.IntN(8) {
		case 0:
			s.Crash(id)
		case 1:
			s.Silence(id)
		case 2:
			s.SetDeaf(id, true)
		case 3:
			s.SetLag(id, time.Duration(1+rng.IntN(2000))*time.Millisecond)
		case 4:
			s.LoseAnswers(id, 1+rng.IntN(2))
		case 5:
			s.RefuseBusy(id, 1+rng.IntN(5))
		default:
			token++
			_ = s.Promote(context.Background(), promotion(id, token))
		}
		if rng.IntN(2) == 0 {
			for _, id := range ids {
				s.Start(id)
				s.SetDeaf(id, false)
				s.SetLag(id, 0)
			}
		}
		h.w.blind.Store(rng.IntN(3) == 0)
	}
	for _, id := range ids {
		s.Start(id)
		s.SetDeaf(id, false)
	}
	h.w.blind.Store(false)
}

// check compares what callers were told with what is committed.
func (h *history) check() {
	seen := map[string]bool{}
	for _, w := range h.w.service.Committed() {
		if seen[w.ID] {
			h.problem("write %s took effect twice", w.ID)
		}
		seen[w.ID] = true
		if h.promised[w.ID] {
			h.problem("write %s was committed though its caller was told that nothing is kept", w.ID)
		}
	}
}

// Guards against stale reads, doubled writes, refusals that are not true and
// session values of other callers, while servers crash, fall silent, lag, lose
// answers and change roles, seen by a host that at times learns nothing of it.
func TestPromisesUnderFaults(t *testing.T) {
	for seed := range uint64(chaosSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { playChaos(t, seed) })
	}
}

func playChaos(t *testing.T, seed uint64) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, serviceOptions)
		defer w.end()
		w.group.SetService(catalog.Service{Name: "service", ConnectionLimit: 4}, 1)
		time.Sleep(300 * time.Millisecond)
		h := &history{w: w, acknowledged: map[string]time.Time{}, promised: map[string]bool{}, counts: map[statement.Code]int{}}
		until := time.Now().Add(chaosDuration)
		var running sync.WaitGroup
		for i := range chaosCallers {
			c := w.connect(fmt.Sprintf("c%d", i), []string{onPrimary, bounded, ownWrites}[i%3])
			running.Go(func() { h.load(c, rand.New(rand.NewPCG(seed, uint64(i))), until) })
		}
		running.Go(func() { h.faults(rand.New(rand.NewPCG(seed, 1000)), until) })
		running.Wait()
		time.Sleep(2 * time.Second)
		h.check()
		if h.counts[statement.OK] < 50 {
			t.Errorf("only %d attempts to write succeeded: %v", h.counts[statement.OK], h.counts)
		}
		for _, p := range h.problems {
			t.Error(p)
		}
	})
}
