// Package grouptest provides an in-memory group of backend servers that follows
// the contract of package group, for tests in virtual time (testing/synctest).
//
// Replication is asynchronous: each commit of a primary reaches a replica after
// the latency between their zones. Requests, answers and replication are
// messages that a fault may delay or drop in transit. When a frozen server thaws,
// it executes the requests received meanwhile, even if their senders no longer
// wait for the answers. The package starts no goroutines other than timers.
package grouptest

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/gypsumgap/gypsumgap/core/group"
)

// ErrNotPrimary is the error of a write on a server that is not the primary.
var ErrNotPrimary = fmt.Errorf("%w: server is read-only", group.ErrRefused)

var errServerKilled = fmt.Errorf("%w: connection reset", group.ErrNoAnswer)

// Record is one record of a log. A record with an empty value starts a term. The
// record at index i has offset i+1.
type Record struct {
	Position group.Position
	Value    string
}

// Promotion describes how a slot became primary.
type Promotion struct {
	Slot int
	Term group.Term
	// Log is the log at the promotion, including the record that starts the term.
	Log []Record
}

// Host is a machine that sends requests to the group.
type Host struct {
	Name string
	Zone string
}

// Counts holds the number of control requests sent, by kind.
type Counts struct {
	Status, Fence, Promote, Follow int
}

// Options configures a Group.
type Options struct {
	Slots []group.Slot
	// Latency returns the one-way latency between zones; nil means no latency.
	Latency func(from, to string) time.Duration
	// ApplyDelay is the time from receiving a record to applying it.
	ApplyDelay time.Duration
}

// Group is a fake group. Its methods are safe for concurrent use.
type Group struct {
	opts Options

	mu      sync.Mutex
	servers []*server
	// cuts holds the pairs of sender and receiver, host names or slot IDs, between
	// which messages are dropped.
	cuts       map[[2]string]bool
	promotions []Promotion
	counts     Counts
}

// server is one backend server of the group.
type server struct {
	slot   group.Slot
	alive  bool
	frozen bool
	// pending holds the messages received while the server is frozen.
	pending  []message
	role     group.Role
	accepted group.Term
	log      []Record
	// applied is the number of log records that are visible to reads.
	applied int
	// upstream is the index of the server to receive from, or noUpstream.
	upstream int
	// lastHeard is when a replica was last known to be connected to its upstream.
	lastHeard time.Time
	// extraDelay is added to the latency of replication to the server.
	extraDelay time.Duration
	stalled    bool
	leaving    bool
}

// message is a message to a server. A frozen server calls run when it thaws, or
// drop if it is killed first.
type message struct{ run, drop func() }

const noUpstream = -1

// New returns a group whose servers have empty logs and no primary.
func New(o Options) *Group {
	if o.Latency == nil {
		o.Latency = func(string, string) time.Duration { return 0 }
	}
	g := &Group{opts: o, cuts: map[[2]string]bool{}}
	for _, s := range o.Slots {
		sv := &server{slot: s, alive: true, role: group.Replica, upstream: noUpstream, lastHeard: time.Now()}
		g.servers = append(g.servers, sv)
	}
	return g
}

// Bootstrap makes the slot primary at term 1; the other slots follow it.
func (g *Group) Bootstrap(primary int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, s := range g.servers {
		s.accepted = 1
		if i != primary {
			s.role, s.upstream = group.Replica, primary
		}
	}
	g.becomePrimary(primary)
}

// Slots returns n slots with distinct addresses, assigned to the zones in turn.
func Slots(n int, zones ...string) []group.Slot {
	slots := make([]group.Slot, n)
	for i := range slots {
		slots[i] = group.Slot{
			ID:      group.SlotID(fmt.Sprintf("db/%d", i)),
			Address: fmt.Sprintf("127.0.1.%d:5432", i+1),
			Zone:    zones[i%len(zones)],
		}
	}
	return slots
}

// Uniform returns a latency function that yields local within a zone and remote
// between zones.
func Uniform(local, remote time.Duration) func(from, to string) time.Duration {
	return func(from, to string) time.Duration {
		if from == to {
			return local
		}
		return remote
	}
}

// Client returns a client that sends its requests from the host.
func (g *Group) Client(h Host) group.Client { return &client{g: g, host: h} }

type client struct {
	g    *Group
	host Host
}

var _ group.Client = (*client)(nil)

// Status implements group.Client.
func (c *client) Status(ctx context.Context, slot group.Slot) (group.Status, error) {
	c.g.count(func(n *Counts) { n.Status++ })
	return call(ctx, c.g, c.host, slot, func(i int) (group.Status, error) {
		return c.g.status(i), nil
	})
}

// Fence implements group.Client.
func (c *client) Fence(ctx context.Context, slot group.Slot, t group.Term) (group.Status, error) {
	c.g.count(func(n *Counts) { n.Fence++ })
	return call(ctx, c.g, c.host, slot, func(i int) (group.Status, error) { return c.g.fence(i, t) })
}

// Promote implements group.Client.
func (c *client) Promote(ctx context.Context, slot group.Slot, t group.Term) (group.Status, error) {
	c.g.count(func(n *Counts) { n.Promote++ })
	return call(ctx, c.g, c.host, slot, func(i int) (group.Status, error) { return c.g.promote(i, t) })
}

// Follow implements group.Client.
func (c *client) Follow(ctx context.Context, slot group.Slot, t group.Term, primary string) (group.Status, error) {
	c.g.count(func(n *Counts) { n.Follow++ })
	return call(ctx, c.g, c.host, slot, func(i int) (group.Status, error) { return c.g.follow(i, t, primary) })
}

// Write commits a record on the slot, as a statement from the host would, and
// returns its position, which a real server does not report. Its errors are
// those of group.Client.
func (g *Group) Write(ctx context.Context, h Host, slot group.SlotID, value string) (group.Position, error) {
	return call(ctx, g, h, g.findSlot(slot), func(i int) (group.Position, error) {
		s := g.servers[i]
		if s.role != group.Primary {
			return group.Position{}, ErrNotPrimary
		}
		g.append(i, value)
		return position(s.log, len(s.log)), nil
	})
}

// Read returns the records that the slot has applied. Its errors are those of
// group.Client.
func (g *Group) Read(ctx context.Context, h Host, slot group.SlotID) ([]Record, error) {
	return call(ctx, g, h, g.findSlot(slot), func(i int) ([]Record, error) {
		s := g.servers[i]
		return slices.Clip(s.log[:s.applied]), nil
	})
}

func (g *Group) findSlot(id group.SlotID) group.Slot {
	for _, s := range g.opts.Slots {
		if s.ID == id {
			return s
		}
	}
	panic(fmt.Sprintf("grouptest: unknown slot %q", id))
}

func (g *Group) count(add func(*Counts)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	add(&g.counts)
}

type result[T any] struct {
	value T
	err   error
}

// call sends a request to the slot, executes it there and returns the answer. If
// ctx ends first, the error wraps group.ErrUnreachable if the request had not
// arrived yet, and group.ErrNoAnswer otherwise.
func call[T any](ctx context.Context, g *Group, h Host, slot group.Slot, execute func(int) (T, error)) (T, error) {
	i := g.indexOf(slot.ID)
	s := g.servers[i]
	outbound := g.latency(h.Zone, s.slot.Zone, h.Name, string(slot.ID))
	inbound := g.latency(s.slot.Zone, h.Zone, string(slot.ID), h.Name)
	reply := make(chan result[T], 1)
	answer := func(r result[T]) {
		time.AfterFunc(inbound, func() {
			if !g.IsCut(string(s.slot.ID), h.Name) {
				reply <- r
			}
		})
	}
	arrive := func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.cuts[[2]string{h.Name, string(s.slot.ID)}] {
			return
		}
		if !s.alive {
			answer(result[T]{err: fmt.Errorf("%w: connection refused", group.ErrUnreachable)})
			return
		}
		g.receive(s, message{
			run: func() {
				v, err := execute(i)
				answer(result[T]{v, err})
			},
			drop: func() { answer(result[T]{err: errServerKilled}) },
		})
	}
	timer := time.AfterFunc(outbound, arrive)
	select {
	case r := <-reply:
		return r.value, r.err
	case <-ctx.Done():
		var none T
		if timer.Stop() {
			return none, fmt.Errorf("%w: %w", group.ErrUnreachable, ctx.Err())
		}
		return none, fmt.Errorf("%w: %w", group.ErrNoAnswer, ctx.Err())
	}
}

// latency returns the latency between zones plus less than a microsecond that
// depends on the endpoints. Messages over different links then arrive at different
// instants, so that their order does not depend on the scheduler.
func (g *Group) latency(fromZone, toZone, from, to string) time.Duration {
	h := fnv.New32a()
	_, _ = io.WriteString(h, from+">"+to)
	return g.opts.Latency(fromZone, toZone) + time.Duration(h.Sum32()%1000)*time.Nanosecond
}

// receive runs the message, or queues it until a frozen server thaws.
func (g *Group) receive(s *server, m message) {
	if s.frozen {
		s.pending = append(s.pending, m)
		return
	}
	m.run()
}

func (g *Group) indexOf(id group.SlotID) int {
	return slices.IndexFunc(g.opts.Slots, func(s group.Slot) bool { return s.ID == id })
}

// IsCut reports whether messages are dropped from one host name or slot ID to another.
func (g *Group) IsCut(from, to string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cuts[[2]string{from, to}]
}

func (g *Group) status(i int) group.Status {
	s := g.servers[i]
	st := group.Status{
		Role:            s.role,
		AcceptedTerm:    s.accepted,
		Received:        position(s.log, len(s.log)),
		Applied:         position(s.log, s.applied),
		Leaving:         s.leaving,
		ConnectionLimit: 100,
	}
	if s.upstream != noUpstream {
		st.Upstream = g.servers[s.upstream].slot.Address
	}
	if s.role == group.Replica && !g.isConnected(i) {
		st.ReceivingAge = time.Since(s.lastHeard)
	}
	return st
}

func position(log []Record, n int) group.Position {
	if n == 0 {
		return group.Position{}
	}
	return log[n-1].Position
}

func (g *Group) fence(i int, t group.Term) (group.Status, error) {
	s := g.servers[i]
	if t <= s.accepted {
		return group.Status{}, refused("fence", t, s.accepted)
	}
	g.updateLastHeard()
	s.accepted, s.role, s.upstream = t, group.Fenced, noUpstream
	return g.status(i), nil
}

func (g *Group) promote(i int, t group.Term) (group.Status, error) {
	s := g.servers[i]
	if t != s.accepted {
		return group.Status{}, refused("promote", t, s.accepted)
	}
	if s.role != group.Primary {
		g.becomePrimary(i)
	}
	return g.status(i), nil
}

func (g *Group) follow(i int, t group.Term, address string) (group.Status, error) {
	s := g.servers[i]
	primary := slices.IndexFunc(g.opts.Slots, func(o group.Slot) bool { return o.Address == address })
	if t < s.accepted || primary < 0 || primary == i {
		return group.Status{}, refused("follow", t, s.accepted)
	}
	if t == s.accepted && s.role == group.Primary {
		return group.Status{}, refused("follow", t, s.accepted)
	}
	g.updateLastHeard()
	s.accepted, s.role, s.upstream = t, group.Replica, primary
	g.sendLog(primary, i)
	return g.status(i), nil
}

func refused(command string, t, accepted group.Term) error {
	return fmt.Errorf("%w: %s at term %d, accepted term is %d", group.ErrRefused, command, t, accepted)
}

func (g *Group) becomePrimary(i int) {
	s := g.servers[i]
	g.updateLastHeard()
	s.role, s.upstream = group.Primary, noUpstream
	g.append(i, "")
	g.promotions = append(g.promotions, Promotion{Slot: i, Term: s.accepted, Log: slices.Clip(s.log)})
}

// append appends a record to the primary's log and sends the log to the replicas.
func (g *Group) append(i int, value string) {
	s := g.servers[i]
	next := group.Position{Term: s.accepted, Offset: position(s.log, len(s.log)).Offset + 1}
	s.log = append(s.log, Record{Position: next, Value: value})
	s.applied = len(s.log)
	for r := range g.servers {
		if r != i {
			g.sendLog(i, r)
		}
	}
}

// sendLog sends the primary's current log to the replica, where it arrives after
// the latency and the replica's lag.
func (g *Group) sendLog(from, to int) {
	p, r := g.servers[from], g.servers[to]
	if r.upstream != from || !g.isStreaming(p, r) {
		return
	}
	term, log := p.accepted, slices.Clip(p.log)
	delay := g.latency(p.slot.Zone, r.slot.Zone, string(p.slot.ID), string(r.slot.ID)) + r.extraDelay
	time.AfterFunc(delay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if r.alive && !g.isCutBetween(p, r) {
			g.receive(r, message{run: func() { g.receiveLog(from, to, term, log) }, drop: func() {}})
		}
	})
}

// isStreaming reports whether p sends its log to r: it must be a running primary,
// and messages to r must not be cut.
func (g *Group) isStreaming(p, r *server) bool {
	return p.alive && !p.frozen && p.role == group.Primary && !g.isCutBetween(p, r)
}

func (g *Group) isCutBetween(a, b *server) bool {
	return g.cuts[[2]string{string(a.slot.ID), string(b.slot.ID)}]
}

// receiveLog replaces the replica's log by the one that the primary sent. It
// discards records that diverge from it, and ignores a log that is older than the
// replica's own.
func (g *Group) receiveLog(from, to int, term group.Term, log []Record) {
	r := g.servers[to]
	if r.role != group.Replica || r.upstream != from || r.accepted != term || r.stalled {
		return
	}
	r.lastHeard = time.Now()
	common := commonPrefix(r.log, log)
	older := common == len(log) && r.log[len(r.log)-1].Position.Term == term
	if !older {
		r.log, r.applied = log, min(r.applied, common)
	}
	time.AfterFunc(g.opts.ApplyDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if n := commonPrefix(r.log, log); r.alive && n == len(log) {
			r.applied = max(r.applied, n)
		}
	})
}

// commonPrefix returns the number of records that both logs start with. Positions
// are unique, so logs with the same record at an index are equal up to it.
func commonPrefix(a, b []Record) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1] != b[n-1] {
		n--
	}
	return n
}

// isConnected reports whether the replica receives from a primary of its own term.
func (g *Group) isConnected(i int) bool {
	r := g.servers[i]
	if r.upstream == noUpstream || !r.alive || r.frozen || r.stalled {
		return false
	}
	p := g.servers[r.upstream]
	return p.accepted == r.accepted && g.isStreaming(p, r) && !g.isCutBetween(r, p)
}

// updateLastHeard sets lastHeard of the replicas that are connected. It is called
// before each change that may disconnect one.
func (g *Group) updateLastHeard() {
	for i, s := range g.servers {
		if g.isConnected(i) {
			s.lastHeard = time.Now()
		}
	}
}

// applyChange starts or ends a fault, then resumes replication where possible.
func (g *Group) applyChange(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateLastHeard()
	f()
	for i, s := range g.servers {
		if s.upstream != noUpstream {
			g.sendLog(s.upstream, i)
		}
	}
}

// Kill stops the server, which refuses connections until Restart.
func (g *Group) Kill(i int) {
	g.applyChange(func() {
		s := g.servers[i]
		pending := s.pending
		s.alive, s.frozen, s.pending = false, false, nil
		for _, m := range pending {
			m.drop()
		}
	})
}

// Restart starts a killed server. Its log, role and accepted term are unchanged.
func (g *Group) Restart(i int) { g.applyChange(func() { g.servers[i].alive = true }) }

// Freeze suspends the server: it answers no request until Thaw.
func (g *Group) Freeze(i int) { g.applyChange(func() { g.servers[i].frozen = g.servers[i].alive }) }

// Thaw resumes a frozen server, which first handles the messages received meanwhile.
func (g *Group) Thaw(i int) {
	g.applyChange(func() {
		s := g.servers[i]
		pending := s.pending
		s.frozen, s.pending = false, nil
		for _, m := range pending {
			m.run()
		}
	})
}

// Cut drops the messages from one host name or slot ID to another.
func (g *Group) Cut(from, to string) { g.applyChange(func() { g.cuts[[2]string{from, to}] = true }) }

// CutBoth drops the messages between two host names or slot IDs.
func (g *Group) CutBoth(a, b string) {
	g.applyChange(func() { g.cuts[[2]string{a, b}], g.cuts[[2]string{b, a}] = true, true })
}

// Heal removes the cuts between a and b in both directions.
func (g *Group) Heal(a, b string) {
	g.applyChange(func() {
		delete(g.cuts, [2]string{a, b})
		delete(g.cuts, [2]string{b, a})
	})
}

// HealAll removes all cuts.
func (g *Group) HealAll() { g.applyChange(func() { clear(g.cuts) }) }

// SetLag sets an additional delay of replication to the slot.
func (g *Group) SetLag(i int, d time.Duration) { g.applyChange(func() { g.servers[i].extraDelay = d }) }

// SetStalled stops or resumes replication to the slot.
func (g *Group) SetStalled(i int, stalled bool) {
	g.applyChange(func() { g.servers[i].stalled = stalled })
}

// SetLeaving sets whether the server reports that it is about to stop.
func (g *Group) SetLeaving(i int, leaving bool) {
	g.applyChange(func() { g.servers[i].leaving = leaving })
}

// Log returns the log of the slot.
func (g *Group) Log(i int) []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.servers[i].log)
}

// Promotions returns all promotions in order, including that of Bootstrap.
func (g *Group) Promotions() []Promotion {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.promotions)
}

// Counts returns the number of control requests so far.
func (g *Group) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

// Status returns the slot's state directly, without a control request.
func (g *Group) Status(i int) group.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.status(i)
}

// LogContains reports whether the log contains the record at the position.
func LogContains(log []Record, p group.Position) bool {
	return p.Offset <= uint64(len(log)) && log[p.Offset-1].Position == p
}

// IsKilled reports whether an error means that the server was killed while it
// handled the request.
func IsKilled(err error) bool { return errors.Is(err, errServerKilled) }
