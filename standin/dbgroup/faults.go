package dbgroup

import (
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// networkFaults is an immutable set of faults of a slot's network.
type networkFaults struct {
	frozen             bool
	partitionedSlots   []int
	partitionedClients []netip.Prefix
	// changed is closed when another set takes effect.
	changed chan struct{}
}

// blocksClient reports whether bytes of a client are held back.
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

func (f *networkFaults) isPartitionedFrom(slot int) bool {
	return slices.Contains(f.partitionedSlots, slot)
}

func (s *Slot) updateNetworkFaults(change func(*networkFaults)) {
	s.replaceNetworkFaults(change)
	// A link to another slot may have healed.
	for _, slot := range s.group.slots {
		slot.wakeLoops()
	}
}

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

func (s *Slot) updateSettings(change func(*slotSettings)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.settings.Load()
	change(&next)
	s.settings.Store(&next)
	s.wakeLoopsLocked()
}

// Freeze makes the slot accept connections and bytes but answer nothing, and
// stops its replication in both directions, as a stopped process does.
func (s *Slot) Freeze() { s.updateNetworkFaults(func(f *networkFaults) { f.frozen = true }) }

// Thaw ends Freeze; the slot goes on with the bytes it was sent.
func (s *Slot) Thaw() { s.updateNetworkFaults(func(f *networkFaults) { f.frozen = false }) }

// CutSlots cuts the slot off from the slots with these indexes, in both
// directions, in place of those cut before. Without indexes it heals.
func (s *Slot) CutSlots(indexes ...int) {
	s.updateNetworkFaults(func(f *networkFaults) { f.partitionedSlots = slices.Clone(indexes) })
}

// CutClients cuts the slot off from clients with these addresses, in both
// directions, in place of those cut before. Without prefixes it heals, and
// bytes sent in the meantime arrive, as a network's retransmission has it.
func (s *Slot) CutClients(prefixes ...netip.Prefix) {
	s.updateNetworkFaults(func(f *networkFaults) { f.partitionedClients = slices.Clone(prefixes) })
}

// SilenceConnections makes the connections open now silent for good: what
// either side sends is lost. New connections work.
func (s *Slot) SilenceConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, session := range s.sessions {
		session.silence()
	}
}

// SetLeaving sets the flag that the slot is about to stop.
func (s *Slot) SetLeaving(leaving bool) {
	s.updateSettings(func(o *slotSettings) { o.leaving = leaving })
}

// SetApplyLag sets the time between receiving a record and applying it.
func (s *Slot) SetApplyLag(lag time.Duration) {
	s.updateSettings(func(o *slotSettings) { o.applyLag = lag })
}

// SetConnectTime sets how long the slot takes to accept a connection.
func (s *Slot) SetConnectTime(d time.Duration) {
	s.updateSettings(func(o *slotSettings) { o.connectTime = d })
}

// SetConnectionLimit sets the highest number of ordinary connections; those
// open beyond it stay.
func (s *Slot) SetConnectionLimit(limit int) {
	s.updateSettings(func(o *slotSettings) { o.connectionLimit = limit })
}

// canReplicate reports whether records pass from one slot to another.
func canReplicate(from, to *Slot) bool {
	a, b := from.network.Load(), to.network.Load()
	return !a.frozen && !b.frozen && !a.isPartitionedFrom(to.index) && !b.isPartitionedFrom(from.index)
}

// ParseClientPrefix reads an IP address or prefix for CutClients. It fails on other text.
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
