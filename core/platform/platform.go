// Package platform defines the part of the platform's object API that gypsumgap
// uses: versioned objects, conditional updates, watches and the list of hosts.
//
// Versions of one key can be compared for equality and order; they have no other
// meaning. Every call, including a watch, counts against the API's rate limit.
package platform

import (
	"context"
	"errors"
	"time"
)

// MaxValueBytes is the size of the largest value that the platform stores.
const MaxValueBytes = 1 << 20

// Version is the version of one object. 0 means that the object does not exist.
type Version uint64

// Object is one stored value.
type Object struct {
	Key     string
	Value   []byte
	Version Version
}

// HostState is the platform's view of a host.
type HostState string

// The states of a host in the platform's list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's host list, which may be out of date.
type Host struct {
	// Name is unique among hosts; a replaced host has a new name.
	Name string `json:"name"`
	// Address is the host's address for peers, an IP address and port.
	Address string    `json:"address"`
	Zone    string    `json:"zone"`
	Region  string    `json:"region"`
	State   HostState `json:"state"`
}

// Store is the platform's object API.
type Store interface {
	// Get reads an object. It fails with ErrNotFound if there is none.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the object's version is still expected, where 0 means
	// that it must not exist, and returns the new version. It fails with
	// ErrConflict if the version differs, and with ErrUnknown if the response
	// was lost, in which case the change may have taken effect.
	Put(ctx context.Context, key string, value []byte, expected Version) (Version, error)
	// Delete removes the object on the same condition as Put.
	Delete(ctx context.Context, key string, expected Version) error
	// List returns the objects whose keys start with prefix, ordered by key,
	// without their values.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until the object's version differs from known or wait has
	// passed, and returns the current object. Version 0 means that the object
	// does not exist.
	Watch(ctx context.Context, key string, known Version, wait time.Duration) (Object, error)
	// Hosts reads the list of live and leaving hosts.
	Hosts(ctx context.Context) ([]Host, error)
}

// The errors of Store calls.
var (
	ErrNotFound = errors.New("object not found")
	ErrConflict = errors.New("object has another version")
	// ErrUnavailable means that the call was not executed.
	ErrUnavailable = errors.New("platform store is unavailable")
	// ErrUnknown means that the response was lost: the change may have taken effect.
	ErrUnknown = errors.New("outcome of the platform store call is unknown")
	// ErrRateLimited means that the call was not executed because of the API's rate limit.
	ErrRateLimited = errors.New("platform store rejected the call because of its rate limit")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("value exceeds the platform's limit of one megabyte")
)
