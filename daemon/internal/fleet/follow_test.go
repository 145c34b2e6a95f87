package fleet

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/gypsumgap/gypsumgap/core/catalog"
	"github.com/gypsumgap/gypsumgap/core/membership"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/daemon/internal/backend"
)

const (
	largeFleet = 200
	largeZones = 6
	// callsPerZone bounds the calls a second of one availability zone: the two
	// watches of its relay, the lease and the duty.
	callsPerZone = 4.0
	// callsPerHost bounds the calls a second of a host that follows a relay: its
	// registration and the stale list of hosts.
	callsPerHost = 1.0/30 + 0.1/10 + 0.01
)

func deployLarge(t *testing.T, size int, test func(*deployment)) {
	deployWith(t, &deployment{limit: 4 * size, network: newNetwork(), size: size, zones: largeZones}, test)
}

// costOf returns the price of the store calls during work.
func (d *deployment) costOf(work func()) float64 {
	before := d.store.Cost()
	work()
	return d.store.Cost() - before
}

// relays returns the hosts that follow the store themselves.
func (d *deployment) relays() []*controller {
	var out []*controller
	for i, c := range d.hosts {
		if !d.stopped(i) && !c.followState.followsRelay.Load() {
			out = append(out, c)
		}
	}
	return out
}

// countVersion returns the number of running hosts that have the version of the
// configuration, and the number of running hosts.
func (d *deployment) countVersion(version uint64) (with, running int) {
	for i, c := range d.hosts {
		if d.stopped(i) {
			continue
		}
		running++
		if cfg := c.published.Configuration(); cfg != nil && cfg.Version == version {
			with++
		}
	}
	return with, running
}

// Guards against store calls that grow with the fleet while nothing changes.
func TestIdleStoreCallsAreFlat(t *testing.T) {
	for _, size := range []int{60, largeFleet} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			deployLarge(t, size, func(d *deployment) {
				time.Sleep(10 * time.Second)
				const idle = 30 * time.Second
				perSecond := d.costOf(func() { time.Sleep(idle) }) / idle.Seconds()
				if limit := largeZones*callsPerZone + float64(size)*callsPerHost; perSecond > limit {
					t.Errorf("got %.1f store calls/s with %d hosts, want at most %.1f; %d hosts follow the store", perSecond, size, limit, len(d.relays()))
				}
			})
		})
	}
}

// Guards against a change of the configuration that makes every host call the
// store.
func TestConfigurationReachesFollowers(t *testing.T) {
	deployLarge(t, largeFleet, func(d *deployment) {
		time.Sleep(10 * time.Second)
		cost := d.costOf(func() {
			d.store.Configure(configuration(2, d.limit))
			time.Sleep(time.Second)
		})
		if with, running := d.countVersion(2); with != running {
			t.Errorf("%d of %d hosts have the new version after 1s, want all", with, running)
		}
		if limit := largeZones*callsPerZone + largeFleet*callsPerHost + 2*largeZones; cost > limit {
			t.Errorf("the change cost %.1f store calls, want at most %.1f", cost, limit)
		}
	})
}

// Guards against relays that lose the proof that they are current because a change
// arrives late in a watch, so that their followers turn to the store.
func TestFollowersKeepRelayDuringChanges(t *testing.T) {
	deployLarge(t, 60, func(d *deployment) {
		time.Sleep(20 * time.Second)
		relays := d.relays()
		for version := range uint64(20) {
			d.store.Configure(configuration(version+2, d.limit))
			time.Sleep(relayWatchWait + 730*time.Millisecond)
			if n := len(d.relays()); n > len(relays) {
				t.Errorf("%d hosts follow the store after %d changes, want the %d relays", n, version+1, len(relays))
			}
		}
	})
}

// maxConfigurationDelay is the time within which hosts that reach the store must
// have a new configuration, also if their relay does not.
const maxConfigurationDelay = 3 * time.Second

// Guards against hosts that keep an outdated configuration because their relay was
// lost, or lost the store without noticing.
func TestConfigurationReachesFollowersOfLostRelay(t *testing.T) {
	for name, lose := range map[string]func(*deployment, *controller){
		"stopped": func(d *deployment, relay *controller) {
			for i, c := range d.hosts {
				if c == relay {
					d.stop(i)
				}
			}
		},
		"silent": func(d *deployment, relay *controller) {
			for _, c := range d.hosts {
				d.network.setCut(c.host, relay.host, true)
			}
		},
		"without store": func(d *deployment, relay *controller) { d.store.SetPartitioned(relay.host, true) },
		"without store, like the next host": func(d *deployment, relay *controller) {
			zone := []string{relay.host}
			for name, p := range queryState(relay, func() map[string]peerHost { return relay.peers }) {
				if p.zone == relay.zone {
					zone = append(zone, name)
				}
			}
			for _, name := range membership.RankHosts(followRelayPurpose, zone)[:2] {
				d.store.SetPartitioned(name, true)
				d.lost[name] = true
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			deployLarge(t, 60, func(d *deployment) {
				time.Sleep(10 * time.Second)
				d.lost = map[string]bool{}
				for _, relay := range d.relays() {
					d.lost[relay.host] = true
					lose(d, relay)
				}
				d.store.Configure(configuration(2, d.limit))
				time.Sleep(maxConfigurationDelay)
				for i, c := range d.hosts {
					if d.stopped(i) || d.lost[c.host] {
						continue
					}
					if version := c.published.Configuration().Version; version != 2 {
						t.Errorf("%s has version %d after %s, want 2", c.host, version, maxConfigurationDelay)
					}
				}
			})
		})
	}
}

// Guards against a server that left and is used again, because a host turned to a
// relay that had not learned of it.
func TestRemovedServerDoesNotReturn(t *testing.T) {
	deployLarge(t, 60, func(d *deployment) {
		time.Sleep(10 * time.Second)
		for _, relay := range d.relays() {
			d.store.SetPartitioned(relay.host, true)
		}
		d.mu.Lock()
		d.draining["s3"] = true
		d.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		d.service.Crash("s3")
		time.Sleep(8 * time.Second)
		known := func(c *controller) bool {
			return queryState(c, func() bool { return c.servers["s3"] != nil })
		}
		var without []*controller
		for _, c := range d.hosts {
			if !known(c) {
				without = append(without, c)
			}
		}
		if len(without) < len(d.hosts)/2 {
			t.Fatalf("only %d hosts learned that the server left", len(without))
		}
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			for _, c := range without {
				if known(c) {
					t.Fatalf("%s uses the server that left again", c.host)
				}
			}
		}
	})
}

// Guards against a wave of store calls when all hosts start again at once, and
// against hosts that are not ready soon after.
func TestRestartOfAllHosts(t *testing.T) {
	deployLarge(t, largeFleet, func(d *deployment) {
		time.Sleep(10 * time.Second)
		names := make([]string, 0, largeFleet)
		for i, c := range d.hosts {
			names = append(names, c.host)
			d.stop(i)
		}
		time.Sleep(time.Second)
		cost := d.costOf(func() {
			for _, name := range names {
				d.start(name)
			}
			time.Sleep(time.Second)
		})
		if with, running := d.countVersion(1); with != running || running != largeFleet {
			t.Errorf("%d of %d hosts have the configuration 1s after the start, want all of %d", with, running, largeFleet)
		}
		// A write and two stale lists a host, and the calls of the relays.
		if limit := 1.3*largeFleet + 10*largeZones; cost > limit {
			t.Errorf("the start cost %.0f store calls, want at most %.0f", cost, limit)
		}
	})
}

// Guards against every host retrying while the store is down, and against hosts
// that learn late that servers whose entries lapsed are back.
func TestStoreOutageOfLargeFleet(t *testing.T) {
	deployLarge(t, largeFleet, func(d *deployment) {
		time.Sleep(10 * time.Second)
		const outage = 10 * time.Second
		cost := d.costOf(func() {
			d.store.SetDown(true)
			time.Sleep(outage)
		})
		if limit := 0.6 * largeFleet * outage.Seconds(); cost > limit {
			t.Errorf("the outage cost %.0f store calls, want at most %.0f", cost, limit)
		}
		d.store.SetDown(false)
		d.store.Configure(configuration(2, d.limit))
		time.Sleep(2 * time.Second)
		if with, running := d.countVersion(2); with != running {
			t.Errorf("%d of %d hosts have the new version 2s after the outage, want all", with, running)
		}
	})
}

// Guards against a primary that many hosts miss and that is not replaced, because
// hosts that follow a relay do not report it.
func TestFollowersReportLostPrimary(t *testing.T) {
	deployLarge(t, 60, func(d *deployment) {
		time.Sleep(10 * time.Second)
		holder := d.holder()
		for i, c := range d.hosts {
			if i != holder && i%2 == 0 {
				d.network.setCut(c.host, "s1", true)
			}
		}
		cost := d.costOf(func() {
			for range 60 {
				d.useService()
				time.Sleep(100 * time.Millisecond)
			}
		})
		if d.service.Promotions() != 1 {
			t.Errorf("got %d promotions, want one", d.service.Promotions())
		}
		if limit := 6 * (largeZones*(callsPerZone+4) + 60*callsPerHost); cost > limit {
			t.Errorf("the loss cost %.0f store calls, want at most %.0f", cost, limit)
		}
	})
}

// Guards against objects that change on their way through a relay.
func TestRelayedObjectsAreEqual(t *testing.T) {
	deployLarge(t, 60, func(d *deployment) {
		c := configuration(2, 7)
		c.Routes["db"].Consistency, c.Routes["db"].MaxStaleness = catalog.ReadYourWrites, 3*time.Second
		c.TransactionIdleTimeout = time.Minute
		d.store.Configure(c)
		time.Sleep(10 * time.Second)
		for _, h := range d.hosts {
			got := h.published.Configuration()
			if got.Version != 2 || *got.Routes["db"] != *c.Routes["db"] || got.Services["service"] != c.Services["service"] || got.TransactionIdleTimeout != time.Minute {
				t.Fatalf("%s has %+v, want %+v", h.host, got, c)
			}
			servers := queryState(h, func() int { return len(h.servers) })
			if servers != 3 {
				t.Fatalf("%s knows %d servers, want 3", h.host, servers)
			}
		}
	})
}

// Guards against a malformed object of a relay that ends the process or replaces
// the configuration.
func TestMalformedRelayedObjects(t *testing.T) {
	compress := func(text string) []byte {
		var out bytes.Buffer
		w := gzip.NewWriter(&out)
		_, _ = w.Write([]byte(text))
		_ = w.Close()
		return out.Bytes()
	}
	for name, value := range map[string][]byte{
		"not compressed": []byte("{}"),
		"not JSON":       compress("{"),
		"null":           compress("null"),
		"empty":          compress("{}"),
		"null route":     compress(`{"Version":1,"Routes":{"db":null}}`),
		"other server":   compress(`{"ID":"s2"}`),
	} {
		for _, kind := range followedKinds {
			if o := decodeEntry(kind, &peerapi.StoredEntry{Name: "s1", Value: value}); o.Err == nil {
				t.Errorf("%s of %s was accepted: %+v", name, kind, o)
			}
		}
	}
}

// Guards against a host that returns from the store to a relay which has not
// learned what the host has read meanwhile.
func TestFollowerRefusesOlderRelay(t *testing.T) {
	f := newFeed("relay/1", time.Now)
	f.apply(storeChange{kind: objects.Servers, full: true, revision: 7, provenAt: time.Now()})
	f.apply(storeChange{kind: objects.Configurations, full: true, revision: 7, provenAt: time.Now()})
	for revision, want := range map[uint64]bool{7: true, 8: false} {
		response, _, _ := f.answer(&peerapi.FollowRequest{Known: []*peerapi.KindVersion{{Kind: objects.Servers.String(), Revision: revision}}})
		if response.GetSynced() != want {
			t.Errorf("relay at revision 7 answers a follower at revision %d: synced %t, want %t", revision, response.GetSynced(), want)
		}
	}
	c := newController(options{host: "h", incarnation: "1", now: time.Now, scope: tally.NoopScope, groups: backend.Options{Now: time.Now}})
	c.feed = f
	follower := &follower{c: c, known: map[objects.Kind]*peerapi.KindVersion{}, stopDirect: func() {}}
	follower.setDirect(t.Context(), false)
	if known := follower.known[objects.Servers]; known.GetRevision() != 7 || known.GetSource() != "" {
		t.Errorf("after its own watches the host follows from %+v, want all objects at revision 7 or later", known)
	}
}
