package confsync_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/confstore"
	"github.com/gypsumgap/gypsumgap/core/confsync"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
)

// fleet is a deployment size and the limit for the time in which a new version
// reaches all nodes.
type fleet struct {
	nodes, zones int
	goal         time.Duration
}

var fleets = []fleet{
	{nodes: 21, zones: 3, goal: 2 * time.Second},
	{nodes: 250, zones: 1, goal: 6 * time.Second},
	{nodes: 1000, zones: 4, goal: 6 * time.Second},
	{nodes: 3000, zones: 12, goal: 6 * time.Second},
}

// propagationCost is the time until all nodes hold a new version, and the
// messages and store calls that this takes.
type propagationCost struct {
	time      time.Duration
	announces int
	fetches   int
	calls     int
}

// propagate starts a fleet, applies one change and returns its cost. prepare, if
// not nil, may inject faults before the change.
func propagate(t testing.TB, f fleet, prepare func(*sim)) propagationCost {
	t.Helper()
	s := newSim(f.nodes, f.zones, 20261204)
	services := testServices(20)
	s.apply(services)
	s.start()
	if took, ok := s.run(time.Minute, s.converged); !ok {
		t.Fatalf("%d nodes did not start within %v", f.nodes, took)
	}
	s.run(5*time.Second, nil)
	if prepare != nil {
		prepare(s)
	}
	before := propagationCost{announces: s.announces, fetches: s.fetches, calls: s.store.Counts().Total()}
	change(services, "service-7")
	s.apply(services)
	// The store calls of the apply are made by the operator, not by the fleet.
	before.calls = s.store.Counts().Total()
	took, ok := s.run(time.Minute, s.converged)
	if !ok {
		t.Fatalf("%d nodes do not all hold the version after %v", f.nodes, took)
	}
	return propagationCost{
		time:      took,
		announces: s.announces - before.announces,
		fetches:   s.fetches - before.fetches,
		calls:     s.store.Counts().Total() - before.calls,
	}
}

// Guards against a version that takes longer than the goal to reach all nodes,
// against more than a few messages per node, and against store calls that grow
// with the number of nodes.
func TestVersionReachesAllNodes(t *testing.T) {
	for _, f := range fleets {
		t.Run(fmt.Sprint(f.nodes), func(t *testing.T) {
			got := propagate(t, f, nil)
			t.Logf("%+v", got)
			if got.time > f.goal {
				t.Errorf("the version took %v, the goal is %v", got.time, f.goal)
			}
			if limit := 3 * f.nodes; got.announces > limit {
				t.Errorf("got %d announcements, want at most %d", got.announces, limit)
			}
			if limit := 2 * f.nodes; got.fetches > limit {
				t.Errorf("got %d fetches, want at most %d", got.fetches, limit)
			}
			// Each of the two watchers of a zone returns from its watch, reads the
			// root and one chunk, and starts the next watch.
			if limit := 8 * f.zones; got.calls > limit {
				t.Errorf("got %d store calls, want at most %d", got.calls, limit)
			}
		})
	}
}

// Guards against a push that fails if some hosts or messages do: the watchers of
// a zone are partitioned, and the network loses and duplicates messages.
func TestVersionReachesAllNodesWithFaults(t *testing.T) {
	for _, f := range fleets[:3] {
		t.Run(fmt.Sprint(f.nodes), func(t *testing.T) {
			got := propagate(t, f, func(s *sim) {
				s.faults = netFaults{loss: 0.05, duplication: 0.05}
				cut := 0
				for _, n := range s.nodes {
					if n.machine.Watching() && n.zone == "zone-0" && cut < f.zones {
						n.partitioned = true
						cut++
					}
				}
			})
			t.Logf("%+v", got)
			if got.time > f.goal {
				t.Errorf("the version took %v, the goal is %v", got.time, f.goal)
			}
		})
	}
}

// Guards against a restart of many hosts that overloads the store: each host may
// read the version from the store, but fetches the configuration from peers.
func TestRestartsCostOneStoreCallEach(t *testing.T) {
	s := newSim(100, 2, 1)
	s.apply(testServices(20))
	s.start()
	if _, ok := s.run(time.Minute, s.converged); !ok {
		t.Fatal("the nodes did not start")
	}
	s.run(5*time.Second, nil)
	before := s.store.Counts()
	restarted := 0
	for _, n := range s.nodes {
		if !n.machine.Watching() && n.zone == "zone-0" {
			s.restart(n)
			restarted++
		}
	}
	took, ok := s.run(time.Minute, s.converged)
	if !ok || took > 2*time.Second {
		t.Errorf("the restarted nodes took %v to hold the version, want at most 2 s", took)
	}
	if got := s.store.Counts().Total() - before.Total(); got > restarted {
		t.Errorf("%d restarts made %d store calls, want at most one each", restarted, got)
	}
}

// BenchmarkPropagation reports the virtual time until all nodes hold a new
// version, and the messages and store calls for it.
func BenchmarkPropagation(b *testing.B) {
	for _, f := range fleets {
		b.Run(fmt.Sprintf("nodes=%d", f.nodes), func(b *testing.B) {
			var got propagationCost
			for range b.N {
				got = propagate(b, f, nil)
			}
			b.ReportMetric(float64(got.time.Milliseconds()), "virtual-ms")
			b.ReportMetric(float64(got.announces), "announcements")
			b.ReportMetric(float64(got.fetches), "fetches")
			b.ReportMetric(float64(got.calls), "store-calls")
		})
	}
}

// targetConfiguration returns a configuration of the target size: 19,000
// databases of five slots.
func targetConfiguration() *config.Snapshot {
	const databases, perService, slots = 19_000, 3, 5
	var services []config.Service
	for i := range (databases + perService - 1) / perService {
		s := testService(fmt.Sprintf("service-%d", i))
		s.Databases = nil
		for d := range min(perService, databases-i*perService) {
			db := config.Database{Name: fmt.Sprintf("%s-%d", s.Name, d), ConnectionLimit: 45}
			for j := range slots {
				db.Slots = append(db.Slots, group.Slot{
					ID:      group.SlotID(fmt.Sprintf("%s/%d", db.Name, j)),
					Address: fmt.Sprintf("10.%d.%d.%d:5432", i>>8, i&255, d*slots+j),
					Zone:    fmt.Sprintf("zone-%d", j),
				})
			}
			s.Databases = append(s.Databases, db)
		}
		services = append(services, s)
	}
	return config.NewSnapshot(1, services)
}

// BenchmarkTakeChange measures the work of a node that adopts a change of one
// service from a peer and responds to the fetch of another, at 19,000 databases.
func BenchmarkTakeChange(b *testing.B) {
	target := targetConfiguration()
	start := time.Unix(0, 0)
	options := func(name string) confsync.Options {
		return confsync.Options{Self: name, Zone: "z", Rand: rand.New(rand.NewPCG(1, 1)), Start: start}
	}
	source, receiver := confsync.New(options("giver")), confsync.New(options("taker"))
	for _, m := range []*confsync.Machine{source, receiver} {
		m.Handle(start, confsync.StoreUpdate{Update: confstore.Update{Snapshot: target}})
	}
	var responses []*peerapi.FetchConfigResponse
	for i := range 64 {
		version := uint64(i + 2)
		service := *target.Service("service-77")
		service.CommitTimeout += config.Duration(i + 1)
		next := source.Snapshot().With(version, []*config.Service{&service}, nil)
		update := confstore.Update{Base: version - 1, Snapshot: next, Touched: []string{service.Name}, Complete: true}
		source.Handle(start, confsync.StoreUpdate{Update: update})
		responses = append(responses, source.Published().Respond(&peerapi.FetchConfigRequest{Since: version - 1}))
	}
	bytes := proto.Size(responses[0])
	full := proto.Size(source.Published().Respond(&peerapi.FetchConfigRequest{}))
	b.ResetTimer()
	for i := range b.N {
		// The responses are reused cyclically with increasing versions.
		resp := &peerapi.FetchConfigResponse{Version: uint64(i + 2), Entries: responses[i%len(responses)].Entries}
		receiver.Handle(start, confsync.FetchDone{Peer: "giver", Since: uint64(i + 1), Response: resp})
		receiver.Published().Respond(&peerapi.FetchConfigRequest{Since: uint64(i + 1)})
	}
	if v := receiver.Snapshot().Version(); v != uint64(b.N+1) {
		b.Fatalf("got version %d, want %d", v, b.N+1)
	}
	b.ReportMetric(float64(bytes), "response-bytes")
	b.ReportMetric(float64(full), "full-response-bytes")
}
