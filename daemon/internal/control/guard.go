package control

import (
	"sync/atomic"
	"time"
)

const (
	// pauseThreshold is the gap between two steps of the control goroutine above
	// which the host assumes that it was paused. It is far below reclaimDelay and
	// above the delays of a busy machine.
	pauseThreshold = 2 * time.Second
	// isolationThreshold is the time without an answer from any host after which
	// the others may consider this host dead.
	isolationThreshold = 3 * time.Second
	// confirmationValidity is how long a confirmation by the store is valid while
	// the host is isolated, counted from when it was sent. Others reclaim only
	// shares that were not confirmed for reclaimDelay, which is twice as long.
	confirmationValidity = 3 * time.Second
)

// shareGuard detects when this host's shares may have been reclaimed by others:
// the host was paused, the others considered it dead, or it lost contact with
// them. Each such event invalidates the confirmations, and every share must then
// be confirmed by a write to the store before the next connection is opened.
type shareGuard struct {
	// epoch is incremented by each event that invalidates the confirmations.
	epoch atomic.Uint64
	// lastStep is when the control goroutine last ran.
	lastStep atomic.Pointer[time.Time]
	isolated atomic.Bool
	// mayReclaim is set while at least half of the known hosts are alive in this
	// host's view. The smaller side of a network partition must not reclaim,
	// since the shares may be in use on the other side.
	mayReclaim atomic.Bool
}

// recordStep records that the control goroutine runs and reports whether it was
// paused before. It increments the epoch before it updates lastStep, so that no
// reader sees the new time with the old epoch.
func (g *shareGuard) recordStep(now time.Time) (paused bool) {
	paused = g.isPaused(now)
	if paused {
		g.invalidate()
	}
	g.lastStep.Store(&now)
	return paused
}

// isPaused reports whether the last step is more than pauseThreshold ago. It
// compares both the monotonic and the wall clock, since the monotonic clock of
// Linux stops while a virtual machine is suspended.
func (g *shareGuard) isPaused(now time.Time) bool {
	last := g.lastStep.Load()
	if last == nil {
		return false
	}
	return max(now.Sub(*last), now.Round(0).Sub(last.Round(0))) > pauseThreshold
}

// invalidate makes every share require a new confirmation.
func (g *shareGuard) invalidate() { g.epoch.Add(1) }

// updateGuard updates the guard from the membership table.
func (c *Controller) updateGuard(now time.Time) {
	if c.guard.recordStep(now) {
		c.log.WithField("event", "pause_noticed").Warn("host was paused; shares must be confirmed before further use")
	}
	if n := c.table.RefutedDeaths(); n != c.refutedDeaths {
		c.refutedDeaths = n
		c.guard.invalidate()
		c.log.WithField("event", "death_refuted").Warn("other hosts considered this host dead; shares must be confirmed before further use")
	}
	alive, known := c.table.CountMembers()
	alone := known == 1
	silent := now.Sub(c.lastContact) > isolationThreshold || 2*alive <= known
	if isolated := !alone && silent; isolated != c.guard.isolated.Load() {
		c.guard.isolated.Store(isolated)
		// The end of an isolation invalidates too, since shares may have been
		// reclaimed during it.
		c.guard.invalidate()
		c.log.WithField("event", "isolation").WithField("isolated", isolated).Warn("isolation from the other hosts changed; shares must be confirmed before further use")
	}
	c.guard.mayReclaim.Store(2*alive >= known)
}
