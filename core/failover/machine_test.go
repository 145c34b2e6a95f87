package failover_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/failover"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/group/grouptest"
)

// A promotion without an answer may have taken effect. No other slot may be
// promoted at that term, or the term would have two primaries.
func TestPromotionWithoutAnswerIsRepeatedOnTheSameSlot(t *testing.T) {
	now := time.Unix(1e9, 0)
	m := failover.New(failover.Config{Slots: grouptest.Slots(3, "a", "b", "c"), Rand: rand.New(rand.NewPCG(1, 1))})
	promoted := map[group.Term]int{}
	var step func(failover.Event)
	step = func(ev failover.Event) {
		for _, c := range m.Step(now, ev) {
			switch c := c.(type) {
			case failover.Probe:
				step(failover.ProbeAnswered{Slot: c.Slot, Sent: now, Status: group.Status{Role: group.Fenced, AcceptedTerm: 1}})
			case failover.SendOrder:
				r := failover.OrderCompleted{Attempt: c.Attempt, Order: c.Order, Slot: c.Slot, Term: c.Term, Sent: now}
				r.Status = group.Status{Role: group.Fenced, AcceptedTerm: c.Term}
				if c.Order == failover.OrderPromote {
					if other, ok := promoted[c.Term]; ok && other != c.Slot {
						t.Errorf("slots %d and %d were sent a promotion at term %d", other, c.Slot, c.Term)
					}
					promoted[c.Term] = c.Slot
					r.Err = group.ErrNoAnswer
				}
				step(r)
			}
		}
	}
	step(failover.OwnershipChanged{Rank: 0})
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		step(failover.Tick{})
	}
	if len(promoted) < 2 {
		t.Errorf("got promotions at %d terms, want attempts at 2 or more", len(promoted))
	}
}
