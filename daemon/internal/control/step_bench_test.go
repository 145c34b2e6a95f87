package control

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/confstore"
	"github.com/gypsumgap/gypsumgap/core/confsync"
	"github.com/gypsumgap/gypsumgap/core/membership"
	"github.com/gypsumgap/gypsumgap/core/platform/platformtest"
)

const targetDatabases = 19_000

// processTime returns the user and system CPU time of the process.
func processTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

var firstRunBytes = map[string]int64{}

// firstRun returns the bytes used in the first run of a benchmark. When a later
// run begins, the objects of the previous one are still reachable, so its own
// figure would be too low.
func firstRun(b *testing.B, used int64) float64 {
	if _, ok := firstRunBytes[b.Name()]; !ok {
		firstRunBytes[b.Name()] = used
	}
	return float64(firstRunBytes[b.Name()])
}

// newIdleController returns a controller with a configuration of the given size,
// whose steps the benchmark runs itself. It owns nothing, so that no group runs.
func newIdleController(b *testing.B, hosts, databases int) *Controller {
	self := membership.Member{Name: "observer", Zone: "elsewhere", Region: "region-0", Incarnation: 1}
	c := testController(self, platformtest.New(platformtest.Options{}))
	ctx, stop := context.WithCancel(b.Context())
	b.Cleanup(func() {
		stop()
		c.workers.Wait()
	})
	c.ctx = ctx
	c.table.Leave(time.Now())
	var members []membership.Member
	for i := range hosts {
		members = append(members, testMember(i))
	}
	c.post(probeAnswered{message: membership.Message{Updates: members}})
	c.post(configEvent{confsync.StoreUpdate{Update: confstore.Update{Snapshot: testSnapshot(1, databases)}}})
	c.step(time.Now())
	return c
}

// BenchmarkMemberChange measures the step of the control goroutine that handles
// one change of a member, which leaves or comes back.
func BenchmarkMemberChange(b *testing.B) {
	for _, hosts := range []int{250, 1000, 3000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			before := heap()
			c := newIdleController(b, hosts, targetDatabases)
			used := heap() - before
			cpu := processTime()
			b.ResetTimer()
			for i := range b.N {
				m := testMember(i / 2 % hosts)
				m.Incarnation += uint64(i + 1)
				if i%2 == 0 {
					m.State = membership.Leaving
				}
				c.post(probeAnswered{message: membership.Message{Updates: []membership.Member{m}}})
				c.step(time.Now())
			}
			b.ReportMetric(float64((processTime()-cpu).Microseconds())/1e3/float64(b.N), "cpu-ms/change")
			b.ReportMetric(firstRun(b, used)/1e6, "MB")
			runtime.KeepAlive(c)
		})
	}
}

// BenchmarkIdleStep measures a step without a change. Each timer and each
// response from a slot of an owned group causes one.
func BenchmarkIdleStep(b *testing.B) {
	for _, hosts := range []int{250, 1000, 3000} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			c := newIdleController(b, hosts, 19)
			cpu := processTime()
			b.ResetTimer()
			for range b.N {
				c.step(time.Now())
			}
			b.ReportMetric(float64((processTime()-cpu).Nanoseconds())/1e3/float64(b.N), "cpu-us/step")
		})
	}
}

// BenchmarkConfigChange measures the step that applies a change of one service,
// reported by a store watch or a peer.
func BenchmarkConfigChange(b *testing.B) {
	for _, databases := range []int{4750, 9500, 19000} {
		b.Run(fmt.Sprintf("databases=%d", databases), func(b *testing.B) {
			before := heap()
			c := newIdleController(b, 250, databases)
			used := heap() - before
			cpu := processTime()
			b.ResetTimer()
			for i := range b.N {
				service := *c.config.Service("service-77")
				service.CommitTimeout += config.Duration(time.Millisecond)
				version := uint64(i + 2)
				next := c.config.With(version, []*config.Service{&service}, nil)
				c.post(configEvent{confsync.StoreUpdate{Update: confstore.Update{
					Base: version - 1, Snapshot: next, Touched: []string{service.Name}, Complete: true,
				}}})
				c.step(time.Now())
			}
			b.ReportMetric(float64((processTime()-cpu).Microseconds())/1e3/float64(b.N), "cpu-ms/change")
			b.ReportMetric(firstRun(b, used)/1e6, "MB")
			runtime.KeepAlive(c)
		})
	}
}
