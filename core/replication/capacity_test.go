package replication_test

import (
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group/grouptest"
	"github.com/gypsumgap/gypsumgap/core/replication"
)

// Guards against status requests that grow with traffic, where only time and the
// number of slots may increase them. Logs the request rates of an idle and of a
// busy database.
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
				t.Errorf("%d slots: got %.1f status requests per second when idle, want at most one per slot", n, idle)
			}
			// A request follows the answer to the last one, so the round trip bounds
			// the rate.
			if limit := 1.5 * float64(n) * float64(time.Second) / float64(2*zoneLatency); rate[16] > limit {
				t.Errorf("%d slots: got %.0f status requests per second with 16 writers, want at most %.0f", n, rate[16], limit)
			}
		})
	}
}

// writeFor writes with concurrent writers for d; each pauses for 10 ms between
// writes.
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
