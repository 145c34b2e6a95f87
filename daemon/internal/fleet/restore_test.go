package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/objects/objectstest"
)

// Times of the plays with a store that goes back to an older copy.
const (
	copyAge = 5 * time.Second
	// restoreOutage is how long the store is away before it goes back.
	restoreOutage = 500 * time.Millisecond
	// reusedRevisions is more than the number of writes during copyAge.
	reusedRevisions = 100
)

// restoreStore makes the store go back to a copy after an outage.
func (d *deployment) restoreStore(backup objectstest.Backup) {
	d.store.SetDown(true)
	time.Sleep(restoreOutage)
	d.store.Restore(backup)
	d.store.SetDown(false)
}

// Guards against a draining primary that is not replaced because nobody holds the
// promotion duty after the store went back.
func TestDrainingPrimaryIsReplacedAfterRestore(t *testing.T) {
	deploy(t, func(d *deployment) {
		d.holder()
		backup := d.store.Backup()
		time.Sleep(copyAge)
		d.restoreStore(backup)
		time.Sleep(3 * time.Second)
		d.checkPlannedChange("s1")
	})
}

// Guards against a second holder with a token that was already used before the store
// went back.
func TestTokensOfPromotionsAfterRestore(t *testing.T) {
	deploy(t, func(d *deployment) {
		backup := d.store.Backup()
		d.loseHolderAndPrimary()
		d.restoreStore(backup)
		time.Sleep(time.Second)
		d.loseHolderAndPrimary()
		holders := map[uint64]string{}
		last := uint64(0)
		for _, o := range d.orders {
			if holder, used := holders[o.Token]; used && holder != o.Holder {
				t.Errorf("token %d was used by %s and by %s", o.Token, holder, o.Holder)
			}
			if o.Token < last {
				t.Errorf("token %d was used after %d", o.Token, last)
			}
			holders[o.Token], last = o.Holder, o.Token
		}
		if len(holders) < 2 {
			t.Errorf("got orders with %d tokens, want two or more", len(holders))
		}
	})
}

// loseHolderAndPrimary stops the holder of the promotion duty and the primary, and
// waits until another holder has replaced the primary.
func (d *deployment) loseHolderAndPrimary() {
	d.t.Helper()
	d.stop(d.holder())
	lost := d.service.Primary()
	d.service.CrashPrimary()
	d.awaitFailover(lost, 15*time.Second)
}

// Guards against a host that misses a configuration because it watches from a
// revision that the store has given out again.
func TestConfigurationWithReusedRevision(t *testing.T) {
	deploy(t, func(d *deployment) {
		backup := d.store.Backup()
		time.Sleep(copyAge)
		cut := d.hosts[testHosts-1].host
		d.store.SetPartitioned(cut, true)
		d.restoreStore(backup)
		d.store.Configure(configuration(2, ampleLimit))
		d.writeFillers()
		d.store.SetPartitioned(cut, false)
		time.Sleep(maxConfigurationDelay)
		for _, c := range d.hosts {
			if version := c.published.Configuration().Version; version != 2 {
				t.Errorf("%s has version %d, want 2", c.host, version)
			}
		}
	})
}

// writeFillers makes the store give out reusedRevisions revisions.
func (d *deployment) writeFillers() {
	client := objectstest.Client{Store: d.store, Host: "filler"}
	revision := objects.Revision(0)
	for range reusedRevisions {
		o, err := client.Put(d.ctx, objects.Revocations, "filler", []byte(`{}`), revision)
		if err != nil {
			d.t.Fatal(err)
		}
		revision = o.Revision
	}
}

// Guards against followers that all turn to a restored store, because the revisions of
// their next relay are lower than those before.
func TestFollowersOfRestoredStore(t *testing.T) {
	deployLarge(t, 60, func(d *deployment) {
		time.Sleep(10 * time.Second)
		backup := d.store.Backup()
		time.Sleep(copyAge)
		d.restoreStore(backup)
		time.Sleep(3 * copyAge)
		relays := d.relays()
		for i, c := range d.hosts {
			if slices.Contains(relays, c) {
				d.stop(i)
			}
		}
		time.Sleep(copyAge)
		d.store.Configure(configuration(2, d.limit))
		time.Sleep(maxConfigurationDelay)
		if with, running := d.countVersion(2); with != running {
			t.Errorf("%d of %d hosts have the configuration that was written after the restore", with, running)
		}
		if n := len(d.relays()); n > 2*len(relays) {
			t.Errorf("%d hosts follow the store after it went back, want at most twice the %d before", n, len(relays))
		}
	})
}

// Guards against a server that announced its stop, or has left, and is used again
// because the store went back to an older entry.
func TestAnnouncedStopIsFinal(t *testing.T) {
	deploy(t, func(d *deployment) {
		c := d.hosts[0]
		ready := catalog.Server{ID: "x", Service: "service", Address: "x:1", Zone: "a", StatementLimit: 1, StartedUnixMilli: 7}
		draining, restarted := ready, ready
		draining.Draining, restarted.StartedUnixMilli = true, 8
		apply := func(s catalog.Server, deleted bool) {
			o := objects.Object{Name: s.ID, Server: &s, Deleted: deleted}
			c.applyServers(storeChange{kind: objects.Servers, objects: []objects.Object{o}})
		}
		known := func(s catalog.Server, deleted bool) *registeredServer {
			return queryState(c, func() *registeredServer { apply(s, deleted); return c.servers["x"] })
		}
		known(draining, false)
		if r := known(ready, false); r == nil || !r.server.Draining {
			t.Errorf("got %+v for a server that announced its stop, want it draining", r)
		}
		known(draining, true)
		if r := known(ready, false); r != nil {
			t.Errorf("got %+v for a server that left, want none", r)
		}
		if r := known(restarted, false); r == nil || r.server.Draining {
			t.Errorf("got %+v for a server that started again, want it in use", r)
		}
	})
}

// Guards against writes to a replaced primary through a host that starts after the
// store forgot the revocation of that primary.
func TestReplacedPrimaryIsNotUsedAfterRestore(t *testing.T) {
	deployLeased(t, func(d *deployment) {
		holder := d.holder()
		backup := d.store.Backup()
		d.split("s1", indexesBut(2, holder)...)
		time.Sleep(9 * time.Second)
		if d.service.Promotions() != 1 {
			t.Fatalf("got %d promotions, want one", d.service.Promotions())
		}
		d.restoreStore(backup)
		for _, other := range []string{"s2", "s3"} {
			d.network.setCut("late", other, true)
			d.network.setCut(other, "late", true)
		}
		d.startWriter(d.start("late"))
		time.Sleep(9 * time.Second)
		d.checkNoSplitCommits()
	})
}

// Guards against a promotion that does not wait for a host whose registration the
// store forgot, and that still has a lease for the replaced primary.
func TestForgottenHostIsWaitedForAfterRestore(t *testing.T) {
	deployLeased(t, func(d *deployment) {
		d.holder()
		backup := d.store.Backup()
		late := d.start("late")
		d.startWriter(late)
		time.Sleep(2 * time.Second)
		d.restoreStore(backup)
		d.split("s1", late)
		time.Sleep(15 * time.Second)
		if d.service.Promotions() != 1 {
			t.Errorf("got %d promotions, want one", d.service.Promotions())
		}
		d.checkNoSplitCommits()
	})
}

// Guards against commits of replaced primaries when the store goes back amid random
// partitions, outages, restarts of hosts and lost servers.
func TestNoSplitCommitsUnderRandomRestores(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			deployLeased(t, func(d *deployment) {
				rng := rand.New(rand.NewPCG(seed, 1))
				d.restores = rng
				d.playRandomFaults(rng)
			})
		})
	}
}

// injectRestore makes the store take a copy of itself, or go back to the last one.
func (d *deployment) injectRestore() {
	switch {
	case d.restores == nil:
	case d.restores.IntN(3) == 0:
		d.backups = append(d.backups, d.store.Backup())
	case d.restores.IntN(4) == 0 && len(d.backups) > 0:
		d.store.Restore(d.backups[len(d.backups)-1])
	}
}

// Guards against a promotion that rests on a list of hosts from after a restore that
// the holder of the duty has not noticed.
func TestRevocationNeedsEraOfDuty(t *testing.T) {
	deployLeased(t, func(d *deployment) {
		c := d.hosts[d.holder()]
		r := &revocation{
			lease: c.writeLease, store: c.store, group: c.published.View().Groups["service"], host: c.host, era: 1,
			registrations: &hostRegistry{}, now: time.Now, term: 1,
		}
		d.store.Restore(d.store.Backup())
		if err := r.storeOnce(d.ctx); err == nil || r.isStored() {
			t.Errorf("got error %v and a list of hosts %t, want the list of another era refused", err, r.isStored())
		}
	})
}
