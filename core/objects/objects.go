// Package objects defines the interface of hosts to the platform's object store:
// objects of a few kinds with revisions, conditional writes and watches.
package objects

import (
	"context"
	"errors"
	"time"

	"github.com/gypsumgap/gypsumgap/core/catalog"
)

// Kind names a set of objects that are listed and watched together.
type Kind int

// The kinds of objects. Hosts only read Configurations and Servers.
const (
	Configurations Kind = iota
	Servers
	// Leases record the holder of a lease and its fencing token; see package lease.
	Leases
	// Reports are the reports of hosts about primaries that they cannot reach.
	Reports
	// Hosts are the registrations of hosts.
	Hosts
	// Revocations are the primaries that must not be used any more, by service; see
	// package writelease.
	Revocations
	// CommitLogs are the logs that may hold acknowledged commits, by service.
	CommitLogs
)

var kindNames = [...]string{"configurations", "servers", "leases", "reports", "hosts", "revocations", "commit_logs"}

// String returns the name of the kind for logs.
func (k Kind) String() string { return kindNames[k] }

// Object is one stored object. Exactly one of Configuration, Server, Value and
// Err is set in an object that exists.
type Object struct {
	Name          string
	Revision      Revision
	Configuration *catalog.Configuration
	Server        *catalog.Server
	// Value is the JSON text of an object of the kinds that hosts write.
	Value []byte
	// Err is the error of decoding the object.
	Err error
	// Deleted is true in the change that reports the deletion of the object.
	Deleted bool
}

// Snapshot holds all objects of a kind, or its changes, up to a revision.
type Snapshot struct {
	Objects  []Object
	Revision Revision
}

// Store is the platform's object store.
type Store interface {
	// List reads all objects of a kind. A stale read is cheaper and may return
	// data that is several seconds old.
	List(ctx context.Context, kind Kind, stale bool) (Snapshot, error)
	// Watch waits for changes after revision since and returns them, or none
	// after the time wait. It fails with ErrCompacted if the store no longer
	// keeps the changes, or is not in the era of since any more.
	Watch(ctx context.Context, kind Kind, since Revision, wait time.Duration) (Snapshot, error)
	// Get reads one object. If there is none, it fails with ErrNotFound and returns
	// an object whose revision has the era of the store and number 0.
	Get(ctx context.Context, kind Kind, name string) (Object, error)
	// Put writes an object of the kinds that hosts write if the number of its
	// revision is still the expected one, where 0 means that it must not exist. It
	// fails with ErrConflict if the number differs and with ErrUnknown if the write
	// may have been executed or may still be. The store does not check the era, so
	// the era of the result may differ from the expected one.
	Put(ctx context.Context, kind Kind, name string, value []byte, expected Revision) (Object, error)
	// Delete removes an object of the kinds that hosts write, regardless of its
	// revision.
	Delete(ctx context.Context, kind Kind, name string) error
}

// The errors of Store calls.
var (
	ErrNotFound  = errors.New("object not found")
	ErrConflict  = errors.New("object has another revision")
	ErrCompacted = errors.New("history of the object store is no longer kept")
	// ErrUnavailable means that the call was not executed.
	ErrUnavailable = errors.New("object store is unavailable")
	// ErrUnknown means that the call may have been executed or may still be.
	ErrUnknown = errors.New("outcome of the object store call is unknown")
)

// Promoter requests promotions of backend servers from the platform.
type Promoter interface {
	// Promote requests a promotion. It fails with ErrRefused, ErrRateLimited,
	// ErrUnavailable or ErrUnknown.
	Promote(ctx context.Context, p Promotion) error
}

// Promotion is a request to make a backend server the primary of its service.
type Promotion struct {
	Service string
	Server  string
	// Holder is the host that holds the lease on promotions.
	Holder string
	// Token is the fencing token of that lease.
	Token uint64
}

// The errors of a rejected promotion.
var (
	// ErrRefused means that a higher fencing token has been used or that the
	// backend server is not running.
	ErrRefused     = errors.New("promotion was refused")
	ErrRateLimited = errors.New("platform rejected the call because of its rate limit")
)
