// Package objects is the view that hosts have of the platform's object store:
// versioned objects of a few kinds, conditional writes and watches of a kind.
package objects

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
)

// Kind names a set of objects that are listed and watched together.
type Kind int

// The kinds. Configurations and Servers are written by others.
const (
	Configurations Kind = iota
	Servers
	// Leases hold the holder and the fencing token of a duty.
	Leases
	// Reports hold what hosts say of primaries that they cannot reach.
	Reports
	// Hosts hold the registrations of hosts.
	Hosts
)

var kindNames = [...]string{"configurations", "servers", "leases", "reports", "hosts"}

// String returns the name used in logs.
func (k Kind) String() string { return kindNames[k] }

// Object is one stored object. Exactly one of Configuration, Server, Value and
// Err is set in an object that exists.
type Object struct {
	Name          string
	Revision      uint64
	Configuration *catalog.Configuration
	Server        *catalog.Server
	// Value is the JSON text of an object of the hosts' own kinds.
	Value []byte
	// Err tells why the object could not be decoded.
	Err error
	// Deleted is set in events of objects that no longer exist.
	Deleted bool
}

// Snapshot is the state of a kind, or the changes of it, up to a revision.
type Snapshot struct {
	Objects  []Object
	Revision uint64
}

// Store is the platform's object store.
type Store interface {
	// List reads all objects of a kind. With stale set it is cheaper, and may
	// return data that is seconds old.
	List(ctx context.Context, kind Kind, stale bool) (Snapshot, error)
	// Watch waits for changes after the revision, for at most the given time,
	// after which it returns none. It fails with ErrCompacted if the changes are
	// no longer known.
	Watch(ctx context.Context, kind Kind, since uint64, wait time.Duration) (Snapshot, error)
	// Get reads one object; it fails with ErrNotFound.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// Put writes an object of the hosts' own kinds if its revision is still the
	// expected one, 0 meaning that it must not exist. It fails with ErrConflict
	// if the revision differs and with ErrUnknown if the write may have been, or
	// may still be, executed.
	Put(ctx context.Context, kind Kind, name string, value []byte, expected uint64) (Object, error)
	// Delete removes an object of the hosts' own kinds whatever its revision.
	Delete(ctx context.Context, kind Kind, name string) error
}

// The kinds of failure of a Store call.
var (
	ErrNotFound  = errors.New("object not found")
	ErrConflict  = errors.New("object has another revision")
	ErrCompacted = errors.New("history of the object store is no longer kept")
	// ErrUnavailable means that the call was not executed.
	ErrUnavailable = errors.New("object store is unavailable")
	// ErrUnknown means that the call may have been, or may still be, executed.
	ErrUnknown = errors.New("outcome of the object store call is unknown")
)

// Promoter orders the platform to make a backend server the primary.
type Promoter interface {
	// Promote names the backend server that takes over. It fails with
	// ErrRefused, ErrLimited, ErrUnavailable or ErrUnknown.
	Promote(ctx context.Context, p Promotion) error
}

// Promotion is an order to make a backend server the primary of its service.
type Promotion struct {
	Service string
	Server  string
	// Holder is the host that holds the duty, Token its fencing token.
	Holder string
	Token  uint64
}

// The kinds of refusal of a promotion.
var (
	// ErrRefused means that a higher fencing token was used or that the backend
	// server is not running.
	ErrRefused     = errors.New("promotion was refused")
	ErrRateLimited = errors.New("platform refused the call for its rate")
)
