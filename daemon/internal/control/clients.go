package control

import (
	"context"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/group/pgcontrol"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/daemon/internal/peer"
)

// GroupClient controls backend servers and lists their connections. It is safe
// for concurrent use.
type GroupClient interface {
	group.Client
	// Connections lists the caller connections of a backend server. It returns
	// the same errors as the methods of group.Client.
	Connections(ctx context.Context, slot group.Slot) ([]pgcontrol.Connection, error)
	// Close closes the client. Calls fail afterwards.
	Close()
}

// PeerClient sends control messages to other hosts. It is safe for concurrent
// use.
type PeerClient interface {
	// Probe sends a heartbeat to the host with that peer address. It fails if the
	// host does not respond before ctx ends.
	Probe(ctx context.Context, address string, r *peerapi.ProbeRequest) (*peerapi.ProbeResponse, error)
	// Peer returns a stub for calls to the host with that peer address.
	Peer(address string) peerapi.Peer
	// Close closes idle connections.
	Close()
}

var (
	_ GroupClient = (*pgcontrol.Client)(nil)
	_ PeerClient  = (*peer.Client)(nil)
)

// withDefaults returns o with defaults for the clients and the source of random
// choices.
func (o Options) withDefaults() Options {
	if o.PeerClient == nil {
		o.PeerClient = peer.NewClient(o.LocalIP)
	}
	if o.GroupClient == nil {
		o.GroupClient = pgcontrol.New(pgcontrol.Options{LocalIP: o.LocalIP, ApplicationName: "gypsumgap/" + o.Self.Name})
	}
	if o.Rand == nil {
		o.Rand = randomSource()
	}
	return o
}
