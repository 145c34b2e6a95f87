package group

import (
	"testing"

	_ "github.com/gypsumgap/gypsumgap/core/testseed"
	"pgregory.net/rapid"
)

// Guards against a promotion that loses a durable commit and against two
// promotions at one term: for any group size, a fence quorum must intersect
// every commit quorum and every other fence quorum.
func TestFenceQuorumIntersectsCommitAndFenceQuorums(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 15).Draw(t, "n")
		g := FenceQuorum(n)
		if g+CommitQuorum(n) <= n {
			t.Fatalf("n=%d: fence quorum %d may not intersect commit quorum %d", n, g, CommitQuorum(n))
		}
		if 2*g <= n {
			t.Fatalf("n=%d: two fence quorums of %d may be disjoint", n, g)
		}
	})
}
