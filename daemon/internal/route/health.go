package route

import (
	"context"
	"sync"
	"time"
)

const (
	// ownerProbeAfter is how long an owner host may leave all requests of this
	// host unanswered before it is probed.
	ownerProbeAfter = 250 * time.Millisecond
	// ownerProbeTimeout is the timeout of a probe. It allows the round trips of a
	// login between regions.
	ownerProbeTimeout = 300 * time.Millisecond
	// maxOwnerProbeInterval is the longest interval between probes of an owner
	// that responds to them while its requests take long.
	maxOwnerProbeInterval = 2 * time.Second
	// ownerProbeMisses is the number of consecutive failed probes after which the
	// connections to the owner are closed.
	ownerProbeMisses = 2
)

// ownerWatch detects owner hosts that stop responding while their connections
// stay open, because the process is paused or a middlebox has dropped its state
// of the connections. It probes an owner on a separate connection, and only
// while responses to requests are overdue. An owner that is merely slow responds
// to the probe.
type ownerWatch struct {
	mu     sync.Mutex
	owners map[string]*watchedOwner
}

type watchedOwner struct {
	target      Target
	outstanding int
	// lastAnswer is when the owner last responded, or when requests to it began.
	lastAnswer time.Time
	interval   time.Duration
	nextProbe  time.Time
	misses     int
	probing    bool
}

func newOwnerWatch() *ownerWatch { return &ownerWatch{owners: map[string]*watchedOwner{}} }

// requestStarted records a request that is sent to the owner.
func (w *ownerWatch) requestStarted(t Target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o, ok := w.owners[t.Peer]
	if !ok {
		o = &watchedOwner{}
		w.owners[t.Peer] = o
	}
	o.target = t
	if o.outstanding == 0 {
		o.recordAnswer(time.Now())
	}
	o.outstanding++
}

// requestEnded records a request that has ended; answered reports whether the owner
// responded to it.
func (w *ownerWatch) requestEnded(name string, answered bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.owners[name]
	o.outstanding--
	switch {
	case o.outstanding == 0 && !o.probing:
		delete(w.owners, name)
	case answered:
		o.recordAnswer(time.Now())
	}
}

func (o *watchedOwner) recordAnswer(now time.Time) {
	o.lastAnswer = now
	o.interval = ownerProbeAfter
	o.nextProbe = now.Add(ownerProbeAfter)
	o.misses = 0
}

// due returns the owners to probe now and marks their probes as in progress.
func (w *ownerWatch) due(now time.Time) []Target {
	w.mu.Lock()
	defer w.mu.Unlock()
	var targets []Target
	for _, o := range w.owners {
		if o.outstanding > 0 && !o.probing && !now.Before(o.nextProbe) {
			o.probing = true
			targets = append(targets, o.target)
		}
	}
	return targets
}

// recordProbe records the result of a probe and returns the number of consecutive
// failed probes.
func (w *ownerWatch) recordProbe(name string, answered bool) (misses int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	o := w.owners[name]
	o.probing = false
	now := time.Now()
	if answered {
		o.misses = 0
		o.interval = min(2*o.interval, maxOwnerProbeInterval)
	} else {
		o.misses++
		o.interval = ownerProbeAfter
	}
	o.nextProbe = now.Add(o.interval)
	misses = o.misses
	if o.outstanding == 0 {
		delete(w.owners, name)
	}
	return misses
}

// probeOwners starts probes of the owners whose responses are overdue, and of
// those that are down.
func (e *EntryRouter) probeOwners() {
	now := time.Now()
	for _, t := range e.watch.due(now) {
		e.probes.Go(func() { e.probeOverdue(t) })
	}
	for _, t := range e.downOwnersDue(now) {
		e.probes.Go(func() {
			if e.probeOwner(t) {
				e.markUp(t.Peer)
			}
		})
	}
}

func (e *EntryRouter) probeOverdue(t Target) {
	answered := e.probeOwner(t)
	if e.closing.Err() != nil {
		return
	}
	misses := e.watch.recordProbe(t.Peer, answered)
	if answered {
		return
	}
	e.markDown(t)
	if misses >= ownerProbeMisses {
		// The requests sent to the owner have an unknown outcome. Their sessions
		// handle them as after any lost connection instead of waiting for it.
		e.pools.ClosePeer(t.Peer)
	}
}

// probeOwner reports whether the owner accepts a new connection and responds to
// a ping on it.
func (e *EntryRouter) probeOwner(t Target) bool {
	ctx, cancel := context.WithTimeout(e.closing, ownerProbeTimeout)
	defer cancel()
	conn, err := e.cfg.Dial(ctx, t)
	if err != nil {
		return false
	}
	defer conn.Close()
	return conn.Ping(ctx) == nil
}
