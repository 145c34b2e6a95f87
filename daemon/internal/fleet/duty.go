package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/lease"
	"github.com/gypsumgap/gypsumgap/core/objects"
)

// promotionLease is the name of the lease of the promotion duty.
const promotionLease = "promotion"

// Intervals of the lease.
const (
	// leaseReadInterval is the time between reads of the lease by hosts that do
	// not hold it.
	leaseReadInterval = 2 * time.Second
	// urgentLeaseReadInterval replaces leaseReadInterval while a primary is
	// unknown or suspected.
	urgentLeaseReadInterval = 400 * time.Millisecond
	// leaseRetryPause is the time after a failed lease call before the next one.
	leaseRetryPause = 600 * time.Millisecond
)

// stepLease starts the lease call that is due, if any.
func (c *controller) stepLease() {
	now := c.now()
	if c.leaseCallRunning || c.leaseErr != nil && now.Sub(c.leaseFailedAt) < leaseRetryPause {
		return
	}
	c.recordHolderChange()
	action, record, expected := c.lease.Next(now)
	switch {
	case c.draining && !c.isHandingOver():
	case c.followState.followsRelay.Load() && !c.lease.Holding() && !c.lease.CanReclaim(now):
		// The relay passes the record on and takes the duty over if needed.
	case action == lease.Write:
		c.leaseCallRunning = true
		certain := c.lease.Holding() && !c.lease.Expired(now) || c.lease.CanReclaim(now)
		c.runAsync(func(ctx context.Context) { c.updateLease(ctx, record, expected, certain) })
	case !c.lease.Holding() && now.Sub(c.leaseReadAt) >= c.leasePollInterval():
		c.leaseCallRunning, c.leaseReadAt = true, now
		c.runAsync(c.readLease)
	}
}

func (c *controller) leasePollInterval() time.Duration {
	for _, g := range c.groups {
		if h := g.Health(); h.Suspected || h.Primary == "" {
			return urgentLeaseReadInterval
		}
	}
	return leaseReadInterval
}

// recordHolderChange logs a change of the holder, and watches the reports while
// this host holds the duty.
func (c *controller) recordHolderChange() {
	holding := c.lease.Holding()
	if holding == c.wasHolding {
		return
	}
	c.wasHolding = holding
	c.log.WithFields(logrus.Fields{"event": "promotion_duty", "holding": holding, "holder": c.lease.Holder(), "token": c.lease.Token()}).
		Info("holder of the promotion duty changed")
	if c.stopReports != nil {
		c.stopReports()
		c.stopReports = nil
	}
	if !holding {
		c.closeLogSessions()
		return
	}
	c.runAsync(func(ctx context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		c.post(ctx, func() { c.stopReports = cancel })
		post := func(ch storeChange) { c.post(ctx, func() { c.applyChange(ch) }) }
		watcher{store: c.store, kind: objects.Reports, now: c.now, wait: func() time.Duration { return reportWatchTimeout }, post: post}.run(ctx)
	})
}

// recordDuty updates the metrics of the duty, and logs when this host holds it
// without a recent renewal, so that it replaces no primary while the store answers.
func (c *controller) recordDuty() {
	now := c.now()
	holding := c.lease.Holding()
	c.scope.Gauge("promotion_duty_held").Update(map[bool]float64{true: 1}[holding])
	unconfirmed := holding && c.lease.Expired(now)
	if unconfirmed == c.dutyUnconfirmed {
		return
	}
	c.dutyUnconfirmed = unconfirmed
	if !unconfirmed {
		return
	}
	entry := c.log.WithFields(logrus.Fields{"event": "promotion_duty_unconfirmed", "token": c.lease.Token(), "renewed_ms": now.Sub(c.lease.RenewedAt()).Milliseconds()})
	if c.leaseErr != nil {
		entry = entry.WithError(c.leaseErr)
	}
	entry.Warn("lease of the promotion duty could not be renewed; another host may hold it")
}

// readLease reads the lease. A stale read is sufficient, since a takeover
// begins with a consistent read.
func (c *controller) readLease(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snapshot, err := c.store.List(callCtx, objects.Leases, true)
	c.post(ctx, func() {
		c.endLeaseCall(err)
		if err != nil {
			return
		}
		for _, o := range snapshot.Objects {
			if o.Name == promotionLease {
				c.observeLease(o)
				return
			}
		}
		c.observeMissingLease(snapshot.Revision)
	})
}

// observeLease passes the stored lease to the lease machine.
func (c *controller) observeLease(o objects.Object) {
	var r lease.Record
	if !decode(o.Value, &r) {
		c.log.WithFields(logrus.Fields{"event": "lease_skipped", "revision": o.Revision}).Warn("lease could not be decoded; ignoring this revision")
		return
	}
	c.observeEra(o.Revision)
	c.lease.Observe(c.now(), r, o.Revision)
	c.feed.setLease(r, o.Revision)
}

// observeMissingLease records that the store holds no lease.
func (c *controller) observeMissingLease(asOf objects.Revision) {
	c.observeEra(asOf)
	c.lease.Observe(c.now(), lease.Record{}, objects.NewRevision(asOf.Era(), 0))
}

// updateLease renews the lease or takes it over. A host that is not certain to hold
// the lease reads it first, because its knowledge may be stale: a store that went
// back to an older copy may have given the expected revision to another record.
func (c *controller) updateLease(ctx context.Context, record lease.Record, expected objects.Revision, certain bool) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !certain && expected.Number() != 0 {
		o, err := c.store.Get(callCtx, objects.Leases, promotionLease)
		if err != nil || o.Revision != expected {
			c.postLeaseRead(ctx, o, err)
			return
		}
	}
	value, err := json.Marshal(record)
	if err != nil {
		c.postLeaseRead(ctx, objects.Object{}, err)
		return
	}
	sent := c.now()
	o, err := c.store.Put(callCtx, objects.Leases, promotionLease, value, expected)
	if err == nil {
		c.post(ctx, func() {
			c.endLeaseCall(nil)
			c.observeEra(o.Revision)
			c.lease.ObserveWrite(c.now(), sent, record, o.Revision)
		})
		return
	}
	if errors.Is(err, objects.ErrConflict) || errors.Is(err, objects.ErrUnknown) || isNotFound(err) {
		o, getErr := c.store.Get(callCtx, objects.Leases, promotionLease)
		if getErr == nil || isNotFound(getErr) {
			c.postLeaseRead(ctx, o, getErr)
			return
		}
	}
	c.postLeaseRead(ctx, objects.Object{}, err)
}

// endLeaseCall records the end of a lease call.
func (c *controller) endLeaseCall(err error) {
	c.leaseCallRunning, c.leaseErr = false, err
	if err != nil {
		c.leaseFailedAt = c.now()
	}
}

// postLeaseRead posts the result of a read of the lease. An object comes with
// objects.ErrNotFound as well.
func (c *controller) postLeaseRead(ctx context.Context, o objects.Object, err error) {
	c.post(ctx, func() {
		if isNotFound(err) {
			c.endLeaseCall(nil)
			c.observeMissingLease(o.Revision)
			return
		}
		c.endLeaseCall(err)
		if err == nil {
			c.observeLease(o)
		}
	})
}

// releaseLease returns a function that releases the duty in the store, or nil
// if this host does not hold the duty.
func (c *controller) releaseLease() func(context.Context) error {
	if !c.lease.Holding() {
		return nil
	}
	record, expected := c.lease.Release()
	return func(ctx context.Context) error {
		value, err := json.Marshal(record)
		if err != nil {
			return err
		}
		_, err = c.store.Put(ctx, objects.Leases, promotionLease, value, expected)
		return err
	}
}

// publishDuty makes the state of the duty visible to running promotions.
func (c *controller) publishDuty() {
	if !c.lease.Holding() || c.draining {
		c.dutyHeldUntil.Store(0)
		return
	}
	c.dutyToken.Store(c.lease.Token())
	c.dutyHeldUntil.Store(c.lease.RenewedAt().Add(lease.Duration).UnixNano())
}

// holdsDuty reports whether no other host can have taken the duty over from this
// one, which holds it with the token. It is safe for concurrent use.
func (c *controller) holdsDuty(token uint64) bool {
	return c.now().UnixNano() < c.dutyHeldUntil.Load() && c.dutyToken.Load() == token
}

// deregister removes the registration of this host. It must not be called before
// the last session has ended: a holder that replaces a primary waits for the
// registered hosts only.
func (c *controller) deregister(ctx context.Context) { c.deleteOwn(ctx, objects.Hosts) }

// deleteOwn removes the object of this host.
func (c *controller) deleteOwn(ctx context.Context, kind objects.Kind) {
	if err := c.store.Delete(ctx, kind, c.host); err != nil && !isNotFound(err) {
		c.log.WithFields(logrus.Fields{"event": "deregister_failed", "kind": kind.String()}).WithError(err).
			Warn("registration or report of this host could not be removed")
	}
}
