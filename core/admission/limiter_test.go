package admission

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against waiting requests that are not woken by a release or by the
// timer of the gradual release, and against connections lost to requests whose
// context ended.
func TestLimiterWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limit := 8
		l := NewLimiter(func() int { return limit })
		l.Pause()
		many := &Class{Name: "many", QueueLimit: 100, MayUseReserve: true}
		var wg sync.WaitGroup
		var mu sync.Mutex
		admitted := 0
		for i := range 40 {
			wg.Go(func() {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if i%4 == 0 {
					time.AfterFunc(time.Second, cancel)
				}
				ticket := &Ticket{Class: many, Deadline: time.Now().Add(time.Minute)}
				if err := l.Acquire(ctx, ticket); err != nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
				mu.Lock()
				admitted++
				mu.Unlock()
				l.Release(ticket)
			})
		}
		time.Sleep(2 * time.Second)
		l.Resume()
		wg.Wait()
		if admitted != 30 {
			t.Errorf("got %d requests admitted, want the 30 that were not canceled", admitted)
		}
		if inUse, waiting := l.Load(); inUse != 0 || waiting != 0 {
			t.Errorf("got %d in use and %d waiting at the end, want none", inUse, waiting)
		}
	})
}

// Guards against requests that keep waiting after the limit was raised.
func TestLimiterWakesAtRaisedLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limit atomic.Int64
		limit.Store(1)
		l := NewLimiter(func() int { return int(limit.Load()) })
		class := &Class{Name: "many", QueueLimit: 100, MayUseReserve: true}
		tickets := make([]*Ticket, 4)
		var waiters sync.WaitGroup
		for i := range tickets {
			tickets[i] = &Ticket{Class: class, Deadline: time.Now().Add(time.Hour)}
			waiters.Go(func() {
				if err := l.Acquire(t.Context(), tickets[i]); err != nil {
					t.Error(err)
				}
			})
		}
		synctest.Wait()
		if inUse, waiting := l.Load(); inUse != 1 || waiting != 3 {
			t.Errorf("with a limit of 1: got %d in use and %d waiting, want 1 and 3", inUse, waiting)
		}
		limit.Store(4)
		l.Refresh()
		waiters.Wait()
		if inUse, waiting := l.Load(); inUse != 4 || waiting != 0 {
			t.Errorf("with a limit of 4: got %d in use and %d waiting, want 4 and 0", inUse, waiting)
		}
		for _, ticket := range tickets {
			l.Release(ticket)
		}
	})
}

// Guards against requests that wait forever on a closed limiter.
func TestLimiterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLimiter(func() int { return 0 })
		go func() {
			time.Sleep(time.Second)
			l.Close()
		}()
		ticket := &Ticket{Class: pay, Deadline: time.Now().Add(time.Hour)}
		var refused *RefusedError
		if err := l.Acquire(t.Context(), ticket); !errors.As(err, &refused) || refused.Reason != Closed {
			t.Errorf("Acquire on a closed limiter: got %v, want reason Closed", err)
		}
		if l.TryAcquire(&Ticket{Class: pay, Deadline: time.Now().Add(time.Hour)}) {
			t.Error("a closed limiter admitted a request")
		}
	})
}

// BenchmarkLimiter measures Acquire and Release without contention.
func BenchmarkLimiter(b *testing.B) {
	l := NewLimiter(func() int { return 10 })
	t := &Ticket{Class: pay, Deadline: time.Now().Add(time.Hour)}
	b.ReportAllocs()
	for b.Loop() {
		if err := l.Acquire(b.Context(), t); err != nil {
			b.Fatal(err)
		}
		l.Release(t)
	}
}
