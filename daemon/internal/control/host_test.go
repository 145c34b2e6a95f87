package control

import (
	"context"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/membership"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/platform/platformtest"
	"github.com/gypsumgap/gypsumgap/core/shares"
	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
)

// run starts n hosts and lets them settle before the test, which then has
// them in the order of their numbers.
func run(t *testing.T, n int, f func(w *world, procs []*proc)) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, 7, 3)
		w.list(n)
		procs := make([]*proc, n)
		for i := range n {
			procs[i] = w.start(i)
		}
		defer w.stopAll()
		time.Sleep(20 * time.Second)
		f(w, procs)
	})
}

// owners returns the hosts that own the database by their own view, by rank.
func owners(procs []*proc) map[int][]*proc {
	found := map[int][]*proc{}
	for _, p := range procs {
		if g := p.group(); g != nil && !p.isDead() {
			found[g.rank] = append(found[g.rank], p)
		}
	}
	return found
}

func others(procs []*proc, without *proc) []*proc {
	var out []*proc
	for _, p := range procs {
		if p != without {
			out = append(out, p)
		}
	}
	return out
}

// checkOwners fails unless two hosts in different availability zones own the
// database and hold most of the limit.
func checkOwners(t *testing.T, w *world, procs []*proc) {
	t.Helper()
	found := owners(procs)
	if len(found[0]) != 1 || len(found[1]) != 1 {
		t.Fatalf("%d hosts of rank 0 and %d of rank 1", len(found[0]), len(found[1]))
	}
	first, second := found[0][0], found[1][0]
	if a, b := first.ctl.opts.Self.Zone, second.ctl.opts.Self.Zone; a == b {
		t.Errorf("both owners are in %s", a)
	}
	a, b := first.group().share, second.group().share
	if a != shares.TargetCount(w.limit, 0) || b != shares.TargetCount(w.limit, 1) {
		t.Errorf("owners hold %d and %d of %d", a, b, w.limit)
	}
}

// Guards against owners that do not converge, or share an availability zone.
func TestOwnershipConverges(t *testing.T) {
	run(t, 5, func(w *world, procs []*proc) { checkOwners(t, w, procs) })
}

// Guards against connections of a dead host that are lost to the others. The
// bound is detection (10 s), reclaimDelay and one retry.
func TestDeadHostIsReclaimedWithinBound(t *testing.T) {
	const bound = 10*time.Second + reclaimDelay + shareRetryMax
	for _, loseAnswers := range []int{0, 2} {
		run(t, 5, func(w *world, procs []*proc) {
			dead := owners(procs)[0][0]
			w.store.SetFaults(platformtest.Faults{LoseResponses: loseAnswers})
			dead.kill()
			time.Sleep(bound)
			if n := w.stored().Count(dead.id); n != 0 {
				t.Errorf("dead host still holds %d connections after %v", n, bound)
			}
			checkOwners(t, w, others(procs, dead))
		})
	}
}

// Guards against the share of a host that stopped while the store was down: it
// was leaving, so nobody held it dead, and its connections were lost for good.
func TestDrainedHostIsReclaimedAfterAnOutage(t *testing.T) {
	run(t, 5, func(w *world, procs []*proc) {
		gone := owners(procs)[0][0]
		w.store.SetFaults(platformtest.Faults{Down: true})
		gone.ctl.Leave()
		time.Sleep(3 * time.Second)
		gone.exit()
		time.Sleep(10 * time.Second)
		w.store.SetFaults(platformtest.Faults{})
		time.Sleep(30 * time.Second)
		if n := w.stored().Count(gone.id); n != 0 {
			t.Errorf("drained host still holds %d connections", n)
		}
		checkOwners(t, w, others(procs, gone))
	})
}

// Guards against a host that starts during a store outage and takes databases
// from owners that hold connections, while it can hold none.
func TestStartDuringOutageTakesNothing(t *testing.T) {
	run(t, 4, func(w *world, procs []*proc) {
		w.store.SetFaults(platformtest.Faults{Down: true})
		late := make([]*proc, 0, 2)
		for i := 4; i < 6; i++ {
			late = append(late, w.start(i))
		}
		time.Sleep(30 * time.Second)
		checkOwners(t, w, procs)
		for _, p := range late {
			v := p.ctl.Board().View()
			if !v.ConfigReady || v.Config.Version() != w.version || len(v.Members) != 6 {
				t.Errorf("%s: ready %t, version %d, %d members", p.name, v.ConfigReady, v.Config.Version(), len(v.Members))
			}
			if p.group() != nil {
				t.Errorf("%s owns the database without a share", p.name)
			}
			st, err := p.ctl.Server().Status(context.Background(), &peerapi.StatusRequest{})
			if err != nil || st.GetState() != "platform not reached since the start" || st.GetConfigVersion() != w.version {
				t.Errorf("%s: status %v, %v", p.name, st, err)
			}
		}
		w.store.SetFaults(platformtest.Faults{})
		time.Sleep(40 * time.Second)
		checkOwners(t, w, append(procs, late...))
	})
}

// Guards against a paused host that wakes unaware and dials within a count that
// others have reclaimed.
func TestPausedHostOpensNothingUnconfirmed(t *testing.T) {
	run(t, 5, func(w *world, procs []*proc) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		p := owners(procs)[0][0]
		p.pause()
		w.dropConnections(p)
		time.Sleep(40 * time.Second)
		checkOwners(t, w, others(procs, p))
		for _, o := range procs {
			o.use(ctx, 12, 200*time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		// No look at the store helps it.
		p.setStore(false)
		p.resume()
		time.Sleep(10 * time.Second)
		w.mu.Lock()
		n := 0
		for _, conns := range w.conns {
			for c := range conns {
				if c.p == p {
					n++
				}
			}
		}
		w.mu.Unlock()
		if n > 0 {
			t.Errorf("woken host opened %d connections", n)
		}
		p.setStore(true)
		time.Sleep(60 * time.Second)
		if found := w.violation(); found != "" {
			t.Error(found)
		}
		checkOwners(t, w, procs)
	})
}

// Guards against a real controller that does not fail over through its hooks.
func TestFailoverAndSwitchover(t *testing.T) {
	run(t, 5, func(w *world, procs []*proc) {
		owner := owners(procs)[0][0]
		start := time.Now()
		w.group.Kill(0)
		primary := func() int {
			g := owner.ctl.Board().View().Groups[dbName]
			return g.Tracker.View().Primary
		}
		for primary() <= 0 && time.Since(start) < 17*time.Second {
			time.Sleep(10 * time.Millisecond)
		}
		if primary() <= 0 {
			t.Fatal("no new primary within 17 s")
		}
		t.Logf("failover took %v", time.Since(start))
		w.group.Restart(0)
		time.Sleep(10 * time.Second)
		got, err := owner.ctl.Server().Switchover(context.Background(), &peerapi.SwitchoverRequest{Database: dbName, ToSlot: string(w.slots[0].ID)})
		if err != nil {
			t.Fatal(err)
		}
		if got.GetPrimarySlot() != string(w.slots[0].ID) || w.group.Status(0).Role != group.Primary {
			t.Errorf("primary is %s", got.GetPrimarySlot())
		}
	})
}

// Guards against a drain that cuts a running transaction off from its commit
// gate, or keeps the share when the transaction has ended.
func TestDrainKeepsRunningTransaction(t *testing.T) {
	run(t, 5, func(w *world, procs []*proc) {
		p := owners(procs)[0][0]
		now := time.Now()
		tx, err := Directory{Board: p.ctl.Board()}.Local(dbName).Begin(context.Background(),
			route.Request{Database: dbName, User: "u", Arrived: now, Deadline: now.Add(time.Second)})
		if err != nil {
			t.Fatal(err)
		}
		p.ctl.Leave()
		time.Sleep(25 * time.Second)
		checkGivenUp(t, w, p, 1)
		if _, err := tx.Finish(context.Background()); err != nil {
			t.Errorf("running transaction was cut: %v", err)
		}
		tx.Release(true)
		time.Sleep(2 * time.Second)
		checkGivenUp(t, w, p, 0)
	})
}

func checkGivenUp(t *testing.T, w *world, p *proc, held int) {
	t.Helper()
	if p.group() != nil {
		t.Error("draining host still owns the database")
	}
	if n := w.stored().Count(p.id); n != held {
		t.Errorf("draining host holds %d connections, want %d", n, held)
	}
}

// Guards against a configuration version that goes back on any host while
// hosts restart and the store comes and goes.
func TestConfigurationNeverGoesBack(t *testing.T) {
	run(t, 5, func(w *world, procs []*proc) {
		seen := map[*proc]uint64{}
		look := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				for _, p := range procs {
					v := p.ctl.Board().View().Config.Version()
					if v < seen[p] {
						t.Fatalf("%s went from version %d to %d", p.name, seen[p], v)
					}
					seen[p] = v
				}
			}
		}
		for range 4 {
			w.apply(w.limit, w.slots)
			look(2 * time.Second)
			w.store.SetFaults(platformtest.Faults{Down: true})
			procs[1].kill()
			look(time.Second)
			procs[1] = w.start(1)
			look(8 * time.Second)
			w.store.SetFaults(platformtest.Faults{})
			look(5 * time.Second)
		}
		for _, p := range procs {
			if seen[p] != w.version {
				t.Errorf("%s holds version %d, want %d", p.name, seen[p], w.version)
			}
		}
	})
}

// Guards against a change of slots that breaks the limit or loses the share.
func TestSlotChangeKeepsLimit(t *testing.T) {
	run(t, 5, func(w *world, procs []*proc) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for _, p := range procs {
			p.use(ctx, 12, time.Second)
		}
		time.Sleep(5 * time.Second)
		changed := append([]group.Slot(nil), w.slots...)
		changed[2].Zone = "zd"
		w.apply(w.limit, changed)
		time.Sleep(10 * time.Second)
		if found := w.violation(); found != "" {
			t.Error(found)
		}
		checkOwners(t, w, procs)
	})
}

// Guards against store calls that follow changes of membership which concern
// no owner.
func TestMembershipChurnSparesTheStore(t *testing.T) {
	run(t, 6, func(w *world, procs []*proc) {
		var bystander *proc
		for _, p := range procs {
			if p.group() == nil {
				bystander = p
			}
		}
		before := w.store.Counts().Gets
		bystander.kill()
		time.Sleep(30 * time.Second)
		if n := w.store.Counts().Gets - before; n > 0 {
			t.Errorf("%d reads of the store after the death of a host that owns nothing", n)
		}
	})
}

// Guards against an owner's view from a host that has not settled, and a status
// that does not say what the host holds.
func TestObserveAndStatus(t *testing.T) {
	run(t, 4, func(w *world, procs []*proc) {
		late := w.start(4)
		seen, err := late.ctl.Server().Observe(context.Background(), &peerapi.ObserveRequest{Database: dbName})
		if err != nil || seen.GetWatching() {
			t.Errorf("unsettled host watches: %v, %v", seen, err)
		}
		owner := owners(procs)[0][0]
		st, err := owner.ctl.Server().Status(context.Background(), &peerapi.StatusRequest{})
		if err != nil {
			t.Fatal(err)
		}
		if st.GetConfigVersion() != w.version || len(st.GetDatabases()) != 1 {
			t.Fatalf("version %d, %d databases", st.GetConfigVersion(), len(st.GetDatabases()))
		}
		if got := int(st.GetDatabases()[0].GetConnectionsLimit()); got != shares.TargetCount(w.limit, 0) {
			t.Errorf("status says %d connections", got)
		}
	})
}

// Guards against a restart that is taken for a refutation, or the reverse.
func TestSameProcess(t *testing.T) {
	h := shares.Holder{Host: "e1", Incarnation: 1_000_000}
	for _, test := range []struct {
		incarnation uint64
		same        bool
	}{{1_000_000, true}, {1_000_007, true}, {3_000_000, false}} {
		if got := sameProcess(membership.Member{Name: "e1", Incarnation: test.incarnation}, h); got != test.same {
			t.Errorf("incarnation %d: same process %t", test.incarnation, got)
		}
	}
}

// Guards against two keepers of one database that write as the same holder: a
// database that was given up is taken again while transactions still run.
func TestDatabaseGivenUpAndTakenAgain(t *testing.T) {
	run(t, 4, func(w *world, procs []*proc) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for _, p := range procs {
			p.use(ctx, 12, 3*time.Second)
		}
		before := owners(procs)[0][0]
		late := w.start(usurper(t, procs))
		for late.group() == nil {
			time.Sleep(100 * time.Millisecond)
		}
		late.ctl.Leave()
		time.Sleep(30 * time.Second)
		if found := w.violation(); found != "" {
			t.Error(found)
		}
		if owners(procs)[0][0] != before {
			t.Error("database did not return to its owner")
		}
		checkOwners(t, w, procs)
		if g := before.group(); w.stored().Count(before.id) != g.share {
			t.Errorf("owner uses %d connections, the store records %d", g.share, w.stored().Count(before.id))
		}
	})
}

// usurper returns the number of a host that would be the first owner.
func usurper(t *testing.T, procs []*proc) int {
	t.Helper()
	for i := len(procs); i < 50; i++ {
		m := membership.Member{Name: hostName(i), ForwardAddress: "f", Zone: zoneOf(i), Region: "r", State: membership.Alive, Incarnation: 1}
		members := append(procs[0].ctl.Board().View().Members, m)
		if membership.Owners(dbName, "r", members)[0].Name == m.Name {
			return i
		}
	}
	t.Fatal("no host would be the first owner")
	return 0
}
