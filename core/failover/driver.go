package failover

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
	"github.com/gypsumgap/gypsumgap/core/replication"
)

const (
	// orderTimeout limits a fence, promote or follow order.
	orderTimeout = 500 * time.Millisecond
	// peerTimeoutMargin is how much longer than its probe's time-out the other owner
	// may take to answer.
	peerTimeoutMargin = 100 * time.Millisecond
)

// Hooks connects a Driver to the rest of the host. The functions are called from
// worker goroutines, except Hold, Release and Record, which are called from Step
// in the order of the commands and must not block. Each may be nil.
type Hooks struct {
	// AskPeer asks the other owner for its view of the primary; see
	// Driver.ProbePrimary.
	AskPeer func(context.Context) (PeerView, error)
	// Hold keeps new transactions from starting on the primary.
	Hold func()
	// Drain returns when the running transactions or ctx have ended.
	Drain func(context.Context)
	// Release lets the transactions start that Hold keeps waiting.
	Release func()
	// Refresh makes the tracker read all positions again and returns when it
	// knows a primary of at least the term, or ctx has ended; see Runner.Refresh.
	Refresh func(context.Context, group.Term) error
	// Record receives each action and its reason.
	Record func(Record)
	// LastAnswer returns when the slot with that index last answered any request.
	// Answers to traffic then serve as heartbeats.
	LastAnswer func(slot int) time.Time
}

// DriverOptions configures a Driver.
type DriverOptions struct {
	// Machine configures the state machine.
	Machine Config
	// Client sends status requests and orders to the slots.
	Client group.Client
	// Hooks connects the driver to the host.
	Hooks Hooks
	// Post passes events to the control goroutine that calls Step. It must not
	// block. It must be nil if Run is used.
	Post func(Event)
}

// Driver runs the commands of a Machine through a group.Client in worker
// goroutines and posts the results as events. One control goroutine calls Step
// and NextDeadline, or Run does. The other methods are safe for concurrent use.
type Driver struct {
	opts    DriverOptions
	machine *Machine
	state   atomic.Pointer[State]
	workers sync.WaitGroup

	// mu protects inbox, resultChans and lastID.
	mu sync.Mutex
	// inbox holds the events for Run.
	inbox []Event
	// wake makes Run read the inbox when it receives a value.
	wake chan struct{}
	// resultChans holds the channel of each pending switchover request by its ID.
	resultChans map[uint64]chan SwitchoverResult
	lastID      uint64
}

// State is a snapshot of a Driver for status output.
type State struct {
	// Rank is the host's rank among the owners, or NotOwner.
	Rank int
	// Primary is the index of the primary's slot, or -1 if none is known.
	Primary int
	// Term is the term of the primary.
	Term group.Term
	// LastAnswer is when the primary last answered a probe or other traffic.
	LastAnswer time.Time
	// Last is the latest action, or zero if there was none.
	Last Record
}

// NewDriver returns a Driver whose machine is not an owner until it gets an
// OwnershipChanged event.
func NewDriver(o DriverOptions) *Driver {
	d := &Driver{
		opts:        o,
		machine:     New(o.Machine),
		wake:        make(chan struct{}, 1),
		resultChans: map[uint64]chan SwitchoverResult{},
	}
	d.state.Store(&State{Rank: NotOwner, Primary: -1})
	return d
}

// Run steps the machine until ctx ends, waits for the workers, and returns the
// cause of ctx. It is for a Driver that has a control goroutine of its own.
func (d *Driver) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer d.Wait()
	for {
		for _, ev := range d.takeInbox() {
			d.Step(ctx, time.Now(), ev)
		}
		d.Step(ctx, time.Now(), Tick{})
		timer.Stop()
		if next := d.NextDeadline(); !next.IsZero() {
			timer.Reset(time.Until(next))
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-d.wake:
		case <-timer.C:
		}
	}
}

// Wait blocks until the workers have ended, which they do soon after the context
// given to Step.
func (d *Driver) Wait() { d.workers.Wait() }

// Post passes an event to the control goroutine.
func (d *Driver) Post(ev Event) {
	if d.opts.Post != nil {
		d.opts.Post(ev)
		return
	}
	d.mu.Lock()
	d.inbox = append(d.inbox, ev)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *Driver) takeInbox() []Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	inbox := d.inbox
	d.inbox = nil
	return inbox
}

// Step steps the machine with an event and starts its commands, which ctx cancels.
func (d *Driver) Step(ctx context.Context, now time.Time, ev Event) {
	commands := d.applyHeartbeat(now)
	commands = append(commands, d.machine.Step(now, ev)...)
	st := *d.state.Load()
	for _, c := range commands {
		if r, ok := c.(Record); ok {
			st.Last = r
		}
		d.runCommand(ctx, c)
	}
	st.Rank, st.Primary, st.Term, st.LastAnswer = d.machine.rank, -1, 0, time.Time{}
	if slot, term, ok := d.machine.Primary(); ok {
		st.Primary, st.Term, st.LastAnswer = slot, term, d.machine.LastAnswer(slot)
	}
	d.state.Store(&st)
}

// applyHeartbeat steps the machine with the time at which the primary last
// answered traffic, if that is newer than what the machine knows.
func (d *Driver) applyHeartbeat(now time.Time) []Command {
	slot, _, ok := d.machine.Primary()
	if !ok || d.opts.Hooks.LastAnswer == nil {
		return nil
	}
	at := d.opts.Hooks.LastAnswer(slot)
	if !at.After(d.machine.LastAnswer(slot)) {
		return nil
	}
	return d.machine.Step(now, Heartbeat{Slot: slot, At: at})
}

// NextDeadline returns when Step must be called with a Tick if no event comes
// earlier, or the zero time if there is no deadline.
func (d *Driver) NextDeadline() time.Time { return d.machine.NextDeadline() }

// State returns the snapshot taken by the last Step.
func (d *Driver) State() State { return *d.state.Load() }

func (d *Driver) runCommand(ctx context.Context, c Command) {
	switch c := c.(type) {
	case Probe:
		d.workers.Go(func() { d.probe(ctx, c) })
	case AskPeer:
		d.workers.Go(func() { d.askPeer(ctx) })
	case SendOrder:
		d.workers.Go(func() { d.sendOrder(ctx, c) })
	case Hold:
		callIfSet(d.opts.Hooks.Hold)
		d.workers.Go(func() { d.drain(ctx, c) })
	case Release:
		callIfSet(d.opts.Hooks.Release)
	case Refresh:
		d.workers.Go(func() { d.refresh(ctx, c) })
	case Record:
		if d.opts.Hooks.Record != nil {
			d.opts.Hooks.Record(c)
		}
	case SwitchoverResult:
		d.deliverResult(c)
	}
}

func callIfSet(f func()) {
	if f != nil {
		f()
	}
}

// probeTimeout limits a probe; it equals the interval between probes of a suspected
// primary.
func (d *Driver) probeTimeout() time.Duration { return d.machine.cfg.ProbeSuspect }

func (d *Driver) probe(ctx context.Context, c Probe) {
	sent := time.Now()
	st, err := d.requestStatus(ctx, c.Slot)
	if err != nil {
		d.Post(ProbeMissed{Slot: c.Slot, Sent: sent, Refused: isConnectionRefused(err)})
		return
	}
	d.Post(ProbeAnswered{Slot: c.Slot, Sent: sent, Status: st})
}

func (d *Driver) requestStatus(ctx context.Context, slot int) (group.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, d.probeTimeout())
	defer cancel()
	return d.opts.Client.Status(ctx, d.machine.cfg.Slots[slot])
}

// isConnectionRefused reports whether the connection failed before the time-out.
func isConnectionRefused(err error) bool {
	return errors.Is(err, group.ErrUnreachable) && !errors.Is(err, context.DeadlineExceeded)
}

func (d *Driver) askPeer(ctx context.Context) {
	if d.opts.Hooks.AskPeer == nil {
		d.Post(PeerView{})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, d.probeTimeout()+peerTimeoutMargin)
	defer cancel()
	v, err := d.opts.Hooks.AskPeer(ctx)
	v.OK = v.OK && err == nil
	d.Post(v)
}

func (d *Driver) sendOrder(ctx context.Context, c SendOrder) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r := OrderCompleted{Attempt: c.Attempt, Order: c.Order, Slot: c.Slot, Term: c.Term, Sent: time.Now()}
	slot := d.machine.cfg.Slots[c.Slot]
	switch c.Order {
	case OrderFence:
		r.Status, r.Err = d.opts.Client.Fence(ctx, slot, c.Term)
	case OrderPromote:
		r.Status, r.Err = d.opts.Client.Promote(ctx, slot, c.Term)
	case OrderFollow:
		r.Status, r.Err = d.opts.Client.Follow(ctx, slot, c.Term, c.Primary)
	}
	d.Post(r)
}

func (d *Driver) drain(ctx context.Context, c Hold) {
	if d.opts.Hooks.Drain != nil {
		ctx, cancel := context.WithTimeout(ctx, c.Timeout)
		defer cancel()
		d.opts.Hooks.Drain(ctx)
	}
	d.Post(Drained{Attempt: c.Attempt})
}

func (d *Driver) refresh(ctx context.Context, c Refresh) {
	if d.opts.Hooks.Refresh != nil {
		ctx, cancel := context.WithTimeout(ctx, maxHold)
		defer cancel()
		if err := d.opts.Hooks.Refresh(ctx, c.Term); err != nil {
			return // the machine releases transactions after maxHold
		}
	}
	d.Post(Refreshed(c))
}

// Observe posts an observation of the replication tracker as an event.
func (d *Driver) Observe(o replication.Observation) {
	switch {
	case o.Slot < 0:
		d.Post(CommitStalled{For: o.Stalled})
	case errors.Is(o.Err, replication.ErrTrafficFailure):
		d.Post(TrafficFailed{Slot: o.Slot})
	case o.Err != nil:
		d.Post(ProbeMissed{Slot: o.Slot, Sent: o.Sent, Refused: isConnectionRefused(o.Err)})
	default:
		d.Post(ProbeAnswered{Slot: o.Slot, Sent: o.Sent, Status: o.Status})
	}
}

// ProbePrimary answers an AskPeer command of the other owner. It probes the
// primary that this host knows, and reports whether it answered in that role.
func (d *Driver) ProbePrimary(ctx context.Context) PeerView {
	st := d.State()
	if st.Rank == NotOwner || st.Primary < 0 {
		return PeerView{OK: st.Rank != NotOwner, Term: st.Term}
	}
	v := PeerView{OK: true, Term: st.Term}
	status, err := d.requestStatus(ctx, st.Primary)
	if err == nil {
		v.Term = max(v.Term, status.AcceptedTerm)
		v.Reachable = status.Role == group.Primary
	}
	return v
}

// Switchover requests a planned change of primary to the slot, or to any slot if
// to is empty, and waits for the result. It returns an error of this package, such
// as ErrNoSuccessor, or the cause of ctx. A switchover that has started goes on
// when ctx ends.
func (d *Driver) Switchover(ctx context.Context, to group.SlotID) (SwitchoverResult, error) {
	reply := make(chan SwitchoverResult, 1)
	d.mu.Lock()
	d.lastID++
	id := d.lastID
	d.resultChans[id] = reply
	d.mu.Unlock()
	d.Post(SwitchoverRequest{ID: id, To: to})
	select {
	case f := <-reply:
		return f, f.Err
	case <-ctx.Done():
		d.deliverResult(SwitchoverResult{ID: id})
		return SwitchoverResult{}, context.Cause(ctx)
	}
}

func (d *Driver) deliverResult(f SwitchoverResult) {
	d.mu.Lock()
	reply, ok := d.resultChans[f.ID]
	delete(d.resultChans, f.ID)
	d.mu.Unlock()
	if ok {
		reply <- f
	}
}
