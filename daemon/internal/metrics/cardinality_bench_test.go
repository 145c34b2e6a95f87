package metrics

import (
	"bytes"
	"fmt"
	"net/http/httptest"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
)

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func processTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// recordTransactions records one transaction for each of n pairs of service and
// class.
func recordTransactions(m *Metrics, n int) {
	for i := range n {
		l := route.Labels{Service: fmt.Sprintf("service-%d", i/4), Class: fmt.Sprintf("class-%d", i%4)}
		m.Began(l, route.PathForward, time.Millisecond)
		m.Finished(l, time.Millisecond)
	}
}

func scrape(m *Metrics) []byte {
	w := httptest.NewRecorder()
	m.Handler(func() error { return nil }).ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.Bytes()
}

// BenchmarkCardinality measures the cost of the metrics for a number of pairs of
// service and class: memory, series, the size and CPU time of a scrape, and the
// CPU time per second while nothing is recorded.
func BenchmarkCardinality(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		b.Run(fmt.Sprintf("labels=%d", n), func(b *testing.B) {
			for range b.N {
				before := heap()
				m := New("entry-00001", "randstad-a")
				recordTransactions(m, n)
				time.Sleep(2 * reportInterval)
				b.ReportMetric(float64(heap()-before)/float64(n), "B/label")
				start := processTime()
				time.Sleep(2 * reportInterval)
				b.ReportMetric(float64((processTime()-start).Microseconds())/1e3/2, "idle-cpu-ms/s")
				start = processTime()
				page := scrape(m)
				b.ReportMetric(float64((processTime()-start).Microseconds())/1e3, "cpu-ms/scrape")
				b.ReportMetric(float64(len(page))/float64(n), "scrape-B/label")
				b.ReportMetric(float64(bytes.Count(page, []byte("gypsumgap_"))-bytes.Count(page, []byte("# ")))/float64(n), "series/label")
				_ = m.Close()
			}
		})
	}
}
