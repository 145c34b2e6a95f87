package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/retry"
)

// Intervals of the registrations.
const (
	// registerInterval is the time between renewals of a host's registration.
	registerInterval = 30 * time.Second
	// registrationMaxAge is the time since the last renewal of its registration
	// after which a host does not count as live.
	registrationMaxAge = 100 * time.Second
	// countInterval is the time between counts of the hosts. The first counts use
	// firstCountPauses instead, since hosts start at about the same time.
	countInterval = 10 * time.Second
)

var firstCountPauses = []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 5 * time.Second}

// registration is the stored registration of a host.
type registration struct {
	Zone        string `json:"zone"`
	Incarnation string `json:"incarnation"`
	// PeerAddress is the address at which the host serves other hosts.
	PeerAddress string `json:"peer_address"`
	// Renewal increases with each write, so that a renewal changes the object.
	Renewal int `json:"renewal"`
}

// maintainRegistration renews the registration of this host and counts the
// registered hosts.
func (c *controller) maintainRegistration(ctx context.Context) {
	renewals, revision := 0, objects.Revision(0)
	var renewed time.Time
	revision = c.countHosts(ctx)
	c.post(ctx, func() { close(c.followState.counted) })
	for i := 0; ctx.Err() == nil; i++ {
		if renewed.IsZero() || c.now().Sub(renewed) >= registerInterval {
			renewals++
			var err error
			sentAt := c.now()
			if revision, err = c.writeRegistration(ctx, renewals, revision); err == nil {
				renewed = c.now()
				if c.writeLease != nil {
					c.writeLease.SetRegistered(sentAt, renewed)
				}
			}
		}
		pause := countInterval
		if i < len(firstCountPauses) {
			pause = firstCountPauses[i]
		}
		if retry.Sleep(ctx, pause) != nil {
			return
		}
		c.countHosts(ctx)
	}
}

func (c *controller) writeRegistration(ctx context.Context, renewal int, known objects.Revision) (objects.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(registration{Zone: c.zone, Incarnation: c.incarnation, PeerAddress: c.peerAddress, Renewal: renewal})
	if err != nil {
		return known, err
	}
	return c.overwrite(ctx, objects.Hosts, value, known)
}

// overwrite writes an object that only this host writes, regardless of its
// revision, and returns the new revision. known is the revision last written by
// this process, or 0 if there is none.
func (c *controller) overwrite(ctx context.Context, kind objects.Kind, value []byte, known objects.Revision) (objects.Revision, error) {
	o, err := c.store.Put(ctx, kind, c.host, value, known)
	if err == nil {
		return o.Revision, nil
	}
	if !errors.Is(err, objects.ErrConflict) && !errors.Is(err, objects.ErrNotFound) {
		return known, err
	}
	o, err = c.store.Get(ctx, kind, c.host)
	if err != nil && !errors.Is(err, objects.ErrNotFound) {
		return known, err
	}
	o, err = c.store.Put(ctx, kind, c.host, value, o.Revision)
	return o.Revision, err
}

// registrationAges tells which registered hosts are live. It is safe for
// concurrent use.
type registrationAges struct {
	mu   sync.Mutex
	seen map[string]revisionSeen
}

// revisionSeen is a revision of a registration and when it was first seen.
type revisionSeen struct {
	revision    objects.Revision
	firstSeenAt time.Time
}

// isLive reports whether the registration was renewed within registrationMaxAge,
// as far as this host can tell.
func (a *registrationAges) isLive(o objects.Object, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.seen == nil {
		a.seen = map[string]revisionSeen{}
	}
	if s := a.seen[o.Name]; s.revision < o.Revision {
		a.seen[o.Name] = revisionSeen{o.Revision, now}
	}
	return now.Sub(a.seen[o.Name].firstSeenAt) < registrationMaxAge
}

// countHosts counts the hosts whose registration was renewed within
// registrationMaxAge, and updates the list of peers. A host is live even if its
// registration cannot be decoded. countHosts returns the revision of the
// registration of this host, or 0 if there is none.
func (c *controller) countHosts(ctx context.Context) (own objects.Revision) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snapshot, err := c.store.List(callCtx, objects.Hosts, true)
	if err != nil {
		return 0
	}
	now := c.now()
	count := 0
	peers := map[string]peerHost{}
	for _, o := range snapshot.Objects {
		if o.Name == c.host {
			own = o.Revision
		}
		if !c.registrations.isLive(o, now) {
			continue
		}
		count++
		var r registration
		if o.Name != c.host && decode(o.Value, &r) {
			peers[o.Name] = peerHost{address: r.PeerAddress, zone: r.Zone}
		}
	}
	c.post(ctx, func() {
		c.peers = peers
		c.followState.peers.Store(&peers)
		if count > 0 && count == c.hostCount {
			c.updateGroups()
		}
		if count > 0 && count != c.hostCount {
			c.log.WithFields(logrus.Fields{"event": "hosts", "count": count, "before": c.hostCount}).Info("number of live hosts changed")
			c.hostCount = count
			c.updateGroups()
		}
	})
	return own
}
