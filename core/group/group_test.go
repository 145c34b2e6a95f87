package group

import (
	"testing"

	_ "github.com/gypsumgap/gypsumgap/core/testseed"
	"pgregory.net/rapid"
)

// Guards against a promotion that misses a durable commit, or two promotions
// at one term, for any size of group.
func TestFenceQuorumMeetsCommitsAndRivals(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 15).Draw(t, "n")
		g := FenceQuorum(n)
		if g+CommitQuorum(n) <= n {
			t.Fatalf("n=%d: fence quorum %d may miss commit quorum %d", n, g, CommitQuorum(n))
		}
		if 2*g <= n {
			t.Fatalf("n=%d: two fence quorums of %d may be disjoint", n, g)
		}
	})
}
