package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/lease"
	"github.com/gypsumgap/gypsumgap/core/membership"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/retry"
)

// In a large availability zone, one host follows the store and the others follow
// that host, so that the calls to the store do not grow with the fleet. A host that
// gets nothing from its relay turns to the next host of its zone, and after
// maxRelayFailures to the store itself.

// Timeouts and limits of the following of relays.
const (
	// minZoneHosts is the number of hosts in an availability zone from which relays
	// are used. With fewer, the frequent watches of a relay cost more calls than
	// those that they save.
	minZoneHosts = 8
	// followWait is how long a follower waits for a change in one request.
	followWait = time.Second
	// followTimeout bounds one request.
	followTimeout = followWait + 700*time.Millisecond
	// relayWatchWait replaces the wait of a watch on a relay. Followers must not
	// rely on a relay for long whose connection to the store is silent.
	relayWatchWait = time.Second
	// failedRelayPause is how long a relay that failed is not asked again.
	failedRelayPause = 5 * time.Second
	// maxRelayFailures is the number of relays that a host asks in a row before it
	// turns to the store, and maxStartFailures that during startPeriod, when the
	// relays may be starting, too.
	maxRelayFailures = 2
	maxStartFailures = 5
	startPeriod      = 2 * time.Second
	// startRetryPause is the pause between requests during startPeriod.
	startRetryPause = 120 * time.Millisecond
	// directPeriod is how long a host that turned to the store follows it.
	directPeriod = 5 * time.Second
	// maxUnsyncedRelays is the number of hosts of a zone that are asked in turn while
	// the store is unavailable. Each host that is asked calls the store.
	maxUnsyncedRelays = 2
	// unsyncedPause is the pause between requests while no relay reaches the store,
	// and unsyncedProbeInterval the mean time between attempts to reach it from this
	// host. The first attempt is made at once: the store may turn only the relays away.
	unsyncedPause         = 400 * time.Millisecond
	unsyncedProbeInterval = 4 * time.Second
	// directCheckInterval is the time between checks whether this host still has to
	// follow the store.
	directCheckInterval = 250 * time.Millisecond
	// firstCountTimeout bounds the wait for the first list of the hosts.
	firstCountTimeout = 500 * time.Millisecond
)

// followRelayPurpose separates the hash for the selection of a relay from other
// uses of the same hash.
const followRelayPurpose = "store relay"

// errUnsynced means that a relay does not reach the store.
var errUnsynced = errors.New("relay does not reach the store")

// followState is the part of the state of a follower that the controller shares
// with it. It is safe for concurrent use.
type followState struct {
	// peers holds the other hosts by name.
	peers atomic.Pointer[map[string]peerHost]
	// missing holds the primaries that this host cannot reach, by service.
	missing atomic.Pointer[map[string]string]
	// followsRelay is true while this host learns the changes from a relay.
	followsRelay atomic.Bool
	// counted is closed after the first list of the hosts.
	counted chan struct{}
}

// follower learns the changes of the store for one host, by own watches or from a
// relay.
type follower struct {
	c         *controller
	startedAt time.Time
	// failedAt is when each relay last failed.
	failedAt map[string]time.Time
	failures int
	// unsynced is the number of relays in a row that did not reach the store.
	unsynced int
	// directUntil is the time until which this host follows the store.
	directUntil time.Time
	// stopDirect ends the watches of this host; nil if there are none.
	stopDirect context.CancelFunc
	// known is what this host has of each kind.
	known map[objects.Kind]*peerapi.KindVersion
	relay string
	// nextProbe is when this host next tries to reach the store although no relay
	// does.
	nextProbe time.Time
}

// follow runs until ctx ends.
func (c *controller) follow(ctx context.Context) {
	f := &follower{c: c, startedAt: c.now(), failedAt: map[string]time.Time{}, known: map[objects.Kind]*peerapi.KindVersion{}}
	select {
	case <-c.followState.counted:
	case <-time.After(firstCountTimeout):
	case <-ctx.Done():
	}
	for ctx.Err() == nil {
		relay := f.chooseRelay(c.now())
		f.setDirect(ctx, relay == "" || c.feed.isRelay())
		if f.stopDirect != nil {
			f.setRelay("")
			f.watchDirectly(ctx)
			continue
		}
		f.setRelay(relay)
		f.handle(ctx, relay, f.request(ctx, relay))
	}
	f.setDirect(ctx, false)
}

// watchDirectly leaves the watches of this host running for directCheckInterval. If
// the host becomes a relay, it starts them again with the shorter wait.
func (f *follower) watchDirectly(ctx context.Context) {
	select {
	case <-f.c.feed.asked:
		f.setDirect(ctx, false)
	case <-time.After(directCheckInterval):
	case <-ctx.Done():
	}
}

// chooseRelay returns the name of the host to follow, or an empty string if this
// host is to follow the store.
func (f *follower) chooseRelay(now time.Time) string {
	peers := f.c.followState.peers.Load()
	if peers == nil || now.Before(f.directUntil) {
		return ""
	}
	zoneHosts := 1
	hosts := []string{f.c.host}
	for name, p := range *peers {
		if p.zone != f.c.zone {
			continue
		}
		zoneHosts++
		if now.Sub(f.failedAt[name]) >= failedRelayPause {
			hosts = append(hosts, name)
		}
	}
	if zoneHosts < minZoneHosts {
		return ""
	}
	if host := membership.SelectHost(followRelayPurpose, hosts); host != f.c.host {
		return host
	}
	return ""
}

// setDirect starts or ends the watches of this host.
func (f *follower) setDirect(ctx context.Context, direct bool) {
	if direct == (f.stopDirect != nil) {
		return
	}
	if !direct {
		f.stopDirect()
		f.stopDirect = nil
		// A relay that is behind what this host has read must not be followed.
		for _, kind := range followedKinds {
			f.known[kind] = &peerapi.KindVersion{Kind: kind.String(), Revision: uint64(f.c.feed.revision(kind))}
		}
		return
	}
	ctx, f.stopDirect = context.WithCancel(ctx)
	for _, kind := range followedKinds {
		w := watcher{store: f.c.store, kind: kind, now: f.c.now, wait: f.watchWait, post: func(ch storeChange) {
			if ctx.Err() != nil {
				return
			}
			f.c.feed.apply(ch)
			f.c.post(ctx, func() { f.c.applyChange(ch) })
		}}
		if kind == objects.Servers {
			w.batchUntil = f.c.startedAt.Add(batchPeriod)
		}
		go w.run(ctx)
	}
}

// watchWait returns how long the next watch may wait for a change.
func (f *follower) watchWait() time.Duration {
	if f.c.feed.isRelay() {
		return min(relayWatchWait, f.c.watchWait)
	}
	return f.c.watchWait
}

// setRelay records which host this one follows.
func (f *follower) setRelay(relay string) {
	f.c.followState.followsRelay.Store(relay != "")
	if relay == f.relay {
		return
	}
	f.c.log.WithFields(logrus.Fields{"event": "store_relay", "from": relay, "before": f.relay}).Info("source of the store's changes changed; empty means the store itself")
	f.relay = relay
}

// request asks a relay for changes and applies them.
func (f *follower) request(ctx context.Context, relay string) error {
	callCtx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	go func() {
		// A host that becomes a relay itself turns to the store at once.
		select {
		case <-f.c.feed.asked:
			cancel()
		case <-callCtx.Done():
		}
	}()
	request := &peerapi.FollowRequest{WaitMs: uint64(followWait.Milliseconds()), Host: f.c.host}
	for _, kind := range followedKinds {
		known := f.known[kind]
		if known == nil {
			known = &peerapi.KindVersion{Kind: kind.String()}
		}
		request.Known = append(request.Known, known)
	}
	if missing := f.c.followState.missing.Load(); missing != nil {
		for service, primary := range *missing {
			request.Missing = append(request.Missing, &peerapi.MissingPrimary{Service: service, Primary: primary})
		}
	}
	address := (*f.c.followState.peers.Load())[relay].address
	response, err := f.c.peer(address).Follow(callCtx, request)
	if err != nil {
		return err
	}
	if !response.GetSynced() {
		return errUnsynced
	}
	f.apply(ctx, response)
	return nil
}

// apply passes the changes of a response to the controller.
func (f *follower) apply(ctx context.Context, r *peerapi.FollowResponse) {
	for _, changes := range r.GetChanges() {
		i := slices.IndexFunc(followedKinds, func(k objects.Kind) bool { return k.String() == changes.GetKind() })
		if i < 0 {
			continue
		}
		kind := followedKinds[i]
		ch := storeChange{kind: kind, full: changes.GetFull(), revision: objects.Revision(changes.GetRevision())}
		for _, e := range changes.GetEntries() {
			ch.objects = append(ch.objects, decodeEntry(kind, e))
		}
		f.known[kind] = &peerapi.KindVersion{Kind: kind.String(), Source: r.GetSource(), Version: changes.GetVersion(), Revision: changes.GetRevision()}
		f.c.post(ctx, func() { f.c.applyChange(ch) })
	}
	var record lease.Record
	if len(r.GetLease()) > 0 && json.Unmarshal(r.GetLease(), &record) == nil {
		f.c.post(ctx, func() { f.c.lease.Observe(f.c.now(), record, objects.Revision(r.GetLeaseRevision())) })
	}
}

// handle decides where to turn after a request.
func (f *follower) handle(ctx context.Context, relay string, err error) {
	now := f.c.now()
	switch {
	case err == nil:
		f.failures, f.unsynced, f.nextProbe = 0, 0, time.Time{}
		return
	case ctx.Err() != nil, f.c.feed.isRelay():
		return
	}
	f.failures++
	f.c.log.WithFields(logrus.Fields{"event": "store_relay_lost", "from": relay, "failures": f.failures}).WithError(err).Warn("relay passed on no changes of the store")
	if now.Sub(f.startedAt) < startPeriod && !errors.Is(err, errUnsynced) && f.failures < maxStartFailures {
		_ = retry.Sleep(ctx, startRetryPause)
		return
	}
	f.failedAt[relay] = now
	if errors.Is(err, errUnsynced) {
		f.handleUnsynced(ctx, now)
	} else if f.failures >= maxRelayFailures {
		f.turnToStore(now)
	}
}

// handleUnsynced decides where to turn after a relay that does not reach the store.
func (f *follower) handleUnsynced(ctx context.Context, now time.Time) {
	if f.unsynced++; f.unsynced < maxUnsyncedRelays {
		return
	}
	f.unsynced = 0
	clear(f.failedAt)
	if now.After(f.nextProbe) {
		f.nextProbe = now.Add(unsyncedProbeInterval/2 + rand.N(unsyncedProbeInterval))
		if f.reachesStore(ctx) {
			f.turnToStore(now)
			return
		}
	}
	_ = retry.Sleep(ctx, unsyncedPause/2+rand.N(unsyncedPause))
}

func (f *follower) turnToStore(now time.Time) {
	f.failures = 0
	f.directUntil = now.Add(directPeriod + rand.N(directPeriod))
}

// reachesStore makes one call to the store.
func (f *follower) reachesStore(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := f.c.store.List(ctx, objects.Leases, true)
	return err == nil
}
