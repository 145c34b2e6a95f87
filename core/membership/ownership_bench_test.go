package membership

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
)

const targetDatabaseCount = 19_000

var benchSizes = []int{250, 1000, 3000}

// BenchmarkOwnersFull measures the ranking of all databases by Owners, which a
// host would need for each change of members without Ownership.
func BenchmarkOwnersFull(b *testing.B) {
	databases := targetDatabases(targetDatabaseCount)
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			members := targetHosts(n)
			for i := range b.N {
				// One database per round; the metric is scaled to all.
				d := databases[i%len(databases)]
				Owners(d.Name, d.Region, members)
			}
			perDatabase := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
			b.ReportMetric(perDatabase*targetDatabaseCount/1e6, "ms/change")
		})
	}
}

// BenchmarkOwnershipChange measures one host that leaves and comes back, with
// the publication of the assignment after each, for 19,000 databases.
func BenchmarkOwnershipChange(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			members := targetHosts(n)
			o := NewOwnership()
			before := heap()
			o.SetDatabases(targetDatabases(targetDatabaseCount))
			o.SetMembers(members)
			o.Assignment()
			used := heap() - before
			o.ranked, o.scored = 0, 0
			b.ResetTimer()
			for i := range b.N {
				at := i * 7 % n
				o.SetMembers(slices.Delete(slices.Clone(members), at, at+1))
				o.Assignment()
				o.SetMembers(members)
				o.Assignment()
			}
			changes := 2 * float64(b.N)
			b.ReportMetric(float64(b.Elapsed().Microseconds())/changes/1e3, "ms/change")
			b.ReportMetric(float64(o.ranked)/changes, "ranked/change")
			b.ReportMetric(float64(used)/1e6, "MB")
		})
	}
}

// BenchmarkOwnershipZoneLoss measures the loss and return of one of twelve
// availability zones, and the first computation.
func BenchmarkOwnershipZoneLoss(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			members := targetHosts(n)
			lost := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Zone == "region-1-1" })
			o := NewOwnership()
			o.SetDatabases(targetDatabases(targetDatabaseCount))
			o.SetMembers(members)
			o.ranked = 0
			b.ResetTimer()
			for range b.N {
				o.SetMembers(lost)
				o.SetMembers(members)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(2*b.N)/1e3, "ms/change")
			b.ReportMetric(float64(o.ranked)/float64(2*b.N), "ranked/change")
		})
	}
}

// BenchmarkOwnershipRegionLoss measures the loss and return of contact with
// the three other regions.
func BenchmarkOwnershipRegionLoss(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			members := targetHosts(n)
			near := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Region != "region-1" })
			o := NewOwnership()
			o.SetDatabases(targetDatabases(targetDatabaseCount))
			o.SetMembers(members)
			b.ResetTimer()
			for range b.N {
				o.SetMembers(near)
				o.SetMembers(members)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(2*b.N)/1e3, "ms/change")
		})
	}
}

// heap returns the bytes in use after a collection.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
