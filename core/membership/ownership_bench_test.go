package membership

import (
	"fmt"
	"runtime"
	"slices"
	"testing"
)

const benchDatabaseCount = 19_000

var benchFleetSizes = []int{250, 1000, 3000}

// BenchmarkOwnersFull measures the time to rank all databases with Owners, which
// a host without Ownership would spend on each membership change.
func BenchmarkOwnersFull(b *testing.B) {
	databases := generateDatabases(benchDatabaseCount)
	for _, n := range benchFleetSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			members := generateHosts(n)
			for i := range b.N {
				// Each iteration ranks one database; the metric is scaled to all.
				d := databases[i%len(databases)]
				Owners(d.Name, d.Region, members)
			}
			perDatabase := float64(b.Elapsed().Nanoseconds()) / float64(b.N)
			b.ReportMetric(perDatabase*benchDatabaseCount/1e6, "ms/change")
		})
	}
}

// BenchmarkOwnershipChange measures the removal and return of one host, each with
// the publication of a new assignment, for 19,000 databases.
func BenchmarkOwnershipChange(b *testing.B) {
	for _, n := range benchFleetSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			members := generateHosts(n)
			o := NewOwnership()
			before := heapInUse()
			o.SetDatabases(generateDatabases(benchDatabaseCount))
			o.SetMembers(members)
			o.Assignment()
			used := heapInUse() - before
			o.rankCount, o.scoreCount = 0, 0
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
			b.ReportMetric(float64(o.rankCount)/changes, "ranked/change")
			b.ReportMetric(float64(used)/1e6, "MB")
		})
	}
}

// BenchmarkOwnershipZoneLoss measures the loss and return of one of twelve
// availability zones.
func BenchmarkOwnershipZoneLoss(b *testing.B) {
	for _, n := range benchFleetSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			members := generateHosts(n)
			lost := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Zone == "region-1-1" })
			o := NewOwnership()
			o.SetDatabases(generateDatabases(benchDatabaseCount))
			o.SetMembers(members)
			o.rankCount = 0
			b.ResetTimer()
			for range b.N {
				o.SetMembers(lost)
				o.SetMembers(members)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(2*b.N)/1e3, "ms/change")
			b.ReportMetric(float64(o.rankCount)/float64(2*b.N), "ranked/change")
		})
	}
}

// BenchmarkOwnershipRegionLoss measures the loss and return of the three other
// regions, as in a partition between regions.
func BenchmarkOwnershipRegionLoss(b *testing.B) {
	for _, n := range benchFleetSizes {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			members := generateHosts(n)
			near := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Region != "region-1" })
			o := NewOwnership()
			o.SetDatabases(generateDatabases(benchDatabaseCount))
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

// heapInUse returns the bytes of live heap objects after a garbage collection.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
