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

// runSettled starts n hosts, waits until they have settled and runs f, which gets
// them in the order of their numbers.
func runSettled(t *testing.T, n int, f func(sim *simulation, procs []*proc)) {
	inVirtualTime(t, func(t *testing.T) {
		sim := newSimulation(t, 7, 3)
		sim.list(n)
		procs := make([]*proc, n)
		for i := range n {
			procs[i] = sim.start(i)
		}
		defer sim.stopAll()
		time.Sleep(20 * time.Second)
		f(sim, procs)
	})
}

// owners returns the hosts that own the database in their own view, by rank.
func owners(procs []*proc) map[int][]*proc {
	found := map[int][]*proc{}
	for _, p := range procs {
		if g := p.group(); g != nil && !p.isDead() {
			found[g.rank] = append(found[g.rank], p)
		}
	}
	return found
}

func without(procs []*proc, excluded *proc) []*proc {
	var out []*proc
	for _, p := range procs {
		if p != excluded {
			out = append(out, p)
		}
	}
	return out
}

// checkOwners fails unless two hosts in different availability zones own the
// database and hold most of the limit.
func checkOwners(t *testing.T, sim *simulation, procs []*proc) {
	t.Helper()
	found := owners(procs)
	if len(found[0]) != 1 || len(found[1]) != 1 {
		t.Fatalf("got %d owners of rank 0 and %d of rank 1, want one of each", len(found[0]), len(found[1]))
	}
	first, second := found[0][0], found[1][0]
	if a, b := first.ctl.opts.Self.Zone, second.ctl.opts.Self.Zone; a == b {
		t.Errorf("both owners are in availability zone %s, want two zones", a)
	}
	a, b := first.group().share, second.group().share
	if a != shares.TargetCount(sim.limit, 0) || b != shares.TargetCount(sim.limit, 1) {
		t.Errorf("owners hold shares of %d and %d of a limit of %d, want the target counts of rank 0 and 1", a, b, sim.limit)
	}
}

// Guards against hosts that disagree about the owners, and against two owners in
// the same availability zone.
func TestOwnershipConverges(t *testing.T) {
	runSettled(t, 5, func(sim *simulation, procs []*proc) { checkOwners(t, sim, procs) })
}

// Guards against connections of a dead host that the others never reclaim. The
// bound is the sum of failure detection (10 s), reclaimDelay and one retry.
func TestDeadHostIsReclaimedWithinBound(t *testing.T) {
	const bound = 10*time.Second + reclaimDelay + shareRetryMax
	for _, loseAnswers := range []int{0, 2} {
		runSettled(t, 5, func(sim *simulation, procs []*proc) {
			dead := owners(procs)[0][0]
			sim.store.SetFaults(platformtest.Faults{LoseResponses: loseAnswers})
			dead.kill()
			time.Sleep(bound)
			if n := sim.stored().Count(dead.holder); n != 0 {
				t.Errorf("dead host still holds %d connections after %v, want 0", n, bound)
			}
			checkOwners(t, sim, without(procs, dead))
		})
	}
}

// Guards against losing the share of a host that drains while the store is down.
// The host cannot release its share, and the others see it as leaving, not dead,
// so the share was never reclaimed.
func TestDrainedHostIsReclaimedAfterAnOutage(t *testing.T) {
	runSettled(t, 5, func(sim *simulation, procs []*proc) {
		gone := owners(procs)[0][0]
		sim.store.SetFaults(platformtest.Faults{Down: true})
		gone.ctl.Leave()
		time.Sleep(3 * time.Second)
		gone.exit()
		time.Sleep(10 * time.Second)
		sim.store.SetFaults(platformtest.Faults{})
		time.Sleep(30 * time.Second)
		if n := sim.stored().Count(gone.holder); n != 0 {
			t.Errorf("drained host still holds %d connections, want 0", n)
		}
		checkOwners(t, sim, without(procs, gone))
	})
}

// Guards against a host that starts during a store outage and becomes the owner
// of databases. It cannot claim connections, while the previous owners hold them.
func TestStartDuringOutageTakesNothing(t *testing.T) {
	runSettled(t, 4, func(sim *simulation, procs []*proc) {
		sim.store.SetFaults(platformtest.Faults{Down: true})
		late := make([]*proc, 0, 2)
		for i := 4; i < 6; i++ {
			late = append(late, sim.start(i))
		}
		time.Sleep(30 * time.Second)
		checkOwners(t, sim, procs)
		for _, p := range late {
			v := p.ctl.Board().View()
			if !v.ConfigReady || v.Config.Version() != sim.version || len(v.Members) != 6 {
				t.Errorf("%s: got ready %t, configuration version %d, %d members; want ready, the current version and 6 members", p.name, v.ConfigReady, v.Config.Version(), len(v.Members))
			}
			if p.group() != nil {
				t.Errorf("%s owns the database without a share", p.name)
			}
			st, err := p.ctl.Server().Status(context.Background(), &peerapi.StatusRequest{})
			if err != nil || st.GetState() != "platform not reached since the start" || st.GetConfigVersion() != sim.version {
				t.Errorf("%s: got status %v, error %v; want the state of a host that has not reached the platform", p.name, st, err)
			}
		}
		sim.store.SetFaults(platformtest.Faults{})
		time.Sleep(40 * time.Second)
		checkOwners(t, sim, append(procs, late...))
	})
}

// Guards against a host that resumes after a pause and opens connections within
// a share that others have reclaimed in the meantime.
func TestPausedHostOpensNothingUnconfirmed(t *testing.T) {
	runSettled(t, 5, func(sim *simulation, procs []*proc) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		p := owners(procs)[0][0]
		p.pause()
		sim.dropConnections(p)
		time.Sleep(40 * time.Second)
		checkOwners(t, sim, without(procs, p))
		for _, o := range procs {
			o.runLoad(ctx, 12, 200*time.Millisecond)
		}
		time.Sleep(5 * time.Second)
		// The host cannot learn from the store that its share was reclaimed.
		p.setStore(false)
		p.resume()
		time.Sleep(10 * time.Second)
		sim.mu.Lock()
		n := 0
		for _, conns := range sim.conns {
			for c := range conns {
				if c.p == p {
					n++
				}
			}
		}
		sim.mu.Unlock()
		if n > 0 {
			t.Errorf("resumed host opened %d connections without a confirmation, want 0", n)
		}
		p.setStore(true)
		time.Sleep(60 * time.Second)
		if found := sim.violation(); found != "" {
			t.Error(found)
		}
		checkOwners(t, sim, procs)
	})
}

// Guards against a controller that does not connect the hooks of the failover
// machine, so that failover or switchover does not work.
func TestFailoverAndSwitchover(t *testing.T) {
	runSettled(t, 5, func(sim *simulation, procs []*proc) {
		owner := owners(procs)[0][0]
		start := time.Now()
		sim.group.Kill(0)
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
		sim.group.Restart(0)
		time.Sleep(10 * time.Second)
		got, err := owner.ctl.Server().Switchover(context.Background(), &peerapi.SwitchoverRequest{Database: dbName, ToSlot: string(sim.slots[0].ID)})
		if err != nil {
			t.Fatal(err)
		}
		if got.GetPrimarySlot() != string(sim.slots[0].ID) || sim.group.Status(0).Role != group.Primary {
			t.Errorf("primary after the switchover is %s, want the first slot", got.GetPrimarySlot())
		}
	})
}

// Guards against a drain that keeps a running transaction from reaching its commit
// gate, or that keeps the share after the transaction has ended.
func TestDrainKeepsRunningTransaction(t *testing.T) {
	runSettled(t, 5, func(sim *simulation, procs []*proc) {
		p := owners(procs)[0][0]
		now := time.Now()
		tx, err := Directory{Board: p.ctl.Board()}.Local(dbName).Begin(context.Background(),
			route.Request{Database: dbName, User: "u", Arrived: now, Deadline: now.Add(time.Second)})
		if err != nil {
			t.Fatal(err)
		}
		p.ctl.Leave()
		time.Sleep(25 * time.Second)
		checkReleased(t, sim, p, 1)
		if _, err := tx.Finish(context.Background()); err != nil {
			t.Errorf("running transaction did not finish during the drain: %v", err)
		}
		tx.Release(true)
		time.Sleep(2 * time.Second)
		checkReleased(t, sim, p, 0)
	})
}

func checkReleased(t *testing.T, sim *simulation, p *proc, held int) {
	t.Helper()
	if p.group() != nil {
		t.Error("draining host still owns the database")
	}
	if n := sim.stored().Count(p.holder); n != held {
		t.Errorf("draining host holds %d connections, want %d", n, held)
	}
}

// Guards against a configuration version that decreases on any host while hosts
// restart and the store is down repeatedly.
func TestConfigurationNeverGoesBack(t *testing.T) {
	runSettled(t, 5, func(sim *simulation, procs []*proc) {
		seen := map[*proc]uint64{}
		checkVersions := func(d time.Duration) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				for _, p := range procs {
					v := p.ctl.Board().View().Config.Version()
					if v < seen[p] {
						t.Fatalf("%s went back from configuration version %d to %d", p.name, seen[p], v)
					}
					seen[p] = v
				}
			}
		}
		for range 4 {
			sim.applyConfig(sim.limit, sim.slots)
			checkVersions(2 * time.Second)
			sim.store.SetFaults(platformtest.Faults{Down: true})
			procs[1].kill()
			checkVersions(time.Second)
			procs[1] = sim.start(1)
			checkVersions(8 * time.Second)
			sim.store.SetFaults(platformtest.Faults{})
			checkVersions(5 * time.Second)
		}
		for _, p := range procs {
			if seen[p] != sim.version {
				t.Errorf("%s holds configuration version %d, want %d", p.name, seen[p], sim.version)
			}
		}
	})
}

// Guards against a change of slots that exceeds the connection limit or loses the
// share.
func TestSlotChangeKeepsLimit(t *testing.T) {
	runSettled(t, 5, func(sim *simulation, procs []*proc) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for _, p := range procs {
			p.runLoad(ctx, 12, time.Second)
		}
		time.Sleep(5 * time.Second)
		changed := append([]group.Slot(nil), sim.slots...)
		changed[2].Zone = "zd"
		sim.applyConfig(sim.limit, changed)
		time.Sleep(10 * time.Second)
		if found := sim.violation(); found != "" {
			t.Error(found)
		}
		checkOwners(t, sim, procs)
	})
}

// Guards against store reads caused by membership changes that affect no owner.
func TestMembershipChurnSparesTheStore(t *testing.T) {
	runSettled(t, 6, func(sim *simulation, procs []*proc) {
		var nonOwner *proc
		for _, p := range procs {
			if p.group() == nil {
				nonOwner = p
			}
		}
		before := sim.store.Counts().Gets
		nonOwner.kill()
		time.Sleep(30 * time.Second)
		if n := sim.store.Counts().Gets - before; n > 0 {
			t.Errorf("got %d reads of the store after the crash of a host that owns nothing, want 0", n)
		}
	})
}

// Guards against a host that has not settled but responds as an owner, and
// against a status that does not report the connections that the host holds.
func TestObserveAndStatus(t *testing.T) {
	runSettled(t, 4, func(sim *simulation, procs []*proc) {
		late := sim.start(4)
		seen, err := late.ctl.Server().Observe(context.Background(), &peerapi.ObserveRequest{Database: dbName})
		if err != nil || seen.GetWatching() {
			t.Errorf("unsettled host responded %v, error %v; want that it does not watch the database", seen, err)
		}
		owner := owners(procs)[0][0]
		st, err := owner.ctl.Server().Status(context.Background(), &peerapi.StatusRequest{})
		if err != nil {
			t.Fatal(err)
		}
		if st.GetConfigVersion() != sim.version || len(st.GetDatabases()) != 1 {
			t.Fatalf("got configuration version %d and %d databases, want the current version and 1 database", st.GetConfigVersion(), len(st.GetDatabases()))
		}
		if got := int(st.GetDatabases()[0].GetConnectionsLimit()); got != shares.TargetCount(sim.limit, 0) {
			t.Errorf("status reports a limit of %d connections, want the target count of rank 0", got)
		}
	})
}

// Guards against mistaking a restart of a process for a refutation, or the
// reverse.
func TestSameProcess(t *testing.T) {
	h := shares.Holder{Host: "e1", Incarnation: 1_000_000}
	for _, test := range []struct {
		incarnation uint64
		same        bool
	}{{1_000_000, true}, {1_000_007, true}, {3_000_000, false}} {
		if got := sameProcess(membership.Member{Name: "e1", Incarnation: test.incarnation}, h); got != test.same {
			t.Errorf("sameProcess with incarnation %d = %t, want the opposite", test.incarnation, got)
		}
	}
}

// Guards against two share managers of one database that write as the same
// holder. This can happen when a host becomes owner of a database again while
// transactions from its earlier ownership still run.
func TestDatabaseGivenUpAndTakenAgain(t *testing.T) {
	runSettled(t, 4, func(sim *simulation, procs []*proc) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for _, p := range procs {
			p.runLoad(ctx, 12, 3*time.Second)
		}
		before := owners(procs)[0][0]
		late := sim.start(numberOfNewFirstOwner(t, procs))
		for late.group() == nil {
			time.Sleep(100 * time.Millisecond)
		}
		late.ctl.Leave()
		time.Sleep(30 * time.Second)
		if found := sim.violation(); found != "" {
			t.Error(found)
		}
		if owners(procs)[0][0] != before {
			t.Error("database did not return to its owner")
		}
		checkOwners(t, sim, procs)
		if g := before.group(); sim.stored().Count(before.holder) != g.share {
			t.Errorf("owner has a share of %d connections, but the store records %d", g.share, sim.stored().Count(before.holder))
		}
	})
}

// numberOfNewFirstOwner returns the number of a host that would become the first
// owner if it were started.
func numberOfNewFirstOwner(t *testing.T, procs []*proc) int {
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
