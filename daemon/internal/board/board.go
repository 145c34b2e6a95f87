// Package board publishes the state of a host's controllers as immutable views.
// Only the control goroutine publishes views. Request handling loads the current
// view without a lock.
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
	// Rank is the host's rank among the owners, starting from 0. It is
	// failover.NotOwner while the host gives up the ownership.
	Rank    int
	Router  *route.OwnerRouter
	Tracker *replication.Runner
	Driver  *failover.Driver
	// Share returns the number of connections that this host may open to each
	// backend server.
	Share func() int
}

// View is an immutable snapshot of the host's control state.
type View struct {
	Self    membership.Member
	Config  *config.Snapshot
	Members []membership.Member
	// Owned holds the owners of all databases.
	Owned *membership.Assignment
	// Policies maps service names to routing policies.
	Policies map[string]*route.Policy
	// Groups maps database names to the databases that this host owns.
	Groups map[string]*Group
	// ConfigReady is set once the configuration has been confirmed as current.
	ConfigReady bool
	// Draining is set when the host has begun to shut down.
	Draining bool
}

// Owners returns the hosts that own a database, the preferred one first. It is
// nil for a database that is not configured. The result must not be changed.
func (v *View) Owners(database string) []membership.Member {
	return v.Owned.Owners(database)
}

// HomeRegion returns the region that holds most slots of a database. It does not
// depend on the primary, so that a failover moves no ownership.
func HomeRegion(db *config.Database) string {
	best, most := "", 0
	for i, s := range db.Slots {
		// Only the slots up to i are counted, so that on a tie the first region
		// to reach the greatest count wins. Every host gets the same result.
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

// New returns a board with an initial view.
func New(v *View) *Board {
	b := &Board{}
	b.Publish(v)
	return b
}

// View returns the current view, which must not be changed.
func (b *Board) View() *View { return b.view.Load() }

// Publish replaces the view. Only the control goroutine may call it.
func (b *Board) Publish(v *View) { b.view.Store(v) }
