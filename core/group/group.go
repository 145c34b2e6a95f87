// Package group holds the types of a database group (one primary and its
// replicas) and the narrow interface through which the proxy sees it.
//
// A slot is the place of one backend server in a group. Each slot keeps the
// highest term it has accepted and refuses orders and replication of lower
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

// Term numbers the reigns of a group's primaries. Terms start at 1.
type Term uint64

// Position is a place in a group's log: the term of a record and the offset
// just behind it.
type Position struct {
	Term   Term   `json:"term"`
	Offset uint64 `json:"offset"`
}

// Compare orders positions by term, then by offset.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Term, o.Term), cmp.Compare(p.Offset, o.Offset))
}

// Covers reports whether a log that reaches p contains the durable position o.
func (p Position) Covers(o Position) bool { return p.Compare(o) >= 0 }

// String formats the position as term:offset.
func (p Position) String() string { return fmt.Sprintf("%d:%d", p.Term, p.Offset) }

// Role is what a backend server does in its group.
type Role string

// The roles. A fenced backend server neither commits nor receives until it is
// promoted or told to follow.
const (
	Primary Role = "primary"
	Replica Role = "replica"
	Fenced  Role = "fenced"
)

// SlotID names a slot within its group, for example "werkplaats-1/a/2".
type SlotID string

// Slot is the address of one backend server of a group.
type Slot struct {
	ID SlotID
	// Address is the backend server's host:port, by IP number.
	Address string
	// Zone is the availability zone of the backend server.
	Zone string
	// Region is the region of the zone.
	Region string
}

// Status is a backend server's report of itself.
type Status struct {
	Role Role
	// AcceptedTerm is the highest term the slot has accepted.
	AcceptedTerm Term
	// Received is the end of the slot's log; its term is that of the last record.
	Received Position
	// Applied is the last position visible to reads.
	Applied Position
	// Leaving reports that the backend server is about to stop.
	Leaving bool
	// Connections counts open caller connections, control connections left out.
	Connections int
	// ConnectionLimit is the highest count of caller connections accepted.
	ConnectionLimit int
	// Upstream is the address a replica receives from; empty for none.
	Upstream string
	// ReceivingAge is the time since a replica last heard from its upstream; 0 for a primary.
	ReceivingAge time.Duration
}

// Client gives orders to backend servers and reads their status.
//
// Each method fails with an error that wraps ErrRefused if the backend server
// answered and declined, ErrUnreachable if no connection could be made
// (nothing was executed), or ErrNoAnswer if the order may have been executed.
type Client interface {
	// Status reads the report of the slot.
	Status(ctx context.Context, slot Slot) (Status, error)
	// Fence makes the slot accept term t, stop committing and stop receiving.
	// It is granted at most once per term and only above the accepted term.
	Fence(ctx context.Context, slot Slot, t Term) (Status, error)
	// Promote makes the slot primary at term t, which it must have accepted.
	Promote(ctx context.Context, slot Slot, t Term) (Status, error)
	// Follow makes the slot receive from the primary's address at term t.
	Follow(ctx context.Context, slot Slot, t Term, primary string) (Status, error)
}

// The kinds of failure of a Client call.
var (
	ErrRefused     = errors.New("backend server refused the order")
	ErrUnreachable = errors.New("backend server is unreachable")
	ErrNoAnswer    = errors.New("backend server did not answer")
)

// CommitQuorum is the number of slots, of n, that must hold a position before it is
// durable.
func CommitQuorum(n int) int { return n/2 + 1 }

// FenceQuorum is the number of slots, of n, that must accept a term before one
// of them may be promoted. Every set of that size meets every quorum of
// commits (n-q+1), and two such sets meet each other (a majority).
func FenceQuorum(n int) int { return max(n-CommitQuorum(n)+1, n/2+1) }
