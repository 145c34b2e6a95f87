package failover_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// The goals in section 2 of the design page, the longest gap that any failover may
// have (hardBound), and the number of seeds for each measurement.
const (
	medianGoal         = 1500 * time.Millisecond
	worstGoal          = 4 * time.Second
	hardBound          = 17 * time.Second
	switchoverGoal     = 250 * time.Millisecond
	seededRuns         = 200
	seededRunsWithRace = 4
)

// The baseline for comparison is a failover after a fixed time-out, without the
// other owner's view.
const (
	baselineTimeout = 5 * time.Second
	baselineProbe   = time.Second
)

// layouts are the deployments of both users, each also with one zone in another
// region.
var layouts = []struct {
	name string
	layout
}{
	{"paardvast", threeSlots}, {"paardvast-regions", threeSlotsTwoRegions},
	{"pwani", fiveSlots}, {"pwani-regions", fiveSlotsTwoRegions},
}

// primaryFailures are the ways in which the primary is lost.
var primaryFailures = []struct {
	name string
	lose func(*cluster)
}{
	{"kill", func(c *cluster) { c.Kill(0) }},
	{"freeze", func(c *cluster) { c.Freeze(0) }},
	{"cut-off", func(c *cluster) { c.isolate(0, true) }},
	{"cut-off-replicas", func(c *cluster) { c.isolate(0, false) }},
}

// gapRun is a configuration in which the failover gap is measured.
type gapRun struct {
	layout
	failPrimary func(*cluster)
	idle        bool
	baseline    bool
}

// measureGap returns the time from the loss of the primary, at a moment chosen by
// the seed, until the next write is accepted. Without traffic it is the time until
// the owner knows a primary that accepts writes.
func (r gapRun) measureGap(t *testing.T, seed uint64) (gap time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		l := r.layout
		l.seed = seed
		if r.baseline {
			l.manualFailover = true
		}
		random := rand.New(rand.NewPCG(seed, 1))
		c := newCluster(t, l)
		defer c.stop()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		if r.baseline {
			wg.Go(func() { c.runBaselineFailover(ctx) })
		}
		if !r.idle {
			wg.Go(func() { c.owners[0].runTraffic(ctx, "w", 20*time.Millisecond) })
		}
		time.Sleep(settleTime + time.Duration(random.Int64N(int64(time.Second))))
		r.failPrimary(c)
		lost := time.Now()
		for gap == 0 && time.Since(lost) < 2*hardBound {
			time.Sleep(time.Millisecond)
			gap = r.elapsedGap(c, lost)
		}
		cancel()
		wg.Wait()
		c.checkHistory(t)
	})
	return gap
}

// elapsedGap returns the gap once it has ended, and 0 before.
func (r gapRun) elapsedGap(c *cluster, lost time.Time) time.Duration {
	if !r.idle {
		return c.gapAfter(lost)
	}
	if _, term, ok := c.owners[0].runner.Primary(); ok && term > 1 {
		return time.Since(lost)
	}
	return 0
}

// gapAfter returns the time from lost until the first write on a newer primary was
// acknowledged, or 0 if there is none yet.
func (c *cluster) gapAfter(lost time.Time) time.Duration {
	acks := c.acks()
	i, _ := slices.BinarySearchFunc(acks, lost, func(a ack, t time.Time) int { return a.at.Compare(t) })
	for _, a := range acks[i:] {
		if a.term > 1 {
			return a.at.Sub(lost)
		}
	}
	return 0
}

// runBaselineFailover promotes the slot with the longest reachable log once the
// primary has not answered for baselineTimeout.
func (c *cluster) runBaselineFailover(ctx context.Context) {
	client := c.Client(c.owners[0].host)
	heard := time.Now()
	for ctx.Err() == nil && time.Since(heard) < baselineTimeout {
		probe, cancel := context.WithTimeout(ctx, baselineProbe)
		sent := time.Now()
		if _, err := client.Status(probe, c.slots[0]); err == nil {
			heard = time.Now()
		}
		cancel()
		time.Sleep(time.Until(sent.Add(baselineProbe)))
	}
	ctx, cancel := context.WithTimeout(ctx, baselineProbe)
	defer cancel()
	best := -1
	var end group.Position
	for i := 1; i < len(c.slots); i++ {
		if st, err := client.Fence(ctx, c.slots[i], 2); err == nil && st.Received.Compare(end) > 0 {
			best, end = i, st.Received
		}
	}
	if best < 0 {
		return
	}
	_, _ = client.Promote(ctx, c.slots[best], 2)
	for i := 1; i < len(c.slots); i++ {
		if i != best {
			_, _ = client.Follow(ctx, c.slots[i], 2, c.slots[best].Address)
		}
	}
}

// sortedSamples are the values measured in seeded runs, in ascending order.
type sortedSamples []time.Duration

func (f sortedSamples) median() time.Duration { return f[len(f)/2] }
func (f sortedSamples) worst() time.Duration  { return f[len(f)-1] }

// measure runs one for each seed; under the race detector only for a few of them.
func measure(t *testing.T, runs int, one func(t *testing.T, seed uint64) time.Duration) sortedSamples {
	if raceEnabled {
		runs = min(runs, seededRunsWithRace)
	}
	var f sortedSamples
	for seed := range uint64(runs) {
		f = append(f, one(t, seed))
	}
	slices.Sort(f)
	return f
}

// The failover gap must meet the goals in each deployment and for each way to lose
// the primary, with and without traffic.
func TestFailoverGapMeetsGoals(t *testing.T) {
	for _, l := range layouts {
		for _, loss := range primaryFailures {
			for _, idle := range []bool{false, true} {
				if idle && loss.name == "cut-off-replicas" {
					continue // without commits nothing stalls, and the primary still answers
				}
				t.Run(fmt.Sprintf("%s/%s/idle=%v", l.name, loss.name, idle), func(t *testing.T) {
					t.Parallel()
					f := measure(t, seededRuns, gapRun{layout: l.layout, failPrimary: loss.lose, idle: idle}.measureGap)
					t.Logf("median %v, worst %v", f.median(), f.worst())
					if f[0] == 0 || f.median() > medianGoal || f.worst() > min(worstGoal, hardBound) {
						t.Errorf("want a median of at most %v and a worst gap of at most %v; runs that did not end: %v", medianGoal, worstGoal, f[0] == 0)
					}
				})
			}
		}
	}
}

// measureSwitchover returns the longest pause between acknowledged writes around a
// planned switchover at a moment chosen by the seed.
func measureSwitchover(l layout) func(*testing.T, uint64) time.Duration {
	return func(t *testing.T, seed uint64) (pause time.Duration) {
		l.seed = seed
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			c := newCluster(t, l)
			defer c.stop()
			ctx, cancel := context.WithCancel(t.Context())
			var wg sync.WaitGroup
			wg.Go(func() { c.owners[0].runTraffic(ctx, "w", 10*time.Millisecond) })
			time.Sleep(settleTime + time.Duration(random.Int64N(int64(time.Second))))
			f, err := c.owners[0].driver.Switchover(ctx, "")
			if err != nil || f.Term != 2 {
				t.Errorf("switchover returned %+v, %v, want term 2", f, err)
			}
			time.Sleep(time.Second)
			cancel()
			wg.Wait()
			for _, err := range c.failed {
				t.Errorf("a request failed: %v", err)
			}
			acks := c.acks()
			for i := 1; i < len(acks); i++ {
				pause = max(pause, acks[i].at.Sub(acks[i-1].at))
			}
			c.checkHistory(t)
		})
		return pause
	}
}

// A planned switchover must neither fail a request nor pause writes for longer
// than the goal.
func TestSwitchoverMeetsGoal(t *testing.T) {
	for _, l := range layouts {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			f := measure(t, seededRuns, measureSwitchover(l.layout))
			t.Logf("median %v, worst %v", f.median(), f.worst())
			if f.worst() > switchoverGoal {
				t.Errorf("longest pause is %v, want at most %v", f.worst(), switchoverGoal)
			}
		})
	}
}

// statusExchangeBytes estimates the payload of one status exchange in the
// PostgreSQL protocol: the query (38), the description of 11 columns (326), a row
// (139), command completion (14) and readiness (6).
const statusExchangeBytes = 38 + 326 + 139 + 14 + 6

// controlRequestRate returns the control requests per second of both owners
// together while one of them writes at the interval. Interval 0 leaves the
// database idle.
func controlRequestRate(t *testing.T, l layout, interval time.Duration) (perSecond float64) {
	const span = 60 * time.Second
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, l)
		defer c.stop()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		if interval > 0 {
			wg.Go(func() { c.owners[0].runTraffic(ctx, "w", interval) })
		}
		time.Sleep(settleTime + 500*time.Millisecond) // between two rounds
		before := c.Counts()
		time.Sleep(span)
		after := c.Counts()
		cancel()
		wg.Wait()
		if after.Fence+after.Promote+after.Follow != before.Fence+before.Promote+before.Follow {
			t.Errorf("orders were sent to a healthy group: %+v", after)
		}
		perSecond = float64(after.Status-before.Status) / span.Seconds()
	})
	return perSecond
}

// An idle database must cost at most one request per slot, owner and second.
func TestIdleDatabaseCostsOneRequestPerSlotOwnerAndSecond(t *testing.T) {
	for _, l := range layouts {
		n := controlRequestRate(t, l.layout, 0)
		if limit := float64(l.slots * l.owners); n > limit {
			t.Errorf("%s: %v requests/s, want at most %v", l.name, n, limit)
		}
	}
}

// runInTest runs f with a *testing.T, which synctest needs for virtual time.
func runInTest(b *testing.B, f func(*testing.T)) {
	all := func(string, string) (bool, error) { return true, nil }
	if !testing.RunTests(all, []testing.InternalTest{{Name: b.Name(), F: f}}) {
		b.Fail()
	}
}

// reportSamples reports the samples, which are in virtual time. The time per
// operation has no meaning and is reported as 0.
func reportSamples(b *testing.B, f sortedSamples) {
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(f.median().Microseconds())/1000, "median-ms")
	b.ReportMetric(float64(f.worst().Microseconds())/1000, "worst-ms")
}

// BenchmarkFailoverGap prints the gap over 200 seeds in virtual time, with and
// without traffic, and that of the baseline.
func BenchmarkFailoverGap(b *testing.B) {
	for _, l := range layouts {
		for _, loss := range primaryFailures {
			for name, r := range map[string]gapRun{"busy": {}, "idle": {idle: true}, "baseline": {baseline: true}} {
				r.layout, r.failPrimary = l.layout, loss.lose
				if loss.name == "cut-off-replicas" && name != "busy" {
					continue // the baseline does not detect this failure
				}
				b.Run(fmt.Sprintf("%s/%s/%s", l.name, loss.name, name), func(b *testing.B) {
					runInTest(b, func(t *testing.T) { reportSamples(b, measure(t, seededRuns, r.measureGap)) })
				})
			}
		}
	}
}

// BenchmarkSwitchover prints the pause of planned switchovers over 200 seeds.
func BenchmarkSwitchover(b *testing.B) {
	for _, l := range layouts {
		b.Run(l.name, func(b *testing.B) {
			runInTest(b, func(t *testing.T) { reportSamples(b, measure(t, seededRuns, measureSwitchover(l.layout))) })
		})
	}
}

// BenchmarkControlMessages prints the control requests and bytes per second of one
// database.
func BenchmarkControlMessages(b *testing.B) {
	for _, l := range layouts {
		for name, interval := range map[string]time.Duration{"idle": 0, "10-writes-per-s": 100 * time.Millisecond, "500-writes-per-s": 2 * time.Millisecond} {
			b.Run(l.name+"/"+name, func(b *testing.B) {
				runInTest(b, func(t *testing.T) {
					n := controlRequestRate(t, l.layout, interval)
					b.ReportMetric(0, "ns/op")
					b.ReportMetric(n, "requests/s")
					b.ReportMetric(n*statusExchangeBytes, "B/s")
				})
			})
		}
	}
}
