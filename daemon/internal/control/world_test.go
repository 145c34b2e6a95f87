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

// world runs several controllers against one fake store and one fake group,
// with faults on every path, and counts connections at the backend servers.
type world struct {
	t     testing.TB
	store *platformtest.Store
	group *grouptest.Group
	slots []group.Slot
	limit int

	mu      sync.Mutex
	rng     *rand.Rand
	loss    float64
	hosts   map[string]*proc // by peer address
	cuts    map[[2]string]bool
	conns   map[group.SlotID]map[*fakeConn]bool
	worst   map[group.SlotID]int
	faults  []string
	version uint64
}

// proc is one host process.
type proc struct {
	w       *world
	name    string
	address string
	label   string
	id      shares.Holder
	ctl     *Controller
	cancel  context.CancelFunc
	done    chan struct{}
	load    sync.WaitGroup

	mu      sync.Mutex
	dead    bool
	noStore bool
	resumed chan struct{} // closed while the process is not paused
}

func newWorld(t testing.TB, seed uint64, slots int) *world {
	w := &world{
		t:     t,
		rng:   rand.New(rand.NewPCG(seed, 1)),
		slots: grouptest.Slots(slots, "za", "zb", "zc"),
		limit: 10,
		hosts: map[string]*proc{},
		cuts:  map[[2]string]bool{},
		conns: map[group.SlotID]map[*fakeConn]bool{},
		worst: map[group.SlotID]int{},
	}
	for i := range w.slots {
		w.slots[i].Region = "r"
		w.conns[w.slots[i].ID] = map[*fakeConn]bool{}
	}
	w.store = platformtest.New(platformtest.Options{HostLag: 3 * time.Second})
	w.group = grouptest.New(grouptest.Options{Slots: w.slots, Latency: grouptest.Uniform(latency, latency)})
	w.group.Bootstrap(0)
	w.apply(w.limit, w.slots)
	return w
}

// apply puts a new configuration version in the store.
func (w *world) apply(limit int, slots []group.Slot) {
	w.t.Helper()
	w.version++
	service := config.Service{
		Name:          "werkplaats-db",
		CommitTimeout: config.Duration(5 * time.Second),
		// Differs in each version, as an unchanged folder makes no version.
		ReplicaWait: config.Duration(20*time.Millisecond) + config.Duration(w.version),
		Failover: config.FailoverPolicy{
			ProbeIdle:    config.Duration(time.Second),
			ProbeSuspect: config.Duration(250 * time.Millisecond),
			Misses:       3,
		},
		Databases: []config.Database{{Name: dbName, Slots: slots, ConnectionLimit: limit}},
		Classes:   []config.Class{{Name: "job-card", Deadline: config.Duration(5 * time.Second), QueueLimit: 200}},
	}
	base, err := confstore.Load(context.Background(), w.store, nil)
	if err == nil {
		_, err = confstore.Apply(context.Background(), w.store, base, config.NewSnapshot(w.version, []config.Service{service}))
	}
	if err != nil {
		w.t.Fatalf("apply: %v", err)
	}
}

func hostName(i int) string { return fmt.Sprintf("e%d", i) }

func zoneOf(i int) string { return []string{"za", "zb", "zc"}[i%3] }

// start runs the host of that number.
func (w *world) start(i int) *proc {
	name := hostName(i)
	p := &proc{
		w: w, name: name, address: name + ":8432",
		id:      shares.Holder{Host: name, Incarnation: uint64(time.Now().UnixMicro())},
		done:    make(chan struct{}),
		resumed: make(chan struct{}),
	}
	close(p.resumed)
	p.label = upstream.ApplicationName(name, strconv.FormatUint(p.id.Incarnation, 10))
	log := logrus.New()
	log.SetOutput(io.Discard)
	if testing.Verbose() {
		log.SetOutput(w.t.Output())
	}
	w.mu.Lock()
	seed := w.rng.Uint64()
	w.hosts[p.address] = p
	w.mu.Unlock()
	p.ctl = New(Options{
		Self: membership.Member{
			Name: name, PeerAddress: p.address, ForwardAddress: name + ":7432",
			Zone: zoneOf(i), Region: "r", Incarnation: p.id.Incarnation,
		},
		Peers:       []string{"e0:8432", "e1:8432", "e2:8432"},
		PeerClient:  &peerClient{p},
		GroupClient: &groupClient{p.w.group.Client(grouptest.Host{Name: name, Zone: zoneOf(i)}), p},
		Rand:        rand.New(rand.NewPCG(seed, 2)),
		Store:       &hostStore{p, w.store},
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

// list makes the platform's list name the hosts.
func (w *world) list(n int) {
	var hosts []platform.Host
	for i := range n {
		name := hostName(i)
		hosts = append(hosts, platform.Host{Name: name, Address: name + ":8432", Zone: zoneOf(i), Region: "r", State: platform.HostLive})
	}
	w.store.SetHosts(hosts)
}

// kill ends the process without a farewell. Its connections end with it.
func (p *proc) kill() {
	p.mu.Lock()
	p.dead = true
	p.mu.Unlock()
	p.resume()
	p.stop()
}

// exit ends the process after it has released what it can.
func (p *proc) exit() {
	p.resume()
	p.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dead = true
}

// stop ends the process as the end of a drain does.
func (p *proc) stop() {
	p.cancel()
	<-p.done
	p.w.dropConnections(p)
}

// pause, unless it is paused, stops the process's control goroutine and all of its input and output.
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

// paused keeps the control goroutine from running.
type paused struct{ resumed chan struct{} }

func (e paused) apply(*Controller, time.Time) { <-e.resumed }

// wait returns when the process runs.
func (p *proc) wait() {
	p.mu.Lock()
	resumed := p.resumed
	p.mu.Unlock()
	<-resumed
}

// reachable waits until the process runs, or ctx ends.
func (p *proc) reachable(ctx context.Context) error {
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
	p.noStore = !ok
}

// use keeps n requests of the host running against its own databases.
func (p *proc) use(ctx context.Context, n int, hold time.Duration) {
	directory := Directory{Board: p.ctl.Board()}
	for i := range n {
		p.load.Go(func() {
			for ctx.Err() == nil {
				p.wait()
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

// group returns the database as the host owns it, or nil.
func (p *proc) group() *groupView {
	g, ok := p.ctl.Board().View().Groups[dbName]
	if !ok {
		return nil
	}
	return &groupView{rank: g.Rank, share: g.Share(), open: g.Router.MaxOpenConnections()}
}

type groupView struct{ rank, share, open int }

// fakeConn is a connection to a backend server.
type fakeConn struct {
	p    *proc
	slot group.SlotID
}

// Ping implements route.Conn.
func (c *fakeConn) Ping(context.Context) error {
	c.p.wait()
	c.p.w.mu.Lock()
	defer c.p.w.mu.Unlock()
	if !c.p.w.conns[c.slot][c] {
		return errLost
	}
	return nil
}

// Close implements route.Conn.
func (c *fakeConn) Close() error {
	c.p.w.mu.Lock()
	defer c.p.w.mu.Unlock()
	delete(c.p.w.conns[c.slot], c)
	return nil
}

// dial opens a connection and counts it at the backend server.
func (p *proc) dial(ctx context.Context, t route.Target) (route.Conn, error) {
	id := group.SlotID(t.Peer)
	p.wait()
	if p.w.isCut(p.name, t.Peer) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	sleepFor(ctx, loginDelay)
	p.wait()
	if ctx.Err() != nil || p.isDead() {
		return nil, errLost
	}
	if p.w.group.Status(p.w.index(id)).AcceptedTerm == 0 {
		return nil, errLost
	}
	c := &fakeConn{p: p, slot: id}
	p.w.mu.Lock()
	defer p.w.mu.Unlock()
	p.w.conns[id][c] = true
	open := len(p.w.conns[id])
	p.w.worst[id] = max(p.w.worst[id], open)
	if open > p.w.limit {
		p.w.faults = append(p.w.faults, fmt.Sprintf("%s: %d connections to %s, limit %d: %v",
			time.Now().Format("15:04:05.000"), open, id, p.w.limit, p.w.holding(id)))
	}
	return c, nil
}

func (w *world) holding(id group.SlotID) map[string]int {
	by := map[string]int{}
	for c := range w.conns[id] {
		by[c.p.label]++
	}
	return by
}

func (w *world) index(id group.SlotID) int {
	return slices.IndexFunc(w.slots, func(s group.Slot) bool { return s.ID == id })
}

// dropConnections makes the backend servers close the process's connections,
// which the process does not notice.
func (w *world) dropConnections(p *proc) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, conns := range w.conns {
		for c := range conns {
			if c.p == p {
				delete(conns, c)
			}
		}
	}
}

func (w *world) cut(a, b string, on bool) {
	w.mu.Lock()
	w.cuts[[2]string{a, b}], w.cuts[[2]string{b, a}] = on, on
	w.mu.Unlock()
	if w.index(group.SlotID(b)) < 0 {
		return
	}
	if on {
		w.group.CutBoth(a, b)
	} else {
		w.group.Heal(a, b)
	}
}

func (w *world) isCut(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cuts[[2]string{a, b}]
}

func (w *world) lose() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rng.Float64() < w.loss
}

// stored returns the allocation in the store, faults or not.
func (w *world) stored() shares.Allocation {
	w.t.Helper()
	before := w.store.Faults()
	w.store.SetFaults(platformtest.Faults{})
	obj, err := w.store.Get(context.Background(), shares.Key(dbName))
	w.store.SetFaults(before)
	if errors.Is(err, platform.ErrNotFound) {
		return shares.Allocation{}
	}
	a, err := shares.Decode(obj.Value)
	if err != nil {
		w.t.Fatal(err)
	}
	return a
}

// violation tells how a limit was exceeded; empty if it was not.
func (w *world) violation() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.faults) == 0 {
		return ""
	}
	return fmt.Sprintf("limit exceeded %d times, first: %s", len(w.faults), w.faults[0])
}

func (w *world) setLoss(part float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loss = part
}

func (w *world) stopAll() {
	w.mu.Lock()
	hosts := make([]*proc, 0, len(w.hosts))
	for _, p := range w.hosts {
		hosts = append(hosts, p)
	}
	w.mu.Unlock()
	for _, p := range hosts {
		p.resume()
		p.stop()
		p.load.Wait()
	}
}

// hostStore is the store as one host reaches it.
type hostStore struct {
	p *proc
	platform.Store
}

func (s *hostStore) reach() error {
	s.p.wait()
	s.p.mu.Lock()
	defer s.p.mu.Unlock()
	if s.p.dead || s.p.noStore {
		return platform.ErrUnavailable
	}
	return nil
}

// Get implements platform.Store.
func (s *hostStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if err := s.reach(); err != nil {
		return platform.Object{}, err
	}
	obj, err := s.Store.Get(ctx, key)
	s.p.wait()
	return obj, err
}

// Put implements platform.Store.
func (s *hostStore) Put(ctx context.Context, key string, value []byte, v platform.Version) (platform.Version, error) {
	if err := s.reach(); err != nil {
		return 0, err
	}
	got, err := s.Store.Put(ctx, key, value, v)
	s.p.wait()
	return got, err
}

// Watch implements platform.Store.
func (s *hostStore) Watch(ctx context.Context, key string, known platform.Version, wait time.Duration) (platform.Object, error) {
	if err := s.reach(); err != nil {
		return platform.Object{}, err
	}
	return s.Store.Watch(ctx, key, known, wait)
}

// Hosts implements platform.Store.
func (s *hostStore) Hosts(ctx context.Context) ([]platform.Host, error) {
	if err := s.reach(); err != nil {
		return nil, err
	}
	return s.Store.Hosts(ctx)
}

// groupClient is the group as one host reaches it.
type groupClient struct {
	group.Client
	p *proc
}

// Connections implements GroupClient.
func (c *groupClient) Connections(ctx context.Context, slot group.Slot) ([]pgcontrol.Connection, error) {
	c.p.wait()
	if _, err := c.Status(ctx, slot); err != nil {
		if errors.Is(err, group.ErrUnreachable) && ctx.Err() == nil {
			err = fmt.Errorf("%w: %w", err, syscall.ECONNREFUSED)
		}
		return nil, err
	}
	c.p.w.mu.Lock()
	defer c.p.w.mu.Unlock()
	var out []pgcontrol.Connection
	for conn := range c.p.w.conns[slot.ID] {
		out = append(out, pgcontrol.Connection{Application: conn.p.label})
	}
	return out, nil
}

// Close implements GroupClient.
func (c *groupClient) Close() {}

// peerClient reaches the other controllers of the world.
type peerClient struct{ p *proc }

// Probe implements PeerClient.
func (c *peerClient) Probe(ctx context.Context, address string, r *peerapi.ProbeRequest) (*peerapi.ProbeResponse, error) {
	return c.Peer(address).Probe(ctx, r)
}

// Peer implements PeerClient.
func (c *peerClient) Peer(address string) peerapi.Peer { return link{c.p, address} }

// Close implements PeerClient.
func (c *peerClient) Close() {}

// link carries calls from a process to the host at an address.
type link struct {
	from *proc
	to   string
}

func across[Q, A any](ctx context.Context, l link, q Q, call func(PeerServer, context.Context, Q) (A, error)) (A, error) {
	var none A
	w := l.from.w
	l.from.wait()
	w.mu.Lock()
	to := w.hosts[l.to]
	w.mu.Unlock()
	if to == nil || to.isDead() || l.from.isDead() {
		return none, errLost
	}
	if w.isCut(l.from.name, to.name) || w.lose() {
		<-ctx.Done()
		return none, ctx.Err()
	}
	sleepFor(ctx, latency)
	if err := to.reachable(ctx); err != nil {
		return none, err
	}
	a, err := call(to.ctl.Server(), ctx, q)
	sleepFor(ctx, latency)
	l.from.wait()
	if err != nil || ctx.Err() != nil || w.isCut(l.from.name, to.name) || w.lose() {
		return none, errors.Join(errLost, err)
	}
	return a, nil
}

// Probe implements peerapi.Peer.
func (l link) Probe(ctx context.Context, r *peerapi.ProbeRequest) (*peerapi.ProbeResponse, error) {
	return across(ctx, l, r, PeerServer.Probe)
}

// IndirectProbe implements peerapi.Peer.
func (l link) IndirectProbe(ctx context.Context, r *peerapi.IndirectProbeRequest) (*peerapi.IndirectProbeResponse, error) {
	return across(ctx, l, r, PeerServer.IndirectProbe)
}

// FetchConfig implements peerapi.Peer.
func (l link) FetchConfig(ctx context.Context, r *peerapi.FetchConfigRequest) (*peerapi.FetchConfigResponse, error) {
	return across(ctx, l, r, PeerServer.FetchConfig)
}

// Observe implements peerapi.Peer.
func (l link) Observe(ctx context.Context, r *peerapi.ObserveRequest) (*peerapi.ObserveResponse, error) {
	return across(ctx, l, r, PeerServer.Observe)
}

// Samples implements peerapi.Peer.
func (l link) Samples(ctx context.Context, r *peerapi.SamplesRequest) (*peerapi.SamplesResponse, error) {
	return across(ctx, l, r, PeerServer.Samples)
}

// inBubble runs a test in virtual time.
func inBubble(t *testing.T, f func(t *testing.T)) { synctest.Test(t, f) }
