package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/lease"
	"github.com/gypsumgap/gypsumgap/core/objects"
	"github.com/gypsumgap/gypsumgap/core/retry"
)

// promotionLease is the name of the lease of the promotion duty.
const promotionLease = "promotion"

// Intervals of the lease, the registrations and the reports.
const (
	// leaseReadInterval is the time between reads of the lease by hosts that do
	// not hold it.
	leaseReadInterval = 2 * time.Second
	// urgentLeaseReadInterval replaces leaseReadInterval while a primary is
	// unknown or suspected.
	urgentLeaseReadInterval = 400 * time.Millisecond
	// leaseRetryPause is the time after a failed lease call before the next one.
	leaseRetryPause = 600 * time.Millisecond
	// registerInterval is the time between renewals of a host's registration.
	registerInterval = 30 * time.Second
	// registrationMaxAge is the time since the last renewal of its registration
	// after which a host does not count as live.
	registrationMaxAge = 100 * time.Second
	// countInterval is the time between counts of the hosts. The first counts use
	// firstCountPauses instead, since hosts start at about the same time.
	countInterval = 10 * time.Second
	// reportRenewInterval is the time between writes of an unchanged report.
	reportRenewInterval = 2 * time.Second
	// reportMaxAge is how long the holder considers a report valid.
	reportMaxAge = 5 * time.Second
	// reportWritePause is the minimum time between writes of a report.
	reportWritePause = 400 * time.Millisecond
)

var firstCountPauses = []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 5 * time.Second}

// stepLease starts the lease call that is due, if any.
func (c *controller) stepLease() {
	now := c.now()
	if c.leaseCallRunning || c.leaseErr != nil && now.Sub(c.leaseFailedAt) < leaseRetryPause {
		return
	}
	c.recordHolderChange()
	action, record, expected := c.lease.Next(now)
	switch {
	case c.draining:
	case c.followState.followsRelay.Load() && !c.lease.Holding():
		// The relay passes the record on and takes the duty over if needed.
	case action == lease.Write:
		c.leaseCallRunning = true
		holding := c.lease.Holding()
		c.runAsync(func(ctx context.Context) { c.updateLease(ctx, record, expected, holding) })
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
		return
	}
	c.runAsync(func(ctx context.Context) {
		ctx, cancel := context.WithCancel(ctx)
		c.post(ctx, func() { c.stopReports = cancel })
		post := func(ch storeChange) { c.post(ctx, func() { c.applyChange(ch) }) }
		watcher{store: c.store, kind: objects.Reports, now: c.now, wait: func() time.Duration { return reportWatchTimeout }, post: post}.run(ctx)
	})
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
		c.lease.Observe(c.now(), lease.Record{}, 0)
	})
}

// observeLease passes the stored lease to the lease machine.
func (c *controller) observeLease(o objects.Object) {
	var r lease.Record
	if !decode(o.Value, &r) {
		c.log.WithFields(logrus.Fields{"event": "lease_skipped", "revision": o.Revision}).Warn("lease could not be decoded; ignoring this revision")
		return
	}
	c.lease.Observe(c.now(), r, o.Revision)
	c.feed.setLease(r, o.Revision)
}

// updateLease renews the lease or takes it over. A host that does not hold the
// lease reads it first, because its knowledge may be stale.
func (c *controller) updateLease(ctx context.Context, record lease.Record, expected uint64, holding bool) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if !holding && expected != 0 {
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
			c.lease.ObserveWrite(c.now(), sent, record, o.Revision)
		})
		return
	}
	if errors.Is(err, objects.ErrConflict) || errors.Is(err, objects.ErrUnknown) {
		o, getErr := c.store.Get(callCtx, objects.Leases, promotionLease)
		if getErr == nil {
			c.postLeaseRead(ctx, o, nil)
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

// postLeaseRead posts the result of a read of the lease.
func (c *controller) postLeaseRead(ctx context.Context, o objects.Object, err error) {
	c.post(ctx, func() {
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
	renewals, revision := 0, uint64(0)
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

func (c *controller) writeRegistration(ctx context.Context, renewal int, known uint64) (uint64, error) {
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
func (c *controller) overwrite(ctx context.Context, kind objects.Kind, value []byte, known uint64) (uint64, error) {
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
	revision    uint64
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
func (c *controller) countHosts(ctx context.Context) (own uint64) {
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
		if count > 0 && count != c.hostCount {
			c.log.WithFields(logrus.Fields{"event": "hosts", "count": count, "before": c.hostCount}).Info("number of live hosts changed")
			c.hostCount = count
			c.updateGroups()
		}
	})
	return own
}

// report lists the primaries that a host cannot reach.
type report struct {
	// Missing holds the ID of the unreachable primary by service.
	Missing map[string]string `json:"missing"`
	// Hosts holds the number of hosts for which the report speaks, by service: the
	// host itself and those that follow it.
	Hosts map[string]int `json:"hosts,omitempty"`
	// Renewal increases with each write, so that a renewal changes the object.
	Renewal int `json:"renewal"`
}

// receivedReport is a report of another host.
type receivedReport struct {
	report report
	// seenAt is when the report was received; zero if it was only listed.
	seenAt time.Time
	// missingSince is when the host began to report the primary as unreachable, by
	// service.
	missingSince map[string]time.Time
}

// stepReport writes the report of this host if it has changed or its renewal is
// due.
func (c *controller) stepReport() {
	if c.reportWriteRunning || c.draining {
		return
	}
	own := c.missingPrimaries()
	c.followState.missing.Store(&own)
	if c.followState.followsRelay.Load() && len(c.report.Missing) == 0 {
		return
	}
	missing, hosts := c.combineMissing(own)
	now := c.now()
	changed := !maps.Equal(missing, c.report.Missing) || !maps.Equal(hosts, c.report.Hosts)
	due := now.Sub(c.reportWrittenAt) >= reportRenewInterval && len(missing) > 0
	if !changed && !due || now.Sub(c.reportWrittenAt) < reportWritePause {
		return
	}
	next := report{Missing: missing, Hosts: hosts, Renewal: c.report.Renewal + 1}
	known := c.reportRevision
	c.reportWriteRunning, c.reportWrittenAt = true, now
	c.log.WithFields(logrus.Fields{"event": "report", "missing": missing}).Info("reporting the primaries that this host cannot reach")
	c.runAsync(func(ctx context.Context) {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		value, err := json.Marshal(next)
		if err == nil {
			known, err = c.overwrite(callCtx, objects.Reports, value, known)
		}
		c.post(ctx, func() {
			c.reportWriteRunning, c.reportRevision = false, known
			if err == nil {
				c.report = next
			}
		})
	})
}

// missingPrimaries returns the primaries that this host cannot reach, by service.
func (c *controller) missingPrimaries() map[string]string {
	missing := map[string]string{}
	for name, g := range c.groups {
		if h := g.Health(); h.Suspected && h.Primary != "" {
			missing[name] = h.Primary
		}
	}
	return missing
}

// combineMissing adds what the followers of this host report to its own missing
// primaries. If hosts disagree on the primary of a service, the one that most of
// them miss is reported. A host that follows a relay reports through it.
func (c *controller) combineMissing(own map[string]string) (missing map[string]string, hosts map[string]int) {
	if c.followState.followsRelay.Load() {
		return nil, nil
	}
	counts := map[string]map[string]int{}
	c.feed.countMissing(counts)
	for service, primary := range own {
		addMissing(counts, service, primary, 1)
	}
	missing, hosts = map[string]string{}, map[string]int{}
	for service, primaries := range counts {
		for primary, n := range primaries {
			if n > hosts[service] || n == hosts[service] && primary < missing[service] {
				missing[service], hosts[service] = primary, n
			}
		}
	}
	return missing, hosts
}

// applyReports records the reports of other hosts.
func (c *controller) applyReports(ch storeChange) {
	now := c.now()
	for _, o := range ch.objects {
		if o.Deleted || o.Name == c.host {
			delete(c.reports, o.Name)
			continue
		}
		var r report
		if !decode(o.Value, &r) {
			c.log.WithFields(logrus.Fields{"event": "report_skipped", "host": o.Name}).Warn("report of a host could not be decoded; skipping it")
			continue
		}
		old := c.reports[o.Name]
		if ch.full && old.seenAt.IsZero() && len(r.Missing) == 0 {
			continue
		}
		since := map[string]time.Time{}
		for service, id := range r.Missing {
			since[service] = now
			if at, known := old.missingSince[service]; known && old.report.Missing[service] == id && now.Sub(old.seenAt) < reportMaxAge {
				since[service] = at
			}
		}
		at := now
		if ch.full {
			// The report may be from a host that no longer exists. It counts once it is
			// renewed.
			at = old.seenAt
		}
		c.reports[o.Name] = receivedReport{report: r, seenAt: at, missingSince: since}
	}
}

// countMissingReports returns the number of hosts that report the primary as
// unreachable, and when the first of them began to.
func (c *controller) countMissingReports(service, primary string) (int, time.Time) {
	now := c.now()
	count := 0
	var first time.Time
	for _, r := range c.reports {
		if r.report.Missing[service] != primary || now.Sub(r.seenAt) >= reportMaxAge {
			continue
		}
		count += max(1, r.report.Hosts[service])
		if at := r.missingSince[service]; first.IsZero() || at.Before(first) {
			first = at
		}
	}
	return count, first
}

// leave stops control work, releases the duty and removes the report of this host.
// The returned channel is closed when that is done.
func (c *controller) leave(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	c.draining = true
	c.publish()
	release := c.releaseLease()
	go func() {
		defer close(done)
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if release != nil {
			if err := release(ctx); err != nil {
				c.log.WithField("event", "lease_kept").WithError(err).Warn("promotion duty could not be released; its lease will expire")
			}
		}
		c.deleteOwn(ctx, objects.Reports)
	}()
	return done
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
