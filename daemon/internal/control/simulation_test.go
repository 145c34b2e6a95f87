package control

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/confstore"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/group/grouptest"
	"github.com/gypsumgap/gypsumgap/core/group/pgcontrol"
	"github.com/gypsumgap/gypsumgap/core/membership"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/platform"
	"github.com/gypsumgap/gypsumgap/core/platform/platformtest"
	"github.com/gypsumgap/gypsumgap/core/shares"
	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
	"github.com/gypsumgap/gypsumgap/daemon/internal/upstream"
)

const (
	dbName     = "w1"
	latency    = 2 * time.Millisecond
	loginDelay = 12 * time.Millisecond
)

var errLost = errors.New("message lost")

// simulation runs several controllers against one fake store and one fake group,
// with faults on every path, and counts connections at the backend servers.
type simulation struct {
	t     testing.TB
	store *platformtest.Store
	group *grouptest.Group
	slots []group.Slot
	limit int

	mu         sync.Mutex
	rng        *rand.Rand
	loss       float64
	hosts      map[string]*proc   // by peer address
	cuts       map[[2]string]bool // pairs of names that cannot reach each other
	conns      map[group.SlotID]map[*fakeConn]bool
	maxOpen    map[group.SlotID]int // the most connections so far
	violations []string
	version    uint64
}

// proc is one host process.
type proc struct {
	sim     *simulation
	name    string
	address string
	label   string
	holder  shares.Holder
	ctl     *Controller
	cancel  context.CancelFunc
	done    chan struct{}
	load    sync.WaitGroup

	mu       sync.Mutex
	dead     bool
	storeCut bool
	resumed  chan struct{} // closed while the process is not paused
}

func newSimulation(t testing.TB, seed uint64, slots int) *simulation {
	sim := &simulation{
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		slots:   grouptest.Slots(slots, "za", "zb", "zc"),
		limit:   10,
		hosts:   map[string]*proc{},
		cuts:    map[[2]string]bool{},
		conns:   map[group.SlotID]map[*fakeConn]bool{},
		maxOpen: map[group.SlotID]int{},
	}
	for i := range sim.slots {
		sim.slots[i].Region = "r"
		sim.conns[sim.slots[i].ID] = map[*fakeConn]bool{}
	}
	sim.store = platformtest.New(platformtest.Options{HostLag: 3 * time.Second})
	sim.group = grouptest.New(grouptest.Options{Slots: sim.slots, Latency: grouptest.Uniform(latency, latency)})
	sim.group.Bootstrap(0)
	sim.applyConfig(sim.limit, sim.slots)
	return sim
}

// applyConfig writes a new configuration version to the store.
func (sim *simulation) applyConfig(limit int, slots []group.Slot) {
	sim.t.Helper()
	sim.version++
	service := config.Service{
		Name:          "werkplaats-db",
		CommitTimeout: config.Duration(5 * time.Second),
		// The value differs in each version, since an unchanged configuration
		// yields no new version.
		ReplicaWait: config.Duration(20*time.Millisecond) + config.Duration(sim.version),
		Failover: config.FailoverPolicy{
			ProbeIdle:    config.Duration(time.Second),
			ProbeSuspect: config.Duration(250 * time.Millisecond),
			Misses:       3,
		},
		Databases: []config.Database{{Name: dbName, Slots: slots, ConnectionLimit: limit}},
		Classes:   []config.Class{{Name: "job-card", Deadline: config.Duration(5 * time.Second), QueueLimit: 200}},
	}
	base, err := confstore.Load(context.Background(), sim.store, nil)
	if err == nil {
		_, err = confstore.Apply(context.Background(), sim.store, base, config.NewSnapshot(sim.version, []config.Service{service}))
	}
	if err != nil {
		sim.t.Fatalf("apply configuration: %v", err)
	}
}

func hostName(i int) string { return fmt.Sprintf("e%d", i) }

func zoneOf(i int) string { return []string{"za", "zb", "zc"}[i%3] }

// start starts a process of host i.
func (sim *simulation) start(i int) *proc {
	name := hostName(i)
	p := &proc{
		sim: sim, name: name, address: name + ":8432",
		holder:  shares.Holder{Host: name, Incarnation: uint64(time.Now().UnixMicro())},
		done:    make(chan struct{}),
		resumed: make(chan struct{}),
	}
	close(p.resumed)
	p.label = upstream.ApplicationName(name, strconv.FormatUint(p.holder.Incarnation, 10))
	log := logrus.New()
	log.SetOutput(io.Discard)
	if testing.Verbose() {
		log.SetOutput(sim.t.Output())
	}
	sim.mu.Lock()
	seed := sim.rng.Uint64()
	sim.hosts[p.address] = p
	sim.mu.Unlock()
	p.ctl = New(Options{
		Self: membership.Member{
			Name: name, PeerAddress: p.address, ForwardAddress: name + ":7432",
			Zone: zoneOf(i), Region: "r", Incarnation: p.holder.Incarnation,
		},
		Peers:       []string{"e0:8432", "e1:8432", "e2:8432"},
		PeerClient:  &peerClient{p},
		GroupClient: &groupClient{p.sim.group.Client(grouptest.Host{Name: name, Zone: zoneOf(i)}), p},
		Rand:        rand.New(rand.NewPCG(seed, 2)),
		Store:       &hostStore{p, sim.store},
		DialSlot:    p.dial,
		Members:     membership.DefaultOptions(),
		Log:         log.WithField("host", name),
	})
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() {
		defer close(p.done)
		p.ctl.Run(ctx)
	}()
	return p
}

// list sets the platform's host list to the first n hosts.
func (sim *simulation) list(n int) {
	var hosts []platform.Host
	for i := range n {
		name := hostName(i)
		hosts = append(hosts, platform.Host{Name: name, Address: name + ":8432", Zone: zoneOf(i), Region: "r", State: platform.HostLive})
	}
	sim.store.SetHosts(hosts)
}

// kill ends the process abruptly. Its connections close, and it releases nothing.
func (p *proc) kill() {
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	p.resume()
	p.stop()
}

// exit ends the process after it has released its share as far as it can.
func (p *proc) exit() {
	p.resume()
	p.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
}

// stop ends the process in the same way as the end of a drain.
func (p *proc) stop() {
	p.cancel()
	<-p.done
	p.sim.dropConnections(p)
}

// pause blocks the process's control goroutine and all of its I/O. It has no
// effect on a paused process.
func (p *proc) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.resumed:
	default:
		return
	}
	p.resumed = make(chan struct{})
	p.ctl.post(paused{p.resumed})
}

func (p *proc) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.resumed:
	default:
		close(p.resumed)
	}
}

// paused is an event that blocks the control goroutine until resumed is closed.
type paused struct{ resumed chan struct{} }

func (e paused) apply(*Controller, time.Time) { <-e.resumed }

// waitResumed returns when the process is not paused.
func (p *proc) waitResumed() {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	<-resumed
}

// waitReachable waits until the process is not paused or ctx ends.
func (p *proc) waitReachable(ctx context.Context) error {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *proc) isDead() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead
}

func (p *proc) setStore(ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeCut = !ok
}

// runLoad starts n goroutines that send requests to the host's own database until
// ctx ends. Each request holds its connection for the given time.
func (p *proc) runLoad(ctx context.Context, n int, hold time.Duration) {
	directory := Directory{Board: p.ctl.Board()}
	for i := range n {
		p.load.Go(func() {
			for ctx.Err() == nil {
				p.waitResumed()
				p.request(ctx, directory, i%2 == 0, hold)
				sleepFor(ctx, 100*time.Millisecond)
			}
		})
	}
}

func (p *proc) request(ctx context.Context, d Directory, reads bool, hold time.Duration) {
	local := d.Local(dbName)
	if local == nil || p.isDead() {
		return
	}
	now := time.Now()
	r := route.Request{Database: dbName, User: "u", Arrived: now, Deadline: now.Add(2 * time.Second), ReadOnly: reads}
	if reads {
		r.Token = route.TokenNone
	}
	tx, err := local.Begin(ctx, r)
	if err != nil {
		return
	}
	sleepFor(ctx, hold)
	tx.Release(true)
}

func sleepFor(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// group returns the host's view of the database, or nil if it is not an owner.
func (p *proc) group() *groupView {
	g, ok := p.ctl.Board().View().Groups[dbName]
	if !ok {
		return nil
	}
	return &groupView{rank: g.Rank, share: g.Share(), open: g.Router.MaxOpenConnections()}
}

type groupView struct{ rank, share, open int }

// fakeConn is a simulated connection to a backend server.
type fakeConn struct {
	p    *proc
	slot group.SlotID
}

// Ping implements route.Conn.
func (c *fakeConn) Ping(context.Context) error {
	c.p.waitResumed()
	c.p.sim.mu.Lock()
	defer c.p.sim.mu.Unlock()
	if !c.p.sim.conns[c.slot][c] {
		return errLost
	}
	return nil
}

// Close implements route.Conn.
func (c *fakeConn) Close() error {
	c.p.sim.mu.Lock()
	defer c.p.sim.mu.Unlock()
	delete(c.p.sim.conns[c.slot], c)
	return nil
}

// dial opens a connection, counts it at the backend server and records a
// violation if the limit is exceeded.
func (p *proc) dial(ctx context.Context, t route.Target) (route.Conn, error) {
	id := group.SlotID(t.Peer)
	p.waitResumed()
	if p.sim.isCut(p.name, t.Peer) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	sleepFor(ctx, loginDelay)
	p.waitResumed()
	if ctx.Err() != nil || p.isDead() {
		return nil, errLost
	}
	if p.sim.group.Status(p.sim.slotIndex(id)).AcceptedTerm == 0 {
		return nil, errLost
	}
	c := &fakeConn{p: p, slot: id}
	p.sim.mu.Lock()
	defer p.sim.mu.Unlock()
	p.sim.conns[id][c] = true
	open := len(p.sim.conns[id])
	p.sim.maxOpen[id] = max(p.sim.maxOpen[id], open)
	if open > p.sim.limit {
		p.sim.violations = append(p.sim.violations, fmt.Sprintf("%s: %d connections to %s, limit %d: %v",
			time.Now().Format("15:04:05.000"), open, id, p.sim.limit, p.sim.connectionsByLabel(id)))
	}
	return c, nil
}

func (sim *simulation) connectionsByLabel(id group.SlotID) map[string]int {
	by := map[string]int{}
	for c := range sim.conns[id] {
		by[c.p.label]++
	}
	return by
}

func (sim *simulation) slotIndex(id group.SlotID) int {
	return slices.IndexFunc(sim.slots, func(s group.Slot) bool { return s.ID == id })
}

// dropConnections makes the backend servers close the process's connections,
// which the process does not notice.
func (sim *simulation) dropConnections(p *proc) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, conns := range sim.conns {
		for c := range conns {
			if c.p == p {
				delete(conns, c)
			}
		}
	}
}

func (sim *simulation) cut(a, b string, on bool) {
	sim.mu.Lock()
	sim.cuts[[2]string{a, b}], sim.cuts[[2]string{b, a}] = on, on
	sim.mu.Unlock()
	if sim.slotIndex(group.SlotID(b)) < 0 {
		return
	}
	if on {
		sim.group.CutBoth(a, b)
	} else {
		sim.group.Heal(a, b)
	}
}

func (sim *simulation) isCut(a, b string) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.cuts[[2]string{a, b}]
}

func (sim *simulation) drawLoss() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.rng.Float64() < sim.loss
}

// stored returns the allocation in the store, regardless of injected faults.
func (sim *simulation) stored() shares.Allocation {
	sim.t.Helper()
	before := sim.store.Faults()
	sim.store.SetFaults(platformtest.Faults{})
	obj, err := sim.store.Get(context.Background(), shares.Key(dbName))
	sim.store.SetFaults(before)
	if errors.Is(err, platform.ErrNotFound) {
		return shares.Allocation{}
	}
	a, err := shares.Decode(obj.Value)
	if err != nil {
		sim.t.Fatal(err)
	}
	return a
}

// violation describes the first violation of the limit. It is empty if there was
// none.
func (sim *simulation) violation() string {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if len(sim.violations) == 0 {
		return ""
	}
	return fmt.Sprintf("limit exceeded %d times, first: %s", len(sim.violations), sim.violations[0])
}

func (sim *simulation) setLoss(rate float64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.loss = rate
}

func (sim *simulation) stopAll() {
	sim.mu.Lock()
	hosts := make([]*proc, 0, len(sim.hosts))
	for _, p := range sim.hosts {
		hosts = append(hosts, p)
	}
	sim.mu.Unlock()
	for _, p := range hosts {
		p.resume()
		p.stop()
		p.load.Wait()
	}
}

// hostStore is the store as one host sees it, with that host's faults.
type hostStore struct {
	p *proc
	platform.Store
}

func (s *hostStore) checkReachable() error {
	s.p.waitResumed()
	s.p.mu.Lock()
	defer s.p.mu.Unlock()
	if s.p.dead || s.p.storeCut {
		return platform.ErrUnavailable
	}
	return nil
}

// Get implements platform.Store.
func (s *hostStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if err := s.checkReachable(); err != nil {
		return platform.Object{}, err
	}
	obj, err := s.Store.Get(ctx, key)
	s.p.waitResumed()
	return obj, err
}

// Put implements platform.Store.
func (s *hostStore) Put(ctx context.Context, key string, value []byte, v platform.Version) (platform.Version, error) {
	if err := s.checkReachable(); err != nil {
		return 0, err
	}
	got, err := s.Store.Put(ctx, key, value, v)
	s.p.waitResumed()
	return got, err
}

// Watch implements platform.Store.
func (s *hostStore) Watch(ctx context.Context, key string, known platform.Version, wait time.Duration) (platform.Object, error) {
	if err := s.checkReachable(); err != nil {
		return platform.Object{}, err
	}
	return s.Store.Watch(ctx, key, known, wait)
}

// Hosts implements platform.Store.
func (s *hostStore) Hosts(ctx context.Context) ([]platform.Host, error) {
	if err := s.checkReachable(); err != nil {
		return nil, err
	}
	return s.Store.Hosts(ctx)
}

// groupClient is the group as one host sees it, with that host's faults.
type groupClient struct {
	group.Client
	p *proc
}

// Connections implements GroupClient.
func (c *groupClient) Connections(ctx context.Context, slot group.Slot) ([]pgcontrol.Connection, error) {
	c.p.waitResumed()
	if _, err := c.Status(ctx, slot); err != nil {
		if errors.Is(err, group.ErrUnreachable) && ctx.Err() == nil {
			err = fmt.Errorf("%w: %w", err, syscall.ECONNREFUSED)
		}
		return nil, err
	}
	c.p.sim.mu.Lock()
	defer c.p.sim.mu.Unlock()
	var out []pgcontrol.Connection
	for conn := range c.p.sim.conns[slot.ID] {
		out = append(out, pgcontrol.Connection{Application: conn.p.label})
	}
	return out, nil
}

// Close implements GroupClient.
func (c *groupClient) Close() {}

// peerClient calls the other controllers of the simulation.
type peerClient struct{ p *proc }

// Probe implements PeerClient.
func (c *peerClient) Probe(ctx context.Context, address string, r *peerapi.ProbeRequest) (*peerapi.ProbeResponse, error) {
	return c.Peer(address).Probe(ctx, r)
}

// Peer implements PeerClient.
func (c *peerClient) Peer(address string) peerapi.Peer { return link{c.p, address} }

// Close implements PeerClient.
func (c *peerClient) Close() {}

// link transfers calls from a process to the host with a peer address.
type link struct {
	from *proc
	to   string
}

func callPeer[Q, A any](ctx context.Context, l link, q Q, call func(PeerServer, context.Context, Q) (A, error)) (A, error) {
	var zero A
	sim := l.from.sim
	l.from.waitResumed()
	sim.mu.Lock()
	to := sim.hosts[l.to]
	sim.mu.Unlock()
	if to == nil || to.isDead() || l.from.isDead() {
		return zero, errLost
	}
	if sim.isCut(l.from.name, to.name) || sim.drawLoss() {
		<-ctx.Done()
		return zero, ctx.Err()
	}
	sleepFor(ctx, latency)
	if err := to.waitReachable(ctx); err != nil {
		return zero, err
	}
	a, err := call(to.ctl.Server(), ctx, q)
	sleepFor(ctx, latency)
	l.from.waitResumed()
	if err != nil || ctx.Err() != nil || sim.isCut(l.from.name, to.name) || sim.drawLoss() {
		return zero, errors.Join(errLost, err)
	}
	return a, nil
}

// Probe implements peerapi.Peer.
func (l link) Probe(ctx context.Context, r *peerapi.ProbeRequest) (*peerapi.ProbeResponse, error) {
	return callPeer(ctx, l, r, PeerServer.Probe)
}

// IndirectProbe implements peerapi.Peer.
func (l link) IndirectProbe(ctx context.Context, r *peerapi.IndirectProbeRequest) (*peerapi.IndirectProbeResponse, error) {
	return callPeer(ctx, l, r, PeerServer.IndirectProbe)
}

// FetchConfig implements peerapi.Peer.
func (l link) FetchConfig(ctx context.Context, r *peerapi.FetchConfigRequest) (*peerapi.FetchConfigResponse, error) {
	return callPeer(ctx, l, r, PeerServer.FetchConfig)
}

// Observe implements peerapi.Peer.
func (l link) Observe(ctx context.Context, r *peerapi.ObserveRequest) (*peerapi.ObserveResponse, error) {
	return callPeer(ctx, l, r, PeerServer.Observe)
}

// Samples implements peerapi.Peer.
func (l link) Samples(ctx context.Context, r *peerapi.SamplesRequest) (*peerapi.SamplesResponse, error) {
	return callPeer(ctx, l, r, PeerServer.Samples)
}

// inVirtualTime runs a test in a synctest bubble.
func inVirtualTime(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }

func (l link) Execute(ctx context.Context, r *peerapi.ExecuteRequest) (*peerapi.ExecuteResponse, error) {
	return callPeer(ctx, l, r, PeerServer.Execute)
}

func (l link) Follow(ctx context.Context, r *peerapi.FollowRequest) (*peerapi.FollowResponse, error) {
	return callPeer(ctx, l, r, PeerServer.Follow)
}

func (l link) WriteLease(ctx context.Context, r *peerapi.WriteLeaseRequest) (*peerapi.WriteLeaseResponse, error) {
	return callPeer(ctx, l, r, PeerServer.WriteLease)
}

func (l link) Suspend(ctx context.Context, r *peerapi.SuspendRequest) (*peerapi.SuspendResponse, error) {
	return callPeer(ctx, l, r, PeerServer.Suspend)
}

func (l link) Revoke(ctx context.Context, r *peerapi.RevokeRequest) (*peerapi.RevokeResponse, error) {
	return callPeer(ctx, l, r, PeerServer.Revoke)
}
