package confsync_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/confstore"
	"github.com/gypsumgap/gypsumgap/core/confsync"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/platform/platformtest"
	_ "github.com/gypsumgap/gypsumgap/core/testseed"
)

// model drives a simulation with random changes and faults and checks its
// invariants.
type model struct {
	sim      *sim
	services map[string]config.Service
	created  int
	down     bool
	// held is the version that each node held at its last check.
	held map[*simNode]heldVersion
	// minVersion is the lowest version that each node may hold once it is ready.
	minVersion map[*simNode]uint64
}

type heldVersion struct {
	incarnation int
	version     uint64
}

func newModel(t *rapid.T) *model {
	nodes := rapid.IntRange(2, 9).Draw(t, "nodes")
	zones := rapid.IntRange(1, 3).Draw(t, "zones")
	m := &model{
		sim:        newSim(nodes, zones, rapid.Uint64().Draw(t, "seed")),
		services:   testServices(3),
		held:       map[*simNode]heldVersion{},
		minVersion: map[*simNode]uint64{},
	}
	m.sim.check = func(n *simNode) { m.checkNode(t, n) }
	m.sim.apply(m.services)
	m.sim.start()
	return m
}

// checkNode checks the invariants of a node after each of its steps.
func (m *model) checkNode(t *rapid.T, n *simNode) {
	now := heldVersion{n.incarnation, n.machine.Snapshot().Version()}
	last := m.held[n]
	if last.incarnation == now.incarnation && now.version < last.version {
		t.Fatalf("%s regressed from version %d to %d", n.name, last.version, now.version)
	}
	if now != last {
		if err := contentError(m.sim, n); err != nil {
			t.Fatal(err)
		}
	}
	m.held[n] = now
	if n.machine.Ready() && now.version < m.minVersion[n] {
		t.Fatalf("%s is ready with version %d although a majority held %d when it started", n.name, now.version, m.minVersion[n])
	}
}

// majorityVersion returns the greatest version such that a majority of all hosts,
// not counting the given one, is ready with it or a later one.
func (m *model) majorityVersion(except *simNode) uint64 {
	var versions []uint64
	for _, n := range m.sim.nodes {
		if n != except {
			versions = append(versions, n.machine.Version())
		}
	}
	slices.Sort(versions)
	slices.Reverse(versions)
	return versions[min(len(m.sim.nodes)/2, len(versions)-1)]
}

func (m *model) node(t *rapid.T) *simNode {
	return m.sim.nodes[rapid.IntRange(0, len(m.sim.nodes)-1).Draw(t, "node")]
}

func (m *model) service(t *rapid.T) string {
	return rapid.SampledFrom(slices.Sorted(maps.Keys(m.services))).Draw(t, "service")
}

func (m *model) changeService(t *rapid.T) {
	change(m.services, m.service(t))
	m.sim.apply(m.services)
}

func (m *model) addService(*rapid.T) {
	m.created++
	s := testService(fmt.Sprintf("added-%d", m.created))
	m.services[s.Name] = s
	m.sim.apply(m.services)
}

func (m *model) removeService(t *rapid.T) {
	if len(m.services) < 2 {
		return
	}
	delete(m.services, m.service(t))
	m.sim.apply(m.services)
}

// undo applies a change and reverts it shortly afterwards, so that only some
// nodes see the intermediate version.
func (m *model) undo(t *rapid.T) {
	before := maps.Clone(m.services)
	change(m.services, m.service(t))
	m.sim.apply(m.services)
	m.sim.run(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms"))*time.Millisecond, nil)
	m.services = before
	m.sim.apply(m.services)
}

func (m *model) restart(t *rapid.T) {
	n := m.node(t)
	m.minVersion[n] = m.majorityVersion(n)
	m.sim.restart(n)
}

func (m *model) togglePartition(t *rapid.T) {
	n := m.node(t)
	n.partitioned = !n.partitioned
}

func (m *model) storeFault(t *rapid.T) {
	m.down = rapid.Bool().Draw(t, "down")
	m.sim.store.SetFaults(platformtest.Faults{Down: m.down})
}

func (m *model) network(t *rapid.T) {
	share := rapid.SampledFrom([]float64{0, 0.1, 0.4})
	m.sim.faults = netFaults{
		loss:        share.Draw(t, "loss"),
		duplication: share.Draw(t, "double"),
		delayed:     share.Draw(t, "late"),
		maxDelay:    5 * time.Second,
	}
}

func (m *model) wait(t *rapid.T) {
	m.sim.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms"))*time.Millisecond, nil)
}

// endFaults ends all faults and checks that all nodes hold the latest version.
func (m *model) endFaults(t *rapid.T) {
	m.sim.store.SetFaults(platformtest.Faults{})
	m.sim.faults = netFaults{}
	for _, n := range m.sim.nodes {
		n.partitioned = false
	}
	// The backoff of a node between two reads of the store is up to 30 s.
	const limit = 45 * time.Second
	if _, ok := m.sim.run(limit, m.sim.converged); !ok {
		for _, n := range m.sim.nodes {
			t.Logf("%s: ready %v, version %d", n.name, n.machine.Ready(), n.machine.Snapshot().Version())
		}
		t.Fatalf("not all nodes are ready with version %d at %v after the end of the faults", m.sim.latest, limit)
	}
}

// Guards against a node that returns to an older version, holds a configuration
// that was never applied, becomes ready with the version of a stale peer, or
// never obtains the latest one, under lost, delayed, duplicated and stale
// messages, restarts, network partitions and store outages.
func TestVersionsAreMonotonicAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"change":  m.changeService,
			"add":     m.addService,
			"remove":  m.removeService,
			"undo":    m.undo,
			"restart": m.restart,
			"cut":     m.togglePartition,
			"store":   m.storeFault,
			"network": m.network,
			"wait":    m.wait,
		})
		m.endFaults(t)
	})
}

// Guards against a restarted host that does not become ready during a store
// outage although a majority of the hosts reports the version.
func TestRestartInAnOutage(t *testing.T) {
	s := newSim(9, 3, 1)
	s.apply(testServices(3))
	s.start()
	s.run(time.Minute, s.converged)
	s.store.SetFaults(platformtest.Faults{Down: true})
	s.restart(s.nodes[0])
	s.restart(s.nodes[1])
	if took, ok := s.run(time.Minute, s.converged); !ok || took > 5*time.Second {
		t.Errorf("restarted hosts: converged after %v (%v), want within 5 s", took, ok)
	}
}

// Guards against a host that becomes ready in an outage after only a minority,
// which may be stale, has reported versions.
func TestMinorityDoesNotMakeReady(t *testing.T) {
	s := newSim(9, 3, 1)
	s.apply(testServices(3))
	s.start()
	s.run(time.Minute, s.converged)
	s.store.SetFaults(platformtest.Faults{Down: true})
	for _, n := range s.nodes[4:] {
		n.partitioned = true
	}
	s.restart(s.nodes[0])
	s.run(time.Minute, nil)
	if n := s.nodes[0]; n.machine.Ready() || n.machine.Version() != 0 {
		t.Errorf("got a ready host or version %d after 3 of 8 others responded, want unready with 0", n.machine.Version())
	}
}

// Guards against a full response where the changes suffice, and against an
// incremental one where the history does not cover the requested version.
func TestResponseIsIncrementalOrFull(t *testing.T) {
	s := newSim(1, 1, 1)
	services := testServices(3)
	s.apply(services)
	s.start()
	s.run(10*time.Second, nil)
	change(services, "service-1")
	s.apply(services)
	s.run(time.Second, nil)
	delete(services, "service-2")
	s.apply(services)
	s.run(time.Second, nil)
	p := s.nodes[0].machine.Published()
	for _, c := range []struct {
		since            uint64
		full             bool
		entries, removed int
	}{
		{since: 0, full: true, entries: 2},
		{since: 1, entries: 1, removed: 1},
		{since: 2, removed: 1},
		{since: 3},
		{since: 9},
	} {
		got := p.Respond(&peerapi.FetchConfigRequest{Since: c.since})
		if got.Version != 3 || got.Full != c.full || len(got.Entries) != c.entries || len(got.Removed) != c.removed {
			t.Errorf("since %d: version %d, full %v, %d entries, removed %v", c.since, got.Version, got.Full, len(got.Entries), got.Removed)
		}
	}
}

// Guards against a node that adopts a corrupt response, or changes since a
// version that it does not hold.
func TestCorruptResponseIsRejected(t *testing.T) {
	m := confsync.New(confsync.Options{Self: "a", Zone: "z", Rand: newSim(1, 1, 1).rand, Start: time.Unix(0, 0)})
	now := time.Unix(1, 0)
	m.Handle(now, confsync.StoreUpdate{Update: confstore.Update{Snapshot: config.NewSnapshot(1, nil)}})
	for _, e := range []*peerapi.ConfigEntry{{Name: "s"}, {Name: "s", Body: []byte("no gzip")}} {
		resp := &peerapi.FetchConfigResponse{Version: 2, Entries: []*peerapi.ConfigEntry{e}}
		m.Handle(now, confsync.FetchDone{Peer: "b", Since: 1, Response: resp})
	}
	future := &peerapi.FetchConfigResponse{Version: 9}
	m.Handle(now, confsync.FetchDone{Peer: "b", Since: 5, Response: future})
	if v := m.Snapshot().Version(); v != 1 {
		t.Errorf("got version %d after invalid responses, want 1", v)
	}
}

// Guards against restarted hosts that report a stale version to each other
// before they are ready: each would count the other towards the majority.
func TestRestartedHostsDoNotFormMajority(t *testing.T) {
	s := newSim(5, 1, 1)
	services := testServices(3)
	s.apply(services)
	s.start()
	s.run(time.Minute, s.converged)
	stale := s.nodes[3:]
	for _, n := range stale {
		n.partitioned = true
	}
	// The simulated partition separates hosts from each other, but not from the
	// store. A node marked as watching without a known version neither starts nor
	// continues a watch.
	for _, n := range stale {
		n.watching, n.known = true, 0
	}
	change(services, "service-1")
	s.apply(services)
	s.run(time.Minute, s.converged)
	s.store.SetFaults(platformtest.Faults{Down: true})
	for _, n := range stale {
		if v := n.machine.Version(); v != 1 {
			t.Fatalf("%s holds version %d, but the test needs the stale version 1", n.name, v)
		}
		n.partitioned = false
	}
	s.nodes[0].partitioned = true
	for _, n := range s.nodes[1:3] {
		s.restart(n)
	}
	s.run(time.Minute, nil)
	for _, n := range s.nodes[1:3] {
		if n.machine.Ready() {
			t.Errorf("%s is ready with version %d, which only 2 of 5 hosts reported", n.name, n.machine.Snapshot().Version())
		}
	}
	s.nodes[0].partitioned = false
	if took, ok := s.run(time.Minute, s.converged); !ok {
		t.Errorf("not all hosts hold the latest version %v after the last partition ended", took)
	}
}
