// Package dbgroup simulates a database group for tests and demonstrations. A
// group consists of slots, which are backend servers: each speaks the PostgreSQL
// v3 wire protocol, runs SQL in an embedded SQLite database, and replicates
// asynchronously.
//
// The primary appends each committed transaction to its log, as its write
// statements with their parameters, at a position (term, offset). A replica
// fetches records from its upstream over an in-memory link, which has the
// one-way latency and the faults that are set for the two slots, and applies
// them after a configurable lag. Replication is by statement, so statements must
// give the same result on each slot: random() and the current time do not
// replicate faithfully.
//
// A slot executes the commands of the group contract (fence, promote, follow) on
// connections of the user gypsumgap_control. A transaction commits under the
// slot's mutex, where the role is checked, so that no commit follows a successful
// fence. Faults are set at run time by methods of Slot or through the HTTP
// handler that Admin returns.
package dbgroup

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// Group is a running database group.
type Group struct {
	opts    Options
	dir     string
	ownsDir bool
	slots   []*Slot
	lastPID atomic.Uint32
	cancel  context.CancelFunc
	loops   sync.WaitGroup
}

// Start starts all slots; the first one is the primary of term 1. It fails if an
// option is invalid, a slot cannot listen on its address, or a schema statement
// fails.
func Start(opts Options) (*Group, error) {
	opts, err := opts.withDefaults()
	if err != nil {
		return nil, err
	}
	g := &Group{opts: opts, dir: opts.Dir}
	g.lastPID.Store(firstBackendProcessID)
	if g.dir == "" {
		g.ownsDir = true
		if g.dir, err = os.MkdirTemp("", "gypsumgap-standin-"); err != nil {
			return nil, fmt.Errorf("dbgroup: %w", err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	for i := range opts.Slots {
		slot := newSlot(g, i)
		g.slots = append(g.slots, slot)
		if err := slot.start(); err != nil {
			g.Close()
			return nil, fmt.Errorf("dbgroup: slot %s: %w", slot.id, err)
		}
	}
	g.initReplication()
	for _, slot := range g.slots {
		g.loops.Go(func() { slot.receiveLoop(ctx) })
		g.loops.Go(func() { slot.applyLoop(ctx) })
	}
	return g, nil
}

// Close stops all slots and removes the temporary directory, if Start created one.
func (g *Group) Close() {
	g.cancel()
	for _, slot := range g.slots {
		slot.Kill()
	}
	g.loops.Wait()
	for _, slot := range g.slots {
		slot.closeDatabase()
	}
	if g.ownsDir {
		_ = os.RemoveAll(g.dir)
	}
}

// Name returns the name of the database that the group serves.
func (g *Group) Name() string { return g.opts.Name }

// Slots returns the slots in the order of the options.
func (g *Group) Slots() []*Slot { return g.slots }

// Slot returns the slot with index i, which starts at 0.
func (g *Group) Slot(i int) *Slot { return g.slots[i] }

// Addresses returns the host:port of each slot, in the order of the options.
func (g *Group) Addresses() []string {
	var addresses []string
	for _, slot := range g.slots {
		addresses = append(addresses, slot.Address())
	}
	return addresses
}

// GroupSlots returns the slots in the form of the proxy's configuration, without regions.
func (g *Group) GroupSlots() []group.Slot {
	var slots []group.Slot
	for _, s := range g.slots {
		slots = append(slots, group.Slot{ID: group.SlotID(s.id), Address: s.Address(), Zone: s.zone})
	}
	return slots
}

// initReplication makes the first slot the primary of term 1 and the others its replicas.
func (g *Group) initReplication() {
	start := &record{pos: group.Position{Term: 1, Offset: 1}}
	for i, slot := range g.slots {
		slot.mu.Lock()
		slot.acceptedTerm = 1
		slot.role = group.Replica
		slot.upstream = g.slots[0].address
		if i == 0 {
			slot.role = group.Primary
			slot.upstream = ""
		}
		slot.log.append(start)
		slot.applied = start.pos
		slot.saveState()
		slot.wakeLoopsLocked()
		slot.mu.Unlock()
	}
}

// slotAt returns the slot that listens on the address, or nil if there is none.
func (g *Group) slotAt(address string) *Slot {
	for _, slot := range g.slots {
		if slot.address == address {
			return slot
		}
	}
	return nil
}

// path returns the path of a file in the directory of the group.
func (g *Group) path(format string, args ...any) string {
	return filepath.Join(g.dir, fmt.Sprintf(format, args...))
}

func discardLogger() logrus.FieldLogger {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logger
}
