package fleet

import (
	"context"
	"time"

	"github.com/gypsumgap/gypsumgap/core/objects"
)

// A host that is stopped hands the promotion duty over by releasing its lease. While a
// promotion that it ordered has not taken effect, it keeps the lease: the next holder
// knows nothing of the order, and would find a service without a primary and order
// another promotion. If time runs out, the lease is left to expire, as after a crash.

// releaseMargin is the time reserved for the release of the duty before the end of a
// stop.
const releaseMargin = 500 * time.Millisecond

// departure is the planned stop of this host.
type departure struct {
	// ctx ends when the host has to be gone.
	ctx context.Context
	// releaseBy is the time after which the duty is not released any more.
	releaseBy time.Time
	// done is closed when the host has left.
	done chan struct{}
}

// leave stops control work, hands the duty over and removes the report of this host,
// within the deadline of ctx. The returned channel is closed when that is done.
func (c *controller) leave(ctx context.Context) <-chan struct{} {
	d := &departure{ctx: ctx, done: make(chan struct{})}
	if deadline, ok := ctx.Deadline(); ok {
		d.releaseBy = deadline.Add(-releaseMargin)
	}
	c.draining = true
	c.publish()
	// Where replaced primaries go on as such, nothing is ordered from here on.
	c.publishDuty()
	c.vouching.clear()
	c.departure = d
	c.stepDeparture()
	return d.done
}

// isHandingOver reports whether this host is stopping and still keeps the duty.
func (c *controller) isHandingOver() bool { return c.departure != nil && c.lease.Holding() }

// stepDeparture ends the departure of this host once it can hand the duty over.
func (c *controller) stepDeparture() {
	d := c.departure
	if d == nil {
		return
	}
	timedOut := d.ctx.Err() != nil || !d.releaseBy.IsZero() && !time.Now().Before(d.releaseBy)
	if c.isHandingOver() && !timedOut && (c.leaseCallRunning || c.hasPendingPromotion()) {
		return
	}
	c.departure = nil
	var release func(context.Context) error
	if !c.hasPendingPromotion() {
		release = c.releaseLease()
	} else if c.lease.Holding() {
		c.log.WithField("event", "lease_kept").Warn("promotion has not taken effect before the end of the stop; the lease of the duty will expire")
	}
	go c.finishDeparture(d, release)
}

// finishDeparture releases the duty unless release is nil, and removes the report.
func (c *controller) finishDeparture(d *departure, release func(context.Context) error) {
	defer close(d.done)
	ctx, cancel := context.WithTimeout(d.ctx, callTimeout)
	defer cancel()
	if release != nil {
		if err := release(ctx); err != nil {
			c.log.WithField("event", "lease_kept").WithError(err).Warn("promotion duty could not be released; its lease will expire")
		}
	}
	c.deleteOwn(ctx, objects.Reports)
}

// hasPendingPromotion reports whether a replacement runs, or a promotion that was
// ordered may still take effect.
func (c *controller) hasPendingPromotion() bool {
	for name, s := range c.successions {
		if s.running || s.mayTakeEffect(c.now(), c.primaryOf(name)) {
			return true
		}
	}
	return false
}

// primaryOf returns the ID of the primary that this host knows, or an empty string.
func (c *controller) primaryOf(service string) string {
	if g := c.groups[service]; g != nil {
		return g.Health().Primary
	}
	return ""
}
