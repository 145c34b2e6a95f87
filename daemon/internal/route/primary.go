package route

import (
	"context"
	"fmt"
	"time"

	"github.com/gypsumgap/gypsumgap/core/admission"
	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/retry"
)

const (
	maintainInterval = 250 * time.Millisecond
	// spareConnsPerUser is the number of idle connections per active user that are
	// kept open to every slot, as any replica may become the primary.
	spareConnsPerUser = 2
	// quiescePollInterval is how often Quiesce checks for running transactions.
	quiescePollInterval = 2 * time.Millisecond
)

// currentPrimary returns the primary and its term, and handles a change of it.
func (o *OwnerRouter) currentPrimary() (group.Slot, group.Term, bool) {
	slot, term, ok := o.cfg.Monitor.Primary()
	if !ok || uint64(term) != o.lastTerm.Load() {
		o.handlePrimaryChange(slot, term, ok)
	}
	return slot, term, ok
}

// handlePrimaryChange switches to a new primary, or pauses admission while there is
// none.
func (o *OwnerRouter) handlePrimaryChange(slot group.Slot, term group.Term, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if ok {
		o.switchPrimary(slot, term)
		return
	}
	if o.awaitingPrimary || o.closing.Err() != nil {
		return
	}
	o.awaitingPrimary = true
	o.primary.Pause()
	o.tasks.Go(o.awaitPrimary)
}

// awaitPrimary resumes admission as soon as there is a primary again.
func (o *OwnerRouter) awaitPrimary() {
	slot, term, err := o.cfg.Monitor.WaitPrimary(o.closing)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.awaitingPrimary = false
	if err != nil {
		// The replication monitor or this router has stopped.
		o.closeLimiters()
		return
	}
	o.switchPrimary(slot, term)
	if !o.paused {
		o.primary.Resume()
	}
}

// Pause stops admitting transactions to the primary until Resume. Requests wait
// in their queues meanwhile.
func (o *OwnerRouter) Pause() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.paused = true
	o.primary.Pause()
}

// Quiesce calls Pause and waits until all running transactions on the primary have
// ended. If the context ends first, it returns the context's error and the pause
// stays in force.
func (o *OwnerRouter) Quiesce(ctx context.Context) error {
	o.Pause()
	for {
		if running, _ := o.primary.Load(); running == 0 {
			return nil
		}
		if err := retry.Sleep(ctx, quiescePollInterval); err != nil {
			return fmt.Errorf("wait for transactions on the primary to end: %w", err)
		}
	}
}

// Resume ends a Pause or Quiesce. The limiter then admits the waiting requests
// gradually.
func (o *OwnerRouter) Resume() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.paused = false
	if !o.awaitingPrimary {
		o.primary.Resume()
	}
}

// switchPrimary closes the connections to the old primary, whose commits can no
// longer become durable, and opens as many to the new one. It must be called
// with o.mu held.
func (o *OwnerRouter) switchPrimary(slot group.Slot, term group.Term) {
	if uint64(term) <= o.lastTerm.Load() {
		return
	}
	old := o.lastPrimary
	o.lastPrimary = slot
	o.lastTerm.Store(uint64(term))
	if old.ID == "" || old.ID == slot.ID {
		return
	}
	for user, n := range o.pools.connectionsByUser(string(old.ID)) {
		o.pools.Warm(o.slotTarget(slot, user), n)
	}
	o.pools.ClosePeer(string(old.ID))
	o.primary.ReplaceBackend()
}

// maintain runs the periodic tasks of the router until it is closed.
func (o *OwnerRouter) maintain() {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-o.closing.Done():
			return
		}
		o.currentPrimary()
		o.primary.Refresh()
		for _, l := range o.replicas.Range {
			l.(*admission.Limiter).Refresh()
		}
		o.pools.Maintain()
		o.checkStalled(time.Now())
		o.keepSpareConns()
	}
}

// keepSpareConns keeps spare connections to every active slot for the users that have
// connections to the primary.
func (o *OwnerRouter) keepSpareConns() {
	slot, _, ok := o.cfg.Monitor.Primary()
	if !ok {
		return
	}
	users := o.pools.connectionsByUser(string(slot.ID))
	slots := o.activeSlots()
	for user := range users {
		for _, s := range slots {
			o.pools.Warm(o.slotTarget(s, user), spareConnsPerUser)
		}
	}
	o.pools.resetMinIdleExcept(users)
}

// activeSlots returns the slots that are not being drained.
func (o *OwnerRouter) activeSlots() []group.Slot {
	o.mu.Lock()
	defer o.mu.Unlock()
	slots := make([]group.Slot, 0, len(o.slots))
	for _, s := range o.slots {
		if !o.draining[s.ID] {
			slots = append(slots, s)
		}
	}
	return slots
}

// SetSlots replaces the list of slots and ends every DrainSlot. Connections to
// slots that were removed or have a new address are closed.
func (o *OwnerRouter) SetSlots(slots []group.Slot) {
	o.mu.Lock()
	old := o.slots
	o.slots = slots
	clear(o.draining)
	o.mu.Unlock()
	addresses := make(map[group.SlotID]string, len(slots))
	for _, s := range slots {
		addresses[s.ID] = s.Address
	}
	for _, s := range old {
		if addresses[s.ID] != s.Address {
			o.CloseSlot(s.ID)
			o.replicas.Delete(s.ID)
		}
	}
}

// DrainSlot closes the idle connections to a slot that is leaving; those in use
// are closed when they are released. No more spare connections are opened to it.
func (o *OwnerRouter) DrainSlot(id group.SlotID) {
	o.mu.Lock()
	o.draining[id] = true
	o.mu.Unlock()
	o.pools.DrainPeer(string(id))
}

// CloseSlot closes all connections to a dead slot, including those in use.
func (o *OwnerRouter) CloseSlot(id group.SlotID) { o.pools.ClosePeer(string(id)) }

// MaxOpenConnections returns the greatest number of connections open to any slot,
// which this owner's share of the connection limit must cover.
func (o *OwnerRouter) MaxOpenConnections() int {
	o.mu.Lock()
	slots := o.slots
	o.mu.Unlock()
	open := 0
	for _, s := range slots {
		open = max(open, o.pools.OpenConnections(string(s.ID)))
	}
	return open
}
