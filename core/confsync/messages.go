package confsync

import (
	"context"
	"errors"

	"github.com/gypsumgap/gypsumgap/core/confstore"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/platform"
)

// Member is a live host, as the membership table knows it.
type Member struct {
	Name string
	Zone string
}

// Event is an input of the machine.
type Event interface{ event() }

// PeerVersion reports the version that a probe from a peer, or a peer's answer
// to a probe, carried.
type PeerVersion struct {
	Peer    string
	Version uint64
}

// AnnounceDone reports the outcome of an Announce.
type AnnounceDone struct {
	Peer string
	// Version is the peer's own version, if Err is nil.
	Version uint64
	Err     error
}

// FetchDone reports the outcome of a Fetch.
type FetchDone struct {
	Peer string
	// Since is the version of the request.
	Since    uint64
	Response *peerapi.FetchConfigResponse
	Err      error
}

// StoreVersion reports the version that the store names as current: the
// outcome of a ReadVersion, or what a watch confirmed.
type StoreVersion struct {
	Version uint64
	Err     error
}

// StoreUpdate reports a step read from the store, by a watch or a Load.
type StoreUpdate struct {
	Update confstore.Update
	Err    error
}

func (PeerVersion) event()  {}
func (AnnounceDone) event() {}
func (FetchDone) event()    {}
func (StoreVersion) event() {}
func (StoreUpdate) event()  {}

// Action is an output of the machine: a call to make, whose outcome is an event.
type Action interface{ action() }

// Announce tells a peer the node's version with a probe out of turn, and asks
// for the peer's.
type Announce struct {
	Peer    string
	Version uint64
}

// Fetch asks a peer for the entries changed since a version.
type Fetch struct {
	Peer  string
	Since uint64
}

// ReadVersion reads the current version from the store, with one call.
type ReadVersion struct{}

// Load reads the configuration from the store.
type Load struct{}

func (Announce) action()    {}
func (Fetch) action()       {}
func (ReadVersion) action() {}
func (Load) action()        {}

// Peers is what a node needs of its connections to other hosts. Its calls
// must be bounded in time.
type Peers interface {
	// Announce sends a probe that carries the version and returns the peer's.
	Announce(ctx context.Context, peer string, version uint64) (uint64, error)
	// FetchConfig asks a peer for configuration entries.
	FetchConfig(ctx context.Context, peer string, req *peerapi.FetchConfigRequest) (*peerapi.FetchConfigResponse, error)
}

// Executor makes the calls that actions ask for. It may be used concurrently.
type Executor struct {
	// Self is the node's host name.
	Self  string
	Peers Peers
	Store platform.Store
}

// errUnknownAction guards against an action without an implementation.
var errUnknownAction = errors.New("unknown action of configuration synchronisation")

// Execute makes the call and returns its outcome. have is the machine's
// published configuration at the time of the call.
func (p *Executor) Execute(ctx context.Context, a Action, have *Published) Event {
	switch a := a.(type) {
	case Announce:
		version, err := p.Peers.Announce(ctx, a.Peer, a.Version)
		return AnnounceDone{Peer: a.Peer, Version: version, Err: err}
	case Fetch:
		req := &peerapi.FetchConfigRequest{From: p.Self, Since: a.Since}
		resp, err := p.Peers.FetchConfig(ctx, a.Peer, req)
		return FetchDone{Peer: a.Peer, Since: a.Since, Response: resp, Err: err}
	case ReadVersion:
		version, err := confstore.Version(ctx, p.Store)
		return StoreVersion{Version: version, Err: err}
	case Load:
		update, err := confstore.LoadUpdate(ctx, p.Store, have.Snapshot())
		return StoreUpdate{Update: update, Err: err}
	default:
		return StoreUpdate{Err: errUnknownAction}
	}
}
