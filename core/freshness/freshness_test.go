package freshness

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// Guards against a position that misses a commit older than the requested time.
// The log of the test grows by one commit per millisecond.
func TestPositionCoversOldCommits(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(1000, 0)
	var tracker Tracker
	for now := 0; now < 20_000; now += 1 + rng.IntN(80) {
		at := start.Add(time.Duration(now) * time.Millisecond)
		if rng.IntN(3) > 0 {
			// The log has reached at least offset now when the sample is sent.
			tracker.Add(at, group.Position{Term: 1, Offset: uint64(now + rng.IntN(5))})
		}
		back := rng.IntN(2500)
		position, ok := tracker.LowestCovering(at.Add(-time.Duration(back) * time.Millisecond))
		if ok && int(position.Offset) < now-back {
			t.Fatalf("at %d ms: got position %d for an age of %d ms, which misses older commits", now, position.Offset, back)
		}
	}
}

// Guards against samples of a replaced primary that are used after those of its
// successor, and against a lookup that fails although a sample is young enough.
func TestNewerTermReplacesSamples(t *testing.T) {
	start := time.Unix(1000, 0)
	var tracker Tracker
	if _, ok := tracker.LowestCovering(start); ok {
		t.Error("a tracker without samples returned a position")
	}
	tracker.Add(start, group.Position{Term: 1, Offset: 90})
	tracker.Add(start.Add(time.Second), group.Position{Term: 2, Offset: 80})
	tracker.Add(start.Add(2*time.Second), group.Position{Term: 1, Offset: 95})
	position, ok := tracker.LowestCovering(start)
	if !ok || position != (group.Position{Term: 2, Offset: 80}) {
		t.Errorf("got %v, %v, want the position of term 2", position, ok)
	}
	if _, ok := tracker.LowestCovering(start.Add(1500 * time.Millisecond)); ok {
		t.Error("a tracker whose samples are too old returned a position")
	}
}
