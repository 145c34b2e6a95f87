package route

import (
	"context"
	"testing"
	"time"
)

func instantDial(context.Context, Target) (Conn, error) { return idleConn{}, nil }

type idleConn struct{}

func (idleConn) Ping(context.Context) error { return nil }
func (idleConn) Close() error               { return nil }

func benchmarkTx(b *testing.B, r Router, q Request) {
	b.Helper()
	b.ReportAllocs()
	for b.Loop() {
		tx, err := r.Begin(b.Context(), q)
		if err != nil {
			b.Fatal(err)
		}
		tx.Release(true)
	}
}

func benchmarkOwner() *OwnerRouter {
	return NewOwnerRouter(OwnerConfig{
		Database:  "d",
		Policy:    NewPolicy(testService()),
		Monitor:   newFakeMonitor(),
		Dial:      instantDial,
		PeerLimit: limitOf(16),
	})
}

// BenchmarkOwnerWrite measures Begin and Release on the primary's host,
// without contention.
func BenchmarkOwnerWrite(b *testing.B) {
	o := benchmarkOwner()
	defer o.Close()
	benchmarkTx(b, o, Request{Database: "d", User: "u", Class: "pay", Token: "d/3:90", Arrived: time.Now().Add(time.Hour)})
}

// BenchmarkOwnerReplicaRead measures Begin and Release of a read with a session
// token.
func BenchmarkOwnerReplicaRead(b *testing.B) {
	o := benchmarkOwner()
	defer o.Close()
	benchmarkTx(b, o, Request{Database: "d", User: "u", Class: "stock", Token: "d/3:90", Arrived: time.Now().Add(time.Hour)})
}

// BenchmarkOwnerWriteParallel measures concurrent writes on one database.
func BenchmarkOwnerWriteParallel(b *testing.B) {
	o := benchmarkOwner()
	defer o.Close()
	q := Request{Database: "d", User: "u", Class: "pay", Token: "d/3:90", Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			tx, err := o.Begin(context.Background(), q)
			if err != nil {
				b.Error(err)
				return
			}
			tx.Release(true)
		}
	})
}

// BenchmarkForward measures Begin and Release of a forwarded request on an entry
// host.
func BenchmarkForward(b *testing.B) {
	policy := NewPolicy(testService())
	e := NewEntryRouter(EntryConfig{
		Owners: fakeOwners{"d": {hostOf("h1"), hostOf("h2")}},
		Policy: func(string) *Policy { return policy },
		Dial:   instantDial,
	})
	defer e.Close()
	benchmarkTx(b, e, Request{Database: "d", User: "u", Class: "pay", Deadline: time.Now().Add(time.Hour)})
}
