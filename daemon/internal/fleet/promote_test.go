package fleet

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/statement"
	"github.com/gypsumgap/gypsumgap/core/succession"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

// Guards against a promotion that loses a commit that one replica has received,
// and against a wait for replicas that do not answer.
func TestPromotionAsksReplicas(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.holder()
		d.service.SetReplicationPaused("s2", true)
		d.writeOn(0, "w")
		time.Sleep(100 * time.Millisecond)
		d.service.Crash("s1")
		d.awaitFailover("s1", 10*time.Second)
		if p := d.service.Primary(); p != "s3" {
			t.Errorf("got primary %s, want s3, which has the last commit", p)
		}
		if got := d.service.Committed(); len(got) != 1 {
			t.Errorf("got commits %v, want only the write", got)
		}
	})
}

// Guards against a promotion that loses a commit if commits wait for one
// replica and the only replica that may have received it does not answer.
func TestPromotionWaitsForReplicasThatMayHoldCommits(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.holder()
		c := configuration(2, ampleLimit)
		c.Services["service"] = catalog.Service{Name: "service", ConnectionLimit: ampleLimit, SyncReplicas: 1}
		d.store.Configure(c)
		time.Sleep(time.Second)
		d.service.Crash("s3")
		d.service.Crash("s1")
		time.Sleep(15 * time.Second)
		if n := d.service.Promotions(); n != 0 {
			t.Fatal("replica was promoted although the other one may have a commit that it lacks")
		}
		d.service.Start("s3")
		if took := d.awaitFailover("s1", 10*time.Second); took > maxFailoverTimeUnderFaults {
			t.Errorf("failover took %s after the replica returned, want at most %s", took, maxFailoverTimeUnderFaults)
		}
	})
}

// writeOn writes through a host's connection to the primary.
func (d *deployment) writeOn(host int, id string) {
	d.t.Helper()
	g := d.hosts[host].published.View().Groups["service"]
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c, err := g.Primary().Acquire(ctx, testClass)
	if err != nil {
		d.t.Fatal(err)
	}
	defer c.Release()
	answers, _, err := c.ExchangeAsPrimary(time.Now().Add(time.Second), backend.Session{}, statement.Statement{ID: id, Kind: statement.Write, Text: "WRITE x 1"})
	if err != nil || answers[0].Code != statement.OK {
		d.t.Fatalf("write %s: got %+v and error %v", id, answers, err)
	}
}

// waitForReplicas makes the service acknowledge commits only after one replica has
// received them.
func (d *deployment) waitForReplicas() {
	d.service.SetSyncReplicas(1)
	c := configuration(2, ampleLimit)
	c.Services["service"] = catalog.Service{Name: "service", ConnectionLimit: ampleLimit, SyncReplicas: 1}
	d.store.Configure(c)
	time.Sleep(time.Second)
}

// replacePrimary lets the primary s1 announce its stop and waits until another server
// has replaced it, which it returns with the third one.
func (d *deployment) replacePrimary() (primary, other string) {
	d.t.Helper()
	d.mu.Lock()
	d.draining["s1"] = true
	d.mu.Unlock()
	d.awaitFailover("s1", 5*time.Second)
	// The holder decides on another replacement only after this time.
	time.Sleep(succession.PromotionTimeout)
	if primary = d.service.Primary(); primary == "s2" {
		return primary, "s3"
	}
	return primary, "s2"
}

// Guards against acknowledged commits that are lost with a server which left as
// announced (LOST): its receipt had let them be acknowledged, and the holder of the duty
// promoted a replica without them as soon as it had left.
func TestPromotionWaitsForCommitsOfServerThatLeft(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.holder()
		d.waitForReplicas()
		primary, other := d.replacePrimary()
		d.service.SetReplicationPaused(other, true)
		d.writeOn(0, "w")
		time.Sleep(100 * time.Millisecond)
		d.service.Crash(primary)
		time.Sleep(3 * time.Second)
		if n := d.service.Promotions(); n != 1 {
			t.Errorf("replica was promoted although the leaving one has a commit that it lacks")
		}
		d.service.Crash("s1")
		time.Sleep(10 * time.Second)
		if n := d.service.Promotions(); n != 1 {
			t.Errorf("replica was promoted although the one that left had a commit that it lacks")
		}
		d.service.Start(primary)
		time.Sleep(2 * time.Second)
		if got := d.service.Committed(); len(got) != 1 {
			t.Errorf("got commits %v, want the write", got)
		}
	})
}

// Guards against a lost primary that is not replaced while another server is about to
// stop, or after it has left, although a replica has all that these can hold.
func TestServerThatLeavesDoesNotDelayPromotion(t *testing.T) {
	for _, left := range []bool{false, true} {
		t.Run(fmt.Sprintf("left %t", left), func(t *testing.T) {
			deploy(t, func(d *deployment) {
				d.holder()
				d.waitForReplicas()
				primary, other := d.replacePrimary()
				d.writeOn(0, "w1")
				if left {
					d.service.Crash("s1")
					time.Sleep(5 * time.Second)
					d.writeOn(0, "w2")
				}
				time.Sleep(time.Second)
				d.service.Crash(primary)
				if took := d.awaitFailover(primary, 20*time.Second); took > maxFailoverTimeUnderFaults {
					t.Errorf("failover to %s took %s, want %s at most", other, took, maxFailoverTimeUnderFaults)
				}
			})
		})
	}
}

// Guards against a server that left and counts beside the one that has taken over its
// log at its address, and against a lost log that is forgotten because a server of another
// service uses the address (LOST).
func TestServerAtSameAddressTakesLogOver(t *testing.T) {
	deploy(t, func(d *deployment) {
		c := d.hosts[0]
		gone := func(id string) { c.recordEnd(logID{id, 7}, syscall.ECONNREFUSED) }
		applyTo := func(service, id, address string, draining, deleted bool) {
			server := catalog.Server{ID: id, Service: service, Address: address, Zone: "a", StatementLimit: 1, StartedUnixMilli: 7, Draining: draining}
			c.applyServers(storeChange{kind: objects.Servers, objects: []objects.Object{{Name: id, Server: &server, Deleted: deleted}}})
		}
		apply := func(id, address string, draining, deleted bool) { applyTo("service", id, address, draining, deleted) }
		counts := func(change func()) [2]int {
			return queryState(c, func() [2]int {
				change()
				h := c.commitHolders("service")
				return [2]int{h.servers, h.lost}
			})
		}
		for _, step := range []struct {
			what   string
			change func()
			want   [2]int
		}{
			{"server registered", func() { apply("x", "x:1", false, false) }, [2]int{4, 0}},
			{"server leaves", func() { apply("x", "x:1", true, false) }, [2]int{4, 0}},
			{"entry of the server removed", func() { apply("x", "x:1", true, true) }, [2]int{4, 0}},
			{"entry is back", func() { apply("x", "x:1", true, false) }, [2]int{4, 0}},
			{"server does not listen", func() { gone("x") }, [2]int{4, 0}},
			{"entry removed again", func() { apply("x", "x:1", true, true) }, [2]int{4, 0}},
			{"server left", func() { gone("x") }, [2]int{3, 1}},
			{"another server registered", func() { apply("y", "y:1", false, false) }, [2]int{4, 1}},
			{"server of another service at its address registered", func() { applyTo("other", "o", "x:1", false, false) }, [2]int{4, 1}},
			{"server at its address registered", func() { apply("z", "x:1", false, false) }, [2]int{5, 0}},
		} {
			if got := counts(step.change); got != step.want {
				t.Errorf("%s: got %v logs of servers and lost ones, want %v", step.what, got, step.want)
			}
		}
	})
}

// Guards against a draining primary that is not replaced because other servers, whose
// replies do not matter while it can be asked itself, do not answer.
func TestDrainingPrimaryIsReplacedWithoutAllReplies(t *testing.T) {
	for _, leased := range []bool{false, true} {
		t.Run(fmt.Sprintf("leased %t", leased), func(t *testing.T) {
			deployWith(t, &deployment{limit: ampleLimit, leased: leased, network: newNetwork()}, func(d *deployment) {
				d.holder()
				d.waitForReplicas()
				d.service.Crash("s3")
				d.writeOn(0, "w")
				time.Sleep(time.Second)
				d.checkPlannedChange("s1")
				if got := d.service.Committed(); len(got) != 1 {
					t.Errorf("got commits %v, want the write", got)
				}
			})
		})
	}
}

// Guards against a draining primary that steps down although no replica receives its
// commits, so that writes are refused until one does.
func TestDrainingPrimaryIsKeptWithoutFollower(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.holder()
		d.waitForReplicas()
		for _, id := range []string{"s2", "s3"} {
			d.service.SetReplicationPaused(id, true)
		}
		// The primary executes the write, and acknowledges it once a replica follows.
		go d.write(d.hosts[0], "w")
		d.mu.Lock()
		d.draining["s1"] = true
		d.mu.Unlock()
		time.Sleep(3 * time.Second)
		if p := d.service.Primary(); p != "s1" {
			t.Errorf("got primary %q, want s1 while no replica follows it", p)
		}
		d.service.SetReplicationPaused("s2", false)
		if took := d.awaitFailover("s1", 5*time.Second); took > time.Second+catchUpTimeout {
			t.Errorf("failover took %s after a replica followed again, want about 1 s", took)
		}
		if got := d.service.Committed(); len(got) != 1 {
			t.Errorf("got commits %v, want the write", got)
		}
	})
}
