package route

import (
	"context"
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/replication"
)

// fakeMonitor is a replication.Monitor whose state is set by the test.
type fakeMonitor struct {
	mu             sync.Mutex
	changed        chan struct{}
	primary        group.Slot
	term           group.Term
	known          bool
	position       group.Position // of the primary; everything up to it is durable
	stalled        bool           // commits do not become durable
	barrier        group.Position
	barrierBlocked bool // read barriers do not complete
	replicas       []fakeReplica
	barriers       int
	answers        map[group.SlotID]int
	failures       map[group.SlotID]int
}

type fakeReplica struct {
	slot    group.Slot
	applied group.Position
	age     time.Duration
}

func slotOf(id string) group.Slot {
	return group.Slot{ID: group.SlotID(id), Address: id + ":5432"}
}

// newFakeMonitor has primary p in term 3 at offset 100, and replica r at 90.
func newFakeMonitor() *fakeMonitor {
	return &fakeMonitor{
		changed:  make(chan struct{}),
		primary:  slotOf("p"),
		term:     3,
		known:    true,
		position: group.Position{Term: 3, Offset: 100},
		barrier:  group.Position{Term: 3, Offset: 100},
		replicas: []fakeReplica{{slot: slotOf("r"), applied: group.Position{Term: 3, Offset: 90}, age: time.Second}},
		answers:  map[group.SlotID]int{},
		failures: map[group.SlotID]int{},
	}
}

// set changes the state and wakes all waiting calls.
func (g *fakeMonitor) set(f func(g *fakeMonitor)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g)
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *fakeMonitor) promote(id string, term group.Term) {
	g.set(func(g *fakeMonitor) {
		g.primary, g.term, g.known = slotOf(id), term, true
		g.position = group.Position{Term: term, Offset: g.position.Offset + 1}
		g.barrier = g.position
	})
}

// wait calls f with the lock held after each change of state, until f reports
// that it is done.
func (g *fakeMonitor) wait(ctx context.Context, f func() (bool, error)) error {
	for {
		g.mu.Lock()
		done, err := f()
		changed := g.changed
		g.mu.Unlock()
		if done {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (g *fakeMonitor) Primary() (group.Slot, group.Term, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary, g.term, g.known
}

func (g *fakeMonitor) WaitPrimary(ctx context.Context) (slot group.Slot, term group.Term, err error) {
	err = g.wait(ctx, func() (bool, error) {
		slot, term = g.primary, g.term
		return g.known, nil
	})
	return slot, term, err
}

func (g *fakeMonitor) WaitDurable(ctx context.Context, t group.Term) (p group.Position, err error) {
	err = g.wait(ctx, func() (bool, error) {
		if g.term != t {
			return true, replication.ErrTermChanged
		}
		p = g.position
		return !g.stalled, nil
	})
	return p, err
}

func (g *fakeMonitor) Barrier(ctx context.Context) (p group.Position, err error) {
	err = g.wait(ctx, func() (bool, error) {
		p = g.barrier
		return !g.barrierBlocked, nil
	})
	g.mu.Lock()
	g.barriers++
	g.mu.Unlock()
	return p, err
}

func (g *fakeMonitor) pick(need group.Position, maxAge time.Duration) (group.Slot, bool) {
	for _, r := range g.replicas {
		if r.applied.Covers(need) && (maxAge == 0 || r.age <= maxAge) {
			return r.slot, true
		}
	}
	return group.Slot{}, false
}

func (g *fakeMonitor) PickReplica(need group.Position, maxAge time.Duration) (group.Slot, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pick(need, maxAge)
}

func (g *fakeMonitor) WaitReplica(ctx context.Context, need group.Position, maxAge time.Duration) (slot group.Slot, err error) {
	err = g.wait(ctx, func() (ok bool, err error) {
		slot, ok = g.pick(need, maxAge)
		return ok, nil
	})
	return slot, err
}

func (g *fakeMonitor) ReportAnswer(slot group.SlotID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answers[slot]++
}

func (g *fakeMonitor) ReportFailure(slot group.SlotID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures[slot]++
}

// testService has two write classes and two read classes. Class pay has the
// highest priority.
func testService() *config.Service {
	return &config.Service{
		Name:          "s",
		CommitTimeout: config.Duration(5 * time.Second),
		ReplicaWait:   config.Duration(20 * time.Millisecond),
		Classes: []config.Class{
			{Name: "pay", Priority: 0, Deadline: config.Duration(time.Second), QueueLimit: 50},
			{Name: "book", Priority: 1, Deadline: config.Duration(time.Second), Repeatable: true, QueueLimit: 50},
			{Name: "stock", Priority: 2, Deadline: config.Duration(time.Second), Read: true, QueueLimit: 50},
			{Name: "report", Priority: 2, Deadline: config.Duration(time.Second), Read: true, MaxAge: config.Duration(10 * time.Second), QueueLimit: 50},
		},
	}
}
