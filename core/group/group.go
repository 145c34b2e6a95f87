// Package group defines the types of a database group (one primary and its
// replicas) and the interface through which the proxy controls it.
//
// A slot is the place of one backend server in a group. Each slot keeps the
// highest term it has accepted and rejects commands and replication of lower
// terms. Positions in the log are pairs of term and offset and are compared as
// pairs, because offsets of different terms are not comparable.
package group

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"
)

// Term numbers the periods of a group, each of which has at most one primary.
// Terms start at 1 and increase.
type Term uint64

// Position is a position in a group's log: the term of a record and the offset
// just after it.
type Position struct {
	Term   Term   `json:"term"`
	Offset uint64 `json:"offset"`
}

// Compare orders positions by term, then by offset.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Term, o.Term), cmp.Compare(p.Offset, o.Offset))
}

// Covers reports whether a log that ends at p contains the durable position o.
func (p Position) Covers(o Position) bool { return p.Compare(o) >= 0 }

// String formats the position as term:offset.
func (p Position) String() string { return fmt.Sprintf("%d:%d", p.Term, p.Offset) }

// Role is the role of a backend server in its group.
type Role string

// The roles. A fenced backend server neither commits nor receives the log until
// it is promoted or starts to follow a primary.
const (
	Primary Role = "primary"
	Replica Role = "replica"
	Fenced  Role = "fenced"
)

// SlotID identifies a slot within its group, for example "werkplaats-1/a/2".
type SlotID string

// Slot is the address of one backend server of a group.
type Slot struct {
	ID SlotID
	// Address is the backend server's host:port; the host is an IP address.
	Address string
	// Zone is the availability zone of the backend server.
	Zone string
	// Region is the region of the zone.
	Region string
}

// Status is the state that a backend server reports.
type Status struct {
	Role Role
	// AcceptedTerm is the highest term that the slot has accepted.
	AcceptedTerm Term
	// Received is the end of the slot's log; its term is that of the last record.
	Received Position
	// Applied is the last position visible to reads.
	Applied Position
	// Leaving reports that the backend server is about to stop.
	Leaving bool
	// Connections is the number of open caller connections, without control connections.
	Connections int
	// ConnectionLimit is the maximum number of caller connections.
	ConnectionLimit int
	// Upstream is the address that a replica receives the log from; empty for none.
	Upstream string
	// ReceivingAge is the time since a replica last heard from its upstream; 0 for a primary.
	ReceivingAge time.Duration
}

// Client sends control commands to backend servers and reads their status.
//
// Each method fails with an error that wraps ErrRefused if the backend server
// rejected the command, ErrUnreachable if no connection could be made (nothing
// was executed), or ErrNoAnswer if the command may have been executed.
type Client interface {
	// Status returns the current state of the slot.
	Status(ctx context.Context, slot Slot) (Status, error)
	// Fence makes the slot accept term t, stop committing and stop receiving.
	// It succeeds at most once per term and only above the accepted term.
	Fence(ctx context.Context, slot Slot, t Term) (Status, error)
	// Promote makes the slot primary at term t, which must be its accepted term.
	Promote(ctx context.Context, slot Slot, t Term) (Status, error)
	// Follow makes the slot receive the log from the primary's address at term t.
	Follow(ctx context.Context, slot Slot, t Term, primary string) (Status, error)
}

// The kinds of errors that Client methods wrap.
var (
	ErrRefused     = errors.New("backend server refused the command")
	ErrUnreachable = errors.New("backend server is unreachable")
	ErrNoAnswer    = errors.New("backend server did not answer")
)

// CommitQuorum returns the number of slots, out of n, that must hold a position
// before it is durable.
func CommitQuorum(n int) int { return n/2 + 1 }

// FenceQuorum returns the number of slots, out of n, that must accept a term
// before one of them may be promoted. Every set of that size intersects every
// commit quorum of q slots (n-q+1), and any two such sets intersect (a majority).
func FenceQuorum(n int) int { return max(n-CommitQuorum(n)+1, n/2+1) }
