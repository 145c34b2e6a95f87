package failover_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumgap/gypsumgap/core/failover"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/group/grouptest"
	"pgregory.net/rapid"
)

// lastPromotedSlot is a slot index that stands for the slot promoted last.
const lastPromotedSlot = -1

// faultStep is one fault of a script and the time until the next one.
type faultStep struct {
	fault      string
	slot, host int
	wait       time.Duration
}

// faultKinds lists the faults. Those that are to be drawn more often come twice.
var faultKinds = []string{
	"kill", "kill", "restart", "freeze", "freeze", "thaw", "thaw", "cut host", "cut host", "cut peers", "mute host",
	"isolate", "isolate", "heal", "lag", "stall", "resume", "leave", "stay", "switchover",
}

func drawScript(t *rapid.T, slots, hosts int) []faultStep {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) faultStep {
		return faultStep{
			fault: rapid.SampledFrom(faultKinds).Draw(t, "fault"),
			slot:  max(lastPromotedSlot, rapid.IntRange(-slots, slots-1).Draw(t, "slot")),
			host:  rapid.IntRange(0, hosts-1).Draw(t, "host"),
			wait:  time.Duration(rapid.IntRange(0, 1500).Draw(t, "wait")) * time.Millisecond,
		}
	}), 10, 25).Draw(t, "script")
}

// injectFault carries out one step of a script.
func (c *cluster) injectFault(ctx context.Context, s faultStep) {
	if s.slot == lastPromotedSlot {
		p := c.Promotions()
		s.slot = p[len(p)-1].Slot
	}
	host, id := c.owners[s.host].host.Name, string(c.slots[s.slot].ID)
	switch s.fault {
	case "kill":
		c.Kill(s.slot)
	case "restart":
		c.Restart(s.slot)
	case "freeze":
		c.Freeze(s.slot)
	case "thaw":
		c.Thaw(s.slot)
	case "cut host":
		c.CutBoth(host, id)
	case "mute host":
		c.Cut(id, host)
	case "cut peers":
		c.CutBoth(c.owners[0].host.Name, c.owners[1].host.Name)
	case "isolate":
		c.isolate(s.slot, s.host%2 == 0)
	case "heal":
		c.HealAll()
	case "lag":
		c.SetLag(s.slot, s.wait)
	case "stall", "resume":
		c.SetStalled(s.slot, s.fault == "stall")
	case "leave", "stay":
		c.SetLeaving(s.slot, s.fault == "leave")
	case "switchover":
		c.owners[s.host].driver.Post(failover.SwitchoverRequest{})
	}
}

// isolate cuts the slot off from the other slots, and from the hosts if hosts is
// true.
func (c *cluster) isolate(slot int, hosts bool) {
	id := string(c.slots[slot].ID)
	for i, o := range c.slots {
		if i != slot {
			c.CutBoth(id, string(o.ID))
		}
	}
	for _, o := range c.owners {
		if hosts {
			c.CutBoth(id, o.host.Name)
		}
	}
}

// clearFaults ends all faults and restarts every slot.
func (c *cluster) clearFaults() {
	c.HealAll()
	for i := range c.slots {
		c.Restart(i)
		c.Thaw(i)
		c.SetLag(i, 0)
		c.SetStalled(i, false)
		c.SetLeaving(i, false)
	}
}

// checker reads through random hosts and compares the results with the
// acknowledged writes. It keeps the first failure.
type checker struct {
	c       *cluster
	rand    *rand.Rand
	mu      sync.Mutex
	failure string
	reads   map[string]int
}

func (k *checker) fail(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.failure == "" {
		k.failure = fmt.Sprintf(format, args...)
	}
}

// run starts a read every interval until ctx ends.
func (k *checker) run(ctx context.Context, interval time.Duration) {
	var wg sync.WaitGroup
	for i := 0; ctx.Err() == nil; i++ {
		o := k.c.owners[k.rand.IntN(len(k.c.owners))]
		age := time.Duration(1+k.rand.IntN(3000)) * time.Millisecond
		wg.Go(func() {
			c, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			switch i % 4 {
			case 0:
				k.barrierRead(c, o)
			case 1:
				k.primaryRead(c, o)
			case 2:
				k.tokenRead(c, o)
			case 3:
				k.agedRead(c, o, age)
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
}

func (k *checker) barrierRead(ctx context.Context, o *owner) {
	due := k.c.acks()
	need, err := o.runner.Barrier(ctx)
	if err != nil {
		return
	}
	k.readReplica(ctx, o, need, 0, due, "barrier")
}

// primaryRead reads on the primary while a barrier runs in parallel.
func (k *checker) primaryRead(ctx context.Context, o *owner) {
	s, term, ok := o.runner.Primary()
	if !ok {
		return
	}
	due := k.c.acks()
	var barrier group.Position
	var failed error
	var wg sync.WaitGroup
	wg.Go(func() { barrier, failed = o.runner.Barrier(ctx) })
	log, err := k.c.Read(ctx, o.host, s.ID)
	wg.Wait()
	if err == nil && failed == nil && barrier.Term <= term {
		k.check(log, due, "primary")
	}
}

func (k *checker) tokenRead(ctx context.Context, o *owner) {
	acks := k.c.acks()
	if len(acks) == 0 {
		return
	}
	last := acks[len(acks)-1]
	k.readReplica(ctx, o, last.durable, 0, []ack{last}, "token")
}

func (k *checker) agedRead(ctx context.Context, o *owner, age time.Duration) {
	now := time.Now()
	var due []ack
	for _, a := range k.c.acks() {
		if a.at.Before(now.Add(-age)) {
			due = append(due, a)
		}
	}
	if s, ok := o.runner.PickReplica(group.Position{}, age); ok {
		k.readSlot(ctx, o, s, due, fmt.Sprintf("age %v", age))
	}
}

func (k *checker) readReplica(ctx context.Context, o *owner, need group.Position, age time.Duration, due []ack, kind string) {
	ctx, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	if s, err := o.runner.WaitReplica(ctx, need, age); err == nil {
		k.readSlot(ctx, o, s, due, kind)
	}
}

func (k *checker) readSlot(ctx context.Context, o *owner, s group.Slot, due []ack, kind string) {
	if log, err := k.c.Read(ctx, o.host, s.ID); err == nil {
		k.check(log, due, kind)
	}
}

func (k *checker) check(log []grouptest.Record, due []ack, kind string) {
	for _, a := range due {
		if !grouptest.LogContains(log, a.position) {
			k.fail("%s read misses write %s, acknowledged at %v", kind, a.value, a.position)
			return
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reads[kind[:3]]++
}

// failureRecorder records failures of checkHistory in the checker.
type failureRecorder struct{ k *checker }

func (failureRecorder) Helper()                        {}
func (f failureRecorder) Fatalf(s string, args ...any) { f.k.fail(s, args...) }

// runFaultScript runs the faults against a group under traffic from every owner,
// ends them, and returns the first failure; empty for none.
func runFaultScript(t *testing.T, l layout, script []faultStep, tally map[string]int) (fault string) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, l)
		defer c.stop()
		k := &checker{c: c, rand: rand.New(rand.NewPCG(l.seed, 9)), reads: tally}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for _, o := range c.owners {
			wg.Go(func() { o.runTraffic(ctx, o.host.Name, 60*time.Millisecond) })
		}
		wg.Go(func() { k.run(ctx, 20*time.Millisecond) })
		time.Sleep(time.Second)
		for _, s := range script {
			c.injectFault(ctx, s)
			time.Sleep(s.wait)
		}
		c.clearFaults()
		time.Sleep(20 * time.Second)
		cancel()
		wg.Wait()
		k.checkConverged(t.Context())
		c.checkHistory(failureRecorder{k})
		fault = k.failure
		tally["acks"] += len(c.acks())
		tally["promotions"] += len(c.Promotions())
	})
	return fault
}

// checkConverged checks that every owner can write and that all slots have
// received the log of the last primary.
func (k *checker) checkConverged(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	for _, o := range k.c.owners {
		if err := o.write(ctx, "last/"+o.host.Name); err != nil {
			k.fail("write through %s after the faults ended: %v", o.host.Name, err)
		}
	}
	time.Sleep(time.Second)
	p := k.c.Promotions()
	last := p[len(p)-1]
	for i := range k.c.slots {
		if st := k.c.Status(i); st.Received != k.c.Status(last.Slot).Received {
			k.fail("slot %d is at %+v after the faults ended, primary %d at %+v", i, st, last.Slot, k.c.Status(last.Slot))
		}
	}
}

// The number of scripts is limited because a script takes about half a second,
// and ten times that under the race detector.
const (
	maxScripts         = 250
	maxScriptsWithRace = 5
)

// limitChecks limits the number of scripts for the duration of the test.
func limitChecks(t *testing.T) {
	checks := flag.Lookup("rapid.checks")
	before := checks.Value.String()
	n, err := strconv.Atoi(before)
	if err != nil {
		t.Fatal(err)
	}
	limit := maxScripts
	if raceEnabled {
		limit = maxScriptsWithRace
	}
	if err := checks.Value.Set(strconv.Itoa(min(n, limit))); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = checks.Value.Set(before) })
}

// Acknowledged writes must not be lost, reads must not be stale, and the drivers
// must converge on one primary under random faults that overlap and recur, with
// three owners and without a store.
func TestFaultsTogetherAndTwice(t *testing.T) {
	limitChecks(t)
	tally := map[string]int{}
	rapid.Check(t, func(rt *rapid.T) {
		l := rapid.SampledFrom([]layout{threeSlots, fiveSlots, threeSlotsTwoRegions}).Draw(rt, "layout")
		l.owners, l.seed = 3, rapid.Uint64().Draw(rt, "seed")
		script := drawScript(rt, l.slots, l.owners)
		if fault := runFaultScript(t, l, script, tally); fault != "" {
			rt.Fatalf("%s", fault)
		}
	})
	t.Logf("%v", tally)
}
