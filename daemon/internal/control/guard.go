package control

import (
	"sync/atomic"
	"time"
)

const (
	// pauseThreshold is the gap between two steps of the control goroutine after
	// which the host holds that it was paused. It is far below reclaimDelay,
	// and above the delays of a busy machine.
	pauseThreshold = 2 * time.Second
	// isolationThreshold is the time without an answer of any host after which this
	// host may have been given up by the others.
	isolationThreshold = 3 * time.Second
	// confirmationValidity is how long a confirmation by the store lasts while the
	// host is isolated, counted from when it was sent. Others reclaim only what
	// was not confirmed for reclaimDelay, which is twice that.
	confirmationValidity = 3 * time.Second
)

// shareGuard tells whether this host has reason to doubt that its shares are still
// its own: it was paused, the others held it dead, or it has lost contact with
// them. After a doubt each share must be confirmed by a write to the store
// before the next connection is opened.
type shareGuard struct {
	// epoch counts the doubts.
	epoch atomic.Uint64
	// lastStep is when the control goroutine last ran.
	lastStep atomic.Pointer[time.Time]
	isolated atomic.Bool
	// mayReclaim says that at least half of the known hosts are alive here, so
	// that no share which is valid on the other side of a partition is taken.
	mayReclaim atomic.Bool
}

// recordStep records that the control goroutine runs. A pause is noted before the
// pulse is renewed, so that no reader sees the new pulse without the doubt.
func (g *shareGuard) recordStep(now time.Time) (paused bool) {
	paused = g.isPaused(now)
	if paused {
		g.invalidate()
	}
	g.lastStep.Store(&now)
	return paused
}

// isPaused compares both the monotonic and the wall clock, since the monotonic
// clock of Linux stands still while a virtual machine is suspended.
func (g *shareGuard) isPaused(now time.Time) bool {
	last := g.lastStep.Load()
	if last == nil {
		return false
	}
	return max(now.Sub(*last), now.Round(0).Sub(last.Round(0))) > pauseThreshold
}

func (g *shareGuard) invalidate() { g.epoch.Add(1) }

// updateGuard updates the guard from the membership table.
func (c *Controller) updateGuard(now time.Time) {
	if c.guard.recordStep(now) {
		c.log.WithField("event", "pause_noticed").Warn("host was paused; shares are confirmed before further use")
	}
	if n := c.table.RefutedDeaths(); n != c.refutedDeaths {
		c.refutedDeaths = n
		c.guard.invalidate()
		c.log.WithField("event", "death_refuted").Warn("other hosts held this host dead; shares are confirmed before further use")
	}
	alive, known := c.table.CountMembers()
	alone := known == 1
	silent := now.Sub(c.lastContact) > isolationThreshold || 2*alive <= known
	if isolated := !alone && silent; isolated != c.guard.isolated.Load() {
		c.guard.isolated.Store(isolated)
		// Also after an isolation, since shares may have been reclaimed in it.
		c.guard.invalidate()
		c.log.WithField("event", "isolation").WithField("isolated", isolated).Warn("contact with the other hosts changed")
	}
	c.guard.mayReclaim.Store(2*alive >= known)
}
