package membership

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// BenchmarkTableMemory measures the heap that one table uses per host.
func BenchmarkTableMemory(b *testing.B) {
	for _, n := range benchFleetSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			now := time.Unix(1_764_000_000, 0)
			for range b.N {
				before := heapInUse()
				t := NewTable(generateHosts(1)[0], DefaultOptions(), rand.New(rand.NewPCG(1, 1)), now)
				t.mergeUpdates(now, generateHosts(n))
				b.ReportMetric(float64(heapInUse()-before)/float64(n), "B/host")
				runtime.KeepAlive(t)
			}
		})
	}
}

// BenchmarkZoneLoss reports the virtual time until every host has declared all
// hosts of a lost zone, a twelfth of the fleet, dead, and the messages sent
// meanwhile.
func BenchmarkZoneLoss(b *testing.B) {
	for _, n := range []int{60, 120, 240} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			for range b.N {
				f := newFleet(n, 7)
				f.run(60 * time.Second)
				f.messages, f.members = 0, 0
				lost := f.names[:n/12]
				for _, name := range lost {
					f.down[name] = true
				}
				start := f.now
				for !f.allDead(lost) && f.now.Sub(start) < 10*time.Minute {
					f.run(time.Second)
				}
				took := f.now.Sub(start).Seconds()
				b.ReportMetric(took, "virtual-s")
				b.ReportMetric(float64(f.messages)/float64(n)/took, "messages/host/s")
				b.ReportMetric(float64(f.members)/float64(n)/took, "members/host/s")
			}
		})
	}
}

// allDead reports whether every running host has declared all lost hosts dead.
func (f *fleet) allDead(lost []string) bool {
	for _, at := range f.names {
		if f.down[at] {
			continue
		}
		for _, of := range lost {
			if f.tables[at].entries[of].State != Dead {
				return false
			}
		}
	}
	return true
}
