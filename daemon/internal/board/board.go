// Package board is the blackboard of a host: what its controllers know, as
// immutable views. The control goroutine alone publishes views; traffic loads
// the current one without a lock.
package board

import (
	"sync/atomic"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/failover"
	"github.com/gypsumgap/gypsumgap/core/membership"
	"github.com/gypsumgap/gypsumgap/core/replication"
	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
)

// Group is a database that this host owns.
type Group struct {
	Ref config.DatabaseRef
	// Rank is the host's rank among the owners, failover.NotOwner while it
	// gives the database up.
	Rank    int
	Router  *route.OwnerRouter
	Tracker *replication.Runner
	Driver  *failover.Driver
	// Share is the number of connections that this host may open to each
	// backend server.
	Share func() int
}

// View is the state of the board at one moment.
type View struct {
	Self    membership.Member
	Config  *config.Snapshot
	Members []membership.Member
	// Owned holds the owners of all databases.
	Owned *membership.Assignment
	// Policies holds the routing policy by service.
	Policies map[string]*route.Policy
	// Groups holds the owned databases by name.
	Groups map[string]*Group
	// ConfigReady says that the configuration is known to be current.
	ConfigReady bool
	Draining    bool
}

// Owners returns the hosts that own a database, the preferred one first. It is
// nil for a database that is not configured. The result must not be changed.
func (v *View) Owners(database string) []membership.Member {
	return v.Owned.Owners(database)
}

// HomeRegion is the region that holds most slots of a database. It does not
// follow the primary, so that a failover moves no ownership.
func HomeRegion(db *config.Database) string {
	best, most := "", 0
	for i, s := range db.Slots {
		// Counts the slots up to i, so that the first region to reach the
		// greatest count wins, as it does for every host.
		count := 0
		for _, o := range db.Slots[:i+1] {
			if o.Region == s.Region {
				count++
			}
		}
		if count > most {
			best, most = s.Region, count
		}
	}
	return best
}

// Board holds the current view.
type Board struct {
	view atomic.Pointer[View]
}

// New returns a board with a first view.
func New(v *View) *Board {
	b := &Board{}
	b.Publish(v)
	return b
}

// View returns the current view, which must not be changed.
func (b *Board) View() *View { return b.view.Load() }

// Publish replaces the view. Only the control goroutine calls it.
func (b *Board) Publish(v *View) { b.view.Store(v) }
