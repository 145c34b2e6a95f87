package session

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	process "os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"
)

// callerEnvironment names the environment variable that makes the test binary open
// caller connections instead of running tests, so that neither their file descriptors
// nor their memory belong to the measured process. Its value is
// "ADDRESS COUNT ROUNDS".
const callerEnvironment = "GYPSUMGAP_BENCH_CALLERS"

func init() {
	if job := os.Getenv(callerEnvironment); job != "" {
		if err := runCallers(job); err != nil {
			fmt.Println("error:", err)
			os.Exit(1)
		}
		os.Exit(0)
	}
}

// runCallers opens connections, runs rounds of one statement on each of them and keeps
// them open until standard input is closed.
func runCallers(job string) error {
	fields := strings.Fields(job)
	count, err := strconv.Atoi(fields[1])
	if err != nil {
		return err
	}
	rounds, err := strconv.Atoi(fields[2])
	if err != nil {
		return err
	}
	conns := make([]net.Conn, count)
	for i := range conns {
		if conns[i], err = callerConn(fields[0]); err != nil {
			return err
		}
	}
	fmt.Println("open")
	var wg sync.WaitGroup
	errs := make(chan error, count)
	for _, nc := range conns {
		wg.Go(func() { errs <- runRounds(nc, rounds) })
		if rounds <= 1 {
			wg.Wait()
		}
	}
	wg.Wait()
	for range conns {
		if err := <-errs; err != nil {
			return err
		}
	}
	fmt.Println("done")
	_, err = io.Copy(io.Discard, os.Stdin)
	// Garbage collection would close the connections and end their sessions.
	runtime.KeepAlive(conns)
	return err
}

func callerConn(address string) (net.Conn, error) {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	start, err := startupMessage().Encode(nil)
	if err != nil {
		return nil, err
	}
	if _, err := nc.Write(start); err != nil {
		return nil, err
	}
	c := &benchCaller{nc: nc, fe: pgproto3.NewFrontend(nc, nc)}
	return nc, c.untilReady()
}

func runRounds(nc net.Conn, rounds int) error {
	query, err := (&pgproto3.Query{String: "SELECT 1"}).Encode(nil)
	if err != nil {
		return err
	}
	c := &benchCaller{nc: nc, fe: pgproto3.NewFrontend(nc, nc), query: query}
	for range rounds {
		if err := c.run(); err != nil {
			return err
		}
	}
	return nil
}

// callerProcess is a process that runs runCallers.
type callerProcess struct {
	cmd   *process.Cmd
	stdin io.Closer
	out   *bufio.Reader
}

func startCallers(b *testing.B, address string, count, rounds int) *callerProcess {
	cmd := process.Command(os.Args[0])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%s %d %d", callerEnvironment, address, count, rounds))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		b.Fatal(err)
	}
	return &callerProcess{cmd: cmd, stdin: in, out: bufio.NewReader(out)}
}

func (c *callerProcess) expect(b *testing.B, word string) {
	line, err := c.out.ReadString('\n')
	if err != nil || strings.TrimSpace(line) != word {
		b.Fatalf("callers: %q, %v; want %q", line, err, word)
	}
}

func (c *callerProcess) stop() {
	c.stdin.Close()
	_ = c.cmd.Wait()
}

// BenchmarkIdleCallerMemory measures the memory of the proxy for a caller that has run
// one statement and is idle, without the caller's end. Kernel buffers are not counted.
func BenchmarkIdleCallerMemory(b *testing.B) {
	for _, count := range []int{1000, 4000, 16000} {
		b.Run(fmt.Sprintf("callers=%d", count), func(b *testing.B) {
			_, proxied, s := startBenchProxy(b, map[string][]byte{"SELECT 1": benchAnswer(b, 1)})
			for range b.N {
				before, resident := heapAndStackBytes(), residentBytes(b)
				c := startCallers(b, proxied, count, 1)
				c.expect(b, "open")
				c.expect(b, "done")
				time.Sleep(2 * bufferRetention)
				used := heapAndStackBytes() - before
				if n := s.Sessions(); n != count {
					b.Fatalf("%d sessions, want %d", n, count)
				}
				b.ReportMetric(float64(used)/float64(count), "heap+stack-B/caller")
				b.ReportMetric(float64(residentBytes(b)-resident)/float64(count), "resident-B/caller")
				c.stop()
				for s.Sessions() > 0 {
					time.Sleep(time.Millisecond)
				}
			}
		})
	}
}

// residentBytes returns the resident memory of the process.
func residentBytes(b *testing.B) int64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		b.Skip("no /proc/self/statm")
	}
	pages, err := strconv.ParseInt(strings.Fields(string(data))[1], 10, 64)
	if err != nil {
		b.Fatal(err)
	}
	return pages * int64(os.Getpagesize())
}

// statementPath is a path of statements from callers to a backend.
type statementPath struct {
	name    string
	address string
}

// statementPaths starts a backend, an owner in front of it, and an entry host in front
// of the owner, and returns the paths to each of them. The routers are fakes that use
// any idle connection, so that only sessions and connections are measured.
func statementPaths(b *testing.B) []statementPath {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	direct := startBenchBackend(b, map[string][]byte{"SELECT 1": benchAnswer(b, 1)})
	inner := newFakeRouter(b, nil)
	inner.backends, inner.discardLog = []string{direct}, true
	_, forwarded := startServer(b, nil, Options{Router: inner, AcceptForwards: true, Log: quiet})
	_, owner := startServer(b, nil, Options{Router: inner, Log: quiet})
	outer := newFakeRouter(b, nil)
	outer.backends, outer.discardLog, outer.forwarded = []string{forwarded}, true, true
	_, entry := startServer(b, nil, Options{Router: outer, Log: quiet})
	return []statementPath{{"backend", direct}, {"owner", owner}, {"entry+owner", entry}}
}

// BenchmarkStatementCost measures the CPU time of a one-row statement for a number of
// callers, which run in another process. The cost of a host is the difference between
// two paths.
func BenchmarkStatementCost(b *testing.B) {
	for _, path := range statementPaths(b) {
		for _, count := range []int{4, 16, 64} {
			b.Run(fmt.Sprintf("%s/callers=%d", path.name, count), func(b *testing.B) {
				rounds := max(b.N/count, 1)
				c := startCallers(b, path.address, count, rounds)
				defer c.stop()
				c.expect(b, "open")
				start := cpuTime()
				c.expect(b, "done")
				b.ReportMetric(float64((cpuTime()-start).Nanoseconds())/1e3/float64(rounds*count), "cpu-us/statement")
			})
		}
	}
}
