package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/lease"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// network is what the hosts of a deployment reach. A nil network connects
// everything.
type network struct {
	mu  sync.Mutex
	cut map[[2]string]bool
	// slow is the time that messages between two hosts take, unless it is 0.
	slow map[[2]string]time.Duration
}

func newNetwork() *network {
	return &network{cut: map[[2]string]bool{}, slow: map[[2]string]time.Duration{}}
}

func link(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// setCut cuts or restores the connection between two hosts, or between a host and
// a backend server.
func (n *network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link(a, b)] = cut
}

func (n *network) setDelay(a, b string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.slow[link(a, b)] = d
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	clear(n.slow)
}

func (n *network) isCut(a, b string) bool {
	if n == nil {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[link(a, b)]
}

func (n *network) delay(a, b string) time.Duration {
	if n == nil {
		return 0
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.slow[link(a, b)]
}

// backends returns the backend servers as the host reaches them.
func (n *network) backends(host string, b statement.Backends) statement.Backends {
	if n == nil {
		return b
	}
	return cutBackends{Backends: b, network: n, host: host}
}

type cutBackends struct {
	statement.Backends
	network *network
	host    string
}

func (b cutBackends) Dial(ctx context.Context, server catalog.Server) (statement.Conn, error) {
	if b.network.isCut(b.host, server.ID) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := b.Backends.Dial(ctx, server)
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: conn, backends: b, server: server.ID}, nil
}

type cutConn struct {
	statement.Conn
	backends cutBackends
	server   string
}

func (c *cutConn) Exchange(deadline time.Time, requests ...statement.Statement) ([]statement.Answer, bool, error) {
	if c.backends.network.isCut(c.backends.host, c.server) {
		time.Sleep(time.Until(deadline))
		return nil, true, os.ErrDeadlineExceeded
	}
	answers, mayRun, err := c.Conn.Exchange(deadline, requests...)
	if c.backends.network.isCut(c.backends.host, c.server) {
		time.Sleep(time.Until(deadline))
		return nil, true, os.ErrDeadlineExceeded
	}
	return answers, mayRun, err
}

// deployLeased runs a test whose platform neither stops a replaced primary nor
// checks fencing tokens.
func deployLeased(t *testing.T, test func(*deployment)) {
	deployWith(t, &deployment{limit: ampleLimit, network: newNetwork(), leased: true}, test)
}

// split separates the hosts with the given indexes and the server from all others.
// The separated hosts do not reach the store.
func (d *deployment) split(server string, indexes ...int) {
	inside := map[string]bool{server: true}
	for _, i := range indexes {
		inside[d.hosts[i].host] = true
		d.store.SetPartitioned(d.hosts[i].host, true)
	}
	names := []string{"s1", "s2", "s3"}
	for _, c := range d.hosts {
		names = append(names, c.host)
	}
	for _, a := range names {
		for _, b := range names {
			if inside[a] != inside[b] {
				d.network.setCut(a, b, true)
			}
		}
	}
	d.service.SetIsolated(server, true)
}

func (d *deployment) healSplit() {
	d.network.heal()
	for _, c := range d.hosts {
		d.store.SetPartitioned(c.host, false)
	}
	for _, id := range []string{"s1", "s2", "s3"} {
		d.service.SetIsolated(id, false)
	}
}

// writer writes through a host until the deployment ends.
type writer struct {
	mu sync.Mutex
	// lastAcknowledged is when the last acknowledged write was sent.
	lastAcknowledged time.Time
}

func (w *writer) last() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastAcknowledged
}

// writerPause is the pause of a writer between two writes.
const writerPause = 25 * time.Millisecond

func (d *deployment) startWriter(i int) *writer {
	w := &writer{}
	c := d.hosts[i]
	d.running.Go(func() {
		for n := 0; d.ctx.Err() == nil && !d.stopped(i); n++ {
			sent := time.Now()
			if d.write(c, fmt.Sprintf("w-%s-%d-%d", c.host, i, n)) {
				w.mu.Lock()
				w.lastAcknowledged = sent
				w.mu.Unlock()
			}
			time.Sleep(writerPause)
		}
	})
	return w
}

// write sends one write to the primary that the host knows, and reports whether it
// was acknowledged.
func (d *deployment) write(c *controller, id string) bool {
	g := c.published.View().Groups["service"]
	if g == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	p, err := g.WaitPrimary(ctx)
	if err != nil {
		return false
	}
	conn, err := p.Acquire(ctx, testClass)
	if err != nil {
		return false
	}
	sent := time.Now()
	answers, _, err := conn.ExchangeAsPrimary(time.Now().Add(time.Second), backend.Session{}, statement.Statement{ID: id, Kind: statement.Write, Text: "WRITE item data"})
	conn.Release()
	if err != nil || answers[0].Code != statement.OK {
		return false
	}
	g.ConfirmPrimary(p, sent, answers[0].Position)
	return true
}

// checkNoSplitCommits fails the test if a replaced primary executed a commit.
func (d *deployment) checkNoSplitCommits() {
	d.t.Helper()
	if n := len(d.service.SplitCommits()); n != 0 {
		d.t.Errorf("replaced primaries executed %d commits, want none; promotions: %+v", n, d.orders)
	}
}

// indexesBut returns the indexes of n hosts, without the given one.
func indexesBut(n, without int) []int {
	var out []int
	for i := range testHosts {
		if i != without && len(out) < n {
			out = append(out, i)
		}
	}
	return out
}

// Guards against writes to a replaced primary: most hosts are on its side of a
// partition and do not learn of the promotion. The holder of the duty is on the
// other side, and promotes once their leases have expired.
func TestSplitPrimaryIsNotUsedAfterPromotion(t *testing.T) {
	deployLeased(t, func(d *deployment) {
		holder := d.holder()
		var writers []*writer
		for i := range d.hosts {
			writers = append(writers, d.startWriter(i))
		}
		time.Sleep(time.Second)
		d.split("s1", indexesBut(4, holder)...)
		time.Sleep(9 * time.Second)
		if d.service.Promotions() != 1 || time.Since(writers[holder].last()) > time.Second {
			t.Errorf("got %d promotions and the last write through the holder %s ago, want a promotion and writes", d.service.Promotions(), time.Since(writers[holder].last()))
		}
		d.healSplit()
		time.Sleep(4 * time.Second)
		for i, w := range writers {
			if age := time.Since(w.last()); age > time.Second {
				t.Errorf("last write through host %d was %s ago, want all hosts to write after the partition", i, age)
			}
		}
		d.checkNoSplitCommits()
	})
}

// Guards against a second primary when the holder of the duty is on the side of
// the primary and vouches for the hosts there, while another host takes the duty
// over. The primary must stay, since the former holder can't be asked.
func TestSplitPrimaryIsKeptWhileFormerHolderVouches(t *testing.T) {
	deployLeased(t, func(d *deployment) {
		holder := d.holder()
		var writers []*writer
		for i := range d.hosts {
			writers = append(writers, d.startWriter(i))
		}
		time.Sleep(time.Second)
		d.split("s1", append(indexesBut(3, holder), holder)...)
		time.Sleep(9 * time.Second)
		if age := time.Since(writers[holder].last()); age > time.Second {
			t.Errorf("last write through the former holder was %s ago, want writes while it may vouch", age)
		}
		time.Sleep(10 * time.Second)
		if d.service.Promotions() == 0 {
			t.Error("primary was not replaced after the former holder could no longer vouch")
		}
		d.healSplit()
		time.Sleep(6 * time.Second)
		for i, w := range writers {
			if age := time.Since(w.last()); age > time.Second {
				t.Errorf("last write through host %d was %s ago, want all hosts to write after the partition", i, age)
			}
		}
		d.checkNoSplitCommits()
	})
}

// Guards against a revocation of a lower term than the one that the service is in,
// when the holder has missed a promotion.
func TestRevocationCoversTermsThatOtherHostsKnow(t *testing.T) {
	r := &revocation{now: time.Now, term: 1, unconfirmed: map[string]string{"h1": "h1"}, confirmed: map[string]bool{}}
	r.progress.RecordedAt, r.progress.HostsListed = time.Now(), true
	r.recordResponse("h1", "h1", &peerapi.RevokeResponse{Confirmed: true, Term: 3})
	if r.term != 3 || r.isStored() || r.isComplete() {
		t.Errorf("revocation of term %d, stored %t, complete %t; want term 3, to be stored again", r.term, r.isStored(), r.isComplete())
	}
}

// Guards against a crashed primary that is replaced late because hosts wait for
// leases, although all of them answer the holder.
func TestLostPrimaryIsReplacedInTimeWithLeases(t *testing.T) {
	deployLeased(t, func(d *deployment) {
		d.holder()
		d.service.Hang("s1")
		if took := d.awaitFailover("s1", 10*time.Second); took > maxFailoverTime+time.Second {
			t.Errorf("failover took %s, want at most %s", took, maxFailoverTime+time.Second)
		}
		d.checkNoSplitCommits()
	})
}

// Guards against writes that stop although the primary is well, because the store
// is down and no host can read it.
func TestWritesContinueWhileStoreIsDown(t *testing.T) {
	deployLeased(t, func(d *deployment) {
		d.holder()
		var writers []*writer
		for i := range d.hosts {
			writers = append(writers, d.startWriter(i))
		}
		d.store.SetDown(true)
		for range 7 {
			time.Sleep(time.Second)
			for i, w := range writers {
				if age := time.Since(w.last()); age > 500*time.Millisecond {
					t.Errorf("last write through host %d was %s ago, want writes while the store is down", i, age)
				}
			}
		}
		d.store.SetDown(false)
		time.Sleep(time.Second)
	})
}

// Guards against the same where samples renew the leases, and a holder that has just
// taken the duty over never reads what earlier holders revoked, so that it does not
// vouch.
func TestNewHolderVouchesWhileStoreIsDown(t *testing.T) {
	deployWith(t, &deployment{limit: testHosts - 1, network: newNetwork(), leased: true}, func(d *deployment) {
		var writers []*writer
		for i := range d.hosts {
			writers = append(writers, d.startWriter(i))
		}
		time.Sleep(5 * time.Second)
		// The relay reads the store anyway, so another host has to take over. Stopped
		// hosts start again, so that hosts remain however often the relay takes over.
		for isRelay := true; isRelay; {
			stopped := d.holder()
			d.stop(stopped)
			time.Sleep(lease.Duration + 2*time.Second)
			c := d.hosts[d.holder()]
			d.start(d.hosts[stopped].host)
			time.Sleep(2 * time.Second)
			isRelay = queryState(c, func() bool { return c.chooseRelay(c.now()) == "" })
		}
		time.Sleep(2 * time.Second)
		d.store.SetDown(true)
		time.Sleep(6 * time.Second)
		checked := 0
		for i, w := range writers {
			if d.stopped(i) {
				continue
			}
			checked++
			if age := time.Since(w.last()); age > time.Second {
				t.Errorf("last write through host %d was %s ago, want writes while the store is down", i, age)
			}
		}
		if checked == 0 {
			t.Error("no host with a writer remained")
		}
		d.store.SetDown(false)
		time.Sleep(time.Second)
	})
}

// Guards against a restarted host that refuses statements for longer than it needs
// to register, because the first proof was older than the registration.
func TestRestartedHostGetsLeaseSoon(t *testing.T) {
	deployLeased(t, func(d *deployment) {
		d.holder()
		for i := range testHosts {
			name := d.hosts[i].host
			d.stop(i)
			c := d.hosts[d.start(name)]
			time.Sleep(400 * time.Millisecond)
			if !c.writeLease.Valid(time.Now()) {
				t.Errorf("%s has no write lease 400ms after its start", name)
			}
		}
	})
}

// Guards against statements that wait on a host without a lease although other
// hosts would serve them.
func TestIsolatedHostRefusesAtOnce(t *testing.T) {
	deployLeased(t, func(d *deployment) {
		holder := d.holder()
		isolated := d.hosts[indexesBut(1, holder)[0]]
		for _, c := range d.hosts {
			if c != isolated {
				d.network.setCut(c.host, isolated.host, true)
			}
		}
		d.store.SetPartitioned(isolated.host, true)
		time.Sleep(4 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		began := time.Now()
		_, err := isolated.published.View().Groups["service"].WaitPrimary(ctx)
		if took := time.Since(began); err == nil || took > time.Second {
			t.Errorf("statement on a host without a lease got error %v after %s, want a refusal within 1s", err, took)
		}
		d.healSplit()
		time.Sleep(2 * time.Second)
		if _, err := isolated.published.View().Groups["service"].WaitPrimary(ctx); err != nil {
			t.Errorf("after the partition: %v, want a primary", err)
		}
	})
}

// Guards against commits of replaced primaries under random partitions, outages of
// the store, restarts of hosts and lost servers.
func TestNoSplitCommitsUnderRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			deployLeased(t, func(d *deployment) { d.playRandomFaults(rand.New(rand.NewPCG(seed, 0))) })
		})
	}
}

const (
	// randomFaultSteps is the number of faults that a seed injects.
	randomFaultSteps = 25
	// recoveryTime is the time after the last fault in which all hosts must write
	// again.
	recoveryTime = 20 * time.Second
)

func (d *deployment) playRandomFaults(rng *rand.Rand) {
	d.holder()
	writers := map[int]*writer{}
	for i := range d.hosts {
		writers[i] = d.startWriter(i)
	}
	for range randomFaultSteps {
		d.injectFault(rng, writers)
		d.injectRestore()
		time.Sleep(time.Duration(rng.IntN(2500)) * time.Millisecond)
	}
	d.healSplit()
	d.store.SetDown(false)
	for _, id := range []string{"s1", "s2", "s3"} {
		d.service.Start(id)
	}
	time.Sleep(recoveryTime)
	for i, w := range writers {
		if age := time.Since(w.last()); !d.stopped(i) && age > time.Second {
			d.t.Errorf("last write through host %d was %s ago, want writes after the faults", i, age)
		}
	}
	d.checkNoSplitCommits()
}

// injectFault injects one random fault, or ends some.
func (d *deployment) injectFault(rng *rand.Rand, writers map[int]*writer) {
	var live []int
	for i := range d.hosts {
		if !d.stopped(i) {
			live = append(live, i)
		}
	}
	host := live[rng.IntN(len(live))]
	server := fmt.Sprint("s", 1+rng.IntN(3))
	switch rng.IntN(9) {
	case 0:
		var inside []int
		for _, i := range live {
			if rng.IntN(2) == 0 {
				inside = append(inside, i)
			}
		}
		if primary := d.service.Primary(); primary != "" {
			d.split(primary, inside...)
		}
	case 1:
		d.healSplit()
	case 2:
		d.store.SetPartitioned(d.hosts[host].host, true)
	case 3:
		d.store.SetDown(rng.IntN(2) == 0)
	case 4:
		d.network.setCut(d.hosts[host].host, server, true)
	case 5:
		other := live[rng.IntN(len(live))]
		d.network.setDelay(d.hosts[host].host, d.hosts[other].host, time.Duration(rng.IntN(1500))*time.Millisecond)
	case 6:
		name := d.hosts[host].host
		d.stop(host)
		i := d.start(name)
		writers[i] = d.startWriter(i)
	case 7:
		d.service.Crash(server)
		time.AfterFunc(2*time.Second, func() { d.service.Start(server) })
	case 8:
		d.service.SetIsolated(server, rng.IntN(2) == 0)
	}
}
