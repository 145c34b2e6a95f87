package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/retry"
)

// Intervals of the registrations.
const (
	// registerInterval is the time between renewals of a host's registration.
	registerInterval = 30 * time.Second
	// maxReregisterDelay bounds the random delay before hosts register again after the
	// store went back, which they all notice at about the same time.
	maxReregisterDelay = 500 * time.Millisecond
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

// renews reports whether the registration is a later one than old, or of another
// process.
func (r registration) renews(old registration) bool {
	return r.Incarnation != old.Incarnation || r.Renewal > old.Renewal
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
					c.writeLease.SetRegistered(sentAt, renewed, revision.Era())
				}
			}
		}
		pause := countInterval
		if i < len(firstCountPauses) {
			pause = firstCountPauses[i]
		}
		select {
		case <-time.After(pause):
		case <-c.registrationLost:
			renewed = time.Time{}
			_ = retry.Sleep(ctx, rand.N(maxReregisterDelay))
		case <-ctx.Done():
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

// countHosts counts the hosts whose registration was renewed within
// registrationMaxAge, and updates the list of peers. It returns the revision of the
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
	}
	for name, r := range c.registrations.observe(snapshot, now) {
		count++
		if name != c.host && r.PeerAddress != "" {
			peers[name] = peerHost{address: r.PeerAddress, zone: r.Zone}
		}
	}
	c.post(ctx, func() {
		c.observeEra(snapshot.Revision)
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
