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
	// orderTimeout is the deadline of a fence, promotion or follow order.
	orderTimeout = 500 * time.Millisecond
	// peerMargin is what the other owner gets beyond the deadline of its probe.
	peerMargin = 100 * time.Millisecond
)

// Hooks connect a Driver to the rest of the host. They are called from worker
// goroutines, except Hold, Release and Record, which are called from
// Step, in the order of the decisions, and must not block. Each may be nil.
type Hooks struct {
	// AskPeer asks the other owner how it sees the primary; see Driver.SeePrimary.
	AskPeer func(context.Context) (PeerView, error)
	// Hold stops new transactions on the primary.
	Hold func()
	// Drain returns when the running transactions have ended or ctx has.
	Drain func(context.Context)
	// Release ends Hold.
	Release func()
	// Refresh makes the tracker read all positions again and returns when it
	// knows a primary of at least the term, or ctx has ended; see Runner.Refresh.
	Refresh func(context.Context, group.Term) error
	// Record tells what was done and why.
	Record func(Record)
	// LastAnswer returns when the slot of that index last answered anything;
	// traffic then serves as a heartbeat.
	LastAnswer func(slot int) time.Time
}

// DriverOptions configures a Driver.
type DriverOptions struct {
	Machine Config
	Client  group.Client
	Hooks   Hooks
	// Post hands events to the control goroutine that calls Step. It must not
	// block. Nil is for use with Run.
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

	mu      sync.Mutex
	inbox   []Event
	wake    chan struct{}
	waiting map[uint64]chan Finish
	lastID  uint64
}

// State is a summary of a Driver.
type State struct {
	// Rank is the host's rank among the owners, or NotOwner.
	Rank int
	// Primary is the index of the primary's slot, -1 for none known.
	Primary int
	Term    group.Term
	// LastAnswer is when the primary last answered.
	LastAnswer time.Time
	// Last is the latest record; zero if nothing was done.
	Last Record
}

// NewDriver returns a Driver whose machine is not an owner until it gets an
// Owner event.
func NewDriver(o DriverOptions) *Driver {
	d := &Driver{
		opts:    o,
		machine: New(o.Machine),
		wake:    make(chan struct{}, 1),
		waiting: map[uint64]chan Finish{},
	}
	d.state.Store(&State{Rank: NotOwner, Primary: -1})
	return d
}

// Run is a control goroutine for this Driver alone. It returns the cause when
// ctx ends and the workers have ended.
func (d *Driver) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer d.Wait()
	for {
		for _, ev := range d.take() {
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

// Wait blocks until the workers have ended; they end soon after the context of Step.
func (d *Driver) Wait() { d.workers.Wait() }

// Post hands an event to the control goroutine.
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

func (d *Driver) take() []Event {
	d.mu.Lock()
	defer d.mu.Unlock()
	inbox := d.inbox
	d.inbox = nil
	return inbox
}

// Step steps the machine and starts its commands, which end with ctx.
func (d *Driver) Step(ctx context.Context, now time.Time, ev Event) {
	commands := d.heartbeat(now)
	commands = append(commands, d.machine.Step(now, ev)...)
	st := *d.state.Load()
	for _, c := range commands {
		if r, ok := c.(Record); ok {
			st.Last = r
		}
		d.run(ctx, c)
	}
	st.Rank, st.Primary, st.Term, st.LastAnswer = d.machine.rank, -1, 0, time.Time{}
	if slot, term, ok := d.machine.Primary(); ok {
		st.Primary, st.Term, st.LastAnswer = slot, term, d.machine.LastAnswer(slot)
	}
	d.state.Store(&st)
}

// heartbeat steps the machine with the latest answer of the primary to traffic.
func (d *Driver) heartbeat(now time.Time) []Command {
	slot, _, ok := d.machine.Primary()
	if !ok || d.opts.Hooks.LastAnswer == nil {
		return nil
	}
	at := d.opts.Hooks.LastAnswer(slot)
	if !at.After(d.machine.LastAnswer(slot)) {
		return nil
	}
	return d.machine.Step(now, Heard{Slot: slot, At: at})
}

// NextDeadline returns when Step is to be called with a Tick if no event comes
// before; the zero time for never.
func (d *Driver) NextDeadline() time.Time { return d.machine.NextDeadline() }

// State returns the summary as of the last Step.
func (d *Driver) State() State { return *d.state.Load() }

func (d *Driver) run(ctx context.Context, c Command) {
	switch c := c.(type) {
	case Probe:
		d.workers.Go(func() { d.probe(ctx, c) })
	case AskPeer:
		d.workers.Go(func() { d.askPeer(ctx) })
	case Send:
		d.workers.Go(func() { d.send(ctx, c) })
	case Hold:
		call(d.opts.Hooks.Hold)
		d.workers.Go(func() { d.drain(ctx, c) })
	case Release:
		call(d.opts.Hooks.Release)
	case Refresh:
		d.workers.Go(func() { d.refresh(ctx, c) })
	case Record:
		if d.opts.Hooks.Record != nil {
			d.opts.Hooks.Record(c)
		}
	case Finish:
		d.finish(c)
	}
}

func call(f func()) {
	if f != nil {
		f()
	}
}

func (d *Driver) probeTimeout() time.Duration { return d.machine.cfg.ProbeSuspect }

func (d *Driver) probe(ctx context.Context, c Probe) {
	sent := time.Now()
	st, err := d.status(ctx, c.Slot)
	if err != nil {
		d.Post(Missed{Slot: c.Slot, Sent: sent, Refused: isRefusal(err)})
		return
	}
	d.Post(Answered{Slot: c.Slot, Sent: sent, Status: st})
}

func (d *Driver) status(ctx context.Context, slot int) (group.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, d.probeTimeout())
	defer cancel()
	return d.opts.Client.Status(ctx, d.machine.cfg.Slots[slot])
}

// isRefusal tells a refused connection from one that was not answered in time.
func isRefusal(err error) bool {
	return errors.Is(err, group.ErrUnreachable) && !errors.Is(err, context.DeadlineExceeded)
}

func (d *Driver) askPeer(ctx context.Context) {
	if d.opts.Hooks.AskPeer == nil {
		d.Post(PeerView{})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, d.probeTimeout()+peerMargin)
	defer cancel()
	v, err := d.opts.Hooks.AskPeer(ctx)
	v.OK = v.OK && err == nil
	d.Post(v)
}

func (d *Driver) send(ctx context.Context, c Send) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r := Ordered{Attempt: c.Attempt, Order: c.Order, Slot: c.Slot, Term: c.Term, Sent: time.Now()}
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
		ctx, cancel := context.WithTimeout(ctx, c.Bound)
		defer cancel()
		d.opts.Hooks.Drain(ctx)
	}
	d.Post(Drained{Attempt: c.Attempt})
}

func (d *Driver) refresh(ctx context.Context, c Refresh) {
	if d.opts.Hooks.Refresh != nil {
		ctx, cancel := context.WithTimeout(ctx, holdLimit)
		defer cancel()
		if err := d.opts.Hooks.Refresh(ctx, c.Term); err != nil {
			return // the machine releases transactions at its own bound
		}
	}
	d.Post(Refreshed(c))
}

// Observe passes on what the tracker of the database sees.
func (d *Driver) Observe(o replication.Observation) {
	switch {
	case o.Slot < 0:
		d.Post(Stalled{For: o.Stalled})
	case errors.Is(o.Err, replication.ErrTrafficFailure):
		d.Post(Suspected{Slot: o.Slot})
	case o.Err != nil:
		d.Post(Missed{Slot: o.Slot, Sent: o.Sent, Refused: isRefusal(o.Err)})
	default:
		d.Post(Answered{Slot: o.Slot, Sent: o.Sent, Status: o.Status})
	}
}

// SeePrimary answers the other owner's AskPeer: it probes the primary that this
// host knows, and reports whether it answered as the primary.
func (d *Driver) SeePrimary(ctx context.Context) PeerView {
	st := d.State()
	if st.Rank == NotOwner || st.Primary < 0 {
		return PeerView{OK: st.Rank != NotOwner, Term: st.Term}
	}
	v := PeerView{OK: true, Term: st.Term}
	status, err := d.status(ctx, st.Primary)
	if err == nil {
		v.Term = max(v.Term, status.Accepted)
		v.Reachable = status.Role == group.Primary
	}
	return v
}

// Switchover asks for a planned change of primary to the slot, or to any if
// empty, and returns the slot, the term and the time for which transactions
// were held. It fails with the errors of this package or the cause of ctx.
func (d *Driver) Switchover(ctx context.Context, to group.SlotID) (Finish, error) {
	reply := make(chan Finish, 1)
	d.mu.Lock()
	d.lastID++
	id := d.lastID
	d.waiting[id] = reply
	d.mu.Unlock()
	d.Post(SwitchoverRequest{ID: id, To: to})
	select {
	case f := <-reply:
		return f, f.Err
	case <-ctx.Done():
		d.finish(Finish{ID: id})
		return Finish{}, context.Cause(ctx)
	}
}

func (d *Driver) finish(f Finish) {
	d.mu.Lock()
	reply, ok := d.waiting[f.ID]
	delete(d.waiting, f.ID)
	d.mu.Unlock()
	if ok {
		reply <- f
	}
}
