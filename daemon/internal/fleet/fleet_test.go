package fleet

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/gypsumgap/gypsumgap/core/admission"
	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/lease"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/objects/objectstest"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/core/statement/statementtest"
	"github.com/gypsumgap/gypsumgap/core/writelease"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

const (
	testHosts         = 6
	promotionDelay    = 300 * time.Millisecond
	heartbeatInterval = 1200 * time.Millisecond
)

var testClass = &admission.Class{Name: "test", Priority: 1, QueueLimit: 10}

// countingRecorder counts the connections that a host opened.
type countingRecorder struct{ opened *atomic.Int64 }

func (r countingRecorder) ConnectionOpened(string)                           { r.opened.Add(1) }
func (countingRecorder) PrimaryChanged(string, string, group.Term)           {}
func (countingRecorder) SessionChangeRefused(string, string, statement.Code) {}

// deployment is a fleet of controllers with a store and one service.
type deployment struct {
	t       *testing.T
	store   *objectstest.Store
	service *statementtest.Service
	hosts   []*controller
	stops   []context.CancelFunc
	running sync.WaitGroup
	ctx     context.Context
	// opened counts the connections opened by each host.
	opened map[string]*atomic.Int64
	// limit is the connection limit of the service.
	limit int
	// network is what the hosts reach; nil if they reach everything.
	network *network
	// leased makes the hosts use write leases.
	leased bool
	// promotionDelay replaces the platform's time for a promotion if it is positive.
	promotionDelay time.Duration
	// size is the number of hosts, testHosts if it is 0, and zones the number of
	// their availability zones, one if it is 0.
	size, zones int
	// lost holds the hosts that a test took away.
	lost map[string]bool
	// restores makes random faults include a store that goes back to one of the
	// backups; nil if it does not.
	restores *rand.Rand
	backups  []objectstest.Backup

	mu sync.Mutex
	// draining holds the servers that announced their stop.
	draining map[string]bool
	// silent holds the servers that do not reach the store.
	silent map[string]bool
	orders []objects.Promotion
	// nextOrderDelay, if positive, makes the platform execute the next promotion
	// after this delay without answering the call.
	nextOrderDelay time.Duration
	// promotionsDownUntil is the time until which the platform executes no other call.
	promotionsDownUntil time.Time
}

// ampleLimit is a connection limit that allows each host more connections than
// it needs.
const ampleLimit = 60

// deploy runs a test in virtual time. The hosts have learned the size of the
// fleet when the test starts.
func deploy(t *testing.T, test func(*deployment)) { deployWithLimit(t, ampleLimit, test) }

func deployWithLimit(t *testing.T, limit int, test func(*deployment)) {
	deployWith(t, &deployment{limit: limit}, test)
}

// deployWith is deploy with a deployment whose options are set.
func deployWith(t *testing.T, d *deployment, test func(*deployment)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		d.t, d.ctx, d.store = t, ctx, objectstest.New(1)
		d.draining, d.silent, d.opened = map[string]bool{}, map[string]bool{}, map[string]*atomic.Int64{}
		if d.promotionDelay == 0 {
			d.promotionDelay = promotionDelay
		}
		d.service = statementtest.New("service", statementtest.Options{
			ReplicationLag: 20 * time.Millisecond, StatementTime: 2 * time.Millisecond, DialTime: 10 * time.Millisecond, PromotionDelay: d.promotionDelay,
			ReplacedPrimaryContinues: d.leased,
		}, "s1", "s2", "s3")
		d.store.Configure(configuration(1, d.limit))
		go d.runHeartbeats(ctx)
		if d.size == 0 {
			d.size = testHosts
		}
		for i := range d.size {
			d.start(fmt.Sprintf("h%d", i))
		}
		time.Sleep(6 * time.Second)
		test(d)
		cancel()
		d.running.Wait()
		for _, c := range d.hosts {
			for _, g := range c.groups {
				g.Close()
			}
		}
		time.Sleep(10 * time.Second)
	})
}

func configuration(version uint64, limit int) *catalog.Configuration {
	return &catalog.Configuration{
		Version:  version,
		Routes:   map[string]*catalog.Route{"db": {Name: "r", Database: "db", Service: "service", Timeout: time.Second, LatencyTarget: time.Second}},
		Services: map[string]catalog.Service{"service": {Name: "service", ConnectionLimit: limit}},
	}
}

// runHeartbeats registers the running servers, as servers do themselves. An
// entry lapses after three missed heartbeats.
func (d *deployment) runHeartbeats(ctx context.Context) {
	last := map[string]time.Time{}
	for ctx.Err() == nil {
		for _, s := range d.service.Catalog() {
			d.mu.Lock()
			s.Draining = d.draining[s.ID]
			silent := d.silent[s.ID]
			d.mu.Unlock()
			if silent {
				continue
			}
			d.store.Register(s)
			last[s.ID] = time.Now()
		}
		for id, at := range last {
			if time.Since(at) > 3*heartbeatInterval {
				d.store.Unregister(id)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// set changes the state of a server in one of the maps that the heartbeats use.
func (d *deployment) set(states map[string]bool, server string, on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	states[server] = on
}

// zoneOf returns the availability zone of a host. All zones are in one region.
func (d *deployment) zoneOf(name string) string {
	if d.zones < 2 {
		return "a"
	}
	n := 0
	_, _ = fmt.Sscanf(name, "h%d", &n)
	return fmt.Sprint("zone-", n%d.zones)
}

// start starts a host and returns its index for stop.
func (d *deployment) start(name string) int {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d.opened[name] = &atomic.Int64{}
	var writeLease *writelease.Lease
	if d.leased {
		writeLease = writelease.New()
	}
	c := newController(options{
		host: name, incarnation: fmt.Sprint(len(d.hosts)), zone: d.zoneOf(name), zones: map[string]string{"a": "r"},
		peerAddress: name, peer: func(address string) peerapi.Peer { return remotePeer{d: d, from: name, address: address} },
		store: objectstest.Client{Store: d.store, Host: name}, promoter: recordingPromoter{d}, watchWait: 3750 * time.Millisecond, heartbeatInterval: heartbeatInterval,
		now: time.Now, scope: tally.NoopScope, log: logrus.NewEntry(log),
		groups: backend.Options{Backends: d.network.backends(name, statementtest.Backends{d.service}), Recorder: countingRecorder{d.opened[name]}, Now: time.Now,
			Zone: "a", RegionOf: map[string]string{"a": "r"}, WriteLease: writeLease},
	})
	ctx, cancel := context.WithCancel(d.ctx)
	d.mu.Lock()
	d.hosts = append(d.hosts, c)
	d.stops = append(d.stops, cancel)
	d.mu.Unlock()
	d.running.Go(func() { c.run(ctx) })
	return len(d.hosts) - 1
}

// remotePeer is a host as other hosts reach it while it runs.
type remotePeer struct {
	peerServer
	d             *deployment
	from, address string
}

// server returns the host at the address. It fails when ctx ends if the network
// does not connect the two.
func (r remotePeer) server(ctx context.Context) (peerapi.Peer, error) {
	if r.d.network.isCut(r.from, r.address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	for i, c := range r.d.hosts {
		if c.host == r.address && r.d.stops[i] != nil {
			return c.peerServer(), nil
		}
	}
	return nil, errNotServed
}

func (r remotePeer) Observe(ctx context.Context, q *peerapi.ObserveRequest) (*peerapi.ObserveResponse, error) {
	s, err := r.server(ctx)
	if err != nil {
		return nil, err
	}
	return s.Observe(ctx, q)
}

func (r remotePeer) Execute(ctx context.Context, q *peerapi.ExecuteRequest) (*peerapi.ExecuteResponse, error) {
	s, err := r.server(ctx)
	if err != nil {
		return nil, err
	}
	return s.Execute(ctx, q)
}

func (r remotePeer) Follow(ctx context.Context, q *peerapi.FollowRequest) (*peerapi.FollowResponse, error) {
	s, err := r.server(ctx)
	if err != nil {
		return nil, err
	}
	return s.Follow(ctx, q)
}

func (r remotePeer) WriteLease(ctx context.Context, q *peerapi.WriteLeaseRequest) (*peerapi.WriteLeaseResponse, error) {
	s, err := r.server(ctx)
	if err != nil {
		return nil, err
	}
	time.Sleep(r.d.network.delay(r.from, r.address))
	response, err := s.WriteLease(ctx, q)
	time.Sleep(r.d.network.delay(r.from, r.address))
	return response, err
}

func (r remotePeer) Revoke(ctx context.Context, q *peerapi.RevokeRequest) (*peerapi.RevokeResponse, error) {
	s, err := r.server(ctx)
	if err != nil {
		return nil, err
	}
	time.Sleep(r.d.network.delay(r.from, r.address))
	return s.Revoke(ctx, q)
}

func (r remotePeer) Suspend(ctx context.Context, q *peerapi.SuspendRequest) (*peerapi.SuspendResponse, error) {
	s, err := r.server(ctx)
	if err != nil {
		return nil, err
	}
	time.Sleep(r.d.network.delay(r.from, r.address))
	return s.Suspend(ctx, q)
}

func (r remotePeer) Samples(ctx context.Context, q *peerapi.SamplesRequest) (*peerapi.SamplesResponse, error) {
	s, err := r.server(ctx)
	if err != nil {
		return nil, err
	}
	return s.Samples(ctx, q)
}

// recordingPromoter forwards promotions to the service and records them.
type recordingPromoter struct{ d *deployment }

func (p recordingPromoter) Promote(ctx context.Context, o objects.Promotion) error {
	p.d.mu.Lock()
	p.d.orders = append(p.d.orders, o)
	late := p.d.nextOrderDelay
	p.d.nextOrderDelay = 0
	isDown := time.Now().Before(p.d.promotionsDownUntil)
	p.d.mu.Unlock()
	if late == 0 && isDown {
		return objects.ErrUnavailable
	}
	if late == 0 {
		return p.d.service.Promote(ctx, o)
	}
	p.d.service.PromoteLate(late, o)
	<-ctx.Done()
	return fmt.Errorf("%w: %w", objects.ErrUnknown, ctx.Err())
}

// queryState reads state of a controller on the controller's goroutine.
func queryState[T any](c *controller, read func() T) T {
	out := make(chan T, 1)
	c.events <- func() { out <- read() }
	return <-out
}

// holder returns the index of the host that holds the promotion duty.
func (d *deployment) holder() int {
	d.t.Helper()
	for range 100 {
		for i, c := range d.hosts {
			if d.stopped(i) {
				continue
			}
			if queryState(c, c.lease.Holding) {
				return i
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	d.t.Fatal("no host holds the promotion duty after 10 s")
	return -1
}

func (d *deployment) stopped(i int) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.stops[i] == nil
}

func (d *deployment) stop(i int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stops[i]()
	d.stops[i] = nil
}

// allHostsKnow reports whether every running host considers the server the
// primary.
func (d *deployment) allHostsKnow(primary string) bool {
	for i, c := range d.hosts {
		if d.stopped(i) {
			continue
		}
		g := c.published.View().Groups["service"]
		if g == nil || g.Health().Primary != primary {
			return false
		}
	}
	return true
}

// awaitFailover returns the time until every host knows an active primary other
// than the lost one.
func (d *deployment) awaitFailover(lost string, limit time.Duration) time.Duration {
	d.t.Helper()
	began := time.Now()
	for time.Since(began) < limit {
		if p := d.service.Primary(); p != "" && p != lost && d.allHostsKnow(p) {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
	d.t.Fatalf("not all hosts knew a new primary within %s", limit)
	return 0
}

// maxFailoverTime is the goal for a failover: 1.5 s plus the platform's time
// for a promotion.
const maxFailoverTime = 1500*time.Millisecond + promotionDelay

// Guards against a primary that crashes or stops answering and is not replaced
// in time, and against more than one promotion.
func TestLostPrimaryIsReplaced(t *testing.T) {
	for _, how := range []string{"crash", "silence"} {
		t.Run(how, func(t *testing.T) {
			deploy(t, func(d *deployment) {
				d.holder()
				if how == "crash" {
					d.service.Crash("s1")
				} else {
					d.service.Hang("s1")
				}
				if took := d.awaitFailover("s1", 10*time.Second); took > maxFailoverTime {
					t.Errorf("failover took %s, want at most %s", took, maxFailoverTime)
				}
				time.Sleep(5 * time.Second)
				d.service.Start("s1")
				time.Sleep(5 * time.Second)
				if n := d.service.Promotions(); n != 1 {
					t.Errorf("got %d promotions, want one", n)
				}
			})
		})
	}
}

// Guards against a planned change of the primary that starts only when the
// server has stopped.
func TestDrainingPrimaryIsReplaced(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.holder()
		d.checkPlannedChange("s1")
	})
}

// checkPlannedChange lets the primary announce its stop, and checks that it is replaced
// in time.
func (d *deployment) checkPlannedChange(primary string) {
	d.t.Helper()
	d.mu.Lock()
	d.draining[primary] = true
	d.mu.Unlock()
	if took := d.awaitFailover(primary, 5*time.Second); took > time.Second {
		d.t.Errorf("failover took %s, want at most 1s", took)
	}
}

// Guards against a lost primary that is not replaced because the holder of the
// duty was lost just before.
func TestPrimaryIsLostAfterHolder(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.stop(d.holder())
		time.Sleep(time.Second)
		d.service.Hang("s1")
		if took := d.awaitFailover("s1", 20*time.Second); took > lease.Duration+maxFailoverTime {
			t.Errorf("failover took %s, want at most %s", took, lease.Duration+maxFailoverTime)
		}
	})
}

// maxFailoverTimeUnderFaults is the goal for the longest failover under faults.
const maxFailoverTimeUnderFaults = 4*time.Second + promotionDelay

// Guards against a lost primary that is not replaced because most hosts cannot
// reach the store and thus cannot report the primary as unreachable.
func TestHostsAreTurnedAwayWhenPrimaryIsLost(t *testing.T) {
	deploy(t, func(d *deployment) {
		holder := d.holder()
		for i, c := range d.hosts {
			if i != holder {
				d.store.SetPartitioned(c.host, true)
			}
		}
		d.service.Hang("s1")
		if took := d.awaitFailover("s1", 20*time.Second); took > maxFailoverTimeUnderFaults {
			t.Errorf("failover took %s, want at most %s", took, maxFailoverTimeUnderFaults)
		}
	})
}

// Guards against a failover that depends on the store while the primary is
// lost.
func TestStoreIsDownWhenPrimaryIsLost(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.holder()
		d.store.SetDown(true)
		time.Sleep(500 * time.Millisecond)
		d.service.Crash("s1")
		time.Sleep(4 * time.Second)
		d.store.SetDown(false)
		if took := d.awaitFailover("s1", 10*time.Second); took > 4*time.Second {
			t.Errorf("failover took %s after the store returned, want at most 4s", took)
		}
	})
}

// Guards against a promotion that the platform executes late, after a newer
// promotion of another server, which would then lose the commits made since.
func TestLateOrderDoesNotUndoLaterPromotion(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.holder()
		d.nextOrderDelay = 9 * time.Second
		d.service.Crash("s1")
		d.awaitFailover("s1", 5*time.Second)
		first := d.service.Primary()
		d.service.Start("s1")
		time.Sleep(2 * time.Second)
		d.service.Crash(first)
		d.awaitFailover(first, 5*time.Second)
		second := d.service.Primary()
		d.service.Start(first)
		time.Sleep(12 * time.Second)
		if now := d.service.Primary(); now != second || d.service.Promotions() != 2 {
			t.Errorf("got primary %s after %d promotions, want %s after 2; orders: %+v", now, d.service.Promotions(), second, d.orders)
		}
	})
}

// Guards against a holder that, while the store is unavailable, names another
// server with the token of an order that may still be executed.
func TestOrderWithoutAnswerWhileStoreIsDown(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.holder()
		d.nextOrderDelay = 20 * time.Second
		d.service.Crash("s1")
		d.awaitFailover("s1", 5*time.Second)
		first := d.service.Primary()
		d.store.SetDown(true)
		d.service.Start("s1")
		time.Sleep(500 * time.Millisecond)
		d.service.Crash(first)
		time.Sleep(4 * time.Second)
		d.store.SetDown(false)
		d.awaitFailover(first, 5*time.Second)
		second := d.service.Primary()
		d.service.Start(first)
		time.Sleep(20 * time.Second)
		if now := d.service.Primary(); now != second {
			t.Errorf("got primary %s, want %s; orders: %+v", now, second, d.orders)
		}
		for i, o := range d.orders {
			for _, later := range d.orders[i:] {
				if later.Token == o.Token && later.Server != o.Server {
					t.Errorf("token %d was used for %s and %s, want one server per token", o.Token, o.Server, later.Server)
				}
			}
		}
	})
}

// useService makes every host select a server, as statements do.
func (d *deployment) useService() {
	for i, c := range d.hosts {
		if d.stopped(i) {
			continue
		}
		if g := c.published.View().Groups["service"]; g != nil {
			g.SelectForRead(nil)
		}
	}
}

// keepUsing uses the service for the given time.
func (d *deployment) keepUsing(total time.Duration) {
	for until := time.Now().Add(total); time.Now().Before(until); {
		d.useService()
		time.Sleep(200 * time.Millisecond)
	}
}

// scarceLimit is a connection limit that does not allow one connection for each
// host.
const scarceLimit = testHosts - 1

// Guards against probes from every host while connections are scarce, and
// against hosts that, without probing, do not know how fresh replicas must be.
func TestHostsShareSamplesWhereConnectionsAreScarce(t *testing.T) {
	deployWithLimit(t, scarceLimit, func(d *deployment) {
		holder := d.hosts[d.holder()].host
		d.keepUsing(5 * time.Second)
		before := map[string]int64{}
		for name, n := range d.opened {
			before[name] = n.Load()
		}
		for range 50 {
			d.keepUsing(200 * time.Millisecond)
			for _, c := range d.hosts {
				sent, _ := c.published.View().Groups["service"].Freshness.Latest()
				if age := time.Since(sent); age > 1200*time.Millisecond {
					t.Fatalf("latest sample of host %s is %s old, want at most 1.2s", c.host, age)
				}
			}
		}
		probing := 0
		for name, n := range d.opened {
			if name != holder && n.Load() > before[name] {
				probing++
			}
		}
		if probing > 1 {
			t.Errorf("%d hosts besides the holder opened connections for probes, want at most one", probing)
		}
	})
}

// Guards against a lost primary that is detected late, or whose replacement
// hosts learn late, because most hosts do not probe it, even if the probing
// host is lost too.
func TestLossIsNoticedWhereConnectionsAreScarce(t *testing.T) {
	for _, relayLost := range []bool{false, true} {
		deployWithLimit(t, scarceLimit, func(d *deployment) {
			holder := d.holder()
			d.keepUsing(5 * time.Second)
			if relayLost {
				for i, c := range d.hosts {
					if i != holder && queryState(c, func() string { return c.relay.host }) == "" {
						d.stop(i)
					}
				}
			}
			d.service.Hang("s1")
			began := time.Now()
			for d.service.Primary() == "s1" || !d.allHostsKnow(d.service.Primary()) {
				d.keepUsing(100 * time.Millisecond)
				if time.Since(began) > maxFailoverTime {
					t.Fatalf("not all hosts knew a new primary within %s (relay lost: %t)", maxFailoverTime, relayLost)
				}
			}
		})
	}
}

// Guards against two hosts that promote with the same token, and against a
// former holder that continues after it was refused. The store loses responses
// and executes writes late, and the holder is partitioned from it.
func TestTokensOfPromotions(t *testing.T) {
	for _, late := range []time.Duration{0, 2 * time.Second} {
		deploy(t, func(d *deployment) {
			d.store.LoseResponses(0.35, late)
			for i := range 4 {
				h := d.holder()
				d.store.SetPartitioned(d.hosts[h].host, true)
				time.Sleep(time.Duration(i) * time.Second)
				lost := d.service.Primary()
				d.service.Crash(lost)
				time.Sleep(8 * time.Second)
				d.service.Start(lost)
				d.store.SetPartitioned(d.hosts[h].host, false)
				d.awaitFailover("", 10*time.Second)
				time.Sleep(2 * time.Second)
			}
			holders := map[uint64]string{}
			for _, o := range d.orders {
				if other, used := holders[o.Token]; used && other != o.Holder {
					t.Errorf("token %d was used by %s and %s, want one holder per token", o.Token, other, o.Holder)
				}
				holders[o.Token] = o.Holder
			}
		})
	}
}

// Guards against the replacement of a healthy primary, and against an idle
// fleet that makes too many calls to the store.
func TestIdleFleet(t *testing.T) {
	deploy(t, func(d *deployment) {
		before := d.store.Calls()
		time.Sleep(60 * time.Second)
		if n := d.service.Promotions(); n != 0 {
			t.Errorf("got %d promotions, want none", n)
		}
		perHost := float64(d.store.Calls()-before) / 60 / testHosts
		if perHost > 1.6 {
			t.Errorf("got %.2f store calls per second and host, want at most 1.6", perHost)
		}
	})
}

// Guards against a missed change after the store dropped its history while a
// watch was waiting, and against a return to an older version.
func TestConfigurationAfterLostHistory(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.store.SetWatchesStalled(true)
		d.store.Configure(configuration(2, ampleLimit))
		time.Sleep(time.Second)
		d.store.SetWatchesStalled(false)
		time.Sleep(4500 * time.Millisecond)
		for _, c := range d.hosts {
			if v := c.published.Configuration().Version; v != 2 {
				t.Errorf("host %s has configuration version %d, want 2", c.host, v)
			}
		}
		d.store.Configure(configuration(1, ampleLimit))
		time.Sleep(time.Second)
		for _, c := range d.hosts {
			if v := c.published.Configuration().Version; v != 2 {
				t.Errorf("host %s has configuration version %d after an older one was stored, want 2", c.host, v)
			}
		}
	})
}

// Guards against removing servers whose entries lapse only briefly, and against
// using servers that no longer exist.
func TestLapsedEntries(t *testing.T) {
	deploy(t, func(d *deployment) {
		c := d.hosts[0]
		known := func() int { return len(c.published.View().Groups["service"].Pools()) }
		d.store.Unregister("s3")
		time.Sleep(30 * time.Millisecond)
		if known() != 3 {
			t.Error("server whose entry lapsed only briefly was removed")
		}
		d.service.Crash("s3")
		time.Sleep(3*heartbeatInterval + lapseGracePeriod + 500*time.Millisecond)
		if known() != 2 {
			t.Error("server that no longer exists is still in use")
		}
	})
}

// Guards against counting reports that have expired, or that were listed but
// not renewed.
func TestReportsExpire(t *testing.T) {
	deploy(t, func(d *deployment) {
		c := d.hosts[d.holder()]
		got := queryState(c, func() [2]int {
			now := c.now()
			c.reports["x"] = receivedReport{report: report{Missing: map[string]string{"service": "s1"}}, seenAt: now, missingSince: map[string]time.Time{"service": now}}
			fresh, _ := c.countMissingReports("service", "s1")
			c.reports["x"] = receivedReport{report: report{Missing: map[string]string{"service": "s1"}}, seenAt: now.Add(-reportMaxAge)}
			old, _ := c.countMissingReports("service", "s1")
			return [2]int{fresh, old}
		})
		listed := queryState(c, func() int {
			c.applyReports(storeChange{kind: objects.Reports, full: true, objects: []objects.Object{{Name: "gone", Value: []byte(`{"missing":{"service":"s2"}}`)}}})
			n, _ := c.countMissingReports("service", "s2")
			return n
		})
		if listed != 0 {
			t.Errorf("counted %d reports that were only listed, want none before they are renewed", listed)
		}
		if got != [2]int{1, 0} {
			t.Errorf("counted %v fresh and expired reports, want 1 and 0", got)
		}
	})
}
