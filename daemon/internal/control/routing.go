package control

import (
	"time"

	"github.com/gypsumgap/gypsumgap/daemon/internal/board"
	"github.com/gypsumgap/gypsumgap/daemon/internal/route"
	"github.com/gypsumgap/gypsumgap/daemon/internal/session"
)

func (c *Controller) newOwnerRouter(g *ownedGroup) *route.OwnerRouter {
	return route.NewOwnerRouter(route.OwnerConfig{
		Database:       g.database,
		Slots:          g.Ref.Database.Slots,
		Policy:         c.policies[g.Ref.Service.Name],
		Monitor:        g.Tracker,
		Dial:           g.shareManager.dialer(c.opts.DialSlot),
		PeerLimit:      g.connectionLimit,
		CheckStatement: c.opts.StatementCheck,
		Recorder:       c.opts.Recorder,
	})
}

// Directory looks up owners, routers, policies and callers in the current view
// of the board. It implements route.Owners and session.VerifierStore.
type Directory struct {
	// Board provides the current view.
	Board *board.Board
}

var (
	_ route.Owners          = Directory{}
	_ session.VerifierStore = Directory{}
)

// Owners implements route.Owners. It returns the owners of a database by rank.
func (d Directory) Owners(database string) []route.Host {
	v := d.Board.View()
	owners := v.Owners(database)
	hosts := make([]route.Host, 0, len(owners))
	for _, o := range owners {
		// A host has no address while it is known only from the platform's list
		// or has not reached the store.
		if o.ForwardAddress == "" && o.Name != v.Self.Name {
			continue
		}
		hosts = append(hosts, route.Host{
			Name:           o.Name,
			ForwardAddress: o.ForwardAddress,
			Zone:           o.Zone,
			Self:           o.Name == v.Self.Name,
		})
	}
	return hosts
}

// Local returns the router of a database that this host owns, or nil. It also
// returns nil while the host may open no connection, because the store is down
// or the share of a dead owner is not reclaimed yet. Requests then go to the
// other owner instead of waiting here until their deadline.
func (d Directory) Local(database string) route.Router {
	g, ok := d.Board.View().Groups[database]
	if !ok || g.Share() == 0 {
		return nil
	}
	return g.Router
}

// Policy returns the routing policy of a database, or nil if the database is not
// configured.
func (d Directory) Policy(database string) *route.Policy {
	v := d.Board.View()
	ref, ok := v.Config.Database(database)
	if !ok {
		return nil
	}
	return v.Policies[ref.Service.Name]
}

// Deadline returns the time limit of a request of the given class, or 0 for the
// default.
func (d Directory) Deadline(database, class string) time.Duration {
	ref, ok := d.Board.View().Config.Database(database)
	if !ok {
		return 0
	}
	listed, _ := ref.Service.Class(class)
	return listed.Deadline.Std()
}

// Verifier implements session.VerifierStore. It fails with
// session.ErrUnknownDatabase or session.ErrUnknownUser.
func (d Directory) Verifier(database, user string) (string, error) {
	config := d.Board.View().Config
	if _, ok := config.Database(database); !ok {
		return "", session.ErrUnknownDatabase
	}
	caller, ok := config.Caller(database, user)
	if !ok {
		return "", session.ErrUnknownUser
	}
	return caller.Verifier, nil
}
