package control

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/confstore"
	"github.com/gypsumgap/gypsumgap/core/confsync"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/group/pgcontrol"
	"github.com/gypsumgap/gypsumgap/core/membership"
	"github.com/gypsumgap/gypsumgap/core/platform"
	"github.com/gypsumgap/gypsumgap/core/platform/platformtest"
)

// shareStore counts the store calls that concern connection shares.
type shareStore struct {
	*platformtest.Store
	gets, puts atomic.Int64
}

func (s *shareStore) Get(ctx context.Context, key string) (platform.Object, error) {
	if strings.HasPrefix(key, "shares/") {
		s.gets.Add(1)
	}
	return s.Store.Get(ctx, key)
}

func (s *shareStore) Put(ctx context.Context, key string, value []byte, expected platform.Version) (platform.Version, error) {
	if strings.HasPrefix(key, "shares/") {
		s.puts.Add(1)
	}
	return s.Store.Put(ctx, key, value, expected)
}

// slotsPerDatabase is the minimum, since slots do not respond in these tests.
const slotsPerDatabase = 1

// testSnapshot returns a configuration with three databases per service. The
// addresses of the slots are empty, so that requests to them fail without network
// access.
func testSnapshot(version uint64, databases int) *config.Snapshot {
	var services []config.Service
	for i := range databases {
		if i%3 == 0 {
			services = append(services, config.Service{
				Name:    fmt.Sprintf("service-%d", i/3),
				Classes: []config.Class{{Name: "job-card"}, {Name: "inspection", Read: true}, {Name: "status-page", Read: true, Priority: 2}},
				Callers: []config.Caller{{User: "mechanic", Verifier: strings.Repeat("v", 133)}},
				// Probes are rare, because these tests do not examine them.
				Failover: config.FailoverPolicy{ProbeIdle: config.Duration(time.Minute), ProbeSuspect: config.Duration(30 * time.Second), Misses: 3},
			})
		}
		db := config.Database{Name: fmt.Sprintf("service-%d-db-%d", i/3, i%3), ConnectionLimit: 45}
		region := fmt.Sprintf("region-%d", i%4)
		for j := range slotsPerDatabase {
			db.Slots = append(db.Slots, group.Slot{
				ID: group.SlotID(fmt.Sprintf("%s/%d", db.Name, j)), Zone: fmt.Sprintf("%s-%d", region, j), Region: region,
			})
		}
		s := &services[len(services)-1]
		s.Databases = append(s.Databases, db)
	}
	return config.NewSnapshot(version, services)
}

func testMember(i int) membership.Member {
	region := fmt.Sprintf("region-%d", i%4)
	return membership.Member{
		Name: fmt.Sprintf("host-%05d", i), Zone: fmt.Sprintf("%s-%d", region, i/4%3),
		Region: region, State: membership.Alive, Incarnation: 1_764_000_000_000_000,
	}
}

// testController returns a controller that sends no probes during a test.
func testController(self membership.Member, store platform.Store) *Controller {
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	options := membership.DefaultOptions()
	options.ProbeInterval, options.SuspicionTimeout = 24*time.Hour, 24*time.Hour
	return New(Options{
		Self: self, Store: store, Members: options, GroupClient: unreachableGroupClient{}, Log: logrus.NewEntry(quiet),
	})
}

// unreachableGroupClient is a group client whose backend servers have no
// connections and are unreachable for every other call.
type unreachableGroupClient struct{}

func (unreachableGroupClient) Status(context.Context, group.Slot) (group.Status, error) {
	return group.Status{}, group.ErrUnreachable
}

func (unreachableGroupClient) Fence(context.Context, group.Slot, group.Term) (group.Status, error) {
	return group.Status{}, group.ErrUnreachable
}

func (unreachableGroupClient) Promote(context.Context, group.Slot, group.Term) (group.Status, error) {
	return group.Status{}, group.ErrUnreachable
}

func (unreachableGroupClient) Follow(context.Context, group.Slot, group.Term, string) (group.Status, error) {
	return group.Status{}, group.ErrUnreachable
}

func (unreachableGroupClient) Connections(context.Context, group.Slot) ([]pgcontrol.Connection, error) {
	return nil, nil
}

func (unreachableGroupClient) Close() {}

// fleet runs controllers in virtual time. The test supplies the membership
// updates in place of probes.
type fleet struct {
	store       *shareStore
	controllers map[string]*Controller
	stops       map[string]context.CancelFunc
	wg          sync.WaitGroup
	members     []membership.Member
	snapshot    *config.Snapshot
}

func newFleet(t *testing.T, hosts, databases int) *fleet {
	f := &fleet{
		store:       &shareStore{Store: platformtest.New(platformtest.Options{})},
		controllers: map[string]*Controller{},
		stops:       map[string]context.CancelFunc{},
		snapshot:    testSnapshot(1, databases),
	}
	for i := range hosts {
		f.members = append(f.members, testMember(i))
	}
	for _, m := range f.members {
		f.start(t, m)
	}
	f.sendUpdates(f.members)
	f.settle()
	return f
}

func (f *fleet) start(t *testing.T, m membership.Member) {
	ctx, stop := context.WithCancel(t.Context())
	c := testController(m, f.store)
	f.controllers[m.Name], f.stops[m.Name] = c, stop
	// The members are posted before the first step, since a host that knows only
	// itself owns every database.
	c.post(probeAnswered{sent: time.Now(), message: membership.Message{Updates: f.members}})
	c.post(configEvent{confsync.StoreUpdate{Update: confstore.Update{Snapshot: f.snapshot}}})
	f.wg.Go(func() { c.Run(ctx) })
}

// sendUpdates sends membership changes to every controller.
func (f *fleet) sendUpdates(changes []membership.Member) {
	for _, c := range f.controllers {
		c.post(probeAnswered{sent: time.Now(), message: membership.Message{Updates: changes}})
	}
}

// settle waits until hosts that gave up a database have released its share,
// including retries.
func (f *fleet) settle() {
	f.pass(retirePollInterval + shareRetryMax)
	synctest.Wait()
}

// pass lets time pass while the hosts stay in contact. A host without contact
// considers itself isolated and confirms its shares again, which would add store
// calls.
func (f *fleet) pass(d time.Duration) {
	const contact = time.Second
	for end := time.Now().Add(d); time.Now().Before(end); {
		f.sendUpdates(nil)
		time.Sleep(min(contact, time.Until(end)))
	}
}

// calls runs change and returns the store calls for shares that it causes.
func (f *fleet) calls(change func()) (gets, puts int64) {
	g, p := f.store.gets.Load(), f.store.puts.Load()
	change()
	f.settle()
	return f.store.gets.Load() - g, f.store.puts.Load() - p
}

func (f *fleet) stop() {
	for _, stop := range f.stops {
		stop()
	}
	f.wg.Wait()
	// The timers of the last calls must expire before the bubble ends.
	time.Sleep(time.Minute)
}

// addHost starts a new host.
func (f *fleet) addHost(t *testing.T) {
	m := testMember(len(f.members))
	f.start(t, m)
	f.members = append(f.members, m)
	f.sendUpdates([]membership.Member{m})
}

// stopHost stops a host gracefully.
func (f *fleet) stopHost(name string) {
	f.controllers[name].Leave()
	f.remove(name, membership.Leaving)
	f.pass(time.Second)
	f.stops[name]()
}

// killHost stops a host while the store is down, so that it releases nothing.
func (f *fleet) killHost(name string) {
	f.store.SetFaults(platformtest.Faults{Down: true})
	f.stops[name]()
	synctest.Wait()
	f.pass(3 * time.Second)
	f.store.SetFaults(platformtest.Faults{})
	f.remove(name, membership.Dead)
}

func (f *fleet) remove(name string, state membership.State) {
	for i, m := range f.members {
		if m.Name == name {
			m.State = state
			m.Incarnation++
			f.members = append(f.members[:i:i], f.members[i+1:]...)
			delete(f.controllers, name)
			f.sendUpdates([]membership.Member{m})
			return
		}
	}
}

// shareCost holds the store calls for shares that one change of a host causes.
type shareCost struct{ joinGets, joinPuts, leaveGets, leavePuts, deathGets, deathPuts int64 }

func measureShares(t *testing.T, hosts, databases int) (cost shareCost, unrelated int64) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, hosts, databases)
		defer f.stop()
		gets, puts := f.calls(func() {
			m := f.members[0]
			m.Incarnation++
			f.sendUpdates([]membership.Member{m})
		})
		unrelated = gets + puts
		cost.joinGets, cost.joinPuts = f.calls(func() { f.addHost(t) })
		cost.leaveGets, cost.leavePuts = f.calls(func() { f.stopHost(f.members[3].Name) })
		cost.deathGets, cost.deathPuts = f.calls(func() { f.killHost(f.members[5].Name) })
	})
	return cost, unrelated
}

// databasesPerHost approximates the target of 19,000 databases on 3,000 hosts.
const databasesPerHost = 6

// Guards against store calls for shares whose number grows with the fleet, or
// that are caused by a membership change that moves no ownership. Logs the calls
// for each fleet size.
func TestShareCallsPerHostAreBounded(t *testing.T) {
	for _, hosts := range []int{12, 16, 24} {
		t.Run(fmt.Sprintf("hosts=%d", hosts), func(t *testing.T) {
			cost, unrelated := measureShares(t, hosts, hosts*databasesPerHost)
			t.Logf("capacity: hosts=%d %+v unrelated=%d", hosts, cost, unrelated)
			if unrelated != 0 {
				t.Errorf("a change that moves no ownership made %d store calls, want 0", unrelated)
			}
			total := cost.joinGets + cost.joinPuts + cost.leaveGets + cost.leavePuts + cost.deathGets + cost.deathPuts
			if limit := int64(40 * databasesPerHost * 2); total > limit {
				t.Errorf("got %d store calls for three changes of a host, want at most %d", total, limit)
			}
		})
	}
}

// Guards against a rate of host list reads that grows with the fleet.
func TestHostListReadsAreBounded(t *testing.T) {
	for _, hosts := range []int{21, 250, 1000, 3000} {
		perMinute := float64(hosts) * float64(time.Minute) / float64(hostListWait(hosts))
		t.Logf("capacity: hosts=%d reads/s=%.2f", hosts, perMinute/60)
		if perMinute > 5*60 {
			t.Errorf("%d hosts read the host list %.0f times a minute, want at most 300", hosts, perMinute)
		}
	}
}
