package route

import (
	"context"
	"sync"
	"time"
)

const (
	// ownerProbeAfter is how long an owner may leave all requests of this host
	// unanswered before it is probed.
	ownerProbeAfter = 250 * time.Millisecond
	// ownerProbeTimeout is the deadline of a probe. It leaves time for the round
	// trips of a login between regions.
	ownerProbeTimeout = 300 * time.Millisecond
	// maxOwnerProbeInterval bounds the interval between probes of an owner that answers
	// them while its requests take long.
	maxOwnerProbeInterval = 2 * time.Second
	// ownerProbeMisses is the number of unanswered probes in a row after which
	// the connections to the owner are closed.
	ownerProbeMisses = 2
)

// ownerWatch finds owner hosts that stopped answering although their
// connections are open: a paused process, or a path that lost track of the
// connections. It probes an owner, on a connection of its own, only while
// requests to it are overdue. An owner that is merely slow answers the probe.
type ownerWatch struct {
	mu     sync.Mutex
	owners map[string]*watchedOwner
}

type watchedOwner struct {
	target      Target
	outstanding int
	// lastAnswer is when the owner last answered, or when it began to be used.
	lastAnswer time.Time
	interval   time.Duration
	nextProbe  time.Time
	misses     int
	probing    bool
}

func newOwnerWatch() *ownerWatch { return &ownerWatch{owners: map[string]*watchedOwner{}} }

// requestStarted counts a request that was sent to the owner.
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

// requestEnded counts a request that is over; answered says that the owner answered it.
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

// due returns the owners to probe now and marks them as being probed.
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

// recordProbe records the outcome of a probe and returns the number of misses in a row.
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

// probeOwners probes the owners whose requests are overdue, and those that are
// down.
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
		// What was sent has an unknown outcome; the sessions settle it by the
		// rules for lost connections instead of waiting for the owner.
		e.pools.ClosePeer(t.Peer)
	}
}

// probeOwner reports whether the owner accepts a new connection and answers on it.
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
