package dbgroup_test

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/group/pgcontrol"
	"github.com/gypsumgap/gypsumgap/standin/dbgroup"
)

// byteCountingProxy forwards connections to a target and counts the bytes in both directions.
type byteCountingProxy struct {
	ln      net.Listener
	target  string
	in, out atomic.Int64
	wg      sync.WaitGroup
}

func newByteCountingProxy(b *testing.B, target string) *byteCountingProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	r := &byteCountingProxy{ln: ln, target: target}
	r.wg.Go(func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			r.wg.Go(func() { r.pass(nc) })
		}
	})
	b.Cleanup(func() {
		ln.Close()
		r.wg.Wait()
	})
	return r
}

func (r *byteCountingProxy) pass(nc net.Conn) {
	defer nc.Close()
	up, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer up.Close()
	r.wg.Go(func() {
		_, _ = io.Copy(countingWriter{nc, &r.out}, up)
		nc.Close()
	})
	_, _ = io.Copy(countingWriter{up, &r.in}, nc)
}

// countingWriter counts the bytes that are written.
type countingWriter struct {
	io.Writer
	n *atomic.Int64
}

func (w countingWriter) Write(p []byte) (int, error) {
	n, err := w.Writer.Write(p)
	w.n.Add(int64(n))
	return n, err
}

// BenchmarkStatusRequest measures the size of a status request and its response on
// an established connection, and the CPU time of both ends.
func BenchmarkStatusRequest(b *testing.B) {
	g := startGroup(b, func(o *dbgroup.Options) { o.Size = 1 })
	slot := g.Slot(0)
	ask := func(b *testing.B, address string) func() {
		client := pgcontrol.New(pgcontrol.Options{ApplicationName: "gypsumgap/entry-00001"})
		b.Cleanup(client.Close)
		return func() {
			if _, err := client.Status(background, group.Slot{ID: "a/0", Address: address}); err != nil {
				b.Fatal(err)
			}
		}
	}
	b.Run("bytes", func(b *testing.B) {
		r := newByteCountingProxy(b, slot.Address())
		request := ask(b, r.ln.Addr().String())
		request()
		in, out := r.in.Load(), r.out.Load()
		b.ReportMetric(float64(in+out), "connect-B")
		for range b.N {
			request()
		}
		b.ReportMetric(float64(r.in.Load()-in)/float64(b.N), "request-B")
		b.ReportMetric(float64(r.out.Load()-out)/float64(b.N), "answer-B")
	})
	b.Run("cpu", func(b *testing.B) {
		request := ask(b, slot.Address())
		request()
		start := processTime()
		b.ResetTimer()
		for range b.N {
			request()
		}
		b.ReportMetric(float64((processTime()-start).Microseconds())/float64(b.N), "cpu-us/request")
	})
}

// processTime returns the CPU time that the process has used.
func processTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
