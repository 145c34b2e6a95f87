package confsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumgap/gypsumgap/core/config"
	"github.com/gypsumgap/gypsumgap/core/confstore"
)

// inboxSize is the number of events that may wait for a node. Posting blocks
// beyond it, which slows down callers rather than losing events.
const inboxSize = 256

// View is what a node knows at one time. It is immutable.
type View struct {
	Published *Published
	// Version is the version for the node's probes, 0 until it is ready.
	Version uint64
	// Ready says that the node may serve callers.
	Ready bool
}

// Node runs a machine: one goroutine owns it, and the calls that it asks for
// run in goroutines of their own.
type Node struct {
	machine   *Machine
	performer *Performer
	changed   func(View)
	inbox     chan any
	view      atomic.Pointer[View]
	done      chan struct{}
	// stopWatch ends the watch of the store; nil if there is none.
	stopWatch context.CancelFunc
	calls     sync.WaitGroup
}

// NewNode makes a node. changed, which may be nil, is called from the node's
// goroutine with each new view and must not block.
func NewNode(o Options, p *Performer, changed func(View)) *Node {
	n := &Node{
		machine:   New(o),
		performer: p,
		changed:   changed,
		inbox:     make(chan any, inboxSize),
		done:      make(chan struct{}),
	}
	n.view.Store(&View{Published: n.machine.Published()})
	return n
}

// View returns what the node knows. It may be called at any time.
func (n *Node) View() View { return *n.view.Load() }

// Post gives the node an event, such as the version in a peer's probe. After
// the end of Run it does nothing.
func (n *Node) Post(e Event) { n.post(e) }

// SetMembers gives the node the live hosts. After the end of Run it does nothing.
func (n *Node) SetMembers(members []Member) { n.post(members) }

func (n *Node) post(message any) {
	select {
	case n.inbox <- message:
	case <-n.done:
	}
}

// Run runs the node until ctx ends, and returns when its calls have ended. It
// must be called once.
func (n *Node) Run(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer n.calls.Wait()
	defer close(n.done)
	defer cancel()
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			n.step(ctx, n.machine.Tick(now))
		case message := <-n.inbox:
			n.step(ctx, n.handle(message))
		}
	}
}

func (n *Node) handle(message any) []Action {
	switch m := message.(type) {
	case Event:
		return n.machine.Handle(time.Now(), m)
	case []Member:
		n.machine.SetMembers(m)
	}
	return nil
}

// step publishes the machine's state and makes the calls that it asked for.
func (n *Node) step(ctx context.Context, actions []Action) {
	n.publish()
	n.watch(ctx)
	for _, a := range actions {
		n.calls.Go(func() {
			n.post(n.performer.Perform(ctx, a, n.View().Published))
		})
	}
}

func (n *Node) publish() {
	now := View{Published: n.machine.Published(), Version: n.machine.Version(), Ready: n.machine.Ready()}
	if now == n.View() {
		return
	}
	n.view.Store(&now)
	if n.changed != nil {
		n.changed(now)
	}
}

// watch starts or ends the watch of the store.
func (n *Node) watch(ctx context.Context) {
	watching := n.stopWatch != nil
	switch {
	case watching == n.machine.Watching():
	case watching:
		n.stopWatch()
		n.stopWatch = nil
	default:
		ctx, n.stopWatch = context.WithCancel(ctx)
		w := n.watcher()
		n.calls.Go(func() { w.Run(ctx) })
	}
}

func (n *Node) watcher() *confstore.Watcher {
	return &confstore.Watcher{
		Store:     n.performer.Store,
		Have:      func() *config.Snapshot { return n.View().Published.Snapshot() },
		Changed:   func(u confstore.Update) { n.post(StoreUpdate{Update: u}) },
		Confirmed: func(version uint64) { n.post(StoreVersion{Version: version}) },
		Failed:    func(err error) { n.post(StoreVersion{Err: err}) },
	}
}
