package failover

import (
	"errors"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// Event is an input of a Machine.
type Event interface{ event() }

// Tick makes the machine act on deadlines that have passed. It carries no data.
type Tick struct{}

// ProbeAnswered reports the answer to a status request.
type ProbeAnswered struct {
	// Slot is the index of the slot in Config.Slots.
	Slot int
	// Sent is when the request was sent.
	Sent   time.Time
	Status group.Status
}

// ProbeMissed reports a status request that failed or was not answered in time.
type ProbeMissed struct {
	// Slot is the index of the slot in Config.Slots.
	Slot int
	// Sent is when the request was sent.
	Sent time.Time
	// Refused is true if the connection failed before the time-out, for example
	// because it was refused.
	Refused bool
}

// Heartbeat reports that the slot answered a request other than a probe, such as
// a statement.
type Heartbeat struct {
	// Slot is the index of the slot in Config.Slots.
	Slot int
	// At is when the answer came.
	At time.Time
}

// TrafficFailed reports that a request to the slot failed or is overdue.
type TrafficFailed struct{ Slot int }

// CommitStalled reports for how long the oldest pending commit has waited for
// its quorum.
type CommitStalled struct{ For time.Duration }

// PeerView is the state of the primary as seen by the other owner of the
// database, which probes the primary when it is asked. It answers an AskPeer
// command.
type PeerView struct {
	// OK is false if the other owner gave no answer.
	OK bool
	// Reachable is true if the primary answered the other owner's probe.
	Reachable bool
	// Term is the highest term of the primary that the other owner knows.
	Term group.Term
}

// OrderCompleted is the result of a SendOrder command.
type OrderCompleted struct {
	// Attempt is copied from the command.
	Attempt uint64
	Order   Order
	Slot    int
	Term    group.Term
	// Sent is when the order was sent.
	Sent time.Time
	// Status is the state of the slot after the order. It is valid if Err is nil.
	Status group.Status
	// Err is the error of the order, or nil if the slot carried it out.
	Err error
}

// Drained reports that the transactions that were running at a Hold command have
// ended, or that its time-out has passed.
type Drained struct{ Attempt uint64 }

// Refreshed reports that the tracker knows a primary whose term is at least Term.
type Refreshed struct{ Term group.Term }

// SwitchoverRequest asks for a planned change of primary. It is answered by a
// SwitchoverResult with the same ID.
type SwitchoverRequest struct {
	// ID is copied into the SwitchoverResult.
	ID uint64
	// To is the slot to promote. If it is empty, the machine chooses one.
	To group.SlotID
}

// OwnershipChanged sets the rank of the host among the owners of the database.
type OwnershipChanged struct {
	// Rank is 0 for the owner that acts first. With NotOwner the machine only
	// completes an attempt that has begun.
	Rank int
	// HasPeer is true if there is another owner that can be asked for its view.
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

// Command is an output of a Machine, to be run by its Driver.
type Command interface{ command() }

// Order is the kind of a state-changing control request to a slot.
type Order string

// The orders that a slot executes; see group.Client.
const (
	OrderFence   Order = "fence"
	OrderPromote Order = "promote"
	OrderFollow  Order = "follow"
)

// Probe sends a status request to the slot. Its result is ProbeAnswered or
// ProbeMissed.
type Probe struct{ Slot int }

// AskPeer asks the other owner for its view of the primary. Its result is
// PeerView.
type AskPeer struct{}

// SendOrder sends an order to the slot. Its result is OrderCompleted.
type SendOrder struct {
	Attempt uint64
	Order   Order
	Slot    int
	Term    group.Term
	// Primary is the address of the primary to follow. Only OrderFollow uses it.
	Primary string
}

// Hold keeps new transactions from starting on the primary and waits for the
// running ones to end, at most for Timeout. Its result is Drained.
type Hold struct {
	Attempt uint64
	Timeout time.Duration
}

// Release lets the transactions start that a Hold command keeps waiting.
type Release struct{}

// Refresh makes the tracker read the positions of all slots again. Its result is
// Refreshed. Held transactions are released only then, so that none is sent to
// the old primary.
type Refresh struct{ Term group.Term }

// Record describes an action and its reason, for status output and logs.
type Record struct {
	At     time.Time
	Action Action
	Reason string
	// Slot is empty if the action concerns all slots.
	Slot group.SlotID
	Term group.Term
}

// SwitchoverResult answers a SwitchoverRequest.
type SwitchoverResult struct {
	ID uint64
	// Slot is the slot of the new primary if Err is nil.
	Slot group.SlotID
	// Term is the term of the new primary if Err is nil.
	Term group.Term
	// Paused is how long transactions were held.
	Paused time.Duration
	// Err is the reason why the switchover failed, or nil if it succeeded.
	Err error
}

func (Probe) command()            {}
func (AskPeer) command()          {}
func (SendOrder) command()        {}
func (Hold) command()             {}
func (Release) command()          {}
func (Refresh) command()          {}
func (Record) command()           {}
func (SwitchoverResult) command() {}

// Action is the kind of action that a Record describes.
type Action string

// The actions. ActionAbandon ends an attempt or a switchover without success.
const (
	ActionFence      Action = "fence"
	ActionPromote    Action = "promote"
	ActionAbandon    Action = "abandon"
	ActionFollow     Action = "follow"
	ActionSwitchover Action = "switchover"
)

// The errors of a switchover. After ErrSwitchoverIncomplete the slots are fenced
// and a failover follows; after the others the switchover has changed nothing.
// ErrNoPrimary also means that the primary is suspected or has just changed.
var (
	ErrNotOwner             = errors.New("host is not an owner of the database")
	ErrChangeInProgress     = errors.New("another change of primary is in progress")
	ErrNoPrimary            = errors.New("no healthy primary is known")
	ErrNoSuccessor          = errors.New("no reachable replica can take over")
	ErrSuccessorBehind      = errors.New("successor did not catch up with the primary's log in time")
	ErrSwitchoverIncomplete = errors.New("switchover failed after fencing; a failover follows")
)
