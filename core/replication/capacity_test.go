package replication_test

import (
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group/grouptest"
	"github.com/gypsumgap/gypsumgap/core/replication"
)

// Guards against status requests that grow with traffic instead of with time
// and slots. Prints the requests of an idle and of a busy database.
func TestStatusRequestsAreBounded(t *testing.T) {
	const idleSpan, busySpan = time.Minute, 4 * time.Second
	for _, n := range []int{3, 5, 7} {
		withRunner(t, n, func(t *testing.T, g *grouptest.Group, r *replication.Runner) {
			count := func(span time.Duration, f func()) float64 {
				before := g.Counts().Status
				f()
				return float64(g.Counts().Status-before) / span.Seconds()
			}
			time.Sleep(10 * time.Second)
			idle := count(idleSpan, func() { time.Sleep(idleSpan) })
			rate := map[int]float64{}
			for _, writers := range []int{1, 4, 16} {
				rate[writers] = count(busySpan, func() { writeFor(t, g, r, writers, busySpan) })
			}
			t.Logf("capacity: slots=%d idle=%.1f/s busy by writers=%v/s", n, idle, rate)
			// A span of 60 intervals holds at most 61 requests to a slot.
			if idle > float64(n)*61/60 {
				t.Errorf("%d slots: %.1f requests a second when idle", n, idle)
			}
			// Requests follow each other, so the rate is bounded by the round trip.
			if limit := 1.5 * float64(n) * float64(time.Second) / float64(2*zoneLatency); rate[16] > limit {
				t.Errorf("%d slots: %.0f requests a second with 16 writers, the limit is %.0f", n, rate[16], limit)
			}
		})
	}
}

// writeFor writes from a number of callers, each after 10 ms of thought.
func writeFor(t *testing.T, g *grouptest.Group, r *replication.Runner, writers int, d time.Duration) {
	done := make(chan struct{})
	end := time.Now().Add(d)
	for range writers {
		go func() {
			defer func() { done <- struct{}{} }()
			for time.Now().Before(end) {
				mustWrite(t, g, r, "w")
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	for range writers {
		<-done
	}
}
