package dbgroup

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// networkFaults is an immutable set of network faults of a slot.
type networkFaults struct {
	frozen             bool
	partitionedSlots   []int
	partitionedClients []netip.Prefix
	// changed is closed when this set has been replaced by another.
	changed chan struct{}
}

// blocksClient reports whether bytes to and from the client are held back.
func (f *networkFaults) blocksClient(client netip.Addr) bool {
	if f.frozen {
		return true
	}
	for _, prefix := range f.partitionedClients {
		if prefix.Contains(client) {
			return true
		}
	}
	return false
}

// isPartitionedFrom reports whether the link to the slot with the index is cut.
func (f *networkFaults) isPartitionedFrom(slot int) bool {
	return slices.Contains(f.partitionedSlots, slot)
}

// updateNetworkFaults changes the network faults and wakes the loops of all slots.
func (s *Slot) updateNetworkFaults(change func(*networkFaults)) {
	s.replaceNetworkFaults(change)
	// A link to another slot may have been restored.
	for _, slot := range s.group.slots {
		slot.wakeLoops()
	}
}

// replaceNetworkFaults replaces the set of faults with a changed copy.
func (s *Slot) replaceNetworkFaults(change func(*networkFaults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.network.Load()
	next := *old
	next.changed = make(chan struct{})
	change(&next)
	s.network.Store(&next)
	close(old.changed)
}

// updateSettings replaces the settings with a changed copy and wakes the loops.
func (s *Slot) updateSettings(change func(*slotSettings)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.settings.Load()
	change(&next)
	s.settings.Store(&next)
	s.wakeLoopsLocked()
}

// Freeze makes the slot behave like a stopped process: it accepts connections and
// bytes but sends no response, and replication stops in both directions.
func (s *Slot) Freeze() { s.updateNetworkFaults(func(f *networkFaults) { f.frozen = true }) }

// Thaw ends Freeze; the slot then processes the bytes it was sent in the meantime.
func (s *Slot) Thaw() { s.updateNetworkFaults(func(f *networkFaults) { f.frozen = false }) }

// CutSlots stops replication between the slot and the slots with these indexes, in
// both directions. It replaces the indexes set before; without indexes all links
// are restored.
func (s *Slot) CutSlots(indexes ...int) {
	s.updateNetworkFaults(func(f *networkFaults) { f.partitionedSlots = slices.Clone(indexes) })
}

// CutClients stops traffic between the slot and clients with these addresses, in
// both directions. It replaces the prefixes set before; without prefixes all
// traffic is restored. Bytes sent in the meantime then arrive, as TCP
// retransmission would have it.
func (s *Slot) CutClients(prefixes ...netip.Prefix) {
	s.updateNetworkFaults(func(f *networkFaults) { f.partitionedClients = slices.Clone(prefixes) })
}

// SilenceConnections makes the slot discard, permanently, all bytes in both
// directions of the connections that are open now. New connections work.
func (s *Slot) SilenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, session := range s.sessions {
		session.silence()
	}
}

// SetLeaving sets the status flag that announces that the slot is about to stop.
func (s *Slot) SetLeaving(leaving bool) {
	s.updateSettings(func(o *slotSettings) { o.leaving = leaving })
}

// SetApplyLag sets the time between receiving a record and applying it.
func (s *Slot) SetApplyLag(lag time.Duration) {
	s.updateSettings(func(o *slotSettings) { o.applyLag = lag })
}

// SetConnectTime sets how long the slot delays its response to a startup message.
func (s *Slot) SetConnectTime(d time.Duration) {
	s.updateSettings(func(o *slotSettings) { o.connectTime = d })
}

// SetConnectionLimit sets the maximum number of client connections. Connections
// that exceed a lowered limit stay open.
func (s *Slot) SetConnectionLimit(limit int) {
	s.updateSettings(func(o *slotSettings) { o.connectionLimit = limit })
}

// canReplicate reports whether no fault stops replication from one slot to another.
func canReplicate(from, to *Slot) bool {
	a, b := from.network.Load(), to.network.Load()
	return !a.frozen && !b.frozen && !a.isPartitionedFrom(to.index) && !b.isPartitionedFrom(from.index)
}

// ParseClientPrefix parses an IP address or a prefix in CIDR notation for
// CutClients. It fails for any other text.
func ParseClientPrefix(text string) (netip.Prefix, error) {
	if prefix, err := netip.ParsePrefix(text); err == nil {
		return prefix.Masked(), nil
	}
	ip, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Prefix{}, fmt.Errorf("client %q: expected an IP address or prefix", text)
	}
	return netip.PrefixFrom(ip, ip.BitLen()), nil
}
