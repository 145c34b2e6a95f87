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
		Dial:           g.keeper.dialer(c.opts.DialSlot),
		PeerLimit:      g.limit,
		CheckStatement: c.opts.Running,
		Recorder:       c.opts.Recorder,
	})
}

// Directory answers what routers and sessions ask of the board.
type Directory struct {
	Board *board.Board
}

var (
	_ route.Owners          = Directory{}
	_ session.VerifierStore = Directory{}
)

// Owners implements route.Owners.
func (d Directory) Owners(database string) []route.Host {
	v := d.Board.View()
	owners := v.Owners(database)
	hosts := make([]route.Host, 0, len(owners))
	for _, o := range owners {
		// A host that only the platform's list names, or that has not reached
		// the store, has no address yet.
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

// Local returns the router of a database that this host owns, or nil. While
// the host may open no connection, because the store is down or the share of a
// dead owner is not reclaimed yet, requests go to the other owner instead of
// waiting here until their deadline.
func (d Directory) Local(database string) route.Router {
	g, ok := d.Board.View().Groups[database]
	if !ok || g.Share() == 0 {
		return nil
	}
	return g.Router
}

// Policy returns the routing policy of a database, or nil.
func (d Directory) Policy(database string) *route.Policy {
	v := d.Board.View()
	ref, ok := v.Config.Database(database)
	if !ok {
		return nil
	}
	return v.Policies[ref.Service.Name]
}

// Deadline returns the time allowed to a request of a class, 0 for the default.
func (d Directory) Deadline(database, class string) time.Duration {
	ref, ok := d.Board.View().Config.Database(database)
	if !ok {
		return 0
	}
	listed, _ := ref.Service.Class(class)
	return listed.Deadline.Std()
}

// Verifier implements session.VerifierStore.
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
