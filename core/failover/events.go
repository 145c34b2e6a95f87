package failover

import (
	"errors"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// Event is an input of a Machine.
type Event interface{ event() }

// Tick carries no news; it lets deadlines pass.
type Tick struct{}

// ProbeAnswered is an answer to a status request.
type ProbeAnswered struct {
	// Slot is the index of the slot.
	Slot int
	// Sent is when the request was sent.
	Sent   time.Time
	Status group.Status
}

// ProbeMissed is a status request without an answer.
type ProbeMissed struct {
	Slot int
	Sent time.Time
	// Refused says that the connection was refused, not merely unanswered.
	Refused bool
}

// Heartbeat says that the slot answered something else at a time, such as a statement.
type Heartbeat struct {
	Slot int
	At   time.Time
}

// TrafficFailed says that traffic to the slot failed or is overdue.
type TrafficFailed struct{ Slot int }

// CommitStalled says that the oldest unfinished commit has waited that long for its quorum.
type CommitStalled struct{ For time.Duration }

// PeerView is how the other owner of the database sees its primary, from a
// probe that it made after being asked.
type PeerView struct {
	// OK is false if the other owner gave no answer.
	OK bool
	// Reachable says that the primary answered the other owner's probe.
	Reachable bool
	// Term is the primary's term as the other owner knows it.
	Term group.Term
}

// OrderCompleted is the result of a Fence, Promote or Follow command.
type OrderCompleted struct {
	// Attempt is that of the command.
	Attempt uint64
	Order   Order
	Slot    int
	Term    group.Term
	// Sent is when the order was sent.
	Sent time.Time
	// Status is the slot's report if Err is nil.
	Status group.Status
	Err    error
}

// Drained says that the transactions held by a Hold command have ended, or
// that its bound has passed.
type Drained struct{ Attempt uint64 }

// Refreshed says that the tracker knows a primary of at least the term.
type Refreshed struct{ Term group.Term }

// SwitchoverRequest asks for a planned change of primary.
type SwitchoverRequest struct {
	// ID is returned in the Finish command.
	ID uint64
	// To is the slot to promote; empty lets the machine choose.
	To group.SlotID
}

// OwnershipChanged sets the host's rank among the owners of the database.
type OwnershipChanged struct {
	// Rank is 0 for the owner that acts first; NotOwner stops the machine.
	Rank int
	// HasPeer says that another owner can be asked for its view.
	HasPeer bool
}

// NotOwner is the rank of a host that must not act on the database.
const NotOwner = -1

func (Tick) event()              {}
func (ProbeAnswered) event()     {}
func (ProbeMissed) event()       {}
func (Heartbeat) event()         {}
func (TrafficFailed) event()     {}
func (CommitStalled) event()     {}
func (PeerView) event()          {}
func (OrderCompleted) event()    {}
func (Drained) event()           {}
func (Refreshed) event()         {}
func (SwitchoverRequest) event() {}
func (OwnershipChanged) event()  {}

// Command is an output of a Machine.
type Command interface{ command() }

// Order is a kind of order to a slot.
type Order string

// The orders.
const (
	OrderFence   Order = "fence"
	OrderPromote Order = "promote"
	OrderFollow  Order = "follow"
)

// Probe asks for a status request; its result is Answered or Missed.
type Probe struct{ Slot int }

// AskPeer asks for the other owner's view; its result is PeerView.
type AskPeer struct{}

// SendOrder asks for an order to a slot; its result is Ordered.
type SendOrder struct {
	Attempt uint64
	Order   Order
	Slot    int
	Term    group.Term
	// Primary is the address to follow, for OrderFollow.
	Primary string
}

// Hold asks that no new transaction starts on the primary and that the running
// ones end within the bound; its result is Drained.
type Hold struct {
	Attempt uint64
	Timeout time.Duration
}

// Release ends a Hold.
type Release struct{}

// Refresh asks that the positions of all slots be read again; its result is
// Refreshed. Held transactions are released then, lest they go to the old primary.
type Refresh struct{ Term group.Term }

// Record states what was done and why, for status output and logs.
type Record struct {
	At     time.Time
	Action Action
	Reason string
	Slot   group.SlotID
	Term   group.Term
}

// SwitchoverResult answers a SwitchoverRequest.
type SwitchoverResult struct {
	ID uint64
	// Slot and Term are the new primary's if Err is nil.
	Slot group.SlotID
	Term group.Term
	// Paused is the time for which transactions were held.
	Paused time.Duration
	Err    error
}

func (Probe) command()            {}
func (AskPeer) command()          {}
func (SendOrder) command()        {}
func (Hold) command()             {}
func (Release) command()          {}
func (Refresh) command()          {}
func (Record) command()           {}
func (SwitchoverResult) command() {}

// Action names what a Record is about.
type Action string

// The actions.
const (
	ActionFence      Action = "fence"
	ActionPromote    Action = "promote"
	ActionAbandon    Action = "abandon"
	ActionFollow     Action = "follow"
	ActionSwitchover Action = "switchover"
)

// The reasons for which a switchover is not done. The primary is unchanged,
// unless the error is ErrSwitchoverIncomplete.
var (
	ErrNotOwner             = errors.New("host does not own the database")
	ErrChangeInProgress     = errors.New("another change of primary is in progress")
	ErrNoPrimary            = errors.New("no primary is known")
	ErrNoSuccessor          = errors.New("no slot can take over")
	ErrSuccessorBehind      = errors.New("successor did not receive everything in time")
	ErrSwitchoverIncomplete = errors.New("switchover failed after fencing; a failover follows")
)
