package shares

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/gypsumgap/gypsumgap/core/testseed"
)

// host is a process that opens connections within the count that it has read.
type host struct {
	id   Holder
	rank int
	// lastRead is the allocation as last read.
	lastRead Allocation
	// version is the version of lastRead in the store.
	version int
	open    int
	failed  bool
}

// Guards against more connections than the limit while hosts join, fail, restart
// and disagree about who owns the database.
func TestConnectionsStayWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 150).Draw(t, "limit")
		stored, version := Allocation{}, 0
		var hosts []*host
		isGone := func(h Holder) bool {
			for _, o := range hosts {
				if o.id.SameProcess(h) {
					return o.failed && o.open == 0
				}
			}
			return false
		}
		pick := func(t *rapid.T) *host {
			if len(hosts) == 0 {
				t.Skip("no hosts")
			}
			return rapid.SampledFrom(hosts).Draw(t, "host")
		}
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				id := Holder{Host: fmt.Sprintf("e%d", len(hosts)%5), Incarnation: uint64(len(hosts))}
				hosts = append(hosts, &host{id: id, rank: rapid.IntRange(-1, 1).Draw(t, "rank")})
			},
			"rank": func(t *rapid.T) { pick(t).rank = rapid.IntRange(-1, 1).Draw(t, "rank") },
			"read": func(t *rapid.T) {
				h := pick(t)
				h.lastRead, h.version = stored, version
			},
			"write": func(t *rapid.T) {
				h := pick(t)
				if h.failed {
					return
				}
				next := Plan(h.lastRead, limit, h.id, h.rank, h.open, isGone)
				if h.version == version {
					stored, version = next, version+1
					h.lastRead, h.version = stored, version
				}
			},
			"open": func(t *rapid.T) {
				h := pick(t)
				if !h.failed && h.open < h.lastRead.Count(h.id) {
					h.open++
				}
			},
			"close": func(t *rapid.T) {
				if h := pick(t); h.open > 0 {
					h.open--
				}
			},
			"die": func(t *rapid.T) { pick(t).failed = true },
			"": func(t *rapid.T) {
				open := 0
				for _, h := range hosts {
					open += h.open
				}
				if open > limit || stored.Sum() > limit {
					t.Fatalf("limit %d exceeded: %d connections open, %d allocated", limit, open, stored.Sum())
				}
			},
		})
	})
}

// Guards against an owner that gets no connection, and a first owner that gets
// fewer than the second.
func TestBothOwnersGetConnections(t *testing.T) {
	none := func(Holder) bool { return false }
	for _, limit := range []int{3, 45, 140} {
		first := Holder{Host: "e1", Incarnation: 1}
		second := Holder{Host: "e2", Incarnation: 1}
		a := Plan(Allocation{}, limit, first, 0, 0, none)
		a = Plan(a, limit, second, 1, 0, none)
		if a.Count(first) < a.Count(second) || a.Count(second) == 0 || a.Sum() > limit {
			t.Errorf("limit %d: first owner got %d connections, second %d", limit, a.Count(first), a.Count(second))
		}
	}
}

// Guards against confirmations that are lost when the count changes, so that
// other hosts assume that the holder has not written.
func TestConfirmationsGrowAndStay(t *testing.T) {
	none := func(Holder) bool { return false }
	self := Holder{Host: "e1", Incarnation: 1}
	before := Plan(Allocation{}, 45, self, 0, 0, none)
	a := before.Confirm(self, before)
	a = a.Confirm(self, a)
	a = Plan(a, 45, self, 1, 0, none)
	if got := a.confirmations(self); got != 2 {
		t.Errorf("got %d confirmations, want 2", got)
	}
	if before.confirmations(self) != 0 {
		t.Error("Confirm changed the allocation that it was called with")
	}
}
