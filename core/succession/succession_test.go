package succession

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// A healthy primary must not be replaced, and a lost one must be.
func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	healthy := View{Primary: "p", Registered: true, Reachable: true, LiveHosts: 15, Candidates: 2}
	for _, tt := range []struct {
		name   string
		change func(*View)
		want   Reason
	}{
		{"healthy", func(*View) {}, NoReplacement},
		{"draining", func(v *View) { v.Draining = true }, PrimaryDraining},
		{"draining without candidates", func(v *View) { v.Draining, v.Candidates = true, 0 }, NoReplacement},
		{"unregistered", func(v *View) { v.Registered = false }, PrimaryUnregistered},
		{"only the holder cannot reach it", func(v *View) { v.Reachable = false }, NoReplacement},
		{"holder and few hosts cannot reach it", func(v *View) { v.Reachable, v.MissingReports = false, 3 }, NoReplacement},
		{"holder and many hosts cannot reach it", func(v *View) { v.Reachable, v.MissingReports = false, 4 }, PrimaryUnreachable},
		{"most hosts answer and many cannot reach it", func(v *View) { v.Reachable, v.PolledHosts, v.PolledMissing = false, 7, 2 }, PrimaryUnreachable},
		{"holder is in the minority partition", func(v *View) { v.Reachable, v.PolledHosts, v.PolledMissing = false, 6, 6 }, NoReplacement},
		{"most hosts that answer reach it", func(v *View) { v.Reachable, v.PolledHosts, v.PolledMissing = false, 9, 1 }, NoReplacement},
		{"no host answers", func(v *View) { v.Reachable = false }, NoReplacement},
		{"single host", func(v *View) { v.Reachable, v.LiveHosts = false, 1 }, PrimaryUnreachable},
		{"others cannot reach it for a moment", func(v *View) { v.MissingReports, v.MissingReportedAt = 8, now.Add(-time.Millisecond) }, NoReplacement},
		{"many others cannot reach it", func(v *View) { v.MissingReports, v.MissingReportedAt = 8, now.Add(-ReportDelay) }, PrimaryPartlyUnreachable},
		{"few others cannot reach it", func(v *View) { v.MissingReports, v.MissingReportedAt = 4, now.Add(-time.Minute) }, NoReplacement},
		{"no primary for a moment", func(v *View) { v.Primary, v.NoPrimarySince = "", now.Add(-time.Millisecond) }, NoReplacement},
		{"no primary", func(v *View) { v.Primary, v.NoPrimarySince = "", now.Add(-NoPrimaryDelay) }, NoPrimary},
		{"no primary while servers register", func(v *View) {
			v.Primary, v.NoPrimarySince, v.LastRegisteredAt = "", now.Add(-time.Minute), now.Add(-time.Second)
		}, NoReplacement},
		{"promotion in progress", func(v *View) { v.Registered, v.PromotionOrderedAt = false, now.Add(-time.Second) }, NoReplacement},
		{"promotion refused", func(v *View) {
			v.Registered, v.PromotionOrderedAt, v.PromotionRefused = false, now.Add(-time.Second), true
		}, PrimaryUnregistered},
		{"promotion without effect", func(v *View) { v.Registered, v.PromotionOrderedAt = false, now.Add(-PromotionTimeout) }, PrimaryUnregistered},
	} {
		v := healthy
		tt.change(&v)
		if got := Decide(now, v); got != tt.want {
			t.Errorf("%s: got %q, want %q", tt.name, got, tt.want)
		}
	}
}

// Promoting a replica other than one with the longest log would lose commits.
func TestSuccessorHasLongestLog(t *testing.T) {
	replicas := []Replica{
		{ID: "near", Received: group.Position{Term: 2, Offset: 7}, SameRegion: true},
		{ID: "old", Received: group.Position{Term: 1, Offset: 90}},
		{ID: "far", Received: group.Position{Term: 2, Offset: 8}},
	}
	if got, ok := Successor(replicas, 1); !ok || got.ID != "far" {
		t.Errorf("got %+v, want far", got)
	}
	replicas[2].Received.Offset = 7
	if got, _ := Successor(replicas, 1); got.ID != "near" {
		t.Errorf("got %+v among equal logs, want near", got)
	}
	if _, ok := Successor(replicas, 4); ok {
		t.Error("got a successor although a replica that may hold acknowledged commits did not answer")
	}
	if _, ok := Successor(nil, 0); ok {
		t.Error("got a successor without any replica")
	}
}

// Guards against a successor that lacks a commit which was acknowledged after some
// replicas had received it, whichever replicas reply, are about to stop or have left.
func TestSuccessorHasAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(2, 6).Draw(t, "servers")
		sync := rapid.IntRange(1, servers-1).Draw(t, "sync replicas")
		// The first server is the lost primary. The others have a part of its log.
		logs := rapid.SliceOfN(rapid.Uint64Range(0, 9), servers-1, servers-1).Draw(t, "logs")
		var replies []Replica
		for i, received := range logs {
			switch rapid.SampledFrom([]string{"replies", "leaving", "left or silent"}).Draw(t, "state") {
			case "replies":
				replies = append(replies, Replica{ID: fmt.Sprint(i), Received: group.Position{Term: 1, Offset: received}})
			case "leaving":
				replies = append(replies, Replica{ID: fmt.Sprint(i), Received: group.Position{Term: 1, Offset: received}, Leaving: true})
			}
		}
		best, ok := Successor(replies, max(servers-sync, 1))
		if !ok {
			return
		}
		slices.Sort(logs)
		// This many replicas have received this much.
		acknowledged := logs[len(logs)-sync]
		if best.Received.Offset < acknowledged || best.Leaving {
			t.Fatalf("got successor %+v with commits up to %d acknowledged", best, acknowledged)
		}
	})
}
