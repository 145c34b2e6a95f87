package confsync_test

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/confstore"
	"github.com/gypsumgap/gypsumgap/core/confsync"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/platform"
	"github.com/gypsumgap/gypsumgap/core/platform/platformtest"
)

// One-way latencies and other timing of the simulated network.
const (
	zoneLatency   = 500 * time.Microsecond
	regionLatency = 1500 * time.Microsecond
	remoteLatency = 20 * time.Millisecond
	storeLatency  = 5 * time.Millisecond
	// fetchWork is the processing time of a fetch, in addition to its latency.
	fetchWork = 2 * time.Millisecond
	// callTimeout bounds a call to a peer.
	callTimeout   = time.Second
	probeInterval = time.Second
	watchInterval = time.Minute
	watchRetry    = time.Second
)

var errNoResponse = errors.New("no response from the peer")

// sim simulates machines, a network with faults and a store in virtual time.
type sim struct {
	now    time.Time
	rand   *rand.Rand
	queue  eventQueue
	seq    int
	nodes  []*simNode
	byName map[string]*simNode
	store  *platformtest.Store
	// history holds every applied configuration by its version.
	history map[uint64]*config.Snapshot
	latest  uint64

	faults    netFaults
	announces int
	fetches   int
	probes    int
	check     func(*simNode)
}

// netFaults are the faults of the simulated network.
type netFaults struct {
	// loss, duplication and delayed are the shares of messages affected.
	loss, duplication, delayed float64
	// maxDelay is the greatest extra latency of a delayed message.
	maxDelay time.Duration
}

type simNode struct {
	name, zone, region string
	machine            *confsync.Machine
	executor           *confsync.Executor
	incarnation        int
	// partitioned is true while messages to and from other nodes are dropped.
	partitioned bool
	watching    bool
	known       platform.Version
}

type simEvent struct {
	at  time.Time
	seq int
	run func()
}

type eventQueue []simEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// newSim returns a simulation of n nodes, spread over the given number of zones
// in regions of three zones each.
func newSim(n, zones int, seed uint64) *sim {
	s := &sim{
		now:     time.Unix(0, 0),
		rand:    rand.New(rand.NewPCG(seed, 1)),
		byName:  map[string]*simNode{},
		store:   platformtest.New(platformtest.Options{}),
		history: map[uint64]*config.Snapshot{0: config.NewSnapshot(0, nil)},
	}
	for i := range n {
		z := i % zones
		node := &simNode{
			name:   fmt.Sprintf("host-%d", i),
			zone:   fmt.Sprintf("zone-%d", z),
			region: fmt.Sprintf("region-%d", z/3),
		}
		node.executor = &confsync.Executor{Self: node.name, Store: s.store}
		s.nodes = append(s.nodes, node)
		s.byName[node.name] = node
	}
	return s
}

// start starts all nodes.
func (s *sim) start() {
	for _, n := range s.nodes {
		s.restart(n)
	}
}

// restart starts a node without a configuration.
func (s *sim) restart(n *simNode) {
	n.incarnation++
	n.watching = false
	n.known = 0
	n.machine = confsync.New(confsync.Options{
		Self:  n.name,
		Zone:  n.zone,
		Rand:  rand.New(rand.NewPCG(s.rand.Uint64(), 2)),
		Start: s.now,
	})
	n.machine.SetMembers(s.members())
	s.repeat(n, confsync.TickInterval, func() { s.perform(n, n.machine.Tick(s.now)) })
	s.repeat(n, probeInterval, func() { s.probe(n) })
}

func (s *sim) members() []confsync.Member {
	var out []confsync.Member
	for _, n := range s.nodes {
		out = append(out, confsync.Member{Name: n.name, Zone: n.zone})
	}
	return out
}

// repeat runs f at an interval, with a random phase, until the node restarts.
func (s *sim) repeat(n *simNode, interval time.Duration, f func()) {
	var again func()
	again = func() {
		f()
		s.afterOn(n, interval, again)
	}
	s.afterOn(n, time.Duration(s.rand.Int64N(int64(interval))), again)
}

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), seq: s.seq, run: f})
}

// afterOn runs f unless the node has restarted meanwhile.
func (s *sim) afterOn(n *simNode, d time.Duration, f func()) {
	incarnation := n.incarnation
	s.after(d, func() {
		if n.incarnation == incarnation {
			f()
		}
	})
}

// run lets virtual time pass until done returns true or d is over; it returns
// the time passed and whether done was true.
func (s *sim) run(d time.Duration, done func() bool) (time.Duration, bool) {
	start := s.now
	end := start.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
		if done != nil && done() {
			return s.now.Sub(start), true
		}
	}
	s.now = end
	return d, false
}

// handle passes an event to a node.
func (s *sim) handle(n *simNode, e confsync.Event) {
	s.perform(n, n.machine.Handle(s.now, e))
}

// perform makes the calls that a node requests.
func (s *sim) perform(n *simNode, actions []confsync.Action) {
	if s.check != nil {
		s.check(n)
	}
	s.startWatch(n)
	for _, a := range actions {
		switch a := a.(type) {
		case confsync.Announce:
			s.announces++
			s.exchange(n, a.Peer, a.Version, func(version uint64, err error) confsync.Event {
				return confsync.AnnounceDone{Peer: a.Peer, Version: version, Err: err}
			})
		case confsync.Fetch:
			s.fetches++
			s.fetch(n, a)
		default:
			s.callStore(n, a)
		}
	}
}

// probe sends the heartbeat of the membership table to a random host.
func (s *sim) probe(n *simNode) {
	s.probes++
	peer := s.nodes[s.rand.IntN(len(s.nodes))]
	if peer == n {
		return
	}
	s.exchange(n, peer.name, n.machine.Version(), func(version uint64, err error) confsync.Event {
		if err != nil {
			return nil
		}
		return confsync.PeerVersion{Peer: peer.name, Version: version}
	})
}

// exchange sends a version and receives the peer's.
func (s *sim) exchange(n *simNode, to string, version uint64, done func(uint64, error) confsync.Event) {
	peer := s.byName[to]
	s.call(n, peer, 0, func() any {
		s.handle(peer, confsync.PeerVersion{Peer: n.name, Version: version})
		return peer.machine.Version()
	}, func(answer any, err error) {
		told, _ := answer.(uint64)
		if e := done(told, err); e != nil {
			s.handle(n, e)
		}
	})
}

func (s *sim) fetch(n *simNode, a confsync.Fetch) {
	peer := s.byName[a.Peer]
	s.call(n, peer, fetchWork, func() any {
		return peer.machine.Published().Respond(&peerapi.FetchConfigRequest{From: n.name, Since: a.Since})
	}, func(answer any, err error) {
		resp, _ := answer.(*peerapi.FetchConfigResponse)
		s.handle(n, confsync.FetchDone{Peer: a.Peer, Since: a.Since, Response: resp, Err: err})
	})
}

// call makes a call to a peer. A call whose request or response is lost fails
// after callTimeout. A response later than that arrives after the failure.
func (s *sim) call(n, peer *simNode, work time.Duration, serve func() any, done func(any, error)) {
	answered := false
	s.afterOn(n, callTimeout, func() {
		if !answered {
			answered = true
			done(nil, errNoResponse)
		}
	})
	s.send(n, peer, func() {
		answer := serve()
		incarnation := n.incarnation
		s.send(peer, n, func() {
			if n.incarnation != incarnation {
				return
			}
			answered = true
			s.after(work, func() {
				if n.incarnation == incarnation {
					done(answer, nil)
				}
			})
		})
	})
}

// send delivers a message, subject to the faults of the network.
func (s *sim) send(from, to *simNode, deliver func()) {
	copies := 1
	if s.rand.Float64() < s.faults.duplication {
		copies = 2
	}
	for range copies {
		if s.rand.Float64() < s.faults.loss {
			continue
		}
		d := s.latency(from, to)
		if s.rand.Float64() < s.faults.delayed {
			d += time.Duration(s.rand.Int64N(int64(s.faults.maxDelay)))
		}
		s.after(d, func() {
			if !from.partitioned && !to.partitioned {
				deliver()
			}
		})
	}
}

func (s *sim) latency(a, b *simNode) time.Duration {
	d := remoteLatency
	switch {
	case a.zone == b.zone:
		d = zoneLatency
	case a.region == b.region:
		d = regionLatency
	}
	return d + time.Duration(s.rand.Int64N(int64(d)))
}

// callStore makes a call to the store. The store takes no virtual time, so the
// latency is added here.
func (s *sim) callStore(n *simNode, a confsync.Action) {
	s.afterOn(n, storeLatency, func() {
		e := n.executor.Execute(context.Background(), a, n.machine.Published())
		s.afterOn(n, storeLatency, func() { s.handle(n, e) })
	})
}

// startWatch starts the watch of a node that is to watch the store.
func (s *sim) startWatch(n *simNode) {
	if n.watching || !n.machine.Watching() {
		return
	}
	n.watching = true
	s.afterOn(n, 0, func() { s.watch(n) })
}

// watch makes one watch call. It replaces confstore.Watcher, which cannot run in
// the simulation's virtual time.
func (s *sim) watch(n *simNode) {
	if !n.machine.Watching() {
		n.watching = false
		return
	}
	ctx := context.Background()
	obj, err := s.store.Watch(ctx, confstore.RootKey, n.known, 0)
	if err != nil {
		s.afterOn(n, watchRetry, func() { s.watch(n) })
		return
	}
	if obj.Version == n.known && n.known != 0 {
		s.afterOn(n, watchInterval, func() {
			if n.known == obj.Version {
				s.watch(n)
			}
		})
		return
	}
	update, err := confstore.LoadUpdate(ctx, s.store, n.machine.Snapshot())
	if err != nil {
		s.afterOn(n, watchRetry, func() { s.watch(n) })
		return
	}
	n.known = obj.Version
	s.afterOn(n, 2*storeLatency, func() { s.handle(n, confsync.StoreUpdate{Update: update}) })
	s.watch(n)
}

// apply makes the services the current version and wakes the watches.
func (s *sim) apply(services map[string]config.Service) {
	var list []config.Service
	for _, service := range services {
		list = append(list, service)
	}
	next := config.NewSnapshot(0, list)
	ctx := context.Background()
	base, err := confstore.Load(ctx, s.store, s.history[s.latest])
	if err != nil {
		return
	}
	result, err := confstore.Apply(ctx, s.store, base, next)
	if err != nil {
		panic(err)
	}
	s.latest = result.Version
	s.history[s.latest] = next.With(s.latest, nil, nil)
	for _, n := range s.nodes {
		if n.watching && n.known != 0 {
			s.afterOn(n, storeLatency, func() { s.watch(n) })
		}
	}
}

// converged reports whether every node that is not partitioned is ready and
// holds the latest version.
func (s *sim) converged() bool {
	for _, n := range s.nodes {
		if !n.partitioned && (!n.machine.Ready() || n.machine.Snapshot().Version() != s.latest) {
			return false
		}
	}
	return true
}

// testServices returns small services by name.
func testServices(count int) map[string]config.Service {
	out := map[string]config.Service{}
	for i := range count {
		s := testService(fmt.Sprintf("service-%d", i))
		out[s.Name] = s
	}
	return out
}

func testService(name string) config.Service {
	return config.Service{
		Name:          name,
		CommitTimeout: config.DefaultCommitTimeout,
		Callers:       []config.Caller{{User: "crew"}},
		Databases: []config.Database{{
			Name:            name + "-a",
			ConnectionLimit: 45,
			Slots:           []group.Slot{{ID: group.SlotID(name + "-a/0"), Zone: "zone-0"}},
		}},
	}
}

// change changes one service.
func change(services map[string]config.Service, name string) {
	s := services[name]
	s.CommitTimeout++
	services[name] = s
}

// contentError returns an error if a node's configuration differs from the one
// applied as its version.
func contentError(s *sim, n *simNode) error {
	got := n.machine.Snapshot()
	if changes := config.Diff(s.history[got.Version()], got); len(changes) > 0 {
		return fmt.Errorf("%s: configuration differs from the applied version %d: %v", n.name, got.Version(), changes)
	}
	return nil
}
