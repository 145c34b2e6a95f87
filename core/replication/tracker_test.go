package replication_test

import (
	"errors"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/group/grouptest"
	"github.com/gypsumgap/gypsumgap/core/replication"
	_ "github.com/gypsumgap/gypsumgap/core/testseed"
	"pgregory.net/rapid"
)

var start = time.Unix(1e9, 0)

func pos(t group.Term, o uint64) group.Position { return group.Position{Term: t, Offset: o} }

func status(r group.Role, accepted group.Term, received group.Position) group.Status {
	return group.Status{Role: r, AcceptedTerm: accepted, Received: received, Applied: received}
}

// answer records st as the answer to a request that is sent now.
func answer(t *replication.Tracker, slot int, st group.Status) {
	t.RecordAnswer(t.BeginRequest(start, slot), st)
}

func newTracker(n int) *replication.Tracker {
	return replication.NewTracker(grouptest.Slots(n, "a", "b", "c"))
}

// Guards against counting a slot for a commit although its copy of the offset
// may come from another primary, which is so when its accepted term or the term
// of its last record differs.
func TestCommitCountsOnlySlotsAtItsTerm(t *testing.T) {
	for name, c := range map[string]struct {
		replica group.Status
		durable bool
	}{
		"replica at the term":        {status(group.Replica, 2, pos(2, 10)), true},
		"replica ahead":              {status(group.Replica, 2, pos(2, 11)), true},
		"replica behind":             {status(group.Replica, 2, pos(2, 9)), false},
		"accepted a newer term":      {status(group.Fenced, 3, pos(2, 10)), false},
		"log of an older term":       {status(group.Replica, 2, pos(1, 50)), false},
		"follows a newer primary":    {status(group.Replica, 3, pos(3, 10)), false},
		"accepted an older term too": {status(group.Replica, 1, pos(1, 10)), false},
	} {
		tr := newTracker(3)
		w := tr.BeginCommit(2)
		answer(tr, 1, c.replica)
		answer(tr, 0, status(group.Primary, 2, pos(2, 10)))
		p, done, err := tr.CheckCommit(&w)
		if done != c.durable || err != nil || (done && p != pos(2, 10)) {
			t.Errorf("%s: got %v, %v, %v; want durable %v", name, p, done, err, c.durable)
		}
	}
}

// Guards against a wait that uses an answer to a request sent before it began: a
// commit completed since then may exceed the position in that answer.
func TestWaitsIgnoreAnswersToEarlierRequests(t *testing.T) {
	tr := newTracker(3)
	var early []replication.Request
	for i := range 3 {
		early = append(early, tr.BeginRequest(start, i))
	}
	commit, barrier := tr.BeginCommit(1), tr.BeginBarrier()
	for i, r := range early {
		role := group.Replica
		if i == 0 {
			role = group.Primary
		}
		tr.RecordAnswer(r, status(role, 1, pos(1, 10)))
	}
	if p, done, _ := tr.CheckCommit(&commit); done {
		t.Errorf("commit is durable at %v from answers to earlier requests, want it to wait", p)
	}
	for hour := range 3 { // longer than any wait for outstanding slots
		if p, done, _ := tr.CheckBarrier(start.Add(time.Duration(hour)*time.Hour), &barrier); done {
			t.Errorf("barrier is at %v from answers to earlier requests, want it to wait", p)
		}
	}
}

// Guards against a late answer to an earlier request that replaces the answer to
// a later one.
func TestLateAnswerDoesNotReplaceNewer(t *testing.T) {
	tr := newTracker(3)
	late := tr.BeginRequest(start, 0)
	answer(tr, 0, status(group.Fenced, 2, pos(1, 10)))
	tr.RecordAnswer(late, status(group.Primary, 1, pos(1, 10)))
	if v := tr.View(); v.Primary >= 0 {
		t.Errorf("slot %d is primary because of a late answer, want none", v.Primary)
	}
}

// Guards against a wait that does not notice that its primary was replaced, and
// against one that fails although a quorum is left at its term.
func TestCommitFailsOnlyWithoutQuorum(t *testing.T) {
	tr := newTracker(5)
	w := tr.BeginCommit(1)
	for i := range 2 {
		answer(tr, i+3, status(group.Fenced, 2, pos(1, 9)))
	}
	if _, _, err := tr.CheckCommit(&w); err != nil {
		t.Fatalf("two of five slots at a newer term: got %v, want no error", err)
	}
	answer(tr, 2, status(group.Fenced, 2, pos(1, 9)))
	if _, _, err := tr.CheckCommit(&w); !errors.Is(err, replication.ErrTermChanged) {
		t.Fatalf("three of five slots at a newer term: got %v, want ErrTermChanged", err)
	}
}

// Guards against the choice of a primary that cannot commit, and against the
// wrong choice when two slots report to be primary: the newer term wins, and
// none at equal terms.
func TestPrimaryOfTwoClaims(t *testing.T) {
	for name, c := range map[string]struct {
		slots []group.Status
		want  int
	}{
		"newer term":         {[]group.Status{status(group.Primary, 1, pos(1, 9)), status(group.Primary, 2, pos(2, 5)), status(group.Replica, 2, pos(2, 5))}, 1},
		"one term":           {[]group.Status{status(group.Primary, 2, pos(2, 9)), status(group.Primary, 2, pos(2, 5)), status(group.Replica, 2, pos(2, 5))}, -1},
		"fenced by a driver": {[]group.Status{status(group.Primary, 1, pos(1, 9)), status(group.Fenced, 2, pos(1, 9)), status(group.Fenced, 2, pos(1, 9))}, -1},
		"one stray slot":     {[]group.Status{status(group.Primary, 1, pos(1, 9)), status(group.Replica, 1, pos(1, 9)), status(group.Fenced, 2, pos(1, 9))}, 0},
	} {
		tr := newTracker(3)
		for i, st := range c.slots {
			answer(tr, i, st)
		}
		if v := tr.View(); v.Primary != c.want {
			t.Errorf("%s: got primary %d, want %d", name, v.Primary, c.want)
		}
	}
}

// Guards against reads from slots that are leaving, unreachable, suspected,
// behind, too old or not replicas.
func TestReplicaChoice(t *testing.T) {
	good := status(group.Replica, 1, pos(1, 10))
	leaving := good
	leaving.Leaving = true
	for name, c := range map[string]struct {
		st     group.Status
		change func(*replication.Tracker)
		age    time.Duration
		want   bool
	}{
		"good":        {st: good, want: true},
		"fresh":       {st: good, age: time.Second, want: true},
		"too old":     {st: good, age: time.Millisecond},
		"leaving":     {st: leaving},
		"behind":      {st: status(group.Replica, 1, pos(1, 9))},
		"fenced":      {st: status(group.Fenced, 2, pos(1, 10))},
		"unreachable": {st: good, change: func(t *replication.Tracker) { t.RecordFailure(t.BeginRequest(start, 1)) }},
		"suspected":   {st: good, change: func(t *replication.Tracker) { t.Suspect(1) }},
	} {
		tr := newTracker(3)
		answer(tr, 0, status(group.Primary, 1, pos(1, 10)))
		answer(tr, 1, c.st)
		if c.change != nil {
			c.change(tr)
		}
		got := tr.View().PickReplica(start.Add(500*time.Millisecond), pos(1, 10), c.age, 0)
		if (got == 1) != c.want {
			t.Errorf("%s: picked replica %d", name, got)
		}
	}
}

// Guards against tokens that change when formatted and parsed, and against
// malformed tokens that are accepted.
func TestTokenForm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := replication.Token{
			Database: rapid.StringMatching(`[a-z][a-z0-9/:-]{0,20}`).Draw(t, "database"),
			Position: pos(group.Term(rapid.Uint64Min(1).Draw(t, "term")), rapid.Uint64().Draw(t, "offset")),
		}
		got, err := replication.ParseToken(want.String())
		if err != nil || got != want {
			t.Fatalf("parse token %q: got %+v, %v", want.String(), got, err)
		}
	})
	if got, err := replication.ParseToken("none"); err != nil || !got.None() {
		t.Errorf("parse token none: got %+v, %v", got, err)
	}
	for _, bad := range []string{"", "db", "db/", "/1:2", "db/1", "db/1:", "db/:1", "db/0:1", "db/01:2", "db/1:-2", "db/1:2 ", "db/1:99999999999999999999"} {
		if got, err := replication.ParseToken(bad); !errors.Is(err, replication.ErrBadToken) {
			t.Errorf("parse malformed token %q: got %+v, %v; want ErrBadToken", bad, got, err)
		}
	}
}
