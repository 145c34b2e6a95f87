// Package board is the blackboard of a host: what its controllers know, as
// immutable views. The control goroutine alone publishes views; traffic loads
// the current one without a lock.
package board

import (
	"sync"
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
	// Policies holds the routing policy by service.
	Policies map[string]*route.Policy
	// Groups holds the owned databases by name.
	Groups map[string]*Group
	// ConfigReady says that the configuration is known to be current.
	ConfigReady bool
	Draining    bool

	// owners caches ranked owners by database, since ranking looks at all members.
	owners sync.Map
}

// Owners returns the hosts that own a database, the preferred one first.
func (v *View) Owners(database string) []membership.Member {
	if cached, ok := v.owners.Load(database); ok {
		return cached.([]membership.Member)
	}
	ref, ok := v.Config.Database(database)
	if !ok {
		return nil
	}
	owners := membership.Owners(database, HomeRegion(ref.Database), v.Members)
	v.owners.Store(database, owners)
	return owners
}

// HomeRegion is the region that holds most slots of a database. It does not
// follow the primary, so that a failover moves no ownership.
func HomeRegion(db *config.Database) string {
	count := map[string]int{}
	best := ""
	for _, s := range db.Slots {
		count[s.Region]++
		if best == "" || count[s.Region] > count[best] {
			best = s.Region
		}
	}
	return best
}

// Ready reports whether the host may be given callers.
func (v *View) Ready() bool { return v.ConfigReady && !v.Draining }

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
