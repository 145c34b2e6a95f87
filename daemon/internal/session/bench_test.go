package session

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"
)

// startBenchBackend starts a backend that answers each simple query with encoded
// bytes, so that its own cost is small and constant.
func startBenchBackend(b testing.TB, answers map[string][]byte) string {
	ln := (*pipeNetwork)(nil).listen(b)
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			wg.Go(func() {
				defer nc.Close()
				serveBench(nc, answers)
			})
		}
	})
	b.Cleanup(func() {
		ln.Close()
		wg.Wait()
	})
	return ln.Addr().String()
}

func serveBench(nc net.Conn, answers map[string][]byte) {
	be := pgproto3.NewBackend(nc, nc)
	if _, err := be.ReceiveStartupMessage(); err != nil {
		return
	}
	be.Send(&pgproto3.AuthenticationOk{})
	be.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	be.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if be.Flush() != nil {
		return
	}
	for {
		m, err := be.Receive()
		if err != nil {
			return
		}
		q, ok := m.(*pgproto3.Query)
		if !ok {
			continue
		}
		if _, err := nc.Write(answers[q.String]); err != nil {
			return
		}
	}
}

// benchAnswer returns an encoded answer with rows of 32 bytes.
func benchAnswer(b testing.TB, rows int) []byte {
	messages := []encoder{oneColumn}
	row := &pgproto3.DataRow{Values: [][]byte{[]byte(strings.Repeat("v", 32))}}
	for range rows {
		messages = append(messages, row)
	}
	tag := &pgproto3.CommandComplete{CommandTag: fmt.Appendf(nil, "SELECT %d", rows)}
	return encode(b, append(messages, tag, &pgproto3.ReadyForQuery{TxStatus: 'I'})...)
}

// benchCaller is a caller that does not allocate while it runs statements.
type benchCaller struct {
	nc    net.Conn
	fe    *pgproto3.Frontend
	query []byte
}

func newBenchCaller(b testing.TB, address, sql string) *benchCaller {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		b.Fatal(err)
	}
	c := &benchCaller{nc: nc, fe: pgproto3.NewFrontend(nc, nc), query: encode(b, &pgproto3.Query{String: sql})}
	if _, err := nc.Write(encode(b, startupMessage())); err != nil {
		b.Fatal(err)
	}
	if err := c.untilReady(); err != nil {
		b.Fatal(err)
	}
	return c
}

func (c *benchCaller) untilReady() error {
	for {
		m, err := c.fe.Receive()
		if err != nil {
			return err
		}
		if _, ok := m.(*pgproto3.ReadyForQuery); ok {
			return nil
		}
	}
}

func (c *benchCaller) run() error {
	if _, err := c.nc.Write(c.query); err != nil {
		return err
	}
	return c.untilReady()
}

// startBenchProxy starts a backend and a session server in front of it.
func startBenchProxy(b testing.TB, answers map[string][]byte) (direct, proxied string, s *Server) {
	direct = startBenchBackend(b, answers)
	r := newFakeRouter(b, nil)
	r.backends = []string{direct}
	r.discardLog = true
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	s, proxied = startServer(b, nil, Options{Router: r, Log: quiet})
	return direct, proxied, s
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkOneRow measures a one-row read, directly on the backend and through one
// session. The latency that a session adds is the difference of the medians or of the
// 99th percentiles.
func BenchmarkOneRow(b *testing.B) {
	direct, proxied, _ := startBenchProxy(b, map[string][]byte{"SELECT 1": benchAnswer(b, 1)})
	for _, path := range []struct{ name, address string }{{"direct", direct}, {"session", proxied}} {
		b.Run(path.name, func(b *testing.B) {
			c := newBenchCaller(b, path.address, "SELECT 1")
			defer c.nc.Close()
			times := make([]time.Duration, 0, b.N)
			b.ReportAllocs()
			cpu := cpuTime()
			b.ResetTimer()
			for range b.N {
				start := time.Now()
				if err := c.run(); err != nil {
					b.Fatal(err)
				}
				times = append(times, time.Since(start))
			}
			b.StopTimer()
			slices.Sort(times)
			b.ReportMetric(float64((cpuTime()-cpu).Nanoseconds())/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(times[len(times)/2].Nanoseconds())/1e3, "p50-µs")
			b.ReportMetric(float64(times[len(times)*99/100].Nanoseconds())/1e3, "p99-µs")
		})
	}
}

// BenchmarkForwarded measures a one-row read through an entry host and an owner.
func BenchmarkForwarded(b *testing.B) {
	direct := startBenchBackend(b, map[string][]byte{"SELECT 1": benchAnswer(b, 1)})
	r := newFakeRouter(b, nil)
	r.backends = []string{direct}
	r.discardLog = true
	_, owner := startServer(b, nil, Options{Router: r, AcceptForwards: true})
	entry := newFakeRouter(b, nil)
	entry.backends = []string{owner}
	entry.forwarded = true
	entry.discardLog = true
	_, address := startServer(b, nil, Options{Router: entry})
	c := newBenchCaller(b, address, "SELECT 1")
	defer c.nc.Close()
	b.ReportAllocs()
	for b.Loop() {
		if err := c.run(); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkThroughput measures one-row reads of 64 callers. Callers and backend run in
// the same process, so the CPU time of the session is the difference between the
// paths.
func BenchmarkThroughput(b *testing.B) {
	const callers = 64
	direct, proxied, _ := startBenchProxy(b, map[string][]byte{"SELECT 1": benchAnswer(b, 1)})
	for _, path := range []struct{ name, address string }{{"direct", direct}, {"session", proxied}} {
		b.Run(path.name, func(b *testing.B) {
			list := make([]*benchCaller, callers)
			for i := range list {
				list[i] = newBenchCaller(b, path.address, "SELECT 1")
				defer list[i].nc.Close()
			}
			cpu := cpuTime()
			b.ResetTimer()
			var wg sync.WaitGroup
			for i, c := range list {
				n := b.N / callers
				if i < b.N%callers {
					n++
				}
				wg.Go(func() {
					for range n {
						if err := c.run(); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "statements/s")
			b.ReportMetric(float64((cpuTime()-cpu).Nanoseconds())/float64(b.N), "cpu-ns/op")
		})
	}
}

// BenchmarkIdleCallers measures the memory of an idle caller connection, including the
// caller's end.
func BenchmarkIdleCallers(b *testing.B) {
	const callers = 2000
	_, proxied, s := startBenchProxy(b, map[string][]byte{"SELECT 1": benchAnswer(b, 1)})
	for b.Loop() {
		before := heapAndStackBytes()
		list := make([]net.Conn, callers)
		query := encode(b, &pgproto3.Query{String: "SELECT 1"})
		start := encode(b, startupMessage())
		buf := make([]byte, 4096)
		for i := range list {
			nc, err := net.Dial("tcp", proxied)
			if err != nil {
				b.Fatal(err)
			}
			list[i] = nc
			for _, m := range [][]byte{start, query} {
				if _, err := nc.Write(m); err != nil {
					b.Fatal(err)
				}
				if _, err := io.ReadAtLeast(nc, buf, 1); err != nil {
					b.Fatal(err)
				}
			}
		}
		time.Sleep(2 * bufferRetention)
		b.ReportMetric(float64(heapAndStackBytes()-before)/callers, "B/caller")
		if n := s.Sessions(); n < callers {
			b.Fatalf("%d sessions are open, want one for each caller", n)
		}
		for _, nc := range list {
			nc.Close()
		}
	}
}

// heapAndStackBytes returns the heap and stack memory in use after a collection.
func heapAndStackBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkAnswer measures the allocations for answers of 1, 100 and 10000 rows.
func BenchmarkAnswer(b *testing.B) {
	answers := map[string][]byte{}
	sizes := []int{1, 100, 10000}
	for _, n := range sizes {
		answers[fmt.Sprint("SELECT ", n)] = benchAnswer(b, n)
	}
	_, proxied, _ := startBenchProxy(b, answers)
	for _, n := range sizes {
		b.Run(fmt.Sprint(n, "rows"), func(b *testing.B) {
			c := newBenchCaller(b, proxied, fmt.Sprint("SELECT ", n))
			defer c.nc.Close()
			b.SetBytes(int64(len(answers[fmt.Sprint("SELECT ", n)])))
			b.ReportAllocs()
			for b.Loop() {
				if err := c.run(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// Guards against allocations per row when an answer is forwarded to the caller.
func TestAllocationsDoNotGrowWithTheAnswer(t *testing.T) {
	answers := map[string][]byte{"SELECT 100": benchAnswer(t, 100), "SELECT 10000": benchAnswer(t, 10000)}
	_, proxied, _ := startBenchProxy(t, answers)
	perRun := func(sql string) float64 {
		c := newBenchCaller(t, proxied, sql)
		defer c.nc.Close()
		return testing.AllocsPerRun(20, func() {
			if err := c.run(); err != nil {
				t.Error(err)
			}
		})
	}
	small, large := perRun("SELECT 100"), perRun("SELECT 10000")
	// 9900 further rows must cost no more than one allocation per hundred rows.
	if large > small+99 {
		t.Fatalf("%v allocations for 100 rows, %v for 10000", small, large)
	}
}
