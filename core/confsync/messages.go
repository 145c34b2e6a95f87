package confsync

import (
	"context"
	"errors"

	"github.com/gypsumgap/gypsumgap/core/confstore"
	"github.com/gypsumgap/gypsumgap/core/peerapi"
	"github.com/gypsumgap/gypsumgap/core/platform"
)

// Member is a live host of the membership table.
type Member struct {
	Name string
	Zone string
}

// Event is an input of Machine.Handle.
type Event interface{ event() }

// PeerVersion reports the version in a probe from a peer or in a peer's response
// to a probe.
type PeerVersion struct {
	Peer    string
	Version uint64
}

// AnnounceDone reports the outcome of an Announce.
type AnnounceDone struct {
	Peer string
	// Version is the peer's version; it is valid if Err is nil.
	Version uint64
	// Err is the error of the call, or nil if the peer answered.
	Err error
}

// FetchDone reports the outcome of a Fetch.
type FetchDone struct {
	Peer string
	// Since is the version in the request.
	Since uint64
	// Response is the peer's response; it is valid if Err is nil.
	Response *peerapi.FetchConfigResponse
	// Err is the error of the call, or nil if the peer answered.
	Err error
}

// StoreVersion reports the current version in the store, as read by a
// ReadVersion or confirmed by a watch.
type StoreVersion struct {
	// Version is the version in the store; it is valid if Err is nil.
	Version uint64
	// Err is the error of the read, or nil.
	Err error
}

// StoreUpdate reports an update read from the store by a watch or a Load.
type StoreUpdate struct {
	// Update is the update that was read; it is valid if Err is nil.
	Update confstore.Update
	// Err is the error of the read, or nil.
	Err error
}

func (PeerVersion) event()  {}
func (AnnounceDone) event() {}
func (FetchDone) event()    {}
func (StoreVersion) event() {}
func (StoreUpdate) event()  {}

// Action is an output of the machine: a call to make, whose outcome is an Event.
type Action interface{ action() }

// Announce sends a peer the node's version in a probe outside the regular
// schedule; the response carries the peer's version.
type Announce struct {
	Peer    string
	Version uint64
}

// Fetch requests from a peer the entries changed since a version.
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

// Peers calls other hosts. Each call must return within a bounded time.
type Peers interface {
	// Announce sends a probe with the given version and returns the peer's version.
	Announce(ctx context.Context, peer string, version uint64) (uint64, error)
	// FetchConfig requests configuration entries from a peer.
	FetchConfig(ctx context.Context, peer string, req *peerapi.FetchConfigRequest) (*peerapi.FetchConfigResponse, error)
}

// Executor executes actions. It is safe for concurrent use.
type Executor struct {
	// Self is the node's host name.
	Self  string
	Peers Peers
	Store platform.Store
}

// errUnknownAction reports an Action that Execute does not implement.
var errUnknownAction = errors.New("unknown configuration synchronization action")

// Execute makes the call of an action and returns its outcome. have is the
// machine's published configuration at the time of the call.
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
