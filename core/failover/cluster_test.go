package failover_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/failover"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/group/grouptest"
	"github.com/gypsumgap/gypsumgap/core/replication"
)

const (
	commitTimeout = 5 * time.Second
	// hostStartOffset is the time between the starts of two hosts. Without it their
	// timers fire at the same instant, in an order that differs from run to run.
	hostStartOffset = 7193117 * time.Nanosecond
	// statementTimeout is after how long a host reports a statement as unanswered.
	statementTimeout = 250 * time.Millisecond
)

// layout describes the group and the hosts of a test.
type layout struct {
	slots  int
	zones  []string
	region func(zone string) string
	// zoneLatency is the one-way latency between zones of a region, regionLatency
	// that between regions.
	zoneLatency, regionLatency time.Duration
	owners                     int
	seed                       uint64
	// manualFailover keeps the drivers inactive; the test changes the primary itself.
	manualFailover bool
}

func (l layout) latency(from, to string) time.Duration {
	switch {
	case from == to:
		return 50 * time.Microsecond
	case l.region != nil && l.region(from) != l.region(to):
		return l.regionLatency
	default:
		return l.zoneLatency
	}
}

// cluster is a fake group with several owner hosts, each of which runs a tracker
// and a driver.
type cluster struct {
	*grouptest.Group
	layout layout
	slots  []group.Slot
	owners []*owner
	stop   func()

	mu      sync.Mutex
	acked   []ack
	failed  []error
	records []failover.Record
}

// ack is an acknowledged write.
type ack struct {
	value string
	term  group.Term
	// position is that of the write's record, and durable the position up to which
	// the tracker reported the log as durable.
	position, durable group.Position
	at                time.Time
}

// owner is a host that owns the database, with its tracker and driver.
type owner struct {
	c      *cluster
	host   grouptest.Host
	runner *replication.Runner
	driver *failover.Driver
	gate   gate
}

// gate holds transactions during a switchover.
type gate struct {
	mu      sync.Mutex
	held    bool
	running int
	changed chan struct{}
}

func (g *gate) notify() {
	if g.changed != nil {
		close(g.changed)
	}
	g.changed = make(chan struct{})
}

// enter waits until transactions may start, and counts one as running.
func (g *gate) enter(ctx context.Context) error {
	return g.waitUntil(ctx, func() bool {
		if g.held {
			return false
		}
		g.running++
		return true
	})
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.notify()
}

func (g *gate) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held = true
	g.notify()
}

func (g *gate) drain(ctx context.Context) {
	_ = g.waitUntil(ctx, func() bool { return g.running == 0 })
}

func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held = false
	g.notify()
}

// waitUntil waits until ok returns true, which it calls with mu held.
func (g *gate) waitUntil(ctx context.Context, ok func() bool) error {
	for {
		g.mu.Lock()
		if ok() {
			g.mu.Unlock()
			return nil
		}
		if g.changed == nil {
			g.changed = make(chan struct{})
		}
		changed := g.changed
		g.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// newCluster starts a bootstrapped group with its owners. It must be called in a
// synctest bubble, and its stop function must be called before the bubble ends.
func newCluster(t *testing.T, l layout) *cluster {
	t.Helper()
	c := newIdleCluster(t, l)
	c.Bootstrap(0)
	return c
}

// newIdleCluster is like newCluster, but the group has no primary yet.
func newIdleCluster(t *testing.T, l layout) *cluster {
	t.Helper()
	slots := grouptest.Slots(l.slots, l.zones...)
	if l.region != nil {
		for i := range slots {
			slots[i].Region = l.region(slots[i].Zone)
		}
	}
	c := &cluster{layout: l, slots: slots}
	c.Group = grouptest.New(grouptest.Options{Slots: slots, Latency: l.latency, ApplyDelay: 200 * time.Microsecond})
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i := range l.owners {
		c.owners = append(c.owners, c.newOwner(i))
	}
	for i, o := range c.owners {
		wg.Go(func() { _ = o.runner.Run(ctx) })
		wg.Go(func() { _ = o.driver.Run(ctx) })
		if !l.manualFailover {
			o.driver.Post(failover.OwnershipChanged{Rank: i, HasPeer: l.owners > 1})
		}
		time.Sleep(hostStartOffset)
	}
	c.stop = func() {
		cancel()
		wg.Wait()
		time.Sleep(time.Minute) // lets the timers of the fake group end
	}
	return c
}

func (c *cluster) newOwner(i int) *owner {
	o := &owner{c: c, host: grouptest.Host{Name: fmt.Sprintf("e%d", i), Zone: c.layout.zones[i%len(c.layout.zones)]}}
	o.driver = failover.NewDriver(failover.DriverOptions{
		Machine: failover.Config{Slots: c.slots, Rand: rand.New(rand.NewPCG(c.layout.seed, uint64(i)))},
		Client:  c.Client(o.host),
		Hooks: failover.Hooks{
			AskPeer:    o.askPeer,
			Hold:       o.gate.hold,
			Drain:      o.gate.drain,
			Release:    o.gate.release,
			Refresh:    func(ctx context.Context, t group.Term) error { return o.runner.Refresh(ctx, t) },
			Record:     c.record,
			LastAnswer: func(slot int) time.Time { return o.runner.LastAnswer(slot) },
		},
	})
	o.runner = replication.NewRunner(replication.Options{
		Client: c.Client(o.host), Slots: c.slots, Observe: o.driver.Observe,
	})
	return o
}

func (c *cluster) record(r failover.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records = append(c.records, r)
}

// askPeer asks the other of the first two owners over a link that can be cut.
func (o *owner) askPeer(ctx context.Context) (failover.PeerView, error) {
	other := o.c.owners[0]
	if other == o {
		other = o.c.owners[1]
	}
	lag := o.c.layout.latency(o.host.Zone, other.host.Zone)
	time.Sleep(lag)
	if o.c.IsCut(o.host.Name, other.host.Name) {
		<-ctx.Done()
		return failover.PeerView{}, ctx.Err()
	}
	v := other.driver.ProbePrimary(ctx)
	time.Sleep(lag)
	return v, nil
}

// errUnknownOutcome means that a failed write may have been executed.
var errUnknownOutcome = errors.New("outcome unknown")

// write runs one write like a caller's transaction: it waits for a primary,
// commits there and waits until the commit is durable. It returns
// errUnknownOutcome if the write may have been executed.
func (o *owner) write(ctx context.Context, value string) error {
	if err := o.gate.enter(ctx); err != nil {
		return err
	}
	defer o.gate.leave()
	s, term, err := o.runner.WaitPrimary(ctx)
	if err != nil {
		return err
	}
	at, err := o.commit(ctx, s.ID, value)
	if err != nil {
		return err
	}
	p, err := o.runner.WaitDurable(ctx, term)
	if err != nil {
		return fmt.Errorf("%w: %w", errUnknownOutcome, err)
	}
	o.c.mu.Lock()
	defer o.c.mu.Unlock()
	o.c.acked = append(o.c.acked, ack{value: value, term: term, position: at, durable: p, at: time.Now()})
	return nil
}

func (o *owner) commit(ctx context.Context, slot group.SlotID, value string) (group.Position, error) {
	ctx, cancel := context.WithTimeout(ctx, statementTimeout)
	defer cancel()
	p, err := o.c.Write(ctx, o.host, slot, value)
	switch {
	case err == nil:
		o.runner.ReportAnswer(slot)
		return p, nil
	case errors.Is(err, group.ErrRefused):
		return p, err
	}
	o.runner.ReportFailure(slot)
	if errors.Is(err, group.ErrNoAnswer) {
		return p, fmt.Errorf("%w: %w", errUnknownOutcome, err)
	}
	return p, err
}

// runTraffic starts a write through the owner every interval until ctx ends. Each
// write may take commitTimeout. It returns when all writes have ended.
func (o *owner) runTraffic(ctx context.Context, name string, interval time.Duration) {
	var wg sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		wg.Go(func() {
			c, cancel := context.WithTimeout(context.WithoutCancel(ctx), commitTimeout)
			defer cancel()
			if err := o.write(c, fmt.Sprintf("%s/%d", name, i)); err != nil {
				o.c.mu.Lock()
				defer o.c.mu.Unlock()
				o.c.failed = append(o.c.failed, err)
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
}

func (c *cluster) acks() []ack {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clip(c.acked)
}

// checkHistory fails the test if an acknowledged write is missing from a later
// primary, or a term has two primaries.
func (c *cluster) checkHistory(t interface {
	Helper()
	Fatalf(string, ...any)
}) {
	t.Helper()
	promotions := c.Promotions()
	terms := map[group.Term]int{}
	for _, p := range promotions {
		if other, ok := terms[p.Term]; ok {
			t.Fatalf("term %d: slots %d and %d were both promoted", p.Term, other, p.Slot)
		}
		terms[p.Term] = p.Slot
	}
	for _, p := range promotions {
		for _, a := range c.acks() {
			if a.term < p.Term && !grouptest.LogContains(p.Log, a.position) {
				t.Fatalf("write %s, acknowledged at %v of term %d, is missing from the log of slot %d promoted at term %d",
					a.value, a.position, a.term, p.Slot, p.Term)
			}
		}
	}
}
